"""Tests of the retry budget."""

import unittest

from hypothesis import given
from hypothesis import strategies

from oriolegate.retries.retry_budget import RetryBudget

RATIO = 0.2
WINDOW_MS = 10_000.0
SLACK = 50.0

EVENTS = strategies.lists(
    strategies.tuples(
        strategies.floats(0.0, 400.0),
        strategies.integers(0, 4),
        strategies.booleans(),
    ),
    max_size=200,
)


class RetryBudgetTest(unittest.TestCase):
    def setUp(self):
        self.budget = RetryBudget(RATIO, WINDOW_MS, SLACK)

    def test_the_slack_is_dealt_out_over_twice_the_members(self):
        self.budget.members = 5
        taken = 0
        while self.budget.take("s", 0.0, hedge=False):
            taken += 1
        self.assertEqual(taken, 5)

    def test_requests_earn_extra_sends_of_their_service_only(self):
        self.budget.set_bounds(RATIO, WINDOW_MS, 0.0)
        for _ in range(100):
            self.budget.count_request("s", 0.0)
        self.assertTrue(self.budget.take("s", 1.0, hedge=False))
        self.assertFalse(self.budget.take("t", 1.0, hedge=False))

    def test_hedges_leave_some_for_failures(self):
        hedges = 0
        while self.budget.take("s", 0.0, hedge=True):
            hedges += 1
        self.assertTrue(self.budget.take("s", 0.0, hedge=False))
        self.assertGreater(hedges, 0)

    def test_what_never_arrived_is_given_back(self):
        before = self.budget.left("s", 0.0)
        self.budget.take("s", 0.0, hedge=False)
        self.budget.give_back("s")
        self.assertEqual(self.budget.left("s", 0.0), before)

    @given(EVENTS, strategies.integers(1, 4))
    def test_many_vms_keep_the_bound_in_every_window(self, events, vms):
        budgets = [RetryBudget(RATIO, WINDOW_MS, SLACK) for _ in range(vms)]
        for budget in budgets:
            budget.members = vms
        now_ms, requests, extras = 0.0, [], []
        for gap_ms, vm, is_request in events:
            now_ms += gap_ms
            budget = budgets[vm % vms]
            if is_request:
                budget.count_request("s", now_ms)
                requests.append(now_ms)
            elif budget.take("s", now_ms, hedge=False):
                extras.append(now_ms)
        for end_ms in extras:
            start_ms = end_ms - WINDOW_MS
            counted = sum(start_ms < at <= end_ms for at in extras)
            earned = sum(start_ms - 500 < at <= end_ms for at in requests)
            self.assertLessEqual(counted, RATIO * earned + SLACK)
