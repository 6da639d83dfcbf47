"""A fake leaf with an HTTP server whose behaviour tests choose."""

from collections.abc import Callable
from typing import Any

import attrs
import httptools
from twisted.internet import protocol


@attrs.define(eq=False)
class LeafRequest:
    """A request that the stand-in received.

    Attributes:
        connection: Connection of the request; answers are written to it.
        method: HTTP method.
        path: Path and query, as received.
        headers: Values by name in lower case.
        body: The complete body.
    """

    connection: Any
    method: bytes = b""
    path: bytes = b""
    headers: dict[bytes, bytes] = attrs.field(factory=dict)
    body: bytes = b""

    @property
    def attempt_id(self) -> bytes:
        """Id of the caller's attempt."""
        return self.headers.get(b"attempt-id", b"")

    def answer(
        self, body: bytes, status: int = 200, **headers: str | None
    ) -> None:
        """Write a signed answer; headers that are None are omitted."""
        fields: dict[str, str | None] = {
            "Attempt-Id": self.attempt_id.decode(),
            "Server-Seal": f"seal.{self.connection.leaf.leaf_id}",
            "Content-Length": str(len(body)),
        }
        fields |= {k.replace("_", "-"): v for k, v in headers.items()}
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{k}: {v}" for k, v in fields.items() if v is not None]
        head = "\r\n".join([*lines, "", ""]).encode()
        self.connection.transport.write(head + body)

    def reset(self) -> None:
        """Reset the connection."""
        self.connection.transport.abortConnection()


class StandInLeaf:
    """A fake leaf.

    Attributes:
        leaf_id: Id of this leaf; a request for another leaf is answered with
            421.
        behave: Called with each request to run.
        requests: Requests that this leaf ran, in order.
        ended_connections: Number of connections that ended.
        connections: Open connections.
        misdirected: Number of requests for another leaf.
        health_cold_ms: Remaining cold time that health checks report.
        on_headers: Called with the connection before the body is read.
    """

    def __init__(self, leaf_id: str) -> None:
        self.leaf_id = leaf_id
        self.behave: Callable[[LeafRequest], None] = lambda request: (
            request.answer(f"{leaf_id:<16}".encode())
        )
        self.requests: list[LeafRequest] = []
        self.ended_connections = 0
        self.connections: set[Any] = set()
        self.misdirected = 0
        self.health_cold_ms = 0
        self.on_headers: Callable[[Any], None] | None = None

    def crash(self) -> None:
        """Reset all connections, as a crash of the process would."""
        for connection in list(self.connections):
            connection.transport.abortConnection()

    def handle(self, request: LeafRequest) -> None:
        """Answer one request."""
        expected = request.headers.get(b"target-instance")
        if request.path == b"/health":
            request.answer(
                b"",
                Attempt_Id=None,
                Server_Seal=None,
                Instance_Id=self.leaf_id,
                Warmup_Ms=str(self.health_cold_ms),
            )
        elif expected is not None and expected.decode() != self.leaf_id:
            self.misdirected += 1
            request.answer(b"", 421, Instance_Id=self.leaf_id)
        else:
            self.requests.append(request)
            self.behave(request)


class LeafProtocol(protocol.Protocol):
    """One connection of the stand-in."""

    def __init__(self, leaf: StandInLeaf) -> None:
        self.leaf = leaf
        self.parser = httptools.HttpRequestParser(self)
        self.request = LeafRequest(self)

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        """Add this connection to the leaf's open connections."""
        self.leaf.connections.add(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse requests."""
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Start a request."""
        self.request = LeafRequest(self)

    def on_url(self, url: bytes) -> None:
        """Append to the path."""
        self.request.path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self.request.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Notify the test that the header is complete."""
        if self.leaf.on_headers is not None:
            self.leaf.on_headers(self)

    def on_body(self, data: bytes) -> None:
        """Append to the body."""
        self.request.body += data

    def on_message_complete(self) -> None:
        """Pass the complete request to the leaf."""
        self.request.method = self.parser.get_method()
        self.leaf.handle(self.request)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Remove this connection from the open ones; count it as ended."""
        self.leaf.connections.discard(self)
        self.leaf.ended_connections += 1


class LeafFactory(protocol.ServerFactory):
    """Serves a stand-in leaf."""

    noisy = False

    def __init__(self, leaf: StandInLeaf) -> None:
        self.leaf = leaf

    def buildProtocol(self, addr: Any) -> LeafProtocol:  # noqa: N802
        """Create the protocol of a connection."""
        return LeafProtocol(self.leaf)
