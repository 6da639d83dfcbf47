"""Effects that `ClaimManager` returns."""

from collections.abc import Mapping
from typing import Any

import attrs

from oriolegate.result_codes import ResultCode
from oriolegate.result_codes import RunState


@attrs.frozen
class ClaimGranted:
    """The request may run; no other send of its key may ever run."""

    request_id: str


@attrs.frozen
class ClaimRefused:
    """The request must not run.

    Attributes:
        request_id: Id of the refused request, which was not dispatched.
        code: Reason of the refusal.
        run_state: Whether this send ran; for ALREADY_CLAIMED and
            KEY_TOO_OLD, whether other sends of the key ran.
        message: One sentence for the caller.
        retry_after_ms: Delay before the same key is sent again, or None.
        outcome: Result code of the send that ran, if known.
    """

    request_id: str
    code: ResultCode
    run_state: RunState
    message: str
    retry_after_ms: int | None = None
    outcome: ResultCode | None = None


@attrs.frozen
class ReadClass:
    """Read the store object of kind `claims` with this name."""

    operation: int
    name: str


@attrs.frozen
class WriteClass:
    """Write an object of kind `claims` if it has the expected version."""

    operation: int
    name: str
    value: Mapping[str, Any]
    expected_version: int


@attrs.frozen
class SetTimer:
    """Send `TimerFired` at this time; replaces the previous timer."""

    at_ms: float


@attrs.frozen
class SendToPeer:
    """Send one of `claims.messages` to another VM; it may be lost."""

    vm: str
    message: object


ClaimsEffect = (
    ClaimGranted | ClaimRefused | ReadClass | WriteClass | SetTimer | SendToPeer
)
