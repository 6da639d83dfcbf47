"""Each violation is counted on an outcome that breaks its guarantee."""

import unittest

from oriolegate.measurement.outcome_checker import OutcomeChecker
from oriolegate.measurement.outcome_checker import SentRequest
from oriolegate.measurement.request_ledger import RequestLedger
from oriolegate.models.answer import Answer
from oriolegate.models.answer import Coverage
from oriolegate.models.answer import MissingShard
from oriolegate.models.answer import Refusal
from oriolegate.result_codes import ResultCode
from oriolegate.result_codes import RunState
from oriolegate.standins import leaf_documents
from oriolegate.standins.leaf_messages import Outcome
from oriolegate.standins.leaf_messages import Query

REQUEST = "r1"
SHARDS = 3
VERSION = 7


def leaf_query(shard, version=VERSION, key=None):
    return Query(
        connection=1,
        query="vm-1.1-1",
        shard=shard,
        attempt=0,
        index_version=version,
        expires_ms=1_000.0,
        sent_ms=0.0,
        idempotency_key=key,
        body=REQUEST.encode(),
    )


def run_at_leaf(ledger, shard, version=VERSION, key=None):
    query = leaf_query(shard, version, key)
    ledger.begin(query)
    ledger.end("leaf", query, 0.0, 1.0, Outcome.RAN)


def documents(shards, version=VERSION):
    return [
        row
        for shard in shards
        for row in leaf_documents.documents(version, shard)
    ]


def answer(results, answered=SHARDS, missing=(), total=SHARDS):
    rows = tuple(MissingShard(s, ResultCode.SHARD_DEADLINE) for s in missing)
    coverage = Coverage(total, answered, rows)
    return Answer(REQUEST, "studio-desk", VERSION, coverage, results)


class OutcomeCheckerTest(unittest.TestCase):
    def setUp(self):
        self.ledger = RequestLedger()
        self.checker = OutcomeChecker(
            self.ledger, {VERSION: SHARDS, VERSION + 1: 5}
        )
        for shard in range(SHARDS):
            run_at_leaf(self.ledger, shard)

    def violations_of(self, outcome):
        sent = SentRequest(REQUEST, 0.0, True, outcome)
        self.coverage = self.checker.check(sent)
        violations = self.checker.violations
        names = [field for field in violations.__slots__ if field[0] != "_"]
        return {n for n in names if getattr(violations, n)}

    def test_a_complete_answer_has_no_violation(self):
        self.assertEqual(
            self.violations_of(answer(documents(range(SHARDS)))), set()
        )
        self.assertEqual(self.coverage, 1.0)

    def test_a_partial_answer_with_true_coverage_has_no_violation(self):
        outcome = answer(documents([0, 2]), answered=2, missing=[1])
        self.assertEqual(self.violations_of(outcome), set())
        self.assertAlmostEqual(self.coverage, 2 / 3)

    def test_a_request_without_outcome_is_counted_as_cut(self):
        self.assertEqual(self.violations_of(None), {"cut"})

    def test_a_duplicate_document_is_counted_as_doubled(self):
        rows = documents(range(SHARDS))
        self.assertEqual(
            self.violations_of(answer([*rows, rows[0]])), {"doubled"}
        )

    def test_a_key_that_ran_twice_is_counted_as_doubled(self):
        for _ in range(2):
            run_at_leaf(self.ledger, 0, key="1700000000000-key")
        self.checker.add_doubled_runs()
        self.assertEqual(self.checker.violations.doubled, 1)

    def test_a_missing_document_is_counted_as_lost(self):
        rows = documents(range(SHARDS))[:-1]
        self.assertEqual(self.violations_of(answer(rows)), {"lost"})

    def test_an_answered_shard_without_documents_is_lost_and_untrue(self):
        outcome = answer(documents([0, 2]))
        self.assertEqual(
            self.violations_of(outcome), {"lost", "untrue_coverage"}
        )

    def test_not_run_is_false_if_a_leaf_began_to_run_the_request(self):
        outcome = Refusal(
            REQUEST, ResultCode.NOT_RUN, RunState.NOT_RUN, "not run"
        )
        self.assertEqual(self.violations_of(outcome), {"false_not_run"})

    def test_may_have_run_is_no_violation_even_if_a_leaf_ran_it(self):
        outcome = Refusal(
            REQUEST, ResultCode.REPLICA_LOST, RunState.MAY_HAVE_RUN, "lost"
        )
        self.assertEqual(self.violations_of(outcome), set())

    def test_documents_of_two_versions_are_mixed_snapshots(self):
        run_at_leaf(self.ledger, 2, VERSION + 1)
        rows = documents([0, 1]) + documents([2], VERSION + 1)
        self.assertIn("mixed_snapshots", self.violations_of(answer(rows)))

    def test_a_total_below_the_number_of_shards_is_untrue(self):
        outcome = answer(documents([0, 1]), answered=2, total=2)
        self.assertIn("untrue_coverage", self.violations_of(outcome))

    def test_documents_of_a_shard_that_no_leaf_ran_are_untrue(self):
        self.ledger.completed_runs[REQUEST].discard((VERSION, 1))
        outcome = answer(documents(range(SHARDS)))
        self.assertEqual(self.violations_of(outcome), {"untrue_coverage"})

    def test_a_shard_that_is_both_answered_and_missing_is_untrue(self):
        outcome = answer(documents(range(SHARDS)), missing=[1])
        self.assertEqual(self.violations_of(outcome), {"untrue_coverage"})
