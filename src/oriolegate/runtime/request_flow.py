"""Takes a caller's request from the front to its outcome.

The order of the checks: is the process accepting, is there room, do the rules
name a service, does this process hold slots of it or is the whole request
forwarded to a home, and, where the request is not idempotent, is its key
claimed. A refusal before the coordinator is always "not run".
"""

from collections.abc import Callable
import itertools
from typing import Protocol

import attrs
from twisted.internet import defer

from oriolegate.clock import Clock
from oriolegate.coordinator.messages import CallerGone
from oriolegate.coordinator.messages import QueryArrived
from oriolegate.metrics import MetricsRegistry
from oriolegate.models.answer import Outcome
from oriolegate.models.answer import Refusal
from oriolegate.models.answer import RelayedOutcome
from oriolegate.models.request import CallerRequest
from oriolegate.result_codes import ResultCode
from oriolegate.result_codes import RunState
from oriolegate.rules.decision import RoutingDecision
from oriolegate.rules.evaluation import ActiveRules
from oriolegate.runtime.claim_gate import ClaimGate
from oriolegate.runtime.query_runner import QueryRunner
from oriolegate.runtime.trial_runner import TrialRunner
from oriolegate.timeline.events import EventBuffer
from oriolegate.timeline.events import EventKind

RETRY_AFTER_MS = 200


class RequestForwarder(Protocol):
    """Runs whole requests on the homes of their service."""

    def must_forward(self, service: str) -> bool:
        """Return whether another process should run the service's requests."""
        ...

    def forward(
        self, request: CallerRequest, service: str, limit_ms: float
    ) -> "defer.Deferred[Outcome]":
        """Run a request on a home; the result never is an error."""
        ...

    def caller_gone(self, request_id: str) -> None:
        """Cancel a forwarded request."""
        ...


class NoForwarding:
    """Keeps every request in this process."""

    def must_forward(self, service: str) -> bool:
        """Return False."""
        return False

    def forward(
        self, request: CallerRequest, service: str, limit_ms: float
    ) -> "defer.Deferred[Outcome]":
        """Never called."""
        raise AssertionError("nothing is forwarded")

    def caller_gone(self, request_id: str) -> None:
        """Do nothing."""


@attrs.define
class FlowState:
    """What decides whether requests are accepted.

    Attributes:
        rules: The rules in force, or None before any were confirmed.
        ready: True once rules and topology are confirmed.
        isolated: True while neither the store nor a peer is heard.
        leaving: True once the balancer should send no new request.
        stopping: True once new requests are refused.
    """

    rules: ActiveRules | None = None
    ready: bool = False
    isolated: bool = False
    leaving: bool = False
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
        self.forwarder: RequestForwarder = NoForwarding()
        self.trials = TrialRunner(runner, clock, metrics)
        self.on_change: Callable[[int], None] = lambda _: None

    @property
    def leaving(self) -> bool:
        """Whether callers should open no new request here."""
        return self.state.leaving

    def fresh_request_id(self) -> str:
        """Return a request id that no other request has."""
        return f"{self.process}-{next(self.numbers)}"

    def unique_request_id(self, wanted: str) -> str:
        """Return an id that no running request has, by preference `wanted`.

        A caller that sends again may use the id of a request that still
        runs; its own answer must not be mixed up with that one's.
        """
        if wanted in self.active:
            return f"{wanted}~{next(self.numbers)}"
        return wanted

    def caller_gone(self, request_id: str) -> None:
        """Take that the caller of a request closed its connection."""
        self.runner.feed(CallerGone(request_id))
        self.forwarder.caller_gone(request_id)

    def handle(self, request: CallerRequest) -> "defer.Deferred[Outcome]":
        """Serve one request of a caller; the result never is an error."""
        return self._serve(request, may_forward=True)

    def handle_forwarded(
        self, request: CallerRequest
    ) -> "defer.Deferred[Outcome]":
        """Serve one request that another process forwarded."""
        return self._serve(request, may_forward=False)

    def _serve(
        self, request: CallerRequest, may_forward: bool
    ) -> "defer.Deferred[Outcome]":
        now_ms = self.clock.now_ms()
        self.events.record(
            now_ms,
            EventKind.REQUEST_ARRIVED,
            request.request_id,
            request.caller,
            request.route,
        )
        outcome = self._start(request, may_forward)
        outcome.addCallback(self._finished, request, now_ms)
        return outcome

    def _start(
        self, request: CallerRequest, may_forward: bool
    ) -> "defer.Deferred[Outcome]":
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
        self.on_change(len(self.active))
        if self.forwarder.must_forward(decision.service):
            return self._forward(request, decision, may_forward)
        run = self._run if request.idempotent else self._claim_and_run
        return self.trials.follow(request, decision, run(request, decision))

    def _forward(
        self,
        request: CallerRequest,
        decision: RoutingDecision,
        may_forward: bool,
    ) -> "defer.Deferred[Outcome]":
        if not may_forward:
            # The sender asks the next home; a second hop could go in circles.
            return defer.succeed(
                _refuse(
                    request,
                    ResultCode.NOT_READY,
                    f"this VM holds no slots of {decision.service}",
                )
            )
        limit_ms = _limit_ms(request, decision)
        return self.forwarder.forward(request, decision.service, limit_ms)

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
        return None

    def _claim_and_run(
        self, request: CallerRequest, decision: RoutingDecision
    ) -> "defer.Deferred[Outcome]":
        limit_ms = _limit_ms(request, decision)
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
        code = _code_of(outcome)
        self.metrics.counter("requests", code=code.name).add()
        latency_ms = self.clock.now_ms() - arrived_ms
        self.metrics.latency("request_latency").record(latency_ms)
        self.on_change(len(self.active))
        return outcome


def _code_of(outcome: Outcome) -> ResultCode:
    match outcome:
        case Refusal(code=code) | RelayedOutcome(code=code):
            return code
        case _:
            if outcome.coverage.missing:
                return ResultCode.PARTIAL
            return ResultCode.OK


def _limit_ms(request: CallerRequest, decision: RoutingDecision) -> float:
    wanted_ms = request.deadline_ms
    if wanted_ms is None:
        wanted_ms = decision.policy.deadline_ms
    return min(wanted_ms, decision.policy.max_deadline_ms)


def _refuse(
    request: CallerRequest,
    code: ResultCode,
    message: str,
    retry_after_ms: int | None = RETRY_AFTER_MS,
) -> Refusal:
    return Refusal(
        request.request_id, code, RunState.NOT_RUN, message, retry_after_ms
    )
