"""A client's HTTP/1.1 connection: one request in flight at a time."""

from collections.abc import Callable
import socket
from typing import Any
from typing import Protocol

import attrs
from twisted.internet import error
from twisted.internet import protocol as twisted_protocol

from oriolegate.clock import Clock
from oriolegate.exceptions import UpstreamMessageError
from oriolegate.network.http_reader import HttpResponse
from oriolegate.network.http_reader import ResponseReader

# The kernel probes an idle connection after this time, and gives it up after
# three silent probes or this long without an acknowledgement: a peer that is
# cut off is noticed well within the 5 s in which views must be right again.
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
UNACKNOWLEDGED_MS = 2_500
# How long a connection may take to open, unless its user says otherwise.
CONNECT_TIMEOUT_S = 1.0
# A connection that is reset within this time of opening, before any response,
# was turned away: a server that dies or a dead way take no such notice.
TURNED_AWAY_MS = 500.0
# A response before so much of the body is sent may leave bytes on the way,
# so the connection is not used again.
REUSE_BODY_BYTES = 16_384


@attrs.frozen
class Answered:
    """A whole response."""

    response: HttpResponse


@attrs.frozen
class NotSent:
    """Nothing of the request was put on a connection."""

    detail: str


@attrs.frozen
class Broken:
    """The request was sent and no whole response came.

    Attributes:
        detail: What happened.
        turned_away: Whether the server seems to have more connections than
            it takes.
    """

    detail: str
    turned_away: bool = False


Result = Answered | NotSent | Broken


@attrs.define(eq=False)
class HttpCall:
    """A request for a connection to carry.

    Attributes:
        data: The bytes of the request.
        done: Called once with what came of it.
        accepts: Tells whether a response belongs to this request.
        is_head: Whether the response has no body.
    """

    data: bytes
    done: Callable[[Result], None]
    accepts: Callable[[HttpResponse], bool]
    is_head: bool = False
    connection: "HttpConnection | None" = None
    cancelled: bool = False


class ConnectionUser(Protocol):
    """Who opened a connection."""

    def connected(self, connection: "HttpConnection") -> None:
        """Take that it is open."""
        ...

    def free(self, connection: "HttpConnection") -> None:
        """Take that it may carry another request."""
        ...

    def lost(self, connection: "HttpConnection") -> None:
        """Take that it is gone."""
        ...


def tune_socket(transport: Any) -> None:
    """Switch on probes and immediate sending for a TCP transport."""
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    handle = transport.getHandle()
    tcp = socket.IPPROTO_TCP
    handle.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    handle.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    handle.setsockopt(tcp, socket.TCP_KEEPCNT, PROBE_COUNT)
    handle.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


class HttpConnection(twisted_protocol.Protocol):
    """One connection.

    Attributes:
        call: What is in flight, or None.
        idle_since_ms: When it became free.
        keep_alive_ms: How long the server keeps it while idle, if stated.
        opened_at_ms: When it was opened.
        has_answered: Whether any response came on it.
    """

    def __init__(self, user: ConnectionUser, clock: Clock) -> None:
        self.user = user
        self.clock = clock
        self.reader = ResponseReader()
        self.call: HttpCall | None = None
        self.idle_since_ms = 0.0
        self.keep_alive_ms: float | None = None
        self.opened_at_ms = 0.0
        self.has_answered = False
        self.foreign_answers = 0

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        """Tell the user that it is open."""
        tune_socket(self.transport)
        self.opened_at_ms = self.clock.now_ms()
        self.user.connected(self)

    def carry(self, call: HttpCall) -> None:
        """Send one request."""
        self.call = call
        call.connection = self
        self.reader.expect_no_body = call.is_head
        # Nothing else is on its way here, so the bytes go to the socket at
        # once; through the reactor they would cost two more epoll calls.
        sent = self.transport.writeSomeData(call.data)
        if isinstance(sent, Exception):
            # The reactor meets the same error and reports the loss.
            sent = 0
        if sent < len(call.data):
            self.transport.write(call.data[sent:])

    def abort(self) -> None:
        """Close at once; what is in flight is not reported."""
        self.call = None
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read responses."""
        if self.call is None:
            # Bytes that nobody asked for belong to no request.
            self.transport.abortConnection()
            return
        try:
            responses = self.reader.feed(data)
        except UpstreamMessageError as fault:
            self._end(Broken(fault.message))
            self.transport.abortConnection()
            return
        for response in responses:
            self._take(response)

    def _take(self, response: HttpResponse) -> None:
        self.has_answered = True
        call = self.call
        if call is None:
            self.transport.abortConnection()
            return
        if not call.accepts(response):
            # A late second response to an earlier request.
            self.foreign_answers += 1
            if not response.keep_alive:
                self._end(Broken("closed after a foreign response"))
                self.transport.abortConnection()
            return
        is_clean = (
            response.keep_alive
            and not self.reader.started
            and not self.foreign_answers
            and len(call.data) <= REUSE_BODY_BYTES
        )
        self._note_keep_alive(response)
        self.call = None
        if is_clean:
            self.idle_since_ms = self.clock.now_ms()
            self.user.free(self)
        else:
            self.transport.abortConnection()
        call.done(Answered(response))

    def _note_keep_alive(self, response: HttpResponse) -> None:
        value = response.header(b"keep-alive")
        if value is None:
            return
        for item in value.split(b","):
            name, _, seconds = item.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self.keep_alive_ms = int(seconds) * 1_000.0

    def _end(self, result: Result) -> None:
        call = self.call
        self.call = None
        if call is not None:
            call.done(result)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Report what was in flight."""
        self.user.lost(self)
        if self.call is None:
            return
        was_closed = reason is not None and reason.check(error.ConnectionDone)
        response = self.reader.closed() if was_closed else None
        if response is not None and self.call.accepts(response):
            self._end(Answered(response))
            return
        text = reason.getErrorMessage() if reason is not None else "lost"
        age_ms = self.clock.now_ms() - self.opened_at_ms
        is_new = not self.has_answered and age_ms < TURNED_AWAY_MS
        self._end(Broken(text, turned_away=is_new and not was_closed))


class HttpFactory(twisted_protocol.ClientFactory):
    """Makes one connection for one call."""

    noisy = False

    def __init__(
        self,
        user: ConnectionUser,
        clock: Clock,
        call: HttpCall,
        failed: Callable[[HttpCall, str], None],
    ) -> None:
        self.user = user
        self.clock = clock
        self.call = call
        self.failed = failed

    def buildProtocol(self, addr: object) -> HttpConnection:  # noqa: N802
        """Make the protocol of the connection."""
        connection = HttpConnection(self.user, self.clock)
        connection.call = self.call
        return connection

    def clientConnectionFailed(  # noqa: N802
        self, connector: object, reason: Any
    ) -> None:
        """Report that there is no connection."""
        self.failed(self.call, reason.getErrorMessage())
