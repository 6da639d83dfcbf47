"""The parts that serve callers' requests, and updates of their configuration.

Topologies, rules and grants of shares are applied in one place, so that a
request sees one consistent state.
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

# Time for which other homes may still be warming the leafs of a service after
# this process got its first slots.
FIRST_WARMING_MS = 15_000.0

log = get_logger("tier")


class QueryTier:
    """Applies topologies, rules and grants to the query path of a process.

    Attributes:
        accepted: The rules in force, or None.
        granted_since_ms: Time since which this process holds slots, by service.
        on_topology: Called after a newer topology was applied.
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
        self.granted_since_ms: dict[str, float] = {}
        self.on_topology: Callable[[], None] = lambda: None

    @property
    def rules(self) -> ActiveRules | None:
        """The compiled rules in force, or None."""
        return self.flow.state.rules

    def apply_topology(self, topology: ServiceTopology) -> bool:
        """Apply a topology if it is newer than the present one.

        Returns:
            True if the topology was applied.
        """
        previous = self.table.topologies.get(topology.service)
        if not self.table.set_topology(self.clock.now_ms(), topology):
            return False
        for leaf in topology.leafs.values():
            self.client.set_leaf(leaf)
        if previous is not None:
            for name in set(previous.leafs) - set(topology.leafs):
                self.client.remove_leaf(name)
        self.on_topology()
        self.runner.feed(CapacityChanged())
        return True

    def apply_rules(self, accepted: AcceptedRules) -> bool:
        """Apply a version of the rules if it is newer than the present one.

        Returns:
            True if the version was applied.
        """
        if self.accepted and self.accepted.version >= accepted.version:
            return False
        parsed = parse_rule_set(accepted.version, accepted.text)
        if parsed.is_error():
            # An accepted version was checked before it was written, so text
            # that can't be parsed here comes from a newer release.
            log.error(
                "Rules version {} can't be parsed by this release; keeping"
                " the previous version.",
                accepted.version,
            )
            return False
        wall_ms = self.clock.wall_ms()
        self.accepted = accepted
        self.flow.state.rules = compile_rules(parsed.ok, wall_ms)
        self.flow.trials.rules_changed(parsed.ok)
        self._apply_take_outs()
        self.runner.coordinator.state.events.record(
            self.clock.now_ms(), EventKind.RULES_ACCEPTED, "", accepted.version
        )
        log.info("Rules version {} is in force.", accepted.version)
        return True

    def tick(self) -> None:
        """Deactivate rules whose end time has passed."""
        rules = self.rules
        if rules is not None and rules.refresh(self.clock.wall_ms()):
            self._apply_take_outs()

    def _apply_take_outs(self) -> None:
        rules = self.rules
        assert rules is not None
        self.table.set_taken_out(rules.out_data_centres, rules.out_upstreams)
        self.runner.feed(CapacityChanged())

    def apply_grant(self, service: str, grant: Grant) -> None:
        """Apply this process's share of the limits of a service's leafs."""
        if grant.slots <= 0:
            self.granted_since_ms.pop(service, None)
        else:
            self.granted_since_ms.setdefault(service, self.clock.now_ms())
        self.table.set_grant(self.clock.now_ms(), service, grant)
        self.runner.feed(CapacityChanged())

    def capacity_changed(self) -> None:
        """Send waiting sub-requests after leaf states were updated."""
        self.runner.feed(CapacityChanged())

    def trim_to_grant(self, service: str) -> bool:
        """Return whether current use is within the service's grant.

        Idle connections in excess of the grant are closed first.
        """
        grant = self.table.grants.get(service)
        topology = self.table.topologies.get(service)
        if grant is None or topology is None:
            return True
        is_within_grant = True
        for name in topology.leafs:
            pool = self.client.pools.get(name)
            if pool is not None:
                pool.trim(grant.connections)
                is_within_grant = (
                    is_within_grant and pool.size <= grant.connections
                )
            state = self.table.leafs[name]
            allowed = grant.slots
            if state.phase is LeafPhase.COLD:
                allowed = min(grant.cold, grant.slots)
            is_within_grant = is_within_grant and state.in_flight <= allowed
        return is_within_grant

    def can_run(self, service: str) -> bool:
        """Return whether this process should run the service's requests.

        The process must hold slots of the service. For `FIRST_WARMING_MS`
        after receiving its first slots, the process must also reach every
        shard: until the VM that holds the cold slots (the right to send to
        cold leafs) has reported warm leafs, that VM serves a query better.
        """
        grant = self.table.grants.get(service)
        if grant is None or min(grant.slots, grant.connections) <= 0:
            return False
        if grant.cold > 0 or self.table.can_reach_all_shards(service):
            return True
        granted_for_ms = self.clock.now_ms() - self.granted_since_ms[service]
        return granted_for_ms > FIRST_WARMING_MS
