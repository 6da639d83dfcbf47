"""What a connection of a client holds, and when it may be closed."""

from collections.abc import Callable
import enum

import attrs

from oriolegate.connections.machine_share import ConnectionGroup

# Memory of an open connection without data.
CONNECTION_BYTES = 4 * 1024
# A connection that has moved no byte for so long makes no progress.
STALL_MS = 1_000.0


class RefusalReason(enum.Enum):
    """Why a connection is closed or a request is refused."""

    TOO_MANY = "too many connections"
    STALLED = "no progress while memory is short"
    LARGEST = "too many bytes while memory is short"
    IDLE = "idle while memory is short"
    NO_MEMORY = "no memory to run it"
    NO_TIME = "too much to decode while others wait"
    ENDLESS = "body far beyond its limit"
    STOPPING = "process exits before it is complete"


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
