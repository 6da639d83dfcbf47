"""Decide which VMs live, from heartbeats of a bounded number of peers.

Views differ between VMs: nothing that must hold depends on them.
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
SUSPECT_AFTER_MS = 3_500.0
DEAD_AFTER_MS = 6_000.0
AVOID_MS = 300_000.0
SEEK_MS = 10_000.0
SEEK_COUNT = 2


@attrs.define
class PeerView:
    """What this VM sees of one peer itself.

    Attributes:
        linked: Whether a link is ready.
        heard_ms: Last message, or when waiting for one began.
    """

    linked: bool = False
    heard_ms: float = 0.0


@attrs.frozen
class News:
    """A member to tell neighbours of, and the peer that told this VM."""

    member: Member
    source: str


class Membership:
    """The member table of one VM and its bounded set of neighbours.

    Attributes:
        own: This VM as peers should know it.
        table: What is known of all members.
        neighbours: Peers that links are kept with.
        peers: Own observations of linked and chosen peers.
    """

    def __init__(
        self,
        own: Member,
        generator: RandomSource,
        buffer: EventBuffer | None = None,
    ) -> None:
        """Make a table that holds this VM alone.

        Args:
            own: This VM, with the incarnation of this process.
            generator: Chooses peers to seek.
            buffer: Records changes of members for the time line.
        """
        self.own = own
        self.generator = generator
        self.buffer = buffer
        self.table = MemberTable()
        self.table.merge(0.0, own)
        self.exchange = TableExchange(self.table, generator)
        self.pauses = PauseDetector()
        self.last_wall_ms: int | None = None
        self.neighbours: set[str] = set()
        self.seeking: set[str] = set()
        self.peers: dict[str, PeerView] = {}
        self.listing = VmListing(own.vm)
        self.avoided_until: dict[str, float] = {}
        self.digests: tuple[tuple[str, int], ...] = ()
        self.news: dict[str, News] = {own.vm: News(own, "")}
        self.stale_neighbours = True
        self.next_heartbeat_ms = 0.0
        self.next_seek_ms = 0.0
        self.out: list[MembershipEffect] = []

    def step(
        self, now_ms: float, event: effects.MembershipEvent
    ) -> list[MembershipEffect]:
        """Take one event and return what follows from it."""
        self.out = []
        wall_ms = event.wall_ms if isinstance(event, effects.Tick) else None
        if wall_ms is not None:
            self.last_wall_ms = wall_ms
        gap_ms = self.pauses.observe(now_ms, wall_ms)
        if gap_ms is not None:
            self._resume(now_ms, gap_ms)
        match event:
            case effects.Tick():
                self._tick(now_ms)
            case effects.VmsListed():
                self._take_list(event.vms)
            case effects.LinkUp():
                self._link_up(now_ms, event.vm)
            case effects.LinkDown():
                self._link_down(event.vm)
            case effects.Received():
                self._receive(now_ms, event.vm, event.message)
            case effects.DigestsSet():
                self.digests = event.digests
            case effects.Leave():
                self._restate(now_ms, self.own.refutation, MemberState.LEAVING)
                self._flush_news()
        return self.out

    def _resume(self, now_ms: float, gap_ms: float) -> None:
        """Blame nobody for a silence that was this process's own."""
        self.out.append(effects.Paused(gap_ms))
        for view in self.peers.values():
            view.heard_ms = now_ms
        for vm in self.table.changed_ms:
            self.table.changed_ms[vm] = now_ms

    def _tick(self, now_ms: float) -> None:
        if self.stale_neighbours:
            self._choose_neighbours(now_ms)
        self._suspect_silent(now_ms)
        self._bury_suspects(now_ms)
        if now_ms >= self.next_seek_ms:
            self.next_seek_ms = now_ms + SEEK_MS
            self.table.forget_dead(now_ms, self.listing.possibly_running())
            self._expire_avoided(now_ms)
            self._seek()
        if now_ms >= self.next_heartbeat_ms:
            self.next_heartbeat_ms = now_ms + HEARTBEAT_MS
            self._send_heartbeats()
        self._flush_news()
        self.out.append(effects.SetTimer(now_ms + TICK_MS))

    def census(self) -> list[Member]:
        """Return every VM that may be serving, unreachable ones included."""
        return self.listing.census(self.table)

    def _linked(self) -> list[str]:
        return [vm for vm, view in self.peers.items() if view.linked]

    def _send_heartbeats(self) -> None:
        heartbeat = messages.Heartbeat(self.table.table_hash(), self.digests)
        for vm in self._linked():
            self.out.append(effects.Send(vm, heartbeat))

    def _flush_news(self) -> None:
        for vm in self._linked() if self.news else []:
            members = tuple(
                news.member for news in self.news.values() if news.source != vm
            )
            if members:
                delta = messages.MemberDelta(members)
                self.out.append(effects.Send(vm, delta))
        self.news.clear()

    def _choose_neighbours(self, now_ms: float) -> None:
        self.stale_neighbours = False
        chosen = choose_neighbours(
            self.own, self.table.placeable(), set(self.avoided_until)
        )
        for vm in sorted(chosen - self.neighbours):
            member = self.table.members[vm]
            view = self.peers.setdefault(vm, PeerView())
            view.heard_ms = now_ms
            self._connect(vm, member.host, member.peer_port)
        for vm in sorted(self.neighbours - chosen):
            self._drop(vm)
        self.neighbours = chosen

    def _connect(self, vm: str, host: str, port: int) -> None:
        self.out.append(effects.ConnectTo(vm, host, port))

    def _drop(self, vm: str) -> None:
        self.out.append(effects.DropLink(vm))
        view = self.peers.get(vm)
        if view is not None and not view.linked:
            del self.peers[vm]

    def _expire_avoided(self, now_ms: float) -> None:
        for name, until_ms in list(self.avoided_until.items()):
            if now_ms >= until_ms:
                del self.avoided_until[name]
                self.stale_neighbours = True

    def _seek(self) -> None:
        """Try listed VMs that the table lacks: at start, and after a split."""
        for vm in sorted(self.seeking - self.neighbours):
            self._drop(vm)
        missing = self.listing.missing_from(self.table)
        count = min(SEEK_COUNT, len(missing))
        self.seeking = set(self.generator.sample(missing, count))
        for vm in sorted(self.seeking):
            row = self.listing.rows[vm]
            self._connect(vm, row.host, row.peer_port)

    def _suspect_silent(self, now_ms: float) -> None:
        for vm in sorted(self.neighbours):
            member = self.table.members[vm]
            silence_ms = now_ms - self.peers[vm].heard_ms
            if (
                member.state is MemberState.LIVE
                and silence_ms > SUSPECT_AFTER_MS
            ):
                self._merge(now_ms, self.table.marked(vm, MemberState.SUSPECT))

    def _bury_suspects(self, now_ms: float) -> None:
        for vm in sorted(self.table.suspects):
            if now_ms - self.table.changed_ms[vm] > DEAD_AFTER_MS:
                self._merge(now_ms, self.table.marked(vm, MemberState.DEAD))

    def _take_list(self, vms: tuple[effects.ListedVm, ...]) -> None:
        self.listing.take(vms)
        if len(self.table.members) == 1:
            self.next_seek_ms = 0.0
        for vm, incarnation in self.listing.ended_by_list(
            self.table, self.last_wall_ms
        ):
            self._end(vm, incarnation)

    def _end(self, vm: str, incarnation: int) -> None:
        if self.listing.note_end(vm, incarnation):
            self.out.append(effects.IncarnationEnded(vm, incarnation))

    def _link_up(self, now_ms: float, vm: str) -> None:
        view = self.peers.setdefault(vm, PeerView())
        view.linked = True
        view.heard_ms = now_ms
        own = messages.MemberDelta((self.own,))
        heartbeat = messages.Heartbeat(self.table.table_hash(), self.digests)
        self.out.append(effects.Send(vm, own))
        self.out.append(effects.Send(vm, heartbeat))

    def _link_down(self, vm: str) -> None:
        view = self.peers.get(vm)
        if view is not None:
            view.linked = False
            self.exchange.forget(vm)
            if vm not in self.neighbours:
                del self.peers[vm]

    def _receive(self, now_ms: float, vm: str, message: object) -> None:
        view = self.peers.setdefault(vm, PeerView())
        view.heard_ms = now_ms
        match message:
            case messages.Heartbeat():
                self.out += self.exchange.compare(
                    now_ms, vm, message.table_hash
                )
                self.out.append(effects.PeerDigests(vm, message.digests))
            case messages.BucketHashes():
                self.out += self.exchange.answer(vm, message)
            case messages.MemberDelta():
                for member in message.members:
                    self._merge(now_ms, member, source=vm)

    def _merge(self, now_ms: float, member: Member, source: str = "") -> None:
        if member.vm == self.own.vm:
            self._hear_of_self(now_ms, member)
            return
        known = self.table.members.get(member.vm)
        if not self.table.merge(now_ms, member):
            return
        self._note_refutation(now_ms, known, member)
        self._note_restart(known, member)
        self.news[member.vm] = News(member, source)
        self.stale_neighbours = True
        self._announce(now_ms, member)

    def _hear_of_self(self, now_ms: float, member: Member) -> None:
        if member.incarnation > self.own.incarnation:
            self.out.append(effects.Superseded(member.incarnation))
        elif (
            member.incarnation == self.own.incarnation
            and member.refutation >= self.own.refutation
            and member.state is not self.own.state
        ):
            self._restate(now_ms, member.refutation, self.own.state)

    def _restate(
        self, now_ms: float, refutation: int, state: MemberState
    ) -> None:
        self.own = attrs.evolve(
            self.own, refutation=refutation + 1, state=state
        )
        self.table.merge(now_ms, self.own)
        self.news[self.own.vm] = News(self.own, "")
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

    def _note_refutation(
        self, now_ms: float, known: Member | None, member: Member
    ) -> None:
        """Stop watching a VM that others reach and this one does not."""
        view = self.peers.get(member.vm)
        if (
            known is None
            or view is None
            or view.linked
            or known.state is not MemberState.SUSPECT
            or member.state is not MemberState.LIVE
        ):
            return
        until_ms = now_ms + AVOID_MS
        self.avoided_until[member.vm] = until_ms
        if member.data_centre != self.own.data_centre:
            self.avoided_until[member.data_centre] = until_ms

    def _note_restart(self, known: Member | None, member: Member) -> None:
        """A process that has bound the address proves the former's end."""
        if (
            known is not None
            and member.incarnation > known.incarnation
            and (member.host, member.peer_port) == (known.host, known.peer_port)
        ):
            self._end(member.vm, member.incarnation - 1)
