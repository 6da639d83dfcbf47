"""Tells the other homes of a service what leafs have shown here.

A home that holds no cold slot sends nothing to a leaf until a home that does
has warmed it and says so. Cold and draining leafs are told of at once.
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

FLUSH_S = 0.02
REPEAT_S = 2.0

REPORTED = {
    LeafPhase.WARM: ReportedState.WARM,
    LeafPhase.COLD: ReportedState.COLD,
    LeafPhase.DRAINING: ReportedState.DRAINING,
}


class LeafNewsRunner:
    """The exchange of leaf states of one process.

    Attributes:
        fresh: Leafs whose phase changed and was not told yet.
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
        self.fresh: set[str] = set()
        self.flush_timer: Any = None
        self.repeat_timer: Any = None
        tier.table.on_phase_change = self._changed
        peers.handlers[LeafUpdates] = self._received

    def start(self) -> None:
        """Begin to repeat news, for homes that missed some."""
        self.repeat_timer = self.call_later(REPEAT_S, self._repeat)

    def stop(self) -> None:
        """Stop telling."""
        for timer in (self.flush_timer, self.repeat_timer):
            if timer is not None and timer.active():
                timer.cancel()

    def _changed(self, state: LeafState) -> None:
        self.fresh.add(state.leaf.name)
        if self.flush_timer is None:
            self.flush_timer = self.call_later(FLUSH_S, self._flush)

    def _flush(self) -> None:
        self.flush_timer = None
        names = self.fresh
        self.fresh = set()
        self._tell(names)

    def _repeat(self) -> None:
        self.repeat_timer = self.call_later(REPEAT_S, self._repeat)
        names = {
            name
            for name, state in self.tier.table.leafs.items()
            if state.phase is LeafPhase.WARM and state.grant.slots > 0
        }
        self._tell(names)

    def _tell(self, names: set[str]) -> None:
        by_service: dict[str, list[LeafUpdate]] = {}
        table = self.tier.table
        for name in names:
            state = table.leafs.get(name)
            if state is None or state.phase not in REPORTED:
                continue
            updates = LeafUpdate(name, REPORTED[state.phase], state.incarnation)
            by_service.setdefault(table.service_of[name], []).append(updates)
        for service, rows in by_service.items():
            message = LeafUpdates(tuple(rows))
            for vm in self.shares.forwarding_order(service):
                self.peers.mesh.send(vm, message)

    def _received(self, vm: str, message: LeafUpdates) -> None:
        now_ms = self.clock.now_ms()
        for updates in message.updates:
            self.tier.table.apply_update(now_ms, updates)
        self.tier.capacity_changed()
