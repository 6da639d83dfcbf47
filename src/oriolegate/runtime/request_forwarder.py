"""Forwards requests that this VM can't serve to VMs that may."""

from collections.abc import Callable
from typing import Any

import attrs

from oriolegate import structured_log
from oriolegate.clock import Clock
from oriolegate.exceptions import PeerMessageError
from oriolegate.forwarding.forward_plan import ForwardPlan
from oriolegate.forwarding.forwarded_call import ForwardedCall
from oriolegate.forwarding.forwarded_call import ForwardedReply
from oriolegate.forwarding.forwarded_call import ForwardFailed
from oriolegate.forwarding.forwarded_call import ForwardState
from oriolegate.forwarding.shared_attempts import SharedAttempts
from oriolegate.forwarding.target_choice import TargetChoice
from oriolegate.metrics import MetricsRegistry
from oriolegate.models.site import MemberEntry
from oriolegate.models.site import Route
from oriolegate.network import forward_wire
from oriolegate.network.http_connection import Answered
from oriolegate.network.http_connection import Broken
from oriolegate.network.http_connection import HttpCall
from oriolegate.network.http_connection import NotSent
from oriolegate.network.http_connection import Result
from oriolegate.network.http_pool import HttpPool
from oriolegate.network.receive_limits import ReceiveBuffer
from oriolegate.network.receive_limits import ReceiveLimits
from oriolegate.retries.retry_budget import RetryBudget

log = structured_log.get_logger("forwards")

MS_PER_S = 1_000.0
STATUS_OK = 200
# Timeouts of opening a connection to a VM of this region and of another.
NEAR_CONNECT_TIMEOUT_S = 0.1
FAR_CONNECT_TIMEOUT_S = 0.2
# Network latency of the answer, kept free before the deadline.
NEAR_MARGIN_MS = 2.0
FAR_MARGIN_MS = 25.0
# Wait after the deadline for an answer that was sent at the deadline.
ANSWER_GRACE_MS = 15.0
MAX_ANSWER_BYTES = 2 * 1024 * 1024
MAX_BUFFERED_BYTES = 4 * 1024 * 1024

Outcome = ForwardedReply | ForwardFailed


@attrs.define(eq=False)
class OpenForward:
    """A forwarded request without an outcome.

    Attributes:
        forwarded: The request.
        route: Its route.
        services: Services that its parts need.
        plan: Decides which VM is next.
        attempts: Attempts that are left.
        arrived_ms: When the request arrived.
        patience_ms: How long one VM may take without answering any request.
        done: Called with the outcome; not called after a cancel.
        tried: VMs that were asked, in order, with what became of it.
        states: What VMs that did not serve it replied.
        refusal: Last reply of a VM that could not serve it now, or None.
        http_call: Call to the VM that is asked, or None.
        timer: Timeout of that call, or None.
        sent_at_ms: When that call was made.
        was_extended: Whether its timeout was extended.
        has_arrived: Whether a leaf may have received the request from a VM that
            was asked.
    """

    forwarded: ForwardedCall
    route: Route
    services: tuple[str, ...]
    plan: ForwardPlan
    attempts: SharedAttempts
    arrived_ms: float
    patience_ms: float
    done: Callable[[Outcome], None]
    tried: list[str] = attrs.field(factory=list)
    states: set[ForwardState] = attrs.field(factory=set)
    refusal: ForwardedReply | None = None
    http_call: HttpCall | None = None
    timer: Any = None
    sent_at_ms: float = 0.0
    was_extended: bool = False
    has_arrived: bool = False

    def mark_counted(self) -> None:
        """Record that a VM has counted the request for the retry budget."""
        self.forwarded = attrs.evolve(self.forwarded, is_counted=True)


class RequestForwarder:
    """Sends requests to other VMs, one VM after the other.

    Attributes:
        choice: Chooses the VMs.
        budget: Budget for requests that are sent again after no answer.
        pools: Connections by VM.
        seen_version: Newest configuration version that an answer was given by;
            later requests must not be served by an older one.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        choice: TargetChoice,
        budget: RetryBudget,
        metrics: MetricsRegistry,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.choice = choice
        self.budget = budget
        self.metrics = metrics
        self.pools: dict[str, HttpPool] = {}
        self.limits = ReceiveLimits(
            MAX_ANSWER_BYTES, ReceiveBuffer(MAX_BUFFERED_BYTES)
        )
        self.seen_version = 0

    def find_targets(self, route: Route) -> tuple[str, ...]:
        """Return the VMs that may serve a request of a route, in order."""
        return self.choice.choose(
            self.clock.now_ms(), route.name, route.home_regions
        )

    def send(self, open_forward: OpenForward) -> None:
        """Send a request to the next VM that may serve it."""
        now_ms = self.clock.now_ms()
        vm = open_forward.plan.next_vm(now_ms)
        entry = self.choice.find_entry(vm) if vm is not None else None
        if vm is None:
            self._give_up(open_forward)
        elif entry is None:
            self.send(open_forward)
        else:
            self._send_to(open_forward, entry)

    def cancel(self, open_forward: OpenForward) -> None:
        """Stop a forwarded request, at the VM that runs it too."""
        self._stop_timer(open_forward)
        call, open_forward.http_call = open_forward.http_call, None
        if call is not None:
            self.pools[open_forward.plan.vm].cancel(call)

    def _get_pool(self, entry: MemberEntry) -> HttpPool:
        address = (entry.host, entry.port)
        pool = self.pools.get(entry.vm)
        if pool is None or pool.address != address:
            timeout_s = FAR_CONNECT_TIMEOUT_S
            if self.choice.is_near(entry):
                timeout_s = NEAR_CONNECT_TIMEOUT_S
            pool = HttpPool(
                self.reactor, self.clock, address, timeout_s, self.limits
            )
            self.pools[entry.vm] = pool
        return pool

    def _give_up(self, open_forward: OpenForward) -> None:
        if open_forward.states == {ForwardState.UNREACHABLE}:
            self.choice.record_none_served(
                self.clock.now_ms(), open_forward.route.name
            )
        may_have_run = open_forward.plan.may_have_run
        if open_forward.refusal is not None and not may_have_run:
            self._finish(open_forward, open_forward.refusal)
        else:
            failed = ForwardFailed(
                may_have_run,
                open_forward.forwarded.is_counted,
                open_forward.has_arrived,
            )
            self._finish(open_forward, failed)

    def _finish(self, open_forward: OpenForward, outcome: Outcome) -> None:
        result = "failed"
        if isinstance(outcome, ForwardedReply):
            result = "answered"
        self.metrics.counter("oriolegate_forwards_total", result=result).add()
        open_forward.done(outcome)

    def _send_to(self, open_forward: OpenForward, entry: MemberEntry) -> None:
        now_ms = self.clock.now_ms()
        is_near = self.choice.is_near(entry)
        margin_ms = NEAR_MARGIN_MS if is_near else FAR_MARGIN_MS
        call = open_forward.forwarded.call
        if call.time_left_ms is not None:
            call = attrs.evolve(
                call, time_left_ms=call.time_left_ms - margin_ms
            )
        open_forward.attempts.hold(now_ms, open_forward.route.target_ms)
        open_forward.sent_at_ms = now_ms
        open_forward.was_extended = False
        forwarded = attrs.evolve(
            open_forward.forwarded,
            call=call,
            elapsed_ms=now_ms - open_forward.arrived_ms,
            used_attempts=open_forward.attempts.used,
            hold_ms=open_forward.attempts.hold_until_ms
            - open_forward.arrived_ms,
        )
        pool = self._get_pool(entry)

        def on_result(result: Result) -> None:
            self._stop_timer(open_forward)
            open_forward.http_call = None
            self._on_result(open_forward, entry.vm, result)

        open_forward.http_call = HttpCall(
            forward_wire.encode_call(*pool.address, forwarded),
            on_result,
            accepts=lambda response: (
                response.status != STATUS_OK
                or forward_wire.is_reply_to(response.body, call.attempt_id)
            ),
        )
        self._start_timer(open_forward)
        pool.send(open_forward.http_call)

    def _start_timer(self, open_forward: OpenForward) -> None:
        plan = open_forward.plan
        now_ms = self.clock.now_ms()
        limit_ms = plan.deadline_at_ms - now_ms + ANSWER_GRACE_MS
        if plan.repeatable and plan.untried:
            limit_ms = min(limit_ms, open_forward.patience_ms)
        open_forward.timer = self.reactor.callLater(
            limit_ms / MS_PER_S, self._on_timeout, open_forward
        )

    def _stop_timer(self, open_forward: OpenForward) -> None:
        if open_forward.timer is not None and open_forward.timer.active():
            open_forward.timer.cancel()
        open_forward.timer = None

    def _must_wait_longer(self, open_forward: OpenForward) -> bool:
        """Return whether a VM that answers others may still answer this one.

        It gives up leafs that hang by itself, within the same time once more.
        """
        plan = open_forward.plan
        return (
            not open_forward.was_extended
            and self.clock.now_ms() < plan.deadline_at_ms
            and self.choice.has_answered_since(plan.vm, open_forward.sent_at_ms)
        )

    def _on_timeout(self, open_forward: OpenForward) -> None:
        if self._must_wait_longer(open_forward):
            open_forward.was_extended = True
            self._start_timer(open_forward)
            return
        vm = open_forward.plan.vm
        was_sent = (
            open_forward.http_call is not None
            and open_forward.http_call.connection is not None
        )
        self.cancel(open_forward)
        if was_sent:
            self._on_lost(open_forward, vm, "no answer in time")
        else:
            self._on_unsent(open_forward, vm, "no connection in time")

    def _on_result(
        self,
        open_forward: OpenForward,
        vm: str,
        result: Result,
    ) -> None:
        match result:
            case NotSent(detail):
                self._on_unsent(open_forward, vm, detail)
            case Broken(detail):
                self._on_lost(open_forward, vm, detail)
            case Answered(response):
                try:
                    reply = forward_wire.decode_reply(response.body)
                except PeerMessageError as error:
                    self._on_lost(open_forward, vm, error.message)
                    return
                self._on_reply(open_forward, vm, reply)

    def _on_unsent(
        self, open_forward: OpenForward, vm: str, detail: str
    ) -> None:
        self.choice.record_failure(self.clock.now_ms(), vm)
        open_forward.tried.append(f"{vm}: {detail}")
        self.send(open_forward)

    def _on_lost(self, open_forward: OpenForward, vm: str, detail: str) -> None:
        self.choice.record_failure(self.clock.now_ms(), vm)
        open_forward.tried.append(f"{vm}: {detail}")
        self.metrics.counter("oriolegate_forwards_lost_total").add()
        entry = self.choice.find_entry(vm)
        open_forward.attempts.record_lost(
            self.clock.now_ms(),
            is_held=entry is not None and entry.holds_attempts,
        )
        open_forward.plan.on_lost()
        open_forward.mark_counted()
        self._on_arrived(open_forward)
        self.send(open_forward)

    def _on_arrived(self, open_forward: OpenForward) -> None:
        """Charge the next try, which is an extra one for the leafs."""
        open_forward.has_arrived = True
        untried = open_forward.plan.untried
        may_try_next = not open_forward.attempts.is_exhausted
        if untried and may_try_next:
            may_try_next = self.budget.take_each(
                open_forward.services, self.clock.now_ms()
            )
        if not may_try_next:
            untried.clear()

    def _on_not_served(
        self, open_forward: OpenForward, reply: ForwardedReply
    ) -> None:
        """Count what a VM did that could not serve a request."""
        if reply.may_have_run:
            open_forward.attempts.record_used(reply.used_attempts)
            open_forward.plan.on_lost()
        open_forward.mark_counted()
        if reply.has_arrived:
            self._on_arrived(open_forward)

    def _on_reply(
        self,
        open_forward: OpenForward,
        vm: str,
        reply: ForwardedReply,
    ) -> None:
        now_ms = self.clock.now_ms()
        match reply.state:
            case ForwardState.ANSWERED:
                self.choice.record_served(now_ms, vm)
                self.seen_version = max(self.seen_version, reply.version)
                open_forward.tried.append(vm)
                self._finish(open_forward, reply)
                return
            case ForwardState.CUT_OFF:
                self.choice.record_cut_off(now_ms, vm)
            case ForwardState.UNREACHABLE:
                self.choice.record_declined(now_ms, vm)
                self._on_not_served(open_forward, reply)
            case ForwardState.DECLINED:
                self.choice.record_declined(now_ms, vm)
                if reply.body:
                    open_forward.refusal = reply
                    self._on_not_served(open_forward, reply)
        open_forward.states.add(reply.state)
        self.metrics.counter(
            "oriolegate_forward_declines_total", state=reply.state.value
        ).add()
        open_forward.tried.append(f"{vm}: {reply.state.value}")
        self.send(open_forward)
