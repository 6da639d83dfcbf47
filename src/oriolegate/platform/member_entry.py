"""Encodes and decodes membership entries in the platform's store.

With a membership entry, a VM announces to the others that it may be running.
"""

from typing import Any

from oriolegate.exceptions import MalformedEntryError
from oriolegate.models.site import MemberEntry
from oriolegate.platform import entry_fields


def encode(entry: MemberEntry) -> dict[str, Any]:
    """Return the content of the store entry for a VM."""
    return {
        "vm": entry.vm,
        "data_centre": entry.data_centre,
        "host": entry.host,
        "port": entry.port,
        "renewed_wall_ms": entry.renewed_wall_ms,
        "link_mbps": entry.link_mbps,
        "accepts_forwards": entry.accepts_forwards,
        "holds_attempts": entry.holds_attempts,
    }


def _link_mbps(fields: dict[str, Any]) -> float:
    # Earlier versions don't write the field.
    value = fields.get("link_mbps", 0.0)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedEntryError("`link_mbps` is not a number")
    return float(value)


def _flag(fields: dict[str, Any], name: str) -> bool:
    # Earlier versions don't write the field.
    value = fields.get(name, False)
    if not isinstance(value, bool):
        raise MalformedEntryError(f"`{name}` is not a boolean")
    return value


def decode(content: Any) -> MemberEntry:
    """Decode the content of a store entry.

    Raises:
        MalformedEntryError: A field is missing or invalid.
    """
    fields = entry_fields.require_object(content)
    return MemberEntry(
        vm=entry_fields.require_field(fields, "vm", str),
        data_centre=entry_fields.require_field(fields, "data_centre", str),
        host=entry_fields.require_field(fields, "host", str),
        port=entry_fields.require_field(fields, "port", int),
        renewed_wall_ms=entry_fields.require_field(
            fields, "renewed_wall_ms", int
        ),
        link_mbps=_link_mbps(fields),
        accepts_forwards=_flag(fields, "accepts_forwards"),
        holds_attempts=_flag(fields, "holds_attempts"),
    )
