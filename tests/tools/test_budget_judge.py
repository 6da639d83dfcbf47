"""Tests of the judge of the retry budget."""

import unittest

from tools.soak.budget_judge import Arrival
from tools.soak.budget_judge import BudgetBounds
from tools.soak.budget_judge import BudgetJudge
from tools.soak.budget_judge import QuietTime
from tools.soak.budget_judge import SentRequest

LEFT_MS = 1_000.0


class BudgetJudgeTest(unittest.TestCase):
    def setUp(self):
        self.judge = BudgetJudge(BudgetBounds(0.2, 10_000.0, 4.0))

    def request(self, attempt, at_ms=0.0, attempts=2):
        self.judge.requests[attempt] = SentRequest(
            at_ms, ("s1",), attempts, LEFT_MS
        )

    def arrive(self, attempt, at_ms, leaf, left_ms=LEFT_MS, *, ran=True):
        self.judge.arrivals.append(
            Arrival(at_ms, attempt, "s1", leaf, "vm-1", left_ms, ran)
        )

    def overrun(self, count):
        for number in range(count):
            self.request(f"a{number}")
            for leaf in ("l1", "l2", "l3"):
                self.arrive(f"a{number}", 20_000.0 * number, leaf)

    def test_three_requests_may_run_on_too_many_leafs(self):
        self.overrun(3)
        self.assertEqual(self.judge.judge_attempts(), [])

    def test_more_requests_on_too_many_leafs_are_found(self):
        self.overrun(4)
        self.assertEqual(len(self.judge.judge_attempts()), 1)

    def test_leafs_that_ended_during_the_run_do_not_count(self):
        self.overrun(4)
        self.judge.leaf_ends_ms["l1"] += [20_000.0 * n + 1.0 for n in range(4)]
        self.assertEqual(self.judge.judge_attempts(), [])

    def test_leafs_that_were_cut_off_during_the_run_do_not_count(self):
        self.overrun(4)
        self.judge.vm_cuts_ms["vm-1"] += [20_000.0 * n + 1.0 for n in range(4)]
        self.assertEqual(self.judge.judge_attempts(), [])

    def repeat(self, count, gap_ms):
        for number in range(count):
            self.request(f"a{number}", gap_ms * number)
            self.arrive(f"a{number}", gap_ms * number, "l1")
            self.arrive(f"a{number}", gap_ms * number + 1.0, "l2", ran=False)

    def test_repeats_within_ratio_and_slack_are_allowed(self):
        self.repeat(5, 10.0)
        self.assertEqual(self.judge.judge_ratio(), [])

    def test_repeats_beyond_ratio_and_slack_are_found(self):
        self.repeat(6, 10.0)
        self.assertEqual(len(self.judge.judge_ratio()), 1)

    def test_repeats_are_counted_in_each_window_of_their_own(self):
        self.repeat(40, 3_000.0)
        self.assertEqual(self.judge.judge_ratio(), [])

    def test_requests_of_the_window_before_allow_repeats(self):
        for number in range(50):
            self.request(f"b{number}", -9_000.0)
        self.repeat(12, 1.0)
        self.assertEqual(self.judge.judge_ratio(), [])

    def test_timeouts_beyond_the_callers_are_found(self):
        for number in range(21):
            self.request(f"a{number}")
            self.arrive(f"a{number}", 0.0, "l1", LEFT_MS + 501.0)
        self.assertEqual(len(self.judge.judge_time_left()), 1)

    def test_late_repeats_that_end_too_late_are_found(self):
        for number in range(21):
            self.request(f"a{number}")
            self.arrive(f"a{number}", 0.0, "l1")
            self.arrive(f"a{number}", 600.0, "l2")
        self.assertEqual(len(self.judge.judge_time_left()), 1)

    def test_timeouts_of_vms_out_of_touch_are_excused(self):
        self.judge.vm_disturbances_ms["vm-1"].append(-1.0)
        self.test_repeats_within_ratio_and_slack_are_allowed()
        for number in range(21):
            self.request(f"a{number}")
            self.arrive(f"a{number}", 0.0, "l1", None)
        self.assertEqual(self.judge.judge_time_left(), [])

    def test_requests_in_a_quiet_time_are_found(self):
        self.judge.quiet_times.append(QuietTime("l1", "vm-1", 0.0, 3_000.0))
        self.request("a1")
        for at_ms in (100.0, 400.0, 600.0, 700.0):
            self.arrive("a1", at_ms, "l1")
        self.assertEqual(self.judge.judge_quiet_times(), [])
        self.arrive("a1", 2_900.0, "l1")
        self.assertEqual(len(self.judge.judge_quiet_times()), 1)

    def test_the_time_that_requests_waited_at_the_leaf_is_excused(self):
        self.judge.quiet_times.append(QuietTime("l1", "vm-1", 0.0, 3_000.0))
        self.request("a1")
        for at_ms in (600.0, 700.0, 800.0):
            self.judge.arrivals.append(
                Arrival(at_ms, "a1", "s1", "l1", "vm-1", LEFT_MS, False, 400.0)
            )
        self.assertEqual(self.judge.judge_quiet_times(), [])

    def test_a_cut_excuses_requests_in_a_quiet_time(self):
        self.judge.vm_cuts_ms["vm-1"].append(1_000.0)
        self.judge.quiet_times.append(QuietTime("l1", "vm-1", 0.0, 3_000.0))
        self.request("a1")
        for at_ms in (600.0, 700.0, 800.0):
            self.arrive("a1", at_ms, "l1")
        self.assertEqual(self.judge.judge_quiet_times(), [])


if __name__ == "__main__":
    unittest.main()
