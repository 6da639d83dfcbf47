"""Tests of the least-squares fit."""

import unittest

from hypothesis import given
from hypothesis import strategies
from tools.capacity_fit import fit

NUMBERS = strategies.integers(-1_000, 1_000)


class FitTest(unittest.TestCase):
    @given(NUMBERS, NUMBERS, strategies.sets(NUMBERS, min_size=2, max_size=9))
    def test_points_on_a_line_give_the_line(self, intercept, slope, sizes):
        points = sorted(sizes)
        line = fit(points, [intercept + slope * size for size in points])
        self.assertAlmostEqual(line.slope, slope, places=5)
        self.assertAlmostEqual(line.at(2_200), intercept + slope * 2_200, 2)

    def test_noise_is_averaged_out(self):
        line = fit([0, 0, 10, 10], [1, 3, 21, 23])
        self.assertAlmostEqual(line.at(0), 2)
        self.assertAlmostEqual(line.slope, 2)

    def test_points_of_one_size_give_no_line(self):
        with self.assertRaises(ValueError):
            fit([3, 3], [1, 2])
        with self.assertRaises(ValueError):
            fit([3, 4], [1])
