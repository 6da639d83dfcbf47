"""Object writers of one process, by object and by call in flight."""

import attrs

from oriolegate.claims import buckets
from oriolegate.claims.object_writer import ObjectWriter
from oriolegate.claims.settings import ClaimsSettings
from oriolegate.claims.settlement import PendingClaim

NEVER_MS = float("inf")


@attrs.define(eq=False)
class WriterTable:
    """Creates writers on demand and drops idle ones.

    Attributes:
        settings: Limits and intervals.
        by_name: Writers by object name.
        by_operation: Writers by the number of their call in flight.
        operation_count: Number of the last call.
    """

    settings: ClaimsSettings
    by_name: dict[str, ObjectWriter] = attrs.field(factory=dict)
    by_operation: dict[int, ObjectWriter] = attrs.field(factory=dict)
    operation_count: int = 0

    def writer(self, now_ms: float, pending: PendingClaim) -> ObjectWriter:
        """Return the writer of the object to which a claim belongs."""
        name = buckets.object_name(
            buckets.bucket_of(pending.key, self.settings),
            pending.slot,
            self.settings,
        )
        writer = self.by_name.get(name)
        if writer is None:
            self._drop_idle(now_ms)
            writer = ObjectWriter(name, self.settings, self._next_operation)
            self.by_name[name] = writer
        return writer

    def _drop_idle(self, now_ms: float) -> None:
        """Drop unused writers, and calls that timed out."""
        unused_since_ms = now_ms - 2 * self.settings.slot_width_ms
        self.by_name = {
            name: writer
            for name, writer in self.by_name.items()
            if not writer.is_idle() or writer.as_of_ms > unused_since_ms
        }
        self.by_operation = {
            operation: writer
            for operation, writer in self.by_operation.items()
            if writer.operation == operation
        }

    def _next_operation(self) -> int:
        self.operation_count += 1
        return self.operation_count

    def pop_operation(self, operation: int) -> ObjectWriter | None:
        """Return the writer waiting for this call; None if it timed out."""
        writer = self.by_operation.pop(operation, None)
        if writer is None or writer.operation != operation:
            return None
        return writer

    def busy_writers(self) -> list[ObjectWriter]:
        """Return the writers that are not idle."""
        return [w for w in self.by_name.values() if not w.is_idle()]

    def forget_versions(self) -> None:
        """Make every writer read its object before the next write."""
        for writer in self.by_name.values():
            writer.version = -1

    def wake_at_ms(self) -> float:
        """Return the earliest time at which a writer has to be called."""
        return min(
            (writer.wake_at_ms() for writer in self.by_name.values()),
            default=NEVER_MS,
        )
