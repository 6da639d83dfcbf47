"""Carries out the planned stop: signals and timers round its state machine."""

import collections
from collections.abc import Callable
from typing import Any
from typing import Protocol

from oriolegate.clock import Clock
from oriolegate.logging_setup import get_logger
from oriolegate.runtime import stop_sequence as stop
from oriolegate.timeline.events import EventBuffer
from oriolegate.timeline.events import EventKind

log = get_logger("stop")


class StopActions(Protocol):
    """What a process does at each step of its stop."""

    def set_not_ready(self) -> None:
        """Fail the readiness check; go on serving."""
        ...

    def announce_leaving(self) -> None:
        """Tell peers that this VM leaves."""
        ...

    def close_after_answers(self) -> None:
        """Close each caller's connection after its next answer."""
        ...

    def stop_accepting(self) -> None:
        """Close the listening ports."""
        ...

    def hand_over_shares(self) -> None:
        """Give shares away; report `SharesHandedOver` at the end."""
        ...

    def answer_running(self) -> None:
        """Answer what runs, refuse what still comes."""
        ...

    def close_connections(self) -> None:
        """Close idle connections; report `ConnectionsClosed` at the end."""
        ...

    def exit(self, status: int) -> None:
        """End the process with this status."""
        ...


class StopRunner:
    """Feeds the stop sequence and carries its effects out.

    Attributes:
        sequence: The decisions.
        actions: What the process does.
    """

    def __init__(
        self,
        sequence: stop.StopSequence,
        actions: StopActions,
        clock: Clock,
        call_later: Callable[..., Any],
        events: EventBuffer,
    ) -> None:
        self.sequence = sequence
        self.actions = actions
        self.clock = clock
        self.call_later = call_later
        self.events = events
        self.timer: Any = None
        self.waiting: collections.deque[stop.StopEvent] = collections.deque()

    def receive(self, event: stop.StopEvent) -> None:
        """Take one event, such as `StopRequested` on SIGTERM.

        An action may report an event while it is carried out; that event is
        taken once the effects before it are done.
        """
        self.waiting.append(event)
        if len(self.waiting) > 1:
            return
        while self.waiting:
            self._step(self.waiting[0])
            self.waiting.popleft()

    def _step(self, event: stop.StopEvent) -> None:
        now_ms = self.clock.now_ms()
        phase = self.sequence.phase
        effects = self.sequence.step(now_ms, event)
        if self.sequence.phase is not phase:
            name = self.sequence.phase.value
            self.events.record(now_ms, EventKind.STOPPING, "", name)
            log.info("The stop is now: {}.", name)
        for effect in effects:
            self._carry_out(now_ms, effect)

    def _carry_out(self, now_ms: float, effect: stop.StopEffect) -> None:
        match effect:
            case stop.SetNotReady():
                self.actions.set_not_ready()
            case stop.AnnounceLeaving():
                self.actions.announce_leaving()
            case stop.CloseAfterAnswers():
                self.actions.close_after_answers()
            case stop.StopAccepting():
                self.actions.stop_accepting()
            case stop.HandOverShares():
                self.actions.hand_over_shares()
            case stop.AnswerRunning():
                self.actions.answer_running()
            case stop.CloseConnections():
                self.actions.close_connections()
            case stop.WakeAt(at_ms):
                self._wake_at(at_ms - now_ms)
            case stop.Exit():
                self._exit(effect)

    def _wake_at(self, delay_ms: float) -> None:
        self._cancel_timer()
        delay_s = max(0.0, delay_ms) / 1_000.0
        self.timer = self.call_later(delay_s, self._tick)

    def _tick(self) -> None:
        self.timer = None
        self.receive(stop.Tick())

    def _cancel_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _exit(self, effect: stop.Exit) -> None:
        self._cancel_timer()
        if effect.cut or effect.shares_left:
            log.error(
                "The stop limit passed: {} requests were cut, shares were"
                " {}; see docs/operators/stopping.md.",
                effect.cut,
                "left" if effect.shares_left else "handed over",
            )
        self.actions.exit(effect.status)
