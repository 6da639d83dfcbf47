"""HTTP server channels that keep within the limits of their process."""

from collections.abc import Callable
from typing import Any

from twisted.internet import protocol
from twisted.web import http

from oriolegate.connections import work_queue
from oriolegate.connections.connection import Connection
from oriolegate.connections.connection import RefusalReason
from oriolegate.connections.machine_share import ConnectionGroup
from oriolegate.connections.work_queue import Account
from oriolegate.connections.work_queue import STEP_BYTES
from oriolegate.connections.work_queue import WorkKind
from oriolegate.network import graceful_close
from oriolegate.network import request_head
from oriolegate.network.bounded_request import BoundedBody
from oriolegate.network.bounded_request import BoundedRequest
from oriolegate.network.head_channel import HeadChannel
from oriolegate.network.server_connections import ServerConnections

# Most bytes read at once; a channel that waits for its turn holds no more.
READ_BYTES = 16 * 1024
# Heads of more lines wait for their turn, like chunked bodies: a line costs as
# much as hundreds of bytes.
MAX_LINES_AT_ONCE = 64
# Pieces of later requests that are kept before they are joined.
MAX_PIECES = 32
# Time after which a caller may come back to a process that was short of
# memory. Connections without progress are closed within a second, so that
# there is room again, and another VM may take the request at once.
REFUSED_RETRY_S = 0.5
TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 413 Content Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
# A request that was never read completely has not run.
REFUSED_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Retry-After: %.1f\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n" % REFUSED_RETRY_S
)


def _ignore(reason: RefusalReason) -> None:
    """Do nothing, as the connection is lost."""


class BoundedChannel(HeadChannel):
    """One connection of a client.

    Attributes:
        server: Limits that all connections of the process share.
        connection: What this connection holds.
        account: Work of this connection.
        undecoded: Bytes of a chunked body that wait to be decoded.
        waiting_head: A head that waits to be parsed, or None.
        is_refused: Whether the connection is being closed.
    """

    def __init__(
        self, server: ServerConnections, group: ConnectionGroup
    ) -> None:
        super().__init__()
        self.server = server
        self.connection = Connection(group, self._refuse, server.clock.now_ms())
        self.account = Account(self)
        self.undecoded = bytearray()
        self.waiting_head: bytes | None = None
        self.is_refused = False

    # Connection

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        """Count the connection; it may be refused at once."""
        self.transport.bufferSize = READ_BYTES
        super().connectionMade()
        self.server.channels.add(self)
        self.server.budget.open(self.server.clock.now_ms(), self.connection)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Stop counting the connection and free what it holds."""
        self.server.channels.discard(self)
        self.server.budget.remove(self.connection)
        self.server.cancel_work(self.account)
        self.server.unsent.discard(self)
        super().connectionLost(reason)
        self._free()
        # Without references back to this channel it is freed at once.
        self.connection.close = _ignore
        self.account.worker = None

    @property
    def is_idle(self) -> bool:
        """Whether no request on this connection is open, begun or unread."""
        return (
            not self.requests
            and not self._buffer
            and self.waiting_head is None
            and not graceful_close.has_unread_bytes(self.transport)
        )

    def _free(self) -> None:
        """Drop buffers; the decoder refers to this channel."""
        self._transferDecoder: Any = None
        self._dataBuffer: list[bytes] = []
        self._buffer = b""
        self.undecoded = bytearray()
        self.waiting_head = None

    def _refuse(self, reason: RefusalReason) -> None:
        """Close the connection; the budget doesn't count it any more."""
        self.is_refused = True
        if self.requests:
            self.on_request_refused(self.requests[-1], reason)
        self.server.cancel_work(self.account)
        self.server.unsent.discard(self)
        if self.requests and not graceful_close.count_unsent(self.transport):
            self.transport.write(
                TOO_LARGE_RESPONSE
                if reason is RefusalReason.ENDLESS
                else REFUSED_RESPONSE
            )
            self.loseConnection()
        else:
            graceful_close.abort(self.transport)
        self._free_input()

    def refuse_incomplete(self) -> None:
        """Refuse a request that has begun and is not complete."""
        if self.requests and not self._handlingRequest and not self.is_refused:
            self.server.budget.remove(self.connection)
            self._refuse(RefusalReason.STOPPING)

    def on_request_refused(
        self, request: BoundedBody, reason: RefusalReason
    ) -> None:
        """Handle that a request is refused before it is complete."""

    def _free_input(self) -> None:
        """Drop what was received, as the connection is being closed."""
        for request in self.requests:
            if request.content is not None:
                request.content.close()
        self._free()

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        super()._respondToBadRequestAndDisconnect()
        self._free_input()

    # Input

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse requests, then count what is held."""
        if self.is_refused:
            return
        super().dataReceived(data)
        if data:
            self.connection.moved_ms = self.server.clock.now_ms()
        self.count_data()

    def on_head(self, head: bytes) -> None:
        """Parse a head now, or in its turn if it has many lines."""
        if self.is_refused:
            return
        line_count = request_head.count_lines(head)
        cost = work_queue.decoding_cost(head)
        if line_count <= MAX_LINES_AT_ONCE or self.server.work.use_now(cost):
            self.begin_request(head)
            return
        self.waiting_head = head
        self.paused = True
        self._networkProducer.pauseProducing()
        self._add_work(WorkKind.DECODE)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take part of a body, or bytes of the next requests."""
        if self.is_refused:
            return
        if self._handlingRequest:
            super().rawDataReceived(data)
            if len(self._dataBuffer) > MAX_PIECES:
                self._dataBuffer = [b"".join(self._dataBuffer)]
        elif isinstance(self._transferDecoder, http._ChunkedTransferDecoder):
            self._receive_chunked(data)
        else:
            super().rawDataReceived(data)

    def _receive_chunked(self, data: bytes) -> None:
        cost = work_queue.decoding_cost(data)
        if not self.undecoded and self.server.work.use_now(cost):
            self.server.start_turn()
            self._decode(data)
            return
        self.undecoded += data
        self._networkProducer.pauseProducing()
        self._add_work(WorkKind.DECODE)

    def _decode(self, data: bytes) -> None:
        decoder = self._transferDecoder
        super().rawDataReceived(data)
        # Nothing reads them, and many short ones need much memory.
        decoder._trailerHeaders.clear()

    def _finishRequestBody(self, data: bytes) -> None:  # noqa: N802
        """Keep the bytes after the body for the next request."""
        rest = data + bytes(self.undecoded)
        self.undecoded.clear()
        super()._finishRequestBody(rest)

    def allContentReceived(self) -> None:  # noqa: N802 (Twisted's name)
        """Count the request, then handle it."""
        request = self.requests[-1]
        request.header_bytes = self._receivedHeaderSize
        self.server.budget.begin_request(
            self.connection, request.header_bytes + request.body_bytes
        )
        super().allContentReceived()

    # Work that waits

    def _add_work(self, kind: WorkKind) -> None:
        if self._waitingForTransport:
            return
        server = self.server
        if server.work.add(self.account, kind):
            server.start_turn()
        else:
            server.budget.refuse(self.connection, RefusalReason.NO_TIME)

    def work(self, kind: WorkKind) -> int:
        """Do one step of the work that waits; return its cost."""
        if kind is WorkKind.DECODE:
            return self._decode_step()
        return self._begin_next_request()

    def continue_work(self) -> None:
        """Wait for the next step, or read on."""
        if self.is_refused or self.transport.disconnecting:
            return
        if self.undecoded or self.waiting_head is not None:
            self._add_work(WorkKind.DECODE)
        elif not self.paused and not self._waitingForTransport:
            self._networkProducer.resumeProducing()
        self.count_data()

    def _decode_step(self) -> int:
        if self.waiting_head is not None:
            return self._parse_waiting_head(self.waiting_head)
        data = bytes(self.undecoded[:STEP_BYTES])
        del self.undecoded[:STEP_BYTES]
        self.resetTimeout()
        self.connection.moved_ms = self.server.clock.now_ms()
        self._decode(data)
        return work_queue.decoding_cost(data)

    def _parse_waiting_head(self, head: bytes) -> int:
        self.waiting_head = None
        self.paused = False
        self.begin_request(head)
        if not self.is_refused:
            # Go on with what was received after the head.
            self.dataReceived(b"")
        return work_queue.decoding_cost(head)

    def _begin_next_request(self) -> int:
        self.paused = False
        self._networkProducer.resumeProducing()
        self.server.work.begin_pipelined(self.account)
        self.dataReceived(b"")
        if not self._handlingRequest:
            self.server.end_pipelined(self.account)
        return work_queue.REQUEST_COST

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Let a request that was sent meanwhile wait for its turn."""
        server = self.server
        server.budget.end_request(server.clock.now_ms(), self.connection)
        server.end_pipelined(self.account)
        is_next_waiting = bool(self._buffer) or any(self._dataBuffer)
        if self.persistent and is_next_waiting:
            self.paused = True
        super().requestDone(request)
        if self.paused and self.transport is not None:
            self._networkProducer.pauseProducing()
            self._add_work(WorkKind.NEXT_REQUEST)
        self.count_data()

    def resumeProducing(self) -> None:  # noqa: N802 (Twisted's name)
        """Continue once the client has taken the responses."""
        super().resumeProducing()
        must_decode = self.undecoded or self.waiting_head is not None
        if must_decode or self.paused:
            self._networkProducer.pauseProducing()
            self._add_work(
                WorkKind.DECODE if must_decode else WorkKind.NEXT_REQUEST
            )

    # Memory

    def count_data(self) -> None:
        """Report how much this connection holds; it may be closed for it."""
        if self.is_refused:
            return
        connection = self.connection
        is_receiving = self.requests and not self._handlingRequest
        if is_receiving and self.requests[-1].is_endless:
            self.server.budget.refuse(connection, RefusalReason.ENDLESS)
            return
        unsent_bytes = graceful_close.count_unsent(self.transport)
        if unsent_bytes < connection.unsent_bytes:
            connection.moved_ms = self.server.clock.now_ms()
        self.server.set_data(
            self, connection, self._count_input(), unsent_bytes
        )

    def _count_input(self) -> int:
        count = len(self._buffer) + len(self.undecoded)
        count += sum(map(len, self._dataBuffer))
        count += len(self.waiting_head or b"")
        if not self.requests or self._handlingRequest:
            return count
        count += self._receivedHeaderSize
        decoder = self._transferDecoder
        if isinstance(decoder, http._ChunkedTransferDecoder):
            count += len(decoder._buffer)
        return count + int(self.requests[-1].body_bytes)


class BoundedFactory(protocol.ServerFactory):
    """Creates channels within the limits of the process.

    Attributes:
        server: Limits that all connections of the process share.
        request_class: Class of the requests.
    """

    noisy = False
    request_class: Callable[..., BoundedRequest]

    def __init__(self, server: ServerConnections) -> None:
        self.server = server

    def log(self, request: Any) -> None:
        """Write no access log; handlers log each request."""
