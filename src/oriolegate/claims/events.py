"""Events that the claims core is told."""

from collections.abc import Mapping
from typing import Any

import attrs

from oriolegate.result_codes import ResultCode
from oriolegate.result_codes import RunState


@attrs.frozen
class ClaimRequested:
    """A request that is not idempotent wants to run.

    Attributes:
        key: The idempotency key as the caller sent it.
        request_id: Names this send; unique within the process.
        deadline_at_ms: Monotonic time after which it must not run.
        wall_ms: This VM's wall clock.
    """

    key: str
    request_id: str
    deadline_at_ms: float
    wall_ms: int


@attrs.frozen
class ReadDone:
    """A `ReadClass` succeeded; version 0 and no value if it is absent."""

    operation: int
    version: int
    value: Mapping[str, Any] | None


@attrs.frozen
class ReadFailed:
    """A `ReadClass` failed."""

    operation: int


@attrs.frozen
class WriteDone:
    """A `WriteClass` took effect at the new version."""

    operation: int
    version: int


@attrs.frozen
class WriteConflict:
    """A `WriteClass` met another version than it expected."""

    operation: int


@attrs.frozen
class WriteFailed:
    """A `WriteClass` failed and may have taken effect all the same."""

    operation: int


@attrs.frozen
class OutcomeKnown:
    """A granted request ended.

    With NOT_RUN the sender of the event promises that the request did not
    run and never will: the claim is released, so that the key may be sent
    again.
    """

    key: str
    request_id: str
    run_state: RunState
    code: ResultCode


@attrs.frozen
class Paused:
    """The process found that it had not run for a while."""


@attrs.frozen
class TimerFired:
    """The time of a `SetTimer` has come."""


@attrs.frozen
class OwnersChanged:
    """The VMs between which the classes are divided; only a hint."""

    vms: tuple[str, ...]


@attrs.frozen
class PeerMessageReceived:
    """Another VM sent one of `claims.messages`."""

    vm: str
    message: object


ClaimsEvent = (
    ClaimRequested
    | ReadDone
    | ReadFailed
    | WriteDone
    | WriteConflict
    | WriteFailed
    | OutcomeKnown
    | Paused
    | TimerFired
    | OwnersChanged
    | PeerMessageReceived
)
