"""The platform's interface over a `PlatformStore`, without sockets.

Tests and the one-process demo call it directly; `platform_routes` serves it
over HTTP. This module implements delays, watches and lost answers.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task

from oriolegate.exceptions import PlatformError
from oriolegate.network.platform_api import ObjectList
from oriolegate.network.platform_api import StoredObject
from oriolegate.network.platform_api import VmRecord
from oriolegate.result_codes import ResultCode
from oriolegate.standins.platform_store import PlatformStore
from oriolegate.standins.platform_store import WRITE_CALLS


class AnswerLostError(PlatformError):
    """Raised when a write took effect but its answer is lost."""

    code = ResultCode.PLATFORM_DOWN


class InMemoryPlatform:
    """Implements `Platform` over a store.

    Attributes:
        store: Objects, faults and counts.
        reactor: Source of time and timers; a `task.Clock` in tests.
    """

    def __init__(
        self, store: PlatformStore, reactor: interfaces.IReactorTime
    ) -> None:
        self.store = store
        self.reactor = reactor

    def now_ms(self) -> float:
        """Return the reactor's time in milliseconds."""
        return float(self.reactor.seconds()) * 1_000.0

    def get(self, kind: str, name: str) -> "defer.Deferred[StoredObject]":
        """Read one object."""
        return self._call("get", lambda: self.store.get(kind, name))

    def list(self, kind: str) -> "defer.Deferred[ObjectList]":
        """Read all objects of a kind."""
        return self._call("list", lambda: self.store.list(kind))

    def put(
        self,
        kind: str,
        name: str,
        value: Mapping[str, Any],
        expected_version: int,
    ) -> "defer.Deferred[int]":
        """Write if the object is at `expected_version`; 0 means absent."""
        return self._call(
            "put",
            lambda: self._run_write(
                lambda: self.store.put(kind, name, value, expected_version)
            ),
        )

    def delete(
        self, kind: str, name: str, expected_version: int
    ) -> "defer.Deferred[None]":
        """Delete if the object is at `expected_version`."""
        return self._call(
            "delete",
            lambda: self._run_write(
                lambda: self.store.delete(kind, name, expected_version)
            ),
        )

    def list_vms(self) -> "defer.Deferred[tuple[VmRecord, ...]]":
        """Read the platform's list of VMs."""
        return self._call(
            "list_vms", lambda: self.store.list_vms(self.now_ms())
        )

    def watch(
        self, kind: str, after_revision: int, timeout_ms: int
    ) -> "defer.Deferred[ObjectList]":
        """Wait for a change of the kind, or until the timeout."""
        started = self._call("watch", lambda: None)
        started.addCallback(
            lambda _: self._wait_for_change(kind, after_revision, timeout_ms)
        )
        return started

    def _call(
        self, call: str, operation: Callable[[], Any]
    ) -> "defer.Deferred[Any]":
        slow_ms = self.store.faults.slow_ms
        if not slow_ms:
            return defer.maybeDeferred(self._admit_and_run, call, operation)
        slow: defer.Deferred[Any] = task.deferLater(
            self.reactor,
            slow_ms / 1_000.0,
            self._admit_and_run,
            call,
            operation,
        )
        if call not in WRITE_CALLS:
            return slow
        # A slow write takes effect even if its caller cancels the call.
        answer: defer.Deferred[Any] = defer.Deferred()
        slow.chainDeferred(answer)
        return answer

    def _admit_and_run(self, call: str, operation: Callable[[], Any]) -> Any:
        self.store.admit(self.now_ms(), call)
        return operation()

    def _run_write(self, operation: Callable[[], Any]) -> Any:
        result = operation()
        if self.store.consume_lost_answer():
            raise AnswerLostError("the answer was lost; read the object back")
        return result

    def _wait_for_change(
        self, kind: str, after_revision: int, timeout_ms: int
    ) -> "defer.Deferred[ObjectList]":
        changed = self.store.changes_after(kind, after_revision)
        if changed.items or timeout_ms <= 0:
            return defer.succeed(changed)

        def finish() -> None:
            clean_up()
            if self.store.faults.outage:
                answer.errback(PlatformError("the platform is down; try later"))
                return
            answer.callback(self.store.changes_after(kind, after_revision))

        def clean_up(_: object = None) -> None:
            self.store.listeners.remove(on_change)
            if timer.active():
                timer.cancel()

        def on_change(changed_kind: str) -> None:
            if changed_kind == kind:
                finish()

        answer: defer.Deferred[ObjectList] = defer.Deferred(clean_up)
        timer: Any = self.reactor.callLater(timeout_ms / 1_000.0, finish)
        self.store.listeners.append(on_change)
        return answer
