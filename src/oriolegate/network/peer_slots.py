"""What the mesh holds of each peer, its counters and socket factories."""

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
    """Messages of one number and their bytes, without framing."""

    messages: int = 0
    size_bytes: int = 0


@attrs.define
class MeshCounters:
    """What peer links cost, since the start.

    Attributes:
        sent: Messages handed to links, by message number.
        received: Messages received, by message number.
        refused_sends: Messages not sent: no link, or its queue was full.
        bad_messages: Links closed for a message that was not understood.
        unauthorized: Links closed because the peer did not prove itself.
        refused_links: Connections closed at once: too many unproven ones.
    """

    sent: dict[int, MessageCount] = attrs.field(factory=dict)
    received: dict[int, MessageCount] = attrs.field(factory=dict)
    refused_sends: int = 0
    bad_messages: int = 0
    unauthorized: int = 0
    refused_links: int = 0

    def count_sent(self, number: int, size_bytes: int) -> None:
        """Count one message handed to a link."""
        _add(self.sent, number, size_bytes)

    def count_received(self, number: int, size_bytes: int) -> None:
        """Count one message of a proven peer."""
        _add(self.received, number, size_bytes)


def _add(table: dict[int, MessageCount], number: int, size_bytes: int) -> None:
    entry = table.setdefault(number, MessageCount())
    entry.messages += 1
    entry.size_bytes += size_bytes


@attrs.define
class PeerSlot:
    """What the mesh holds of one peer.

    Attributes:
        wanted: Whether a lost link is dialed again.
        link: The link in use, if any.
        dialing: Whether a link is being opened from here.
        backoff_ms: Upper bound of the wait before the next dial.
        dial_at_ms: No dial goes out earlier.
        used_ms: When a query's message last went either way.
        heard_ms: When the link was last seen to have received bytes.
        heard_bytes: The link's count of received bytes then.
        pending: Encoded messages that wait for a link on demand.
    """

    wanted: bool = False
    link: PeerLink | None = None
    dialing: bool = False
    backoff_ms: float = BACKOFF_MIN_MS
    dial_at_ms: float = 0.0
    used_ms: float = 0.0
    heard_ms: float = 0.0
    heard_bytes: int = 0
    pending: collections.deque[bytes] = attrs.field(factory=collections.deque)

    def back_off(self, now_ms: float, generator: random.Random) -> None:
        """Set the next dial, later with each failure in a row."""
        wait_ms = BACKOFF_MIN_MS + generator.uniform(0, self.backoff_ms)
        self.dial_at_ms = now_ms + wait_ms
        self.backoff_ms = min(self.backoff_ms * 2, BACKOFF_MAX_MS)

    def use(self, link: PeerLink, now_ms: float) -> None:
        """Take a ready link into use."""
        self.link = link
        self.backoff_ms = BACKOFF_MIN_MS
        self.used_ms = self.heard_ms = now_ms
        self.heard_bytes = link.received_bytes
        while self.pending:
            link.send(self.pending.popleft())

    def silence_ms(self, link: PeerLink, now_ms: float) -> float:
        """Return for how long the peer has sent nothing, pongs included."""
        if link.received_bytes != self.heard_bytes:
            self.heard_bytes = link.received_bytes
            self.heard_ms = now_ms
        return now_ms - self.heard_ms


class DialFactory(protocol.ClientFactory):
    """Makes one link for one dialed connection."""

    noisy = False

    def __init__(
        self, make_link: Callable[[], PeerLink], failed: Callable[[], None]
    ) -> None:
        self.make_link = make_link
        self.failed = failed

    def buildProtocol(self, addr: Any) -> PeerLink:  # noqa: N802
        """Return the link for the new connection."""
        return self.make_link()

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: Any
    ) -> None:
        """Tell the mesh that nobody answered."""
        self.failed()


class ListenFactory(protocol.ServerFactory):
    """Makes a link for each accepted connection, unless refused."""

    noisy = False

    def __init__(self, accept_link: Callable[[], PeerLink | None]) -> None:
        self.accept_link = accept_link

    def buildProtocol(self, addr: Any) -> PeerLink | None:  # noqa: N802
        """Return a link, or None to close the connection."""
        return self.accept_link()
