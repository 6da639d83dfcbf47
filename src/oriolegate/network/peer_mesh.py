"""Links from this process to its peers.

A persistent link is dialed again after a loss. A link that was opened on
demand, to send a message, is closed when idle. One link serves both
directions.
"""

import collections
from collections.abc import Callable
import functools
import random
from typing import Any

from loguru import logger

from oriolegate.clock import Clock
from oriolegate.exceptions import PeerMessageError
from oriolegate.network.peer_codec import PeerCodec
from oriolegate.network.peer_handshake import PeerIdentity
from oriolegate.network.peer_link import PeerLink
from oriolegate.network.peer_state import DialFactory
from oriolegate.network.peer_state import ListenFactory
from oriolegate.network.peer_state import MAX_PENDING_MESSAGES
from oriolegate.network.peer_state import MeshCounters
from oriolegate.network.peer_state import PeerState
from oriolegate.result_codes import ResultCode
from oriolegate.timeline.events import EventBuffer

CHECK_INTERVAL_MS = 1_000
DIAL_TIMEOUT_MS = 3_000
# A peer that sends nothing is pinged first, then its link is closed.
PING_AFTER_MS = 3_000.0
SILENCE_LIMIT_MS = 10_000.0
IDLE_LIMIT_MS = 30_000.0  # for links on demand, without query messages
MAX_UNAUTHENTICATED_LINKS = 64
FIRST_QUERY_MESSAGE = 60  # lower numbers are control messages
MAX_ADDRESSES = 8_192


class PeerMesh:
    """The links of one process.

    Attributes:
        counters: Messages and failures of all links.
        peers: State of each peer with a persistent, open or opening link, by
            name.
        addresses: Known peer addresses, the last updated at the end.
        unauthenticated: Accepted links without an authenticated peer.
        on_message: Called with the peer's name and each message.
        on_linked: Called with the peer's name when its link is ready.
        on_lost: Called with the peer's name when it has no link any more.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        codec: PeerCodec,
        clock: Clock,
        reactor: Any,
        rng: random.Random,
        buffer: EventBuffer,
    ) -> None:
        """Create a mesh without links.

        Args:
            identity: Identity of this process, with the shared key.
            codec: Encodes and decodes messages.
            clock: Clock for idle and silence limits.
            reactor: Twisted's reactor, for sockets and timers.
            rng: Adds jitter to dials.
            buffer: Event buffer with the Lamport clock of the process.
        """
        self.identity = identity
        self.codec = codec
        self.clock = clock
        self.reactor = reactor
        self.rng = rng
        self.buffer = buffer
        self.counters = MeshCounters()
        self.peers: dict[str, PeerState] = {}
        self.addresses: collections.OrderedDict[str, tuple[str, int]] = (
            collections.OrderedDict()
        )
        self.unauthenticated: dict[PeerLink, None] = {}
        self.on_message: Callable[[str, object], None] = lambda *_: None
        self.on_linked: Callable[[str], None] = lambda _: None
        self.on_lost: Callable[[str], None] = lambda _: None
        self.timer: Any = None
        self.stopped = False

    def listen(self, host: str, port: int) -> Any:
        """Accept links; return Twisted's listening port."""
        self._schedule_check()
        return self.reactor.listenTCP(
            port, ListenFactory(self.accept_link), interface=host
        )

    def learn_address(self, vm: str, host: str, port: int) -> None:
        """Store the address of a VM, for links on demand."""
        self.addresses[vm] = (host, port)
        self.addresses.move_to_end(vm)
        if len(self.addresses) > MAX_ADDRESSES:
            self.addresses.popitem(last=False)

    def connect_to(self, vm: str, host: str, port: int) -> None:
        """Keep a persistent link to a peer until `drop_link`."""
        self.learn_address(vm, host, port)
        peer = self.peers.setdefault(vm, PeerState())
        peer.persistent = True
        self._dial(vm, peer)

    def drop_link(self, vm: str) -> None:
        """Stop redialing a peer; its link is closed when idle."""
        peer = self.peers.get(vm)
        if peer is None:
            return
        peer.persistent = False
        peer.last_query_ms = self.clock.now_ms()
        if peer.link is None and not peer.dialing:
            del self.peers[vm]

    def linked_vms(self) -> list[str]:
        """Return the names of peers whose links are ready."""
        return [vm for vm, peer in self.peers.items() if peer.link is not None]

    def send(self, vm: str, message: object) -> bool:
        """Send a message, opening a link on demand.

        Returns:
            False if the message was certainly not sent: no address, a full
            queue, or a message that is too large. True does not guarantee
            delivery.
        """
        number = self.codec.by_type[type(message)].number
        try:
            data = self.codec.encode(message, self.buffer.logical_time)
        except PeerMessageError:
            logger.exception("peers: message {} is too large; not sent", number)
            self.counters.refused_sends += 1
            return False
        if self._send_bytes(vm, data):
            self._record_use(vm, number)
            self.counters.count_sent(number, len(data))
            return True
        self.counters.refused_sends += 1
        return False

    def open_link(self, vm: str) -> None:
        """Open a link to a peer in advance of messages to it."""
        if vm in self.addresses and not self.stopped:
            peer = self.peers.setdefault(vm, PeerState())
            peer.last_query_ms = self.clock.now_ms()
            self._dial(vm, peer)

    def _send_bytes(self, vm: str, data: bytes) -> bool:
        peer = self.peers.get(vm)
        if peer is not None and peer.link is not None:
            return peer.link.send(data)
        if vm not in self.addresses or self.stopped:
            return False
        peer = self.peers.setdefault(vm, PeerState())
        if len(peer.pending) == MAX_PENDING_MESSAGES:
            return False
        peer.pending.append(data)
        self._dial(vm, peer)
        return True

    def _record_use(self, vm: str, number: int) -> None:
        """Record use of a link by queries; control messages don't count."""
        peer = self.peers.get(vm)
        if peer is not None and number >= FIRST_QUERY_MESSAGE:
            peer.last_query_ms = self.clock.now_ms()

    def _dial(self, vm: str, peer: PeerState) -> None:
        now_ms = self.clock.now_ms()
        if (
            self.stopped
            or peer.dialing
            or peer.link is not None
            or now_ms < peer.dial_at_ms
        ):
            return
        peer.dialing = True
        host, port = self.addresses[vm]
        self.reactor.connectTCP(
            host,
            port,
            DialFactory(
                functools.partial(self.make_link, vm, f"{host}:{port}"),
                functools.partial(self.on_dial_failed, vm),
            ),
            timeout=DIAL_TIMEOUT_MS / 1_000,
        )

    def make_link(self, dialed_vm: str | None, address: str) -> PeerLink:
        """Create a link that reports to this mesh."""
        return PeerLink(
            self.identity, self.codec, self, self.reactor, dialed_vm, address
        )

    def accept_link(self) -> PeerLink | None:
        """Create a link for an incoming connection, or None to refuse it."""
        if self.stopped:
            self.counters.refused_links += 1
            return None
        if len(self.unauthenticated) >= MAX_UNAUTHENTICATED_LINKS:
            # A handshake takes a round trip, so the oldest link hangs.
            self.counters.refused_links += 1
            next(iter(self.unauthenticated)).fail(ResultCode.PEER_UNAUTHORIZED)
        link = self.make_link(None, "")
        self.unauthenticated[link] = None
        return link

    def on_dial_failed(self, vm: str) -> None:
        """Drop pending messages; redial later if the peer is persistent."""
        peer = self.peers.get(vm)
        if peer is None:
            return
        peer.dialing = False
        if peer.link is not None:
            return
        peer.schedule_redial(self.clock.now_ms(), self.rng)
        had_pending = bool(peer.pending)
        peer.pending.clear()
        if not peer.persistent:
            del self.peers[vm]
        if had_pending:
            self.on_lost(vm)

    def _keeps_current_link(self, current: PeerLink, link: PeerLink) -> bool:
        if link.peer_incarnation != current.peer_incarnation:
            return link.peer_incarnation < current.peer_incarnation
        dialed_current = current.dialed_vm is not None
        if dialed_current == (link.dialed_vm is not None):
            return False
        # Both VMs dialed at the same time. Both keep the link that the VM with
        # the smaller name dialed, so that no message is needed to agree.
        return (self.identity.vm < link.peer_vm) == dialed_current

    def on_link_ready(self, link: PeerLink) -> None:
        """Use an authenticated link unless the current one is preferred."""
        self.unauthenticated.pop(link, None)
        vm = link.peer_vm
        peer = self.peers.setdefault(vm, PeerState())
        if link.dialed_vm is not None:
            peer.dialing = False
        current = peer.link
        if current is not None and self._keeps_current_link(current, link):
            link.close()
            return
        peer.set_link(link, self.clock.now_ms())
        if current is not None:
            current.close()
            if current.peer_incarnation == link.peer_incarnation:
                return
            self.on_lost(vm)
        self.on_linked(vm)

    def on_link_message(
        self, link: PeerLink, logical_time: int, message: object, size: int
    ) -> None:
        """Pass a message to `on_message` and advance the Lamport clock."""
        self.buffer.observe(logical_time)
        number = self.codec.by_type[type(message)].number
        self.counters.count_received(number, size)
        self._record_use(link.peer_vm, number)
        self.on_message(link.peer_vm, message)

    def _count_loss(self, code: ResultCode) -> None:
        if code is ResultCode.PEER_BAD_MESSAGE:
            self.counters.bad_messages += 1
        elif code is ResultCode.PEER_UNAUTHORIZED:
            self.counters.unauthorized += 1

    def on_link_lost(self, link: PeerLink, code: ResultCode) -> None:
        """Remove a link; redial later if the peer is persistent."""
        self.unauthenticated.pop(link, None)
        self._count_loss(code)
        vm = link.dialed_vm or link.peer_vm
        peer = self.peers.get(vm)
        if peer is None:
            return
        if peer.link is link:
            peer.link = None
            peer.schedule_redial(self.clock.now_ms(), self.rng)
            if not peer.persistent and not peer.dialing:
                del self.peers[vm]
            self.on_lost(vm)
        elif link.dialed_vm is not None and not link.was_ready:
            self.on_dial_failed(vm)

    def _schedule_check(self) -> None:
        if not self.stopped:
            self.timer = self.reactor.callLater(
                CHECK_INTERVAL_MS / 1_000, self._run_check
            )

    def _run_check(self) -> None:
        self._schedule_check()
        self.check()

    def check(self) -> None:
        """Dial persistent peers, ping silent ones, close idle links."""
        now_ms = self.clock.now_ms()
        for vm, peer in list(self.peers.items()):
            link = peer.link
            if link is None:
                if peer.persistent:
                    self._dial(vm, peer)
                continue
            self._check_link(now_ms, peer, link)

    def _check_link(
        self, now_ms: float, peer: PeerState, link: PeerLink
    ) -> None:
        silence_ms = peer.silence_ms(link, now_ms)
        if silence_ms > SILENCE_LIMIT_MS:
            link.fail(ResultCode.PEER_LOST)
        elif (
            # Only the dialing side closes an idle link: the accepting side
            # can't know whether the link is persistent on the dialing side.
            link.dialed_vm is not None
            and not peer.persistent
            and now_ms - peer.last_query_ms > IDLE_LIMIT_MS
        ):
            link.close()
        elif silence_ms > PING_AFTER_MS:
            link.ping()

    def stop(self) -> None:
        """Close all links and stop dialing."""
        self.stopped = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        for peer in list(self.peers.values()):
            if peer.link is not None:
                peer.link.close()
        for link in list(self.unauthenticated):
            link.fail(ResultCode.PEER_LOST)
