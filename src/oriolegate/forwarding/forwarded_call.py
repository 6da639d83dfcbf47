"""Messages between gateways about a forwarded request."""

import enum

import attrs

from oriolegate.exchange.messages import CallerCall
from oriolegate.models.header_lines import HeaderLines


@attrs.frozen
class ForwardedCall:
    """A request that a VM which can't serve it sends to another VM.

    Attributes:
        call: The caller's request. Its remaining timeout counts from its
            arrival at the first VM.
        elapsed_ms: Time since that arrival.
        min_version: Oldest configuration version that may be applied.
        used_attempts: Number of leafs of one service that may have run it.
        is_counted: Whether a VM has counted it for the retry budget.
        vm: The VM that the caller sent it to.
        hold_ms: Time since its arrival until which the receiving VM uses a
            single attempt.
    """

    call: CallerCall
    elapsed_ms: float
    min_version: int
    used_attempts: int
    is_counted: bool
    vm: str
    hold_ms: float = 0.0


class ForwardState(enum.Enum):
    """What a VM did with a forwarded request.

    Attributes:
        ANSWERED: The response is for the caller.
        CUT_OFF: The VM reaches no leaf either.
        UNREACHABLE: The VM can't reach the leafs of this request either; the
            response states whether it may have run.
        DECLINED: The VM did not run the request, and may later. The response
            is for the caller if no VM runs it.
    """

    ANSWERED = "answered"
    CUT_OFF = "cut off"
    UNREACHABLE = "unreachable"
    DECLINED = "declined"


@attrs.frozen
class ForwardedReply:
    """Response to a forwarded request.

    Attributes:
        attempt_id: Id of the caller's attempt.
        state: What the VM did.
        may_have_run: Whether a leaf may have run the request.
        version: Configuration version of the VM.
        status: HTTP status for the caller.
        headers: HTTP headers for the caller.
        body: Body for the caller.
        used_attempts: Number of leafs of one service that may have run the
            request at the VM, or None if the VM doesn't tell.
        has_arrived: Whether a leaf may have received the request, even if it
            did not run it.
    """

    attempt_id: str
    state: ForwardState
    may_have_run: bool
    version: int
    status: int
    headers: HeaderLines
    body: bytes
    used_attempts: int | None = None
    has_arrived: bool = True


@attrs.frozen
class ForwardFailed:
    """No VM served a forwarded request.

    Attributes:
        may_have_run: Whether a leaf may have run it.
        is_counted: Whether a VM has counted it for the retry budget.
        has_arrived: Whether a leaf may have received it.
    """

    may_have_run: bool
    is_counted: bool = False
    has_arrived: bool = False
