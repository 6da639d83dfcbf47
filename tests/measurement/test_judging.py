"""Each violation counter fires on an outcome that breaks its rule."""

import unittest

from oriolegate.measurement.far_side import FarSide
from oriolegate.measurement.judging import Judge
from oriolegate.measurement.judging import SentRequest
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


def run_at_leaf(far_side, shard, version=VERSION, key=None):
    query = leaf_query(shard, version, key)
    far_side.begin(query)
    far_side.end("leaf", query, 0.0, 1.0, Outcome.RAN)


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


class JudgeTest(unittest.TestCase):
    def setUp(self):
        self.far_side = FarSide()
        self.judge = Judge(self.far_side, {VERSION: SHARDS, VERSION + 1: 5})
        for shard in range(SHARDS):
            run_at_leaf(self.far_side, shard)

    def found(self, outcome):
        sent = SentRequest(REQUEST, 0.0, True, outcome)
        self.coverage = self.judge.judge(sent)
        violations = self.judge.violations
        names = [field for field in violations.__slots__ if field[0] != "_"]
        return {n for n in names if getattr(violations, n)}

    def test_a_whole_answer_has_no_violation(self):
        self.assertEqual(self.found(answer(documents(range(SHARDS)))), set())
        self.assertEqual(self.coverage, 1.0)

    def test_a_true_partial_answer_has_no_violation(self):
        outcome = answer(documents([0, 2]), answered=2, missing=[1])
        self.assertEqual(self.found(outcome), set())
        self.assertAlmostEqual(self.coverage, 2 / 3)

    def test_no_outcome_is_a_cut(self):
        self.assertEqual(self.found(None), {"cut"})

    def test_a_document_twice_is_a_double(self):
        rows = documents(range(SHARDS))
        self.assertEqual(self.found(answer([*rows, rows[0]])), {"doubled"})

    def test_a_key_that_ran_twice_is_a_double(self):
        for _ in range(2):
            run_at_leaf(self.far_side, 0, key="1700000000000-key")
        self.judge.add_doubled_runs()
        self.assertEqual(self.judge.violations.doubled, 1)

    def test_a_document_that_lacks_is_a_loss(self):
        rows = documents(range(SHARDS))[:-1]
        self.assertEqual(self.found(answer(rows)), {"lost"})

    def test_an_answered_shard_without_documents_is_a_loss(self):
        outcome = answer(documents([0, 2]))
        self.assertEqual(self.found(outcome), {"lost", "untrue_coverage"})

    def test_not_run_that_ran_is_false(self):
        outcome = Refusal(
            REQUEST, ResultCode.NOT_RUN, RunState.NOT_RUN, "not run"
        )
        self.assertEqual(self.found(outcome), {"false_not_run"})

    def test_may_have_run_is_no_violation(self):
        outcome = Refusal(
            REQUEST, ResultCode.REPLICA_LOST, RunState.MAY_HAVE_RUN, "lost"
        )
        self.assertEqual(self.found(outcome), set())

    def test_documents_of_two_versions_are_mixed(self):
        run_at_leaf(self.far_side, 2, VERSION + 1)
        rows = documents([0, 1]) + documents([2], VERSION + 1)
        self.assertIn("mixed_snapshots", self.found(answer(rows)))

    def test_too_small_a_total_is_untrue(self):
        outcome = answer(documents([0, 1]), answered=2, total=2)
        self.assertIn("untrue_coverage", self.found(outcome))

    def test_documents_that_no_leaf_ran_are_untrue(self):
        self.far_side.ran[REQUEST].discard((VERSION, 1))
        outcome = answer(documents(range(SHARDS)))
        self.assertEqual(self.found(outcome), {"untrue_coverage"})

    def test_a_shard_both_answered_and_missing_is_untrue(self):
        outcome = answer(documents(range(SHARDS)), missing=[1])
        self.assertEqual(self.found(outcome), {"untrue_coverage"})
