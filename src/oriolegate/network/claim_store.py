"""Performs the effects of `ClaimManager` on the platform's object API."""

import collections
from collections.abc import Callable
from typing import Protocol

import attrs
from loguru import logger
from twisted.internet import defer

from oriolegate.claims import events
from oriolegate.claims.claim_manager import ClaimManager
from oriolegate.claims.effects import ClaimGranted
from oriolegate.claims.effects import ClaimRefused
from oriolegate.claims.effects import ClaimsEffect
from oriolegate.claims.effects import ReadClass
from oriolegate.claims.effects import SendToPeer
from oriolegate.claims.effects import SetTimer
from oriolegate.claims.effects import WriteClass
from oriolegate.clock import Clock
from oriolegate.exceptions import PlatformError
from oriolegate.network.platform_api import Platform
from oriolegate.network.platform_api import StoredObject
from oriolegate.result_codes import ResultCode
from oriolegate.result_codes import RunState
from oriolegate.timeline.events import EventBuffer
from oriolegate.timeline.events import EventKind

CLAIMS_KIND = "claims"
ABSENT_VERSION = 0
MS_PER_S = 1000.0

ClaimDecision = ClaimGranted | ClaimRefused


class DelayedCall(Protocol):
    """A delayed call of a reactor."""

    def cancel(self) -> None:
        """Cancel this delayed call."""
        ...


class Timers(Protocol):
    """The part of a reactor that schedules delayed calls."""

    def callLater(  # noqa: N802 (twisted's name)
        self, delay_s: float, function: Callable[[], None]
    ) -> DelayedCall:
        """Call a function after a delay in seconds."""
        ...


def _drop_message(vm: str, message: object) -> None:
    """Drop a message: without peer links each VM writes its own claims."""


@attrs.define(eq=False)
class ClaimStore:
    """Passes events to `ClaimManager` and performs the resulting effects.

    Attributes:
        platform: The object API.
        clock: Monotonic and wall clock.
        timers: The reactor.
        manager: Decides on claims.
        send_to_peer: Sends a message to another VM; delivery is not assured.
        timeline: Records decisions, unless None.
        decisions: Pending decisions by request id.
        timer: Delayed call that passes `TimerFired` to the manager, or None.
        queue: Events not yet passed to the manager.
        stepping: Whether the effects of an event are being performed.
    """

    platform: Platform
    clock: Clock
    timers: Timers
    manager: ClaimManager
    send_to_peer: Callable[[str, object], object] = _drop_message
    timeline: EventBuffer | None = None
    decisions: "dict[str, defer.Deferred[ClaimDecision]]" = attrs.field(
        factory=dict
    )
    timer: DelayedCall | None = None
    queue: collections.deque[events.ClaimsEvent] = attrs.field(
        factory=collections.deque
    )
    stepping: bool = False

    def claim(
        self, key: str, request_id: str, deadline_at_ms: float
    ) -> "defer.Deferred[ClaimDecision]":
        """Claim an idempotency key before the request is dispatched.

        Args:
            key: The idempotency key as sent by the caller.
            request_id: Id of the request; unique within the process.
            deadline_at_ms: Monotonic time after which the request must not
                run.

        Returns:
            A deferred that fires with `ClaimGranted` or `ClaimRefused` and
            never fails.
        """
        decision: defer.Deferred[ClaimDecision] = defer.Deferred()
        self.decisions[request_id] = decision
        wall_ms = self.clock.wall_ms()
        self._step(
            events.ClaimRequested(key, request_id, deadline_at_ms, wall_ms)
        )
        return decision

    def on_outcome(
        self,
        key: str,
        request_id: str,
        run_state: RunState,
        code: ResultCode,
    ) -> None:
        """Handle the outcome of a granted request.

        NOT_RUN guarantees that the request will not be dispatched any more.
        """
        self._step(events.OutcomeKnown(key, request_id, run_state, code))

    def on_peer_message(self, vm: str, message: object) -> None:
        """Handle a message of `claims.messages` from another VM."""
        self._step(events.PeerMessageReceived(vm, message))

    def on_owners_changed(self, vms: tuple[str, ...]) -> None:
        """Divide the claim classes, which group keys, between these VMs."""
        self._step(events.OwnersChanged(vms))

    def on_paused(self) -> None:
        """Handle a pause of this process."""
        self._step(events.ProcessPaused())

    def stop(self) -> None:
        """Cancel the timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _step(self, event: events.ClaimsEvent) -> None:
        # An effect may cause another event synchronously. The queue ensures
        # that all effects of one event are performed before the next event.
        self.queue.append(event)
        if self.stepping:
            return
        self.stepping = True
        try:
            while self.queue:
                now_ms = self.clock.now_ms()
                for effect in self.manager.step(now_ms, self.queue.popleft()):
                    self._perform(effect)
        finally:
            self.stepping = False

    def _perform(self, effect: ClaimsEffect) -> None:
        match effect:
            case ClaimGranted(request_id):
                self._deliver_decision(request_id, effect, ResultCode.OK)
            case ClaimRefused(request_id, code):
                self._deliver_decision(request_id, effect, code)
            case ReadClass():
                self._read(effect)
            case WriteClass():
                self._write(effect)
            case SetTimer(at_ms):
                self._set_timer(at_ms)
            case SendToPeer(vm, message):
                self.send_to_peer(vm, message)

    def _deliver_decision(
        self, request_id: str, decision: ClaimDecision, code: ResultCode
    ) -> None:
        if self.timeline is not None:
            now_ms = self.clock.now_ms()
            self.timeline.record(now_ms, EventKind.CLAIM, request_id, code.name)
        self.decisions.pop(request_id).callback(decision)

    def _read(self, effect: ReadClass) -> None:
        operation = effect.operation

        def on_success(stored: StoredObject) -> events.ClaimsEvent:
            return events.ReadDone(operation, stored.version, stored.value)

        def on_failure(failure: object) -> events.ClaimsEvent:
            if _error_code(failure) is ResultCode.PLATFORM_NOT_FOUND:
                return events.ReadDone(operation, ABSENT_VERSION, None)
            logger.warning(
                "claims: reading store object {} failed; backing off",
                effect.name,
            )
            return events.ReadFailed(operation)

        call = defer.maybeDeferred(self.platform.get, CLAIMS_KIND, effect.name)
        call.addCallbacks(on_success, on_failure)
        call.addCallback(self._step)

    def _write(self, effect: WriteClass) -> None:
        operation = effect.operation

        def on_success(version: int) -> events.ClaimsEvent:
            return events.WriteDone(operation, version)

        def on_failure(failure: object) -> events.ClaimsEvent:
            if _error_code(failure) is ResultCode.PLATFORM_CONFLICT:
                return events.WriteConflict(operation)
            logger.warning(
                "claims: writing store object {} failed; backing off",
                effect.name,
            )
            return events.WriteFailed(operation)

        call = defer.maybeDeferred(
            self.platform.put,
            CLAIMS_KIND,
            effect.name,
            effect.value,
            effect.expected_version,
        )
        call.addCallbacks(on_success, on_failure)
        call.addCallback(self._step)

    def _set_timer(self, at_ms: float) -> None:
        self.stop()
        delay_ms = max(0.0, at_ms - self.clock.now_ms())
        self.timer = self.timers.callLater(delay_ms / MS_PER_S, self._on_timer)

    def _on_timer(self) -> None:
        self.timer = None
        self._step(events.TimerFired())


def _error_code(failure: object) -> ResultCode | None:
    error = getattr(failure, "value", None)
    return error.code if isinstance(error, PlatformError) else None
