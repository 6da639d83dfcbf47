"""Detect which VMs are alive, by heartbeats with a few peers.

VMs may disagree about which VMs are alive, so no guarantee depends on their
agreement.
"""

import attrs

from oriolegate.membership import effects
from oriolegate.membership import messages
from oriolegate.membership.effects import MembershipEffect
from oriolegate.membership.member_table import MemberTable
from oriolegate.membership.messages import Member
from oriolegate.membership.messages import MemberState
from oriolegate.membership.neighbours import choose_neighbours
from oriolegate.membership.pause_detector import PauseDetector
from oriolegate.membership.random_source import RandomSource
from oriolegate.membership.table_exchange import TableExchange
from oriolegate.membership.vm_listing import VmListing
from oriolegate.timeline.events import EventBuffer
from oriolegate.timeline.events import EventKind

TICK_MS = 250.0
HEARTBEAT_MS = 1_000.0
SUSPECT_AFTER_MS = 3_500.0  # since the last message from a neighbour
DEAD_AFTER_MS = 6_000.0  # since the VM became suspected
AVOID_UNREACHABLE_MS = 300_000.0
CONNECT_MISSING_INTERVAL_MS = 10_000.0
MAX_CONNECT_MISSING = 2


@attrs.define
class PeerView:
    """This VM's own observations of one peer.

    Attributes:
        linked: Whether a link is ready.
        last_received_ms: Time of the last message, or when waiting for the
            first one began.
    """

    linked: bool = False
    last_received_ms: float = 0.0


@attrs.frozen
class PendingUpdate:
    """A changed member, not yet sent to the linked peers.

    Attributes:
        member: The member in its new state.
        source: Peer that sent the update; empty if this VM made it.
    """

    member: Member
    source: str


class Membership:
    """The member table of one VM and its bounded set of neighbours.

    Attributes:
        own: This VM's own record, as sent to peers.
        table: Known state of all members.
        neighbours: Peers that this VM keeps links with.
        connecting_to: Listed VMs, missing or dead in the table, that this VM
            currently tries to reach.
        peers: Own observations of linked peers and neighbours.
        listing: The platform's list of VMs.
        avoided_until: VMs and data centres not to choose as neighbours, and
            until when.
        digests: Digests of other components, sent with each heartbeat.
        updates: Changed members to send with the next update, by VM.
        neighbours_outdated: Whether to choose the neighbours again.
    """

    def __init__(
        self,
        own: Member,
        rng: RandomSource,
        buffer: EventBuffer | None = None,
    ) -> None:
        """Create a table that contains only this VM.

        Args:
            own: This VM, with the incarnation of this process.
            rng: Chooses missing VMs to connect to, and buckets to send.
            buffer: Records changes of members for the timeline.
        """
        self.own = own
        self.rng = rng
        self.buffer = buffer
        self.table = MemberTable()
        self.table.merge(0.0, own)
        self.exchange = TableExchange(self.table, rng)
        self.pause_detector = PauseDetector()
        self.last_wall_ms: int | None = None
        self.neighbours: set[str] = set()
        self.connecting_to: set[str] = set()
        self.peers: dict[str, PeerView] = {}
        self.listing = VmListing(own.vm)
        self.avoided_until: dict[str, float] = {}
        self.digests: tuple[tuple[str, int], ...] = ()
        self.updates: dict[str, PendingUpdate] = {
            own.vm: PendingUpdate(own, "")
        }
        self.neighbours_outdated = True
        self.next_heartbeat_ms = 0.0
        self.next_connect_missing_ms = 0.0
        self.out: list[MembershipEffect] = []

    def step(
        self, now_ms: float, event: effects.MembershipEvent
    ) -> list[MembershipEffect]:
        """Process one event and return its effects."""
        self.out = []
        wall_ms = event.wall_ms if isinstance(event, effects.Tick) else None
        if wall_ms is not None:
            self.last_wall_ms = wall_ms
        gap_ms = self.pause_detector.observe(now_ms, wall_ms)
        if gap_ms is not None:
            self._on_process_paused(now_ms, gap_ms)
        match event:
            case effects.Tick():
                self._on_tick(now_ms)
            case effects.VmsListed():
                self._on_vms_listed(event.vms)
            case effects.LinkUp():
                self._on_link_up(now_ms, event.vm)
            case effects.LinkDown():
                self._on_link_down(event.vm)
            case effects.Received():
                self._on_message(now_ms, event.vm, event.message)
            case effects.DigestsSet():
                self.digests = event.digests
            case effects.Leave():
                self._update_own_record(
                    now_ms, self.own.refutation, MemberState.LEAVING
                )
                self._send_updates()
        return self.out

    def _on_process_paused(self, now_ms: float, gap_ms: float) -> None:
        """Restart all timeouts: this process received nothing while paused."""
        self.out.append(effects.ProcessPaused(gap_ms))
        for view in self.peers.values():
            view.last_received_ms = now_ms
        for vm in self.table.changed_ms:
            self.table.changed_ms[vm] = now_ms

    def _on_tick(self, now_ms: float) -> None:
        if self.neighbours_outdated:
            self._choose_neighbours(now_ms)
        self._suspect_silent_neighbours(now_ms)
        self._declare_suspects_dead(now_ms)
        if now_ms >= self.next_connect_missing_ms:
            self.next_connect_missing_ms = now_ms + CONNECT_MISSING_INTERVAL_MS
            self.table.remove_expired_tombstones(
                now_ms, self.listing.listed_not_gone()
            )
            self._expire_avoided(now_ms)
            self._connect_missing_vms()
        if now_ms >= self.next_heartbeat_ms:
            self.next_heartbeat_ms = now_ms + HEARTBEAT_MS
            self._send_heartbeats()
        self._send_updates()
        self.out.append(effects.SetTimer(now_ms + TICK_MS))

    def possible_members(self) -> list[Member]:
        """Return all VMs that may be serving, including unreachable ones."""
        return self.listing.possible_members(self.table)

    def _linked(self) -> list[str]:
        return [vm for vm, view in self.peers.items() if view.linked]

    def _send_heartbeats(self) -> None:
        heartbeat = messages.Heartbeat(self.table.table_hash(), self.digests)
        for vm in self._linked():
            self.out.append(effects.Send(vm, heartbeat))

    def _send_updates(self) -> None:
        for vm in self._linked() if self.updates else []:
            members = tuple(
                update.member
                for update in self.updates.values()
                if update.source != vm
            )
            if members:
                delta = messages.MemberDelta(members)
                self.out.append(effects.Send(vm, delta))
        self.updates.clear()

    def _choose_neighbours(self, now_ms: float) -> None:
        self.neighbours_outdated = False
        chosen = choose_neighbours(
            self.own, self.table.placeable(), set(self.avoided_until)
        )
        for vm in sorted(chosen - self.neighbours):
            member = self.table.members[vm]
            view = self.peers.setdefault(vm, PeerView())
            view.last_received_ms = now_ms
            self._request_link(vm, member.host, member.peer_port)
        for vm in sorted(self.neighbours - chosen):
            self._drop_link(vm)
        self.neighbours = chosen

    def _request_link(self, vm: str, host: str, port: int) -> None:
        self.out.append(effects.ConnectTo(vm, host, port))

    def _drop_link(self, vm: str) -> None:
        self.out.append(effects.DropLink(vm))
        view = self.peers.get(vm)
        if view is not None and not view.linked:
            del self.peers[vm]

    def _expire_avoided(self, now_ms: float) -> None:
        for name, until_ms in list(self.avoided_until.items()):
            if now_ms >= until_ms:
                del self.avoided_until[name]
                self.neighbours_outdated = True

    def _connect_missing_vms(self) -> None:
        """Connect to listed VMs that are missing or dead in the table.

        Such VMs occur at the start and after a network partition.
        """
        for vm in sorted(self.connecting_to - self.neighbours):
            self._drop_link(vm)
        missing = self.listing.missing_from(self.table)
        count = min(MAX_CONNECT_MISSING, len(missing))
        self.connecting_to = set(self.rng.sample(missing, count))
        for vm in sorted(self.connecting_to):
            row = self.listing.rows[vm]
            self._request_link(vm, row.host, row.peer_port)

    def _suspect_silent_neighbours(self, now_ms: float) -> None:
        for vm in sorted(self.neighbours):
            member = self.table.members[vm]
            silence_ms = now_ms - self.peers[vm].last_received_ms
            if (
                member.state is MemberState.LIVE
                and silence_ms > SUSPECT_AFTER_MS
            ):
                self._merge(
                    now_ms, self.table.with_state(vm, MemberState.SUSPECT)
                )

    def _declare_suspects_dead(self, now_ms: float) -> None:
        for vm in sorted(self.table.suspects):
            if now_ms - self.table.changed_ms[vm] > DEAD_AFTER_MS:
                self._merge(now_ms, self.table.with_state(vm, MemberState.DEAD))

    def _on_vms_listed(self, vms: tuple[effects.ListedVm, ...]) -> None:
        self.listing.replace(vms)
        if len(self.table.members) == 1:
            self.next_connect_missing_ms = 0.0
        for vm, incarnation in self.listing.incarnations_ended_by_list(
            self.table, self.last_wall_ms
        ):
            self._record_end(vm, incarnation)

    def _record_end(self, vm: str, incarnation: int) -> None:
        if self.listing.record_end(vm, incarnation):
            self.out.append(effects.IncarnationEnded(vm, incarnation))

    def _on_link_up(self, now_ms: float, vm: str) -> None:
        view = self.peers.setdefault(vm, PeerView())
        view.linked = True
        view.last_received_ms = now_ms
        own = messages.MemberDelta((self.own,))
        heartbeat = messages.Heartbeat(self.table.table_hash(), self.digests)
        self.out.append(effects.Send(vm, own))
        self.out.append(effects.Send(vm, heartbeat))

    def _on_link_down(self, vm: str) -> None:
        view = self.peers.get(vm)
        if view is not None:
            view.linked = False
            self.exchange.on_link_down(vm)
            if vm not in self.neighbours:
                del self.peers[vm]

    def _on_message(self, now_ms: float, vm: str, message: object) -> None:
        view = self.peers.setdefault(vm, PeerView())
        view.last_received_ms = now_ms
        match message:
            case messages.Heartbeat():
                self.out += self.exchange.on_table_hash(
                    now_ms, vm, message.table_hash
                )
                self.out.append(effects.PeerDigests(vm, message.digests))
            case messages.BucketHashes():
                self.out += self.exchange.differing_members(vm, message)
            case messages.MemberDelta():
                for member in message.members:
                    self._merge(now_ms, member, source=vm)

    def _merge(self, now_ms: float, member: Member, source: str = "") -> None:
        if member.vm == self.own.vm:
            self._on_own_record(now_ms, member)
            return
        known = self.table.members.get(member.vm)
        if not self.table.merge(now_ms, member):
            return
        self._avoid_if_refuted(now_ms, known, member)
        self._detect_restart(known, member)
        self.updates[member.vm] = PendingUpdate(member, source)
        self.neighbours_outdated = True
        self._announce(now_ms, member)

    def _on_own_record(self, now_ms: float, member: Member) -> None:
        if member.incarnation > self.own.incarnation:
            self.out.append(effects.Superseded(member.incarnation))
        elif (
            member.incarnation == self.own.incarnation
            and member.refutation >= self.own.refutation
            and member.state is not self.own.state
        ):
            self._update_own_record(now_ms, member.refutation, self.own.state)

    def _update_own_record(
        self, now_ms: float, refutation: int, state: MemberState
    ) -> None:
        self.own = attrs.evolve(
            self.own, refutation=refutation + 1, state=state
        )
        self.table.merge(now_ms, self.own)
        self.updates[self.own.vm] = PendingUpdate(self.own, "")
        self._announce(now_ms, self.own)

    def _announce(self, now_ms: float, member: Member) -> None:
        self.out.append(effects.MemberChanged(member))
        if self.buffer is not None:
            self.buffer.record(
                now_ms,
                EventKind.MEMBER_CHANGED,
                "",
                member.vm,
                member.incarnation,
                member.state.name,
            )

    def _avoid_if_refuted(
        self, now_ms: float, known: Member | None, member: Member
    ) -> None:
        """Stop choosing a VM as neighbour if only this VM can't reach it.

        The suspicion of that VM was refuted through other VMs while no link
        to it was ready.
        """
        view = self.peers.get(member.vm)
        if (
            known is None
            or view is None
            or view.linked
            or known.state is not MemberState.SUSPECT
            or member.state is not MemberState.LIVE
        ):
            return
        until_ms = now_ms + AVOID_UNREACHABLE_MS
        self.avoided_until[member.vm] = until_ms
        if member.data_centre != self.own.data_centre:
            self.avoided_until[member.data_centre] = until_ms

    def _detect_restart(self, known: Member | None, member: Member) -> None:
        """Record the end of the previous process at the same address.

        The address is bound exclusively, so that process has ended.
        """
        if (
            known is not None
            and member.incarnation > known.incarnation
            and (member.host, member.peer_port) == (known.host, known.peer_port)
        ):
            self._record_end(member.vm, member.incarnation - 1)
