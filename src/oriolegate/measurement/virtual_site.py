"""A site in virtual time: leafs, platform and entry VMs.

The module replaces the network, leafs and platform behind the product's
interfaces. The network has latencies and connection costs, and loses messages
only because of an injected fault.
"""

from collections.abc import Callable
import functools
from typing import Any

from oriolegate.measurement.leaf_update_relay import LeafUpdateRelay
from oriolegate.measurement.request_ledger import RequestLedger
from oriolegate.measurement.scenario_sides import ScenarioSide
from oriolegate.measurement.virtual_time import MS_PER_S
from oriolegate.measurement.virtual_time import VirtualReactor
from oriolegate.measurement.virtual_upstreams import VirtualLeaf
from oriolegate.measurement.virtual_vm import NoClaimGate
from oriolegate.measurement.virtual_vm import VirtualVm
from oriolegate.standins.layout import Layout
from oriolegate.standins.platform_store import PlatformStore
from oriolegate.standins.site import Site
from oriolegate.standins.site_control import SiteControl

FIRST_PORT = 10_000
RULES_KIND = "rules"
ACCEPTED_NAME = "accepted"


class VirtualSite:
    """A site and its entry VMs.

    Attributes:
        reactor: Virtual time of all leafs and VMs.
        store: Store of the platform.
        leaf_site: Leaf models and their published topology.
        control: Injects faults into the leafs.
        ledger: Record of what the leafs received and ran.
        side: Settings of the scenario's side.
        vms: Entry VMs.
        shards_of_version: Number of shards of each index version of the
            measured service that was ever published.
    """

    def __init__(
        self,
        layout: Layout,
        vm_data_centres: tuple[str, ...],
        side: ScenarioSide,
        seed: int,
    ) -> None:
        self.reactor = VirtualReactor()
        self.store = PlatformStore()
        self.leaf_site = Site(layout, self.store, FIRST_PORT, seed)
        self.control = SiteControl(self.leaf_site)
        self.ledger = RequestLedger()
        self.leaf_site.ledger = self.ledger
        self.side = side
        self.shards_of_version: dict[int, int] = {}
        self.record_versions()
        self.put_rules(side.rules)
        leafs = self._virtual_leafs()
        self.vms = [
            self._vm(number, data_centre, leafs, seed)
            for number, data_centre in enumerate(vm_data_centres)
        ]

    @property
    def service(self) -> str:
        """Name of the measured service: the first one of the layout."""
        return self.leaf_site.layout.services[0].name

    def _virtual_leafs(self) -> dict[int, VirtualLeaf]:
        leafs = {}
        servers: dict[str, Any] = self.leaf_site.servers
        for name, site_leaf in self.leaf_site.leafs.items():
            site_leaf.model.ledger = self.ledger
            leaf = VirtualLeaf(
                site_leaf.model,
                site_leaf.data_centre,
                self.reactor,
                self.ledger,
            )
            servers[name] = leaf
            leafs[site_leaf.port] = leaf
        return leafs

    def _vm(
        self,
        number: int,
        data_centre: str,
        leafs: dict[int, VirtualLeaf],
        seed: int,
    ) -> VirtualVm:
        layout = self.leaf_site.layout
        latencies_ms = {
            leaf_data_centre: layout.latency_ms(data_centre, leaf_data_centre)
            for leaf_data_centre in layout.regions
        }
        vm = VirtualVm(
            f"vm-{number + 1}",
            data_centre,
            self.reactor,
            self.store,
            leafs,
            latencies_ms,
            seed + number,
        )
        if not self.side.claims:
            vm.flow.claims = NoClaimGate()
        vm.on_topology = functools.partial(self._grant, vm, number)
        return vm

    def _grant(self, vm: VirtualVm, number: int, service: str) -> None:
        topology = vm.tier.table.topologies[service]
        leaf = next(iter(topology.leafs.values()))
        grant = self.side.grants(number, len(self.vms), leaf)
        if vm.tier.table.grants.get(service) != grant:
            vm.tier.apply_grant(service, grant)

    def start(self) -> None:
        """Start all VMs, and the exchange of leaf states between them."""
        for vm in self.vms:
            vm.start()
        if len(self.vms) > 1:
            LeafUpdateRelay(self.vms, self.leaf_site.layout.latency_ms).start()

    def record_versions(self) -> None:
        """Record the number of shards of each published version."""
        state = self.leaf_site.services[self.service]
        for version, shard_map in state.shard_maps.items():
            self.shards_of_version[version] = len(shard_map)

    def publish(self, version: int, shards: int) -> None:
        """Publish an index version of the measured service."""
        self.leaf_site.publish(self.service, version, shards)
        self.record_versions()

    def put_rules(self, text: str) -> None:
        """Write the next version of the rules to the store."""
        version = self.store.version_of(RULES_KIND, ACCEPTED_NAME)
        self.store.put(RULES_KIND, ACCEPTED_NAME, {"text": text}, version)

    def act_on_leafs(self, action: str, **fields: Any) -> None:
        """Carry out an action of `SiteControl` on leafs."""
        command = {"action": action, **fields}
        self.control.act_on_leafs(self.reactor.now_ms(), command)

    def call_at(
        self, at_ms: float, call: Callable[..., Any], *args: Any
    ) -> None:
        """Schedule a call at a time."""
        delay_ms = at_ms - self.reactor.now_ms()
        self.reactor.callLater(delay_ms / MS_PER_S, call, *args)

    def last_arrival_ms(self, **criteria: Any) -> float:
        """Return the time of the last sub-request's arrival at some leafs.

        Args:
            criteria: Choose the leafs, as in `Site.leafs_of`.

        Returns:
            The time, or 0 if the leafs never received a sub-request.
        """
        arrivals_ms = self.ledger.last_arrival_ms
        return max(
            (
                arrivals_ms.get(leaf.model.settings.name, 0.0)
                for leaf in self.leaf_site.leafs_of(**criteria)
            ),
            default=0.0,
        )
