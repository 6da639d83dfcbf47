"""Checks of the fields of entries that VMs write for each other."""

from typing import Any

from oriolegate.exceptions import MalformedEntryError


def mapping(content: Any) -> dict[str, Any]:
    """Return an entry's fields.

    Raises:
        MalformedEntryError: If it has none.
    """
    if not isinstance(content, dict):
        raise MalformedEntryError("the entry is not an object")
    return content


def field(content: dict[str, Any], name: str, kind: type) -> Any:
    """Return a field that must be there and of one type.

    Raises:
        MalformedEntryError: If it is not.
    """
    value = content.get(name)
    if type(value) is not kind or value == "":
        raise MalformedEntryError(f"`{name}` is missing or of another type")
    return value
