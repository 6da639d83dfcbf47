"""Tests of what a VM uses after its process was started again."""

import unittest

from oriolegate.models.stored import Collection
from tests.platform import stand_in_documents as documents
from tests.virtual_fleet import CallerLoad
from tests.virtual_fleet import FAST_BYTES_PER_S
from tests.virtual_fleet import VirtualFleet

LOAD_PER_S = 50.0
# Time from the start of a VM until it has read the store: lists of two pages
# and a watch, at 1 ms each, and the slack of its timers.
READ_S = 0.05


class RestartTest(unittest.TestCase):
    def setUp(self):
        routes = [documents.route_spec("one", service="s1")]
        spec = documents.configuration_spec(1, routes, ["s1"])
        self.fleet = VirtualFleet(spec)
        self.gone = self.fleet.add_leaf("gone", "s1")
        self.fleet.start(1, FAST_BYTES_PER_S)
        self.fleet.add_leaf("stays", "s1")
        self.fleet.network.run_for(2.0)
        self.fleet.store.lagging = self.fleet.store.make_copy()

    def restart(self):
        self.fleet.kill("vm0")
        self.fleet.clients.clear()
        self.fleet.add_gateway("vm0", FAST_BYTES_PER_S, first_start=False)
        self.fleet.network.run_for(READ_S)

    def serve(self):
        load = CallerLoad(self.fleet, "/one/x")
        load.run(LOAD_PER_S, 3.0)
        self.assertEqual(load.served_fraction(0.0), 1.0)

    def test_a_leaf_that_drains_is_not_used_after_a_restart(self):
        spec = self.fleet.leaf_spec("gone", "s1")
        spec["state"] = "draining"
        self.fleet.store.put("servers", "gone", spec)
        self.fleet.network.run_for(2.0)
        before = len(self.gone.requests)
        self.restart()
        self.serve()
        self.assertEqual(len(self.gone.requests), before)

    def test_a_route_goes_where_the_newest_configuration_sends_it(self):
        moved = self.fleet.add_leaf("other", "s2")
        routes = [documents.route_spec("one", service="s2")]
        spec = documents.configuration_spec(2, routes, ["s1", "s2"])
        self.fleet.configure(spec)
        self.fleet.network.run_for(2.0)
        self.restart()
        before = len(moved.requests)
        load = CallerLoad(self.fleet, "/one/x")
        load.run(LOAD_PER_S, 0.5)
        self.assertEqual(load.served_fraction(0.0), 1.0)
        self.assertEqual(len(moved.requests) - before, load.sent_count)

    def test_a_data_centre_that_was_evacuated_is_not_used(self):
        self.fleet.store.put("evacuations", "dc-b", {})
        far = self.fleet.add_leaf("far", "s1", "dc-b")
        self.fleet.store.delete("servers", "gone")
        self.fleet.store.delete("servers", "stays")
        self.fleet.network.run_for(4.0)
        self.restart()
        load = CallerLoad(self.fleet, "/one/x")
        load.run(LOAD_PER_S, 0.5)
        self.assertEqual(far.requests, [])

    def test_a_start_without_the_store_ends_no_periodic_work(self):
        self.fleet.add_gateway("vm1", FAST_BYTES_PER_S, first_start=False)
        self.fleet.network.run_for(2.0)
        follower = self.fleet.gateways["vm1"].parts.followers[Collection.LEAFS]
        follower.confirmed_ms = float("-inf")
        self.fleet.network.cut("store", "vm1")
        self.fleet.network.cut("vm0", "vm1")
        # The view that was never confirmed is reported as too old.
        self.fleet.network.run_for(1.0)

    def test_a_leaf_that_was_removed_is_not_used_after_a_restart(self):
        self.fleet.store.delete("servers", "gone")
        self.fleet.network.run_for(4.0)
        before = len(self.gone.requests)
        self.restart()
        self.serve()
        self.assertEqual(len(self.gone.requests), before)
