"""The HTTP server that callers connect to, on twisted.web."""

from collections.abc import Callable
from typing import Any
from typing import Protocol

from twisted.internet import protocol
from twisted.web import http

from oriolegate.exchange.messages import Headers
from oriolegate.models.site import CallerLimits

MS_PER_S = 1_000.0
# Callers reuse connections up to four fifths of the stated idle time; a
# little more than it leaves no doubt about who closes first.
IDLE_FACTOR = 1.05
# The request was not read, so it has not run: the caller may send it again.
HEADER_TOO_LATE = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
# The balancer asks every second.
PLAIN_IDLE_S = 60


class CallerHandler(Protocol):
    """What serves callers' requests.

    Attributes:
        leaving: Whether callers should open no new request here.
        limits: What callers may send.
    """

    leaving: bool

    @property
    def limits(self) -> CallerLimits:
        """What callers may send now."""
        ...

    def handle(self, request: "CallerHttpRequest") -> None:
        """Serve one whole request."""
        ...

    def header_too_late(self, limit_ms: float) -> None:
        """Take that a connection was ended whose header took too long."""
        ...

    def caller_gone(self, request: "CallerHttpRequest") -> None:
        """Take that the connection of an open request is gone."""
        ...


class CallerHttpRequest(http.Request):
    """One request of a caller.

    Attributes:
        too_large: Whether its body passes the limit.
        received_bytes: Bytes of the body so far.
        open: Whether an answer is still owed.
    """

    handler: CallerHandler

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.too_large = False
        self.received_bytes = 0
        self.open = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Check the announced length before the body is stored."""
        if length is not None and length > self.handler.limits.body_bytes:
            self.too_large = True
        # Bodies are bounded, so they are kept in memory, not in a file.
        super().gotLength(0)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Store a part of the body unless it is too much."""
        self.received_bytes += len(data)
        if self.received_bytes > self.handler.limits.body_bytes:
            self.too_large = True
        if not self.too_large:
            super().handleContentChunk(data)

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Hand the whole request over, without looking into its body."""
        self.content.seek(0, 0)
        self.method = command
        self.uri = path
        self.clientproto = version
        self.open = True
        self.handler.handle(self)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Tell that nobody waits for the answer."""
        was_open = self.open
        self.open = False
        super().connectionLost(reason)
        if was_open:
            self.handler.caller_gone(self)

    def header_list(self) -> Headers:
        """Return all headers, in order of their names."""
        return tuple(
            (name, value)
            for name, values in self.requestHeaders.getAllRawHeaders()
            for value in values
        )

    def read_body(self) -> bytes:
        """Return the whole body."""
        return bytes(self.content.read())

    def reply(self, status: int, headers: Headers, body: bytes) -> None:
        """Send the answer."""
        if not self.open:
            return
        self.open = False
        self.setResponseCode(status)
        for name, value in headers:
            self.responseHeaders.addRawHeader(name, value)
        self.responseHeaders.setRawHeaders(
            b"content-length", [b"%d" % len(body)]
        )
        if self.handler.leaving:
            self.responseHeaders.setRawHeaders(b"connection", [b"close"])
            self.channel.persistent = False
        if body:
            self.write(body)
        self.finish()


class CallerChannel(http.HTTPChannel):
    """One connection of a caller.

    Attributes:
        header_limit_s: How long a header may take to arrive.
        has_header: Whether the header of the request being read is in.
        header_timer: Runs while a header is incomplete.
    """

    header_limit_s = CallerLimits().header_limit_ms / MS_PER_S
    has_header = False
    header_timer: Any = None

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        """Keep it in the factory's set of open connections."""
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        super().connectionMade()
        self.factory.channels.add(self)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Forget it."""
        self._stop_header_timer()
        self.factory.channels.discard(self)
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read requests, and see to it that headers don't take too long."""
        super().dataReceived(data)
        if not self._is_in_header():
            self._stop_header_timer()
        elif self.header_timer is None:
            self.header_timer = self.callLater(
                self.header_limit_s, self._header_too_late
            )

    def _is_in_header(self) -> bool:
        if self.has_header:
            return False
        # Twisted keeps the request line until the body is in. Bytes that come
        # while a request is open wait in the same buffer and are not late.
        return hasattr(self, "_command") or self._has_begun_line()

    def _has_begun_line(self) -> bool:
        return bool(self._buffer) and not self.requests

    def allHeadersReceived(self) -> None:  # noqa: N802 (Twisted's name)
        """Take that a header is complete."""
        self.has_header = True
        super().allHeadersReceived()

    def allContentReceived(self) -> None:  # noqa: N802 (Twisted's name)
        """Take that a request is complete."""
        self.has_header = False
        super().allContentReceived()

    def _stop_header_timer(self) -> None:
        if self.header_timer is not None:
            self.header_timer.cancel()
            self.header_timer = None

    def _header_too_late(self) -> None:
        self.header_timer = None
        self.factory.handler.header_too_late(self.header_limit_s * MS_PER_S)
        self.transport.write(HEADER_TOO_LATE)
        self.loseConnection()

    @property
    def is_idle(self) -> bool:
        """Whether no request is open or being read on it."""
        return not self.requests and not self._buffer


class CallerFactory(protocol.ServerFactory):
    """Makes the channels of callers.

    Attributes:
        channels: Open connections.
    """

    noisy = False

    def __init__(self, handler: CallerHandler) -> None:
        self.channels: set[CallerChannel] = set()
        self.handler = handler

        class BoundRequest(CallerHttpRequest):
            """A request that knows its handler."""

        BoundRequest.handler = handler
        self.request_class = BoundRequest

    def buildProtocol(self, addr: Any) -> CallerChannel:  # noqa: N802
        """Make a channel with the limits of this moment."""
        limits = self.handler.limits
        channel = CallerChannel()
        channel.factory = self
        channel.requestFactory = self.request_class
        channel.timeOut = limits.idle_limit_ms * IDLE_FACTOR / MS_PER_S
        channel.totalHeadersSize = limits.header_bytes
        channel.header_limit_s = limits.header_limit_ms / MS_PER_S
        return channel

    def log(self, request: Any) -> None:
        """Write no access log; decisions are logged elsewhere."""

    def close_idle(self) -> int:
        """Close connections without a request; return how many stay."""
        for channel in list(self.channels):
            if channel.is_idle:
                channel.loseConnection()
        return len(self.channels)


Respond = Callable[[int, bytes], None]
Handle = Callable[[bytes, Respond], None]


class PlainRequest(http.Request):
    """A request of the balancer, a metrics reader or another VM."""

    handle: Handle

    def process(self) -> None:
        """Hand it over; its answer may come later."""
        type(self).handle(self.uri, self.respond)

    def respond(self, status: int, body: bytes) -> None:
        """Send the answer, unless the connection is gone."""
        if self._disconnected:
            return
        self.setResponseCode(status)
        self.setHeader(b"content-length", b"%d" % len(body))
        self.write(body)
        self.finish()


class InternalHttpFactory(protocol.ServerFactory):
    """A server that hands every request to a function."""

    noisy = False

    def __init__(self, handle: Handle) -> None:
        """Make a server.

        Args:
            handle: Takes path and query, and a function that takes status
                and body of the answer.
        """

        class BoundRequest(PlainRequest):
            """A request that knows who handles it."""

        BoundRequest.handle = staticmethod(handle)
        self.request_class = BoundRequest

    def buildProtocol(self, addr: Any) -> http.HTTPChannel:  # noqa: N802
        """Make a channel."""
        channel = http.HTTPChannel()
        channel.factory = self
        channel.requestFactory = self.request_class
        channel.timeOut = PLAIN_IDLE_S
        return channel

    def log(self, request: Any) -> None:
        """Write no access log."""
