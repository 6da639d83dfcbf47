"""The entry by which a VM tells the others with which request a leaf fell."""

from typing import Any

from oriolegate.exceptions import MalformedEntryError
from oriolegate.models.site import CrashReport
from oriolegate.platform import entry_fields

HEX_BASE = 16


def encode(report: CrashReport) -> dict[str, Any]:
    """Return the content of a report's entry."""
    return {
        # A JSON number keeps only 53 bits.
        "fingerprint": f"{report.fingerprint:016x}",
        "attempt_id": report.attempt_id,
        "leaf": report.leaf_id,
        "vm": report.vm,
        "wall_ms": report.wall_ms,
    }


def decode(content: Any) -> CrashReport:
    """Return what an entry says.

    Raises:
        MalformedEntryError: If it is no report.
    """
    source = entry_fields.mapping(content)
    text = entry_fields.field(source, "fingerprint", str)
    try:
        found = int(text, HEX_BASE)
    except ValueError as error:
        raise MalformedEntryError("`fingerprint` is no hex number") from error
    return CrashReport(
        fingerprint=found,
        attempt_id=entry_fields.field(source, "attempt_id", str),
        leaf_id=entry_fields.field(source, "leaf", str),
        vm=entry_fields.field(source, "vm", str),
        wall_ms=entry_fields.field(source, "wall_ms", int),
    )
