"""Tests of requests that a stopping VM gets late, with whole gateways."""

import unittest

from tests.platform import stand_in_documents as documents
from tests.virtual_fleet import FAST_BYTES_PER_S
from tests.virtual_fleet import VirtualFleet

WORK_S = 2.0
TIMEOUT_MS = 8_000
TARGET_MS = 2_500
LEARNING_REQUESTS = 40
GRACE_S = 6.0
INTERVAL_S = 0.1
ROUTES = (
    documents.route_spec(
        "one",
        service="s0",
        timeout_ms=TIMEOUT_MS,
        target_latency_ms=TARGET_MS,
    ),
    documents.route_spec(
        "once",
        service="s0",
        type=documents.NON_IDEMPOTENT,
        timeout_ms=TIMEOUT_MS,
        target_latency_ms=TARGET_MS,
    ),
)


class LateRequestsTest(unittest.TestCase):
    def setUp(self):
        self.fleet = VirtualFleet(
            documents.configuration_spec(1, ROUTES, ["s0"])
        )
        self.runs = set()
        for number in range(12):
            leaf = self.fleet.add_leaf(f"leaf-{number}", "s0")
            leaf.behave = self.run_request
        self.fleet.start(2, FAST_BYTES_PER_S)
        self.network = self.fleet.network
        self.responses = {}

    def run_request(self, request):
        self.runs.add(request.attempt_id.decode())
        self.network.reactor.callLater(WORK_S, request.answer, bytes(16))

    def send(self, route, attempt):
        method = "POST" if route == "once" else "GET"
        data = documents.caller_request(
            method, f"/{route}/x", attempt, TIMEOUT_MS
        )

        def done(response):
            self.responses[attempt] = response

        self.fleet.client("vm0").send(data, TIMEOUT_MS, done)

    def send_until_the_exit(self, route):
        for number in range(LEARNING_REQUESTS):
            self.send(route, f"early-{number}")
            self.network.run_for(INTERVAL_S)
        self.network.run_for(WORK_S + 1.0)
        process = self.fleet.gateways["vm0"]
        process.on_exit = lambda: self.fleet.hosts["vm0"].kill()
        process.plan_stop()
        attempts = [f"late-{n}" for n in range(round(GRACE_S / INTERVAL_S))]
        for attempt in attempts:
            self.send(route, attempt)
            self.network.run_for(INTERVAL_S)
        self.network.run_for(3.0)
        # A caller whose connection is refused gets a reason, not a response.
        return [
            (attempt, self.responses[attempt])
            for attempt in attempts
            if not isinstance(self.responses[attempt], str)
        ]

    def check_late_requests(self, route):
        answered = self.send_until_the_exit(route)
        served = [attempt for attempt, r in answered if r.status == 200]
        refused = [attempt for attempt, r in answered if r.status == 503]
        self.assertEqual(
            [r.status for _, r in answered if r.status not in (200, 503)], []
        )
        # The first seconds of the stop are for callers that don't know of it.
        self.assertGreaterEqual(len(served), round(1.0 / INTERVAL_S))
        self.assertTrue(refused)
        for attempt, response in answered:
            if attempt in refused:
                self.assertNotIn(attempt, self.runs)
                self.assertEqual(response.header(b"retry-after"), b"0.000")

    def test_a_late_request_that_may_not_be_repeated_is_refused_unrun(self):
        self.check_late_requests("once")

    def test_a_late_request_that_cannot_end_in_time_is_refused_at_once(self):
        self.check_late_requests("one")
