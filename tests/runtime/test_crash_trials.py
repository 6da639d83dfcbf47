"""Tests of claiming trials of refused requests."""

import random
import unittest

from twisted.internet import task

from oriolegate.crashes import crash_ledger
from oriolegate.crashes import trial_schedule
from oriolegate.crashes.crash_ledger import CrashLedger
from oriolegate.metrics import MetricsRegistry
from oriolegate.models.header_lines import HeaderLines
from oriolegate.models.site import CrashReport
from oriolegate.network.http_reader import HttpResponse
from oriolegate.runtime import crash_trials
from oriolegate.runtime.crash_reporter import CrashReporter
from oriolegate.runtime.crash_trials import CrashTrials
from tests import site_builders as build
from tests.reactor_clock import ReactorClock


class FakeStore:
    """Keeps calls until the test answers them."""

    def __init__(self):
        self.open = []

    def call(self, call, timeout_ms, done):
        self.open.append((call, done))

    def answer(self, status):
        _, done = self.open.pop(0)
        done(
            HttpResponse(status, HeaderLines(), b"") if status else "no answer"
        )


class FakeChecker:
    """Keeps checks until the test answers them."""

    def __init__(self):
        self.open = []

    def check_before_trial(self, record, done):
        self.open.append((record.entry.leaf_id, done))

    def answer(self, is_healthy):
        self.open.pop(0)[1](is_healthy)


class CrashTrialsTest(unittest.TestCase):
    def setUp(self):
        self.reactor = task.Clock()
        clock = ReactorClock(self.reactor)
        self.store = FakeStore()
        self.checker = FakeChecker()
        self.ledger = CrashLedger()
        metrics = MetricsRegistry()
        self.directory = build.directory([build.leaf("a")])
        self.trials = CrashTrials(
            self.reactor,
            clock,
            self.store,
            "vm-1",
            self.directory,
            self.checker,
            CrashReporter(
                self.reactor,
                clock,
                self.store,
                "vm-1",
                self.ledger,
                metrics,
                random.Random(1),
            ),
            metrics,
        )
        self.clock = clock
        self.call = build.call()
        self.fingerprint = crash_ledger.call_fingerprint(self.call)
        for number in range(3):
            report = CrashReport(
                self.fingerprint, f"a{number}", f"l{number}", "vm-2", 0
            )
            self.ledger.add_entry(0.0, f"r{number}", report)
        self.reactor.advance(trial_schedule.FIRST_TRIAL_MS / 1_000)
        self.results = []

    def claim(self, request="r1"):
        return self.trials.claim(
            request,
            self.call,
            self.ledger.suspicion(self.clock.now_ms(), self.call),
            build.route(),
            ("s",),
            lambda may_try: self.results.append((request, may_try)),
        )

    def test_a_trial_is_made_once_the_store_has_accepted_its_claim(self):
        self.assertTrue(self.claim())
        self.checker.answer(True)
        self.assertEqual(self.results, [])
        call = self.store.open[0][0]
        self.assertEqual(call.method, "POST")
        self.assertIn(b"-trial-1", call.body)
        self.store.answer(201)
        self.assertEqual(self.results, [("r1", True)])
        # The next one is not due yet.
        self.assertFalse(self.claim())

    def test_a_trial_that_another_vm_has_claimed_is_not_made(self):
        self.claim()
        self.checker.answer(True)
        self.store.answer(409)
        self.assertEqual(self.results, [("r1", False)])
        self.assertFalse(self.claim())
        self.reactor.advance(trial_schedule.NEXT_TRIAL_MS / 1_000)
        self.assertTrue(self.claim())
        self.checker.answer(True)
        self.assertIn(b"-trial-2", self.store.open[0][0].body)

    def test_no_trial_is_claimed_without_a_healthy_leaf(self):
        self.claim()
        self.checker.answer(False)
        self.assertEqual((self.results, self.store.open), ([("r1", False)], []))
        self.directory.leafs["a"].suspect = True
        self.assertFalse(self.claim())

    def test_no_trial_is_made_while_the_store_refuses(self):
        for status in (503, 429, 0):
            self.claim(status)
            self.checker.answer(True)
            self.store.answer(status)
        self.assertEqual(self.results, [(503, False), (429, False), (0, False)])
        self.assertTrue(self.claim())

    def test_one_request_at_a_time_waits_for_a_claim(self):
        self.claim()
        self.assertFalse(self.claim("r2"))
        self.checker.answer(True)
        self.assertFalse(self.claim("r2"))

    def test_a_request_does_not_wait_for_long(self):
        self.claim()
        self.reactor.advance(crash_trials.CLAIM_TIMEOUT_MS / 1_000)
        self.assertEqual(self.results, [("r1", False)])
        self.checker.answer(True)
        self.assertEqual(self.store.open, [])
        self.assertTrue(self.claim())

    def test_a_trial_claimed_too_late_is_made_with_the_next_request(self):
        self.claim()
        self.checker.answer(True)
        self.reactor.advance(crash_trials.CLAIM_TIMEOUT_MS / 1_000)
        self.store.answer(201)
        self.assertEqual(self.results, [("r1", False)])
        self.assertTrue(self.claim("r2"))
        self.checker.answer(True)
        self.assertEqual(self.results[1:], [("r2", True)])
        self.assertFalse(self.claim("r3"))

    def test_an_old_claim_is_not_used(self):
        self.claim()
        self.checker.answer(True)
        self.trials.cancel("r1")
        self.store.answer(201)
        self.reactor.advance(crash_trials.UNUSED_MS / 1_000)
        self.claim("r2")
        self.checker.answer(True)
        self.assertIn(b"-trial-2", self.store.open[0][0].body)

    def test_a_caller_that_disconnects_gets_no_trial(self):
        self.claim()
        self.trials.cancel("r1")
        self.checker.answer(True)
        self.reactor.advance(1.0)
        self.assertEqual((self.results, self.store.open), ([], []))
        self.assertTrue(self.claim("r2"))

    def test_when_the_process_ends_waiting_requests_are_refused(self):
        self.claim()
        self.checker.answer(True)
        self.trials.end_all()
        self.assertEqual(self.results, [("r1", False)])
        self.store.answer(201)
        self.assertEqual(self.results, [("r1", False)])
