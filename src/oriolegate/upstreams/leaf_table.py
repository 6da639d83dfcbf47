"""All leafs known to this process, and the choice among replicas.

The table receives topologies, grants and the leafs that operators took out
of service. It does no I/O: the coordinator asks it for a replica and reports
the outcome of each request.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from oriolegate.models.topology import Leaf
from oriolegate.models.topology import ServiceTopology
from oriolegate.timeline.events import EventBuffer
from oriolegate.timeline.events import EventKind
from oriolegate.upstreams import leaf_state
from oriolegate.upstreams.leaf_state import Grant
from oriolegate.upstreams.leaf_state import LeafPhase
from oriolegate.upstreams.leaf_state import LeafState
from oriolegate.upstreams.leaf_state import NO_GRANT
from oriolegate.upstreams.leaf_state import ReportedState
from oriolegate.upstreams.messages import LeafUpdate


@attrs.define
class LeafTable:
    """The leafs of all services.

    Attributes:
        data_centre: Data centre of this process; lower latency is assumed
            for its leafs.
        events: Buffer in which changes are recorded.
        topologies: The newest topology of each service.
        leafs: Leaf states by name.
        grants: This process's share of the limits, by service.
        service_of: Service of each leaf, by leaf name.
        taken_out_data_centres: Data centres that operators took out.
        taken_out_upstreams: Upstreams that operators took out.
        covered: Cached results of `can_reach_all_shards`.
        on_phase_change: Called with a leaf whose phase was changed by an
            answer or a loss, or confirmed as cold by an answer.
    """

    data_centre: str
    events: EventBuffer
    topologies: dict[str, ServiceTopology] = attrs.field(factory=dict)
    leafs: dict[str, LeafState] = attrs.field(factory=dict)
    grants: dict[str, Grant] = attrs.field(factory=dict)
    service_of: dict[str, str] = attrs.field(factory=dict)
    taken_out_data_centres: frozenset[str] = frozenset()
    taken_out_upstreams: frozenset[str] = frozenset()
    covered: dict[str, bool] = attrs.field(factory=dict)
    on_phase_change: Callable[[LeafState], None] = lambda _: None

    def set_topology(self, now_ms: float, topology: ServiceTopology) -> bool:
        """Replace the known topology of a service by a newer one.

        Returns:
            True if the topology was replaced.
        """
        known = self.topologies.get(topology.service)
        if known is not None and known.generation >= topology.generation:
            return False
        self.topologies[topology.service] = topology
        for name, leaf in topology.leafs.items():
            self._set_leaf(topology.service, leaf, self.leafs.get(name))
        if known is not None:
            self._remove_leafs(set(known.leafs) - set(topology.leafs))
        self.events.record(
            now_ms,
            EventKind.TOPOLOGY_CHANGED,
            "",
            topology.service,
            topology.generation,
            topology.current,
        )
        return True

    def _set_leaf(
        self, service: str, leaf: Leaf, state: LeafState | None
    ) -> None:
        if state is None or _address_of(state.leaf) != _address_of(leaf):
            state = LeafState(leaf)
            if leaf.data_centre != self.data_centre:
                state.latency_ms = leaf_state.REMOTE_LATENCY_MS
            self.leafs[leaf.name] = state
        state.leaf = leaf
        state.grant = self.grants.get(service, NO_GRANT)
        self.service_of[leaf.name] = service
        self._refresh(state)

    def _remove_leafs(self, names: Iterable[str]) -> None:
        for name in names:
            self.leafs.pop(name, None)
            self.service_of.pop(name, None)

    def _refresh(self, state: LeafState) -> None:
        state.taken_out = (
            state.leaf.data_centre in self.taken_out_data_centres
            or state.leaf.upstream in self.taken_out_upstreams
        )
        state.refresh_limit()
        self.covered.clear()

    def set_grant(self, now_ms: float, service: str, grant: Grant) -> None:
        """Set this process's share of the limits of a service's leafs."""
        self.grants[service] = grant
        self.covered.clear()
        for name, owner in self.service_of.items():
            if owner == service:
                self.leafs[name].grant = grant
                self.leafs[name].refresh_limit()
        self.events.record(
            now_ms,
            EventKind.SHARES_CHANGED,
            "",
            service,
            grant.slots,
            grant.connections,
            grant.cold,
        )

    def set_taken_out(
        self, data_centres: frozenset[str], upstreams: frozenset[str]
    ) -> None:
        """Set the data centres and upstreams taken out of service."""
        self.taken_out_data_centres = data_centres
        self.taken_out_upstreams = upstreams
        for state in self.leafs.values():
            self._refresh(state)

    def record_state(
        self,
        now_ms: float,
        leaf: str,
        state: ReportedState,
        incarnation: int,
        sent_ms: float,
    ) -> None:
        """Apply the state that an answer of a leaf reports.

        Args:
            now_ms: Current time.
            leaf: Name of the leaf.
            state: Reported state.
            incarnation: Incarnation that answered.
            sent_ms: When the answered request was sent.
        """
        known = self.leafs.get(leaf)
        if known is None:
            return
        if (
            state is ReportedState.WARM
            and known.phase is LeafPhase.COLD
            and incarnation == known.incarnation
            and sent_ms <= known.reported_cold_ms
        ):
            # The answer may be older than the report that the leaf is cold.
            return
        changed = self._apply_state(now_ms, known, state, incarnation)
        # This process also treats a leaf as cold before its first answer. Peers
        # may have seen the leaf warm, so its first cold answer is reported to
        # the peers as well.
        is_cold_unreported = (
            state is ReportedState.COLD and known.must_report_cold
        )
        if is_cold_unreported:
            known.must_report_cold = False
        if changed or is_cold_unreported:
            self.on_phase_change(known)

    def _apply_state(
        self,
        now_ms: float,
        known: LeafState,
        state: ReportedState,
        incarnation: int,
    ) -> bool:
        """Apply a state; return whether the phase changed."""
        if not known.record_state(state, incarnation):
            return False
        if known.phase is LeafPhase.COLD:
            known.reported_cold_ms = now_ms
        else:
            known.must_report_cold = True
        self._record_event(now_ms, known)
        return True

    def record_success(
        self, now_ms: float, state: LeafState, latency_ms: float
    ) -> None:
        """Record a completed request of a leaf."""
        if state.record_success(latency_ms):
            self._record_event(now_ms, state)
            self.on_phase_change(state)

    def apply_update(self, now_ms: float, update: LeafUpdate) -> None:
        """Apply the state of a leaf that another VM observed.

        A leaf that another VM has warmed starts warming here as well. An
        update from an older incarnation than known here is dropped.
        """
        known = self.leafs.get(update.leaf)
        if known is None or update.incarnation < known.incarnation:
            return
        # After this process lost a connection to the leaf, an update of the
        # same incarnation may be older than the loss; only a newer
        # incarnation shows that the leaf is warm.
        if (
            update.state is ReportedState.WARM
            and known.lost_incarnation >= update.incarnation
        ):
            return
        self._apply_state(now_ms, known, update.state, update.incarnation)

    def record_loss(self, now_ms: float, leaf: str) -> None:
        """Record a lost connection to a leaf."""
        known = self.leafs.get(leaf)
        if known is not None:
            known.record_loss(now_ms)
            known.must_report_cold = True
            self._record_event(now_ms, known)
            self.on_phase_change(known)

    def _record_event(self, now_ms: float, state: LeafState) -> None:
        self.covered.clear()
        self.events.record(
            now_ms,
            EventKind.LEAF_STATE,
            "",
            state.leaf.name,
            state.phase.value,
            state.incarnation,
            state.limit,
        )

    def choose(
        self,
        now_ms: float,
        replicas: Iterable[str],
        avoid: Mapping[str, object] | set[str],
        preferred_upstream: str | None = None,
    ) -> LeafState | None:
        """Choose the replica for one sub-request.

        Among the replicas that can accept a request now, the one with the
        lowest expected wait is chosen: requests in flight plus this one,
        times the average latency.

        Args:
            now_ms: Current time.
            replicas: Names of the leafs that have the shard.
            avoid: Names of leafs that must not be chosen.
            preferred_upstream: Upstream chosen over others if one of its
                replicas can accept a request.

        Returns:
            A leaf that can accept a request now, or None.
        """
        best: LeafState | None = None
        best_cost = 0.0
        leafs = self.leafs
        for name in replicas:
            state = leafs.get(name)
            if (
                state is None
                or state.in_flight >= state.limit
                or now_ms < state.suspect_until_ms
                or name in avoid
            ):
                continue
            if state.leaf.upstream == preferred_upstream:
                return state
            cost = (state.in_flight + 1) * state.latency_ms
            if best is None or cost < best_cost:
                best = state
                best_cost = cost
        return best

    def can_reach_all_shards(self, service: str) -> bool:
        """Return whether each shard of the current version can be queried.

        A VM without cold slots can't query a shard whose replicas are all
        cold.
        """
        covered = self.covered.get(service)
        if covered is None:
            covered = self._covers(service)
            self.covered[service] = covered
        return covered

    def _covers(self, service: str) -> bool:
        topology = self.topologies.get(service)
        if topology is None:
            return False
        leafs = self.leafs
        return all(
            any(leafs[name].limit > 0 for name in names if name in leafs)
            for names in topology.versions[topology.current].shards
        )

    def has_usable_replica(
        self, replicas: Iterable[str], avoid: Mapping[str, object] | set[str]
    ) -> bool:
        """Return whether a replica can accept work once a slot is free."""
        for name in replicas:
            state = self.leafs.get(name)
            if state is not None and state.limit > 0 and name not in avoid:
                return True
        return False

    def has_recoverable_replica(
        self, replicas: Iterable[str], avoid: Mapping[str, object] | set[str]
    ) -> bool:
        """Return whether a replica may accept work after it recovers."""
        for name in replicas:
            state = self.leafs.get(name)
            if state is not None and state.can_recover() and name not in avoid:
                return True
        return False


def _address_of(leaf: Leaf) -> tuple[str, int]:
    return leaf.host, leaf.port
