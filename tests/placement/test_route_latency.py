"""Tests of a route's typical latencies and the hedge delay."""

import random
import unittest

from oriolegate.placement import route_latency
from oriolegate.placement.route_latency import RouteLatencies
from oriolegate.placement.route_latency import RouteLatency


def trained(target_ms, work_ms, count=500):
    latency = RouteLatency(target_ms)
    rng = random.Random(1)
    for _ in range(count):
        latency.record(work_ms * rng.lognormvariate(0.0, 0.35), 0.0)
    return latency


class RouteLatencyTest(unittest.TestCase):
    def test_the_typical_work_time_is_near_the_median(self):
        self.assertAlmostEqual(trained(280.0, 30.0).typical_ms, 30.0, delta=6.0)

    def test_the_hedge_delay_is_above_the_usual_spread(self):
        after_ms = trained(280.0, 30.0).hedge_after_ms(0.5)
        self.assertGreater(after_ms, 40.0)
        self.assertLess(after_ms, 70.0)

    def test_a_hedge_can_be_answered_within_the_target(self):
        for target_ms, work_ms in ((124.0, 4.0), (162.0, 11.0), (283.0, 30.0)):
            latency = trained(target_ms, work_ms)
            for _ in range(400):
                # A burst of slow answers must not delay the hedge.
                latency.record(target_ms, 0.0)
                latency.record(work_ms, 0.0)
            after_ms = latency.hedge_after_ms(0.5)
            answered_ms = (
                after_ms + route_latency.HEDGE_OVERHEAD_MS + latency.typical_ms
            )
            self.assertLess(answered_ms, target_ms)

    def test_a_slow_route_is_not_hedged_at_once(self):
        latency = trained(120.0, 100.0)
        self.assertGreater(latency.hedge_after_ms(0.5), 100.0)

    def test_a_new_target_resets_the_latencies(self):
        latencies = RouteLatencies()
        latency = latencies.for_route("r", 100.0)
        self.assertIs(latencies.for_route("r", 100.0), latency)
        self.assertIsNot(latencies.for_route("r", 200.0), latency)
