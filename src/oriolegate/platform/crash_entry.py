"""Encodes and decodes crash reports in the platform's store.

With a crash report, a VM reports to the others that a leaf crashed while it may
have been running a certain request.
"""

from typing import Any

from oriolegate.exceptions import MalformedEntryError
from oriolegate.models.site import CrashReport
from oriolegate.platform import entry_fields

HEX_BASE = 16


def encode(report: CrashReport) -> dict[str, Any]:
    """Return the content of the store entry for a report."""
    return {
        # Hex text, since JSON numbers are exact only up to 53 bits.
        "fingerprint": f"{report.fingerprint:016x}",
        "attempt_id": report.attempt_id,
        "leaf": report.leaf_id,
        "vm": report.vm,
        "wall_ms": report.wall_ms,
    }


def decode(content: Any) -> CrashReport:
    """Decode the content of a store entry.

    Raises:
        MalformedEntryError: A field is missing or invalid.
    """
    fields = entry_fields.require_object(content)
    fingerprint_hex = entry_fields.require_field(fields, "fingerprint", str)
    try:
        fingerprint = int(fingerprint_hex, HEX_BASE)
    except ValueError as error:
        raise MalformedEntryError(
            "`fingerprint` is not a hex number"
        ) from error
    return CrashReport(
        fingerprint=fingerprint,
        attempt_id=entry_fields.require_field(fields, "attempt_id", str),
        leaf_id=entry_fields.require_field(fields, "leaf", str),
        vm=entry_fields.require_field(fields, "vm", str),
        wall_ms=entry_fields.require_field(fields, "wall_ms", int),
    )
