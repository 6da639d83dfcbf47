"""All leafs known to this process, and the choice among replicas.

The table is told of topologies, grants and what operators took out. It never
sends anything: the coordinator asks it for a replica and reports what came
of each request.
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
from oriolegate.upstreams.messages import LeafNews


@attrs.define
class LeafTable:
    """The leafs of all services.

    Attributes:
        data_centre: Where this process runs; its leafs are expected faster.
        events: Where changes are recorded.
        topologies: The newest topology of each service.
        leafs: Leaf states by name.
        grants: This process's part of the limits, by service.
        covered: Cached results of `covers`.
        on_phase: Called with a leaf whose phase an answer or a loss changed.
    """

    data_centre: str
    events: EventBuffer
    topologies: dict[str, ServiceTopology] = attrs.field(factory=dict)
    leafs: dict[str, LeafState] = attrs.field(factory=dict)
    grants: dict[str, Grant] = attrs.field(factory=dict)
    service_of: dict[str, str] = attrs.field(factory=dict)
    out_data_centres: frozenset[str] = frozenset()
    out_upstreams: frozenset[str] = frozenset()
    covered: dict[str, bool] = attrs.field(factory=dict)
    on_phase: Callable[[LeafState], None] = lambda _: None

    def set_topology(self, now_ms: float, topology: ServiceTopology) -> bool:
        """Take over a topology unless a newer one is held.

        Returns:
            True if it was taken over.
        """
        held = self.topologies.get(topology.service)
        if held is not None and held.generation >= topology.generation:
            return False
        self.topologies[topology.service] = topology
        for name, leaf in topology.leafs.items():
            self._set_leaf(topology.service, leaf, self.leafs.get(name))
        if held is not None:
            self._remove_leafs(set(held.leafs) - set(topology.leafs))
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
        if state is None or _address(state.leaf) != _address(leaf):
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
            state.leaf.data_centre in self.out_data_centres
            or state.leaf.upstream in self.out_upstreams
        )
        state.refresh_limit()
        self.covered.clear()

    def set_grant(self, now_ms: float, service: str, grant: Grant) -> None:
        """Set this process's part of the limits of a service's leafs."""
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
        """Set what operators have taken out of service."""
        self.out_data_centres = data_centres
        self.out_upstreams = upstreams
        for state in self.leafs.values():
            self._refresh(state)

    def note_state(
        self,
        now_ms: float,
        leaf: str,
        state: ReportedState,
        incarnation: int,
        sent_ms: float,
    ) -> None:
        """Take in the state that an answer of a leaf reports.

        Args:
            now_ms: The time.
            leaf: The leaf's name.
            state: What it reports.
            incarnation: The incarnation that answered.
            sent_ms: When the request that it answers was sent.
        """
        held = self.leafs.get(leaf)
        if held is None:
            return
        if (
            state is ReportedState.WARM
            and held.phase is LeafPhase.COLD
            and incarnation == held.incarnation
            and sent_ms <= held.told_cold_ms
        ):
            # Written before the leaf turned cold and read after the news.
            return
        changed = self._take_state(now_ms, held, state, incarnation)
        # A leaf may be cold here for want of a warm answer while peers, which
        # had some, hold it for warm: they are told although nothing changed.
        is_news = state is ReportedState.COLD and held.cold_is_news
        if is_news:
            held.cold_is_news = False
        if changed or is_news:
            self.on_phase(held)

    def _take_state(
        self,
        now_ms: float,
        held: LeafState,
        state: ReportedState,
        incarnation: int,
    ) -> bool:
        """Take in a state; return whether the phase changed."""
        if not held.note_state(state, incarnation):
            return False
        if held.phase is LeafPhase.COLD:
            held.told_cold_ms = now_ms
        else:
            held.cold_is_news = True
        self._record(now_ms, held)
        return True

    def note_success(
        self, now_ms: float, state: LeafState, latency_ms: float
    ) -> None:
        """Take in a completed request of a leaf."""
        if state.note_success(latency_ms):
            self._record(now_ms, state)
            self.on_phase(state)

    def take_news(self, now_ms: float, news: LeafNews) -> None:
        """Take in what another VM saw of a leaf.

        A leaf that another VM has warmed is ramped here as well. News of an
        incarnation older than the one known here are dropped.
        """
        held = self.leafs.get(news.leaf)
        if held is None or news.incarnation < held.incarnation:
            return
        # After a loss seen here, news of the same incarnation may be older
        # than the loss; only a newer one shows that the leaf is warm again.
        if (
            news.state is ReportedState.WARM
            and held.lost_incarnation >= news.incarnation
        ):
            return
        self._take_state(now_ms, held, news.state, news.incarnation)

    def note_loss(self, now_ms: float, leaf: str) -> None:
        """Take in a lost connection to a leaf."""
        held = self.leafs.get(leaf)
        if held is not None:
            held.note_loss(now_ms)
            held.cold_is_news = True
            self._record(now_ms, held)
            self.on_phase(held)

    def _record(self, now_ms: float, state: LeafState) -> None:
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

        Among the replicas that accept work now, the one with the least
        expected wait (in flight, times the latency seen here) is chosen.

        Args:
            now_ms: The time.
            replicas: Names of the leafs that hold the shard.
            avoid: Names of leafs not to be chosen.
            preferred_upstream: Chosen over others where it accepts work.

        Returns:
            A leaf that accepts work now, or None.
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

    def covers(self, service: str) -> bool:
        """Return whether each shard of the current version may be sent now.

        A home that holds no cold slot can't reach a shard whose replicas
        are all cold.
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

    def any_usable(
        self, replicas: Iterable[str], avoid: Mapping[str, object] | set[str]
    ) -> bool:
        """Return whether some replica accepts work once a slot is free."""
        for name in replicas:
            state = self.leafs.get(name)
            if state is not None and state.limit > 0 and name not in avoid:
                return True
        return False

    def any_recoverable(
        self, replicas: Iterable[str], avoid: Mapping[str, object] | set[str]
    ) -> bool:
        """Return whether some replica may accept work after it recovers."""
        for name in replicas:
            state = self.leafs.get(name)
            if state is not None and state.recoverable() and name not in avoid:
                return True
        return False


def _address(leaf: Leaf) -> tuple[str, int]:
    return leaf.host, leaf.port
