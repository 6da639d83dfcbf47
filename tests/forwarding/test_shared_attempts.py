"""Tests of the attempts that several VMs share."""

import unittest

from hypothesis import given
from hypothesis import strategies

from oriolegate.forwarding.shared_attempts import HOLD_TARGET_FRACTION
from oriolegate.forwarding.shared_attempts import SharedAttempts

TARGET_MS = 200.0
HOLD_MS = HOLD_TARGET_FRACTION * TARGET_MS


class SharedAttemptsTest(unittest.TestCase):
    def test_an_answer_lost_during_the_hold_costs_one_attempt(self):
        attempts = SharedAttempts(2, 0)
        attempts.hold(10.0, TARGET_MS)
        attempts.record_lost(10.0 + HOLD_MS - 1.0, is_held=True)
        self.assertEqual(attempts.used, 1)
        self.assertFalse(attempts.is_exhausted)

    def test_an_answer_lost_after_the_hold_costs_all_attempts(self):
        attempts = SharedAttempts(3, 0)
        attempts.hold(10.0, TARGET_MS)
        attempts.record_lost(10.0 + HOLD_MS, is_held=True)
        self.assertTrue(attempts.is_exhausted)

    def test_a_vm_that_knows_no_hold_costs_all_attempts(self):
        attempts = SharedAttempts(3, 0)
        attempts.hold(0.0, TARGET_MS)
        attempts.record_lost(1.0, is_held=False)
        self.assertTrue(attempts.is_exhausted)

    def test_a_vm_that_reports_nothing_costs_all_attempts(self):
        attempts = SharedAttempts(3, 1)
        attempts.record_used(None)
        self.assertTrue(attempts.is_exhausted)

    @given(
        strategies.integers(1, 5),
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.0, 2.0 * HOLD_MS), strategies.booleans()
            ),
            max_size=8,
        ),
    )
    def test_no_order_of_losses_lets_more_leafs_run_a_request(
        self, limit, turns
    ):
        attempts = SharedAttempts(limit, 0)
        now_ms = 0.0
        run_count = 0
        for took_ms, answers in turns:
            if attempts.is_exhausted:
                break
            left = limit - attempts.used
            attempts.hold(now_ms, TARGET_MS)
            # The most that a VM which observes the hold may have run.
            runs = 1 if took_ms < HOLD_MS else left
            now_ms += took_ms
            run_count += runs
            if answers:
                attempts.record_used(runs)
            else:
                attempts.record_lost(now_ms, is_held=True)
        self.assertLessEqual(run_count, limit)


if __name__ == "__main__":
    unittest.main()
