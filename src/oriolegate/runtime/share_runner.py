"""Runs the shares: grants from the store's share objects, put in force."""

import collections
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

from oriolegate.clock import Clock
from oriolegate.exceptions import PlatformError
from oriolegate.membership.effects import Send
from oriolegate.membership.messages import Member
from oriolegate.models.topology import ServiceTopology
from oriolegate.network.platform_api import Platform
from oriolegate.network.platform_api import StoredObject
from oriolegate.result_codes import ResultCode
from oriolegate.runtime.peer_runner import PeerRunner
from oriolegate.runtime.query_tier import QueryTier
from oriolegate.shares import effects
from oriolegate.shares import messages
from oriolegate.shares.core import Shares
from oriolegate.shares.homes import choose_homes
from oriolegate.shares.homes import forwarding_order
from oriolegate.shares.share_object import Amounts
from oriolegate.shares.share_object import from_value
from oriolegate.shares.share_object import to_value
from oriolegate.upstreams.leaf_state import Grant

KIND = "shares"
TICK_S = 0.1
SETTLE_LIMIT_MS = 5_000.0  # the list may be missing, or name VMs that are gone
MAX_MISSING_RATIO = 0.1


class ShareRunner:
    """The shares of one process.

    Attributes:
        shares: The decisions.
        homes: Homes of each service by this process's view.
        orders: Cached forwarding orders, by service.
        wanted: What was last worked out for the core, by service.
        placed: Members, by name, that the homes were chosen among.
        listed: Whether the platform's list of VMs was read.
        settled: Whether enough members are known to ask for shares.
        unapplied: Lowered grants that running requests do not fit in yet.
        on_returned: Called once no share is held after `give_back`.
    """

    def __init__(
        self,
        shares: Shares,
        peers: PeerRunner,
        platform: Platform,
        tier: QueryTier,
        clock: Clock,
        call_later: Callable[..., Any],
    ) -> None:
        self.shares = shares
        self.peers = peers
        self.platform = platform
        self.tier = tier
        self.clock = clock
        self.call_later = call_later
        self.homes: dict[str, list[str]] = {}
        self.orders: dict[str, list[str]] = {}
        self.wanted: dict[str, effects.ServiceWanted] = {}
        self.placed: dict[str, Member] = {}
        self.listed = False
        self.settled = False
        self.settle_by_ms: float | None = None
        self.unapplied: dict[str, Amounts] = {}
        self.on_returned: Callable[[], None] = lambda: None
        self.queue: collections.deque[effects.SharesEvent] = collections.deque()
        self.running = False
        self.stopped = False
        self.timer: Any = None
        for message_type in (row[1] for row in messages.PEER_MESSAGES):
            peers.handlers[message_type] = self._received
        peers.on_members.append(self.choose_homes)
        peers.on_listed.append(self._listed)
        peers.on_paused.append(self.paused)
        peers.on_ended = self._ended

    def start(self) -> None:
        """Begin to follow grants."""
        self._settle()
        self.step(effects.Tick())
        self._apply_lowered()
        self.timer = self.call_later(TICK_S, self.start)

    def stop(self) -> None:
        """Stop; the core is fed no more."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()

    def paused(self) -> None:
        """Hold nothing until the store has confirmed the shares."""
        self.step(effects.ProcessPaused())

    def give_back(self) -> None:
        """Give every share back, each as soon as it is unused."""
        self.step(effects.StopSharing())

    def farewell(self) -> None:
        """Tell all holders that this process sends nothing any more."""
        for effect in self.shares.farewell():
            self._carry_out(effect)

    def forwarding_order(self, service: str) -> list[str]:
        """Return the other homes of a service in the order to ask them."""
        order = self.orders.get(service)
        if order is None:
            own = self.peers.membership.own
            homes = [vm for vm in self.homes.get(service, ()) if vm != own.vm]
            members = [self.placed[vm] for vm in homes]
            order = forwarding_order(homes, members, own.data_centre)
            self.orders[service] = order
        return order

    def choose_homes(self) -> None:
        """Bring the homes of all services up to date."""
        members = {member.vm: member for member in self.peers.members()}
        moved = {
            vm
            for vm, member in members.items()
            if _data_centre(self.placed, vm) != member.data_centre
        }
        left = {
            vm
            for vm, member in self.placed.items()
            if _data_centre(members, vm) != member.data_centre
        }
        self.placed = members
        joined = [members[vm] for vm in moved]
        for name, topology in self.tier.table.topologies.items():
            told = self.wanted.get(name)
            changed = told is None or told.generation != topology.generation
            if changed or joined or left:
                self._choose(name, topology, joined, left)
        self._settle()

    def _choose(
        self,
        name: str,
        topology: ServiceTopology,
        joined: list[Member],
        left: set[str],
    ) -> None:
        """Choose the homes of one service and tell the core of a change."""
        told = self.wanted.get(name)
        limits = told.limits if told is not None else None
        if told is None or told.generation != topology.generation:
            limits = _limits(topology)
        assert limits is not None
        held = self.homes.get(name)
        same_limits = told is not None and told.limits == limits
        if held is not None and same_limits and left.isdisjoint(held):
            # A member that is no home can't become one while all homes
            # stay: only those that joined compete with them.
            candidates = [self.placed[vm] for vm in held] + joined
        else:
            candidates = list(self.placed.values())
        homes = choose_homes(name, limits, candidates)
        self.homes[name] = homes
        self.orders.pop(name, None)
        self._tell(name, limits, topology.generation)

    def _tell(self, name: str, limits: Amounts, generation: int) -> None:
        """Tell the core whether this VM is a home, if that is news."""
        own = self.peers.membership.own.vm
        is_home = self.settled and own in self.homes[name]
        wanted = effects.ServiceWanted(name, is_home, limits, generation)
        if wanted == self.wanted.get(name):
            return
        self.wanted[name] = wanted
        # The core walks all services that it knows at each step: it is told
        # of those alone that this VM is or was a home of.
        if wanted.wanted or name in self.shares.services:
            self.step(wanted)

    def _listed(self) -> None:
        self.listed = True
        self._settle()

    def _settle(self) -> None:
        """Ask for shares once most members are known.

        Who knows few members would take itself for a home of every service
        and move shares of the whole fleet there and back.
        """
        if self.settled:
            return
        now_ms = self.clock.now_ms()
        if self.settle_by_ms is None:
            self.settle_by_ms = now_ms + SETTLE_LIMIT_MS
        membership = self.peers.membership
        listed = len(membership.listing.rows)
        missing = len(membership.listing.missing_from(membership.table))
        known = missing <= listed * MAX_MISSING_RATIO
        if not (self.listed and known) and now_ms < self.settle_by_ms:
            return
        self.settled = True
        for name, told in list(self.wanted.items()):
            self._tell(name, told.limits, told.generation)

    def _ended(self, vm: str, incarnation: int) -> None:
        self.step(effects.ProcessEnded(vm, incarnation))

    def _received(self, vm: str, message: object) -> None:
        self.step(effects.Received(vm, message))

    def step(self, event: effects.SharesEvent) -> None:
        """Feed one event and carry out what follows, in order."""
        if self.stopped:
            return
        self.queue.append(event)
        if self.running:
            return
        self.running = True
        try:
            while self.queue:
                now_ms = self.clock.now_ms()
                for effect in self.shares.step(now_ms, self.queue.popleft()):
                    self._carry_out(effect)
        finally:
            self.running = False

    def _carry_out(self, effect: effects.SharesEffect) -> None:
        match effect:
            case effects.GrantChanged():
                self._use(effect)
            case effects.ReadShares():
                self._read(effect)
            case effects.WriteShares():
                self._write(effect)
            case effects.SharesReturned():
                self.on_returned()
            case Send(vm, message):
                self.peers.mesh.send(vm, message)

    def _use(self, change: effects.GrantChanged) -> None:
        grant = Grant(change.slots, change.connections, change.cold)
        self.tier.take_grant(change.service, grant)
        self.unapplied[change.service] = change.amounts
        self._apply(change.service)

    def _apply_lowered(self) -> None:
        for service in list(self.unapplied):
            self._apply(service)

    def _apply(self, service: str) -> None:
        if self.tier.fits_grant(service):
            amounts = self.unapplied.pop(service)
            self.step(effects.GrantApplied(service, amounts))

    def _read(self, call: effects.ReadShares) -> None:
        def found(item: StoredObject) -> None:
            share_object = from_value(item.version, item.value)
            self.step(
                effects.SharesRead(call.service, call.ticket, share_object)
            )

        def failed(reason: Any) -> None:
            if _code(reason) is ResultCode.PLATFORM_NOT_FOUND:
                self.step(effects.SharesRead(call.service, call.ticket, None))
            else:
                self.step(effects.ReadFailed(call.service, call.ticket))

        reading = self.platform.get(KIND, call.service)
        reading.addCallbacks(found, failed)

    def _write(self, call: effects.WriteShares) -> None:
        def written(version: int) -> None:
            self.step(effects.SharesWritten(call.service, call.ticket, version))

        def failed(reason: Any) -> None:
            if _code(reason) is ResultCode.PLATFORM_CONFLICT:
                self.step(effects.WriteRefused(call.service, call.ticket))
            else:
                self.step(effects.WriteUnknown(call.service, call.ticket))

        writing = self.platform.put(
            KIND,
            call.service,
            to_value(call.share_object),
            call.expected_version,
        )
        writing.addCallbacks(written, failed)


def _code(reason: Any) -> ResultCode | None:
    if isinstance(reason.value, PlatformError):
        return reason.value.code
    return None


def _data_centre(members: Mapping[str, Member], vm: str) -> str | None:
    member = members.get(vm)
    return None if member is None else member.data_centre


def _limits(topology: ServiceTopology) -> Amounts:
    """Return the lowest limits of a service's leafs."""
    leafs = topology.leafs.values()
    return Amounts(
        min((leaf.slots for leaf in leafs), default=0),
        min((leaf.connections for leaf in leafs), default=0),
        min((leaf.cold_slots for leaf in leafs), default=0),
    )
