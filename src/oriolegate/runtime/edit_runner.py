"""Carry out the acceptance of one edit of the rules: store calls and timers."""

from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from oriolegate.clock import Clock
from oriolegate.exceptions import OriolegateError
from oriolegate.logging_setup import get_logger
from oriolegate.network.platform_api import Platform
from oriolegate.network.platform_api import StoredObject
from oriolegate.result_codes import ResultCode
from oriolegate.rules import acceptance_messages as messages
from oriolegate.rules.acceptance import RulesAcceptor
from oriolegate.rules.model import AcceptedRules

# The reactor's clock and `Clock` may differ slightly. A timer that fires early
# is set again, with at least this delay.
_MIN_DELAY_MS = 1.0

log = get_logger("rules")


class EditRunner:
    """Runs one `RulesAcceptor`, the state machine for one edit.

    Attributes:
        on_accepted: Called with the rules once the edit is accepted.
        on_end: Called once the acceptance has ended.
        first_result: Fires with the first result; later results are only
            logged.
    """

    def __init__(
        self,
        acceptor: RulesAcceptor,
        platform: Platform,
        clock: Clock,
        call_later: Callable[..., Any],
        on_accepted: Callable[[AcceptedRules], None],
        on_end: Callable[["EditRunner"], None],
    ) -> None:
        self.acceptor = acceptor
        self.platform = platform
        self.clock = clock
        self.call_later = call_later
        self.on_accepted = on_accepted
        self.on_end = on_end
        self.first_result: defer.Deferred[messages.AcceptanceResult] = (
            defer.Deferred()
        )
        self.timers: set[Any] = set()
        self.is_stopped = False

    def start(self) -> "defer.Deferred[messages.AcceptanceResult]":
        """Start the acceptance; return its result for the operator."""
        self._step(messages.EditStarted())
        return self.first_result

    def stop(self) -> None:
        """Stop the acceptance; a write in flight may still take effect."""
        if self.is_stopped:
            return
        self.is_stopped = True
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()
        self.on_end(self)

    def _step(self, event: messages.AcceptanceEvent) -> None:
        if self.is_stopped:
            return
        for effect in self.acceptor.step(self.clock.now_ms(), event):
            self._carry_out(effect)
        if self.acceptor.finished:
            self.stop()

    def _carry_out(self, effect: messages.AcceptanceEffect) -> None:
        match effect:
            case messages.ReadObject():
                self._read(effect)
            case messages.WriteObject():
                self._write(effect)
            case messages.DeleteObject(path, expected_version):
                deleted = self.platform.delete(
                    path.kind, path.name, expected_version
                )
                deleted.addErrback(lambda _: None)
            case messages.WakeAt(at_ms):
                self._wake_at(at_ms)
            case messages.DistributeRules(rules):
                self.on_accepted(rules)
            case messages.Report(result):
                self._report(result)

    def _report(self, result: messages.AcceptanceResult) -> None:
        edit_id = self.acceptor.edit.edit_id
        log.info(
            "Result of edit {}: {}.", edit_id, type(result).__name__.lower()
        )
        if not self.first_result.called:
            self.first_result.callback(result)

    def _wake_at(self, at_ms: float) -> None:
        delay_ms = max(_MIN_DELAY_MS, at_ms - self.clock.now_ms())

        def wake() -> None:
            self.timers.discard(timer)
            if self.clock.now_ms() < at_ms:
                self._wake_at(at_ms)
                return
            self._step(messages.TimerFired())

        timer = self.call_later(delay_ms / 1_000.0, wake)
        self.timers.add(timer)

    def _read(self, effect: messages.ReadObject) -> None:
        call_id = effect.call_id

        def on_found(stored: StoredObject) -> None:
            self._step(
                messages.ObjectFound(call_id, stored.version, stored.value)
            )

        def on_failed(reason: Any) -> None:
            if _code_of(reason) is ResultCode.PLATFORM_NOT_FOUND:
                self._step(messages.ObjectAbsent(call_id))
            else:
                self._step(messages.CallFailed(call_id))

        self._add_callbacks(
            self.platform.get(effect.path.kind, effect.path.name),
            on_found,
            on_failed,
        )

    def _write(self, effect: messages.WriteObject) -> None:
        call_id = effect.call_id

        def on_done(version: int) -> None:
            self._step(messages.WriteDone(call_id, version))

        def on_failed(reason: Any) -> None:
            if _code_of(reason) is ResultCode.PLATFORM_CONFLICT:
                self._step(messages.WriteRejected(call_id))
            else:
                self._step(messages.CallFailed(call_id))

        written = self.platform.put(
            effect.path.kind,
            effect.path.name,
            effect.value,
            effect.expected_version,
        )
        self._add_callbacks(written, on_done, on_failed)

    def _add_callbacks(
        self,
        call: "defer.Deferred[Any]",
        on_done: Callable[[Any], None],
        on_failed: Callable[[Any], None],
    ) -> None:
        call.addCallbacks(on_done, on_failed)
        call.addErrback(
            lambda reason: log.error(
                "Accepting an edit failed unexpectedly: {}",
                reason.getTraceback(),
            )
        )


def _code_of(reason: Any) -> ResultCode | None:
    if isinstance(reason.value, OriolegateError):
        return reason.value.code
    return None
