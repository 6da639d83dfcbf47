"""A whole site in virtual time: leafs, platform and entry VMs.

It is a set of fakes at the product's interfaces: the network has latencies
and connection costs, and loses nothing but what a fault takes away.
"""

from collections.abc import Callable
import functools
from typing import Any

from oriolegate.measurement.far_side import FarSide
from oriolegate.measurement.sides import Side
from oriolegate.measurement.virtual_time import MS_PER_S
from oriolegate.measurement.virtual_time import VirtualReactor
from oriolegate.measurement.virtual_upstreams import VirtualLeaf
from oriolegate.measurement.virtual_vm import UnclaimedGate
from oriolegate.measurement.virtual_vm import VirtualVm
from oriolegate.measurement.warmth_relay import WarmthRelay
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
        reactor: The time of all.
        store: The platform's store.
        site: The leaf models and what is published of them.
        control: Faults of the leafs.
        far_side: What arrived and ran at the leafs.
        vms: The entry VMs.
        shards_of_version: Shards of each version ever published.
    """

    def __init__(
        self,
        layout: Layout,
        vm_data_centres: tuple[str, ...],
        side: Side,
        seed: int,
    ) -> None:
        self.reactor = VirtualReactor()
        self.store = PlatformStore()
        self.site = Site(layout, self.store, FIRST_PORT, seed)
        self.control = SiteControl(self.site)
        self.far_side = FarSide()
        self.site.ledger = self.far_side
        self.side = side
        self.shards_of_version: dict[int, int] = {}
        self.note_versions()
        self.put_rules(side.rules)
        leafs = self._virtual_leafs()
        self.vms = [
            self._vm(number, data_centre, leafs, seed)
            for number, data_centre in enumerate(vm_data_centres)
        ]

    @property
    def service(self) -> str:
        """The service that is measured: the first of the layout."""
        return self.site.layout.services[0].name

    def _virtual_leafs(self) -> dict[int, VirtualLeaf]:
        leafs = {}
        servers: dict[str, Any] = self.site.servers
        for name, row in self.site.leafs.items():
            row.model.ledger = self.far_side
            leaf = VirtualLeaf(
                row.model, row.data_centre, self.reactor, self.far_side
            )
            servers[name] = leaf
            leafs[row.port] = leaf
        return leafs

    def _vm(
        self,
        number: int,
        data_centre: str,
        leafs: dict[int, VirtualLeaf],
        seed: int,
    ) -> VirtualVm:
        layout = self.site.layout
        latencies_ms = {
            there: layout.latency_ms(data_centre, there)
            for there in layout.regions
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
            vm.flow.claims = UnclaimedGate()
        vm.on_topology = functools.partial(self._grant, vm, number)
        return vm

    def _grant(self, vm: VirtualVm, number: int, service: str) -> None:
        topology = vm.tier.table.topologies[service]
        leaf = next(iter(topology.leafs.values()))
        grant = self.side.grants(number, len(self.vms), leaf)
        if vm.tier.table.grants.get(service) != grant:
            vm.tier.apply_grant(service, grant)

    def start(self) -> None:
        """Start all VMs."""
        for vm in self.vms:
            vm.start()
        if len(self.vms) > 1:
            WarmthRelay(self.vms, self.site.layout.latency_ms).start()

    def note_versions(self) -> None:
        """Remember the shards of each version of the measured service."""
        state = self.site.services[self.service]
        for version, shard_map in state.shard_maps.items():
            self.shards_of_version[version] = len(shard_map)

    def publish(self, version: int, shards: int) -> None:
        """Publish an index version of the measured service."""
        self.site.publish(self.service, version, shards)
        self.note_versions()

    def put_rules(self, text: str) -> None:
        """Write a version of the rules to the store."""
        version = self.store.version_of(RULES_KIND, ACCEPTED_NAME)
        self.store.put(RULES_KIND, ACCEPTED_NAME, {"text": text}, version)

    def order(self, action: str, **fields: Any) -> None:
        """Carry out an action of `SiteControl` on leafs."""
        order = {"action": action, **fields}
        self.control.act_on_leafs(self.reactor.now_ms(), order)

    def later(self, at_ms: float, call: Callable[..., Any], *args: Any) -> None:
        """Make a call at a time."""
        delay_ms = at_ms - self.reactor.now_ms()
        self.reactor.callLater(delay_ms / MS_PER_S, call, *args)

    def last_arrival_ms(self, **named: Any) -> float:
        """Return when the last sub-request reached the named leafs."""
        seen = self.far_side.last_arrival_ms
        return max(
            (
                seen.get(leaf.model.settings.name, 0.0)
                for leaf in self.site.leafs_of(**named)
            ),
            default=0.0,
        )
