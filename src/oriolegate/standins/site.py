"""All emulated leafs of a layout, and the topology that is published.

`Site` needs no sockets, so a test can drive its leaf models directly;
`listen` serves each leaf on its own port.
"""

from collections.abc import Iterable
import functools
import itertools
import random
from typing import Any

import attrs

from oriolegate.standins.layout import Layout
from oriolegate.standins.layout import ServiceLayout
from oriolegate.standins.leaf_messages import LeafSettings
from oriolegate.standins.leaf_model import LeafModel
from oriolegate.standins.leaf_server import LeafServer
from oriolegate.standins.platform_store import PlatformStore
from oriolegate.standins.run_ledger import RunLedger

TOPOLOGY_KIND = "topology"
FIRST_VERSION = 1
# Time that a message on loopback waits in the event loops of its sender and its
# receiver, in addition to the emulated one-way latency.
LOOPBACK_DELAY_MS = 5.0


@attrs.define
class SiteLeaf:
    """One leaf and its location; the port is 0 until a port is chosen."""

    service: str
    upstream: str
    data_centre: str
    port: int
    model: LeafModel


@attrs.define
class PublishedService:
    """Published index versions of one service.

    Attributes:
        layout: Layout of the service.
        shard_maps: Names of the leafs that hold each shard, by version.
        current: Version that requests use; 0 before the first one.
    """

    layout: ServiceLayout
    shard_maps: dict[int, list[list[str]]] = attrs.field(factory=dict)
    current: int = 0


class Site:
    """All leafs of a layout, and the operations on them.

    Attributes:
        layout: Layout that the site was built from.
        store: The platform's store, to which topology is written.
        host: IP address of all leafs.
        first_port: Port of the first leaf, or 0 for free ports.
        ledger: Record of the runs of all leafs.
        leafs: Leafs by name.
        services: Published index versions, by service.
        servers: Servers of the leafs by name; empty before `listen`.
    """

    def __init__(
        self,
        layout: Layout,
        store: PlatformStore,
        first_port: int,
        seed: int = 1,
        host: str = "127.0.0.1",
    ) -> None:
        self.layout = layout
        self.store = store
        self.host = host
        self.first_port = first_port
        self.ledger = RunLedger()
        self.leafs: dict[str, SiteLeaf] = {}
        self.servers: dict[str, LeafServer] = {}
        self.services = {
            service.name: PublishedService(service)
            for service in layout.services
        }
        rng = random.Random(seed)
        ports = itertools.count(first_port, step=1 if first_port else 0)
        for service in layout.services:
            self._add_leafs(service, ports, rng)
            self.publish(service.name, FIRST_VERSION, service.shards)

    def listen(self, reactor: Any) -> list[Any]:
        """Listen for all leafs, on free ports if the first port is 0.

        Returns:
            The listening ports.
        """
        listening = []
        for name, leaf in self.leafs.items():
            latency_ms = functools.partial(
                self.layout.latency_from_host_ms, data_centre=leaf.data_centre
            )
            server = LeafServer(leaf.model, reactor, latency_ms)
            self.servers[name] = server
            port = reactor.listenTCP(leaf.port, server, interface=self.host)
            listening.append(port)
            leaf.port = port.getHost().port
        if not self.first_port:
            for service in self.services:
                self._write_topology(service)
        return listening

    def publish(self, service: str, version: int, shards: int) -> None:
        """Serve a new index version and make it the current one.

        The leafs serve it before the topology lists it.
        """
        state = self.services[service]
        shard_map = self._place_replicas(service, shards, state.layout.replicas)
        state.shard_maps[version] = shard_map
        for name in {name for names in shard_map for name in names}:
            served = [s for s, names in enumerate(shard_map) if name in names]
            self.leafs[name].model.serve(version, served)
        state.current = version
        self._write_topology(service)

    def withdraw(self, service: str, version: int) -> None:
        """Remove an index version from the topology; leafs still serve it.

        Raises:
            ValueError: The version is the current one.
        """
        state = self.services[service]
        if version == state.current:
            raise ValueError(
                f"version {version} is current; publish another one first"
            )
        if state.shard_maps.pop(version, None) is not None:
            self._write_topology(service)

    def retire(self, service: str, version: int) -> None:
        """Withdraw an index version and stop serving it."""
        self.withdraw(service, version)
        for leaf in self.leafs_of(service=service):
            leaf.model.retire(version)

    def leafs_of(
        self,
        leaf: str | None = None,
        service: str | None = None,
        upstream: str | None = None,
        data_centre: str | None = None,
    ) -> list[SiteLeaf]:
        """Return the leafs that match every given argument."""
        return [
            site_leaf
            for name, site_leaf in self.leafs.items()
            if leaf in (None, name)
            and service in (None, site_leaf.service)
            and upstream in (None, site_leaf.upstream)
            and data_centre in (None, site_leaf.data_centre)
        ]

    def _add_leafs(
        self, service: ServiceLayout, ports: Iterable[int], rng: random.Random
    ) -> None:
        data_centres = list(self.layout.regions)
        numbers = itertools.product(
            range(service.instances), range(service.leafs_per_instance)
        )
        for (instance, number), port in zip(numbers, ports, strict=False):
            upstream = f"{service.name}-{instance:02}"
            settings = LeafSettings(
                name=f"{upstream}-{number}",
                slots=service.slots,
                connections=service.connections,
                connection_ms=service.connection_ms,
                cold_slots=service.cold_slots,
                cold_notice_ms=self.layout.max_latency_ms() + LOOPBACK_DELAY_MS,
                service_time=service.service_time(),
            )
            model = LeafModel(
                settings, self.ledger, random.Random(rng.random())
            )
            self.leafs[settings.name] = SiteLeaf(
                service=service.name,
                upstream=upstream,
                data_centre=data_centres[instance % len(data_centres)],
                port=port,
                model=model,
            )

    def _place_replicas(
        self, service: str, shards: int, replicas: int
    ) -> list[list[str]]:
        """Assign replicas to data centres in turn, and to the leafs of each."""
        by_data_centre = {
            data_centre: itertools.cycle(names)
            for data_centre in self.layout.regions
            if (names := self._leaf_names(service, data_centre))
        }
        turns = itertools.cycle(by_data_centre.values())
        skipped = replicas % len(by_data_centre)
        shard_map = []
        for _ in range(shards):
            shard_map.append([next(next(turns)) for _ in range(replicas)])
            if not skipped:
                # Start the next shard in another data centre.
                next(turns)
        return shard_map

    def _leaf_names(self, service: str, data_centre: str) -> list[str]:
        leafs = self.leafs_of(service=service, data_centre=data_centre)
        return [leaf.model.settings.name for leaf in leafs]

    def _write_topology(self, service: str) -> None:
        state = self.services[service]
        value = {
            "leafs": {
                leaf.model.settings.name: self._leaf_row(leaf)
                for leaf in self.leafs_of(service=service)
            },
            "versions": {
                str(version): {"shards": shard_map}
                for version, shard_map in state.shard_maps.items()
            },
            "current": state.current,
        }
        present = self.store.version_of(TOPOLOGY_KIND, service)
        self.store.put(TOPOLOGY_KIND, service, value, present)

    def _leaf_row(self, leaf: SiteLeaf) -> dict[str, Any]:
        settings = leaf.model.settings
        return {
            "host": self.host,
            "port": leaf.port,
            "data_centre": leaf.data_centre,
            "upstream": leaf.upstream,
            "slots": settings.slots,
            "connections": settings.connections,
            "cold_slots": settings.cold_slots,
        }
