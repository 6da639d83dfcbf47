"""Feed events to the coordinator and carry out its effects.

The coordinator is the state machine that runs requests; it does no I/O. Events
come from callers, leafs and timers. Effects are sub-requests, timers and the
outcomes of requests.
"""

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

# Interval at which an idle runner reads the clock.
STALL_CHECK_MS = 100.0
# A longer gap between two clock readings is a stall, a short pause of the
# process. The limit is two and a half check intervals, so that a late timer on
# a busy machine is no stall.
STALL_MS = 250.0
# After a stall, events are delayed by this time. The reactor reads all sockets
# that have data within one or two iterations, so messages that peers sent
# during the stall are handled first.
CATCH_UP_MS = 5.0
MS_PER_S = 1_000.0


class SubRequestSender(Protocol):
    """Sends sub-requests to leafs."""

    def send(self, effect: SendSub) -> None:
        """Send a sub-request to a leaf."""
        ...

    def cancel(self, effect: CancelSub) -> None:
        """Cancel a sub-request that was sent."""
        ...


class Timer(Protocol):
    """A timer that can be cancelled."""

    def cancel(self) -> None:
        """Stop the timer."""
        ...


CallLater = Callable[[float, Callable[[], None]], Timer]
Receiver = Callable[[Answer | Refusal], None]


class QueryRunner:
    """Runs the coordinator on the reactor.

    Events that occur while effects are carried out are queued, so
    that the coordinator handles one event at a time.

    Attributes:
        coordinator: The state machine.
        sender: Sends sub-requests; set by the composition root.
        receivers: Callbacks for the outcomes of requests, by request id.
        events: Queue of events.
        is_running: Whether events are being handled.
        pause_detector: Detects pauses after which shares must be confirmed.
        on_pause: Called after a pause that `pause_detector` found.
        quarantine: Limits how many upstreams a request can crash; set by the
            composition root. If None, no request is held.
        is_watching: Whether the clock is read regularly, so that a gap
            between two readings is a stall.
        is_catching_up: Whether events are delayed after a stall.
        checked_at_ms: Time of the last reading of the clock.
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
        self.is_running = False
        self.timer: Timer | None = None
        self.pause_detector = PauseDetector()
        self.on_pause: Callable[[], None] = lambda: None
        self.is_watching = False
        self.is_catching_up = False
        self.checked_at_ms = 0.0
        self.quarantine: QuarantineGate | None = None

    def submit_query(self, event: QueryArrived) -> None:
        """Run a request; the quarantine may first allow only one canary."""
        if self.quarantine is not None:
            event = self.quarantine.prepare_query(event)
        self.feed(event)

    def feed(self, event: Event) -> None:
        """Handle one event, now or after the events already queued.

        A pause is detected before the event is handled, so that nothing is
        sent on shares that other VMs may have received meanwhile.
        """
        self.check_pause()
        self.events.append(event)
        if not self.is_running and not self.is_catching_up:
            self._handle_events()

    def _handle_events(self) -> None:
        self.is_running = True
        try:
            while self.events:
                now_ms = self.clock.now_ms()
                effects = self.coordinator.step(now_ms, self.events.popleft())
                for effect in effects:
                    self._carry_out(effect)
        finally:
            self.is_running = False

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case SendSub():
                assert self.sender is not None
                if self.quarantine is not None:
                    self.quarantine.on_sub_request_sent(effect)
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
                self.quarantine.on_admission_wanted(effect)
            case AdmissionDropped():
                assert self.quarantine is not None
                self.quarantine.on_admission_dropped(effect)

    def _set_timer(self, at_ms: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        delay_ms = max(0.0, at_ms - self.clock.now_ms())
        self.timer = self.call_later(delay_ms / MS_PER_S, self._on_timer)

    def watch_clock(self) -> None:
        """Start to check for stalls and pauses at regular intervals."""
        self.check_pause()
        self.is_watching = True
        self.call_later(STALL_CHECK_MS / MS_PER_S, self.watch_clock)

    def check_pause(self) -> None:
        """Detect that the process was paused.

        After a short stall, updates from peers about cold leafs may still
        be unread. After a long pause, other VMs may hold this VM's shares.
        """
        now_ms = self.clock.now_ms()
        if self.is_watching and now_ms - self.checked_at_ms > STALL_MS:
            self._catch_up()
        self.checked_at_ms = now_ms
        if self.pause_detector.observe(now_ms, None) is not None:
            self.on_pause()

    def _catch_up(self) -> None:
        if not self.is_catching_up:
            self.is_catching_up = True
            self.call_later(CATCH_UP_MS / MS_PER_S, self._end_catch_up)

    def _end_catch_up(self) -> None:
        self.is_catching_up = False
        if not self.is_running:
            self._handle_events()

    def answer_all(self) -> None:
        """Answer every query with partial results, because the process ends."""
        self.check_pause()
        self.is_catching_up = False
        self.feed(AnswerAll())

    def _on_timer(self) -> None:
        self.timer = None
        self.feed(TimerFired())

    def sub_request_finished(self, event: Event) -> None:
        """Handle the outcome of a sub-request."""
        if self.quarantine is not None:
            event = self.quarantine.on_sub_request_ended(
                event, self._is_cancelled
            )
        self.feed(event)

    def _is_cancelled(self, sub: SubRequestId) -> bool:
        key = (sub.query, sub.shard, sub.attempt)
        return key in self.coordinator.state.orphans

    def has_waiting(self, service: str) -> bool:
        """Return whether sub-requests of callers wait for a slot at a leaf."""
        state = self.coordinator.state.services.get(service)
        return state is not None and state.waiting > 0

    def connection_limit(self, leaf: str) -> int:
        """Return how many connections to a leaf this process may open."""
        state = self.coordinator.state.leafs.leafs.get(leaf)
        return 0 if state is None else state.grant.connections

    def connection_opened(self, leaf: str) -> None:
        """Do nothing: an opened connection changes no state."""

    def connection_lost(self, leaf: str) -> None:
        """Handle the loss of a connection: the leaf is now treated as cold."""
        if self.quarantine is not None:
            self.quarantine.on_connection_lost(self._upstream(leaf), leaf)
        self._record_loss(leaf)

    def connect_failed(self, leaf: str) -> None:
        """Handle a failure to connect to a leaf."""
        if self.quarantine is not None:
            self.quarantine.on_connect_failed(self._upstream(leaf))
        self._record_loss(leaf)

    def _upstream(self, leaf: str) -> str:
        state = self.coordinator.state.leafs.leafs.get(leaf)
        return leaf if state is None else state.leaf.upstream

    def _record_loss(self, leaf: str) -> None:
        state = self.coordinator.state
        state.leafs.record_loss(self.clock.now_ms(), leaf)
        self.feed(CapacityChanged())
