"""Plays leafs that turn slow against many VMs with few requests each."""

import random
import unittest

from oriolegate.placement.slow_leafs import LeafSample
from tests.platform import stand_in_documents as documents
from tests.virtual_fleet import CallerLoad
from tests.virtual_fleet import FAST_BYTES_PER_S
from tests.virtual_fleet import VirtualFleet

SHARDS = tuple(f"s{number}" for number in range(12))
VM_COUNT = 12
LEAFS_PER_SHARD = 3
WORK_MS = 20.0
SLOW_FACTOR = 6.0
# Round trip to the leafs of the other region, which the network here lacks.
OTHER_REGION_MS = 41.0
SLOW_SHARDS = 4
SLOW_S = 8.0
# Half a request a second for each VM.
LOAD_PER_S = 6.0
TARGET_MS = 150
RETRY_SLACK = 15
# Coverage that the users' routes over all shards demand.
ON_TIME = 0.95


class SlowLeafsTest(unittest.TestCase):
    def setUp(self):
        self.rng = random.Random(1)
        gather = documents.gather_fields(SHARDS, 10, 0.5)
        route = documents.route_spec(
            "all", **gather, target_latency_ms=TARGET_MS
        )
        spec = documents.configuration_spec(1, [route], SHARDS)
        self.fleet = VirtualFleet(spec)
        self.factors = {}
        for shard in SHARDS:
            for number in range(LEAFS_PER_SHARD):
                leaf_id = f"{shard}-{number}"
                data_centre = "dc-a" if number == 0 else "dc-b"
                leaf = self.fleet.add_leaf(leaf_id, shard, data_centre)
                leaf.behave = self.behaviour(leaf_id)
        self.fleet.start(VM_COUNT, FAST_BYTES_PER_S)
        for process in self.fleet.gateways.values():
            process.parts.budget.slack = RETRY_SLACK
        self.load = CallerLoad(self.fleet, "/all/x")

    def behaviour(self, leaf_id):
        def behave(request):
            work_ms = WORK_MS * self.rng.lognormvariate(0.0, 0.35)
            work_ms *= self.factors.get(leaf_id, 1.0)
            if not leaf_id.endswith("-0"):
                work_ms += OTHER_REGION_MS
            self.fleet.network.reactor.callLater(
                work_ms / 1_000.0, request.answer, f"{leaf_id:<16}".encode()
            )

        return behave

    def slow_down(self):
        """Make the leafs slow that get most requests of some shards."""
        for shard in SHARDS[:SLOW_SHARDS]:
            names = [f"{shard}-{n}" for n in range(LEAFS_PER_SHARD)]
            busiest = max(
                names, key=lambda name: len(self.fleet.leafs[name].requests)
            )
            self.factors[busiest] = SLOW_FACTOR

    def slow_requests(self):
        return sum(len(self.fleet.leafs[n].requests) for n in self.factors)

    def play(self):
        """Return the parts on time, and the requests to the slow leafs."""
        self.load.run(LOAD_PER_S, 10.0, wait_s=0.0)
        self.slow_down()
        before = self.slow_requests()
        start_s = self.load.now_s
        self.load.run(LOAD_PER_S, SLOW_S)
        parts = 0
        for outcome in self.load.since(start_s):
            if outcome.status == 200 and outcome.took_s * 1_000.0 <= TARGET_MS:
                missing = outcome.response.header(b"missing-parts") or b"0"
                parts += len(SHARDS) - int(missing)
        asked = len(self.load.since(start_s)) * len(SHARDS)
        return parts / asked, self.slow_requests() - before

    def test_parts_of_slow_leafs_come_from_others_on_time(self):
        on_time, slow_requests = self.play()
        self.assertGreater(on_time, ON_TIME)
        asked = SLOW_S * LOAD_PER_S * SLOW_SHARDS
        self.assertLess(slow_requests, asked / 3.0)

    def test_all_vms_learn_of_a_slow_leaf_from_the_requests_of_one(self):
        vm = next(iter(self.fleet.gateways))
        runner = self.fleet.gateways[vm].parts.slow_runner
        now_ms = self.fleet.network.clock.now_ms()
        for age_ms in (900.0, 600.0, 300.0):
            runner.on_sample(LeafSample("s0-0", now_ms - age_ms, True))
        self.fleet.network.run_for(0.5)
        now_ms = self.fleet.network.clock.now_ms()
        for process in self.fleet.gateways.values():
            slow = process.parts.directory.slow_leafs
            self.assertTrue(slow.is_slow(now_ms, "s0-0"))

    def test_malformed_samples_do_no_harm(self):
        vm = next(iter(self.fleet.gateways))
        runner = self.fleet.gateways[vm].parts.slow_runner
        for query in (b"", b"?samples=", b"?samples=a,b", b"?samples=a,x,1"):
            statuses = []
            runner.on_report(
                b"/samples" + query,
                lambda status, body, kept=statuses: kept.append(status),
            )
            self.assertEqual(statuses, [400])

    def test_a_leaf_that_is_fast_again_is_used_again(self):
        self.play()
        self.factors.clear()
        self.fleet.network.run_for(5.0)
        for process in self.fleet.gateways.values():
            slow = process.parts.directory.slow_leafs
            now_ms = self.fleet.network.clock.now_ms()
            self.assertEqual(slow.current(now_ms), {})
