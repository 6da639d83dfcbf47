"""Tests of noticing that the process stood still."""

import unittest

from oriolegate.following.pause_watch import PauseWatch


class PauseWatchTest(unittest.TestCase):
    def setUp(self):
        self.watch = PauseWatch()
        self.assertEqual(self.watch.check(1_000.0, 5_000.0), 0.0)

    def test_usual_gaps_are_no_pause(self):
        self.assertEqual(self.watch.check(1_250.0, 5_250.0), 0.0)

    def test_a_stopped_process_finds_a_gap(self):
        self.assertEqual(self.watch.check(4_000.0, 8_000.0), 3_000.0)
        self.assertEqual(self.watch.check(4_100.0, 8_100.0), 0.0)

    def test_a_suspended_machine_stops_the_steady_clock(self):
        self.assertEqual(self.watch.check(1_010.0, 9_010.0), 4_010.0)
