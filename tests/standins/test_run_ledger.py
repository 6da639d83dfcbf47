"""Tests of the record of runs at all leafs."""

import unittest

from oriolegate.standins.leaf_messages import Outcome
from oriolegate.standins.leaf_messages import Query
from oriolegate.standins.run_ledger import RunLedger


def keyed(key, shard=0, version=7, name="q"):
    return Query(
        connection=1,
        query=name,
        shard=shard,
        attempt=0,
        index_version=version,
        expires_ms=1e9,
        sent_ms=0.0,
        idempotency_key=key,
    )


class RunLedgerTest(unittest.TestCase):
    def test_key_may_run_once_on_each_shard(self):
        ledger = RunLedger()
        for shard in range(3):
            ledger.begin(keyed("k", shard))
        self.assertEqual((ledger.keyed_runs, ledger.doubled_runs), (3, 0))

    def test_second_run_of_a_shard_is_a_duplicate(self):
        ledger = RunLedger()
        ledger.begin(keyed("k"))
        ledger.begin(keyed("other"))
        ledger.begin(keyed("k", name="resent"))
        self.assertEqual(ledger.doubled_runs, 1)
        self.assertEqual(list(ledger.doubled_keys), ["k"])

    def test_run_in_another_version_is_a_duplicate(self):
        ledger = RunLedger()
        ledger.begin(keyed("k", shard=0, version=7))
        ledger.begin(keyed("k", shard=5, version=8))
        self.assertEqual(ledger.doubled_runs, 1)

    def test_runs_without_a_key_are_never_duplicates(self):
        ledger = RunLedger()
        for _ in range(2):
            ledger.begin(keyed(None))
        self.assertEqual((ledger.runs, ledger.doubled_runs), (2, 0))

    def test_only_the_newest_ended_runs_are_recorded(self):
        ledger = RunLedger(capacity=2)
        for name in ("a", "b", "b"):
            run = keyed(None, name=name)
            ledger.begin(run)
            ledger.end("leaf", run, 0.0, 1.0, Outcome.RAN)
        self.assertEqual(ledger.count_runs_by_shard(), {("b", 0): 2})
