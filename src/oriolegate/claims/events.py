"""Events that `ClaimManager` handles."""

from collections.abc import Mapping
from typing import Any

import attrs

from oriolegate.result_codes import ResultCode
from oriolegate.result_codes import RunState


@attrs.frozen
class ClaimRequested:
    """A non-idempotent request needs a claim to run.

    Attributes:
        key: Idempotency key as received from the caller.
        request_id: Identifies this send of the key; unique within the process.
        deadline_at_ms: Monotonic time after which the request must not run.
        wall_ms: Wall clock of this VM.
    """

    key: str
    request_id: str
    deadline_at_ms: float
    wall_ms: int


@attrs.frozen
class ReadDone:
    """A `ReadClass` succeeded; version 0 and None if there is no object."""

    operation: int
    version: int
    value: Mapping[str, Any] | None


@attrs.frozen
class ReadFailed:
    """A `ReadClass` failed."""

    operation: int


@attrs.frozen
class WriteDone:
    """A `WriteClass` took effect and produced this version."""

    operation: int
    version: int


@attrs.frozen
class WriteConflict:
    """A `WriteClass` found another version than expected."""

    operation: int


@attrs.frozen
class WriteFailed:
    """A `WriteClass` failed but may have taken effect."""

    operation: int


@attrs.frozen
class OutcomeKnown:
    """A granted request ended.

    NOT_RUN guarantees that the request did not run and never will: its claim
    is released, so that the key can be sent again.
    """

    key: str
    request_id: str
    run_state: RunState
    code: ResultCode


@attrs.frozen
class ProcessPaused:
    """This process detected that it was paused."""


@attrs.frozen
class TimerFired:
    """The timer set by `SetTimer` has fired."""


@attrs.frozen
class OwnersChanged:
    """The VMs among which the buckets are divided; only a hint."""

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
    | ProcessPaused
    | TimerFired
    | OwnersChanged
    | PeerMessageReceived
)
