"""Tests of judging how far a crashing request is sent on."""

import unittest

from tools.soak.crash_judge import Arrival
from tools.soak.crash_judge import CONTACT_MS
from tools.soak.crash_judge import CrashJudge
from tools.soak.crash_judge import Disturbance
from tools.soak.crash_judge import RETRY_LIMIT


class CrashJudgeTest(unittest.TestCase):
    def setUp(self):
        self.judge = CrashJudge(crashes_ms=[0.0, 10.0, 20.0])

    def arrive(self, at_ms, attempt, vm="vm-1"):
        self.judge.arrivals.append(Arrival(at_ms, attempt, vm))

    def test_retries_are_late_only_after_the_contact_time(self):
        self.arrive(20.0 + CONTACT_MS, "a1")
        self.arrive(20.1 + CONTACT_MS, "a2")
        self.arrive(20.2 + CONTACT_MS, "a2")
        self.assertEqual(self.judge.late_attempts, ["a2"])

    def test_two_crashes_bind_nobody(self):
        self.judge.crashes_ms.pop()
        self.arrive(1e9, "a1")
        self.assertEqual(self.judge.late_attempts, [])

    def test_more_late_retries_than_allowed_break_the_bound(self):
        for number in range(RETRY_LIMIT):
            self.arrive(1e6, f"a{number}")
        self.assertFalse(self.judge.is_broken)
        self.arrive(1e6, "b")
        self.assertTrue(self.judge.is_broken)

    def test_a_disturbed_gateway_is_excused_until_the_contact_time(self):
        self.judge.disturbances.append(Disturbance(1e6, 1e6 + 100.0, "vm-1"))
        self.arrive(1e6 + 99.0 + CONTACT_MS, "a1")
        self.arrive(1e6 + 99.0 + CONTACT_MS, "a2", "vm-2")
        self.arrive(1e6 + 101.0 + CONTACT_MS, "a3")
        self.assertEqual(self.judge.late_attempts, ["a2", "a3"])
