"""A transport whose socket a test controls."""

from typing import Any

from twisted.internet import interfaces
from zope.interface import implementer


@implementer(interfaces.ITransport, interfaces.IPushProducer)
class FakeTransport:
    """Takes what a channel writes, or keeps it while it is blocked.

    Attributes:
        written: All bytes written.
        is_blocked: Whether the client reads nothing.
        is_paused: Whether the channel reads nothing.
        dataBuffer: Bytes that the client has not taken.
        disconnecting: Whether the channel has closed the connection.
    """

    def __init__(self, channel: Any) -> None:
        self.channel = channel
        self.written = b""
        self.is_blocked = False
        self.is_paused = False
        self.dataBuffer = b""
        self.offset = 0
        self._tempDataLen = 0
        self._tempDataBuffer: list[bytes] = []
        self.disconnecting = False
        self.producer: Any = None
        self.is_producer_paused = False
        self.bufferSize = 65_536

    def getPeer(self) -> None:  # noqa: N802 (Twisted's name)
        """Return no address."""

    def getHost(self) -> None:  # noqa: N802
        """Return no address."""

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Do nothing."""

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802
        """Do nothing."""

    def write(self, data: bytes) -> None:
        """Take data; tell the producer when the buffer is full."""
        self.written += data
        if self.is_blocked:
            self.dataBuffer += data
            if len(self.dataBuffer) > self.bufferSize:
                self.is_producer_paused = True
                self.producer.pauseProducing()

    def writeSequence(self, data: list[bytes]) -> None:  # noqa: N802
        """Take several pieces of data."""
        self.write(b"".join(data))

    def unblock(self) -> None:
        """Let the client take everything."""
        self.is_blocked = False
        self.dataBuffer = b""
        if self.is_producer_paused:
            self.is_producer_paused = False
            self.producer.resumeProducing()

    def registerProducer(  # noqa: N802
        self, producer: Any, streaming: bool
    ) -> None:
        """Set what is told when the buffer is full."""
        self.producer = producer

    def unregisterProducer(self) -> None:  # noqa: N802
        """Forget the producer."""
        self.producer = None

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading."""
        self.is_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Read on."""
        self.is_paused = False

    def stopProducing(self) -> None:  # noqa: N802
        """Close the connection."""
        self.loseConnection()

    def loseConnection(self) -> None:  # noqa: N802
        """Close the connection."""
        self.disconnecting = True

    def abortConnection(self) -> None:  # noqa: N802
        """Reset the connection."""
        self.disconnecting = True
