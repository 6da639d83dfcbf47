"""Splits the text of a JSON object or list without decoding its elements.

An entry of the store may hold JSON that the decoder rejects: lone surrogates,
numbers beyond a double, or deep nesting. Splitting the answer that contains it
leaves the other entries readable.
"""

from collections.abc import Iterator
import re
from typing import Any

import orjson

from oriolegate.exceptions import MalformedEntryError

# A string, or one of the characters that give JSON its structure; a quote alone
# begins a string that doesn't end.
TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},:"]', re.DOTALL)
BRACKETS = {b"{": b"}", b"[": b"]"}
# A value may be sent to other VMs this much deeper nested than it came: in a
# list of the changes of a collection, each a list of fields.
WRAPPED_LEVELS = 5


def _elements(text: bytes, opening: bytes) -> Iterator[tuple[bytes, int]]:
    """Yield each element and the position of its first colon, or -1.

    Raises:
        MalformedEntryError: The text is no object or list.
    """
    text = text.strip()
    if not (text.startswith(opening) and text.endswith(BRACKETS[opening])):
        raise MalformedEntryError("the response has another structure")
    depth = 0
    start = len(opening)
    colon = -1
    for token in TOKEN.finditer(text):
        match token.group():
            case b"{" | b"[":
                depth += 1
            case b"}" | b"]":
                depth -= 1
            case b":" if depth == 1 and colon < 0:
                colon = token.start() - start
            case b"," if depth == 1:
                yield text[start : token.start()], colon
                start = token.end()
                colon = -1
            case b'"':
                raise MalformedEntryError("the response is incomplete")
    if depth != 0:
        raise MalformedEntryError("the response is incomplete")
    last = text[start:-1]
    if last.strip():
        yield last, colon


def split_list(text: bytes) -> list[bytes]:
    """Return the texts of the elements of a list.

    Raises:
        MalformedEntryError: The text is no list.
    """
    return [element for element, _ in _elements(text, b"[")]


def split_object(text: bytes) -> dict[str, bytes]:
    """Return the texts of the fields of an object, by name.

    Raises:
        MalformedEntryError: The text is no object.
    """
    fields = {}
    for element, colon in _elements(text, b"{"):
        name = read(element[:colon]) if colon >= 0 else None
        if not isinstance(name, str):
            raise MalformedEntryError("a field of the response has no name")
        fields[name] = element[colon + 1 :]
    return fields


def is_transferable(value: Any) -> bool:
    """Return whether a decoded value can be encoded for other VMs.

    The encoder allows fewer levels of nesting than the decoder.
    """
    for _ in range(WRAPPED_LEVELS):
        value = [value]
    try:
        orjson.dumps(value)
    except orjson.JSONEncodeError:
        return False
    return True


def read(text: bytes) -> Any:
    """Decode a value; return None if it can't be decoded or passed on."""
    try:
        value = orjson.loads(text)
    except orjson.JSONDecodeError:
        return None
    return value if is_transferable(value) else None
