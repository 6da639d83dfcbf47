"""An HTTP server channel that takes the head of a request as a whole.

Twisted's channel takes it line by line. That costs more for each line than for
the one before, keeps an object for each, and limits their number.
"""

from twisted.web import http

from oriolegate.exceptions import CallerInputError
from oriolegate.network import request_head

# Bytes of a head that its limit doesn't count: a line end for each field, which
# has two bytes at least.
MAX_RAW_HEAD_FACTOR = 2
# Fields that decide where a body ends, spelled as Twisted expects them.
FRAMING_HEADERS = (b"Content-Length", b"Transfer-Encoding")


class HeadChannel(http.HTTPChannel):
    """One connection of a client, whose heads are parsed in one pass."""

    # Twisted's line receiver passes on a whole head as one line.
    delimiter = request_head.END_OF_HEAD

    @property
    def MAX_LENGTH(self) -> int:  # noqa: N802 (Twisted's name)
        """Most bytes of a head that are buffered."""
        return MAX_RAW_HEAD_FACTOR * int(self.totalHeadersSize)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802 (Twisted's name)
        """Take a whole head, without the blank line that ends it."""
        # A blank line before a request is ignored (RFC 9112, section 2.2).
        head = line.removeprefix(request_head.LINE_END)
        if not self.persistent or not head:
            return
        line_ends = request_head.count_lines(head) - 1
        size_bytes = len(head) - line_ends * len(request_head.LINE_END)
        if size_bytes > self.totalHeadersSize:
            self._respondToBadRequestAndDisconnect()
        else:
            self.on_head(head)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Refuse a head that exceeds the limit."""
        self._respondToBadRequestAndDisconnect()

    def on_head(self, head: bytes) -> None:
        """Handle a head within the limit; a subclass may do so later."""
        self.begin_request(head)

    def begin_request(self, head: bytes) -> None:
        """Parse a head, and read the body that it announces."""
        request = self.requestFactory(self, len(self.requests))
        self.requests.append(request)
        try:
            parsed = request_head.parse(head)
        except CallerInputError:
            self._respondToBadRequestAndDisconnect()
            return
        self._command = parsed.method
        self._path = parsed.target
        self._version = parsed.version
        self._receivedHeaderSize = parsed.size_bytes
        request.requestHeaders = request_head.ReceivedHeaders(parsed.headers)
        for name in FRAMING_HEADERS:
            for value in parsed.headers.values(name.lower()):
                if not self._maybeChooseTransferDecoder(name, value):
                    return
        self.allHeadersReceived()
        if self.length == 0:
            self.allContentReceived()
        else:
            self.setRawMode()
