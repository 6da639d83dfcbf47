"""Carry out the planned stop: timers and actions around `StopSequence`."""

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
    """Actions of a process at the steps of its stop."""

    def set_not_ready(self) -> None:
        """Fail the readiness check but continue to serve requests."""
        ...

    def announce_leaving(self) -> None:
        """Notify peers that this VM accepts no new work."""
        ...

    def close_after_answers(self) -> None:
        """Close each caller's connection after its next answer."""
        ...

    def stop_accepting(self) -> None:
        """Close the listening ports."""
        ...

    def close_idle_callers(self) -> None:
        """Close callers' idle connections; report `CallersCounted`."""
        ...

    def refuse_new(self) -> None:
        """Refuse all further requests as not run."""
        ...

    def hand_over_shares(self) -> None:
        """Return the shares; report `SharesHandedOver` at the end."""
        ...

    def answer_running(self) -> None:
        """Answer running requests with partial results."""
        ...

    def close_connections(self) -> None:
        """Close idle connections; report `ConnectionsClosed` at the end."""
        ...

    def exit(self, status: int) -> None:
        """End the process with this status."""
        ...


class StopRunner:
    """Feeds events to the stop sequence and carries out its effects.

    Attributes:
        sequence: The state machine of the planned stop.
        actions: Actions of the process that stops.
        queue: Events to handle; the first is being handled.
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
        self.queue: collections.deque[stop.StopEvent] = collections.deque()

    def receive(self, event: stop.StopEvent) -> None:
        """Handle one event, such as `StopRequested` on SIGTERM.

        An event that an action reports while the action is carried out is
        handled after the effects of the present event.
        """
        self.queue.append(event)
        if len(self.queue) > 1:
            return
        while self.queue:
            try:
                self._step(self.queue[0])
            finally:
                # An unexpected error must not hold up the events after it.
                self.queue.popleft()

    def _step(self, event: stop.StopEvent) -> None:
        now_ms = self.clock.now_ms()
        phase = self.sequence.phase
        effects = self.sequence.step(now_ms, event)
        if self.sequence.phase is not phase:
            name = self.sequence.phase.value
            self.events.record(now_ms, EventKind.STOPPING, "", name)
            log.info("Planned stop entered phase: {}.", name)
        # Before the rest, so that an unexpected error doesn't end the stop.
        for effect in effects:
            if isinstance(effect, stop.WakeAt):
                self._wake_at(effect.at_ms - now_ms)
        for effect in effects:
            self._carry_out(effect)

    def _carry_out(self, effect: stop.StopEffect) -> None:
        match effect:
            case stop.SetNotReady():
                self.actions.set_not_ready()
            case stop.AnnounceLeaving():
                self.actions.announce_leaving()
            case stop.CloseAfterAnswers():
                self.actions.close_after_answers()
            case stop.StopAccepting():
                self.actions.stop_accepting()
            case stop.CloseIdleCallers():
                self.actions.close_idle_callers()
            case stop.RefuseNew():
                self.actions.refuse_new()
            case stop.HandOverShares():
                self.actions.hand_over_shares()
            case stop.AnswerRunning():
                self.actions.answer_running()
            case stop.CloseConnections():
                self.actions.close_connections()
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
                "Stop limit reached; exiting with {} requests aborted and"
                " shares {}; see docs/operators/stopping.md.",
                effect.cut,
                "not returned" if effect.shares_left else "returned",
            )
        self.actions.exit(effect.status)
