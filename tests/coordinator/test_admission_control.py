"""Tests of refusals when a query arrives."""

import unittest

from oriolegate.coordinator import messages
from oriolegate.coordinator.messages import LeafReport
from oriolegate.coordinator.messages import SubRequestId
from oriolegate.models.policy import ServicePolicy
from oriolegate.models.request import CallerRequest
from oriolegate.result_codes import ResultCode
from oriolegate.upstreams.leaf_state import Grant
from oriolegate.upstreams.leaf_state import ReportedState
from tests.coordinator import fixtures

POLICY = ServicePolicy(deadline_ms=100.0)


class AdmissionControlTest(unittest.TestCase):
    def setUp(self):
        self.coordinator = fixtures.coordinator(
            fixtures.topology(1, replicas=1), Grant(1, 2, 1)
        )
        self.sent = []
        self.delivered = []
        self.arrived = 0

    def feed(self, now_ms, event):
        for effect in self.coordinator.step(now_ms, event):
            match effect:
                case messages.SendSub(sub=sub):
                    self.sent.append(sub)
                case messages.Deliver(outcome):
                    self.delivered.append(outcome)

    def arrive(self, now_ms):
        self.arrived += 1
        request = CallerRequest(f"r{self.arrived}", "c", "studio", b"")
        event = messages.QueryArrived(request, fixtures.SERVICE, POLICY)
        self.feed(now_ms, event)

    def answer(self, now_ms):
        sub: SubRequestId = self.sent.pop(0)
        report = LeafReport(fixtures.leaf_name(0, 0), ReportedState.WARM, 1)
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

    def test_short_queue_at_low_rate_is_not_refused(self):
        now_ms = self.warm_up()
        for _ in range(3):
            self.arrive(now_ms)
        self.assertEqual(self.delivered, [])

    def test_query_is_refused_on_arrival_if_queue_exceeds_deadline(self):
        now_ms = self.warm_up()
        for _ in range(12):
            self.arrive(now_ms)
        codes = [outcome.code for outcome in self.delivered]
        self.assertIn(ResultCode.OVERLOADED, codes)
        # One query runs; five more of 20 ms each fit within the deadline.
        self.assertLessEqual(len(self.coordinator.state.queries), 7)
