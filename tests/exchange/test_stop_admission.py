"""Tests of which requests a stopping VM takes."""

import unittest

from oriolegate.exchange import stop_admission
from oriolegate.exchange.stop_admission import StopAdmission
from oriolegate.placement.route_latency import RouteLatencies
from oriolegate.platform.documents import ConfigurationDecoder
from tests.platform import stand_in_documents as documents

EXIT_MS = 10_000.0
WORK_MS = 400.0


ROUTES = (
    documents.route_spec("one", service="s0", target_latency_ms=1_000),
    documents.route_spec("slow", service="s0", target_latency_ms=4_000),
    documents.route_spec(
        "once",
        service="s0",
        type=documents.NON_IDEMPOTENT,
        target_latency_ms=1_000,
    ),
)


class StopAdmissionTest(unittest.TestCase):
    def setUp(self):
        self.latencies = RouteLatencies()
        self.admission = StopAdmission(EXIT_MS, self.latencies)
        spec = documents.configuration_spec(1, ROUTES, ["s0"])
        routes = ConfigurationDecoder().decode(spec).routes
        self.routes = {route.name: route for route in routes}

    def latest_ms(self, name):
        """Return the last whole millisecond at which a request is taken."""
        return max(
            now_ms
            for now_ms in range(int(EXIT_MS))
            if self.admission.can_end(now_ms, self.routes[name])
        )

    def test_a_request_is_taken_while_it_usually_ends_before_the_exit(self):
        latency = self.latencies.for_route("one", 1_000.0)
        for _ in range(100):
            latency.record(WORK_MS, 0.0)
        needed_ms = latency.usual_ms + stop_admission.REPLY_MS
        self.assertGreaterEqual(needed_ms, WORK_MS)
        self.assertEqual(self.latest_ms("one"), int(EXIT_MS - needed_ms))

    def test_a_request_that_may_not_be_repeated_needs_more_time(self):
        self.assertLess(self.latest_ms("once"), self.latest_ms("one"))

    def test_an_unknown_latency_is_estimated_from_the_target(self):
        self.assertLess(self.latest_ms("slow"), self.latest_ms("one"))
