"""Whole gateways with a stand-in store and leafs on a virtual network."""

import random
from typing import Any

import attrs

from oriolegate.models.site import Bounds
from oriolegate.models.site import NodeSettings
from oriolegate.network.http_client import HttpClient
from oriolegate.runtime import gateway
from oriolegate.runtime import gateway_composition
from tests import virtual_network
from tests.platform import stand_in_documents as documents
from tests.platform.stand_in_leaf import LeafFactory
from tests.platform.stand_in_leaf import StandInLeaf
from tests.platform.stand_in_store import StandInStore
from tests.platform.stand_in_store import StoreFactory

STORE_ADDRESS = ("store", 1)
LEAF_PORT = 1
CALLER_PORT = 1
REGIONS = {"dc-a": "north", "dc-b": "south"}
# A gigabit a second.
FAST_BYTES_PER_S = 125e6
DELAY_S = 0.0005
# Gateways list the store half a second after their first start.
START_S = 10.0
CALLER_TIMEOUT_MS = 1_500


class VirtualFleet:
    """Gateways, the store and leafs, in virtual time.

    Attributes:
        network: Connects the hosts.
        store: The stand-in store.
        hosts: Host of each VM.
        gateways: Gateway by VM.
        leafs: Stand-in leafs by id.
    """

    def __init__(self, configuration: dict[str, Any]) -> None:
        self.network = virtual_network.VirtualNetwork(DELAY_S)
        self.store = StandInStore(self.network.reactor)
        host = self.network.add_host(STORE_ADDRESS[0], FAST_BYTES_PER_S)
        host.listenTCP(STORE_ADDRESS[1], StoreFactory(self.store))
        self.callers = self.network.add_host("callers", FAST_BYTES_PER_S)
        self.hosts: dict[str, virtual_network.Host] = {}
        self.gateways: dict[str, gateway.Gateway] = {}
        self.leafs: dict[str, StandInLeaf] = {}
        self.clients: dict[str, HttpClient] = {}
        self.configure(configuration)

    def configure(self, configuration: dict[str, Any]) -> None:
        """Write a configuration to the store."""
        self.store.put("config", "main", configuration)

    def start(self, vm_count: int, rate_bytes_per_s: float) -> None:
        """Start VMs together and wait until they are ready."""
        for number in range(vm_count):
            self.add_gateway(f"vm{number}", rate_bytes_per_s)
        self.network.run_for(START_S)

    def add_gateway(
        self,
        vm: str,
        rate_bytes_per_s: float,
        *,
        first_start: bool = True,
        data_centre: str = "dc-a",
    ) -> None:
        """Start a gateway on a host of its own."""
        settings = NodeSettings(
            vm=vm,
            data_centre=data_centre,
            regions=REGIONS,
            host=vm,
            caller_address=(vm, CALLER_PORT),
            ready_address=(vm, 2),
            internal_ports=(3, 3),
            store_address=STORE_ADDRESS,
            seeds=(),
            first_start=first_start,
            bounds=Bounds(),
        )
        host = self.network.add_host(vm, rate_bytes_per_s)
        self.hosts[vm] = host
        clock = self.network.clock
        parts = gateway_composition.build_parts(
            host, clock, settings, random.Random(vm)
        )
        self.gateways[vm] = gateway.Gateway(host, clock, settings, parts)
        self.gateways[vm].start()

    def kill(self, vm: str) -> None:
        """Let a VM lose its power."""
        self.hosts[vm].kill()
        del self.gateways[vm]

    def add_leaf(
        self, leaf_id: str, service: str, data_centre: str = "dc-a"
    ) -> StandInLeaf:
        """Start a leaf on a host of its own."""
        leaf = StandInLeaf(leaf_id)
        host = self.network.add_host(leaf_id, FAST_BYTES_PER_S)
        host.listenTCP(LEAF_PORT, LeafFactory(leaf))
        entry = self.leaf_spec(leaf_id, service, data_centre=data_centre)
        self.store.put("servers", leaf_id, entry)
        self.leafs[leaf_id] = leaf
        return leaf

    def leaf_spec(
        self,
        leaf_id: str,
        service: str,
        *,
        data_centre: str = "dc-a",
        cold_ms: int = 0,
    ) -> dict[str, Any]:
        """Return the entry that a leaf writes to the store."""
        return documents.leaf_spec(
            service,
            (self.network.ip_address(leaf_id), LEAF_PORT),
            data_centre,
            cold_ms=cold_ms,
            born_ms=1,
        )

    def client(self, vm: str) -> HttpClient:
        """Return a caller's client of a VM."""
        client = self.clients.get(vm)
        if client is None:
            address = (vm, CALLER_PORT)
            client = HttpClient(self.callers, self.network.clock, address)
            self.clients[vm] = client
        return client

    def call(self, vm: str, path: str, attempt: str, done: Any) -> None:
        """Send a caller's request; `done` gets the response or a reason."""
        data = documents.caller_request("GET", path, attempt, CALLER_TIMEOUT_MS)
        self.client(vm).send(data, CALLER_TIMEOUT_MS + 500.0, done)

    def versions(self) -> dict[str, int]:
        """Return the version in force on each VM."""
        return {
            vm: process.parts.configuration.table.configuration.version
            for vm, process in self.gateways.items()
            if process.parts.configuration.table
        }


@attrs.frozen
class Outcome:
    """What a caller got.

    Attributes:
        sent_s: When the request was sent.
        took_s: Time until the response.
        status: HTTP status, or None without a response.
        response: The response, or the reason why there is none.
        vm: The VM that the request was sent to.
    """

    sent_s: float
    took_s: float
    status: int | None
    response: Any
    vm: str


class CallerLoad:
    """Sends requests for one path to random VMs at a constant rate.

    Attributes:
        outcomes: Outcomes of all requests that have ended.
    """

    def __init__(self, fleet: VirtualFleet, path: str) -> None:
        self.fleet = fleet
        self.path = path
        self.rng = random.Random(1)
        self.sent_count = 0
        self.outcomes: list[Outcome] = []

    @property
    def now_s(self) -> float:
        """The virtual time."""
        return self.fleet.network.reactor.seconds()

    def _send(self) -> None:
        sent_s = self.now_s
        self.sent_count += 1

        def done(response: Any) -> None:
            status = getattr(response, "status", None)
            self.outcomes.append(
                Outcome(sent_s, self.now_s - sent_s, status, response, vm)
            )

        vm = self.rng.choice(list(self.fleet.gateways))
        self.fleet.call(vm, self.path, f"a{self.sent_count}", done)

    def run(self, per_s: float, seconds: float, wait_s: float = 1.0) -> None:
        """Send requests for some seconds, then wait for the last ones."""
        for _ in range(round(per_s * seconds)):
            self._send()
            self.fleet.network.run_for(1.0 / per_s)
        self.fleet.network.run_for(wait_s)

    def since(self, from_s: float) -> list[Outcome]:
        """Return the outcomes of requests sent from a time on."""
        return [o for o in self.outcomes if o.sent_s >= from_s]

    def served_fraction(self, from_s: float) -> float:
        """Return which part of the requests from a time on succeeded."""
        outcomes = self.since(from_s)
        return sum(o.status == 200 for o in outcomes) / len(outcomes)
