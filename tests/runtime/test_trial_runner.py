"""Tests that trials are recorded and that copies don't affect answers."""

import unittest

import attrs
from twisted.internet import defer

from oriolegate.clock import FakeClock
from oriolegate.metrics import MetricsRegistry
from oriolegate.models.answer import Answer
from oriolegate.models.answer import Coverage
from oriolegate.models.answer import Refusal
from oriolegate.models.policy import Priority
from oriolegate.models.policy import ServicePolicy
from oriolegate.models.request import CallerRequest
from oriolegate.result_codes import ResultCode
from oriolegate.result_codes import RunState
from oriolegate.rules.decision import MirrorTarget
from oriolegate.rules.decision import RoutingDecision
from oriolegate.rules.parser import parse_rule_set
from oriolegate.rules.trial_report import TrialSide
from oriolegate.runtime.trial_runner import TrialRunner

REQUEST = CallerRequest("req-1", "studio-1", "forecast", b"", 500.0)
COPY_POLICY = ServicePolicy(deadline_ms=123.0)
MIRRORED = RoutingDecision(
    "desk",
    ServicePolicy(),
    Priority.URGENT,
    trial="t",
    mirror=MirrorTarget("m", COPY_POLICY, 8, "up-2"),
)


@attrs.define
class RecordingRunner:
    """Records queries; the test delivers their outcomes."""

    receivers: dict = attrs.field(factory=dict)
    queries: list = attrs.field(factory=list)
    waiting: bool = False

    def has_waiting(self, service):
        return self.waiting

    def submit_query(self, event):
        self.queries.append(event)


def answer_of(request_id, answered=3, index_version=1):
    return Answer(request_id, "desk", index_version, Coverage(3, answered), [])


def refusal_of(request_id):
    return Refusal(request_id, ResultCode.NOT_RUN, RunState.NOT_RUN, "late")


class TrialRunnerTest(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.runner = RecordingRunner()
        self.trials = TrialRunner(
            self.runner, self.clock, MetricsRegistry(), max_copies=2
        )

    def record_request(self, decision=MIRRORED):
        outcome = defer.Deferred()
        results = []
        self.trials.record_request(REQUEST, decision, outcome)
        outcome.addCallback(results.append)
        return outcome, results

    def side(self, name, side):
        return self.trials.report.outcomes[name][side]

    def test_a_copy_runs_with_the_mirrors_policy_and_the_lowest_priority(self):
        self.record_request()
        (arrived,) = self.runner.queries
        self.assertNotEqual(arrived.request.request_id, "req-1")
        self.assertIs(arrived.request.priority, Priority.BULK)
        self.assertIs(arrived.policy, COPY_POLICY)
        self.assertEqual(arrived.index_version, 8)
        self.assertEqual(arrived.preferred_upstream, "up-2")

    def test_an_answer_neither_waits_for_its_copy_nor_is_changed(self):
        outcome, results = self.record_request()
        answer = answer_of("req-1")
        outcome.callback(answer)
        self.assertIs(results[0], answer)
        ((copy_id, receive),) = self.runner.receivers.items()
        receive(refusal_of(copy_id))
        self.assertEqual(len(results), 1)
        self.assertIs(results[0], answer)

    def test_both_sides_of_a_mirror_are_recorded(self):
        outcome, _ = self.record_request()
        ((copy_id, receive),) = self.runner.receivers.items()
        self.clock.advance(10.0)
        outcome.callback(answer_of("req-1"))
        self.clock.advance(20.0)
        receive(answer_of(copy_id, answered=2, index_version=8))
        copy = self.side("mirror m", TrialSide.TRIAL)
        original = self.side("mirror m", TrialSide.CONTROL)
        self.assertEqual((copy.requests, original.requests), (1, 1))
        self.assertAlmostEqual(copy.latency_ms(50), 30.0, delta=0.5)
        self.assertAlmostEqual(original.latency_ms(50), 10.0, delta=0.5)
        self.assertEqual(copy.shards_answered, 2)
        self.assertEqual(self.side("t", TrialSide.TRIAL).requests, 1)

    def test_an_answer_from_another_index_counts_as_an_error(self):
        self.record_request()
        ((copy_id, receive),) = self.runner.receivers.items()
        receive(answer_of(copy_id, index_version=1))
        self.assertEqual(self.side("mirror m", TrialSide.TRIAL).errors, 1)

    def test_both_sides_of_a_trial_are_recorded_with_errors(self):
        trial = attrs.evolve(MIRRORED, mirror=None)
        control = attrs.evolve(trial, trial=None, trial_control="t")
        for decision, result in (
            (trial, refusal_of("req-1")),
            (control, answer_of("req-1")),
        ):
            outcome, _ = self.record_request(decision)
            outcome.callback(result)
        self.assertEqual(self.side("t", TrialSide.TRIAL).errors, 1)
        self.assertEqual(self.side("t", TrialSide.CONTROL).errors, 0)
        self.assertEqual(self.side("t", TrialSide.CONTROL).requests, 1)
        self.assertEqual(self.runner.queries, [])

    def test_the_number_of_copies_that_run_at_once_is_limited(self):
        for _ in range(3):
            self.record_request()
        self.assertEqual(len(self.runner.queries), 2)
        copy_id, receive = next(iter(self.runner.receivers.items()))
        receive(refusal_of(copy_id))
        self.record_request()
        self.assertEqual(len(self.runner.queries), 3)

    def test_no_copy_is_made_while_callers_wait_for_slots(self):
        self.runner.waiting = True
        self.record_request()
        self.assertEqual(self.runner.queries, [])

    def test_a_copy_uses_budgets_of_its_own(self):
        self.record_request()
        (arrived,) = self.runner.queries
        original = attrs.evolve(arrived, is_copy=False)
        self.assertEqual(original.budget_name, original.service)
        self.assertNotEqual(arrived.budget_name, original.budget_name)

    def test_removed_trials_are_dropped_from_the_report(self):
        outcome, _ = self.record_request()
        outcome.callback(answer_of("req-1"))
        rules = parse_rule_set(
            2,
            "route forecast to desk  # asked-by: M\n"
            'mirror m 10% of caller "*" on service desk to index 8'
            "  # asked-by: M\n",
        ).ok
        self.trials.rules_changed(rules)
        self.assertEqual(list(self.trials.report.outcomes), ["mirror m"])
