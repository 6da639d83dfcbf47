"""Tests of detecting that the process was paused."""

import unittest

from oriolegate.membership.pause_detector import PauseDetector

LIMIT_MS = 900.0


class PauseDetectorTest(unittest.TestCase):
    def setUp(self):
        self.detector = PauseDetector(LIMIT_MS)
        self.assertIsNone(self.detector.observe(1_000.0, 5_000.0))

    def test_short_gaps_are_not_pauses(self):
        self.assertIsNone(self.detector.observe(1_250.0, 5_250.0))

    def test_a_gap_of_the_monotonic_clock_is_a_pause(self):
        self.assertEqual(self.detector.observe(4_000.0, 8_000.0), 3_000.0)
        self.assertIsNone(self.detector.observe(4_100.0, 8_100.0))

    def test_a_machine_suspension_shows_only_in_the_second_clock(self):
        self.assertEqual(self.detector.observe(1_010.0, 9_010.0), 4_010.0)

    def test_without_a_second_clock_only_the_monotonic_one_counts(self):
        self.assertEqual(self.detector.observe(2_000.0, None), 1_000.0)
        # The second clock is compared with its own last reading.
        self.assertEqual(self.detector.observe(2_100.0, 6_100.0), 1_100.0)
