"""Tests of a large configuration on slow links, with whole gateways."""

import random
import unittest

import attrs

from oriolegate.models.site import Bounds
from oriolegate.models.site import NodeSettings
from oriolegate.runtime import gateway
from oriolegate.runtime import gateway_composition
from tests import virtual_network
from tests.platform import stand_in_documents as documents
from tests.platform.stand_in_store import StandInStore
from tests.platform.stand_in_store import StoreFactory

STORE_ADDRESS = ("store", 1)
STORE_RATE_BYTES_PER_S = 125e6
# A third of a link of 10 Mbit/s; requests use the rest.
VM_RATE_BYTES_PER_S = 0.44e6
DELAY_S = 0.0005
# Bound on applying a configuration, from its acknowledgement.
IN_FORCE_S = 6.0
# Bound on coming into contact after a start.
READY_S = 5.0
# How far back the store's history of changes reaches.
HISTORY_S = 20
SHARDS = tuple(f"service{number}" for number in range(36))


def configuration(version, routes):
    gather = documents.gather_fields(SHARDS, 10, 0.9)
    return documents.configuration_spec(
        version,
        [documents.route_spec(f"r{n}", **gather) for n in range(routes)],
        SHARDS,
    )


@attrs.define(eq=False)
class Fleet:
    """Gateways of one data centre and their store."""

    network: virtual_network.VirtualNetwork
    store: StandInStore
    gateways: dict[str, gateway.Gateway]

    def versions(self):
        return {
            vm: process.parts.configuration.table.configuration.version
            for vm, process in self.gateways.items()
            if process.parts.configuration.table
        }

    def add_gateway(self, vm, *, first_start=True):
        settings = NodeSettings(
            vm=vm,
            data_centre="dc-a",
            regions={"dc-a": "north"},
            host=vm,
            caller_address=(vm, 1),
            ready_address=(vm, 2),
            internal_ports=(3, 3),
            store_address=STORE_ADDRESS,
            seeds=(),
            first_start=first_start,
            bounds=Bounds(),
        )
        host = self.network.add_host(vm, VM_RATE_BYTES_PER_S)
        rng = random.Random(vm)
        clock = self.network.clock
        parts = gateway_composition.build_parts(host, clock, settings, rng)
        self.gateways[vm] = gateway.Gateway(host, clock, settings, parts)
        self.gateways[vm].start()


def start_fleet(vm_count, routes=50):
    network = virtual_network.VirtualNetwork(DELAY_S)
    store = StandInStore(network.reactor)
    host = network.add_host(STORE_ADDRESS[0], STORE_RATE_BYTES_PER_S)
    host.listenTCP(STORE_ADDRESS[1], StoreFactory(store))
    store.put("config", "main", configuration(1, routes))
    fleet = Fleet(network, store, {})
    for number in range(vm_count):
        fleet.add_gateway(f"vm{number}")
    network.run_for(10.0)
    return fleet


class LargeConfigurationTest(unittest.TestCase):
    def test_it_is_in_force_on_all_vms_of_a_data_centre_in_time(self):
        fleet = start_fleet(12)
        self.assertEqual(set(fleet.versions().values()), {1})
        for version, routes in ((2, 500), (3, 1_000), (4, 1_500)):
            fleet.store.put("config", "main", configuration(version, routes))
            fleet.network.run_for(IN_FORCE_S)
            self.assertEqual(
                fleet.versions(), dict.fromkeys(fleet.gateways, version)
            )

    def test_a_vm_that_starts_while_it_is_in_force_becomes_ready(self):
        fleet = start_fleet(2, routes=1_500)
        fleet.add_gateway("late", first_start=False)
        fleet.network.run_for(READY_S)
        self.assertTrue(fleet.gateways["late"].ready)

    def test_a_vm_that_loses_its_peer_does_not_list_it_again(self):
        fleet = start_fleet(2)
        revisions = []
        for second in range(60):
            fleet.store.put("others", f"o{second}", {})
            fleet.network.run_for(1.0)
            revisions.append(fleet.store.revision)
            fleet.store.forgotten = revisions[max(0, second - HISTORY_S)]
        reader, follower = sorted(
            fleet.gateways.values(), key=lambda vm: vm.parts.store.paused
        )
        self.assertTrue(follower.parts.store.paused)
        fleet.store.calls.clear()
        reader.plan_stop()
        fleet.network.run_for(5.0)
        self.assertFalse(follower.parts.store.paused)
        lists = [
            call
            for call in fleet.store.calls
            if call.startswith("GET /objects/config") and "watch" not in call
        ]
        self.assertEqual(lists, [])
