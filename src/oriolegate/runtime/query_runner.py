"""Feeds events to the coordinator and carries out its effects."""

import collections
from collections.abc import Callable
from typing import Protocol

from oriolegate.clock import Clock
from oriolegate.coordinator.coordinator import Coordinator
from oriolegate.coordinator.messages import AdmissionDropped
from oriolegate.coordinator.messages import AdmissionWanted
from oriolegate.coordinator.messages import AnswerAll
from oriolegate.coordinator.messages import CancelSub
from oriolegate.coordinator.messages import CapacityChanged
from oriolegate.coordinator.messages import Deliver
from oriolegate.coordinator.messages import Effect
from oriolegate.coordinator.messages import Event
from oriolegate.coordinator.messages import QueryArrived
from oriolegate.coordinator.messages import SendSub
from oriolegate.coordinator.messages import SetTimer
from oriolegate.coordinator.messages import SubRequestId
from oriolegate.coordinator.messages import TimerFired
from oriolegate.membership.pause_detector import PauseDetector
from oriolegate.models.answer import Answer
from oriolegate.models.answer import Refusal
from oriolegate.runtime.quarantine_gate import QuarantineGate

# How often the runner looks at the clock while nothing happens.
STALL_CHECK_MS = 100.0
# A longer gap between two looks means that the process did not run: two and a
# half checks, so that a late timer on a busy machine is none.
STALL_MS = 250.0
# After a stall events wait this long: the loop reads all sockets that have
# data within a turn or two, so what peers wrote meanwhile is known by then.
CATCH_UP_MS = 5.0
MS_PER_S = 1_000.0


class SubRequestSender(Protocol):
    """What carries sub-requests to leafs."""

    def send(self, effect: SendSub) -> None:
        """Send a sub-request."""
        ...

    def cancel(self, effect: CancelSub) -> None:
        """Send a cancellation."""
        ...


class DelayedCall(Protocol):
    """A timer that can be cancelled."""

    def cancel(self) -> None:
        """Stop the timer."""
        ...


CallLater = Callable[[float, Callable[[], None]], DelayedCall]
Receiver = Callable[[Answer | Refusal], None]


class QueryRunner:
    """Runs one coordinator on the loop.

    Events that come up while effects are carried out wait for their turn, so
    the coordinator never sees one event inside another.

    Attributes:
        coordinator: The state machine.
        sender: Carries sub-requests; set by the composition root.
        receivers: Who waits for a request's outcome, by request id.
        quarantine: Bounds what a request crashes; set by the composition
            root. None lets every request go.
        watched: Whether the clock is looked at regularly, so that a gap
            between two looks is a stall.
        catching_up: Whether events wait for what peers wrote during a stall.
    """

    def __init__(
        self,
        coordinator: Coordinator,
        clock: Clock,
        call_later: CallLater,
    ) -> None:
        self.coordinator = coordinator
        self.clock = clock
        self.call_later = call_later
        self.sender: SubRequestSender | None = None
        self.receivers: dict[str, Receiver] = {}
        self.events: collections.deque[Event] = collections.deque()
        self.running = False
        self.timer: DelayedCall | None = None
        self.pauses = PauseDetector()
        self.on_pause: Callable[[], None] = lambda: None
        self.watched = False
        self.catching_up = False
        self.looked_at_ms = 0.0
        self.quarantine: QuarantineGate | None = None

    def arrive(self, event: QueryArrived) -> None:
        """Take a request; one not known to be harmless is held at first."""
        if self.quarantine is not None:
            event = self.quarantine.arrived(event)
        self.feed(event)

    def feed(self, event: Event) -> None:
        """Take one event, now or after those that came before.

        A pause is noticed before the event is handled, so that nothing is
        sent by rights that may have been given to others meanwhile.
        """
        self.check_pause()
        self.events.append(event)
        if not self.running and not self.catching_up:
            self._handle_events()

    def _handle_events(self) -> None:
        self.running = True
        try:
            while self.events:
                now_ms = self.clock.now_ms()
                effects = self.coordinator.step(now_ms, self.events.popleft())
                for effect in effects:
                    self._carry_out(effect)
        finally:
            self.running = False

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case SendSub():
                assert self.sender is not None
                if self.quarantine is not None:
                    self.quarantine.started(effect)
                self.sender.send(effect)
            case CancelSub():
                assert self.sender is not None
                self.sender.cancel(effect)
            case Deliver(outcome):
                receiver = self.receivers.pop(outcome.request_id, None)
                if receiver is not None:
                    receiver(outcome)
            case SetTimer(at_ms):
                self._set_timer(at_ms)
            case AdmissionWanted():
                assert self.quarantine is not None
                self.quarantine.admission_wanted(effect)
            case AdmissionDropped():
                assert self.quarantine is not None
                self.quarantine.admission_dropped(effect)

    def _set_timer(self, at_ms: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        delay_ms = max(0.0, at_ms - self.clock.now_ms())
        self.timer = self.call_later(delay_ms / MS_PER_S, self._timer_fired)

    def watch_clock(self) -> None:
        """Look for stalls regularly from now on."""
        self.check_pause()
        self.watched = True
        self.call_later(STALL_CHECK_MS / MS_PER_S, self.watch_clock)

    def check_pause(self) -> None:
        """Notice that the process did not run for a while.

        Even a short stall may have left unread what a peer found out about
        a cold leaf; after a long one other VMs may hold this VM's rights.
        """
        now_ms = self.clock.now_ms()
        if self.watched and now_ms - self.looked_at_ms > STALL_MS:
            self._catch_up()
        self.looked_at_ms = now_ms
        if self.pauses.observe(now_ms, None) is not None:
            self.on_pause()

    def _catch_up(self) -> None:
        if not self.catching_up:
            self.catching_up = True
            self.call_later(CATCH_UP_MS / MS_PER_S, self._caught_up)

    def _caught_up(self) -> None:
        self.catching_up = False
        if not self.running:
            self._handle_events()

    def answer_all(self) -> None:
        """Answer every query with what is there."""
        self.check_pause()
        self.catching_up = False
        self.feed(AnswerAll())

    def _timer_fired(self) -> None:
        self.timer = None
        self.feed(TimerFired())

    def sub_request_finished(self, event: Event) -> None:
        """Take what came of a sub-request."""
        if self.quarantine is not None:
            event = self.quarantine.ended(event, self._is_cancelled)
        self.feed(event)

    def _is_cancelled(self, sub: SubRequestId) -> bool:
        key = (sub.query, sub.shard, sub.attempt)
        return key in self.coordinator.state.orphans

    def has_waiting(self, service: str) -> bool:
        """Return whether callers' sub-requests wait for slots."""
        state = self.coordinator.state.services.get(service)
        return state is not None and state.waiting > 0

    def connection_limit(self, leaf: str) -> int:
        """Return this process's part of a leaf's connections."""
        state = self.coordinator.state.leafs.leafs.get(leaf)
        return 0 if state is None else state.grant.connections

    def connection_opened(self, leaf: str) -> None:
        """Take that a connection to a leaf was opened."""

    def connection_lost(self, leaf: str) -> None:
        """Take that a connection was lost: the leaf counts as cold."""
        if self.quarantine is not None:
            self.quarantine.connection_lost(self._upstream(leaf), leaf)
        self._note_loss(leaf)

    def connect_failed(self, leaf: str) -> None:
        """Take that a connection could not be opened."""
        if self.quarantine is not None:
            self.quarantine.connect_failed(self._upstream(leaf))
        self._note_loss(leaf)

    def _upstream(self, leaf: str) -> str:
        state = self.coordinator.state.leafs.leafs.get(leaf)
        return leaf if state is None else state.leaf.upstream

    def _note_loss(self, leaf: str) -> None:
        state = self.coordinator.state
        state.leafs.record_loss(self.clock.now_ms(), leaf)
        self.feed(CapacityChanged())
