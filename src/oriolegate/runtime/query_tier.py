"""The query path of one process: what the core knows and who feeds it.

Takes topologies, rules and grants from the parts that follow them, and puts
them in force in one place, so that a request meets one consistent state.
"""

from collections.abc import Callable

from oriolegate.clock import Clock
from oriolegate.coordinator.messages import CapacityChanged
from oriolegate.logging_setup import get_logger
from oriolegate.models.topology import ServiceTopology
from oriolegate.network.upstream_client import UpstreamClient
from oriolegate.rules.evaluation import ActiveRules
from oriolegate.rules.evaluation import compile_rules
from oriolegate.rules.model import AcceptedRules
from oriolegate.rules.parser import parse_rule_set
from oriolegate.runtime.query_runner import QueryRunner
from oriolegate.runtime.request_flow import RequestFlow
from oriolegate.timeline.events import EventKind
from oriolegate.upstreams.leaf_state import Grant
from oriolegate.upstreams.leaf_state import LeafPhase
from oriolegate.upstreams.leaf_table import LeafTable

FIRST_WARMING_MS = 15_000.0

log = get_logger("tier")


class QueryTier:
    """Puts topologies, rules and grants in force in one process.

    Attributes:
        accepted: The accepted rules in force, or None.
        granted_ms: When slots of a service were first granted.
        on_topology: Called after a newer topology is in force.
    """

    def __init__(
        self,
        clock: Clock,
        table: LeafTable,
        runner: QueryRunner,
        client: UpstreamClient,
        flow: RequestFlow,
    ) -> None:
        self.clock = clock
        self.table = table
        self.runner = runner
        self.client = client
        self.flow = flow
        self.accepted: AcceptedRules | None = None
        self.granted_ms: dict[str, float] = {}
        self.on_topology: Callable[[], None] = lambda: None

    @property
    def rules(self) -> ActiveRules | None:
        """The rules in force."""
        return self.flow.state.rules

    def take_topology(self, topology: ServiceTopology) -> bool:
        """Put a topology in force unless a newer one is.

        Returns:
            True if it is now in force.
        """
        held = self.table.topologies.get(topology.service)
        if not self.table.set_topology(self.clock.now_ms(), topology):
            return False
        for leaf in topology.leafs.values():
            self.client.set_leaf(leaf)
        if held is not None:
            for name in set(held.leafs) - set(topology.leafs):
                self.client.remove_leaf(name)
        self.on_topology()
        self.runner.feed(CapacityChanged())
        return True

    def take_rules(self, accepted: AcceptedRules) -> bool:
        """Put a version of the rules in force unless a newer one is.

        Returns:
            True if it is now in force.
        """
        if self.accepted and self.accepted.version >= accepted.version:
            return False
        parsed = parse_rule_set(accepted.version, accepted.text)
        if parsed.is_error():
            # An accepted version was checked before it was written; text
            # that can't be read here comes from a newer program.
            log.error("Rules {} can't be read here.", accepted.version)
            return False
        wall_ms = self.clock.wall_ms()
        self.accepted = accepted
        self.flow.state.rules = compile_rules(parsed.ok, wall_ms)
        self.flow.trials.rules_changed(parsed.ok)
        self._apply_take_outs()
        self.runner.coordinator.state.events.record(
            self.clock.now_ms(), EventKind.RULES_ACCEPTED, "", accepted.version
        )
        log.info("Rules {} are in force.", accepted.version)
        return True

    def tick(self) -> None:
        """Put rules out of force whose end has passed."""
        rules = self.rules
        if rules is not None and rules.refresh(self.clock.wall_ms()):
            self._apply_take_outs()

    def _apply_take_outs(self) -> None:
        rules = self.rules
        assert rules is not None
        self.table.set_taken_out(rules.out_data_centres, rules.out_upstreams)
        self.runner.feed(CapacityChanged())

    def take_grant(self, service: str, grant: Grant) -> None:
        """Put this process's part of a service's limits in force."""
        if grant.slots <= 0:
            self.granted_ms.pop(service, None)
        else:
            self.granted_ms.setdefault(service, self.clock.now_ms())
        self.table.set_grant(self.clock.now_ms(), service, grant)
        self.runner.feed(CapacityChanged())

    def capacity_changed(self) -> None:
        """Send what waits, after leaf states changed outside a query."""
        self.runner.feed(CapacityChanged())

    def fits_grant(self, service: str) -> bool:
        """Return whether what is in use fits in the service's grant.

        Connections that are free and beyond the grant are closed first.
        """
        grant = self.table.grants.get(service)
        topology = self.table.topologies.get(service)
        if grant is None or topology is None:
            return True
        fits = True
        for name in topology.leafs:
            pool = self.client.pools.get(name)
            if pool is not None:
                pool.trim(grant.connections)
                fits = fits and pool.size <= grant.connections
            state = self.table.leafs[name]
            allowed = grant.slots
            if state.phase is LeafPhase.COLD:
                allowed = min(grant.cold, grant.slots)
            fits = fits and state.in_flight <= allowed
        return fits

    def can_run(self, service: str) -> bool:
        """Return whether this process should run the service's requests.

        It must hold slots. For some time after it got them it must also
        reach every shard: until the holder of cold slots has told of warm
        leafs, a query is better off there.
        """
        grant = self.table.grants.get(service)
        if grant is None or min(grant.slots, grant.connections) <= 0:
            return False
        if grant.cold > 0 or self.table.can_reach_all_shards(service):
            return True
        held_ms = self.clock.now_ms() - self.granted_ms[service]
        return held_ms > FIRST_WARMING_MS
