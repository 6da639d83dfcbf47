"""Follows one kind of objects in the platform's store.

A feed lists the kind, then watches it from the revision it has. After a
failure it waits, longer each time, and lists again; what it told before stays
in force meanwhile.
"""

from collections.abc import Callable
import random
from typing import Any

from twisted.internet import defer

from oriolegate.logging_setup import get_logger
from oriolegate.network.platform_api import ObjectList
from oriolegate.network.platform_api import Platform

WATCH_MS = 25_000
FIRST_BACKOFF_MS = 100.0
MAX_BACKOFF_MS = 5_000.0

log = get_logger("platform")


class StoreFeed:
    """Tells one receiver of a kind's objects, and of each change.

    Attributes:
        kind: The kind of objects.
        receive: Takes what was read, and whether it is the whole kind.
    """

    def __init__(
        self,
        platform: Platform,
        kind: str,
        receive: Callable[[ObjectList, bool], None],
        call_later: Callable[..., Any],
        rng: random.Random,
    ) -> None:
        self.platform = platform
        self.kind = kind
        self.receive = receive
        self.call_later = call_later
        self.rng = rng
        self.backoff_ms = FIRST_BACKOFF_MS
        self.stopped = False
        self.waiting: defer.Deferred[Any] | None = None

    def start(self) -> None:
        """List the kind, then watch it until stopped."""
        if not self.stopped:
            self._call(self.platform.list(self.kind), self._got_list)

    def stop(self) -> None:
        """Stop; nothing is told after this."""
        self.stopped = True
        if self.waiting is not None:
            self.waiting.cancel()

    def _call(
        self,
        call: "defer.Deferred[ObjectList]",
        done: Callable[[ObjectList], None],
    ) -> None:
        self.waiting = call
        call.addCallback(done)
        call.addErrback(self._failed)

    def _got_list(self, found: ObjectList) -> None:
        self._got(found, complete=True)

    def _got_change(self, found: ObjectList) -> None:
        self._got(found, complete=False)

    def _got(self, found: ObjectList, complete: bool) -> None:
        self.backoff_ms = FIRST_BACKOFF_MS
        if self.stopped:
            return
        self.receive(found, complete)
        self._watch(found.revision)

    def _watch(self, revision: int) -> None:
        if self.stopped:
            return
        self._call(
            self.platform.watch(self.kind, revision, WATCH_MS),
            self._got_change,
        )

    def _failed(self, reason: Any) -> None:
        if self.stopped:
            return
        log.warning(
            "Following {} failed, trying again: {}",
            self.kind,
            reason.getErrorMessage(),
        )
        # Jitter keeps the VMs from asking together after an outage.
        delay_ms = self.backoff_ms * (0.5 + self.rng.random())
        self.backoff_ms = min(MAX_BACKOFF_MS, self.backoff_ms * 2)
        self.call_later(delay_ms / 1000.0, self.start)
