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
        used = 0
        while self.budget.take("s", now_ms, hedge=hedge):
            used += 1
        return used

    def test_a_fifth_more_members_than_known_stay_within_the_slack(self):
        self.budget.members = 5
        self.assertLessEqual(self.take_all(0.0) * 6, SLACK)

    def test_restarts_of_all_vms_stay_within_the_bound(self):
        # All VMs use their whole budget, are killed, and use it again.
        self.budget.members = 5
        total = self.take_all(0.0)
        restarted = RetryBudget(RATIO, WINDOW_MS, SLACK)
        restarted.members = 5
        restarted.record_restart(1_000.0)
        total += sum(
            restarted.take("s", 1_000.0, hedge=False) for _ in range(50)
        )
        self.assertLessEqual(total * 5, SLACK)

    def test_a_restart_reduces_the_budget_for_one_window(self):
        self.budget.members = 5
        self.budget.record_restart(0.0)
        reduced = self.budget.left("s", WINDOW_MS - 1.0)
        self.assertLess(reduced, self.budget.left("s", WINDOW_MS))

    def test_new_bounds_keep_the_counts(self):
        self.take_all(0.0)
        self.budget.set_bounds(RATIO, WINDOW_MS, SLACK)
        self.assertFalse(self.budget.take("s", 0.0, hedge=False))

    def test_members_that_left_count_for_one_window(self):
        self.budget.set_members(0.0, 10)
        before = self.budget.left("s", 0.0)
        self.budget.set_members(100.0, 4)
        self.budget.set_members(200.0, 5)
        self.assertEqual(self.budget.left("s", 300.0), before)
        after = self.budget.left("s", 100.0 + WINDOW_MS)
        self.assertAlmostEqual(after, 2.0 * before)

    def test_the_first_member_count_replaces_the_assumption_at_once(self):
        self.budget.members = 256
        self.budget.set_members(0.0, 5)
        self.assertGreater(self.take_all(0.0), 5)

    def test_requests_allow_extra_sends_only_to_their_service(self):
        self.budget.set_bounds(RATIO, WINDOW_MS, 0.0)
        for _ in range(100):
            self.budget.count_request("s", 0.0)
        self.assertTrue(self.budget.take("s", 1.0, hedge=False))
        self.assertFalse(self.budget.take("t", 1.0, hedge=False))

    def test_hedges_leave_a_reserve_for_retries(self):
        hedges = 0
        while self.budget.take("s", 0.0, hedge=True):
            hedges += 1
        self.assertTrue(self.budget.take("s", 0.0, hedge=False))
        self.assertGreater(hedges, 0)

    def test_a_send_that_never_arrived_is_refunded(self):
        before = self.budget.left("s", 0.0)
        self.budget.take("s", 0.0, hedge=False)
        self.budget.refund("s")
        self.assertEqual(self.budget.left("s", 0.0), before)

    def test_services_are_charged_together_or_not_at_all(self):
        while self.budget.take("full", 0.0, hedge=False):
            pass
        before = self.budget.left("s", 0.0)
        self.assertFalse(self.budget.take_each(("s", "full"), 0.0))
        self.assertEqual(self.budget.left("s", 0.0), before)
        self.assertTrue(self.budget.take_each(("s", "t"), 0.0))
        self.assertEqual(self.budget.left("s", 0.0), before - 1.0)

    @given(EVENTS, strategies.integers(1, 4))
    def test_all_vms_together_stay_within_the_bound_in_every_window(
        self, events, vms
    ):
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
            counted_extras = sum(start_ms < at <= end_ms for at in extras)
            counted_requests = sum(
                start_ms - 500 < at <= end_ms for at in requests
            )
            self.assertLessEqual(
                counted_extras, RATIO * counted_requests + SLACK
            )
