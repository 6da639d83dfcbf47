"""Executes the effects of exchanges and feeds events back to them."""

from collections.abc import Callable
from typing import Any

import attrs

from oriolegate.clock import Clock
from oriolegate.connections.connection import RefusalReason
from oriolegate.crashes.crash_ledger import CrashLedger
from oriolegate.crashes.crash_ledger import Suspicion
from oriolegate.exchange import planned_stop
from oriolegate.exchange import replying
from oriolegate.exchange.exchange import Exchange
from oriolegate.exchange.exchange import NO_HISTORY
from oriolegate.exchange.messages import AbandonSend
from oriolegate.exchange.messages import AnswerGathered
from oriolegate.exchange.messages import CallerCall
from oriolegate.exchange.messages import Effect
from oriolegate.exchange.messages import LeafAnswer
from oriolegate.exchange.messages import Refuse
from oriolegate.exchange.messages import RelayAnswer
from oriolegate.exchange.messages import Reply
from oriolegate.exchange.messages import RequestHistory
from oriolegate.exchange.messages import SendToLeaf
from oriolegate.exchange.part_sender import ExchangeContext
from oriolegate.forwarding.forwarded_call import ForwardFailed
from oriolegate.forwarding.forwarded_call import ForwardState
from oriolegate.models.header_lines import HeaderLines
from oriolegate.models.site import CallerLimits
from oriolegate.models.site import Route
from oriolegate.network.caller_server import CallerHttpRequest
from oriolegate.network.leaf_client import LeafClient
from oriolegate.network.leaf_client import OpenSend
from oriolegate.platform import caller_protocol
from oriolegate.platform import leaf_protocol
from oriolegate.platform.leaf_protocol import NoAnswer
from oriolegate.routing.route_table import RouteTable
from oriolegate.runtime.crash_trials import CrashTrials
from oriolegate.runtime.forward_server import ForwardedRequest
from oriolegate.runtime.leaf_outcomes import LeafOutcomes
from oriolegate.runtime.request_handover import RequestHandover
from oriolegate.runtime.request_log import RequestLog
from oriolegate.runtime.site_sinks import ConfigurationSink

MS_PER_S = 1_000.0
STATUS_NOT_FOUND = 404
STATUS_TOO_LARGE = 413
STATUS_UNAVAILABLE = 503
# Retry-After while no configuration is loaded. Loading takes about 100 ms
# after a start. If none is loaded after STORE_UNAVAILABLE_AFTER_MS, the
# store is considered unavailable, and a caller with one attempt left should
# retry as late as its deadline allows.
NO_CONFIGURATION_RETRY_MS = 200.0
STORE_UNAVAILABLE_AFTER_MS = 300.0
# Retry-After of a request that crashes leafs and is not tried any more: it is
# refused for ten minutes, and an operator may have acted after this time.
CRASHING_RETRY_MS = 60_000.0
# Retry-After of a request that this VM has no memory for; others take it.
NO_MEMORY_RETRY_MS = 500.0

Request = CallerHttpRequest | ForwardedRequest


@attrs.frozen
class Arrival:
    """What is known of a request when it is to be sent to leafs.

    Attributes:
        arrived_ms: When it arrived.
        failed: What other VMs did that were asked to serve it, or None.
        is_trial: Whether it may crash leafs and a trial of it was claimed.
    """

    arrived_ms: float
    failed: ForwardFailed | None = None
    is_trial: bool = False


@attrs.define(eq=False)
class RunningExchange:
    """An exchange with its I/O state.

    Attributes:
        exchange: State machine that makes the decisions.
        request: The request of a caller, or of a VM that forwarded it.
        was_handed_over: Whether other VMs were asked to serve the request.
        head: Encoded request head, shared by all sends.
        sends: Open sends by number.
        timer: Timer for the next `Exchange.on_timer`, or None.
        timer_at_ms: When the timer fires.
    """

    exchange: Exchange
    request: Request
    head: bytes
    was_handed_over: bool = False
    sends: dict[int, OpenSend] = attrs.field(factory=dict)
    timer: Any = None
    timer_at_ms: float = 0.0


class ExchangeRunner:
    """Serves callers' requests.

    Attributes:
        is_isolated: Returns whether this VM reaches neither leafs nor other
            VMs.
        limits: Limits on callers' requests.
        on_arrival: Called before each request is handled.
        leaf_outcomes: Records what sends show of their leafs.
        running: Open exchanges by request.
        trials: Claims trials of requests that are refused.
        handover: Hands requests over to other VMs.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        client: LeafClient,
        context: ExchangeContext,
        configuration: ConfigurationSink,
        request_log: RequestLog,
        crashes: CrashLedger,
        trials: CrashTrials,
        leaf_outcomes: LeafOutcomes,
        handover: RequestHandover,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.client = client
        self.context = context
        self.configuration = configuration
        self.leaf_outcomes = leaf_outcomes
        self.crashes = crashes
        self.trials = trials
        self.request_log = request_log
        self.started_ms = clock.now_ms()
        self.is_isolated: Callable[[], bool] = lambda: False
        self.on_arrival: Callable[[], None] = lambda: None
        self.running: dict[Request, RunningExchange] = {}
        self.handover = handover
        handover.reply_failed = self._reply_failed

    @property
    def leaving(self) -> bool:
        """Whether this VM is stopping."""
        return self.context.stop.is_stopping

    @property
    def closes_connections(self) -> bool:
        """Whether callers should open their next connection, to another VM."""
        return self.leaving or self.is_isolated()

    @property
    def limits(self) -> CallerLimits:
        """Current limits on callers' requests."""
        table = self.configuration.table
        return table.configuration.limits if table else CallerLimits()

    def handle(self, request: CallerHttpRequest) -> None:
        """Handle a fully received request."""
        self.on_arrival()
        now_ms = self.clock.now_ms()
        call = caller_protocol.decode_call(
            request.method,
            request.uri,
            request.header_list(),
            request.read_body(),
        )
        table = self.configuration.table
        if request.too_large:
            self._refuse(request, call, STATUS_TOO_LARGE, "body too large")
            return
        if table is None:
            self._refuse(
                request,
                call,
                STATUS_UNAVAILABLE,
                "no configuration yet",
                self._no_configuration_retry_ms(now_ms, call),
            )
            return
        route = table.match(call.host, call.path)
        if route is None:
            self._refuse(request, call, STATUS_NOT_FOUND, "no route")
            return
        if not self.context.stop.can_take(now_ms, route):
            self._refuse(
                request,
                call,
                STATUS_UNAVAILABLE,
                planned_stop.REFUSAL_REASON,
                replying.OTHER_VM_RETRY_AFTER_MS,
            )
            return
        if not request.reserve_parts(len(route.shards) or 1):
            self._refuse(
                request,
                call,
                STATUS_UNAVAILABLE,
                "no memory to run it",
                NO_MEMORY_RETRY_MS,
            )
            return
        must_forward = self.handover.must_forward(table.configuration.version)
        suspicion = self._find_crash_cause(call)
        if suspicion is not None:
            if must_forward or not self._claim_trial(
                request, call, suspicion, route, table
            ):
                self._refuse_crashing(request, call, suspicion)
            return
        if must_forward and self.handover.hand_over_new(
            request,
            call,
            route,
            table,
            lambda arrived_ms, failed: self._serve(
                request, call, route, table, Arrival(arrived_ms, failed)
            ),
        ):
            return
        self._serve(request, call, route, table)

    def _find_crash_cause(self, call: CallerCall) -> Suspicion | None:
        """Return why a request must be refused, or None if it need not be."""
        suspicion = self.crashes.suspicion(self.clock.now_ms(), call)
        if suspicion is None or suspicion.must_refuse:
            return suspicion
        self.request_log.log_suspicious(call, suspicion)
        return None

    def _refuse_crashing(
        self, request: Request, call: CallerCall, suspicion: Suspicion
    ) -> None:
        """Refuse a request that crashes leafs."""
        retry_after_ms = suspicion.retry_after_ms
        if retry_after_ms is None:
            retry_after_ms = CRASHING_RETRY_MS
        self._refuse(
            request,
            call,
            STATUS_UNAVAILABLE,
            "upstreams fall when they run it",
            retry_after_ms,
        )

    def _claim_trial(
        self,
        request: CallerHttpRequest,
        call: CallerCall,
        suspicion: Suspicion,
        route: Route,
        table: RouteTable,
    ) -> bool:
        """Claim a trial of a refused request; return whether one is due."""
        arrival = Arrival(self.clock.now_ms(), is_trial=True)

        def done(may_try: bool) -> None:
            if may_try:
                self._serve(request, call, route, table, arrival)
            else:
                self._refuse_crashing(request, call, suspicion)

        return self.trials.claim(
            request, call, suspicion, route, table.services(route), done
        )

    def _serve(
        self,
        request: Request,
        call: CallerCall,
        route: Route,
        table: RouteTable,
        arrival: Arrival | None = None,
    ) -> None:
        """Send a request to leafs.

        Args:
            request: The request.
            call: Its content.
            route: Its route.
            table: The configuration in force.
            arrival: What happened since the request arrived, or None if it
                has just arrived.
        """
        now_ms = self.clock.now_ms()
        arrival = arrival or Arrival(now_ms)
        arrived_ms = arrival.arrived_ms
        history = NO_HISTORY
        if arrival.failed is not None:
            history = RequestHistory(
                arrival.failed.is_counted, arrival.failed.has_arrived
            )
        if isinstance(request, ForwardedRequest):
            forwarded = request.forwarded
            arrived_ms -= forwarded.elapsed_ms
            attempts = route.attempts - forwarded.used_attempts
            route = attrs.evolve(route, attempts=attempts)
            history = RequestHistory(
                forwarded.is_counted,
                hold_until_ms=arrived_ms + forwarded.hold_ms,
            )
        exchange = Exchange(
            call,
            route,
            table.services(route),
            table.configuration.version,
            self.context,
            arrived_ms,
            history=history,
            is_trial=arrival.is_trial,
        )
        running = RunningExchange(
            exchange,
            request,
            leaf_protocol.request_head(call),
            arrival.failed is not None,
        )
        self.running[request] = running
        self._execute(running, exchange.start(now_ms))

    # Requests that other VMs forward here

    def serve_forwarded(self, request: ForwardedRequest) -> None:
        """Serve a request of another VM, or decline it."""
        self.on_arrival()
        forwarded = request.forwarded
        call = forwarded.call
        table = self.configuration.table
        version = table.configuration.version if table else 0
        request.version = version
        is_current = version >= forwarded.min_version
        takes_forwards = self.context.stop.takes_forwards
        if table is None or not is_current or not takes_forwards:
            request.decline()
            return
        route = table.match(call.host, call.path)
        if route is None:
            self._refuse(request, call, STATUS_NOT_FOUND, "no route")
        elif self.handover.is_cut_off():
            request.decline(ForwardState.CUT_OFF)
        elif forwarded.used_attempts >= route.attempts:
            request.decline()
        elif (suspicion := self._find_crash_cause(call)) is not None:
            self._refuse_crashing(request, call, suspicion)
        elif not request.http_request.reserve_parts(len(route.shards) or 1):
            request.decline()
        else:
            self._serve(request, call, route, table)

    def cancel_forwarded(self, request: ForwardedRequest) -> None:
        """Stop a forwarded request whose VM has disconnected."""
        self._cancel(request)

    def _reply_failed(
        self, request: CallerHttpRequest, call: CallerCall
    ) -> None:
        refusal = Refuse(
            replying.STATUS_BAD_GATEWAY, "no answer of the VM that ran it"
        )
        self._reply(request, refusal, call.attempt_id)

    def _hand_over(self, running: RunningExchange, refusal: Refuse) -> bool:
        """Hand over a request whose leafs this VM can't reach, if one may."""
        request = running.request
        if isinstance(request, ForwardedRequest) or running.was_handed_over:
            return False
        call = running.exchange.call
        return self.handover.hand_over_failed(
            request,
            running.exchange,
            refusal,
            lambda: self._reply(request, refusal, call.attempt_id),
        )

    def on_cut_off(self) -> None:
        """Hand over open requests, as this VM reaches no leaf any more."""
        now_ms = self.clock.now_ms()
        for running in list(self.running.values()):
            self._execute(running, running.exchange.on_cut_off(now_ms))

    def _no_configuration_retry_ms(
        self, now_ms: float, call: CallerCall
    ) -> float:
        """Return the Retry-After while no configuration is loaded."""
        if (
            now_ms - self.started_ms < STORE_UNAVAILABLE_AFTER_MS
            or call.time_left_ms is None
        ):
            return NO_CONFIGURATION_RETRY_MS
        return min(
            replying.LONGEST_RETRY_AFTER_MS,
            call.time_left_ms * replying.RETRY_AFTER_FRACTION,
        )

    def header_too_late(self, limit_ms: float) -> None:
        """Log a connection that was closed due to the header timeout."""
        self.request_log.log_header_timeout(limit_ms)

    def request_refused(
        self, headers: HeaderLines, reason: RefusalReason
    ) -> None:
        """Log a request that was refused before it was complete."""
        attempt_id = caller_protocol.decode_attempt_id(headers)
        status = STATUS_UNAVAILABLE
        if reason is RefusalReason.ENDLESS:
            status = STATUS_TOO_LARGE
        self.request_log.log_incomplete(attempt_id, status, reason.value)

    def caller_gone(self, request: CallerHttpRequest) -> None:
        """Stop working on a request whose caller disconnected."""
        self.handover.cancel(request)
        self.trials.cancel(request)
        self._cancel(request)

    def _cancel(self, request: Request) -> None:
        running = self.running.get(request)
        if running is not None:
            now_ms = self.clock.now_ms()
            self._execute(
                running, running.exchange.on_caller_disconnected(now_ms)
            )
            self._log_reply(running)

    def answer_all(self) -> None:
        """Answer every open request with the results received so far."""
        now_ms = self.clock.now_ms()
        for running in list(self.running.values()):
            self._execute(running, running.exchange.on_process_end(now_ms))
        self.trials.end_all()
        self.handover.end_all()

    def _refuse(
        self,
        request: Request,
        call: CallerCall,
        status: int,
        reason: str,
        retry_after_ms: float | None = None,
    ) -> None:
        refusal = Refuse(status, reason, retry_after_ms)
        self.request_log.log_refused(call, refusal)
        self._reply(request, refusal, call.attempt_id)

    def _reply(self, request: Request, reply: Reply, attempt_id: str) -> None:
        response = caller_protocol.encode_reply(reply, attempt_id)
        if isinstance(request, ForwardedRequest) and isinstance(reply, Refuse):
            request.is_unreachable |= reply.is_unreachable
        request.reply(response.status, response.headers, response.body)

    def _execute(self, running: RunningExchange, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendToLeaf():
                    self._send(running, effect)
                case AbandonSend(send):
                    open_send = running.sends.pop(send, None)
                    if open_send is not None:
                        self.leaf_outcomes.record_abandoned(
                            running.exchange, open_send
                        )
                        self.client.abandon(open_send)
                case Refuse(is_unreachable=True) if self._hand_over(
                    running, effect
                ):
                    pass
                case RelayAnswer() | AnswerGathered() | Refuse():
                    exchange = running.exchange
                    if isinstance(running.request, ForwardedRequest):
                        running.request.used_attempts = exchange.used_attempts
                        running.request.has_arrived = exchange.has_arrived
                    call = exchange.call
                    self._reply(running.request, effect, call.attempt_id)
                    self._log_reply(running)
        self._set_timer(running)

    def _send(self, running: RunningExchange, effect: SendToLeaf) -> None:
        def done(result: LeafAnswer | NoAnswer) -> None:
            self._on_result(running, effect, result)

        running.sends[effect.send] = self.client.send(
            effect.leaf,
            running.exchange.call,
            running.head,
            effect.time_left_ms,
            done,
        )

    def _on_result(
        self,
        running: RunningExchange,
        effect: SendToLeaf,
        result: LeafAnswer | NoAnswer,
    ) -> None:
        if running.sends.pop(effect.send, None) is None:
            return
        now_ms = self.clock.now_ms()
        exchange = running.exchange
        if isinstance(result, LeafAnswer):
            if result.is_success and exchange.answered_count == 0:
                # The first success already shows that the request is harmless.
                self.leaf_outcomes.record_success(exchange, effect.leaf)
            effects = exchange.on_answer(now_ms, effect.send, result)
        else:
            self.leaf_outcomes.record_no_answer(exchange, effect.leaf, result)
            effects = exchange.on_failure(
                now_ms, effect.send, result.outcome, result.detail
            )
        self._execute(running, effects)

    def _set_timer(self, running: RunningExchange) -> None:
        exchange = running.exchange
        timer = running.timer
        if exchange.is_finished:
            if timer is not None and timer.active():
                timer.cancel()
            self.running.pop(running.request, None)
            return
        due_ms = exchange.timer_due_ms
        if timer is not None and timer.active():
            # A timer that fires too early costs less than a new timer.
            if due_ms >= running.timer_at_ms:
                return
            timer.cancel()
        delay_s = max(0.0, due_ms - self.clock.now_ms()) / MS_PER_S
        running.timer = self.reactor.callLater(delay_s, self._on_timer, running)
        running.timer_at_ms = due_ms

    def _on_timer(self, running: RunningExchange) -> None:
        running.timer = None
        now_ms = self.clock.now_ms()
        self._execute(running, running.exchange.on_timer(now_ms))

    def _log_reply(self, running: RunningExchange) -> None:
        reply = running.exchange.reply
        if reply is not None:
            caller_vm = None
            if isinstance(running.request, ForwardedRequest):
                caller_vm = running.request.forwarded.vm
            self.request_log.log_ended(
                self.clock.now_ms(), running.exchange, reply, caller_vm
            )
