"""A loopback proxy that injects faults into connections."""

import enum
from typing import Any

from twisted.internet import protocol


class LinkMode(enum.Enum):
    """How a proxy treats the bytes that it forwards."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    CUT_TO_SERVER = "cut to server"
    CUT_TO_CLIENT = "cut to client"
    SILENT = "silent"


FORWARD_DELAY_S = 0.25


class ProxyConnection(protocol.Protocol):
    """One end of a proxied connection.

    Attributes:
        peer: The other end, once it is connected.
        is_silenced: Whether bytes were dropped; no more are forwarded.
    """

    def __init__(
        self, link: "Link", peer: "ProxyConnection | None" = None
    ) -> None:
        self.link = link
        self.peer = peer
        self.is_silenced = False
        self.is_client = peer is None
        self.buffered = b""

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        """Connect to the server, or forward what the client has sent."""
        if self.is_client:
            self.link.client_connections.add(self)
            self.link.connect(self)
        else:
            self.peer.peer = self
            if self.peer.buffered:
                self.transport.write(self.peer.buffered)
                self.peer.buffered = b""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward, delay or drop bytes according to the link's mode."""
        dropping_modes = {
            LinkMode.SILENT,
            LinkMode.CUT_TO_SERVER
            if self.is_client
            else LinkMode.CUT_TO_CLIENT,
        }
        if self.link.mode in dropping_modes:
            # A stream with lost bytes can't continue, so no more are forwarded.
            self.is_silenced = True
        if self.is_silenced:
            return
        if self.link.mode is LinkMode.DELAY:
            self.link.reactor.callLater(FORWARD_DELAY_S, self._forward, data)
        else:
            self._forward(data)

    def _forward(self, data: bytes) -> None:
        if self.peer is None:
            self.buffered += data
        elif not self.is_silenced:
            self.peer.transport.write(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Reset the other end."""
        self.link.client_connections.discard(self)
        if self.peer is not None:
            self.peer.transport.abortConnection()


class ProxyFactory(protocol.ClientFactory):
    """Builds the connections of one link."""

    noisy = False

    def __init__(
        self, link: "Link", client: ProxyConnection | None = None
    ) -> None:
        self.link = link
        self.client = client

    def buildProtocol(self, addr: Any) -> ProxyConnection:  # noqa: N802
        """Build one end of a connection."""
        return ProxyConnection(self.link, self.client)

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: Any
    ) -> None:
        """Reset the client, since the server can't be reached."""
        self.client.transport.abortConnection()


class Link:
    """A proxy in front of one server.

    Attributes:
        mode: Current treatment of bytes.
        client_connections: Connections of clients.
        address: Address that clients connect to.
    """

    def __init__(
        self, reactor: Any, host: str, server: tuple[str, int]
    ) -> None:
        self.reactor = reactor
        self.server = server
        self.mode = LinkMode.PASS
        self.client_connections: set[ProxyConnection] = set()
        self.port = reactor.listenTCP(0, ProxyFactory(self), interface=host)
        self.address = (host, self.port.getHost().port)

    def connect(self, client: ProxyConnection) -> None:
        """Connect to the server for a client."""
        if self.mode is LinkMode.RESET:
            client.transport.abortConnection()
            return
        self.reactor.connectTCP(
            *self.server, ProxyFactory(self, client), timeout=2.0
        )

    def set_mode(self, mode: LinkMode) -> None:
        """Change the treatment of bytes from now on."""
        self.mode = mode
        if mode is LinkMode.RESET:
            self.reset_all()

    def silence_open(self) -> None:
        """Let all open connections go silent for good; new ones work."""
        for connection in self.client_connections:
            connection.is_silenced = True
            if connection.peer is not None:
                connection.peer.is_silenced = True

    def reset_all(self) -> None:
        """Reset every open connection."""
        for connection in list(self.client_connections):
            connection.transport.abortConnection()

    def reopen(self) -> None:
        """Listen again at the same address after `close`."""
        host, number = self.address
        self.port = self.reactor.listenTCP(
            number, ProxyFactory(self), interface=host
        )

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self.port.stopListening()
        self.reset_all()
