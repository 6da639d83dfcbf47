"""Tests of reporting requests that crashed leafs to other VMs."""

import random
import unittest

from twisted.internet import task

from oriolegate.clock import FakeClock
from oriolegate.crashes import crash_ledger
from oriolegate.crashes import report_queue
from oriolegate.crashes.crash_ledger import CrashLedger
from oriolegate.crashes.crash_ledger import LostRequest
from oriolegate.metrics import MetricsRegistry
from oriolegate.models.header_lines import HeaderLines
from oriolegate.models.site import CrashReport
from oriolegate.models.site import CrashTrial
from oriolegate.network.http_reader import HttpResponse
from oriolegate.runtime import crash_reporter
from oriolegate.runtime.crash_reporter import CrashReporter
from tests import site_builders as build


class FakeStore:
    """Answers each call with a configurable status."""

    def __init__(self):
        self.status = 201
        self.calls = []
        self.bodies = []

    def call(self, call, timeout_ms, done):
        self.calls.append(call.method)
        self.bodies.append(call.body)
        is_removal = call.method == "DELETE" and self.status == 201
        done(
            HttpResponse(200 if is_removal else self.status, HeaderLines(), b"")
        )


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
            random.Random(1),
        )
        self.call = build.call()
        self.fingerprint = crash_ledger.call_fingerprint(self.call)

    def lose_request(self, leaf_id, fingerprint=None, attempt_id="a1"):
        lost = LostRequest(
            self.fingerprint if fingerprint is None else fingerprint, attempt_id
        )
        self.ledger.record_lost_request(leaf_id, lost)

    def advance(self, seconds, step_s=0.1):
        for _ in range(round(seconds / step_s)):
            self.clock.advance(1_000.0 * step_s)
            self.reactor.advance(step_s)

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

    def test_an_outage_costs_one_call_a_backoff_however_many_reports(self):
        self.store.status = 503
        for number in range(30):
            self.lose_request("l1", fingerprint=number)
        self.reporter.on_liveness_known(build.leaf("l1"), is_alive=False)
        self.advance(20.0)
        most = 20_000.0 / report_queue.MAX_RETRY_MS / 0.75
        self.assertLessEqual(len(self.store.calls), most + 2)
        self.assertGreaterEqual(len(self.store.calls), 8)

    def test_a_report_is_written_after_a_long_outage_of_the_store(self):
        self.store.status = 503
        self.lose_request("l1")
        self.reporter.on_liveness_known(build.leaf("l1"), is_alive=False)
        self.advance(60.0)
        self.store.status = 201
        self.store.calls.clear()
        self.advance(4.0)
        self.assertEqual(self.store.calls, ["POST"])

    def test_a_crash_counts_here_although_no_more_reports_are_written(self):
        for number in range(100):
            self.lose_request("l1", fingerprint=number)
        self.reporter.on_liveness_known(build.leaf("l1"), is_alive=False)
        for leaf_id in ("l2", "l3", "l4"):
            self.lose_request(leaf_id, attempt_id=leaf_id)
            self.reporter.on_liveness_known(build.leaf(leaf_id), is_alive=False)
        self.assertTrue(self.ledger.suspicion(0.0, self.call).must_refuse)

    def test_a_report_already_written_by_another_vm_is_not_retried(self):
        self.store.status = 409
        self.lose_request("l1")
        self.reporter.on_liveness_known(build.leaf("l1"), is_alive=False)
        self.reactor.advance(10.0)
        self.assertEqual(self.store.calls, ["POST"])

    def test_a_report_is_removed_after_its_lifetime(self):
        self.lose_request("l1")
        self.reporter.on_liveness_known(build.leaf("l1"), is_alive=False)
        self.advance(crash_ledger.ENTRY_TTL_MS / 1_000, step_s=10.0)
        self.assertEqual(self.store.calls, ["POST", "DELETE"])
        self.assertEqual(self.ledger.reports, {})

    def test_reports_of_an_answered_request_are_removed_from_the_store(self):
        self.lose_request("l1")
        self.reporter.on_liveness_known(build.leaf("l1"), is_alive=False)
        self.reporter.withdraw(self.ledger.record_success(self.call))
        self.assertEqual(self.store.calls, ["POST", "DELETE"])
        self.advance(crash_ledger.ENTRY_TTL_MS / 1_000, step_s=10.0)
        self.assertEqual(self.store.calls, ["POST", "DELETE"])

    def test_reports_are_limited_when_many_leafs_crash_at_once(self):
        for number in range(100):
            self.lose_request("l1", fingerprint=number)
        self.reporter.on_liveness_known(build.leaf("l1"), is_alive=False)
        self.assertEqual(len(self.store.calls), report_queue.MAX_WRITES)
        self.advance(report_queue.WRITE_WINDOW_MS / 1_000 - 0.5)
        self.assertEqual(len(self.store.calls), report_queue.MAX_WRITES)
        self.advance(1.0)
        self.assertEqual(len(self.store.calls), 2 * report_queue.MAX_WRITES)

    def test_the_most_suspect_request_is_reported_first(self):
        for number in range(report_queue.MAX_WRITES + 10):
            self.lose_request("l1", fingerprint=number)
        self.reporter.on_liveness_known(build.leaf("l1"), is_alive=False)
        for leaf_id in ("l2", "l3"):
            self.lose_request(leaf_id, attempt_id=leaf_id)
            self.reporter.on_liveness_known(build.leaf(leaf_id), is_alive=False)
        self.store.bodies.clear()
        self.advance(report_queue.WRITE_WINDOW_MS / 1_000)
        for body in self.store.bodies[:2]:
            self.assertIn(f"{self.fingerprint:016x}".encode(), body)

    def test_a_report_that_was_never_sent_needs_no_removal(self):
        self.store.status = 503
        self.lose_request("l0", fingerprint=0)
        self.reporter.on_liveness_known(build.leaf("l0"), is_alive=False)
        self.lose_request("l1")
        self.reporter.on_liveness_known(build.leaf("l1"), is_alive=False)
        self.reporter.withdraw(self.ledger.record_success(self.call))
        self.store.status = 201
        self.advance(5.0)
        self.assertEqual(self.store.calls, ["POST", "POST"])

    def test_a_failed_removal_is_made_again(self):
        self.lose_request("l1")
        self.reporter.on_liveness_known(build.leaf("l1"), is_alive=False)
        self.store.status = 503
        self.reporter.withdraw(self.ledger.record_success(self.call))
        self.store.status = 200
        self.advance(3.0)
        self.assertEqual(self.store.calls, ["POST", "DELETE", "DELETE"])

    def add_foreign_entry(self, name="n1"):
        report = CrashReport(self.fingerprint, "a1", "l1", "vm-gone", 0)
        self.reporter.on_entry(name, report)

    def test_an_expired_report_of_a_vm_that_is_gone_is_removed(self):
        # It was believed, and kept in the store, for ever.
        self.add_foreign_entry()
        self.advance(crash_ledger.ENTRY_TTL_MS / 1_000, step_s=10.0)
        self.assertEqual((self.ledger.reports, self.store.calls), ({}, []))
        self.advance(crash_reporter.MAX_REMOVAL_DELAY_S, step_s=10.0)
        self.assertEqual(self.store.calls, ["DELETE"])

    def test_an_expired_report_is_removed_by_one_vm(self):
        self.add_foreign_entry()
        self.advance(crash_ledger.ENTRY_TTL_MS / 1_000, step_s=10.0)
        self.reporter.on_entry_removed("n1")
        self.advance(crash_reporter.MAX_REMOVAL_DELAY_S, step_s=10.0)
        self.assertEqual(self.store.calls, [])

    def test_each_report_expires_in_its_turn(self):
        self.add_foreign_entry("n1")
        self.advance(300.0, step_s=10.0)
        self.add_foreign_entry("n2")
        self.advance(crash_ledger.ENTRY_TTL_MS / 1_000 - 300.0, step_s=10.0)
        self.assertEqual(set(self.ledger.fingerprints), {"n2"})
        self.advance(300.0, step_s=10.0)
        self.assertEqual(self.ledger.reports, {})

    def test_a_restored_store_gets_back_the_trials_of_this_vm(self):
        for vm in ("vm-1", "vm-2"):
            trial = CrashTrial(self.fingerprint, 1, "a1", vm, 0)
            self.reporter.on_entry(vm, trial)
            self.reporter.on_entry_absent(vm)
        self.assertEqual(self.store.calls, ["POST"])
        self.assertIn(b'"trial":1', self.store.bodies[0])
