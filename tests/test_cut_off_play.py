"""Tests that callers of VMs that lose all leafs are served, in random plays."""

import unittest

from tests.cut_off_play import CutOffPlay

SEEDS = (1, 7, 21)


class CutOffPlayTest(unittest.TestCase):
    def test_callers_of_vms_that_are_cut_off_are_served(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(CutOffPlay(seed).run(), [])
