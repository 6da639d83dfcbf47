"""Effects that the claims core asks for."""

from collections.abc import Mapping
from typing import Any

import attrs

from oriolegate.result_codes import ResultCode
from oriolegate.result_codes import RunState


@attrs.frozen
class ClaimGranted:
    """The request may run; no other send of its key ever may."""

    request_id: str


@attrs.frozen
class ClaimRefused:
    """The request must not run.

    Attributes:
        request_id: The send that is refused; it was not dispatched.
        code: Why.
        run_state: NOT_RUN says that this send did not run; for
            ALREADY_CLAIMED and KEY_TOO_OLD it speaks of the other sends.
        message: One sentence for the caller.
        retry_after_ms: When to send the same key again, or None.
        outcome: Result code of the send that ran, if it is known.
    """

    request_id: str
    code: ResultCode
    run_state: RunState
    message: str
    retry_after_ms: int | None = None
    outcome: ResultCode | None = None


@attrs.frozen
class ReadClass:
    """Read an object of kind `claims`."""

    operation: int
    name: str


@attrs.frozen
class WriteClass:
    """Write an object of kind `claims` if it is at `expected_version`."""

    operation: int
    name: str
    value: Mapping[str, Any]
    expected_version: int


@attrs.frozen
class SetTimer:
    """Send `TimerFired` at this time; replaces the timer set before."""

    at_ms: float


@attrs.frozen
class SendToPeer:
    """Send one of `claims.messages` to another VM; it may get lost."""

    vm: str
    message: object


ClaimsEffect = (
    ClaimGranted | ClaimRefused | ReadClass | WriteClass | SetTimer | SendToPeer
)
