"""Connect the coordinator to the quarantine, its timers and its peers.

The gate requests admission for held queries, repeats the request for queries
that must wait, reports every sub-request to the quarantine, and carries out the
quarantine's effects. Messages to other VMs are dropped until `send_to_peer` and
`broadcast` are set.
"""

from collections.abc import Callable
from typing import Protocol

import attrs

from oriolegate.clock import Clock
from oriolegate.coordinator.messages import AdmissionDropped
from oriolegate.coordinator.messages import AdmissionWanted
from oriolegate.coordinator.messages import CanaryChosen
from oriolegate.coordinator.messages import Event
from oriolegate.coordinator.messages import HeldReleased
from oriolegate.coordinator.messages import QueryArrived
from oriolegate.coordinator.messages import RequestAborted
from oriolegate.coordinator.messages import SendSub
from oriolegate.coordinator.messages import SubAnswered
from oriolegate.coordinator.messages import SubFailed
from oriolegate.coordinator.messages import SubLost
from oriolegate.coordinator.messages import SubNotRun
from oriolegate.coordinator.messages import SubRequestId
from oriolegate.coordinator.messages import SubUnsent
from oriolegate.logging_setup import get_logger
from oriolegate.quarantine.admission import Admitted
from oriolegate.quarantine.admission import Broadcast
from oriolegate.quarantine.admission import CanaryFirst
from oriolegate.quarantine.admission import Cleared
from oriolegate.quarantine.admission import Quarantined
from oriolegate.quarantine.admission import QuarantineEffect
from oriolegate.quarantine.admission import Recheck
from oriolegate.quarantine.admission import Refused
from oriolegate.quarantine.admission import Send
from oriolegate.quarantine.admission import Wait
from oriolegate.quarantine.fingerprint import fingerprint
from oriolegate.quarantine.quarantine import Quarantine
from oriolegate.timeline.events import EventBuffer
from oriolegate.timeline.events import EventKind

log = get_logger("quarantine")


class Timer(Protocol):
    """A timer that can be cancelled."""

    def cancel(self) -> None:
        """Stop the timer."""
        ...


CallLater = Callable[[float, Callable[[], None]], Timer]


@attrs.define(eq=False)
class WaitingQuery:
    """A held query that may not be sent yet.

    Attributes:
        wanted: The coordinator's request for admission.
        timer: Timer of the next check, or None once it has fired.
    """

    wanted: AdmissionWanted
    timer: Timer | None = None


class QuarantineGate:
    """Runs the quarantine of one process.

    Attributes:
        quarantine: The quarantine's state machine, which does no I/O.
        waiting: Held queries that may not be sent yet, by number.
        send_to_peer: Sends a message to one VM; by default drops the message.
        broadcast: Sends a message to all VMs; by default drops the message.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        clock: Clock,
        call_later: CallLater,
        events: EventBuffer,
        feed: Callable[[Event], None],
    ) -> None:
        """Create a gate without held queries.

        Args:
            quarantine: The quarantine's state machine, which does no I/O.
            clock: Source of the current time.
            call_later: Sets a timer; the delay is in seconds.
            events: Buffer for events of the timeline.
            feed: Feeds an event to the coordinator.
        """
        self.quarantine = quarantine
        self.clock = clock
        self.call_later = call_later
        self.events = events
        self.feed = feed
        self.waiting: dict[int, WaitingQuery] = {}
        self.send_to_peer: Callable[[str, object], object] = _drop_to_peer
        self.broadcast: Callable[[object], None] = _drop

    def prepare_query(self, event: QueryArrived) -> QueryArrived:
        """Add the fingerprint, and whether the query must first be held."""
        request = event.request
        value = fingerprint(event.service, request.body, request.shard_key)
        held = not self.quarantine.may_retry(self.clock.now_ms(), value)
        return attrs.evolve(event, fingerprint=value, held=held)

    def on_admission_wanted(self, wanted: AdmissionWanted) -> None:
        """Request admission for a held query, and again after each wait."""
        self._stop_waiting(wanted.query)
        if wanted.canary_unsent:
            self._report_canary_unsent(wanted.fingerprint)
        self._admit(wanted)

    def on_admission_dropped(self, dropped: AdmissionDropped) -> None:
        """Remove a query that no longer needs a decision."""
        self._stop_waiting(dropped.query)
        if dropped.canary_unsent:
            self._report_canary_unsent(dropped.fingerprint)

    def _report_canary_unsent(self, fingerprint_value: int) -> None:
        # Otherwise the quarantine would await this canary until its timeout.
        effects = self.quarantine.on_sub_request_ended(
            self.clock.now_ms(), fingerprint_value, "", "", ran=False
        )
        self._carry_out(effects)

    def _stop_waiting(self, query: int) -> None:
        waiting = self.waiting.pop(query, None)
        if waiting is not None and waiting.timer is not None:
            waiting.timer.cancel()

    def _admit(self, wanted: AdmissionWanted) -> None:
        now_ms = self.clock.now_ms()
        admission, effects = self.quarantine.admit(
            now_ms, wanted.fingerprint, wanted.upstreams
        )
        query = wanted.query
        match admission:
            case Admitted():
                self.feed(HeldReleased(query))
            case CanaryFirst(upstream, hedge_upstream):
                self._record(
                    "canary", wanted.fingerprint, upstream, request=wanted
                )
                self.feed(CanaryChosen(query, upstream, hedge_upstream))
            case Refused(code, retry_after_ms):
                self._record("refused", wanted.fingerprint, request=wanted)
                self.feed(RequestAborted(query, code, int(retry_after_ms)))
            case Wait(recheck_ms):
                self._wait(wanted, recheck_ms)
        self._carry_out(effects)

    def _wait(self, wanted: AdmissionWanted, recheck_ms: float) -> None:
        waiting = WaitingQuery(wanted)
        self.waiting[wanted.query] = waiting

        def on_timer() -> None:
            waiting.timer = None
            self._re_evaluate(wanted.query)

        waiting.timer = self.call_later(recheck_ms / 1000.0, on_timer)

    def _re_evaluate(self, query: int) -> None:
        waiting = self.waiting.get(query)
        if waiting is not None:
            self._stop_waiting(query)
            self._admit(waiting.wanted)

    def _re_evaluate_all(self, fingerprint_value: int) -> None:
        queries = [
            query
            for query, waiting in self.waiting.items()
            if waiting.wanted.fingerprint == fingerprint_value
        ]
        for query in queries:
            self._re_evaluate(query)

    def on_sub_request_sent(self, effect: SendSub) -> None:
        """Record that a sub-request is sent."""
        sub = effect.sub
        self.quarantine.on_sub_request_sent(
            0.0, sub.fingerprint, "", effect.leaf
        )

    def on_sub_request_ended(
        self, event: Event, is_cancelled: Callable[[SubRequestId], bool]
    ) -> Event:
        """Record the outcome of a sub-request.

        Args:
            event: The outcome.
            is_cancelled: Whether the attempt was cancelled. A cancelled run
                proves nothing, as it was aborted before its end.

        Returns:
            The outcome for the coordinator, with `may_retry` set.
        """
        if isinstance(event, SubAnswered):
            value, leaf = event.sub.fingerprint, event.report.leaf
            # The most frequent case by far: count the end of the sub-request
            # without reading the clock.
            if value in self.quarantine.evidence.harmless_until_ms:
                self.quarantine.count_ended(value, leaf)
            else:
                self._record_end(event.sub, leaf, True)
            return event
        match event:
            case SubNotRun():
                self._record_end(event.sub, event.report.leaf, False)
            case SubFailed():
                ran = not is_cancelled(event.sub)
                self._record_end(event.sub, event.report.leaf, ran)
            case SubUnsent():
                self._record_end(event.sub, event.leaf, False)
            case SubLost():
                now_ms = self.clock.now_ms()
                if not self.quarantine.may_retry(now_ms, event.sub.fingerprint):
                    return attrs.evolve(event, may_retry=False)
        return event

    def _record_end(self, sub: SubRequestId, leaf: str, ran: bool) -> None:
        effects = self.quarantine.on_sub_request_ended(
            self.clock.now_ms(), sub.fingerprint, "", leaf, ran
        )
        if effects:
            self._carry_out(effects)

    def on_connection_lost(self, upstream: str, leaf: str) -> None:
        """Record a lost connection, before the outcomes of its sub-requests."""
        now_ms = self.clock.now_ms()
        self._carry_out(
            self.quarantine.on_connection_lost(now_ms, upstream, leaf)
        )

    def on_connect_failed(self, upstream: str) -> None:
        """Record that an upstream can't be reached."""
        self.quarantine.on_connect_failed(self.clock.now_ms(), upstream)

    def on_peer_message(self, vm: str, message: object) -> None:
        """Handle one of `quarantine.messages` from another VM."""
        now_ms = self.clock.now_ms()
        self._carry_out(self.quarantine.on_peer_message(now_ms, vm, message))

    def on_members_changed(self, vms: tuple[str, ...]) -> None:
        """Set the VMs that are alive."""
        self.quarantine.on_members_changed(vms)

    def release(self, fingerprint_value: int) -> None:
        """Clear a request on all VMs, on behalf of an operator."""
        self._record("released", fingerprint_value)
        now_ms = self.clock.now_ms()
        self._carry_out(self.quarantine.release(now_ms, fingerprint_value))

    def _carry_out(self, effects: tuple[QuarantineEffect, ...]) -> None:
        for effect in effects:
            match effect:
                case Send(vm, message):
                    self.send_to_peer(vm, message)
                case Broadcast(message):
                    self.broadcast(message)
                case Recheck(value):
                    self._re_evaluate_all(value)
                case Quarantined(value, upstreams):
                    self._record("quarantined", value, *upstreams)
                    log.warning(
                        "Request {:016x} was quarantined after crashing"
                        " upstreams; refusing it.",
                        value,
                    )
                case Cleared(value):
                    self._record("cleared", value)

    def _record(
        self,
        decision: str,
        fingerprint_value: int,
        *upstreams: str,
        request: AdmissionWanted | None = None,
    ) -> None:
        self.events.record(
            self.clock.now_ms(),
            EventKind.QUARANTINE,
            request.request_id if request is not None else "",
            decision,
            f"{fingerprint_value:016x}",
            *upstreams,
        )


def _drop_to_peer(vm: str, message: object) -> None:
    """Drop a message to one VM."""


def _drop(message: object) -> None:
    """Drop a message to all VMs."""
