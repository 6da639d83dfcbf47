"""Tests that mirrors' copies take nothing from callers' requests."""

import unittest

from oriolegate.coordinator import messages
from oriolegate.models.policy import HedgePolicy
from oriolegate.models.policy import Priority
from oriolegate.models.policy import ServicePolicy
from oriolegate.models.request import CallerRequest
from oriolegate.upstreams.leaf_state import Grant
from oriolegate.upstreams.leaf_state import ReportedState
from tests.coordinator import sites

POLICY = ServicePolicy(max_waiting=1)
COPY_POLICY = ServicePolicy(hedge=HedgePolicy(budget_ratio=0.9))


class CopiesTest(unittest.TestCase):
    def setUp(self):
        site = sites.topology(1, replicas=1, slots=1)
        self.core = sites.coordinator(site, Grant(1, 1, 1))

    def arrive(self, request_id, is_copy=False):
        priority = Priority.BULK if is_copy else Priority.NORMAL
        request = CallerRequest(
            request_id, "studio-1", "maps", b"", priority=priority
        )
        policy = COPY_POLICY if is_copy else POLICY
        return self.core.step(
            0.0,
            messages.QueryArrived(
                request, sites.SERVICE, policy, is_copy=is_copy
            ),
        )

    def sent(self, effects):
        return [e.sub for e in effects if isinstance(e, messages.SendSub)]

    def test_waiting_copies_get_no_request_refused_and_go_last(self):
        (running,) = self.sent(self.arrive("first"))
        for number in range(3):
            self.arrive(f"copy-{number}", is_copy=True)
        later = self.arrive("later")
        self.assertFalse([e for e in later if isinstance(e, messages.Deliver)])
        report = messages.LeafReport(
            sites.leaf_name(0, 0), ReportedState.WARM, 1
        )
        answered = messages.SubAnswered(running, report, 7, [])
        (following,) = self.sent(self.core.step(1.0, answered))
        self.assertEqual(following.query, 5)

    def test_the_policy_of_a_copy_does_not_set_its_service_s_budgets(self):
        self.arrive("first")
        before = self.core.state.services[sites.SERVICE].hedges.ratio
        self.arrive("copy", is_copy=True)
        after = self.core.state.services[sites.SERVICE].hedges.ratio
        self.assertEqual(after, before)
