"""A loopback proxy that delays, resets, cuts or silences connections."""

import enum
from typing import Any

from twisted.internet import protocol


class LinkMode(enum.Enum):
    """What a proxy does to the bytes that it carries."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    CUT_TO_SERVER = "cut to server"
    CUT_TO_CLIENT = "cut to client"
    SILENT = "silent"


DELAY_S = 0.25


class Side(protocol.Protocol):
    """One end of a proxied connection.

    Attributes:
        other: The other end, once it is connected.
        dead: True once bytes were dropped; nothing passes any more.
    """

    def __init__(self, link: "Link", other: "Side | None" = None) -> None:
        self.link = link
        self.other = other
        self.dead = False
        self.is_client = other is None
        self.early = b""

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        """Connect the other end, or hand over what came early."""
        if self.is_client:
            self.link.sides.add(self)
            self.link.connect(self)
        else:
            self.other.other = self
            if self.other.early:
                self.transport.write(self.other.early)
                self.other.early = b""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass bytes on as the link's mode says."""
        cuts = {
            LinkMode.SILENT,
            LinkMode.CUT_TO_SERVER
            if self.is_client
            else LinkMode.CUT_TO_CLIENT,
        }
        if self.link.mode in cuts:
            # A stream with a gap can't go on: it stays silent for good.
            self.dead = True
        if self.dead:
            return
        if self.link.mode is LinkMode.DELAY:
            self.link.reactor.callLater(DELAY_S, self._pass_on, data)
        else:
            self._pass_on(data)

    def _pass_on(self, data: bytes) -> None:
        if self.other is None:
            self.early += data
        elif not self.dead:
            self.other.transport.write(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Close the other end in the same way."""
        self.link.sides.discard(self)
        if self.other is not None:
            self.other.transport.abortConnection()


class SideFactory(protocol.ClientFactory):
    """Makes the ends of one link."""

    noisy = False

    def __init__(self, link: "Link", client: Side | None = None) -> None:
        self.link = link
        self.client = client

    def buildProtocol(self, addr: Any) -> Side:  # noqa: N802
        """Make an end."""
        return Side(self.link, self.client)

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: Any
    ) -> None:
        """Reset the client whose server can't be reached."""
        self.client.transport.abortConnection()


class Link:
    """A proxy in front of one server.

    Attributes:
        mode: What it does now.
        sides: Clients' ends of its connections.
        address: Where clients connect.
    """

    def __init__(
        self, reactor: Any, host: str, server: tuple[str, int]
    ) -> None:
        self.reactor = reactor
        self.server = server
        self.mode = LinkMode.PASS
        self.sides: set[Side] = set()
        self.port = reactor.listenTCP(0, SideFactory(self), interface=host)
        self.address = (host, self.port.getHost().port)

    def connect(self, client: Side) -> None:
        """Open the server's end of a connection."""
        if self.mode is LinkMode.RESET:
            client.transport.abortConnection()
            return
        self.reactor.connectTCP(
            *self.server, SideFactory(self, client), timeout=2.0
        )

    def set_mode(self, mode: LinkMode) -> None:
        """Change what happens to bytes from now on."""
        self.mode = mode
        if mode is LinkMode.RESET:
            self.reset_all()

    def reset_all(self) -> None:
        """Reset every open connection."""
        for side in list(self.sides):
            side.transport.abortConnection()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self.port.stopListening()
        self.reset_all()
