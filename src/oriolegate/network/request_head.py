"""Parses the heads of HTTP requests, at a cost linear in their bytes.

A head is parsed as a whole once it is complete, and its fields are kept as the
bytes of their lines. No name or value of a client is kept for longer than its
request.
"""

from collections.abc import Iterator
import re
from typing import Any

import attrs

from oriolegate.exceptions import CallerInputError
from oriolegate.models import header_lines
from oriolegate.models.header_lines import HeaderLines

END_OF_HEAD = b"\r\n\r\n"
LINE_END = b"\r\n"
FOLD = re.compile(rb"\r\n[ \t]+")
TOKEN_BYTES = (
    b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789"
    b"!#$%&'*+-.^_`|~"
)
# Bytes that a value may not contain (RFC 9110, section 5.5).
INVALID_IN_VALUE = b"\x00\r\n"
# Bytes that a target may contain, as the HTTP library checks it.
FIRST_TARGET_BYTE = 33
LAST_TARGET_BYTE = 176
TARGET_BYTES = bytes(range(FIRST_TARGET_BYTE, LAST_TARGET_BYTE + 1))
VERSIONS = (b"HTTP/1.1", b"HTTP/1.0")


@attrs.frozen
class RequestHead:
    """The head of one request.

    Attributes:
        method: HTTP method.
        target: Path and query, as sent.
        version: HTTP version, such as `HTTP/1.1`.
        headers: The header fields, with names as sent.
    """

    method: bytes
    target: bytes
    version: bytes
    headers: HeaderLines

    @property
    def size_bytes(self) -> int:
        """Size of what is kept of it."""
        return len(self.target) + len(self.headers.data)


def is_token(value: bytes) -> bool:
    """Return whether a value is a token (RFC 9110, section 5.6.2)."""
    return bool(value) and not value.translate(None, TOKEN_BYTES)


def count_lines(head: bytes) -> int:
    """Return how many lines a head has, its start line included."""
    return head.count(LINE_END) + 1


def parse(head: bytes) -> RequestHead:
    """Parse a head without the blank line that ends it.

    Raises:
        CallerInputError: If it is malformed.
    """
    start_line, _, lines = FOLD.sub(b" ", head).partition(LINE_END)
    words = start_line.split(b" ")
    if (
        len(words) != 3
        or not is_token(words[0])
        or not words[1]
        or words[1].translate(None, TARGET_BYTES)
        or words[2] not in VERSIONS
    ):
        raise CallerInputError("the request line is malformed")
    method, target, version = words
    fields = b""
    if lines:
        fields = b"".join(map(_parse_field, lines.split(LINE_END)))
    return RequestHead(method, target, version, HeaderLines(fields))


def _parse_field(line: bytes) -> bytes:
    name, colon, value = line.partition(b":")
    value = value.strip(b" \t")
    is_valid = colon and is_token(name)
    if not is_valid or len(value.translate(None, INVALID_IN_VALUE)) != len(
        value
    ):
        raise CallerInputError("a header field is malformed")
    return header_lines.encode_line(name, value)


class ReceivedHeaders:
    """Offers header fields through the methods that Twisted's requests use.

    Twisted's own class keeps a dictionary, and up to 10,000 names of any length
    for the life of the process.
    """

    def __init__(self, lines: HeaderLines | None = None) -> None:
        self.lines = lines or HeaderLines()

    def hasHeader(self, name: Any) -> bool:  # noqa: N802 (Twisted's name)
        """Return whether there is a field of a name."""
        return self.getRawHeaders(name) is not None

    def getRawHeaders(  # noqa: N802 (Twisted's name)
        self, name: Any, default: Any = None
    ) -> Any:
        """Return the values of a field, of the type of its name."""
        is_text = isinstance(name, str)
        key = name.encode("latin-1") if is_text else name
        values: list[Any] = list(self.lines.values(key.lower()))
        if is_text:
            values = [value.decode("utf-8", "replace") for value in values]
        return values or default

    def getAllRawHeaders(  # noqa: N802 (Twisted's name)
        self,
    ) -> Iterator[tuple[bytes, list[bytes]]]:
        """Return each field with its value."""
        return ((name, [value]) for name, value in self.lines)
