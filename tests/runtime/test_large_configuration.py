"""Tests of a large configuration on slow links, with whole gateways."""

import base64
import unittest
import zlib

import attrs
import orjson

from oriolegate.models.stored import Collection
from tests.platform import stand_in_documents as documents
from tests.virtual_fleet import FAST_BYTES_PER_S
from tests.virtual_fleet import STORE_ADDRESS
from tests.virtual_fleet import VirtualFleet

# A third of a link of 10 Mbit/s; requests use the rest.
VM_RATE_BYTES_PER_S = 0.44e6
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


def start_fleet(vm_count, routes=50):
    fleet = VirtualFleet(configuration(1, routes))
    fleet.start(vm_count, VM_RATE_BYTES_PER_S)
    return fleet


class ChangedRoutesTest(unittest.TestCase):
    """What one change of a large configuration costs a follower."""

    ROUTES = 4_000
    ONE_ROUTE_BYTES = 2_000
    CALM_S = 3.0

    def setUp(self):
        self.fleet = VirtualFleet(configuration(1, self.ROUTES))
        self.fleet.start(3, FAST_BYTES_PER_S)
        self.follower = next(
            vm
            for vm, process in self.fleet.gateways.items()
            if process.parts.feed.peer is not None
        )
        self.calm_bytes = self.received_bytes()

    def received_bytes(self):
        link = self.fleet.hosts[self.follower].incoming
        before = link.sent_bytes
        self.fleet.network.run_for(self.CALM_S)
        return link.sent_bytes - before

    def cost_bytes(self, spec):
        """Return the bytes that a follower received more for a change."""
        self.fleet.configure(spec)
        received = self.received_bytes()
        version = spec["version"]
        self.assertEqual(set(self.fleet.versions().values()), {version})
        return received - self.calm_bytes

    def changed(self, version):
        """Return the configuration with one route changed."""
        spec = configuration(version, self.ROUTES)
        spec["routes"][17]["timeout_ms"] = 1_000 + version
        return spec

    def test_one_changed_route_costs_less_than_2_kb(self):
        for version in (2, 3, 4):
            cost = self.cost_bytes(self.changed(version))
            self.assertLess(cost, self.ONE_ROUTE_BYTES)

    def test_a_growth_costs_at_most_what_it_adds(self):
        spec = configuration(2, self.ROUTES + 1_400)
        added = orjson.dumps(spec["routes"][self.ROUTES :])
        packed = base64.b64encode(zlib.compress(added, 1))
        self.assertLess(self.cost_bytes(spec), len(packed) + 2_000)

    def test_a_change_that_does_not_fit_is_followed_by_the_whole(self):
        process = self.fleet.gateways[self.follower]
        cache = process.parts.views.caches[Collection.CONFIGURATION]
        known = cache.objects["main"]
        other = attrs.evolve(known, content=known.content | {"odd": 1})
        cache.objects["main"] = other
        self.cost_bytes(self.changed(2))
        stored = self.fleet.store.objects["config"]["main"]["spec"]
        self.assertEqual(cache.objects["main"].content, stored)
        cost = self.cost_bytes(self.changed(3))
        self.assertLess(cost, self.ONE_ROUTE_BYTES)

    def test_a_peer_that_lacks_two_versions_gets_the_whole(self):
        process = self.fleet.gateways[self.follower]
        reader = process.parts.feed.peer.vm
        self.fleet.network.cut(reader, self.follower)
        self.fleet.network.cut(STORE_ADDRESS[0], self.follower)
        for version in (2, 3):
            self.fleet.configure(self.changed(version))
            self.fleet.network.run_for(2.0)
        self.fleet.network.heal(reader, self.follower)
        self.fleet.network.heal(STORE_ADDRESS[0], self.follower)
        self.fleet.network.run_for(10.0)
        self.assertEqual(set(self.fleet.versions().values()), {3})


class LargeConfigurationTest(unittest.TestCase):
    def test_it_is_in_force_on_all_vms_of_a_data_centre_in_time(self):
        fleet = start_fleet(12)
        self.assertEqual(set(fleet.versions().values()), {1})
        for version, routes in ((2, 500), (3, 1_000), (4, 1_500)):
            fleet.configure(configuration(version, routes))
            fleet.network.run_for(IN_FORCE_S)
            self.assertEqual(
                fleet.versions(), dict.fromkeys(fleet.gateways, version)
            )

    def test_a_vm_that_starts_while_it_is_in_force_becomes_ready(self):
        fleet = start_fleet(2, routes=1_500)
        fleet.add_gateway("late", VM_RATE_BYTES_PER_S, first_start=False)
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
