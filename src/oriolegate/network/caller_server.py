"""HTTP servers of a gateway, on twisted.web.

`CallerFactory` serves callers; `InternalHttpFactory` serves the balancer,
metrics readers and other VMs.
"""

from collections.abc import Callable
from typing import Any
from typing import Protocol

from twisted.web import http

from oriolegate.connections.connection import RefusalReason
from oriolegate.connections.machine_share import ConnectionGroup
from oriolegate.models import header_lines
from oriolegate.models.header_lines import HeaderLines
from oriolegate.models.site import CallerLimits
from oriolegate.network import request_head
from oriolegate.network.bounded_channel import BoundedChannel
from oriolegate.network.bounded_channel import BoundedFactory
from oriolegate.network.bounded_request import BoundedBody
from oriolegate.network.bounded_request import BoundedRequest
from oriolegate.network.server_connections import ServerConnections

MS_PER_S = 1_000.0
# Callers reuse a connection for up to four fifths of the configured idle time.
# This server waits slightly longer than that time, so that the caller always
# closes first.
IDLE_TIMEOUT_FACTOR = 1.05
UNKNOWN_STATUS = b"Unknown Status"
# A request that was never read completely has not run, so the caller may retry
# it.
HEADER_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
# Most bytes of a request that another VM forwards, beside which its headers
# need little.
MAX_FORWARDED_BYTES = 4 * 1024 * 1024
# Longer than the interval of the balancer, which sends a request every second.
INTERNAL_IDLE_TIMEOUT_S = 60


def _capitalize(name: bytes) -> bytes:
    return b"-".join(word.capitalize() for word in name.split(b"-"))


class CallerHandler(Protocol):
    """Serves callers' requests.

    Attributes:
        limits: Limits for new connections and request bodies.
    """

    @property
    def closes_connections(self) -> bool:
        """Whether connections are closed after their next response."""
        ...

    @property
    def limits(self) -> CallerLimits:
        """Limits of the configuration in force."""
        ...

    def handle(self, request: "CallerHttpRequest") -> None:
        """Serve one complete request."""
        ...

    def header_too_late(self, limit_ms: float) -> None:
        """Record that a connection was closed after a header timeout."""
        ...

    def request_refused(
        self, headers: HeaderLines, reason: RefusalReason
    ) -> None:
        """Record that a request was refused before it was complete."""
        ...

    def caller_gone(self, request: "CallerHttpRequest") -> None:
        """Stop serving a request whose caller has disconnected."""
        ...


class CallerHttpRequest(BoundedRequest):
    """One HTTP request of a caller."""

    handler: CallerHandler

    @property
    def max_body_bytes(self) -> int:
        """Longest body that the configuration allows."""
        return self.handler.limits.body_bytes

    def process(self) -> None:
        """Pass the complete request to the handler."""
        self.handler.handle(self)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Notify the handler if a response was still to be sent."""
        was_open = self.open
        self.open = False
        super().connectionLost(reason)
        if was_open:
            self.handler.caller_gone(self)

    def reply(self, status: int, headers: HeaderLines, body: bytes) -> None:
        """Send the response, unless it was sent or the caller disconnected."""
        if not self.open:
            return
        self.open = False
        if self.handler.closes_connections:
            self.channel.persistent = False
        self._write_head(status, headers, len(body))
        if body and self.method != b"HEAD" and status not in http.NO_BODY_CODES:
            self.channel.write(body)
        self.finish()

    def _write_head(
        self, status: int, headers: HeaderLines, size_bytes: int
    ) -> None:
        """Write the head; Twisted would keep the names of leafs' headers."""
        lines = [
            b"%b %d %b"
            % (
                self.clientproto,
                status,
                http.RESPONSES.get(status, UNKNOWN_STATUS),
            )
        ]
        lines += [
            header_lines.encode_line(_capitalize(name), value)
            for name, value in headers
        ]
        lines.append(
            header_lines.encode_line(b"Content-Length", b"%d" % size_bytes)
        )
        if not self.channel.persistent:
            lines.append(header_lines.encode_line(b"Connection", b"close"))
        lines.append(request_head.END_OF_HEAD)
        self.startedWriting = 1
        self.code = status
        self.channel.write(b"".join(lines))


class CallerChannel(BoundedChannel):
    """One connection of a caller.

    Attributes:
        header_limit_s: Longest time to receive a header.
        has_header: Whether the header of the current request is complete.
        header_timer: Delayed call that enforces `header_limit_s`, or None.
    """

    header_limit_s = CallerLimits().header_limit_ms / MS_PER_S
    has_header = False
    header_timer: Any = None

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        """Set the options of the connection."""
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        super().connectionMade()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Stop limiting the time of a header."""
        self._stop_header_timer()
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse requests, and limit the time for receiving a header."""
        super().dataReceived(data)
        if not self._is_reading_header():
            self._stop_header_timer()
        elif self.header_timer is None:
            self.header_timer = self.callLater(
                self.header_limit_s, self._on_header_timeout
            )

    def _is_reading_header(self) -> bool:
        # While requests wait here for their turn, the caller isn't late.
        if self.has_header or self.paused or self.is_refused:
            return False
        # Bytes received while a request is open wait in the same buffer; the
        # header timeout does not apply to these bytes.
        return bool(self._buffer) and not self.requests

    def allHeadersReceived(self) -> None:  # noqa: N802 (Twisted's name)
        """Record that the header of the current request is complete."""
        self.has_header = True
        super().allHeadersReceived()

    def allContentReceived(self) -> None:  # noqa: N802 (Twisted's name)
        """Prepare for the header of the next request."""
        self.has_header = False
        super().allContentReceived()

    def on_request_refused(
        self, request: BoundedBody, reason: RefusalReason
    ) -> None:
        """Notify the handler."""
        self._stop_header_timer()
        self.factory.handler.request_refused(request.header_list(), reason)

    def _stop_header_timer(self) -> None:
        if self.header_timer is not None:
            self.header_timer.cancel()
            self.header_timer = None

    def _on_header_timeout(self) -> None:
        self.header_timer = None
        self.factory.handler.header_too_late(self.header_limit_s * MS_PER_S)
        self.transport.write(HEADER_TIMEOUT_RESPONSE)
        self.loseConnection()


class CallerFactory(BoundedFactory):
    """Creates a channel for each connection of a caller."""

    def __init__(
        self, server: ServerConnections, handler: CallerHandler
    ) -> None:
        super().__init__(server)
        self.handler = handler

        class BoundRequest(CallerHttpRequest):
            """Request class bound to this factory's handler."""

        BoundRequest.handler = handler
        self.request_class = BoundRequest

    def buildProtocol(self, addr: Any) -> CallerChannel:  # noqa: N802
        """Create a channel with the limits of the current configuration."""
        limits = self.handler.limits
        channel = CallerChannel(self.server, ConnectionGroup.CALLERS)
        channel.factory = self
        channel.requestFactory = self.request_class
        channel.timeOut = limits.idle_limit_ms * IDLE_TIMEOUT_FACTOR / MS_PER_S
        channel.totalHeadersSize = limits.header_bytes
        channel.header_limit_s = limits.header_limit_ms / MS_PER_S
        return channel


Respond = Callable[[int, bytes], None]
Handle = Callable[[bytes, Respond], None]


class InternalRequest(BoundedRequest):
    """A request from the balancer, a metrics reader or another VM.

    Attributes:
        handle: Answers requests other than forwarded ones.
        handle_forwarded: Answers those, or None.
        on_disconnected: Called if the connection is lost before the response.
    """

    handle: Handle
    handle_forwarded: "Callable[[InternalRequest], None] | None" = None
    on_disconnected: Callable[[], None] | None = None

    @property
    def max_body_bytes(self) -> int:
        """Longest request that another VM forwards."""
        return MAX_FORWARDED_BYTES

    def process(self) -> None:
        """Pass the request on; the response may come later."""
        handle_forwarded = type(self).handle_forwarded
        if self.method == b"POST" and handle_forwarded is not None:
            handle_forwarded(self)
        else:
            type(self).handle(self.uri, self.respond)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Notify the handler if a response was still to be sent."""
        was_open = self.open
        self.open = False
        super().connectionLost(reason)
        if was_open and self.on_disconnected is not None:
            self.on_disconnected()

    def respond(self, status: int, body: bytes) -> None:
        """Send the response, unless the connection is closed."""
        if not self.open:
            return
        self.open = False
        self.setResponseCode(status)
        self.setHeader(b"content-length", b"%d" % len(body))
        self.write(body)
        self.finish()


class InternalHttpFactory(BoundedFactory):
    """Creates channels that pass every request to one function."""

    def __init__(
        self,
        server: ServerConnections,
        handle: Handle,
        handle_forwarded: Callable[[InternalRequest], None] | None = None,
    ) -> None:
        """Create the factory.

        Args:
            server: Limits that all connections of the process share.
            handle: Called with path and query, and with a function that sends
                the response, given its status and body.
            handle_forwarded: Called with each POST request, if not None.
        """
        super().__init__(server)

        class BoundRequest(InternalRequest):
            """Request class bound to this factory's function."""

        BoundRequest.handle = staticmethod(handle)
        if handle_forwarded is not None:
            BoundRequest.handle_forwarded = staticmethod(handle_forwarded)
        self.request_class = BoundRequest

    def buildProtocol(self, addr: Any) -> BoundedChannel:  # noqa: N802
        """Create a channel."""
        channel = BoundedChannel(self.server, ConnectionGroup.INTERNAL)
        channel.factory = self
        channel.requestFactory = self.request_class
        channel.timeOut = INTERNAL_IDLE_TIMEOUT_S
        return channel
