"""Tests of the decision to which VM a request goes next."""

import unittest

from hypothesis import given
from hypothesis import strategies

from oriolegate.forwarding.forward_plan import ForwardPlan

TARGETS = ("vm-2", "vm-3", "vm-4")
DEADLINE_MS = 100.0


def plan(*, repeatable):
    return ForwardPlan(TARGETS, repeatable, DEADLINE_MS)


class ForwardPlanTest(unittest.TestCase):
    def test_vms_that_did_not_run_a_request_are_followed_by_the_next(self):
        once = plan(repeatable=False)
        asked = [once.next_vm(0.0) for _ in TARGETS]
        self.assertEqual(asked, list(TARGETS))
        self.assertIsNone(once.next_vm(0.0))
        self.assertFalse(once.may_have_run)

    def test_a_request_that_may_have_run_is_only_repeated_if_it_may_be(self):
        for repeatable in (True, False):
            with self.subTest(repeatable=repeatable):
                one_plan = plan(repeatable=repeatable)
                one_plan.next_vm(0.0)
                one_plan.on_lost()
                asked = one_plan.next_vm(1.0)
                self.assertEqual(asked, "vm-3" if repeatable else None)

    def test_no_vm_is_asked_after_the_deadline(self):
        self.assertIsNone(plan(repeatable=True).next_vm(DEADLINE_MS))

    @given(strategies.lists(strategies.booleans(), max_size=8))
    def test_no_vm_is_asked_after_a_possible_run(self, losses):
        once = plan(repeatable=False)
        for is_lost in losses:
            had_run = once.may_have_run
            asked = once.next_vm(0.0)
            self.assertFalse(had_run and asked is not None)
            if is_lost and asked is not None:
                once.on_lost()
