"""HTTP/1.1 client connection with one request in flight at a time."""

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
from oriolegate.network.receive_limits import DEFAULT_LIMITS
from oriolegate.network.receive_limits import ReceiveBuffer
from oriolegate.network.receive_limits import ReceiveLimits

# TCP keepalive and TCP_USER_TIMEOUT: a connection ends after unanswered probes
# or this time without an acknowledgement, so that an unreachable peer is
# detected well within the 5 s in which views must be correct again.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
UNACKNOWLEDGED_TIMEOUT_MS = 2_500
# Default timeout of opening a connection.
CONNECT_TIMEOUT_S = 1.0
# A connection that is reset within this time of opening, before any response,
# counts as rejected by the server: a crashed server or a broken network path
# does not accept a connection and then reset it.
REJECTION_WINDOW_MS = 500.0
# A response to a longer request may arrive before all its bytes are sent, so
# that the connection can't be reused.
MAX_REUSE_REQUEST_BYTES = 16_384
# Responses to other requests that may come before the one that is awaited: a
# few late copies of earlier ones.
MAX_UNMATCHED_RESPONSES = 8


@attrs.frozen
class Answered:
    """A complete response was received."""

    response: HttpResponse


@attrs.frozen
class NotSent:
    """No part of the request was sent."""

    detail: str


@attrs.frozen
class Broken:
    """The request was sent, but no complete response was received.

    Attributes:
        detail: Reason.
        rejected: Whether the server seems to have rejected the connection
            because it is at its connection limit.
    """

    detail: str
    rejected: bool = False


Result = Answered | NotSent | Broken


def _ignore_result(result: Result) -> None:
    """Do nothing, as the result is not needed."""


def _accept_none(response: HttpResponse) -> bool:
    """Accept no response, as the call has its result."""
    return False


@attrs.define(eq=False)
class HttpCall:
    """A request to send over a connection.

    Attributes:
        data: Bytes of the request.
        done: Called with the result; not called after a cancel.
        accepts: Returns whether a response belongs to this request.
        states_request: Returns whether a response shows which request it
            answers. After one that doesn't, the connection is closed: a late
            copy could be taken for the answer to the next request.
        is_anonymous: Whether no response shows that it answers this request
            and not an earlier one like it.
        is_head: Whether this is a HEAD request, whose response has no body.
        connection: Connection on which the request was sent, or None.
        cancelled: Whether the result is no longer needed.
        received_bytes: Bytes received since the request was sent.
    """

    data: bytes
    done: Callable[[Result], None]
    accepts: Callable[[HttpResponse], bool]
    states_request: Callable[[HttpResponse], bool] = lambda response: True
    is_anonymous: bool = False
    is_head: bool = False
    connection: "HttpConnection | None" = None
    cancelled: bool = False
    received_bytes: int = 0

    def finish(self, result: Result) -> None:
        """Report the result and free what it needed.

        `done` mostly refers to this call again; such a cycle would keep the
        request and its answer in memory until the garbage collector runs.
        """
        done = self.done
        self.drop()
        done(result)

    def drop(self) -> None:
        """Free what only a result would need."""
        self.done = _ignore_result
        self.accepts = _accept_none
        self.data = b""


class ConnectionOwner(Protocol):
    """Opens connections and receives their events."""

    def on_connected(self, connection: "HttpConnection") -> None:
        """Handle that a connection is open."""
        ...

    def on_idle(self, connection: "HttpConnection") -> None:
        """Handle that a connection can send another request."""
        ...

    def on_lost(self, connection: "HttpConnection") -> None:
        """Handle that a connection is closed."""
        ...


def configure_socket(transport: Any) -> None:
    """Enable keepalive, TCP_NODELAY and timeouts on a TCP transport."""
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    handle = transport.getHandle()
    tcp = socket.IPPROTO_TCP
    handle.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    handle.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    handle.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
    handle.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)


class HttpConnection(twisted_protocol.Protocol):
    """One HTTP connection to a server.

    Attributes:
        call: The call in flight, or None.
        idle_since_ms: When the connection became idle.
        keep_alive_ms: Idle timeout that the server announced, or None.
        opened_at_ms: When the connection was opened.
        has_answered: Whether any response was received on the connection.
        buffer: Buffer that incomplete responses share, or None.
        unmatched_responses: Responses that did not match the call in flight.
        was_anonymous: Whether an anonymous call was sent.
    """

    def __init__(
        self,
        owner: ConnectionOwner,
        clock: Clock,
        limits: ReceiveLimits = DEFAULT_LIMITS,
    ) -> None:
        self.owner = owner
        self.clock = clock
        self.buffer = limits.buffer
        self.reader = ResponseReader(limits.max_body_bytes)
        self.call: HttpCall | None = None
        self.idle_since_ms = 0.0
        self.keep_alive_ms: float | None = None
        self.opened_at_ms = 0.0
        self.has_answered = False
        self.unmatched_responses = 0
        self.was_anonymous = False

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        """Configure the socket and notify the owner."""
        configure_socket(self.transport)
        self.opened_at_ms = self.clock.now_ms()
        self.owner.on_connected(self)

    def send_call(self, call: HttpCall) -> None:
        """Send the request of a call."""
        self.call = call
        call.connection = self
        self.was_anonymous |= call.is_anonymous
        self.reader.expect_no_body = call.is_head
        # The write buffer is empty, so the bytes can go to the socket directly;
        # a write through the reactor would cost two more epoll calls.
        sent_bytes = self.transport.writeSomeData(call.data)
        if isinstance(sent_bytes, Exception):
            # The reactor gets the same error and reports the lost connection.
            sent_bytes = 0
        if sent_bytes < len(call.data):
            self.transport.write(call.data[sent_bytes:])

    def abort(self) -> None:
        """Close at once without reporting a result to the call in flight."""
        self.call = None
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse responses and complete the call in flight."""
        if self.call is None:
            # Unsolicited bytes belong to no request.
            self.transport.abortConnection()
            return
        self.call.received_bytes += len(data)
        try:
            responses = self.reader.feed(data)
        except UpstreamMessageError as malformed:
            self._break(malformed.message)
            return
        if self.buffer is not None:
            self._update_buffer(self.buffer)
        for response in responses:
            self._on_response(response)

    def _update_buffer(self, buffer: ReceiveBuffer) -> None:
        if self.reader.in_progress:
            buffer.update(self, self.reader.fed_bytes, self._abandon_response)
        else:
            buffer.release(self)

    def _abandon_response(self) -> None:
        self.transport.abortConnection()
        # The connection is lost in a later turn of the event loop, and others
        # may be read before.
        self.reader.close()
        self._finish_call(Broken("too many bytes of responses at once"))

    def _on_response(self, response: HttpResponse) -> None:
        self.has_answered = True
        call = self.call
        if call is None:
            self.transport.abortConnection()
            return
        states_request = call.states_request(response)
        if not call.accepts(response):
            # For example a late second response to an earlier request.
            self.unmatched_responses += 1
            if not states_request:
                self._break("a response that states no request")
            elif not response.keep_alive:
                self._break("closed after a response to another request")
            elif self.unmatched_responses > MAX_UNMATCHED_RESPONSES:
                self._break("too many responses to other requests")
            return
        is_reusable = (
            response.keep_alive
            and states_request
            and not self.reader.in_progress
            and not self.unmatched_responses
            and len(call.data) <= MAX_REUSE_REQUEST_BYTES
        )
        self._read_keep_alive(response)
        self.call = None
        if is_reusable:
            self.idle_since_ms = self.clock.now_ms()
            self.owner.on_idle(self)
        else:
            self.transport.abortConnection()
        call.finish(Answered(response))

    def _break(self, detail: str) -> None:
        self._finish_call(Broken(detail))
        self.transport.abortConnection()
        self.reader.close()

    def _read_keep_alive(self, response: HttpResponse) -> None:
        value = response.header(b"keep-alive")
        if value is None:
            return
        for parameter in value.split(b","):
            name, _, seconds = parameter.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self.keep_alive_ms = int(seconds) * 1_000.0

    def _finish_call(self, result: Result) -> None:
        call = self.call
        self.call = None
        if call is not None:
            call.finish(result)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Report the result of the call in flight, if any."""
        if self.buffer is not None:
            self.buffer.release(self)
        self.owner.on_lost(self)
        was_closed = reason is not None and reason.check(error.ConnectionDone)
        response = self.reader.finish_on_close() if was_closed else None
        self.reader.close()
        if self.call is None:
            return
        if response is not None and self.call.accepts(response):
            self._finish_call(Answered(response))
            return
        text = reason.getErrorMessage() if reason is not None else "lost"
        age_ms = self.clock.now_ms() - self.opened_at_ms
        is_new = not self.has_answered and age_ms < REJECTION_WINDOW_MS
        self._finish_call(Broken(text, rejected=is_new and not was_closed))


class HttpFactory(twisted_protocol.ClientFactory):
    """Opens one connection for one call."""

    noisy = False

    def __init__(
        self,
        owner: ConnectionOwner,
        clock: Clock,
        call: HttpCall,
        on_failure: Callable[[HttpCall, str], None],
        limits: ReceiveLimits = DEFAULT_LIMITS,
    ) -> None:
        self.limits = limits
        self.owner = owner
        self.clock = clock
        self.call: HttpCall | None = call
        self.on_failure = on_failure

    def buildProtocol(self, addr: object) -> HttpConnection:  # noqa: N802
        """Create the protocol of the connection."""
        connection = HttpConnection(self.owner, self.clock, self.limits)
        connection.call = self.call
        # The transport keeps this factory in memory.
        self.call = None
        return connection

    def clientConnectionFailed(  # noqa: N802
        self, connector: object, reason: Any
    ) -> None:
        """Report that the connection could not be opened."""
        call, self.call = self.call, None
        if call is not None:
            self.on_failure(call, reason.getErrorMessage())
