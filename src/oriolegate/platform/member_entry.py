"""The entry by which a VM tells the others that it may run."""

from typing import Any

from oriolegate.models.site import MemberEntry
from oriolegate.platform import entry_fields


def encode(entry: MemberEntry) -> dict[str, Any]:
    """Return the content of a VM's entry."""
    return {
        "vm": entry.vm,
        "data_centre": entry.data_centre,
        "host": entry.host,
        "port": entry.port,
        "renewed_wall_ms": entry.renewed_wall_ms,
    }


def decode(content: Any) -> MemberEntry:
    """Return what an entry says.

    Raises:
        MalformedEntryError: If it names no VM.
    """
    source = entry_fields.mapping(content)
    return MemberEntry(
        vm=entry_fields.field(source, "vm", str),
        data_centre=entry_fields.field(source, "data_centre", str),
        host=entry_fields.field(source, "host", str),
        port=entry_fields.field(source, "port", int),
        renewed_wall_ms=entry_fields.field(source, "renewed_wall_ms", int),
    )
