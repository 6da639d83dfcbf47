"""Tests that mirrored copies don't affect callers' requests."""

import unittest

from oriolegate.coordinator import messages
from oriolegate.models.policy import HedgePolicy
from oriolegate.models.policy import Priority
from oriolegate.models.policy import ServicePolicy
from oriolegate.models.request import CallerRequest
from oriolegate.upstreams.leaf_state import Grant
from oriolegate.upstreams.leaf_state import ReportedState
from tests.coordinator import fixtures

POLICY = ServicePolicy(max_waiting=1)
COPY_POLICY = ServicePolicy(hedge=HedgePolicy(budget_ratio=0.9))


class MirrorCopiesTest(unittest.TestCase):
    def setUp(self):
        topology = fixtures.topology(1, replicas=1, slots=1)
        self.coordinator = fixtures.coordinator(topology, Grant(1, 1, 1))

    def arrive(self, request_id, is_copy=False):
        priority = Priority.BULK if is_copy else Priority.NORMAL
        request = CallerRequest(
            request_id, "studio-1", "maps", b"", priority=priority
        )
        policy = COPY_POLICY if is_copy else POLICY
        return self.coordinator.step(
            0.0,
            messages.QueryArrived(
                request, fixtures.SERVICE, policy, is_copy=is_copy
            ),
        )

    def sent_subs(self, effects):
        return [e.sub for e in effects if isinstance(e, messages.SendSub)]

    def test_queued_copies_cause_no_refusal_and_are_sent_last(self):
        (running,) = self.sent_subs(self.arrive("first"))
        for number in range(3):
            self.arrive(f"copy-{number}", is_copy=True)
        later = self.arrive("later")
        self.assertFalse([e for e in later if isinstance(e, messages.Deliver)])
        report = messages.LeafReport(
            fixtures.leaf_name(0, 0), ReportedState.WARM, 1
        )
        answered = messages.SubAnswered(running, report, 7, [])
        (next_sent,) = self.sent_subs(self.coordinator.step(1.0, answered))
        self.assertEqual(next_sent.query, 5)

    def test_policy_of_copy_leaves_budgets_of_service_unchanged(self):
        self.arrive("first")
        before = self.coordinator.state.services[fixtures.SERVICE].hedges.ratio
        self.arrive("copy", is_copy=True)
        after = self.coordinator.state.services[fixtures.SERVICE].hedges.ratio
        self.assertEqual(after, before)
