"""Carries out the effects of exchanges and feeds events back to them."""

from collections.abc import Callable
from typing import Any

import attrs

from oriolegate import structured_log
from oriolegate.clock import Clock
from oriolegate.crashes import crash_ledger
from oriolegate.crashes.crash_ledger import CrashLedger
from oriolegate.crashes.crash_ledger import LostRequest
from oriolegate.exchange import replying
from oriolegate.exchange.exchange import Exchange
from oriolegate.exchange.messages import AbandonSend
from oriolegate.exchange.messages import AnswerGathered
from oriolegate.exchange.messages import CallerCall
from oriolegate.exchange.messages import Effect
from oriolegate.exchange.messages import LeafAnswer
from oriolegate.exchange.messages import Refuse
from oriolegate.exchange.messages import RelayAnswer
from oriolegate.exchange.messages import Reply
from oriolegate.exchange.messages import SendOutcome
from oriolegate.exchange.messages import SendToLeaf
from oriolegate.exchange.part_sender import ExchangeContext
from oriolegate.models.site import CallerLimits
from oriolegate.network.caller_front import CallerRequest
from oriolegate.network.leaf_client import LeafClient
from oriolegate.network.leaf_client import OpenSend
from oriolegate.platform import caller_protocol
from oriolegate.platform import leaf_protocol
from oriolegate.platform.leaf_protocol import NoAnswer
from oriolegate.runtime.leaf_checker import LeafChecker
from oriolegate.runtime.request_log import RequestLog
from oriolegate.runtime.site_sinks import ConfigurationSink

log = structured_log.get_logger("requests")

MS_PER_S = 1_000.0
STATUS_NOT_FOUND = 404
STATUS_TOO_LARGE = 413
STATUS_UNAVAILABLE = 503
# A list takes about 100 ms after a start. If there is no configuration after
# STORE_AWAY_MS, the store is away, and a caller with one more try had better
# come as late as it may.
UNKNOWN_SITE_RETRY_MS = 200.0
STORE_AWAY_MS = 300.0
# A request that crashes leafs is refused for ten minutes; its caller is told a
# time after which a person may have looked at it.
CRASHING_RETRY_MS = 60_000.0


@attrs.define(eq=False)
class Running:
    """An exchange and what belongs to it outside the core.

    Attributes:
        exchange: The decisions.
        request: The caller's request.
        head: The head that all its sends share.
        sends: Open sends by number.
        timer: Its next alarm.
    """

    exchange: Exchange
    request: CallerRequest
    head: bytes
    sends: dict[int, OpenSend] = attrs.field(factory=dict)
    timer: Any = None
    timer_at_ms: float = 0.0


class ExchangeRunner:
    """Serves callers' requests.

    Attributes:
        leaving: Whether callers should open no new request here.
        limits: What callers may send.
        on_arrival: Called before a request is looked at.
        on_cleared: Takes names of crash reports that no longer hold.
        running: Open exchanges by request.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        client: LeafClient,
        shared: ExchangeContext,
        configuration: ConfigurationSink,
        checker: LeafChecker,
        request_log: RequestLog,
        crashes: CrashLedger,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.client = client
        self.shared = shared
        self.configuration = configuration
        self.checker = checker
        self.crashes = crashes
        self.request_log = request_log
        self.started_ms = clock.now_ms()
        self.leaving = False
        self.on_arrival: Callable[[], None] = lambda: None
        self.on_cleared: Callable[[tuple[str, ...]], None] = lambda names: None
        self.running: dict[CallerRequest, Running] = {}

    @property
    def limits(self) -> CallerLimits:
        """What callers may send now."""
        table = self.configuration.table
        return table.configuration.limits if table else CallerLimits()

    def handle(self, request: CallerRequest) -> None:
        """Serve one whole request."""
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
                self._unknown_site_retry_ms(now_ms, call),
            )
            return
        route = table.match(call.host, call.path)
        if route is None:
            self._refuse(request, call, STATUS_NOT_FOUND, "no route")
            return
        if self.crashes.must_refuse(call):
            self._refuse(
                request,
                call,
                STATUS_UNAVAILABLE,
                "upstreams fall when they run it",
                CRASHING_RETRY_MS,
            )
            return
        exchange = Exchange(
            call,
            route,
            table.services(route),
            table.configuration.version,
            self.shared,
            now_ms,
        )
        running = Running(exchange, request, leaf_protocol.request_head(call))
        self.running[request] = running
        self._carry_out(running, exchange.start(now_ms))

    def _unknown_site_retry_ms(self, now_ms: float, call: CallerCall) -> float:
        """Return when a caller should come back to a VM without a list."""
        if (
            now_ms - self.started_ms < STORE_AWAY_MS
            or call.time_left_ms is None
        ):
            return UNKNOWN_SITE_RETRY_MS
        return min(
            replying.LONGEST_RETRY_AFTER_MS,
            call.time_left_ms * replying.RETRY_AFTER_FRACTION,
        )

    def header_too_late(self, limit_ms: float) -> None:
        """Take that a connection was ended whose header took too long."""
        self.request_log.header_too_late(limit_ms)

    def caller_gone(self, request: CallerRequest) -> None:
        """Stop the work for a caller that left."""
        running = self.running.get(request)
        if running is not None:
            now_ms = self.clock.now_ms()
            self._carry_out(running, running.exchange.caller_gone(now_ms))
            self._log(running)

    def answer_all(self) -> None:
        """Answer every open request with what is there."""
        now_ms = self.clock.now_ms()
        for running in list(self.running.values()):
            self._carry_out(running, running.exchange.process_ending(now_ms))

    def _refuse(
        self,
        request: CallerRequest,
        call: CallerCall,
        status: int,
        reason: str,
        retry_after_ms: float | None = None,
    ) -> None:
        refusal = Refuse(status, reason, retry_after_ms)
        self.request_log.refused(call, refusal)
        self._reply(request, refusal, call.attempt_id)

    def _reply(
        self, request: CallerRequest, reply: Reply, attempt_id: str
    ) -> None:
        found = caller_protocol.encode_reply(reply, attempt_id)
        request.reply(found.status, found.headers, found.body)

    def _carry_out(self, running: Running, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendToLeaf():
                    self._send(running, effect)
                case AbandonSend(send):
                    found = running.sends.pop(send, None)
                    if found is not None:
                        self.client.abandon(found)
                case RelayAnswer() | AnswerGathered() | Refuse():
                    call = running.exchange.call
                    self._reply(running.request, effect, call.attempt_id)
                    self._log(running)
        self._set_timer(running)

    def _send(self, running: Running, effect: SendToLeaf) -> None:
        def done(outcome: LeafAnswer | NoAnswer) -> None:
            self._take(running, effect, outcome)

        running.sends[effect.send] = self.client.send(
            effect.leaf,
            running.exchange.call,
            running.head,
            effect.time_left_ms,
            done,
        )

    def _take(
        self,
        running: Running,
        effect: SendToLeaf,
        outcome: LeafAnswer | NoAnswer,
    ) -> None:
        if running.sends.pop(effect.send, None) is None:
            return
        now_ms = self.clock.now_ms()
        exchange = running.exchange
        if isinstance(outcome, LeafAnswer):
            if exchange.answered_count == 0:
                # Later answers tell nothing more of the request.
                self.on_cleared(self.crashes.answered(exchange.call))
            effects = exchange.answered(now_ms, effect.send, outcome)
        else:
            self._heed(exchange, effect, outcome)
            effects = exchange.failed(
                now_ms, effect.send, outcome.fate, outcome.detail
            )
        self._carry_out(running, effects)

    def _heed(
        self, exchange: Exchange, effect: SendToLeaf, outcome: NoAnswer
    ) -> None:
        """Draw conclusions about a leaf whose connection failed."""
        leaf_id = effect.leaf.leaf_id
        record = self.shared.directory.leafs.get(leaf_id)
        if record is None:
            return
        if outcome.fate is SendOutcome.MAY_HAVE_RUN:
            self._suspect_call(exchange, leaf_id)
        if outcome.turned_away:
            log.bind(
                leaf=leaf_id,
                service=effect.leaf.service,
                id=exchange.call.attempt_id,
            ).info("leaf turned a connection away")
            record.record_rejection(self.clock.now_ms())
            self.checker.look_at(record)
        elif outcome.fate in (SendOutcome.UNSENT, SendOutcome.MAY_HAVE_RUN):
            self.checker.suspect(record, outcome.detail)
        elif outcome.fate is SendOutcome.WRONG_LEAF:
            log.bind(
                leaf=leaf_id,
                service=effect.leaf.service,
                id=exchange.call.attempt_id,
            ).info("leaf displaced")
            self.shared.directory.on_address_taken(leaf_id)
            self.client.drop(leaf_id)

    def _suspect_call(self, exchange: Exchange, leaf_id: str) -> None:
        """Remember a request with which a leaf may have fallen."""
        if exchange.answered_count:
            # Another leaf ran a part of it unharmed.
            return
        call = exchange.call
        found = crash_ledger.call_fingerprint(call)
        self.crashes.lost(leaf_id, LostRequest(found, call.attempt_id))

    def _set_timer(self, running: Running) -> None:
        exchange = running.exchange
        timer = running.timer
        if exchange.is_finished:
            if timer is not None and timer.active():
                timer.cancel()
            self.running.pop(running.request, None)
            return
        due_ms = exchange.timer_due_ms
        if timer is not None and timer.active():
            # An alarm that comes too early costs less than moving it.
            if due_ms >= running.timer_at_ms:
                return
            timer.cancel()
        delay_s = max(0.0, due_ms - self.clock.now_ms()) / MS_PER_S
        running.timer = self.reactor.callLater(delay_s, self._alarm, running)
        running.timer_at_ms = due_ms

    def _alarm(self, running: Running) -> None:
        running.timer = None
        now_ms = self.clock.now_ms()
        self._carry_out(running, running.exchange.timer_fired(now_ms))

    def _log(self, running: Running) -> None:
        reply = running.exchange.reply
        if reply is not None:
            self.request_log.ended(self.clock.now_ms(), running.exchange, reply)
