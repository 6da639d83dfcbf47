"""Connect the shares state machine to the store, the peers and the query tier.

A share is the part of a leaf's limits that one VM may use. The homes of a
service are the VMs that hold shares of its leafs and connections to these
leafs. Share objects in the platform's store record which VM holds which share.
"""

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
from oriolegate.shares.homes import choose_homes
from oriolegate.shares.homes import forwarding_order
from oriolegate.shares.share_object import Amounts
from oriolegate.shares.share_object import from_value
from oriolegate.shares.share_object import to_value
from oriolegate.shares.shares import Shares
from oriolegate.upstreams.leaf_state import Grant

KIND = "shares"
TICK_S = 0.1
# Limits of the wait for members before shares are requested: the list of VMs
# may be unavailable, or contain VMs that have been removed.
MAX_MEMBERSHIP_WAIT_MS = 5_000.0
MAX_MISSING_RATIO = 0.1


class ShareRunner:
    """Runs the shares state machine of one process.

    Attributes:
        shares: The state machine of the shares.
        homes: Homes of each service, as computed from the known members.
        forwarding_orders: Cached forwarding orders, by service.
        last_wanted: Last computed `ServiceWanted` event, by service.
        members_by_vm: Members among which the homes were chosen.
        is_list_read: Whether the platform's list of VMs was read.
        may_request_shares: Whether enough members are known to request
            shares.
        membership_due_ms: Time from which shares are requested even if
            members are missing; None before the first check.
        unapplied: Grants that current use still exceeds, by service.
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
        self.forwarding_orders: dict[str, list[str]] = {}
        self.last_wanted: dict[str, effects.ServiceWanted] = {}
        self.members_by_vm: dict[str, Member] = {}
        self.is_list_read = False
        self.may_request_shares = False
        self.membership_due_ms: float | None = None
        self.unapplied: dict[str, Amounts] = {}
        self.on_returned: Callable[[], None] = lambda: None
        self.queue: collections.deque[effects.SharesEvent] = collections.deque()
        self.is_running = False
        self.stopped = False
        self.timer: Any = None
        for message_type in (row[1] for row in messages.PEER_MESSAGES):
            peers.handlers[message_type] = self._on_message
        peers.on_members.append(self.choose_homes)
        peers.on_listed.append(self._on_list_read)
        peers.on_paused.append(self.on_process_paused)
        peers.on_ended = self._on_incarnation_ended

    def start(self) -> None:
        """Start the tick; each tick calls this method again."""
        self._check_membership()
        self.step(effects.Tick())
        self._report_all_applied()
        self.timer = self.call_later(TICK_S, self.start)

    def stop(self) -> None:
        """Cancel the tick and ignore all further events."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()

    def on_process_paused(self) -> None:
        """Suspend all shares until the store has confirmed each of them."""
        self.step(effects.ProcessPaused())

    def give_back(self) -> None:
        """Return every share, each as soon as it is unused."""
        self.step(effects.StopSharing())

    def announce_end(self) -> None:
        """Notify all holders that this process sends no more requests."""
        for effect in self.shares.stop_messages():
            self._carry_out(effect)

    def forwarding_order(self, service: str) -> list[str]:
        """Return the other homes of a service, the first to be tried first."""
        order = self.forwarding_orders.get(service)
        if order is None:
            own = self.peers.membership.own
            homes = [vm for vm in self.homes.get(service, ()) if vm != own.vm]
            members = [self.members_by_vm[vm] for vm in homes]
            order = forwarding_order(homes, members, own.data_centre)
            self.forwarding_orders[service] = order
        return order

    def choose_homes(self) -> None:
        """Update the homes of all services."""
        members = {member.vm: member for member in self.peers.members()}
        joined_vms = {
            vm
            for vm, member in members.items()
            if _data_centre(self.members_by_vm, vm) != member.data_centre
        }
        left = {
            vm
            for vm, member in self.members_by_vm.items()
            if _data_centre(members, vm) != member.data_centre
        }
        self.members_by_vm = members
        joined = [members[vm] for vm in joined_vms]
        for name, topology in self.tier.table.topologies.items():
            previous = self.last_wanted.get(name)
            changed = (
                previous is None or previous.generation != topology.generation
            )
            if changed or joined or left:
                self._choose(name, topology, joined, left)
        self._check_membership()

    def _choose(
        self,
        name: str,
        topology: ServiceTopology,
        joined: list[Member],
        left: set[str],
    ) -> None:
        """Choose the homes of one service and report a change."""
        previous = self.last_wanted.get(name)
        limits = previous.limits if previous is not None else None
        if previous is None or previous.generation != topology.generation:
            limits = _lowest_limits(topology)
        assert limits is not None
        current_homes = self.homes.get(name)
        same_limits = previous is not None and previous.limits == limits
        if (
            current_homes is not None
            and same_limits
            and left.isdisjoint(current_homes)
        ):
            # While all homes remain, a member that is not a home can't
            # become one: only new members compete with the homes.
            candidates = [
                self.members_by_vm[vm] for vm in current_homes
            ] + joined
        else:
            candidates = list(self.members_by_vm.values())
        homes = choose_homes(name, limits, candidates)
        self.homes[name] = homes
        self.forwarding_orders.pop(name, None)
        self._send_wanted(name, limits, topology.generation)

    def _send_wanted(self, name: str, limits: Amounts, generation: int) -> None:
        """Feed whether this VM is a home of the service, after a change."""
        own = self.peers.membership.own.vm
        is_home = self.may_request_shares and own in self.homes[name]
        update = effects.ServiceWanted(name, is_home, limits, generation)
        if update == self.last_wanted.get(name):
            return
        self.last_wanted[name] = update
        # Each step of the state machine iterates over all its services, so the
        # state machine gets only services that this VM is or was a home of.
        if update.wanted or name in self.shares.services:
            self.step(update)

    def _on_list_read(self) -> None:
        self.is_list_read = True
        self._check_membership()

    def _check_membership(self) -> None:
        """Request shares once most members are known.

        A VM that knows only few members would consider itself a home of every
        service, and shares of the whole fleet would move to this VM and back.
        """
        if self.may_request_shares:
            return
        now_ms = self.clock.now_ms()
        if self.membership_due_ms is None:
            self.membership_due_ms = now_ms + MAX_MEMBERSHIP_WAIT_MS
        membership = self.peers.membership
        listed = len(membership.listing.rows)
        missing = len(membership.listing.missing_from(membership.table))
        most_known = missing <= listed * MAX_MISSING_RATIO
        if (
            not (self.is_list_read and most_known)
            and now_ms < self.membership_due_ms
        ):
            return
        self.may_request_shares = True
        for name, previous in list(self.last_wanted.items()):
            self._send_wanted(name, previous.limits, previous.generation)

    def _on_incarnation_ended(self, vm: str, incarnation: int) -> None:
        self.step(effects.ProcessEnded(vm, incarnation))

    def _on_message(self, vm: str, message: object) -> None:
        self.step(effects.Received(vm, message))

    def step(self, event: effects.SharesEvent) -> None:
        """Feed one event and carry out its effects, in order.

        An event that occurs while effects are carried out is queued.
        """
        if self.stopped:
            return
        self.queue.append(event)
        if self.is_running:
            return
        self.is_running = True
        try:
            while self.queue:
                now_ms = self.clock.now_ms()
                for effect in self.shares.step(now_ms, self.queue.popleft()):
                    self._carry_out(effect)
        finally:
            self.is_running = False

    def _carry_out(self, effect: effects.SharesEffect) -> None:
        match effect:
            case effects.GrantChanged():
                self._apply_grant(effect)
            case effects.ReadShares():
                self._read(effect)
            case effects.WriteShares():
                self._write(effect)
            case effects.SharesReturned():
                self.on_returned()
            case Send(vm, message):
                self.peers.mesh.send(vm, message)

    def _apply_grant(self, change: effects.GrantChanged) -> None:
        grant = Grant(change.slots, change.connections, change.cold)
        self.tier.apply_grant(change.service, grant)
        self.unapplied[change.service] = change.amounts
        self._report_if_applied(change.service)

    def _report_all_applied(self) -> None:
        for service in list(self.unapplied):
            self._report_if_applied(service)

    def _report_if_applied(self, service: str) -> None:
        if self.tier.trim_to_grant(service):
            amounts = self.unapplied.pop(service)
            self.step(effects.GrantApplied(service, amounts))

    def _read(self, call: effects.ReadShares) -> None:
        def on_found(stored: StoredObject) -> None:
            share_object = from_value(stored.version, stored.value)
            self.step(
                effects.SharesRead(call.service, call.ticket, share_object)
            )

        def on_failed(reason: Any) -> None:
            if _result_code(reason) is ResultCode.PLATFORM_NOT_FOUND:
                self.step(effects.SharesRead(call.service, call.ticket, None))
            else:
                self.step(effects.ReadFailed(call.service, call.ticket))

        reading = self.platform.get(KIND, call.service)
        reading.addCallbacks(on_found, on_failed)

    def _write(self, call: effects.WriteShares) -> None:
        def on_written(version: int) -> None:
            self.step(effects.SharesWritten(call.service, call.ticket, version))

        def on_failed(reason: Any) -> None:
            if _result_code(reason) is ResultCode.PLATFORM_CONFLICT:
                self.step(effects.WriteRefused(call.service, call.ticket))
            else:
                self.step(effects.WriteUnknown(call.service, call.ticket))

        writing = self.platform.put(
            KIND,
            call.service,
            to_value(call.share_object),
            call.expected_version,
        )
        writing.addCallbacks(on_written, on_failed)


def _result_code(reason: Any) -> ResultCode | None:
    if isinstance(reason.value, PlatformError):
        return reason.value.code
    return None


def _data_centre(members: Mapping[str, Member], vm: str) -> str | None:
    member = members.get(vm)
    return None if member is None else member.data_centre


def _lowest_limits(topology: ServiceTopology) -> Amounts:
    """Return the lowest limits of a service's leafs."""
    leafs = topology.leafs.values()
    return Amounts(
        min((leaf.slots for leaf in leafs), default=0),
        min((leaf.connections for leaf in leafs), default=0),
        min((leaf.cold_slots for leaf in leafs), default=0),
    )
