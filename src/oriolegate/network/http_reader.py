"""Reads HTTP/1.1 responses from the bytes of one connection."""

import attrs
import httptools

from oriolegate.exceptions import UpstreamMessageError

# More than any answer that a route here may have.
MAX_BODY_BYTES = 16 * 1024 * 1024
FRAMING_HEADERS = (b"content-length", b"transfer-encoding")


@attrs.define(eq=False)
class HttpResponse:
    """One response.

    Attributes:
        status: HTTP status.
        headers: Names in lower case, and values, in order.
        body: The body without its transfer coding.
        keep_alive: Whether the connection may be used again.
    """

    status: int = 0
    headers: list[tuple[bytes, bytes]] = attrs.field(factory=list)
    body: bytes = b""
    keep_alive: bool = True

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class ResponseReader:
    """Splits bytes into responses.

    Attributes:
        started: Whether part of a response is in.
        whole: Responses that are complete and not yet taken.
        expect_no_body: True while the request in flight was a HEAD.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.whole: list[HttpResponse] = []
        self.current = HttpResponse()
        self.chunks: list[bytes] = []
        self.size_bytes = 0
        self.started = False
        self.is_framed = False
        self.ends_with_connection = False
        self.expect_no_body = False

    def feed(self, data: bytes) -> list[HttpResponse]:
        """Take bytes and return the responses that they complete.

        Raises:
            UpstreamMessageError: If the bytes are not HTTP, or too many.
        """
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise UpstreamMessageError("the peer switches protocols") from error
        except (httptools.HttpParserError, ValueError) as error:
            raise UpstreamMessageError(f"not HTTP: {error}") from error
        whole = self.whole
        self.whole = []
        return whole

    def closed(self) -> HttpResponse | None:
        """Return the response that ends with the connection, if any."""
        if not self.started or not self.ends_with_connection:
            return None
        self.current.body = b"".join(self.chunks)
        self.current.keep_alive = False
        self.started = False
        return self.current

    def on_message_begin(self) -> None:
        """Start a new response; called by the parser."""
        self.current = HttpResponse()
        self.chunks = []
        self.size_bytes = 0
        self.started = True
        self.is_framed = False
        self.ends_with_connection = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header; called by the parser."""
        lower = name.lower()
        self.current.headers.append((lower, value))
        if lower in FRAMING_HEADERS:
            self.is_framed = True

    def on_headers_complete(self) -> None:
        """Take the status; called by the parser."""
        current = self.current
        current.status = self.parser.get_status_code()
        current.keep_alive = bool(self.parser.should_keep_alive())
        has_no_body = current.status < 200 or current.status in (204, 304)
        self.ends_with_connection = not self.is_framed and not has_no_body
        if self.expect_no_body:
            # The parser can't know that the request was a HEAD.
            current.keep_alive = False
            self.started = False
            self.whole.append(current)

    def on_body(self, data: bytes) -> None:
        """Take part of the body; called by the parser."""
        self.size_bytes += len(data)
        if self.size_bytes > MAX_BODY_BYTES:
            raise ValueError("the body is too long")
        self.chunks.append(data)

    def on_message_complete(self) -> None:
        """Finish a response; called by the parser."""
        if not self.started:
            return
        self.started = False
        if self.current.status < 200:
            # An interim response; the final one follows.
            return
        self.current.body = b"".join(self.chunks)
        self.whole.append(self.current)
