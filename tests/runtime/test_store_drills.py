"""Tests of a store that comes back from older copies, with whole gateways."""

import unittest

from oriolegate.following import store_era
from oriolegate.models.stored import Collection
from tests.platform import stand_in_documents as documents
from tests.virtual_fleet import CallerLoad
from tests.virtual_fleet import FAST_BYTES_PER_S
from tests.virtual_fleet import VirtualFleet

DRILL_COUNT = 20
AWAY_S = 0.4
# Time after the store's return in which the operator and the leafs write again
# what the copy lacks, and bound on having the view of the new era.
REWRITE_S = 1.0
VIEW_S = 2.5
LOAD_PER_S = 20.0
SHARDS = ("s1", "s2", "s3")
# Bound on serving again after all VMs have lost their power.
RECOVER_S = 12.0


def configuration(version):
    gather = documents.gather_fields(SHARDS, 10, 1.0)
    routes = [documents.route_spec("all", **gather)]
    return documents.configuration_spec(version, routes, SHARDS)


class StoreDrillTest(unittest.TestCase):
    def start(self, vm_count=4):
        self.fleet = VirtualFleet(configuration(1))
        self.fleet.store.era = 1
        for service in SHARDS:
            for number in range(2):
                self.fleet.add_leaf(f"{service}-{number}", service)
        self.fleet.start(vm_count, FAST_BYTES_PER_S)
        self.load = CallerLoad(self.fleet, "/all/x")

    def go_on(self, seconds):
        self.load.run(LOAD_PER_S, seconds, wait_s=0.0)

    def write_again(self, version):
        store = self.fleet.store
        store.put("config", "main", configuration(version))
        for leaf_id in self.fleet.leafs:
            service = leaf_id.partition("-")[0]
            spec = self.fleet.leaf_spec(leaf_id, service)
            store.put("servers", leaf_id, spec)

    def drill(self, version):
        """Lose a new configuration and leaf that the store acknowledged."""
        store = self.fleet.store
        earlier = store.make_copy()
        self.fleet.configure(configuration(version))
        self.fleet.add_leaf(f"s1-{len(self.fleet.leafs)}", "s1")
        self.go_on(0.9)
        store.refuse = 503
        self.go_on(AWAY_S)
        store.refuse = None
        store.restore(earlier)
        self.go_on(REWRITE_S)
        self.check_leafs()
        self.write_again(version)
        self.go_on(VIEW_S - REWRITE_S)

    def check_leafs(self):
        """Check that no VM takes a leaf that the store lacks now as gone."""
        for process in self.fleet.gateways.values():
            leafs = process.parts.directory.leafs
            self.assertEqual(set(leafs), set(self.fleet.leafs))
            gone = [
                leaf_id
                for leaf_id, record in leafs.items()
                if record.entry_removed_at_ms is not None
            ]
            self.assertEqual(gone, [])

    def check_views(self, version):
        for process in self.fleet.gateways.values():
            parts = process.parts
            for collection in Collection:
                era = store_era.era_of(parts.followers[collection].revision)
                self.assertEqual(era, self.fleet.store.era, collection)
        self.check_leafs()
        self.assertEqual(
            self.fleet.versions(), dict.fromkeys(self.fleet.gateways, version)
        )

    def test_callers_notice_nothing_of_many_drills_in_a_row(self):
        self.start()
        for drill in range(DRILL_COUNT):
            self.drill(drill + 2)
            self.check_views(drill + 2)
        self.load.run(LOAD_PER_S, 0.0)
        self.assertEqual(len(self.load.outcomes), self.load.sent_count)
        self.assertEqual(self.load.served_fraction(0.0), 1.0)

    def test_vms_serve_after_all_lost_their_power_and_the_store_is_older(self):
        self.start()
        store = self.fleet.store
        earlier = store.make_copy()
        self.fleet.configure(configuration(2))
        for vm in list(self.fleet.gateways):
            self.fleet.kill(vm)
        store.restore(earlier)
        for number in range(4):
            self.fleet.add_gateway(
                f"vm{number}", FAST_BYTES_PER_S, first_start=False
            )
        self.fleet.network.run_for(REWRITE_S)
        self.write_again(2)
        self.fleet.network.run_for(RECOVER_S - REWRITE_S)
        from_s = self.load.now_s
        self.load.run(LOAD_PER_S, 3.0)
        self.assertEqual(self.load.served_fraction(from_s), 1.0)
        self.check_views(2)
