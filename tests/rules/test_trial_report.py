"""Test the report on trials."""

import unittest

from oriolegate.models.policy import Priority
from oriolegate.models.policy import ServicePolicy
from oriolegate.rules import trial_report
from oriolegate.rules.decision import RoutingDecision
from oriolegate.rules.trial_report import TrialReport


def decision(trial=None, control=None):
    return RoutingDecision(
        "s",
        ServicePolicy(),
        Priority.NORMAL,
        trial=trial,
        trial_control=control,
    )


def filled_report():
    report = TrialReport()
    for number in range(100):
        report.record_answer(decision("t"), 10.0, 10, 10)
        report.record_answer(
            decision(control="t"), 20.0 if number else 900.0, 10, 9
        )
    report.record_error(decision("t"))
    report.record_answer(decision(), 5.0, 10, 10)
    return report


class TrialReportTest(unittest.TestCase):
    def test_compares_both_sides(self):
        self.assertEqual(
            trial_report.render_report(filled_report()),
            "trial  side     requests  errors  p50 ms  p99 ms  coverage\n"
            "t      trial         101       1    10.0    10.0    1.0000\n"
            "t      control       100       0    20.0    20.0    0.9000\n",
        )

    def test_notes_when_there_are_too_few_requests_to_compare(self):
        report = TrialReport()
        report.record_error(decision("t"))
        shown = trial_report.render_report(report)
        self.assertIn("too few requests", shown)
        self.assertIn("-", shown.splitlines()[1])

    def test_reports_of_processes_can_be_added(self):
        report = filled_report()
        report.add(filled_report())
        sides = report.outcomes["t"]
        outcome = sides[trial_report.TrialSide.TRIAL]
        self.assertEqual((outcome.requests, outcome.errors), (202, 2))
        self.assertEqual(outcome.latency.total_count, 200)

    def test_keeps_a_bounded_number_of_trials(self):
        report = TrialReport()
        for number in range(trial_report.MAX_TRIALS + 3):
            report.record_error(decision(f"t{number}"))
        self.assertEqual(len(report.outcomes), trial_report.MAX_TRIALS)
        self.assertEqual(report.uncounted, 3)
        report.keep_only(["t1"])
        self.assertEqual(list(report.outcomes), ["t1"])

    def test_latencies_beyond_the_range_count_as_its_maximum(self):
        report = TrialReport()
        report.record_answer(decision("t"), 1e9, 1, 1)
        outcome = report.outcomes["t"][trial_report.TrialSide.TRIAL]
        self.assertEqual(outcome.latency.total_count, 1)
