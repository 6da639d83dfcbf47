"""Encodes and decodes crash reports and trials in the platform's store.

With a crash report, a VM reports to the others that a leaf crashed while it may
have been running a certain request. With a trial it claims to send a request
that all refuse to one leaf. Earlier versions ignore trials, which name no leaf.
"""

from typing import Any

from oriolegate.exceptions import MalformedEntryError
from oriolegate.models.site import CrashEntry
from oriolegate.models.site import CrashReport
from oriolegate.models.site import CrashTrial
from oriolegate.platform import entry_fields

HEX_BASE = 16


def encode(entry: CrashEntry) -> dict[str, Any]:
    """Return the content of the store entry for a report or trial."""
    content: dict[str, Any] = {
        # Hex text, since JSON numbers are exact only up to 53 bits.
        "fingerprint": f"{entry.fingerprint:016x}",
        "attempt_id": entry.attempt_id,
        "vm": entry.vm,
        "wall_ms": entry.wall_ms,
    }
    match entry:
        case CrashReport():
            content["leaf"] = entry.leaf_id
        case CrashTrial():
            content["trial"] = entry.number
    return content


def _decode_fingerprint(fields: dict[str, Any]) -> int:
    fingerprint_hex = entry_fields.require_field(fields, "fingerprint", str)
    try:
        return int(fingerprint_hex, HEX_BASE)
    except ValueError as error:
        raise MalformedEntryError(
            "`fingerprint` is not a hex number"
        ) from error


def decode(content: Any) -> CrashEntry:
    """Decode the content of a store entry.

    Raises:
        MalformedEntryError: A field is missing or invalid.
    """
    fields = entry_fields.require_object(content)
    fingerprint = _decode_fingerprint(fields)
    attempt_id = entry_fields.require_field(fields, "attempt_id", str)
    vm = entry_fields.require_field(fields, "vm", str)
    wall_ms = entry_fields.require_field(fields, "wall_ms", int)
    if "trial" in fields:
        return CrashTrial(
            fingerprint=fingerprint,
            number=entry_fields.require_field(fields, "trial", int),
            attempt_id=attempt_id,
            vm=vm,
            wall_ms=wall_ms,
        )
    return CrashReport(
        fingerprint=fingerprint,
        attempt_id=attempt_id,
        leaf_id=entry_fields.require_field(fields, "leaf", str),
        vm=vm,
        wall_ms=wall_ms,
    )
