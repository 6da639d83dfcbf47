"""Tests of deciding which leafs are slow."""

import random
import unittest

from oriolegate.placement import slow_leafs
from oriolegate.placement.slow_leafs import LeafSample
from oriolegate.placement.slow_leafs import SelfCheck
from oriolegate.placement.slow_leafs import SlowLeafs

WORK_MS = 22.0
PAUSE_MS = 300.0
PAUSE_EVERY_MS = 6_000.0


class SlowLeafsTest(unittest.TestCase):
    def setUp(self):
        self.slow = SlowLeafs()

    def record(self, started_ms, is_late, took_ms=100.0):
        sample = LeafSample("a", started_ms, is_late)
        return self.slow.record(started_ms + took_ms, sample)

    def test_late_answers_over_a_longer_time_than_a_pause_make_it_slow(self):
        self.assertFalse(self.record(0.0, True))
        self.assertFalse(self.record(200.0, True))
        self.assertTrue(self.record(410.0, True))
        self.assertTrue(self.slow.is_slow(600.0, "a"))
        self.assertFalse(self.slow.is_slow(510.0 + slow_leafs.HOLD_MS, "a"))

    def test_two_late_answers_far_apart_suffice(self):
        self.record(0.0, True)
        self.assertTrue(self.record(900.0, True))

    def test_a_pause_does_not_make_a_leaf_slow(self):
        for started_ms in range(0, 300, 20):
            self.assertFalse(self.record(started_ms, True, took_ms=300.0))
        self.record(310.0, False)
        self.assertFalse(self.record(1_000.0, True))
        self.assertEqual(self.slow.current(1_100.0), {})

    def test_an_answer_on_time_ends_a_streak_unless_it_began_before(self):
        self.record(500.0, True)
        self.record(100.0, False)
        self.assertTrue(self.record(1_400.0, True))
        self.record(1_500.0, False)
        self.assertFalse(self.record(1_600.0, True))

    def test_late_answers_far_apart_say_nothing(self):
        self.record(0.0, True)
        self.assertFalse(self.record(slow_leafs.MAX_GAP_MS + 1.0, True))

    def test_what_a_peer_knows_is_passed_on_with_the_time_left(self):
        self.assertTrue(self.slow.merge(0.0, {"b": 1_000.0, "c": 1e9}))
        self.assertFalse(self.slow.merge(10.0, {"b": 500.0}))
        self.assertEqual(
            self.slow.current(400.0),
            {"b": 600.0, "c": slow_leafs.HOLD_MS - 400.0},
        )
        self.slow.drop_expired(2_000.0)
        self.assertEqual(set(self.slow.slow_until_ms), {"c"})

    def test_the_number_of_leafs_is_bounded(self):
        for number in range(2 * slow_leafs.MAX_LEAFS):
            sample = LeafSample(f"l{number}", 0.0, True)
            self.slow.record(1.0, sample)
        self.slow.merge(0.0, {f"m{n}": 9.0 for n in range(2_000)})
        self.assertEqual(len(self.slow.streaks), slow_leafs.MAX_LEAFS)
        self.assertEqual(len(self.slow.slow_until_ms), slow_leafs.MAX_LEAFS)

    def test_a_vm_whose_answers_are_all_late_is_not_trusted(self):
        check = SelfCheck()
        for _ in range(60):
            check.record(True)
        self.assertFalse(check.is_trusted)
        for number in range(120):
            check.record(number % 4 == 0)
        self.assertTrue(check.is_trusted)


class PlayedLeafTest(unittest.TestCase):
    """Leafs with log-normal work times and pauses, at 10 answers a second."""

    def play(self, factor, seconds=600.0):
        """Return after how many ms a leaf counts as slow, at which times."""
        rng = random.Random(3)
        slow = SlowLeafs()
        times = []
        started_ms = 0.0
        while started_ms < seconds * 1_000.0:
            started_ms += rng.expovariate(1.0 / 100.0)
            work_ms = WORK_MS * factor * rng.lognormvariate(0.0, 0.35)
            work_ms *= 5.0 if rng.random() < 0.01 else 1.0
            paused_ms = PAUSE_MS - started_ms % PAUSE_EVERY_MS
            took_ms = work_ms + max(0.0, paused_ms)
            is_late = took_ms > slow_leafs.LATE_FACTOR * WORK_MS
            now_ms = started_ms + took_ms
            if slow.record(now_ms, LeafSample("a", started_ms, is_late)):
                times.append(now_ms)
        return times

    def test_a_leaf_with_pauses_and_long_requests_is_hardly_ever_slow(self):
        self.assertLessEqual(len(self.play(1.0)), 2)

    def test_a_leaf_that_works_four_times_as_long_is_soon_slow(self):
        self.assertLess(self.play(4.0, 10.0)[0], 1_000.0)
