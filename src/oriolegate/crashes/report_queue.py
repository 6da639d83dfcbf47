"""Store operations on crash reports and trials that are still to be made.

A report is state that the store has to hold until it is withdrawn or expires.
So an operation stays in the queue until the store has confirmed it, however
long the store is away.
"""

import collections
from collections.abc import Callable
import random

import attrs

from oriolegate.models.site import CrashEntry

# Backoff while the store fails. 5 s after an outage all VMs must know of a
# crash during it.
FIRST_RETRY_MS = 500.0
MAX_RETRY_MS = 2_000.0
# Operations in flight at once; one while the store fails.
MAX_OPEN = 4
# Limit on the reports that a VM writes within a window. Each write is a billed
# call, and when many leafs crash at once, requests are rarely the cause.
MAX_WRITES = 20
WRITE_WINDOW_MS = 10_000.0
# Limit on the operations in the queue.
MAX_PENDING = 200


@attrs.frozen
class WriteReport:
    """Store a report or trial under its name."""

    name: str
    report: CrashEntry


@attrs.frozen
class RemoveReport:
    """Remove a report or trial from the store."""

    name: str


Operation = WriteReport | RemoveReport


class ReportQueue:
    """Decides which operation comes next and when.

    Attributes:
        pending: Operation that is still to be made, by name of the report.
        open: Operations in flight, by name of the report.
        failures: Failed operations since the last one that succeeded.
        retry_at_ms: Before this time no operation is made.
        written_ms: Times of the writes within `WRITE_WINDOW_MS`.
        unsent: Names of reports in the queue that were never sent.
    """

    def __init__(
        self, rng: random.Random, count_reports: Callable[[int], int]
    ) -> None:
        """Create an empty queue.

        Args:
            rng: Draws the jitter of the backoff.
            count_reports: Returns the number of reports known about the request
                with a fingerprint.
        """
        self.rng = rng
        self.count_reports = count_reports
        self.pending: dict[str, Operation] = {}
        self.open: dict[str, Operation] = {}
        self.failures = 0
        self.retry_at_ms = float("-inf")
        self.written_ms: collections.deque[float] = collections.deque()
        self.unsent: set[str] = set()

    def add(self, operation: Operation) -> None:
        """Add an operation; it replaces an earlier one on the same report."""
        self.pending.pop(operation.name, None)
        if isinstance(operation, WriteReport):
            self.unsent.add(operation.name)
        elif operation.name in self.unsent:
            self.unsent.discard(operation.name)
            return
        self.pending[operation.name] = operation
        if len(self.pending) > MAX_PENDING:
            dropped = min(self.pending.values(), key=self._urgency)
            del self.pending[dropped.name]
            self.unsent.discard(dropped.name)

    def _urgency(self, operation: Operation) -> int:
        """Return how suspect the request is that an operation is about."""
        match operation:
            case WriteReport(_, report):
                return self.count_reports(report.fingerprint)
            case RemoveReport():
                return 0

    def next_operation(self, now_ms: float) -> Operation | None:
        """Take the operation to make now, or return None."""
        max_open = 1 if self.failures else MAX_OPEN
        if now_ms < self.retry_at_ms or len(self.open) >= max_open:
            return None
        while (
            self.written_ms and now_ms - self.written_ms[0] >= WRITE_WINDOW_MS
        ):
            self.written_ms.popleft()
        may_write = len(self.written_ms) < MAX_WRITES
        candidates = [
            operation
            for name, operation in self.pending.items()
            if name not in self.open
            and (may_write or isinstance(operation, RemoveReport))
        ]
        if not candidates:
            return None
        operation = max(candidates, key=self._urgency)
        del self.pending[operation.name]
        self.open[operation.name] = operation
        self.unsent.discard(operation.name)
        if isinstance(operation, WriteReport):
            self.written_ms.append(now_ms)
        return operation

    def next_due_ms(self, now_ms: float) -> float | None:
        """Return when to look for an operation again; None if on an event."""
        if not self.pending:
            return None
        if now_ms < self.retry_at_ms:
            return self.retry_at_ms
        if len(self.written_ms) >= MAX_WRITES:
            return self.written_ms[0] + WRITE_WINDOW_MS
        return None

    def on_succeeded(self, operation: Operation) -> None:
        """Handle that the store has confirmed an operation."""
        self.open.pop(operation.name, None)
        self.failures = 0
        self.retry_at_ms = float("-inf")

    def on_failed(self, now_ms: float, operation: Operation) -> None:
        """Handle an operation that may not have been carried out."""
        self.open.pop(operation.name, None)
        # A newer operation on the same report replaces this one.
        self.pending.setdefault(operation.name, operation)
        backoff_ms = min(MAX_RETRY_MS, FIRST_RETRY_MS * 2.0**self.failures)
        self.failures += 1
        self.retry_at_ms = now_ms + backoff_ms * self.rng.uniform(0.75, 1.25)
