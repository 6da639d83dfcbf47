"""Takes a caller's request from the front to its outcome.

The order of the checks: is the process accepting, is there room, do the rules
name a service, and, where the request is not idempotent, is its key claimed.
A refusal before the coordinator is always "not run".
"""

from collections.abc import Callable
import itertools

import attrs
from twisted.internet import defer

from oriolegate.clock import Clock
from oriolegate.coordinator.messages import CallerGone
from oriolegate.coordinator.messages import QueryArrived
from oriolegate.metrics import MetricsRegistry
from oriolegate.models.answer import Answer
from oriolegate.models.answer import Refusal
from oriolegate.models.request import CallerRequest
from oriolegate.result_codes import ResultCode
from oriolegate.result_codes import RunState
from oriolegate.rules.decision import RoutingDecision
from oriolegate.rules.evaluation import ActiveRules
from oriolegate.runtime.claim_gate import ClaimGate
from oriolegate.runtime.query_runner import QueryRunner
from oriolegate.timeline.events import EventBuffer
from oriolegate.timeline.events import EventKind

RETRY_AFTER_MS = 200

Outcome = Answer | Refusal


@attrs.define
class FlowState:
    """What decides whether requests are accepted.

    Attributes:
        rules: The rules in force, or None before any were confirmed.
        ready: True once rules and topology are confirmed.
        stopping: True once new requests are refused.
    """

    rules: ActiveRules | None = None
    ready: bool = False
    stopping: bool = False


class RequestFlow:
    """Serves callers' requests.

    Attributes:
        state: See `FlowState`.
        active: Requests in hand, by request id.
    """

    def __init__(
        self,
        process: str,
        clock: Clock,
        runner: QueryRunner,
        claims: ClaimGate,
        events: EventBuffer,
        metrics: MetricsRegistry,
        max_concurrent: int,
    ) -> None:
        self.process = process
        self.clock = clock
        self.runner = runner
        self.claims = claims
        self.events = events
        self.metrics = metrics
        self.max_concurrent = max_concurrent
        self.state = FlowState()
        self.active: dict[str, float] = {}
        self.numbers = itertools.count(1)
        self.on_idle: Callable[[], None] = lambda: None

    def fresh_request_id(self) -> str:
        """Return a request id that no other request has."""
        return f"{self.process}-{next(self.numbers)}"

    def caller_gone(self, request_id: str) -> None:
        """Take that the caller of a request closed its connection."""
        self.runner.feed(CallerGone(request_id))

    def handle(self, request: CallerRequest) -> "defer.Deferred[Outcome]":
        """Serve one request; the result never is an error."""
        now_ms = self.clock.now_ms()
        self.events.record(
            now_ms,
            EventKind.REQUEST_ARRIVED,
            request.request_id,
            request.caller,
            request.route,
        )
        outcome = self._start(request)
        outcome.addCallback(self._finished, request, now_ms)
        return outcome

    def _start(self, request: CallerRequest) -> "defer.Deferred[Outcome]":
        refusal = self._check(request)
        if refusal is not None:
            return defer.succeed(refusal)
        assert self.state.rules is not None
        decision = self.state.rules.decide(request, self.clock.wall_ms())
        if decision is None:
            return defer.succeed(
                _refuse(
                    request,
                    ResultCode.UNKNOWN_ROUTE,
                    f"no rule names the route {request.route}",
                    None,
                )
            )
        self.active[request.request_id] = self.clock.now_ms()
        if request.idempotent:
            return self._run(request, decision)
        return self._claim_and_run(request, decision)

    def _check(self, request: CallerRequest) -> Refusal | None:
        state = self.state
        if state.stopping:
            return _refuse(
                request, ResultCode.STOPPING, "this VM is stopping; ask another"
            )
        if not state.ready or state.rules is None:
            return _refuse(
                request,
                ResultCode.NOT_READY,
                "this VM is starting; ask another",
            )
        if len(self.active) >= self.max_concurrent:
            return _refuse(
                request, ResultCode.OVERLOADED, "this VM has no room; ask again"
            )
        if request.request_id in self.active:
            return _refuse(
                request,
                ResultCode.BAD_REQUEST,
                "a request with this X-Request-Id is running here",
            )
        return None

    def _claim_and_run(
        self, request: CallerRequest, decision: RoutingDecision
    ) -> "defer.Deferred[Outcome]":
        policy = decision.policy
        wanted_ms = request.deadline_ms or policy.deadline_ms
        limit_ms = min(wanted_ms, policy.max_deadline_ms)
        started_ms = self.clock.now_ms()

        def claimed(refusal: Refusal | None) -> "defer.Deferred[Outcome]":
            if refusal is not None:
                return defer.succeed(refusal)
            left_ms = limit_ms - (self.clock.now_ms() - started_ms)
            if left_ms > 0:
                outcome = self._run(
                    attrs.evolve(request, deadline_ms=left_ms), decision
                )
            else:
                message = "the deadline passed while the key was claimed"
                outcome = defer.succeed(
                    _refuse(request, ResultCode.NOT_RUN, message)
                )
            return outcome.addCallback(tell_end)

        def tell_end(outcome: Outcome) -> Outcome:
            self.claims.ended(request, outcome)
            return outcome

        return self.claims.claim(request, limit_ms).addCallback(claimed)

    def _run(
        self, request: CallerRequest, decision: RoutingDecision
    ) -> "defer.Deferred[Outcome]":
        outcome: defer.Deferred[Outcome] = defer.Deferred()
        self.runner.receivers[request.request_id] = outcome.callback
        if decision.priority is not request.priority:
            request = attrs.evolve(request, priority=decision.priority)
        self.runner.arrive(
            QueryArrived(
                request,
                decision.service,
                decision.policy,
                decision.index_version,
                decision.preferred_upstream,
            )
        )
        return outcome

    def _finished(
        self, outcome: Outcome, request: CallerRequest, arrived_ms: float
    ) -> Outcome:
        self.active.pop(request.request_id, None)
        code = ResultCode.OK
        if isinstance(outcome, Refusal):
            code = outcome.code
        elif outcome.coverage.missing:
            code = ResultCode.PARTIAL
        self.metrics.counter("requests", code=code.name).add()
        latency_ms = self.clock.now_ms() - arrived_ms
        self.metrics.latency("request_latency").record(latency_ms)
        if not self.active:
            self.on_idle()
        return outcome


def _refuse(
    request: CallerRequest,
    code: ResultCode,
    message: str,
    retry_after_ms: int | None = RETRY_AFTER_MS,
) -> Refusal:
    return Refusal(
        request.request_id, code, RunState.NOT_RUN, message, retry_after_ms
    )
