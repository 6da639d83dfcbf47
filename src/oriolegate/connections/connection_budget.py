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

from oriolegate.connections import machine_share
from oriolegate.connections.connection import Connection
from oriolegate.connections.connection import Pool
from oriolegate.connections.connection import REASONS
from oriolegate.connections.connection import RefusalReason
from oriolegate.connections.machine_share import ConnectionGroup
from oriolegate.models.machine import MachineLimits

# A connection with more data has a long request or response.
LONG_BYTES = 96 * 1024
# Connections are closed until this fraction of a limit is left, so that the
# choice is made once for many.
KEPT_FRACTION = 0.875


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
        group_bytes = machine_share.bytes_for(self.limits, group)
        most_long_bytes = machine_share.LONG_FRACTIONS[group] * group_bytes
        other_bytes = self.pools[group, not is_long].held_bytes
        if is_long:
            return min(most_long_bytes, max(0.0, group_bytes - other_bytes))
        return group_bytes - min(most_long_bytes, other_bytes)

    def open(self, now_ms: float, connection: Connection) -> None:
        """Add a connection; close others, or it, if there are too many."""
        self._recount(connection)
        limit = machine_share.connections_for(self.limits, connection.group)
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
