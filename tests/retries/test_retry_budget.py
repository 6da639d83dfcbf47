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

    def take_all(self, now_ms, *, hedge=False):
        taken = 0
        while self.budget.take("s", now_ms, hedge=hedge):
            taken += 1
        return taken

    def test_a_fifth_more_members_than_known_keep_the_slack(self):
        self.budget.members = 5
        self.assertLessEqual(self.take_all(0.0) * 6, SLACK)

    def test_restarts_in_series_keep_the_bound(self):
        # All VMs spend what they may, are killed, and spend again.
        self.budget.members = 5
        spent = self.take_all(0.0)
        again = RetryBudget(RATIO, WINDOW_MS, SLACK)
        again.members = 5
        again.note_restart(1_000.0)
        spent += sum(again.take("s", 1_000.0, hedge=False) for _ in range(50))
        self.assertLessEqual(spent * 5, SLACK)

    def test_a_restart_is_forgotten_after_a_window(self):
        self.budget.members = 5
        self.budget.note_restart(0.0)
        reduced = self.budget.left("s", WINDOW_MS - 1.0)
        self.assertLess(reduced, self.budget.left("s", WINDOW_MS))

    def test_new_bounds_forget_no_extra_sends(self):
        self.take_all(0.0)
        self.budget.set_bounds(RATIO, WINDOW_MS, SLACK)
        self.assertFalse(self.budget.take("s", 0.0, hedge=False))

    def test_members_that_leave_count_until_the_window_is_over(self):
        self.budget.set_members(0.0, 10)
        before = self.budget.left("s", 0.0)
        self.budget.set_members(100.0, 4)
        self.budget.set_members(200.0, 5)
        self.assertEqual(self.budget.left("s", 300.0), before)
        after = self.budget.left("s", 100.0 + WINDOW_MS)
        self.assertAlmostEqual(after, 2.0 * before)

    def test_an_assumed_count_ends_with_the_first_list(self):
        self.budget.members = 256
        self.budget.set_members(0.0, 5)
        self.assertGreater(self.take_all(0.0), 5)

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
