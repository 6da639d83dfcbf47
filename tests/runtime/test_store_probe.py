"""Tests of probing the store."""

import unittest

from twisted.internet import task

from oriolegate.models.header_lines import HeaderLines
from oriolegate.network.http_reader import HttpResponse
from oriolegate.runtime import store_probe
from oriolegate.runtime.store_probe import StoreProbe
from tests.reactor_clock import ReactorClock

FOUND = HttpResponse(200, HeaderLines(), b"{}")
NOT_FOUND = HttpResponse(404, HeaderLines(), b"{}")
REFUSED = HttpResponse(503, HeaderLines(), b"{}")
INTERVAL_S = store_probe.PROBE_INTERVAL_MS / 1_000


class FakeClient:
    """Keeps the last call open until the test answers it."""

    def __init__(self):
        self.targets = []
        self.cancelled_count = 0

    def call(self, call, timeout_ms, done):
        self.targets.append(call.target)
        self.done = done
        return self._cancel

    def _cancel(self):
        self.cancelled_count += 1


class StoreProbeTest(unittest.TestCase):
    def setUp(self):
        self.reactor = task.Clock()
        self.client = FakeClient()
        self.probe = StoreProbe(
            self.reactor, ReactorClock(self.reactor), self.client, "vm-1"
        )
        self.results = []
        self.probe.on_answered = self.results.append
        self.probe.on_failed = lambda: self.results.append("failed")
        self.probe.start()

    def test_a_probe_is_a_read_that_costs_a_tenth(self):
        self.assertIn("/vm-1?allow_stale=1", self.client.targets[0])

    def test_the_store_answers_whether_or_not_the_entry_exists(self):
        for response in (FOUND, NOT_FOUND):
            self.client.done(response)
        self.assertEqual(self.results, [0, 0])

    def test_a_store_that_turns_the_vm_away_does_not_answer(self):
        self.client.done(REFUSED)
        self.assertEqual(self.results, ["failed"])
        self.assertEqual(self.probe.failures, 1)

    def test_the_first_failed_probe_is_repeated_at_once(self):
        self.client.done("no answer in time")
        self.reactor.advance(0.0)
        self.assertEqual(len(self.client.targets), 2)
        self.client.done(FOUND)
        self.assertEqual(self.results, ["failed", 1])

    def test_further_probes_follow_at_an_interval(self):
        for _ in range(2):
            self.client.done("no answer in time")
            self.reactor.advance(0.0)
        self.assertEqual(len(self.client.targets), 2)
        self.reactor.advance(INTERVAL_S)
        self.assertEqual(len(self.client.targets), 3)

    def test_no_probe_is_made_after_the_end(self):
        self.probe.stop()
        self.assertEqual(self.client.cancelled_count, 1)
        self.reactor.advance(60.0)
        self.assertEqual(len(self.client.targets), 1)
