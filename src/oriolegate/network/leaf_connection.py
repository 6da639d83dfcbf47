"""One connection to a leaf: one request in flight at a time."""

from typing import Protocol

import attrs
from loguru import logger
from twisted.internet import protocol as twisted_protocol

from oriolegate.coordinator.messages import SubRequestId
from oriolegate.exceptions import UpstreamMessageError
from oriolegate.network import upstream_wire
from oriolegate.network.upstream_wire import WireAnswer


@attrs.define(eq=False)
class PendingRequest:
    """A sub-request or a cancellation that a connection carries."""

    sub: SubRequestId
    data: bytes
    is_cancel: bool = False


class ConnectionOwner(Protocol):
    """Who opens connections and hears of them."""

    def connected(self, connection: "LeafConnection") -> None:
        """Take a connection that was just opened."""
        ...

    def free(self, connection: "LeafConnection") -> None:
        """Take a connection whose request is finished."""
        ...

    def answered(self, sub: SubRequestId, answer: WireAnswer) -> None:
        """Take the answer to a sub-request."""
        ...

    def lost(self, connection: "LeafConnection") -> None:
        """Take that a connection is gone."""
        ...

    def connect_failed(self) -> None:
        """Take that a connection could not be opened."""
        ...


class LeafConnection(twisted_protocol.Protocol):
    """One connection to a leaf.

    Attributes:
        pending: What is in flight, or None while the connection is free.
        closing: True once this process closed the connection itself.
    """

    def __init__(self, pool: ConnectionOwner) -> None:
        self.pool = pool
        self.reader = upstream_wire.AnswerReader()
        self.pending: PendingRequest | None = None
        self.closing = False

    def close(self) -> None:
        """Close the connection; what is in flight is lost."""
        self.closing = True
        self.transport.loseConnection()

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        """Tell the pool that the connection is there."""
        self.transport.setTcpNoDelay(True)
        self.pool.connected(self)

    def carry(self, pending: PendingRequest) -> None:
        """Send one request.

        A connection carries one request, so its buffer is empty and the
        bytes can go to the socket at once; by way of the reactor's write
        event each request would cost two more epoll calls.
        """
        self.pending = pending
        sent = self.transport.writeSomeData(pending.data)
        if isinstance(sent, Exception):
            # The reactor meets the same error and reports the loss.
            sent = 0
        if sent < len(pending.data):
            self.transport.write(pending.data[sent:])

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read answers and hand them to the pool."""
        try:
            answers = self.reader.feed(data)
        except UpstreamMessageError as error:
            logger.warning("upstreams: {}; connection dropped", error.message)
            self.transport.abortConnection()
            return
        for answer in answers:
            pending = self.pending
            self.pending = None
            if pending is None:
                self.transport.abortConnection()
                return
            if answer.keep_alive:
                self.pool.free(self)
            else:
                self.close()
            if not pending.is_cancel:
                self.pool.answered(pending.sub, answer)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Tell the pool that the connection is gone."""
        self.pool.lost(self)


class ConnectionFactory(twisted_protocol.ClientFactory):
    """Makes the connections of one owner."""

    noisy = False

    def __init__(self, pool: ConnectionOwner) -> None:
        self.pool = pool

    def buildProtocol(self, addr: object) -> LeafConnection:  # noqa: N802
        """Make the protocol of a new connection."""
        return LeafConnection(self.pool)

    def clientConnectionFailed(  # noqa: N802
        self, connector: object, reason: object
    ) -> None:
        """Tell the owner that there is no connection."""
        self.pool.connect_failed()
