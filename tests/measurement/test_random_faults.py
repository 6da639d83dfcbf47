"""Regression: seeds of random faults that once broke a bound."""

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

    def test_two_vms_keep_the_bound_of_cold_leafs(self):
        # Seed 2: news between VMs takes longer than the stand-in allowed.
        # Seed 3: a VM resumed and sent before it read its peer's news.
        # Seed 4: an answer from before the news undid it.
        for seed in (2, 3, 4):
            with self.subTest(seed=seed):
                found = run_policy("random-faults-two-vms", seed)
                self.assertEqual(sum(found["violations"].values()), 0)
