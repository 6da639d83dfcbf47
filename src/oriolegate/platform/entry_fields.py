"""Checks the fields of store entries that VMs write for each other."""

from typing import Any

from oriolegate.exceptions import MalformedEntryError


def require_object(content: Any) -> dict[str, Any]:
    """Return the fields of an entry.

    Raises:
        MalformedEntryError: The content is not a JSON object.
    """
    if not isinstance(content, dict):
        raise MalformedEntryError("the entry is not an object")
    return content


def require_field(
    content: dict[str, Any], name: str, expected_type: type
) -> Any:
    """Return the value of a required field.

    Raises:
        MalformedEntryError: The field is missing, empty or of another type.
    """
    value = content.get(name)
    if type(value) is not expected_type or value == "":
        raise MalformedEntryError(
            f"`{name}` is missing, empty or of the wrong type"
        )
    return value
