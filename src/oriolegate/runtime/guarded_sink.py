"""Confines an unexpected error in applying one object to that object."""

from collections.abc import Callable
import traceback

from oriolegate import structured_log
from oriolegate.following.follower import CollectionSink
from oriolegate.metrics import Counter
from oriolegate.models.stored import StoredObject

log = structured_log.get_logger("site")

# Limit on the objects whose errors are logged; more are only counted.
MAX_LOGGED_NAMES = 1_000


class GuardedSink:
    """Passes objects on to a sink, and drops those that it fails to apply.

    A fault in the code for one object would otherwise end the watch of the
    whole collection, so that this VM would never learn of later changes.

    Attributes:
        sink: The sink.
        errors: Counts the errors.
        logged: Names of the objects whose error was logged.
    """

    def __init__(self, sink: CollectionSink, errors: Counter) -> None:
        self.sink = sink
        self.errors = errors
        self.logged: set[str] = set()

    def _guard(self, name: str, apply: Callable[[], None]) -> None:
        try:
            apply()
        except Exception:  # noqa: BLE001 (any fault in applying an object)
            self.errors.add()
            if name in self.logged or len(self.logged) >= MAX_LOGGED_NAMES:
                return
            self.logged.add(name)
            log.bind(
                name=name,
                sink=type(self.sink).__name__,
                exception=traceback.format_exc(),
            ).warning("unexpected error; object not applied")

    def put(self, now_ms: float, item: StoredObject) -> None:
        """Add or update an object."""
        self._guard(item.name, lambda: self.sink.put(now_ms, item))

    def put_restored(self, now_ms: float, item: StoredObject) -> None:
        """Update an object from a restored store."""
        self._guard(item.name, lambda: self.sink.put_restored(now_ms, item))

    def remove(self, now_ms: float, name: str, by_list: bool) -> None:
        """Remove an object."""
        self._guard(name, lambda: self.sink.remove(now_ms, name, by_list))

    def on_absent(self, now_ms: float, name: str) -> None:
        """Handle that a new era lacks an object."""
        self._guard(name, lambda: self.sink.on_absent(now_ms, name))

    def commit(self, now_ms: float, revision: int) -> None:
        """End a complete list or batch of changes."""
        self._guard("", lambda: self.sink.commit(now_ms, revision))
