"""Regression tests: seeds of random faults that once caused violations."""

import io
import unittest

from oriolegate import logging_setup
from oriolegate.measurement import scenario
from oriolegate.measurement.random_faults import RANDOM_PLANS

SECONDS = 4.0


def run_policy(name, seed):
    (plan,) = (plan for plan in RANDOM_PLANS if plan.name == name)
    return scenario.run_side(plan, plan.policy, SECONDS, seed).figures


class RandomFaultsTest(unittest.TestCase):
    def setUp(self):
        logging_setup.setup_logging(stream=io.StringIO())

    def test_two_vms_together_stay_within_the_limit_of_cold_leafs(self):
        # Seed 2: a leaf update reaches the other VM later than the emulated
        # leaf allowed for.
        # Seed 3: after a pause a VM sent requests before it read a leaf update.
        # Seed 4: an answer sent before the update reverted the leaf's state.
        for seed in (2, 3, 4):
            with self.subTest(seed=seed):
                figures = run_policy("random-faults-two-vms", seed)
                self.assertEqual(sum(figures["violations"].values()), 0)
