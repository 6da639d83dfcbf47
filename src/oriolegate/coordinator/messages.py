"""Events that the coordinator handles and effects that it returns."""

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
    """Identifies one attempt for one shard of one query.

    Attributes:
        query: Number of the query.
        shard: Number of the shard.
        attempt: Number of the attempt.
        fingerprint: Fingerprint of the request. Stored here so that reports
            still carry the fingerprint after the query has ended.
    """

    query: int
    shard: int
    attempt: int
    fingerprint: int = attrs.field(default=0, eq=False, repr=False)


@attrs.frozen
class QueryArrived:
    """A caller's request arrived and the rules were applied to it.

    Attributes:
        request: The request.
        service: The service that serves the request.
        policy: The policy that applies to the request.
        index_version: Version set by a trial, or None for the current one.
        preferred_upstream: Upstream set by a trial, or None.
        fingerprint: Identifies the request to the quarantine; 0 if the request
            has no fingerprint.
        held: Whether nothing may be sent before the quarantine admits it.
        is_copy: Whether the request is a mirrored copy, which no caller waits
            for.
    """

    request: CallerRequest
    service: str
    policy: ServicePolicy
    index_version: int | None = None
    preferred_upstream: str | None = None
    fingerprint: int = attrs.field(default=0, repr=False)
    held: bool = attrs.field(default=False, repr=False)
    # Omitted from repr: the request id already marks a copy.
    is_copy: bool = attrs.field(default=False, repr=False)

    @property
    def budget_name(self) -> str:
        """Key of the budgets, latencies and queue length that the query uses.

        Mirrored copies use a separate key, so that copies neither spend the
        budgets of callers' requests nor make the service look overloaded.
        """
        return f"{self.service} copies" if self.is_copy else self.service


@attrs.frozen
class LeafReport:
    """State of a leaf, as reported in its response."""

    leaf: str
    state: ReportedState
    incarnation: int


@attrs.frozen
class SubAnswered:
    """A leaf ran a sub-request and answered.

    Attributes:
        sub: The attempt.
        report: State of the leaf.
        index_version: Index version of the results.
        results: Decoded results of the shard.
    """

    sub: SubRequestId
    report: LeafReport
    index_version: int
    results: list[Any]


@attrs.frozen
class SubNotRun:
    """A leaf reported that it did not run a sub-request.

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
        leaf: Name of the leaf that received the sub-request.
        may_retry: Whether the quarantine allows a retry. If not, an
            idempotent query is held until the quarantine admits it.
    """

    sub: SubRequestId
    leaf: str
    may_retry: bool = True


@attrs.frozen
class SubUnsent:
    """The sub-request was not sent for lack of a connection to the leaf."""

    sub: SubRequestId
    leaf: str


@attrs.frozen
class CallerGone:
    """The caller closed its connection or cancelled the request."""

    request_id: str


@attrs.frozen
class TimerFired:
    """The timer of the last `SetTimer` expired."""


@attrs.frozen
class CapacityChanged:
    """Grants, topology, rules or leaf states changed without a leaf report."""


@attrs.frozen
class AnswerAll:
    """The process is about to end: answer each query with partial results."""


@attrs.frozen
class CanaryChosen:
    """The quarantine allows one sub-request of a held query, the canary.

    Attributes:
        query: Number of the query.
        upstream: Upstream to send the canary to.
        hedge_upstream: Upstream for the canary's hedge, or None for no hedge.
    """

    query: int
    upstream: str
    hedge_upstream: str | None = None


@attrs.frozen
class HeldReleased:
    """The quarantine allows a held query to be sent to all its shards."""

    query: int


@attrs.frozen
class RequestAborted:
    """The quarantine refuses a held query.

    Attributes:
        query: Number of the query.
        code: Result code for the caller.
        retry_after_ms: Delay after which the caller may retry.
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
    """Cancel a sub-request at a leaf."""

    sub: SubRequestId
    leaf: str


@attrs.frozen
class Deliver:
    """Send the caller its answer or refusal."""

    outcome: Answer | Refusal


@attrs.frozen
class SetTimer:
    """Replace the timer: feed a `TimerFired` at this monotonic time."""

    at_ms: float


@attrs.frozen
class AdmissionWanted:
    """Request the quarantine's decision on a held query.

    The response is a `CanaryChosen`, `HeldReleased` or `RequestAborted`,
    immediately or later.

    Attributes:
        query: Number of the query.
        request_id: Request id from the caller, for the timeline.
        fingerprint: Fingerprint of the request.
        upstreams: Upstreams that hold shards of the query and were not
            skipped.
        canary_unsent: Whether the last chosen canary was not sent.
    """

    query: int
    request_id: str
    fingerprint: int
    upstreams: tuple[str, ...]
    canary_unsent: bool = False


@attrs.frozen
class AdmissionDropped:
    """Withdraws the admission request of a held query.

    Attributes:
        query: Number of the query.
        fingerprint: Fingerprint of the request.
        canary_unsent: Whether the last chosen canary was not sent.
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
