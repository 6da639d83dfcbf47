"""Link between two VMs: a WebSocket connection on a Twisted transport.

Both sides authenticate with the site's key before any other message. Invalid
input closes the link that received it and no other.
"""

import collections
import enum
import secrets
from typing import Any
from typing import Protocol

from twisted.internet import protocol
from websockets import client
from websockets import frames
from websockets import http11
from websockets import server
from websockets import uri

from oriolegate.exceptions import PeerMessageError
from oriolegate.network.peer_codec import MAX_MESSAGE_BYTES
from oriolegate.network.peer_codec import PeerCodec
from oriolegate.network.peer_handshake import NONCE_BYTES
from oriolegate.network.peer_handshake import PeerHandshake
from oriolegate.network.peer_handshake import PeerIdentity
from oriolegate.result_codes import ResultCode

PEER_PATH = "/peer/1"
MAX_UNAUTHENTICATED_BYTES = 8_192  # fits the upgrade and two short messages
HANDSHAKE_TIMEOUT_MS = 5_000
MAX_QUEUED_BYTES = 8 * 1024 * 1024


class LinkState(enum.Enum):
    """State of a link."""

    OPENING = 1
    AUTHENTICATING = 2
    READY = 3
    CLOSED = 4


class LinkOwner(Protocol):
    """Receives the events of links; implemented by `PeerMesh`."""

    def on_link_ready(self, link: "PeerLink") -> None:
        """Handle a link whose peer has just been authenticated."""
        ...

    def on_link_message(
        self, link: "PeerLink", logical_time: int, message: object, size: int
    ) -> None:
        """Handle a message of an authenticated peer."""
        ...

    def on_link_lost(self, link: "PeerLink", code: ResultCode) -> None:
        """Handle a closed link."""
        ...


class PeerLink(protocol.Protocol):
    """One WebSocket connection to a peer.

    Attributes:
        state: See `LinkState`.
        dialed_vm: VM that this side dialed, or None on the accepting side.
        handshake: Authenticates both sides.
        was_ready: Whether the peer was ever authenticated.
        received_bytes: Bytes received, including control frames.
        queue: Encoded messages waiting until the transport can write.
        queued_bytes: Total size of the queue.
        writing_paused: Whether the transport's buffer is full.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        codec: PeerCodec,
        owner: LinkOwner,
        reactor: Any,
        dialed_vm: str | None = None,
        address: str = "peer",
    ) -> None:
        """Create a link that is not connected yet.

        Args:
            identity: Identity of this side.
            codec: Encodes and decodes messages.
            owner: Receives the events of the link.
            reactor: Schedules the timeout of the handshake.
            dialed_vm: Name of the expected peer on the connecting side.
            address: HOST:PORT for the upgrade request.
        """
        self.codec = codec
        self.owner = owner
        self.reactor = reactor
        self.dialed_vm = dialed_vm
        self.state = LinkState.OPENING
        self.handshake = PeerHandshake(
            identity, secrets.token_bytes(NONCE_BYTES), dialed_vm
        )
        self.was_ready = False
        self.received_bytes = 0
        self.queue: collections.deque[bytes] = collections.deque()
        self.queued_bytes = 0
        self.writing_paused = False
        self.timeout: Any = None
        self.websocket: client.ClientProtocol | server.ServerProtocol
        if dialed_vm is None:
            self.websocket = server.ServerProtocol(max_size=MAX_MESSAGE_BYTES)
        else:
            self.websocket = client.ClientProtocol(
                uri.parse_uri(f"ws://{address}{PEER_PATH}"),
                max_size=MAX_MESSAGE_BYTES,
            )

    @property
    def peer_vm(self) -> str:
        """Name of the peer, empty until its hello is received."""
        peer = self.handshake.peer
        return peer.vm if peer is not None else ""

    @property
    def peer_incarnation(self) -> int:
        """Incarnation of the peer, 0 until its hello is received."""
        peer = self.handshake.peer
        return peer.incarnation if peer is not None else 0

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        """Start the handshake and its timeout."""
        self.transport.registerProducer(self, True)
        self.timeout = self.reactor.callLater(
            HANDSHAKE_TIMEOUT_MS / 1_000,
            self.fail,
            ResultCode.PEER_UNAUTHORIZED,
        )
        if isinstance(self.websocket, client.ClientProtocol):
            self.websocket.send_request(self.websocket.connect())
            self._flush()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse frames; close this link on anything unexpected."""
        if self.state is LinkState.CLOSED:
            return
        self.received_bytes += len(data)
        if (
            self.state is not LinkState.READY
            and self.received_bytes > MAX_UNAUTHENTICATED_BYTES
        ):
            self.fail(ResultCode.PEER_UNAUTHORIZED)
            return
        self.websocket.receive_data(data)
        try:
            for event in self.websocket.events_received():
                self._handle(event)
        except PeerMessageError as error:
            self.fail(error.code)
            return
        self._flush()
        if self.websocket.close_expected():
            self.fail(ResultCode.PEER_LOST)

    def _handle(self, event: Any) -> None:
        if self.state is LinkState.CLOSED:
            return
        match event:
            case http11.Request():
                self._accept(event)
            case http11.Response():
                self._start_authentication()
            case frames.Frame(opcode=frames.Opcode.BINARY, fin=True):
                self._handle_message(bytes(event.data))
            case frames.Frame(
                opcode=frames.Opcode.PING
                | frames.Opcode.PONG
                | frames.Opcode.CLOSE
            ):
                pass
            case _:
                raise PeerMessageError(
                    "peer sent an unexpected WebSocket frame"
                )

    def _accept(self, request: http11.Request) -> None:
        assert isinstance(self.websocket, server.ServerProtocol)
        if request.path != PEER_PATH:
            raise PeerMessageError("peer requested an unknown path")
        response = self.websocket.accept(request)
        self.websocket.send_response(response)
        if response.status_code == 101:
            self._start_authentication()

    def _start_authentication(self) -> None:
        if self.websocket.handshake_exc is not None:
            raise PeerMessageError("peer refused the WebSocket upgrade")
        self.state = LinkState.AUTHENTICATING
        self.websocket.send_binary(self.codec.encode(self.handshake.hello, 0))

    def _handle_message(self, data: bytes) -> None:
        logical_time, message = self.codec.decode(data)
        if self.state is LinkState.READY:
            self.owner.on_link_message(self, logical_time, message, len(data))
            return
        for reply in self.handshake.receive(message):
            self.websocket.send_binary(self.codec.encode(reply, 0))
        if self.handshake.complete:
            self.state = LinkState.READY
            self.was_ready = True
            self._cancel_timeout()
            self._flush()
            self.owner.on_link_ready(self)

    def _flush(self) -> None:
        for data in self.websocket.data_to_send():
            if self.state is LinkState.CLOSED:
                return
            if data:
                self.transport.write(data)
            else:
                self.transport.loseConnection()

    def send(self, data: bytes) -> bool:
        """Send an encoded message, or queue it while writing is paused.

        Returns:
            False if the link is not ready or its queue is full.
        """
        if self.state is not LinkState.READY:
            return False
        if not self.writing_paused:
            self.websocket.send_binary(data)
            self._flush()
            return True
        if self.queued_bytes + len(data) > MAX_QUEUED_BYTES:
            return False
        self.queue.append(data)
        self.queued_bytes += len(data)
        return True

    def ping(self) -> None:
        """Send a ping, unless writing is paused."""
        if self.state is LinkState.READY and not self.writing_paused:
            self.websocket.send_ping(b"")
            self._flush()

    def pauseProducing(self) -> None:  # noqa: N802
        """Queue messages, because the transport's buffer is full."""
        self.writing_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Write queued messages until the buffer is full again."""
        self.writing_paused = False
        while self.queue and not self.writing_paused:
            data = self.queue.popleft()
            self.queued_bytes -= len(data)
            self.websocket.send_binary(data)
            self._flush()

    def stopProducing(self) -> None:  # noqa: N802
        """Drop the queue, because the transport is closed."""
        self.queue.clear()
        self.queued_bytes = 0

    def _cancel_timeout(self) -> None:
        if self.timeout is not None and self.timeout.active():
            self.timeout.cancel()

    def _finish(self, code: ResultCode) -> None:
        self.state = LinkState.CLOSED
        self._cancel_timeout()
        self.stopProducing()
        self.owner.on_link_lost(self, code)

    def close(self) -> None:
        """Close the link after the buffered data is sent."""
        if self.state is not LinkState.CLOSED:
            self.transport.unregisterProducer()
            self.transport.loseConnection()
            self._finish(ResultCode.PEER_LOST)

    def fail(self, code: ResultCode) -> None:
        """Close the link immediately and report the reason."""
        if self.state is not LinkState.CLOSED:
            if self.transport is not None:
                self.transport.abortConnection()
            self._finish(code)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Report that the connection is closed."""
        self.fail(ResultCode.PEER_LOST)
