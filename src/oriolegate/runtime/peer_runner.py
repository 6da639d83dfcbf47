"""Connect membership to the links to peers, and dispatch peers' messages.

Membership is the state machine that knows which VMs are alive. Messages of
other parts of the process are passed to the handlers registered for the message
types.
"""

from collections.abc import Callable
import random
from typing import Any

from twisted.internet import defer

from oriolegate.clock import Clock
from oriolegate.logging_setup import get_logger
from oriolegate.membership import effects
from oriolegate.membership.membership import Membership
from oriolegate.membership.messages import Member
from oriolegate.network.peer_mesh import PeerMesh
from oriolegate.network.platform_api import Platform
from oriolegate.network.platform_api import VmRecord
from oriolegate.network.platform_api import VmState

LIST_INTERVAL_MS = 3_000.0  # least interval between reads of the list of VMs
# The interval grows with the members, so that the reads of all VMs of the
# largest fleet stay far below the platform's read rate.
LIST_INTERVAL_PER_MEMBER_MS = 15.0

log = get_logger("peers")

Handler = Callable[[str, Any], None]


class PeerRunner:
    """Runs the membership of one process.

    Attributes:
        handlers: Callbacks for messages of other parts, by message type.
        on_linked: Called with the VM of each peer whose link is ready.
        on_lost: Called with the VM of each peer whose link was lost.
        on_members: Called when a member was added or its state changed.
        on_digests: Called with a VM and the digests of documents in its
            heartbeat.
        on_listed: Called when the platform's list of VMs was read.
        on_paused: Called after this process was paused.
        on_ended: Called with a VM and the incarnation up to which its
            processes have ended.
        on_superseded: Called when a newer process of this VM was found.
    """

    def __init__(
        self,
        membership: Membership,
        mesh: PeerMesh,
        platform: Platform,
        clock: Clock,
        call_later: Callable[..., Any],
        rng: random.Random,
        seeds: tuple[effects.ListedVm, ...] = (),
    ) -> None:
        """Create a runner without links.

        Args:
            membership: The state machine of the membership.
            mesh: The links to peers.
            platform: Provides the list of VMs.
            clock: Source of the current time.
            call_later: The reactor's function to set a timer.
            rng: Random source for the jitter of the list reads.
            seeds: VMs to connect to before the list of VMs is read.
        """
        self.seeds = seeds
        self.membership = membership
        self.mesh = mesh
        self.platform = platform
        self.clock = clock
        self.call_later = call_later
        self.rng = rng
        self.handlers: dict[type, Handler] = {}
        self.on_linked: list[Callable[[str], None]] = []
        self.on_lost: list[Callable[[str], None]] = []
        self.on_members: list[Callable[[], None]] = []
        self.on_digests: Callable[[str, Any], None] = lambda *_: None
        self.on_listed: list[Callable[[], None]] = []
        self.on_paused: list[Callable[[], None]] = []
        self.on_ended: Callable[[str, int], None] = lambda *_: None
        self.on_superseded: Callable[[], None] = lambda: None
        self.timers: dict[str, Any] = {}
        self.listing: defer.Deferred[Any] | None = None
        self.stopped = False
        mesh.on_message = self._on_message
        mesh.on_linked = self._on_linked
        mesh.on_lost = self._on_lost

    def start(self, host: str, port: int) -> Any:
        """Listen for peers and start to connect to them."""
        listening = self.mesh.listen(host, port)
        if self.seeds:
            self._step(effects.VmsListed(self.seeds))
        self._tick()
        self._list_vms()
        return listening

    def stop(self) -> None:
        """Close all links."""
        self.stopped = True
        for timer in self.timers.values():
            timer.cancel()
        self.timers.clear()
        self.mesh.stop()

    def leave(self) -> None:
        """Notify peers that this VM accepts no new work."""
        self._step(effects.Leave())

    def set_digests(self, digests: tuple[tuple[str, int], ...]) -> None:
        """Set the digests of documents that heartbeats carry."""
        self._step(effects.DigestsSet(digests))

    def members(self) -> list[Member]:
        """Return the members that may receive work."""
        return list(self.membership.table.placeable())

    def _tick(self) -> None:
        self.timers.pop("tick", None)
        self._step(effects.Tick(self.clock.wall_ms()))

    def _step(self, event: effects.MembershipEvent) -> None:
        if self.stopped:
            return
        members_changed = False
        for effect in self.membership.step(self.clock.now_ms(), event):
            if isinstance(effect, effects.MemberChanged):
                members_changed = True
            self._carry_out(effect)
        if members_changed:
            for listener in self.on_members:
                listener()

    def _carry_out(self, effect: effects.MembershipEffect) -> None:
        match effect:
            case effects.ConnectTo(vm, host, port):
                self.mesh.connect_to(vm, host, port)
            case effects.DropLink(vm):
                self.mesh.drop_link(vm)
            case effects.Send(vm, message):
                self.mesh.send(vm, message)
            case effects.SetTimer(at_ms):
                self._set_timer("tick", at_ms, self._tick)
            case effects.MemberChanged(member):
                self._on_member_changed(member)
            case effects.PeerDigests(vm, digests):
                self.on_digests(vm, digests)
            case effects.ProcessPaused(gap_ms):
                log.warning(
                    "Process was paused for {:.0f} ms; confirming its state"
                    " with the store and peers.",
                    gap_ms,
                )
                for listener in self.on_paused:
                    listener()
            case effects.Superseded():
                self.on_superseded()
            case effects.IncarnationEnded(vm, incarnation):
                self.on_ended(vm, incarnation)

    def _on_member_changed(self, member: Member) -> None:
        if member.vm != self.membership.own.vm:
            self.mesh.learn_address(member.vm, member.host, member.peer_port)
        log.info("Member {} is {}.", member.vm, member.state.name.lower())

    def _set_timer(
        self, name: str, at_ms: float, function: Callable[[], None]
    ) -> None:
        previous_timer = self.timers.pop(name, None)
        if previous_timer is not None:
            previous_timer.cancel()
        delay_ms = max(0.0, at_ms - self.clock.now_ms())
        self.timers[name] = self.call_later(delay_ms / 1000.0, function)

    def _on_message(self, vm: str, message: object) -> None:
        handler = self.handlers.get(type(message))
        if handler is not None:
            handler(vm, message)
        else:
            self._step(effects.Received(vm, message))

    def _on_linked(self, vm: str) -> None:
        self._step(effects.LinkUp(vm))
        for listener in self.on_linked:
            listener(vm)

    def _on_lost(self, vm: str) -> None:
        self._step(effects.LinkDown(vm))
        for listener in self.on_lost:
            listener(vm)

    def _list_vms(self) -> None:
        self.timers.pop("list", None)
        call = self.platform.list_vms()
        call.addCallback(self._on_list_read)
        # A failed read is harmless: the list only adds to the known members.
        call.addErrback(lambda _: None)
        call.addBoth(lambda _: self._schedule_list())

    def _on_list_read(self, rows: tuple[VmRecord, ...]) -> None:
        self._step(
            effects.VmsListed(
                tuple(
                    effects.ListedVm(
                        row.vm,
                        row.host,
                        row.peer_port,
                        row.data_centre,
                        row.state is VmState.GONE,
                    )
                    for row in rows
                )
            )
        )
        for listener in self.on_listed:
            listener()

    def _schedule_list(self) -> None:
        if self.stopped:
            return
        members = len(self.membership.table.changed_ms)
        interval_ms = max(
            LIST_INTERVAL_MS, members * LIST_INTERVAL_PER_MEMBER_MS
        )
        jitter = 0.75 + 0.5 * self.rng.random()
        at_ms = self.clock.now_ms() + interval_ms * jitter
        self._set_timer("list", at_ms, self._list_vms)
