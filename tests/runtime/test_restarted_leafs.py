"""Tests of leafs that restart unnoticed while the store is away."""

import unittest

from tests.fleet_model import judge
from tests.platform import stand_in_documents as documents
from tests.virtual_fleet import CallerLoad
from tests.virtual_fleet import FAST_BYTES_PER_S
from tests.virtual_fleet import STORE_ADDRESS
from tests.virtual_fleet import VirtualFleet

STORE = STORE_ADDRESS[0]
DATA_CENTRES = ("dc-a", "dc-b")
SERVICES = tuple(f"s{number}" for number in range(6))
LOAD_PER_S = 100.0
COLD_MS = 3_000
RESTART_S = 1.2
# No service states a rate for cold leafs, so only the slack is allowed.
ALLOWED_PER_S = 5


class RestartedLeafTest(unittest.TestCase):
    def setUp(self):
        routes = [documents.route_spec("one", service="s0")]
        self.fleet = VirtualFleet(
            documents.configuration_spec(1, routes, SERVICES)
        )
        self.network = self.fleet.network
        self.runs_s = []
        for service in SERVICES:
            for data_centre in DATA_CENTRES:
                self.fleet.add_leaf(
                    f"{service}-{data_centre}", service, data_centre
                )
        for number in range(4):
            self.fleet.add_gateway(
                f"vm{number}",
                FAST_BYTES_PER_S,
                data_centre=DATA_CENTRES[number % 2],
            )
        self.network.run_for(10.0)

    def set_listening(self, leaf_id, is_listening):
        for vm in self.fleet.gateways:
            if is_listening:
                self.network.accept(vm, leaf_id)
            else:
                self.network.refuse(vm, leaf_id)
                self.network.reset_connections(vm, leaf_id)

    def cut_store(self):
        for vm in self.fleet.gateways:
            self.network.cut(vm, STORE)
            self.network.cut(STORE, vm)

    def record_run(self, request):
        self.runs_s.append(self.network.reactor.seconds())
        request.answer(bytes(16))

    def play(self, store_away_s):
        """Restart a leaf during an outage; then lose the other one."""
        load = CallerLoad(self.fleet, "/one/x")
        load.run(LOAD_PER_S, 3.0, wait_s=0.0)
        self.cut_store()
        load.run(LOAD_PER_S, store_away_s, wait_s=0.0)
        self.set_listening("s0-dc-a", False)
        load.run(LOAD_PER_S, RESTART_S, wait_s=0.0)
        restarted = self.fleet.leafs["s0-dc-a"]
        restarted.health_cold_ms = COLD_MS
        restarted.behave = self.record_run
        self.set_listening("s0-dc-a", True)
        load.run(LOAD_PER_S, 0.1, wait_s=0.0)
        self.set_listening("s0-dc-b", False)
        load.run(LOAD_PER_S, COLD_MS / 1_000.0 - 0.2)

    def test_a_leaf_that_restarted_cold_gets_no_full_load(self):
        self.play(store_away_s=0.4)
        most = judge.most_in_a_second(self.runs_s)
        self.assertLessEqual(most, ALLOWED_PER_S)

    def test_leafs_without_a_connection_serve_when_the_store_is_away(self):
        self.cut_store()
        self.network.run_for(8.0)
        load = CallerLoad(self.fleet, "/one/x")
        load.run(LOAD_PER_S, 3.0)
        self.assertEqual(load.served_fraction(0.0), 1.0)
        self.assertLess(max(o.took_s for o in load.outcomes), 0.1)
