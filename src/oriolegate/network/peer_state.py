"""State of one peer in the mesh, counters and connection factories."""

import collections
from collections.abc import Callable
import random
from typing import Any

import attrs
from twisted.internet import protocol

from oriolegate.network.peer_link import PeerLink

BACKOFF_MIN_MS = 200.0
BACKOFF_MAX_MS = 10_000.0
MAX_PENDING_MESSAGES = 64


@attrs.define
class MessageCount:
    """Count and size of the messages of one type, without framing."""

    messages: int = 0
    size_bytes: int = 0


@attrs.define
class MeshCounters:
    """Counters of all peer links since the start.

    Attributes:
        sent: Messages passed to links, by message number.
        received: Messages received, by message number.
        refused_sends: Messages not sent: too large, no address, or the link
            or its queue was unavailable.
        bad_messages: Links closed because of an invalid message.
        unauthorized: Links closed because authentication failed.
        refused_links: Incoming connections closed because there were too
            many unauthenticated links.
    """

    sent: dict[int, MessageCount] = attrs.field(factory=dict)
    received: dict[int, MessageCount] = attrs.field(factory=dict)
    refused_sends: int = 0
    bad_messages: int = 0
    unauthorized: int = 0
    refused_links: int = 0

    def count_sent(self, number: int, size_bytes: int) -> None:
        """Count one message passed to a link."""
        _add(self.sent, number, size_bytes)

    def count_received(self, number: int, size_bytes: int) -> None:
        """Count one message of an authenticated peer."""
        _add(self.received, number, size_bytes)


def _add(table: dict[int, MessageCount], number: int, size_bytes: int) -> None:
    entry = table.setdefault(number, MessageCount())
    entry.messages += 1
    entry.size_bytes += size_bytes


@attrs.define
class PeerState:
    """Link to one peer and the schedule of its dials.

    Attributes:
        persistent: Whether a lost link is dialed again.
        link: The current link, or None.
        dialing: Whether this side is opening a link.
        backoff_ms: Upper bound of the jitter before the next dial.
        dial_at_ms: Earliest time of the next dial.
        last_query_ms: When a query message was last sent or received.
        received_ms: When `silence_ms` last found newly received bytes.
        counted_bytes: The link's `received_bytes` at `received_ms`.
        pending: Encoded messages waiting for a link.
    """

    persistent: bool = False
    link: PeerLink | None = None
    dialing: bool = False
    backoff_ms: float = BACKOFF_MIN_MS
    dial_at_ms: float = 0.0
    last_query_ms: float = 0.0
    received_ms: float = 0.0
    counted_bytes: int = 0
    pending: collections.deque[bytes] = attrs.field(factory=collections.deque)

    def schedule_redial(self, now_ms: float, rng: random.Random) -> None:
        """Set the earliest next dial, with exponential backoff and jitter."""
        wait_ms = BACKOFF_MIN_MS + rng.uniform(0, self.backoff_ms)
        self.dial_at_ms = now_ms + wait_ms
        self.backoff_ms = min(self.backoff_ms * 2, BACKOFF_MAX_MS)

    def set_link(self, link: PeerLink, now_ms: float) -> None:
        """Set the current link and send pending messages on it."""
        self.link = link
        self.backoff_ms = BACKOFF_MIN_MS
        self.last_query_ms = self.received_ms = now_ms
        self.counted_bytes = link.received_bytes
        while self.pending:
            link.send(self.pending.popleft())

    def silence_ms(self, link: PeerLink, now_ms: float) -> float:
        """Return the time since the link last received bytes, even a pong."""
        if link.received_bytes != self.counted_bytes:
            self.counted_bytes = link.received_bytes
            self.received_ms = now_ms
        return now_ms - self.received_ms


class DialFactory(protocol.ClientFactory):
    """Creates the link of one outgoing connection."""

    noisy = False

    def __init__(
        self, make_link: Callable[[], PeerLink], on_failure: Callable[[], None]
    ) -> None:
        self.make_link = make_link
        self.on_failure = on_failure

    def buildProtocol(self, addr: Any) -> PeerLink:  # noqa: N802
        """Return the link for the new connection."""
        return self.make_link()

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: Any
    ) -> None:
        """Notify the mesh that the connection failed."""
        self.on_failure()


class ListenFactory(protocol.ServerFactory):
    """Creates a link for each incoming connection unless refused."""

    noisy = False

    def __init__(self, accept_link: Callable[[], PeerLink | None]) -> None:
        self.accept_link = accept_link

    def buildProtocol(self, addr: Any) -> PeerLink | None:  # noqa: N802
        """Return a link, or None to close the connection."""
        return self.accept_link()
