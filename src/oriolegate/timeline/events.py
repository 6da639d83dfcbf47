"""Events that a process records, and the bounded buffer for them."""

import collections
from collections.abc import Iterator
import enum

import attrs


class EventKind(enum.IntEnum):
    """What happened."""

    REQUEST_ARRIVED = 1
    SNAPSHOT_PINNED = 2
    SUB_REQUEST_SENT = 3
    SUB_ANSWER = 4
    SUB_FAILED = 5
    SUB_NOT_RUN = 6
    HEDGE_SENT = 7
    RETRY_SENT = 8
    CANCEL_SENT = 9
    SUB_WAITING = 10
    LATE_DROPPED = 11
    REPINNED = 12
    ANSWERED = 13
    REFUSED = 14
    FORWARDED = 15
    CALLER_GONE = 16
    LEAF_STATE = 20
    CONNECTION_OPENED = 21
    CONNECTION_LOST = 22
    RULES_ACCEPTED = 30
    TOPOLOGY_CHANGED = 31
    MEMBER_CHANGED = 40
    SHARES_CHANGED = 41
    CLAIM = 50
    QUARANTINE = 51
    STOPPING = 60
    STARTED = 61


@attrs.frozen
class TimelineEvent:
    """One recorded event.

    Attributes:
        sequence: Number of the event, increasing within the process.
        logical_time: Lamport timestamp: higher at the receipt of a message
            than at its sending.
        wall_ms: Wall clock of the process, milliseconds since the epoch.
        vm: VM of the process that recorded the event.
        kind: What happened.
        request_id: Request id from the caller, or an empty string.
        detail: Details, in the order of `detail_fields.DETAIL_FIELDS`.
    """

    sequence: int
    logical_time: int
    wall_ms: int
    vm: str
    kind: EventKind
    request_id: str
    detail: tuple[object, ...]


class EventBuffer:
    """A bounded buffer of the newest events of one process.

    To keep recording cheap, `record` only appends a tuple; `events` creates
    the `TimelineEvent` objects.

    Attributes:
        vm: VM of this process.
        logical_time: The process's Lamport clock.
    """

    def __init__(
        self, vm: str, wall_offset_ms: float, capacity: int = 20_000
    ) -> None:
        """Create an empty buffer.

        Args:
            vm: Name of this process's VM.
            wall_offset_ms: Added to the monotonic clock to get wall time.
            capacity: Maximum number of events; the oldest are dropped.
        """
        self.vm = vm
        self.wall_offset_ms = wall_offset_ms
        self.logical_time = 0
        self.sequence = 0
        self.rows: collections.deque[
            tuple[int, int, float, EventKind, str, tuple[object, ...]]
        ] = collections.deque(maxlen=capacity)

    def record(
        self,
        now_ms: float,
        kind: EventKind,
        request_id: str = "",
        *detail: object,
    ) -> None:
        """Append one event.

        Args:
            now_ms: Monotonic time of the event.
            kind: What happened.
            request_id: Request id from the caller, if the event has one.
            *detail: Details, in the order of `detail_fields.DETAIL_FIELDS`.
        """
        self.sequence += 1
        self.logical_time += 1
        self.rows.append(
            (
                self.sequence,
                self.logical_time,
                now_ms,
                kind,
                request_id,
                detail,
            )
        )

    def observe(self, logical_time: int) -> None:
        """Advance the Lamport clock to the time of a received message."""
        self.logical_time = max(self.logical_time, logical_time)

    def events(self) -> Iterator[TimelineEvent]:
        """Yield the buffered events, oldest first."""
        for sequence, logical, now_ms, kind, request_id, detail in self.rows:
            yield TimelineEvent(
                sequence,
                logical,
                int(now_ms + self.wall_offset_ms),
                self.vm,
                kind,
                request_id,
                detail,
            )
