"""Order in which connections may use the processor.

Parsing many small chunks, or many requests that were sent at once, costs far
more than receiving them. Such work waits here and is done in small turns, so
that the process serves everything else between two turns. The connection that
has used least goes first, so that one with little work never waits for those
with much; one with much is refused while many others wait. Requests sent before
the response to the previous one wait if many such requests run, so that leafs
stay available to other callers.

Does no I/O and reads no clock: work is counted in units of cost.
"""

import enum
import heapq
import itertools
from typing import Protocol

import attrs

# Cost of a byte of a body; about 2.5 ns.
BYTE_COST = 1
# Cost of the end of a line between or after chunks.
LINE_COST = 800
# Cost of one step beside its bytes and lines.
STEP_COST = 8_000
LINE_END = b"\r\n"
# Cost of parsing and serving a request.
REQUEST_COST = 200_000
# Cost of the work that is done between two turns of the event loop.
TURN_COST = 1_600_000
# Most bytes that are decoded in one step.
STEP_BYTES = 4 * 1024
# A connection that has used more is refused while more than so many others
# wait to be decoded. One request within its limits needs more, but not a
# hundred of them at the same time.
MAX_USED_COST = 4_000_000
MAX_DECODING = 32
# Requests that may run at the same time although their callers had not waited
# for the response to the previous one.
MAX_PIPELINED_REQUESTS = 16


class WorkKind(enum.Enum):
    """What a connection has to do.

    Attributes:
        DECODE: Decode the next bytes of a chunked body.
        NEXT_REQUEST: Parse and serve a request that was sent before the
            response to the previous one.
    """

    DECODE = enum.auto()
    NEXT_REQUEST = enum.auto()


class Worker(Protocol):
    """A connection with work to do."""

    def work(self, kind: WorkKind) -> int:
        """Do one step; return its cost."""
        ...

    def continue_work(self) -> None:
        """Add the connection to the queue again if it has more work."""
        ...


def decoding_cost(data: bytes) -> int:
    """Return the cost of decoding part of a chunked body."""
    line_count = data.count(LINE_END)
    return STEP_COST + BYTE_COST * len(data) + LINE_COST * line_count


@attrs.define(eq=False)
class Account:
    """Work of one connection.

    Attributes:
        worker: Does the work; None once its connection is lost.
        used_cost: Work done since the queue was last empty.
        busy_period: Number of the queue's busy period that it was counted in.
        waiting_for: What waits to be done, or None.
        is_pipelined: Whether a pipelined request of it runs.
    """

    worker: Worker | None
    used_cost: int = 0
    busy_period: int = 0
    waiting_for: WorkKind | None = None
    is_pipelined: bool = False


class WorkQueue:
    """Work of all connections.

    Attributes:
        pipelined_count: Number of pipelined requests that run.
        decoding_count: Number of connections that wait to be decoded.
    """

    def __init__(self) -> None:
        self.heaps: dict[WorkKind, list[tuple[int, int, Account]]] = {
            kind: [] for kind in WorkKind
        }
        self.numbers = itertools.count()
        self.busy_period = 0
        self.turn_cost = 0
        self.decoding_count = 0
        self.pipelined_count = 0

    @property
    def has_work(self) -> bool:
        """Whether any work may be done now."""
        return self._next_kind() is not None

    def _next_kind(self) -> WorkKind | None:
        """Return the kind of work that the least used connection waits for."""
        kinds = [
            kind
            for kind in WorkKind
            if self._prune(kind) and not self._is_blocked(kind)
        ]
        if not kinds:
            return None
        return min(kinds, key=lambda kind: self.heaps[kind][0][:2])

    def _prune(self, kind: WorkKind) -> bool:
        """Drop entries that are cancelled; return whether any is left."""
        heap = self.heaps[kind]
        while heap and heap[0][2].waiting_for is not kind:
            heapq.heappop(heap)
        return bool(heap)

    def _is_blocked(self, kind: WorkKind) -> bool:
        return (
            kind is WorkKind.NEXT_REQUEST
            and self.pipelined_count >= MAX_PIPELINED_REQUESTS
        )

    def add(self, account: Account, kind: WorkKind) -> bool:
        """Let a connection wait for its next step.

        Returns:
            Whether it may wait; if not, it must be refused.
        """
        if account.waiting_for is kind:
            return True
        if account.busy_period != self.busy_period:
            account.busy_period = self.busy_period
            account.used_cost = 0
        if kind is WorkKind.DECODE:
            if (
                account.used_cost > MAX_USED_COST
                and self.decoding_count >= MAX_DECODING
            ):
                return False
            self.decoding_count += 1
        account.waiting_for = kind
        entry = (account.used_cost, next(self.numbers), account)
        heapq.heappush(self.heaps[kind], entry)
        return True

    def use_now(self, cost: int) -> bool:
        """Count work that may be done at once, if the turn has room for it."""
        if self.has_work or self.turn_cost + cost > TURN_COST:
            return False
        self.turn_cost += cost
        return True

    def _stop_waiting(self, account: Account) -> None:
        if account.waiting_for is WorkKind.DECODE:
            self.decoding_count -= 1
        account.waiting_for = None

    def cancel(self, account: Account) -> None:
        """Forget what a connection waits for, and its pipelined request."""
        self._stop_waiting(account)
        self.end_pipelined(account)

    def begin_pipelined(self, account: Account) -> None:
        """Count a pipelined request that runs."""
        if not account.is_pipelined:
            account.is_pipelined = True
            self.pipelined_count += 1

    def end_pipelined(self, account: Account) -> None:
        """Stop counting the pipelined request of a connection, if any."""
        if account.is_pipelined:
            account.is_pipelined = False
            self.pipelined_count -= 1

    def run_turn(self) -> None:
        """Do the work of one turn."""
        self.turn_cost = 0
        while self.turn_cost < TURN_COST:
            kind = self._next_kind()
            if kind is None:
                break
            _, _, account = heapq.heappop(self.heaps[kind])
            self._stop_waiting(account)
            if account.worker is None:
                continue
            cost = account.worker.work(kind)
            account.used_cost += cost
            self.turn_cost += cost
            account.worker.continue_work()
        if not any(self.heaps.values()):
            self.busy_period += 1
