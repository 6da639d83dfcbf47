"""Serve callers' requests, from the HTTP server to the outcome.

A request passes these checks in order: the process accepts requests; fewer
than the maximum are running; the rules name a service; this process holds
slots of the service (concurrent runs on its leafs), otherwise the whole request
is forwarded to a home, a VM that holds such slots; the idempotency key of a
request that is not idempotent is claimed. A request that is refused before it
reaches the coordinator is always reported as "not run".
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

RETRY_AFTER_MS = 200  # sent to the caller of a refused request


class RequestForwarder(Protocol):
    """Forwards whole requests to the homes of their service."""

    def must_forward(self, service: str) -> bool:
        """Return whether another process should run the service's requests."""
        ...

    def forward(
        self, request: CallerRequest, service: str, timeout_ms: float
    ) -> "defer.Deferred[Outcome]":
        """Run a request on a home; the result never fails."""
        ...

    def caller_gone(self, request_id: str) -> None:
        """Cancel a forwarded request."""
        ...


class NoForwarding:
    """Runs every request in this process."""

    def must_forward(self, service: str) -> bool:
        """Return False."""
        return False

    def forward(
        self, request: CallerRequest, service: str, timeout_ms: float
    ) -> "defer.Deferred[Outcome]":
        """Fail, as `must_forward` never allows this call."""
        raise AssertionError("nothing is forwarded")

    def caller_gone(self, request_id: str) -> None:
        """Do nothing."""


@attrs.define
class FlowState:
    """State that determines whether requests are accepted.

    Attributes:
        rules: The rules in force, or None before any were confirmed.
        ready: True while rules and topologies are confirmed.
        isolated: True while neither the store nor any peer responds.
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
        state: State that determines whether requests are accepted.
        active: Start times of the running requests, by request id.
        forwarder: Forwards requests; set by the composition root.
        on_active_changed: Called with the number of running requests.
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
        self.request_numbers = itertools.count(1)
        self.forwarder: RequestForwarder = NoForwarding()
        self.trials = TrialRunner(runner, clock, metrics)
        self.on_active_changed: Callable[[int], None] = lambda _: None

    @property
    def leaving(self) -> bool:
        """Whether callers should send new requests to other VMs."""
        return self.state.leaving

    @property
    def most_parts(self) -> int:
        """Most leafs that get one request at the same time."""
        topologies = self.runner.coordinator.state.leafs.topologies.values()
        return max(
            (
                len(version.shards)
                for topology in topologies
                for version in topology.versions.values()
            ),
            default=1,
        )

    def fresh_request_id(self) -> str:
        """Return a new unique request id."""
        return f"{self.process}-{next(self.request_numbers)}"

    def unique_request_id(self, wanted: str) -> str:
        """Return `wanted`, or a variant of it if a running request has it.

        A caller that resends may reuse the id of a request that is still
        running; the answers of both requests must not be confused.
        """
        if wanted in self.active:
            return f"{wanted}~{next(self.request_numbers)}"
        return wanted

    def caller_gone(self, request_id: str) -> None:
        """Cancel a request whose caller has closed its connection."""
        self.runner.feed(CallerGone(request_id))
        self.forwarder.caller_gone(request_id)

    def handle(self, request: CallerRequest) -> "defer.Deferred[Outcome]":
        """Serve one request of a caller; the result never fails."""
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
        outcome.addCallback(self._on_finished, request, now_ms)
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
        self.on_active_changed(len(self.active))
        if self.forwarder.must_forward(decision.service):
            return self._forward(request, decision, may_forward)
        run = self._run if request.idempotent else self._claim_and_run
        return self.trials.record_request(
            request, decision, run(request, decision)
        )

    def _forward(
        self,
        request: CallerRequest,
        decision: RoutingDecision,
        may_forward: bool,
    ) -> "defer.Deferred[Outcome]":
        if not may_forward:
            # The sender tries the next home. A second hop could cause a loop.
            return defer.succeed(
                _refuse(
                    request,
                    ResultCode.NOT_READY,
                    f"this VM holds no slots of {decision.service}",
                )
            )
        timeout_ms = _timeout_ms(request, decision)
        return self.forwarder.forward(request, decision.service, timeout_ms)

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
        timeout_ms = _timeout_ms(request, decision)
        started_ms = self.clock.now_ms()

        def on_claimed(refusal: Refusal | None) -> "defer.Deferred[Outcome]":
            if refusal is not None:
                return defer.succeed(refusal)
            remaining_ms = timeout_ms - (self.clock.now_ms() - started_ms)
            if remaining_ms > 0:
                outcome = self._run(
                    attrs.evolve(request, deadline_ms=remaining_ms), decision
                )
            else:
                message = "the deadline passed while the key was claimed"
                outcome = defer.succeed(
                    _refuse(request, ResultCode.NOT_RUN, message)
                )
            return outcome.addCallback(report_outcome)

        def report_outcome(outcome: Outcome) -> Outcome:
            self.claims.on_outcome(request, outcome)
            return outcome

        return self.claims.claim(request, timeout_ms).addCallback(on_claimed)

    def _run(
        self, request: CallerRequest, decision: RoutingDecision
    ) -> "defer.Deferred[Outcome]":
        outcome: defer.Deferred[Outcome] = defer.Deferred()
        self.runner.receivers[request.request_id] = outcome.callback
        if decision.priority is not request.priority:
            request = attrs.evolve(request, priority=decision.priority)
        self.runner.submit_query(
            QueryArrived(
                request,
                decision.service,
                decision.policy,
                decision.index_version,
                decision.preferred_upstream,
            )
        )
        return outcome

    def _on_finished(
        self, outcome: Outcome, request: CallerRequest, arrived_ms: float
    ) -> Outcome:
        self.active.pop(request.request_id, None)
        code = _code_of(outcome)
        self.metrics.counter("requests", code=code.name).add()
        latency_ms = self.clock.now_ms() - arrived_ms
        self.metrics.latency("request_latency").record(latency_ms)
        self.on_active_changed(len(self.active))
        return outcome


def _code_of(outcome: Outcome) -> ResultCode:
    match outcome:
        case Refusal(code=code) | RelayedOutcome(code=code):
            return code
        case _:
            if outcome.coverage.missing:
                return ResultCode.PARTIAL
            return ResultCode.OK


def _timeout_ms(request: CallerRequest, decision: RoutingDecision) -> float:
    requested_ms = request.deadline_ms
    if requested_ms is None:
        requested_ms = decision.policy.deadline_ms
    return min(requested_ms, decision.policy.max_deadline_ms)


def _refuse(
    request: CallerRequest,
    code: ResultCode,
    message: str,
    retry_after_ms: int | None = RETRY_AFTER_MS,
) -> Refusal:
    return Refusal(
        request.request_id, code, RunState.NOT_RUN, message, retry_after_ms
    )
