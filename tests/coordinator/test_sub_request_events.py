"""Tests of reports that arrive after their query has ended."""

import unittest

from oriolegate.coordinator import messages
from oriolegate.coordinator.messages import LeafReport
from oriolegate.models.policy import ServicePolicy
from oriolegate.models.request import CallerRequest
from oriolegate.upstreams.leaf_state import Grant
from oriolegate.upstreams.leaf_state import ReportedState
from tests.coordinator import fixtures


class LateReportTest(unittest.TestCase):
    def test_late_cold_report_frees_no_slot_for_queued_sub_requests(self):
        coordinator = fixtures.coordinator(
            fixtures.topology(1, replicas=1), Grant(2, 4, 1)
        )
        sent = []

        def feed(now_ms, event):
            effects = coordinator.step(now_ms, event)
            sent.extend(
                effect.sub
                for effect in effects
                if isinstance(effect, messages.SendSub)
            )

        for number in range(4):
            request = CallerRequest(f"r{number}", "c", "studio", b"")
            feed(
                0.0,
                messages.QueryArrived(
                    request, fixtures.SERVICE, ServicePolicy()
                ),
            )
        self.assertEqual(len(sent), 2)
        feed(1.0, messages.CallerGone("r0"))
        report = LeafReport(fixtures.leaf_name(0, 0), ReportedState.COLD, 1)
        feed(2.0, messages.SubNotRun(sent[0], report, "cancelled"))
        # One sub-request is in flight, which is the limit of a cold leaf.
        self.assertEqual(len(sent), 2)
