"""HTTP requests of clients, whose bodies are kept in memory up to a limit."""

from typing import Any

from twisted.web import http

from oriolegate.models.header_lines import HeaderLines

# Memory of a request that runs, and of each part of it that is sent to a leaf,
# beside their data.
REQUEST_OVERHEAD_BYTES = 4 * 1024
PART_OVERHEAD_BYTES = 2 * 1024
# Bytes beyond the limit that are read: a client that sends its whole body
# first can read its response.
MAX_DISCARDED_BYTES = 1024 * 1024


class BoundedBody:
    """Keeps the body of an HTTP request of Twisted in memory, up to a limit.

    Attributes:
        too_large: Whether the body exceeds the limit.
        received_bytes: Size of the body received so far.
        header_bytes: Size of the header.
    """

    too_large = False
    received_bytes = 0
    header_bytes = 0
    channel: Any
    content: Any
    requestHeaders: Any  # noqa: N815 (Twisted's name)

    def parseCookies(self) -> None:  # noqa: N802 (Twisted's name)
        """Do nothing: nothing reads cookies, and an object each is too much."""

    @property
    def max_body_bytes(self) -> int:
        """Longest body; a server that takes bodies sets it."""
        return 0

    @property
    def is_endless(self) -> bool:
        """Whether the body is so large that it isn't read to its end."""
        limit_bytes = self.max_body_bytes + MAX_DISCARDED_BYTES
        return self.received_bytes > limit_bytes

    @property
    def body_bytes(self) -> int:
        """Bytes of the body that are kept."""
        return 0 if self.too_large else self.received_bytes

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Check the Content-Length before the body is stored."""
        if length is not None and length > self.max_body_bytes:
            self.too_large = True
        # Twisted stores bodies of unknown or large size in a file. This class
        # limits bodies, so it passes a length of 0 to keep them in memory.
        super().gotLength(0)  # type: ignore[misc]

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Store part of the body unless the body exceeds the limit."""
        self.received_bytes += len(data)
        if self.received_bytes > self.max_body_bytes and not self.too_large:
            self.too_large = True
            self.content.seek(0)
            self.content.truncate()
        if not self.too_large:
            super().handleContentChunk(data)  # type: ignore[misc]

    def read_body(self) -> bytes:
        """Return the complete body; it shares its memory with `content`."""
        return bytes(self.content.getvalue())

    def header_list(self) -> HeaderLines:
        """Return all headers, as received."""
        lines: HeaderLines = self.requestHeaders.lines
        return lines

    def reserve_parts(self, parts: int) -> bool:
        """Reserve the memory that sending the request to leafs needs.

        Args:
            parts: Number of leafs that get it at the same time.

        Returns:
            Whether the request may run; if not, it must be refused.
        """
        channel = self.channel
        if channel is None:
            return True
        copy_bytes = self.header_bytes + self.body_bytes
        return bool(
            channel.server.budget.reserve(
                channel.server.clock.now_ms(),
                channel.connection,
                copy_bytes * (1 + parts),
                REQUEST_OVERHEAD_BYTES + PART_OVERHEAD_BYTES * parts,
            )
        )


class BoundedRequest(BoundedBody, http.Request):
    """A request that its handler answers later.

    Attributes:
        open: Whether the response is still to be sent.
    """

    open = False

    def requestReceived(  # noqa: N802 (Twisted's name)
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Handle the complete request; don't parse its body."""
        self.content.seek(0, 0)
        self.method = command
        self.uri = path
        self.clientproto = version
        self.open = True
        self.process()
