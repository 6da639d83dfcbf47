"""A server that repeats its previous answer on a connection in use again."""

from typing import Any

from twisted.internet import protocol

ADDRESS_PORT = 1
# Delay of the answer that belongs to a request.
ANSWER_DELAY_S = 0.2


def answer(body: bytes, headers: bytes = b"") -> bytes:
    """Return an HTTP response with a body."""
    return b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b" % (
        headers,
        len(body),
        body,
    )


def echo(request: bytes) -> bytes:
    """Answer with the path and query of the request."""
    return answer(request.split(b" ")[1])


class RepeatingProtocol(protocol.Protocol):
    """Sends the previous answer again as soon as the next request arrives."""

    server: "RepeatingServer"

    def __init__(self) -> None:
        self.previous = b""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Send the copy at once, and the answer later."""
        if self.previous:
            self.transport.write(self.previous)
        self.previous = self.server.respond(data)
        self.server.network.reactor.callLater(
            ANSWER_DELAY_S, self.transport.write, self.previous
        )


class RepeatingServer:
    """Listens on a host of its own.

    Attributes:
        address: Host and port.
        respond: Returns the answer to a request; by default its path.
    """

    def __init__(self, network: Any, name: str) -> None:
        self.network = network
        self.address = (name, ADDRESS_PORT)
        self.respond = echo

        class BoundProtocol(RepeatingProtocol):
            server = self

        factory = protocol.Factory.forProtocol(BoundProtocol)
        network.add_host(name, 1e6).listenTCP(ADDRESS_PORT, factory)
