"""Tests of refusals at arrival."""

import unittest

from oriolegate.coordinator import messages
from oriolegate.coordinator.messages import LeafReport
from oriolegate.coordinator.messages import SubRequestId
from oriolegate.models.policy import ServicePolicy
from oriolegate.models.request import CallerRequest
from oriolegate.result_codes import ResultCode
from oriolegate.upstreams.leaf_state import Grant
from oriolegate.upstreams.leaf_state import ReportedState
from tests.coordinator import sites

POLICY = ServicePolicy(deadline_ms=100.0)


class AdmissionTest(unittest.TestCase):
    def setUp(self):
        self.core = sites.coordinator(
            sites.topology(1, replicas=1), Grant(1, 2, 1)
        )
        self.sent = []
        self.delivered = []
        self.arrived = 0

    def feed(self, now_ms, event):
        for effect in self.core.step(now_ms, event):
            match effect:
                case messages.SendSub(sub=sub):
                    self.sent.append(sub)
                case messages.Deliver(outcome):
                    self.delivered.append(outcome)

    def arrive(self, now_ms):
        self.arrived += 1
        request = CallerRequest(f"r{self.arrived}", "c", "studio", b"")
        event = messages.QueryArrived(request, sites.SERVICE, POLICY)
        self.feed(now_ms, event)

    def answer(self, now_ms):
        sub: SubRequestId = self.sent.pop(0)
        report = LeafReport(sites.leaf_name(0, 0), ReportedState.WARM, 1)
        self.feed(now_ms, messages.SubAnswered(sub, report, 7, []))

    def warm_up(self):
        now_ms = 0.0
        for _ in range(400):
            self.arrive(now_ms)
            now_ms += 20.0
            self.answer(now_ms)
            now_ms += 980.0
        self.delivered.clear()
        return now_ms

    def test_a_short_queue_at_a_low_rate_is_no_overload(self):
        now_ms = self.warm_up()
        for _ in range(3):
            self.arrive(now_ms)
        self.assertEqual(self.delivered, [])

    def test_a_queue_longer_than_the_deadline_is_refused_at_once(self):
        now_ms = self.warm_up()
        for _ in range(12):
            self.arrive(now_ms)
        codes = [outcome.code for outcome in self.delivered]
        self.assertIn(ResultCode.OVERLOADED, codes)
        # One runs; 5 of 20 ms each fit before the deadline.
        self.assertLessEqual(len(self.core.state.queries), 7)
