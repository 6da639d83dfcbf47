"""Decides which connections of clients a process keeps.

All connections that others open to a process share its memory and descriptors.
Each request within its own limits is accepted while there is room, but a crowd
of them may need more than the machine has. Then connections without progress
are closed before others, and large ones before small ones. A connection whose
request runs is never closed; if the running requests need all the memory, the
next request is refused before it runs. Clients of one address are not counted
together: many callers may share the address of a proxy.

Takes events with their time; does no I/O.
"""

from collections.abc import Callable
import enum

import attrs

from oriolegate.models.machine import MachineLimits

BYTES_PER_MB = 1024 * 1024
# Memory that the process needs without connections of clients.
CONTROL_BYTES = 64 * BYTES_PER_MB
# Part of the other memory that counted bytes may use. Neither short-lived
# copies are counted nor freed blocks that the allocator can't return.
COUNTED_FRACTION = 0.5
# The same as a part of all memory, for machines with little of it.
MIN_COUNTED_FRACTION = 0.1
# Descriptors for files, and their greatest part of all descriptors.
FILE_DESCRIPTORS = 200
MAX_FILES_FRACTION = 0.25
# Memory of an open connection without data.
CONNECTION_BYTES = 4 * 1024
# A connection with more data has a long request or response.
LONG_BYTES = 96 * 1024
# A connection that has moved no byte for so long makes no progress.
STALL_MS = 1_000.0
# Connections are closed until this fraction of a limit is left, so that the
# choice is made once for many.
KEPT_FRACTION = 0.875


class ConnectionGroup(enum.Enum):
    """Connections that share a part of the limits.

    Attributes:
        CALLERS: Connections of callers.
        INTERNAL: Connections of other VMs, operators and health checks.
    """

    CALLERS = "callers"
    INTERNAL = "internal"


# Each group's part of the counted bytes and of the sockets. The other sockets
# are for connections that this process opens: to leafs, the store and VMs.
BYTES_FRACTIONS = {
    ConnectionGroup.CALLERS: 0.8,
    ConnectionGroup.INTERNAL: 0.2,
}
SOCKET_FRACTIONS = {
    ConnectionGroup.CALLERS: 0.5,
    ConnectionGroup.INTERNAL: 0.15,
}
# Most of a group's bytes that connections with long requests or responses may
# hold. The others may hold whatever these don't.
LONG_FRACTION = 0.5


class RefusalReason(enum.Enum):
    """Why a connection is closed or a request is refused."""

    TOO_MANY = "too many connections"
    STALLED = "no progress while memory is short"
    LARGEST = "too many bytes while memory is short"
    IDLE = "idle while memory is short"
    NO_MEMORY = "no memory to run it"
    NO_TIME = "too much to decode while others wait"
    ENDLESS = "body far beyond its limit"


class Rank(enum.IntEnum):
    """Order in which connections are closed."""

    STALLED = 0
    INCOMPLETE = 1
    IDLE = 2


REASONS = {
    Rank.STALLED: RefusalReason.STALLED,
    Rank.INCOMPLETE: RefusalReason.LARGEST,
    Rank.IDLE: RefusalReason.IDLE,
}


def bytes_for(limits: MachineLimits, group: ConnectionGroup) -> float:
    """Return how many bytes the connections of a group may hold."""
    memory_bytes = limits.memory_mb * BYTES_PER_MB
    counted_bytes = max(
        COUNTED_FRACTION * (memory_bytes - CONTROL_BYTES),
        MIN_COUNTED_FRACTION * memory_bytes,
    )
    return BYTES_FRACTIONS[group] * counted_bytes


def connections_for(limits: MachineLimits, group: ConnectionGroup) -> int:
    """Return how many connections a group may have."""
    files = min(FILE_DESCRIPTORS, MAX_FILES_FRACTION * limits.descriptors)
    sockets = limits.descriptors - files
    return max(1, int(SOCKET_FRACTIONS[group] * sockets))


@attrs.define(eq=False)
class Connection:
    """What a connection holds.

    Attributes:
        group: Connections that it shares limits with.
        close: Closes the connection, given the reason, and frees what it
            holds; must not call the budget.
        moved_ms: When it last made progress.
        input_bytes: Bytes received of requests that are not complete.
        unsent_bytes: Bytes of responses that the client has not taken.
        request_bytes: Bytes that the running request needs, with its copies.
        overhead_bytes: Bytes that the running request needs beside its data.
        is_running: Whether a complete request has no response yet.
        has_served: Whether a request was answered.
    """

    group: ConnectionGroup
    close: Callable[[RefusalReason], None]
    moved_ms: float
    input_bytes: int = 0
    unsent_bytes: int = 0
    request_bytes: int = 0
    overhead_bytes: int = 0
    is_running: bool = False
    has_served: bool = False

    @property
    def data_bytes(self) -> int:
        """Bytes of requests and responses."""
        return self.input_bytes + self.unsent_bytes + self.request_bytes

    @property
    def held_bytes(self) -> int:
        """All bytes that count for this connection."""
        return CONNECTION_BYTES + self.overhead_bytes + self.data_bytes

    def rank(self, now_ms: float) -> Rank | None:
        """Return when it is closed in relation to others, or None for never."""
        if self.is_running:
            return None
        if self.has_served and not self.data_bytes:
            return Rank.IDLE
        if now_ms - self.moved_ms >= STALL_MS:
            return Rank.STALLED
        return Rank.INCOMPLETE


@attrs.define(eq=False)
class Pool:
    """Connections of one group with long data, or those with short data.

    Attributes:
        connections: The connections and the bytes counted for each.
        held_bytes: Sum of the bytes.
    """

    connections: dict[Connection, int] = attrs.field(factory=dict)
    held_bytes: int = 0

    def add(self, connection: Connection) -> None:
        """Count a connection."""
        held_bytes = connection.held_bytes
        self.connections[connection] = held_bytes
        self.held_bytes += held_bytes

    def discard(self, connection: Connection) -> None:
        """Stop counting a connection."""
        self.held_bytes -= self.connections.pop(connection, 0)


class ConnectionBudget:
    """All connections that others opened to this process.

    Attributes:
        limits: What the process may use.
        on_refused: Called for each connection that is closed and each request
            that is refused, with its group and the reason.
    """

    def __init__(self, limits: MachineLimits) -> None:
        self.limits = limits
        self.pools = {
            (group, is_long): Pool()
            for group in ConnectionGroup
            for is_long in (False, True)
        }
        self.pool_by_connection: dict[Connection, Pool] = {}
        self.on_refused: Callable[[ConnectionGroup, RefusalReason], None] = (
            lambda group, reason: None
        )

    def count(self, group: ConnectionGroup) -> int:
        """Return the number of connections of a group."""
        return sum(
            len(self.pools[group, is_long].connections)
            for is_long in (False, True)
        )

    def held_bytes(self, group: ConnectionGroup) -> int:
        """Return the bytes counted for a group."""
        return sum(
            self.pools[group, is_long].held_bytes for is_long in (False, True)
        )

    def limit_bytes(self, group: ConnectionGroup, *, is_long: bool) -> float:
        """Return how many bytes connections with long or short data may hold.

        Those with short data have at least their part, and may use what the
        long ones leave; long ones then find less.
        """
        group_bytes = bytes_for(self.limits, group)
        most_long_bytes = LONG_FRACTION * group_bytes
        other_bytes = self.pools[group, not is_long].held_bytes
        if is_long:
            return min(most_long_bytes, max(0.0, group_bytes - other_bytes))
        return group_bytes - min(most_long_bytes, other_bytes)

    def open(self, now_ms: float, connection: Connection) -> None:
        """Add a connection; close others, or it, if there are too many."""
        self._recount(connection)
        limit = connections_for(self.limits, connection.group)
        count = self.count(connection.group)
        if count > limit:
            kept = min(limit, max(1, int(KEPT_FRACTION * limit)))
            self._close_oldest(now_ms, connection, count - kept)
        if connection in self.pool_by_connection:
            self._enforce(now_ms, connection)

    def remove(self, connection: Connection) -> None:
        """Forget a connection that is closed."""
        pool = self.pool_by_connection.pop(connection, None)
        if pool is not None:
            pool.discard(connection)

    def set_data(
        self,
        now_ms: float,
        connection: Connection,
        input_bytes: int,
        unsent_bytes: int,
    ) -> None:
        """Set what a connection holds; close connections if it is too much."""
        if connection not in self.pool_by_connection:
            return
        has_grown = (
            input_bytes > connection.input_bytes
            or unsent_bytes > connection.unsent_bytes
        )
        connection.input_bytes = input_bytes
        connection.unsent_bytes = unsent_bytes
        self._recount(connection)
        if has_grown:
            self._enforce(now_ms, connection)

    def begin_request(self, connection: Connection, request_bytes: int) -> None:
        """Count a request that is complete and has no response."""
        connection.is_running = True
        connection.request_bytes = request_bytes
        connection.overhead_bytes = 0
        if connection in self.pool_by_connection:
            self._recount(connection)

    def reserve(
        self,
        now_ms: float,
        connection: Connection,
        request_bytes: int,
        overhead_bytes: int,
    ) -> bool:
        """Count what a complete request needs until its response.

        Args:
            now_ms: Current time.
            connection: Connection of the request.
            request_bytes: Its data, with all copies.
            overhead_bytes: What it needs beside its data.

        Returns:
            Whether it may run; if not, it must be refused.
        """
        if connection not in self.pool_by_connection:
            return True
        earlier_bytes = connection.request_bytes
        connection.request_bytes = request_bytes
        connection.overhead_bytes = overhead_bytes
        self._recount(connection)
        if self._enforce(now_ms, connection):
            return True
        connection.request_bytes = earlier_bytes
        connection.overhead_bytes = 0
        self._recount(connection)
        self.on_refused(connection.group, RefusalReason.NO_MEMORY)
        return False

    def end_request(self, now_ms: float, connection: Connection) -> None:
        """Record that the response to a request was written."""
        connection.is_running = False
        connection.has_served = True
        connection.moved_ms = now_ms
        connection.request_bytes = 0
        connection.overhead_bytes = 0
        if connection in self.pool_by_connection:
            self._recount(connection)

    def refuse(self, connection: Connection, reason: RefusalReason) -> None:
        """Close a connection."""
        self.remove(connection)
        self.on_refused(connection.group, reason)
        connection.close(reason)

    def _recount(self, connection: Connection) -> None:
        self.remove(connection)
        is_long = connection.data_bytes > LONG_BYTES
        pool = self.pools[connection.group, is_long]
        pool.add(connection)
        self.pool_by_connection[connection] = pool

    def _enforce(self, now_ms: float, changed: Connection) -> bool:
        """Close connections until the pool of a connection is within limits.

        Returns:
            Whether it is, or has no other connection: one request within its
            own limits is served on any machine.
        """
        pool = self.pool_by_connection[changed]
        is_long = pool is self.pools[changed.group, True]
        limit_bytes = self.limit_bytes(changed.group, is_long=is_long)
        if pool.held_bytes <= limit_bytes or len(pool.connections) == 1:
            return True
        candidates = [
            (rank, -connection.held_bytes, connection.moved_ms, connection)
            for connection in pool.connections
            if (rank := connection.rank(now_ms)) is not None
        ]
        candidates.sort(key=lambda candidate: candidate[:3])
        for rank, _, _, connection in candidates:
            if (
                pool.held_bytes <= KEPT_FRACTION * limit_bytes
                or len(pool.connections) == 1
            ):
                break
            self.refuse(connection, REASONS[rank])
        return pool.held_bytes <= limit_bytes or len(pool.connections) == 1

    def _close_oldest(
        self, now_ms: float, newest: Connection, count: int
    ) -> None:
        """Close connections that have made no progress for the longest time.

        If all others run requests, the newest is closed.
        """
        candidates = [
            (rank, connection.moved_ms, connection)
            for connection in self.pool_by_connection
            if connection.group is newest.group
            and connection is not newest
            and (rank := connection.rank(now_ms)) is not None
        ]
        candidates.sort(key=lambda candidate: candidate[:2])
        for _, _, connection in candidates[:count]:
            self.refuse(connection, RefusalReason.TOO_MANY)
        if not candidates:
            self.refuse(newest, RefusalReason.TOO_MANY)
