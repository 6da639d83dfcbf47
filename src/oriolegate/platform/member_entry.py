"""The entry by which a VM tells the others that it may run."""

from typing import Any

from oriolegate.exceptions import MalformedEntryError
from oriolegate.models.site import MemberEntry


def encode(entry: MemberEntry) -> dict[str, Any]:
    """Return the content of a VM's entry."""
    return {
        "vm": entry.vm,
        "data_centre": entry.data_centre,
        "host": entry.host,
        "port": entry.port,
        "renewed_wall_ms": entry.renewed_wall_ms,
    }


def _field(content: dict[str, Any], name: str, kind: type) -> Any:
    value = content.get(name)
    if type(value) is not kind or value == "":
        raise MalformedEntryError(f"`{name}` is missing or of another type")
    return value


def decode(content: Any) -> MemberEntry:
    """Return what an entry says.

    Raises:
        MalformedEntryError: If it names no VM.
    """
    if not isinstance(content, dict):
        raise MalformedEntryError("the entry is not an object")
    return MemberEntry(
        vm=_field(content, "vm", str),
        data_centre=_field(content, "data_centre", str),
        host=_field(content, "host", str),
        port=_field(content, "port", int),
        renewed_wall_ms=_field(content, "renewed_wall_ms", int),
    )
