"""Exchange updates about the phases of leafs with the other homes of a service.

A home without cold slots sends nothing to a cold leaf until a home that has
cold slots has warmed the leaf and sent an update. Changes are sent at once,
and the updates of warm leafs are repeated at intervals. The homes of a service
are the VMs that hold shares of its leafs and connections to these leafs.
"""

from collections.abc import Callable
from typing import Any

from oriolegate.clock import Clock
from oriolegate.runtime.peer_runner import PeerRunner
from oriolegate.runtime.query_tier import QueryTier
from oriolegate.runtime.share_runner import ShareRunner
from oriolegate.upstreams.leaf_state import LeafPhase
from oriolegate.upstreams.leaf_state import LeafState
from oriolegate.upstreams.leaf_state import ReportedState
from oriolegate.upstreams.messages import LeafUpdate
from oriolegate.upstreams.messages import LeafUpdates

FLUSH_S = 0.02  # changes within this time share a message
REPEAT_S = 2.0  # interval at which updates of warm leafs are repeated

REPORTED_STATES = {
    LeafPhase.WARM: ReportedState.WARM,
    LeafPhase.COLD: ReportedState.COLD,
    LeafPhase.DRAINING: ReportedState.DRAINING,
}


class LeafUpdateRunner:
    """Sends and receives the leaf updates of one process.

    Attributes:
        unsent: Leafs whose phase changed since the last flush.
    """

    def __init__(
        self,
        peers: PeerRunner,
        shares: ShareRunner,
        tier: QueryTier,
        clock: Clock,
        call_later: Callable[..., Any],
    ) -> None:
        self.peers = peers
        self.shares = shares
        self.tier = tier
        self.clock = clock
        self.call_later = call_later
        self.unsent: set[str] = set()
        self.flush_timer: Any = None
        self.repeat_timer: Any = None
        tier.table.on_phase_change = self._on_phase_changed
        peers.handlers[LeafUpdates] = self._on_message

    def start(self) -> None:
        """Repeat updates at intervals, for homes that missed a message."""
        self.repeat_timer = self.call_later(REPEAT_S, self._repeat)

    def stop(self) -> None:
        """Stop sending updates."""
        for timer in (self.flush_timer, self.repeat_timer):
            if timer is not None and timer.active():
                timer.cancel()

    def _on_phase_changed(self, state: LeafState) -> None:
        self.unsent.add(state.leaf.name)
        if self.flush_timer is None:
            self.flush_timer = self.call_later(FLUSH_S, self._flush)

    def _flush(self) -> None:
        self.flush_timer = None
        names = self.unsent
        self.unsent = set()
        self._send(names)

    def _repeat(self) -> None:
        self.repeat_timer = self.call_later(REPEAT_S, self._repeat)
        names = {
            name
            for name, state in self.tier.table.leafs.items()
            if state.phase is LeafPhase.WARM and state.grant.slots > 0
        }
        self._send(names)

    def _send(self, names: set[str]) -> None:
        by_service: dict[str, list[LeafUpdate]] = {}
        table = self.tier.table
        for name in names:
            state = table.leafs.get(name)
            if state is None or state.phase not in REPORTED_STATES:
                continue
            update = LeafUpdate(
                name, REPORTED_STATES[state.phase], state.incarnation
            )
            by_service.setdefault(table.service_of[name], []).append(update)
        for service, rows in by_service.items():
            message = LeafUpdates(tuple(rows))
            for vm in self.shares.forwarding_order(service):
                self.peers.mesh.send(vm, message)

    def _on_message(self, vm: str, message: LeafUpdates) -> None:
        now_ms = self.clock.now_ms()
        for update in message.updates:
            self.tier.table.apply_update(now_ms, update)
        self.tier.capacity_changed()
