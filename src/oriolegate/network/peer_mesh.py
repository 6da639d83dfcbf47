"""Keep links to a bounded set of peers and carry messages over them.

Wanted links are dialed again after a loss; links that only a message asked
for are closed when idle. One link serves both directions.
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
from oriolegate.network.peer_slots import DialFactory
from oriolegate.network.peer_slots import ListenFactory
from oriolegate.network.peer_slots import MAX_PENDING_MESSAGES
from oriolegate.network.peer_slots import MeshCounters
from oriolegate.network.peer_slots import PeerSlot
from oriolegate.result_codes import ResultCode
from oriolegate.timeline.events import EventBuffer

CHECK_INTERVAL_MS = 1_000
DIAL_TIMEOUT_MS = 3_000
PING_AFTER_MS = 3_000.0
SILENCE_LIMIT_MS = 10_000.0
IDLE_LIMIT_MS = 30_000.0
MAX_UNPROVEN_LINKS = 64
FIRST_QUERY_MESSAGE = 60  # numbers below are for control, at any time
MAX_ADDRESSES = 8_192


class PeerMesh:
    """The links of one process.

    Attributes:
        counters: Cost of the links.
        slots: Peers that are wanted, linked or being dialed, by name.
        on_message: Called with the peer's name and each message.
        on_linked: Called with the peer's name when its link is ready.
        on_lost: Called with the peer's name when its last link is gone.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        codec: PeerCodec,
        clock: Clock,
        reactor: Any,
        generator: random.Random,
        buffer: EventBuffer,
    ) -> None:
        """Make a mesh without links.

        Args:
            identity: Who this process is, with the shared key.
            codec: Writes and reads messages.
            clock: For idle and silence limits.
            reactor: Twisted's reactor, for sockets and timers.
            generator: Spreads dials.
            buffer: Holds the process's Lamport clock.
        """
        self.identity = identity
        self.codec = codec
        self.clock = clock
        self.reactor = reactor
        self.generator = generator
        self.buffer = buffer
        self.counters = MeshCounters()
        self.slots: dict[str, PeerSlot] = {}
        self.addresses: collections.OrderedDict[str, tuple[str, int]] = (
            collections.OrderedDict()
        )
        self.unproven: set[PeerLink] = set()
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
        """Remember where a VM listens, for links on demand."""
        self.addresses[vm] = (host, port)
        self.addresses.move_to_end(vm)
        if len(self.addresses) > MAX_ADDRESSES:
            self.addresses.popitem(last=False)

    def connect_to(self, vm: str, host: str, port: int) -> None:
        """Keep a link to a peer until `drop_link`."""
        self.learn_address(vm, host, port)
        slot = self.slots.setdefault(vm, PeerSlot())
        slot.wanted = True
        self._dial(vm, slot)

    def drop_link(self, vm: str) -> None:
        """Stop dialing a peer; its link closes once it is idle."""
        slot = self.slots.get(vm)
        if slot is None:
            return
        slot.wanted = False
        slot.used_ms = self.clock.now_ms()
        if slot.link is None and not slot.dialing:
            del self.slots[vm]

    def linked_vms(self) -> list[str]:
        """Return the peers whose links are ready."""
        return [vm for vm, slot in self.slots.items() if slot.link is not None]

    def send(self, vm: str, message: object) -> bool:
        """Send a message, opening a link on demand.

        Returns:
            False if the message can't have left: no address, a full queue,
            or a message that is too large. True promises no delivery.
        """
        number = self.codec.by_type[type(message)].number
        try:
            data = self.codec.encode(message, self.buffer.logical_time)
        except PeerMessageError:
            logger.exception("peers: message {} is too large", number)
            self.counters.refused_sends += 1
            return False
        if self._send_bytes(vm, data):
            self._note_use(vm, number)
            self.counters.count_sent(number, len(data))
            return True
        self.counters.refused_sends += 1
        return False

    def open_link(self, vm: str) -> None:
        """Dial a peer that messages will be sent to soon."""
        if vm in self.addresses and not self.stopped:
            slot = self.slots.setdefault(vm, PeerSlot())
            slot.used_ms = self.clock.now_ms()
            self._dial(vm, slot)

    def _send_bytes(self, vm: str, data: bytes) -> bool:
        slot = self.slots.get(vm)
        if slot is not None and slot.link is not None:
            return slot.link.send(data)
        if vm not in self.addresses or self.stopped:
            return False
        slot = self.slots.setdefault(vm, PeerSlot())
        if len(slot.pending) == MAX_PENDING_MESSAGES:
            return False
        slot.pending.append(data)
        self._dial(vm, slot)
        return True

    def _note_use(self, vm: str, number: int) -> None:
        """Keep a link open for queries; heartbeats alone don't keep it."""
        slot = self.slots.get(vm)
        if slot is not None and number >= FIRST_QUERY_MESSAGE:
            slot.used_ms = self.clock.now_ms()

    def _dial(self, vm: str, slot: PeerSlot) -> None:
        now_ms = self.clock.now_ms()
        if (
            self.stopped
            or slot.dialing
            or slot.link is not None
            or now_ms < slot.dial_at_ms
        ):
            return
        slot.dialing = True
        host, port = self.addresses[vm]
        self.reactor.connectTCP(
            host,
            port,
            DialFactory(
                functools.partial(self.make_link, vm, f"{host}:{port}"),
                functools.partial(self.dial_failed, vm),
            ),
            timeout=DIAL_TIMEOUT_MS / 1_000,
        )

    def make_link(self, dialed_vm: str | None, address: str) -> PeerLink:
        """Build a link that tells this mesh what happens."""
        return PeerLink(
            self.identity, self.codec, self, self.reactor, dialed_vm, address
        )

    def accept_link(self) -> PeerLink | None:
        """Build a link for an incoming connection, or None to refuse it."""
        if self.stopped or len(self.unproven) >= MAX_UNPROVEN_LINKS:
            self.counters.refused_links += 1
            return None
        link = self.make_link(None, "")
        self.unproven.add(link)
        return link

    def dial_failed(self, vm: str) -> None:
        """Give up what waited for this dial; dial again later if wanted."""
        slot = self.slots.get(vm)
        if slot is None:
            return
        slot.dialing = False
        if slot.link is not None:
            return
        slot.back_off(self.clock.now_ms(), self.generator)
        waited = bool(slot.pending)
        slot.pending.clear()
        if not slot.wanted:
            del self.slots[vm]
        if waited:
            self.on_lost(vm)

    def _keeps_present_link(self, present: PeerLink, link: PeerLink) -> bool:
        if link.peer_incarnation != present.peer_incarnation:
            return link.peer_incarnation < present.peer_incarnation
        dialed_present = present.dialed_vm is not None
        if dialed_present == (link.dialed_vm is not None):
            return False
        # Both sides dialed at once: both keep the link that the VM with the
        # smaller name dialed, so that they agree without a message.
        return (self.identity.vm < link.peer_vm) == dialed_present

    def link_ready(self, link: PeerLink) -> None:
        """Use a proven link, unless a better one to this peer is there."""
        self.unproven.discard(link)
        vm = link.peer_vm
        slot = self.slots.setdefault(vm, PeerSlot())
        if link.dialed_vm is not None:
            slot.dialing = False
        present = slot.link
        if present is not None and self._keeps_present_link(present, link):
            link.close()
            return
        slot.use(link, self.clock.now_ms())
        if present is not None:
            present.close()
            if present.peer_incarnation == link.peer_incarnation:
                return
            self.on_lost(vm)
        self.on_linked(vm)

    def link_message(
        self, link: PeerLink, logical_time: int, message: object, size: int
    ) -> None:
        """Pass a message on, with the sender's logical time observed."""
        self.buffer.observe(logical_time)
        number = self.codec.by_type[type(message)].number
        self.counters.count_received(number, size)
        self._note_use(link.peer_vm, number)
        self.on_message(link.peer_vm, message)

    def _count_loss(self, code: ResultCode) -> None:
        if code is ResultCode.PEER_BAD_MESSAGE:
            self.counters.bad_messages += 1
        elif code is ResultCode.PEER_UNAUTHORIZED:
            self.counters.unauthorized += 1

    def link_lost(self, link: PeerLink, code: ResultCode) -> None:
        """Forget a link; dial again later if it is wanted."""
        self.unproven.discard(link)
        self._count_loss(code)
        vm = link.dialed_vm or link.peer_vm
        slot = self.slots.get(vm)
        if slot is None:
            return
        if slot.link is link:
            slot.link = None
            slot.back_off(self.clock.now_ms(), self.generator)
            if not slot.wanted and not slot.dialing:
                del self.slots[vm]
            self.on_lost(vm)
        elif link.dialed_vm is not None and not link.was_ready:
            self.dial_failed(vm)

    def _schedule_check(self) -> None:
        if not self.stopped:
            self.timer = self.reactor.callLater(
                CHECK_INTERVAL_MS / 1_000, self._run_check
            )

    def _run_check(self) -> None:
        self._schedule_check()
        self.check()

    def check(self) -> None:
        """Dial what is wanted, ping silent links, close idle ones."""
        now_ms = self.clock.now_ms()
        for vm, slot in list(self.slots.items()):
            link = slot.link
            if link is None:
                if slot.wanted:
                    self._dial(vm, slot)
                continue
            self._check_link(now_ms, slot, link)

    def _check_link(
        self, now_ms: float, slot: PeerSlot, link: PeerLink
    ) -> None:
        silence_ms = slot.silence_ms(link, now_ms)
        if silence_ms > SILENCE_LIMIT_MS:
            link.fail(ResultCode.PEER_LOST)
        elif (
            # The accepting side leaves it to the dialer, who may want it.
            link.dialed_vm is not None
            and not slot.wanted
            and now_ms - slot.used_ms > IDLE_LIMIT_MS
        ):
            link.close()
        elif silence_ms > PING_AFTER_MS:
            link.ping()

    def stop(self) -> None:
        """Close every link and dial no more."""
        self.stopped = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        for slot in list(self.slots.values()):
            if slot.link is not None:
                slot.link.close()
        for link in list(self.unproven):
            link.fail(ResultCode.PEER_LOST)
