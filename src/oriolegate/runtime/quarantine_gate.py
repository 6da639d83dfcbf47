"""Stands between the coordinator and the quarantine core.

Answers held queries, asks the core again while they wait, tells it of every
sub-request, and carries out its effects. Messages to other VMs are dropped
until the peer links set `send_to_peer` and `broadcast`.
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
        wanted: What the coordinator asked.
        timer: When the core is asked again, or None once it was.
    """

    wanted: AdmissionWanted
    timer: Timer | None = None


class QuarantineGate:
    """The quarantine of one process, with its timers and peers.

    Attributes:
        core: Decides.
        waiting: Held queries that wait, by number.
        send_to_peer: Sends a message to one VM; drops it if unset.
        broadcast: Sends a message to all VMs; drops it if unset.
    """

    def __init__(
        self,
        core: Quarantine,
        clock: Clock,
        call_later: CallLater,
        events: EventBuffer,
        feed: Callable[[Event], None],
    ) -> None:
        """Make a gate in front of a core.

        Args:
            core: Decides.
            clock: The clock.
            call_later: Sets a timer, in seconds.
            events: Where the time line is recorded.
            feed: Takes events for the coordinator.
        """
        self.core = core
        self.clock = clock
        self.call_later = call_later
        self.events = events
        self.feed = feed
        self.waiting: dict[int, WaitingQuery] = {}
        self.send_to_peer: Callable[[str, object], object] = _drop_to_peer
        self.broadcast: Callable[[object], None] = _drop

    def arrived(self, event: QueryArrived) -> QueryArrived:
        """Add the fingerprint, and whether the query is held at first."""
        request = event.request
        value = fingerprint(event.service, request.body, request.shard_key)
        held = not self.core.may_retry(self.clock.now_ms(), value)
        return attrs.evolve(event, fingerprint=value, held=held)

    def admission_wanted(self, wanted: AdmissionWanted) -> None:
        """Answer the coordinator, now or when the core says so."""
        self._stop_waiting(wanted.query)
        if wanted.canary_unsent:
            self._canary_unsent(wanted.fingerprint)
        self._admit(wanted)

    def admission_dropped(self, dropped: AdmissionDropped) -> None:
        """Forget a query that needs no answer any more."""
        self._stop_waiting(dropped.query)
        if dropped.canary_unsent:
            self._canary_unsent(dropped.fingerprint)

    def _canary_unsent(self, fingerprint_value: int) -> None:
        # Else the core would wait for this canary until its time is over.
        effects = self.core.finished(
            self.clock.now_ms(), fingerprint_value, "", "", ran=False
        )
        self._carry_out(effects)

    def _stop_waiting(self, query: int) -> None:
        waiting = self.waiting.pop(query, None)
        if waiting is not None and waiting.timer is not None:
            waiting.timer.cancel()

    def _admit(self, wanted: AdmissionWanted) -> None:
        now_ms = self.clock.now_ms()
        admission, effects = self.core.admit(
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

        def fired() -> None:
            waiting.timer = None
            self._ask_again(wanted.query)

        waiting.timer = self.call_later(recheck_ms / 1000.0, fired)

    def _ask_again(self, query: int) -> None:
        waiting = self.waiting.get(query)
        if waiting is not None:
            self._stop_waiting(query)
            self._admit(waiting.wanted)

    def _recheck(self, fingerprint_value: int) -> None:
        queries = [
            query
            for query, waiting in self.waiting.items()
            if waiting.wanted.fingerprint == fingerprint_value
        ]
        for query in queries:
            self._ask_again(query)

    def started(self, effect: SendSub) -> None:
        """Take that a sub-request is sent."""
        sub = effect.sub
        self.core.started(0.0, sub.fingerprint, "", effect.leaf)

    def ended(
        self, event: Event, is_cancelled: Callable[[SubRequestId], bool]
    ) -> Event:
        """Take what came of a sub-request.

        Args:
            event: The report.
            is_cancelled: Whether the attempt was cancelled. A cancelled run
                shows nothing: it was cut off before its end.

        Returns:
            The report, completed for the coordinator.
        """
        if isinstance(event, SubAnswered):
            value, leaf = event.sub.fingerprint, event.report.leaf
            # By far the most frequent case, so it reads no clock.
            if value in self.core.evidence.harmless_until_ms:
                self.core.count_ended(value, leaf)
            else:
                self._finished(event.sub, leaf, True)
            return event
        match event:
            case SubNotRun():
                self._finished(event.sub, event.report.leaf, False)
            case SubFailed():
                ran = not is_cancelled(event.sub)
                self._finished(event.sub, event.report.leaf, ran)
            case SubUnsent():
                self._finished(event.sub, event.leaf, False)
            case SubLost():
                now_ms = self.clock.now_ms()
                if not self.core.may_retry(now_ms, event.sub.fingerprint):
                    return attrs.evolve(event, may_retry=False)
        return event

    def _finished(self, sub: SubRequestId, leaf: str, ran: bool) -> None:
        effects = self.core.finished(
            self.clock.now_ms(), sub.fingerprint, "", leaf, ran
        )
        if effects:
            self._carry_out(effects)

    def connection_lost(self, upstream: str, leaf: str) -> None:
        """Take that a connection was lost, before its sub-request is told."""
        now_ms = self.clock.now_ms()
        self._carry_out(self.core.connection_lost(now_ms, upstream, leaf))

    def connect_failed(self, upstream: str) -> None:
        """Take that an upstream can't be reached."""
        self.core.connect_failed(self.clock.now_ms(), upstream)

    def peer_message(self, vm: str, message: object) -> None:
        """Take one of `quarantine.messages` from another VM."""
        now_ms = self.clock.now_ms()
        self._carry_out(self.core.peer_message(now_ms, vm, message))

    def members_changed(self, vms: tuple[str, ...]) -> None:
        """Take the VMs that live now."""
        self.core.members_changed(vms)

    def release(self, fingerprint_value: int) -> None:
        """Clear a request everywhere because an operator says so."""
        self._record("released", fingerprint_value)
        now_ms = self.clock.now_ms()
        self._carry_out(self.core.release(now_ms, fingerprint_value))

    def _carry_out(self, effects: tuple[QuarantineEffect, ...]) -> None:
        for effect in effects:
            match effect:
                case Send(vm, message):
                    self.send_to_peer(vm, message)
                case Broadcast(message):
                    self.broadcast(message)
                case Recheck(value):
                    self._recheck(value)
                case Quarantined(value, upstreams):
                    self._record("quarantined", value, *upstreams)
                    log.warning("Request {:016x} is in quarantine.", value)
                case Cleared(value):
                    self._record("cleared", value)

    def _record(
        self,
        what: str,
        fingerprint_value: int,
        *upstreams: str,
        request: AdmissionWanted | None = None,
    ) -> None:
        self.events.record(
            self.clock.now_ms(),
            EventKind.QUARANTINE,
            request.request_id if request is not None else "",
            what,
            f"{fingerprint_value:016x}",
            *upstreams,
        )


def _drop_to_peer(vm: str, message: object) -> None:
    """Stand for a link that is not there."""


def _drop(message: object) -> None:
    """Stand for links that are not there."""
