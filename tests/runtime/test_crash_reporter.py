"""Tests of reporting requests that crashed leafs to other VMs."""

import unittest

from twisted.internet import task

from oriolegate.clock import FakeClock
from oriolegate.crashes import crash_ledger
from oriolegate.crashes.crash_ledger import CrashLedger
from oriolegate.crashes.crash_ledger import LostRequest
from oriolegate.metrics import MetricsRegistry
from oriolegate.network.http_reader import HttpResponse
from oriolegate.runtime import crash_reporter
from oriolegate.runtime.crash_reporter import CrashReporter
from tests import site_builders as build


class FakeStore:
    """Answers each call with a configurable status."""

    def __init__(self):
        self.status = 201
        self.calls = []

    def call(self, call, timeout_ms, done):
        self.calls.append(call.method)
        done(HttpResponse(self.status, [], b""))


class CrashReporterTest(unittest.TestCase):
    def setUp(self):
        self.reactor = task.Clock()
        self.clock = FakeClock()
        self.store = FakeStore()
        self.ledger = CrashLedger()
        self.reporter = CrashReporter(
            self.reactor,
            self.clock,
            self.store,
            "vm-1",
            self.ledger,
            MetricsRegistry(),
        )
        self.call = build.call()
        self.fingerprint = crash_ledger.call_fingerprint(self.call)

    def lose_request(self, leaf_id, fingerprint=None, attempt_id="a1"):
        lost = LostRequest(
            self.fingerprint if fingerprint is None else fingerprint, attempt_id
        )
        self.ledger.record_lost_request(leaf_id, lost)

    def test_no_report_is_written_if_the_leaf_is_alive(self):
        self.lose_request("l1")
        self.reporter.on_liveness_known(build.leaf("l1"), is_alive=True)
        self.reporter.on_liveness_known(build.leaf("l1"), is_alive=False)
        self.assertEqual(self.store.calls, [])

    def test_a_crash_is_recorded_locally_at_once_and_reported(self):
        self.lose_request("l1")
        self.reporter.on_liveness_known(build.leaf("l1"), is_alive=False)
        self.assertEqual(self.store.calls, ["POST"])
        (report,) = self.ledger.reports[self.fingerprint].values()
        self.assertEqual((report.vm, report.leaf_id), ("vm-1", "l1"))

    def test_a_failed_write_is_retried_up_to_a_limit(self):
        self.store.status = 503
        self.lose_request("l1")
        self.reporter.on_liveness_known(build.leaf("l1"), is_alive=False)
        for _ in range(20):
            self.reactor.advance(crash_reporter.RETRY_INTERVAL_S)
        self.assertEqual(
            self.store.calls, ["POST"] * crash_reporter.MAX_ATTEMPTS
        )

    def test_a_report_is_written_after_a_long_outage_of_the_store(self):
        self.store.status = 503
        self.lose_request("l1")
        self.reporter.on_liveness_known(build.leaf("l1"), is_alive=False)
        for _ in range(60):
            self.reactor.advance(1.0)
        self.store.status = 201
        self.store.calls.clear()
        for _ in range(40):
            self.reactor.advance(0.1)
        self.assertEqual(self.store.calls, ["POST"])

    def test_a_crash_counts_here_although_no_more_reports_are_written(self):
        for number in range(100):
            self.lose_request("l1", fingerprint=number)
        self.reporter.on_liveness_known(build.leaf("l1"), is_alive=False)
        for leaf_id in ("l2", "l3", "l4"):
            self.lose_request(leaf_id, attempt_id=leaf_id)
            self.reporter.on_liveness_known(build.leaf(leaf_id), is_alive=False)
        self.assertTrue(self.ledger.suspicion(self.call).must_refuse)

    def test_a_report_already_written_by_another_vm_is_not_retried(self):
        self.store.status = 409
        self.lose_request("l1")
        self.reporter.on_liveness_known(build.leaf("l1"), is_alive=False)
        self.reactor.advance(10.0)
        self.assertEqual(self.store.calls, ["POST"])

    def test_a_report_is_removed_after_its_lifetime(self):
        self.lose_request("l1")
        self.reporter.on_liveness_known(build.leaf("l1"), is_alive=False)
        self.reactor.advance(crash_reporter.REPORT_TTL_S)
        self.assertEqual(self.store.calls, ["POST", "DELETE"])
        self.assertEqual(self.ledger.reports, {})

    def test_reports_of_an_answered_request_are_removed_from_the_store(self):
        self.lose_request("l1")
        self.reporter.on_liveness_known(build.leaf("l1"), is_alive=False)
        self.reporter.withdraw(self.ledger.record_success(self.call))
        self.assertEqual(self.store.calls, ["POST", "DELETE"])

    def test_reports_are_limited_when_many_leafs_crash_at_once(self):
        for number in range(100):
            self.lose_request("l1", fingerprint=number)
        self.reporter.on_liveness_known(build.leaf("l1"), is_alive=False)
        self.assertEqual(len(self.store.calls), crash_reporter.MAX_REPORTS)
        self.clock.advance(crash_reporter.REPORT_WINDOW_MS)
        self.lose_request("l2", fingerprint=1_000)
        self.reporter.on_liveness_known(build.leaf("l2"), is_alive=False)
        self.assertEqual(len(self.store.calls), crash_reporter.MAX_REPORTS + 1)
