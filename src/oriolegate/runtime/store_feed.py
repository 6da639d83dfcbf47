"""Follow the objects of one kind in the platform's store.

A feed lists the kind, then watches it from the revision of the list. After a
failure the feed lists the kind again with exponential backoff; objects that
were received before remain valid meanwhile.
"""

from collections.abc import Callable
import random
from typing import Any

from twisted.internet import defer

from oriolegate.logging_setup import get_logger
from oriolegate.network.platform_api import ObjectList
from oriolegate.network.platform_api import Platform

WATCH_MS = 25_000  # time for which one watch call waits for changes
FIRST_BACKOFF_MS = 100.0
MAX_BACKOFF_MS = 5_000.0

log = get_logger("platform")


class StoreFeed:
    """Passes the objects of a kind, and each change, to a callback.

    Attributes:
        kind: The kind of objects.
        receive: Called with a list of objects, and whether the list contains
            all objects of the kind.
        pending_call: The call to the platform that is in flight, or None.
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
        self.pending_call: defer.Deferred[Any] | None = None

    def start(self) -> None:
        """List the kind, then watch it until stopped."""
        if not self.stopped:
            self._call(self.platform.list(self.kind), self._on_list)

    def stop(self) -> None:
        """Stop the feed; the callback is not called again."""
        self.stopped = True
        if self.pending_call is not None:
            self.pending_call.cancel()

    def _call(
        self,
        call: "defer.Deferred[ObjectList]",
        on_done: Callable[[ObjectList], None],
    ) -> None:
        self.pending_call = call
        call.addCallback(on_done)
        call.addErrback(self._on_failure)

    def _on_list(self, objects: ObjectList) -> None:
        self._on_objects(objects, complete=True)

    def _on_changes(self, objects: ObjectList) -> None:
        self._on_objects(objects, complete=False)

    def _on_objects(self, objects: ObjectList, complete: bool) -> None:
        self.backoff_ms = FIRST_BACKOFF_MS
        if self.stopped:
            return
        self.receive(objects, complete)
        self._watch(objects.revision)

    def _watch(self, revision: int) -> None:
        if self.stopped:
            return
        self._call(
            self.platform.watch(self.kind, revision, WATCH_MS),
            self._on_changes,
        )

    def _on_failure(self, reason: Any) -> None:
        if self.stopped:
            return
        log.warning(
            "Reading {} from the store failed; retrying: {}",
            self.kind,
            reason.getErrorMessage(),
        )
        # Jitter prevents simultaneous retries of all VMs after an outage.
        delay_ms = self.backoff_ms * (0.5 + self.rng.random())
        self.backoff_ms = min(MAX_BACKOFF_MS, self.backoff_ms * 2)
        self.call_later(delay_ms / 1000.0, self.start)
