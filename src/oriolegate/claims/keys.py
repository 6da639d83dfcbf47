"""Idempotency keys: `<milliseconds since the epoch>-<random>`.

A key contains the time at which the caller created it, so that a key older
than the retention period is refused and not mistaken for a new one.
"""

import re

import attrs
from expression import Error
from expression import Ok
from expression import Result

from oriolegate.claims.settings import ClaimsSettings
from oriolegate.result_codes import ResultCode
from oriolegate.result_codes import RunState

KEY_PATTERN = re.compile(r"([0-9]{13})-([A-Za-z0-9_]{16,40})")


@attrs.frozen
class IdempotencyKey:
    """A well-formed key.

    Attributes:
        text: The key as received from the caller.
        time_ms: When the caller created it, in milliseconds since the epoch.
    """

    text: str
    time_ms: int


@attrs.frozen
class KeyRejection:
    """Reason for refusing a key; `run_state` covers all sends of the key."""

    code: ResultCode
    run_state: RunState
    message: str


def _invalid(message: str) -> KeyRejection:
    return KeyRejection(
        ResultCode.IDEMPOTENCY_KEY_INVALID, RunState.NOT_RUN, message
    )


def too_old() -> KeyRejection:
    """Return the rejection of a key whose claim may have been deleted.

    An earlier send of the key may have run; there is no record of it.
    """
    return KeyRejection(
        ResultCode.KEY_TOO_OLD,
        RunState.MAY_HAVE_RUN,
        "The idempotency key is too old to tell whether it was used before.",
    )


def read_key(text: str) -> IdempotencyKey | None:
    """Parse a key without checking its time; None if it is malformed."""
    match = KEY_PATTERN.fullmatch(text)
    return IdempotencyKey(text, int(match.group(1))) if match else None


def parse_key(
    text: str, wall_ms: int, settings: ClaimsSettings
) -> Result[IdempotencyKey, KeyRejection]:
    """Check a key against the format and the wall clock.

    Args:
        text: The key as received from the caller.
        wall_ms: Wall clock of this VM.
        settings: Retention period and allowed clock skew.
    """
    key = read_key(text)
    if key is None:
        return Error(
            _invalid(
                "Form the idempotency key as 13 digits of milliseconds since"
                " the epoch, a hyphen, and 16 to 40 letters, digits or _."
            )
        )
    if key.time_ms > wall_ms + settings.clock_skew_ms:
        return Error(
            _invalid("The idempotency key's time is ahead; set the clock.")
        )
    if key.time_ms < wall_ms - settings.retention_ms:
        return Error(too_old())
    return Ok(key)
