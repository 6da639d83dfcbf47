"""Inputs and effects of the handling of one request."""

import enum

import attrs

from oriolegate.models.header_lines import HeaderLines
from oriolegate.models.site import LeafEntry


@attrs.frozen
class CallerCall:
    """A request as the caller sent it.

    Attributes:
        attempt_id: Id of the caller's attempt, as the caller sent it.
        method: HTTP method, such as GET.
        target: Path and query, as sent.
        host: Host that the request names, without a port.
        path: Path of the target.
        headers: All headers to forward, in order.
        body: Complete body.
        time_left_ms: Remaining timeout of the caller, or None if not stated.
    """

    attempt_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: HeaderLines
    body: bytes
    time_left_ms: float | None


@attrs.frozen
class RequestHistory:
    """What other VMs did with a request before this one.

    Attributes:
        is_counted: Whether one has counted it for the retry budget.
        has_arrived: Whether a leaf may have received it from one that charged
            nothing for what this VM sends.
        hold_until_ms: Until when one leaf of each service may run it here.
    """

    is_counted: bool = False
    has_arrived: bool = False
    hold_until_ms: float = float("-inf")


@attrs.frozen
class LeafAnswer:
    """A complete response of a leaf that ran the request.

    Attributes:
        status: HTTP status.
        headers: All headers, as received.
        body: Complete body.
        signature: The leaf's signature, or None.
    """

    status: int
    headers: HeaderLines
    body: bytes
    signature: bytes | None

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx and the response is signed."""
        return 200 <= self.status < 300 and self.signature is not None


class SendOutcome(enum.Enum):
    """What is known of a send that got no answer.

    Attributes:
        UNSENT: The request reached no leaf.
        NOT_RUN: A leaf received the request but did not run it.
        WRONG_LEAF: Another leaf uses the address and did not run the request.
        MAY_HAVE_RUN: The leaf may have run the request.
    """

    UNSENT = "unsent"
    NOT_RUN = "not run"
    WRONG_LEAF = "wrong leaf"
    MAY_HAVE_RUN = "may have run"


@attrs.frozen
class SendToLeaf:
    """Send the request to a leaf.

    Attributes:
        send: Number of the send within the exchange.
        leaf: The receiving leaf.
        time_left_ms: Timeout of the send.
    """

    send: int
    leaf: LeafEntry
    time_left_ms: float


@attrs.frozen
class AbandonSend:
    """Cancel a send, so that the leaf stops working on the request."""

    send: int


@attrs.frozen
class RelayAnswer:
    """Reply with a leaf's answer, unchanged."""

    answer: LeafAnswer


@attrs.frozen
class AnswerGathered:
    """Reply with the greatest records of the parts that were answered.

    Attributes:
        body: The records, greatest first.
        signatures: Signatures of the answered parts.
        missing: Number of parts without an answer.
    """

    body: bytes
    signatures: tuple[bytes, ...]
    missing: int


@attrs.frozen
class Refuse:
    """Reply with an error of this tier.

    Attributes:
        status: HTTP status.
        reason: Reason for the log and the response body.
        retry_after_ms: When the caller should retry, or None.
        is_unreachable: Whether this VM could not reach the leafs, so that
            another VM may have more success.
    """

    status: int
    reason: str
    retry_after_ms: float | None = None
    is_unreachable: bool = False


Reply = RelayAnswer | AnswerGathered | Refuse
Effect = SendToLeaf | AbandonSend | RelayAnswer | AnswerGathered | Refuse


@attrs.frozen
class Decision:
    """One decision about a request, for the log.

    Attributes:
        after_ms: Time since the request arrived.
        kind: What was decided, such as `hedge`.
        service: The service concerned.
        leaf: Id of the leaf concerned, or empty.
        detail: The input that led to the decision.
    """

    after_ms: float
    kind: str
    service: str
    leaf: str
    detail: str
