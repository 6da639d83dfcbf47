"""Tests of a route's usual latencies."""

import random
import unittest

from oriolegate.placement import route_pace
from oriolegate.placement.route_pace import PaceBook
from oriolegate.placement.route_pace import RoutePace


def trained(target_ms, work_ms, count=500):
    pace = RoutePace(target_ms)
    chance = random.Random(1)
    for _ in range(count):
        pace.record(work_ms * chance.lognormvariate(0.0, 0.35), 0.0)
    return pace


class RoutePaceTest(unittest.TestCase):
    def test_the_usual_work_time_is_near_the_median(self):
        self.assertAlmostEqual(trained(280.0, 30.0).typical_ms, 30.0, delta=6.0)

    def test_a_straggler_is_seen_above_the_usual_spread(self):
        after_ms = trained(280.0, 30.0).hedge_after_ms(0.5)
        self.assertGreater(after_ms, 40.0)
        self.assertLess(after_ms, 70.0)

    def test_a_second_send_can_be_back_within_the_target(self):
        for target_ms, work_ms in ((124.0, 4.0), (162.0, 11.0), (283.0, 30.0)):
            pace = trained(target_ms, work_ms)
            for _ in range(400):
                # A burst of slow answers must not move the moment away.
                pace.record(target_ms, 0.0)
                pace.record(work_ms, 0.0)
            after_ms = pace.hedge_after_ms(0.5)
            back_ms = after_ms + route_pace.RESCUE_MS + pace.typical_ms
            self.assertLess(back_ms, target_ms)

    def test_a_slow_route_is_hedged_late_but_not_at_once(self):
        pace = trained(120.0, 100.0)
        self.assertGreater(pace.hedge_after_ms(0.5), 100.0)

    def test_a_new_target_starts_anew(self):
        book = PaceBook()
        pace = book.of("r", 100.0)
        self.assertIs(book.of("r", 100.0), pace)
        self.assertIsNot(book.of("r", 200.0), pace)
