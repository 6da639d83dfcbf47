"""Events that the coordinator takes and effects that it asks for."""

from typing import Any

import attrs

from oriolegate.models.answer import Answer
from oriolegate.models.answer import Refusal
from oriolegate.models.policy import ServicePolicy
from oriolegate.models.request import CallerRequest
from oriolegate.result_codes import ResultCode
from oriolegate.upstreams.leaf_state import ReportedState


@attrs.frozen
class SubRequestId:
    """Names one attempt for one shard of one query.

    Attributes:
        query: Number of the query.
        shard: Number of the shard.
        attempt: Number of the attempt.
        fingerprint: The request's; here because reports bring it back even
            after the query is forgotten.
    """

    query: int
    shard: int
    attempt: int
    fingerprint: int = attrs.field(default=0, eq=False, repr=False)


@attrs.frozen
class QueryArrived:
    """A caller's request, with what the rules decided for it.

    Attributes:
        request: The request.
        service: The service that serves it.
        policy: The policy that holds for it.
        index_version: Pinned by a trial, or None for the current one.
        preferred_upstream: Preferred by a trial, or None.
        fingerprint: Tells the request to the quarantine; 0 without one.
        held: Whether the quarantine is asked before anything is sent.
        is_copy: Whether it is a mirror's copy, which no caller waits for.
    """

    request: CallerRequest
    service: str
    policy: ServicePolicy
    index_version: int | None = None
    preferred_upstream: str | None = None
    fingerprint: int = attrs.field(default=0, repr=False)
    held: bool = attrs.field(default=False, repr=False)
    # Not in the representation, where the request's id names a copy.
    is_copy: bool = attrs.field(default=False, repr=False)

    @property
    def budget_name(self) -> str:
        """Whose budgets, latencies and queue length the query counts in.

        Copies have their own, so that they neither spend what callers'
        requests may nor make the service look overloaded.
        """
        return f"{self.service} copies" if self.is_copy else self.service


@attrs.frozen
class LeafReport:
    """What an upstream's answer says of the leaf that wrote it."""

    leaf: str
    state: ReportedState
    incarnation: int


@attrs.frozen
class SubAnswered:
    """A leaf ran a sub-request and answered.

    Attributes:
        sub: The attempt.
        report: State of the leaf.
        index_version: The version that the results are from.
        results: Decoded results of the shard.
    """

    sub: SubRequestId
    report: LeafReport
    index_version: int
    results: list[Any]


@attrs.frozen
class SubNotRun:
    """A leaf says that it did not run a sub-request.

    Attributes:
        sub: The attempt.
        report: State of the leaf.
        reason: The reason on the wire, see docs/interfaces/upstream.md.
    """

    sub: SubRequestId
    report: LeafReport
    reason: str


@attrs.frozen
class SubFailed:
    """A leaf failed a sub-request that may have run."""

    sub: SubRequestId
    report: LeafReport


@attrs.frozen
class SubLost:
    """The connection was lost after the sub-request was sent.

    Attributes:
        sub: The attempt.
        leaf: Where it was sent.
        may_retry: Whether the quarantine lets the request go on; if not, it
            is held and the quarantine is asked again.
    """

    sub: SubRequestId
    leaf: str
    may_retry: bool = True


@attrs.frozen
class SubUnsent:
    """No connection to the leaf: the sub-request was never sent."""

    sub: SubRequestId
    leaf: str


@attrs.frozen
class CallerGone:
    """The caller closed its connection or cancelled."""

    request_id: str


@attrs.frozen
class TimerFired:
    """The time last asked for by `SetTimer` has come."""


@attrs.frozen
class CapacityChanged:
    """Grants, topology, rules or leaf states outside a query changed."""


@attrs.frozen
class AnswerAll:
    """The process is about to end: answer every query with what is there."""


@attrs.frozen
class CanaryChosen:
    """A held query may send one sub-request to this upstream, no more.

    Attributes:
        query: Number of the query.
        upstream: Where to send it.
        hedge_upstream: Where a hedge of it may go, or None.
    """

    query: int
    upstream: str
    hedge_upstream: str | None = None


@attrs.frozen
class HeldReleased:
    """A held query may go to every shard."""

    query: int


@attrs.frozen
class RequestAborted:
    """A held query is refused.

    Attributes:
        query: Number of the query.
        code: Why.
        retry_after_ms: When its caller may ask again.
    """

    query: int
    code: ResultCode
    retry_after_ms: int


Event = (
    QueryArrived
    | SubAnswered
    | SubNotRun
    | SubFailed
    | SubLost
    | SubUnsent
    | CallerGone
    | TimerFired
    | CapacityChanged
    | AnswerAll
    | CanaryChosen
    | HeldReleased
    | RequestAborted
)


@attrs.frozen
class SendSub:
    """Send a sub-request to a leaf."""

    sub: SubRequestId
    leaf: str
    index_version: int
    deadline_ms: int
    body: bytes
    idempotency_key: str | None


@attrs.frozen
class CancelSub:
    """Ask a leaf to stop work on a sub-request."""

    sub: SubRequestId
    leaf: str


@attrs.frozen
class Deliver:
    """Give the caller its answer or refusal."""

    outcome: Answer | Refusal


@attrs.frozen
class SetTimer:
    """Fire a `TimerFired` at this monotonic time; replaces the earlier one."""

    at_ms: float


@attrs.frozen
class AdmissionWanted:
    """Ask the quarantine how a held query may be sent.

    The answer is a `CanaryChosen`, `HeldReleased` or `RequestAborted`, at
    once or later.

    Attributes:
        query: Number of the query.
        request_id: The caller's request, for the time line.
        fingerprint: The request.
        upstreams: Those that hold its shards, without those passed over.
        canary_unsent: Whether the last canary chosen was never sent.
    """

    query: int
    request_id: str
    fingerprint: int
    upstreams: tuple[str, ...]
    canary_unsent: bool = False


@attrs.frozen
class AdmissionDropped:
    """A held query is over and needs no admission.

    Attributes:
        query: Number of the query.
        fingerprint: The request.
        canary_unsent: Whether the last canary chosen was never sent.
    """

    query: int
    fingerprint: int
    canary_unsent: bool


Effect = (
    SendSub
    | CancelSub
    | Deliver
    | SetTimer
    | AdmissionWanted
    | AdmissionDropped
)
