"""Tests of when a refused request is tried again."""

import unittest

from oriolegate.crashes import trial_schedule
from oriolegate.crashes.trial_schedule import TrialSchedule
from oriolegate.models.site import CrashTrial

FIRST_MS = trial_schedule.FIRST_TRIAL_MS
NEXT_MS = trial_schedule.NEXT_TRIAL_MS


class TrialScheduleTest(unittest.TestCase):
    def setUp(self):
        self.schedule = TrialSchedule()

    def claim(self, now_ms, number):
        self.schedule.on_trial(
            now_ms, f"7-{number}", CrashTrial(7, number, "a1", "vm-1", 0)
        )

    def test_the_first_trial_comes_some_time_after_the_last_report(self):
        self.schedule.on_report(0.0, 7)
        self.schedule.on_report(500.0, 7)
        self.assertIsNone(self.schedule.due_number(FIRST_MS, 7))
        self.assertEqual(self.schedule.due_number(FIRST_MS + 500.0, 7), 1)

    def test_the_next_trial_comes_later(self):
        self.schedule.on_report(0.0, 7)
        self.claim(FIRST_MS, 1)
        self.claim(FIRST_MS + 100.0, 1)
        due_ms = FIRST_MS + NEXT_MS
        self.assertIsNone(self.schedule.due_number(due_ms - 1.0, 7))
        self.assertEqual(self.schedule.due_number(due_ms, 7), 2)

    def test_a_request_is_not_tried_without_end(self):
        # Users tolerate three sends after the third crash.
        self.schedule.on_report(0.0, 7)
        claims = 0
        for now_ms in range(0, 1_000_000, 500):
            number = self.schedule.due_number(float(now_ms), 7)
            if number is not None:
                claims += 1
                self.claim(float(now_ms), number)
        self.assertEqual(claims, trial_schedule.MAX_TRIALS)
        self.assertLess(claims, 3)
        self.assertIsNone(self.schedule.retry_after_ms(1_000_000.0, 7))

    def test_callers_return_when_a_trial_has_probably_ended(self):
        self.schedule.on_report(0.0, 7)
        self.assertEqual(
            self.schedule.retry_after_ms(0.0, 7),
            FIRST_MS + trial_schedule.RESULT_RETRY_MS,
        )
        self.claim(FIRST_MS, 1)
        self.assertEqual(
            self.schedule.retry_after_ms(FIRST_MS + 1.0, 7),
            trial_schedule.RESULT_RETRY_MS,
        )
        self.assertGreater(
            self.schedule.retry_after_ms(FIRST_MS + 3_000.0, 7), 4_000.0
        )

    def test_vms_claim_a_trial_at_different_times(self):
        self.schedule.draw_spread_ms = lambda: 700.0
        self.schedule.on_report(0.0, 7)
        self.assertIsNone(self.schedule.due_number(FIRST_MS + 699.0, 7))
        self.assertEqual(self.schedule.due_number(FIRST_MS + 700.0, 7), 1)

    def test_a_withdrawn_trial_may_be_claimed_again(self):
        self.schedule.on_report(0.0, 7)
        self.claim(FIRST_MS, 1)
        self.assertEqual(self.schedule.remove_trial("7-1"), 7)
        self.assertIsNone(self.schedule.remove_trial("7-1"))
        self.assertEqual(self.schedule.due_number(20_000.0, 7), 1)
        self.schedule.forget(7)
        self.assertIsNone(self.schedule.due_number(20_000.0, 7))
