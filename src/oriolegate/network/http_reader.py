"""Parses HTTP/1.1 responses from the bytes of one connection."""

import attrs
import httptools

from oriolegate.exceptions import UpstreamMessageError
from oriolegate.models import header_lines
from oriolegate.models.header_lines import HeaderLines
from oriolegate.network.receive_limits import DEFAULT_MAX_BODY_BYTES

# Most bytes of a response that belong to no body, interim responses included,
# beside this many for each byte of the body: a body may come in chunks of one
# byte.
MAX_HEAD_BYTES = 64 * 1024
MAX_FRAMING_FACTOR = 8
# Statuses that HTTP has (RFC 9110, section 15), and the first of a final
# response.
MIN_STATUS = 100
MAX_STATUS = 599
MIN_FINAL_STATUS = 200
# Headers that state where the body ends.
FRAMING_HEADERS = (b"content-length", b"transfer-encoding")


@attrs.define(eq=False)
class HttpResponse:
    """One HTTP response.

    Attributes:
        status: HTTP status.
        headers: The header fields, with lower-case names.
        body: The body, with any transfer coding removed.
        keep_alive: Whether the connection may be reused.
    """

    status: int = 0
    headers: HeaderLines = HeaderLines()
    body: bytes = b""
    keep_alive: bool = True

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return self.headers.first(name)


class ResponseReader:
    """Parses a byte stream into responses.

    Attributes:
        in_progress: Whether part of a response was received.
        completed: Complete responses not yet returned by `feed`.
        expect_no_body: Whether the request in flight is a HEAD.
        max_body_bytes: Longest body.
        fed_bytes: Bytes since the last complete response.
        has_invalid_status: Whether a response had a status that HTTP lacks.
        is_body_too_large: Whether a body exceeded the limit.
    """

    def __init__(self, max_body_bytes: int = DEFAULT_MAX_BODY_BYTES) -> None:
        self.max_body_bytes = max_body_bytes
        self.fed_bytes = 0
        self.parser = httptools.HttpResponseParser(self)
        self.completed: list[HttpResponse] = []
        self.current = HttpResponse()
        # Lines and chunks may be as short as a byte; an object for each would
        # need many times the bytes received.
        self.head = bytearray()
        self.body = bytearray()
        self.is_in_head = False
        self.in_progress = False
        self.has_framing_header = False
        self.ends_with_connection = False
        self.expect_no_body = False
        self.has_invalid_status = False
        self.is_body_too_large = False

    def feed(self, data: bytes) -> list[HttpResponse]:
        """Parse received bytes and return the responses they complete.

        Raises:
            UpstreamMessageError: If the bytes are not valid HTTP, or a head or
                a body is too large.
        """
        self.fed_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise UpstreamMessageError(
                "the server switches to another protocol"
            ) from error
        except (httptools.HttpParserError, ValueError) as error:
            if self.is_body_too_large:
                raise UpstreamMessageError(
                    "the response body is too large"
                ) from error
            if self.has_invalid_status:
                raise UpstreamMessageError(
                    f"the response has the status {self.current.status:03}"
                ) from error
            raise UpstreamMessageError(
                f"malformed HTTP response: {error}"
            ) from error
        completed = self.completed
        self.completed = []
        if completed:
            self.fed_bytes = 0
        elif self._is_head_too_large():
            raise UpstreamMessageError("the response head is too large")
        return completed

    def _is_head_too_large(self) -> bool:
        body_bytes = len(self.body)
        outside_bytes = self.fed_bytes - body_bytes
        allowed_bytes = MAX_HEAD_BYTES + MAX_FRAMING_FACTOR * body_bytes
        return outside_bytes > allowed_bytes

    def finish_on_close(self) -> HttpResponse | None:
        """Return the response that the closed connection ends, if any."""
        if not self.in_progress or not self.ends_with_connection:
            return None
        self.current.body = bytes(self.body)
        self.current.keep_alive = False
        self.in_progress = False
        return self.current

    def close(self) -> None:
        """Free what was received; the parser refers to this reader."""
        self.parser = None
        self.in_progress = False
        self.completed = []
        self._clear()

    def _clear(self) -> None:
        self.current = HttpResponse()
        self.head = bytearray()
        self.body = bytearray()

    def on_message_begin(self) -> None:
        """Start a new response (parser callback)."""
        self._clear()
        self.is_in_head = True
        self.in_progress = True
        self.has_framing_header = False
        self.ends_with_connection = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header (parser callback); trailers are dropped."""
        if not self.is_in_head:
            return
        lower_name = name.lower()
        self.head += header_lines.encode_line(lower_name, value)
        if lower_name in FRAMING_HEADERS:
            self.has_framing_header = True

    def on_headers_complete(self) -> None:
        """Store status and headers (parser callback)."""
        current = self.current
        current.headers = HeaderLines(bytes(self.head))
        self.head = bytearray()
        self.is_in_head = False
        current.status = self.parser.get_status_code()
        if not MIN_STATUS <= current.status <= MAX_STATUS:
            # Callback errors reach `feed` only as the cause of its own.
            self.has_invalid_status = True
            raise ValueError("the status is not one of HTTP")
        current.keep_alive = bool(self.parser.should_keep_alive())
        is_interim = current.status < MIN_FINAL_STATUS
        has_no_body = is_interim or current.status in (204, 304)
        self.ends_with_connection = (
            not self.has_framing_header and not has_no_body
        )
        if self.expect_no_body and not is_interim:
            # The parser doesn't know that the request was a HEAD.
            current.keep_alive = False
            self.in_progress = False
            self.completed.append(current)

    def on_body(self, data: bytes) -> None:
        """Store part of the body (parser callback)."""
        if len(self.body) + len(data) > self.max_body_bytes:
            self.is_body_too_large = True
            raise ValueError("the response body is too large")
        self.body += data

    def on_message_complete(self) -> None:
        """Finish a response (parser callback)."""
        if not self.in_progress:
            return
        self.in_progress = False
        if self.current.status < MIN_FINAL_STATUS:
            # An interim response; the final response follows.
            return
        self.current.body = bytes(self.body)
        self.completed.append(self.current)
        # A connection that waits for its next request keeps no body.
        self._clear()
