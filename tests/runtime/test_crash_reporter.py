"""Tests of telling other VMs with which requests leafs fell."""

import unittest

from twisted.internet import task

from oriolegate.clock import FakeClock
from oriolegate.crashes import crash_ledger
from oriolegate.crashes.crash_ledger import CrashLedger
from oriolegate.crashes.crash_ledger import LostRequest
from oriolegate.network.http_reader import HttpResponse
from oriolegate.runtime import crash_reporter
from oriolegate.runtime.crash_reporter import CrashReporter
from tests import site_builders as build


class Store:
    """Answers each call with the status that is set."""

    def __init__(self):
        self.status = 201
        self.calls = []

    def call(self, call, limit_ms, done):
        self.calls.append(call.method)
        done(HttpResponse(self.status, [], b""))


class CrashReporterTest(unittest.TestCase):
    def setUp(self):
        self.reactor = task.Clock()
        self.clock = FakeClock()
        self.store = Store()
        self.ledger = CrashLedger()
        self.reporter = CrashReporter(
            self.reactor, self.clock, self.store, "vm-1", self.ledger
        )
        self.call = build.call()
        self.found = crash_ledger.call_fingerprint(self.call)

    def lose(self, leaf_id, found=None, attempt_id="a1"):
        lost = LostRequest(self.found if found is None else found, attempt_id)
        self.ledger.lost(leaf_id, lost)

    def test_a_leaf_that_lives_is_no_reason_for_a_report(self):
        self.lose("l1")
        self.reporter.judge(build.leaf("l1"), is_alive=True)
        self.reporter.judge(build.leaf("l1"), is_alive=False)
        self.assertEqual(self.store.calls, [])

    def test_a_fall_is_known_here_at_once_and_told(self):
        self.lose("l1")
        self.reporter.judge(build.leaf("l1"), is_alive=False)
        self.assertEqual(self.store.calls, ["POST"])
        (report,) = self.ledger.reports[self.found].values()
        self.assertEqual((report.vm, report.leaf_id), ("vm-1", "l1"))

    def test_a_refused_write_is_tried_again_a_few_times(self):
        self.store.status = 503
        self.lose("l1")
        self.reporter.judge(build.leaf("l1"), is_alive=False)
        for _ in range(20):
            self.reactor.advance(crash_reporter.RETRY_S)
        self.assertEqual(self.store.calls, ["POST"] * crash_reporter.MAX_TRIES)

    def test_what_another_vm_wrote_already_is_written(self):
        self.store.status = 409
        self.lose("l1")
        self.reporter.judge(build.leaf("l1"), is_alive=False)
        self.reactor.advance(10.0)
        self.assertEqual(self.store.calls, ["POST"])

    def test_a_report_is_removed_after_its_time(self):
        self.lose("l1")
        self.reporter.judge(build.leaf("l1"), is_alive=False)
        self.reactor.advance(crash_reporter.KEPT_S)
        self.assertEqual(self.store.calls, ["POST", "DELETE"])
        self.assertEqual(self.ledger.reports, {})

    def test_an_answered_request_is_cleared_in_the_store(self):
        self.lose("l1")
        self.reporter.judge(build.leaf("l1"), is_alive=False)
        self.reporter.withdraw(self.ledger.answered(self.call))
        self.assertEqual(self.store.calls, ["POST", "DELETE"])

    def test_many_falls_at_once_write_few_reports(self):
        for number in range(100):
            self.lose("l1", found=number)
        self.reporter.judge(build.leaf("l1"), is_alive=False)
        self.assertEqual(len(self.store.calls), crash_reporter.MAX_REPORTS)
        self.clock.advance(crash_reporter.WINDOW_MS)
        self.lose("l2", found=1_000)
        self.reporter.judge(build.leaf("l2"), is_alive=False)
        self.assertEqual(len(self.store.calls), crash_reporter.MAX_REPORTS + 1)
