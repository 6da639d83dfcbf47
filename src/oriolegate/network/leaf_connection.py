"""Connection to a leaf, with at most one request in flight."""

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
    """A sub-request or cancellation that is in flight or still to be sent.

    Attributes:
        sub: The sub-request.
        query: Query id as sent to the leaf, which repeats it in its answer.
        data: Bytes of the request.
        is_cancel: Whether this is a cancellation, whose answer repeats no ids.
    """

    sub: SubRequestId
    query: bytes
    data: bytes
    is_cancel: bool = False


def _is_foreign(answer: WireAnswer, pending: PendingRequest) -> bool:
    """Return whether an answer repeats the ids of another request."""
    sub = pending.sub
    ids = (answer.query, answer.shard, answer.attempt)
    return bool(answer.query) and ids != (pending.query, sub.shard, sub.attempt)


class ConnectionOwner(Protocol):
    """Receives the events of connections; implemented by `LeafPool`."""

    def on_connected(self, connection: "LeafConnection") -> None:
        """Handle a connection that was just opened."""
        ...

    def on_idle(self, connection: "LeafConnection") -> None:
        """Handle a connection that got the answer to its request."""
        ...

    def on_answer(self, sub: SubRequestId, answer: WireAnswer) -> None:
        """Handle the answer to a sub-request."""
        ...

    def on_lost(self, connection: "LeafConnection") -> None:
        """Handle a closed connection, whichever side closed it."""
        ...

    def on_connect_failed(self) -> None:
        """Handle a failed attempt to connect."""
        ...


class LeafConnection(twisted_protocol.Protocol):
    """One connection to a leaf.

    Attributes:
        pending: Request in flight, or None while the connection is idle.
        closing: Whether this process closed the connection itself.
        has_foreign_answer: Whether an answer to another request arrived, such
            as a late second copy; more of them may follow.
    """

    def __init__(self, pool: ConnectionOwner) -> None:
        self.pool = pool
        self.reader = upstream_wire.AnswerReader()
        self.pending: PendingRequest | None = None
        self.closing = False
        self.has_foreign_answer = False

    def close(self) -> None:
        """Close the connection; a request in flight is lost."""
        self.closing = True
        self.transport.loseConnection()

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        """Notify the pool of the open connection."""
        self.transport.setTcpNoDelay(True)
        self.pool.on_connected(self)

    def send_request(self, pending: PendingRequest) -> None:
        """Send one request.

        At most one request is in flight, so the transport's buffer is empty and
        the bytes are written directly to the socket. Waiting for the reactor's
        write event would cost two more epoll calls per request.
        """
        self.pending = pending
        sent = self.transport.writeSomeData(pending.data)
        if isinstance(sent, Exception):
            # The reactor gets the same write error and reports the loss of the
            # connection.
            sent = 0
        if sent < len(pending.data):
            self.transport.write(pending.data[sent:])

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse answers and pass them to the pool."""
        try:
            answers = self.reader.feed(data)
        except UpstreamMessageError as error:
            logger.warning(
                "upstreams: {}; closing the connection", error.message
            )
            self.transport.abortConnection()
            return
        for answer in answers:
            self._on_answer(answer)

    def _on_answer(self, answer: WireAnswer) -> None:
        pending = self.pending
        if pending is None:
            self.transport.abortConnection()
            return
        if _is_foreign(answer, pending):
            self.has_foreign_answer = True
            if not answer.keep_alive:
                self.transport.abortConnection()
            return
        self.pending = None
        has_ids = bool(answer.query) or pending.is_cancel
        if answer.keep_alive and has_ids and not self.has_foreign_answer:
            self.pool.on_idle(self)
        else:
            self.close()
        if not pending.is_cancel:
            self.pool.on_answer(pending.sub, answer)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Notify the pool that the connection is closed."""
        self.pool.on_lost(self)


class ConnectionFactory(twisted_protocol.ClientFactory):
    """Creates the connections of one pool."""

    noisy = False

    def __init__(self, pool: ConnectionOwner) -> None:
        self.pool = pool

    def buildProtocol(self, addr: object) -> LeafConnection:  # noqa: N802
        """Return the protocol of a new connection."""
        return LeafConnection(self.pool)

    def clientConnectionFailed(  # noqa: N802
        self, connector: object, reason: object
    ) -> None:
        """Notify the pool that the attempt to connect failed."""
        self.pool.on_connect_failed()
