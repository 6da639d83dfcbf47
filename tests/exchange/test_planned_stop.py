"""Tests of the state machine of a gateway's planned stop."""

import unittest

import hypothesis
from hypothesis import strategies as st

from oriolegate.exchange import planned_stop
from oriolegate.exchange.planned_stop import AnswerOpen
from oriolegate.exchange.planned_stop import CHECK_MS
from oriolegate.exchange.planned_stop import CloseIdle
from oriolegate.exchange.planned_stop import ClosePorts
from oriolegate.exchange.planned_stop import Exit
from oriolegate.exchange.planned_stop import FLUSH_MS
from oriolegate.exchange.planned_stop import PlannedStop
from oriolegate.exchange.planned_stop import StopPhase
from oriolegate.exchange.planned_stop import WakeAt
from oriolegate.placement.route_latency import RouteLatencies
from oriolegate.platform.documents import ConfigurationDecoder
from tests.platform import stand_in_documents as documents

EXIT_MS = 9_200.0
GRACE_MS = 10_000.0
NOTICE_MS = 4_500.0
ACCEPT_MS = 7_000.0
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


def decode_routes():
    spec = documents.configuration_spec(1, ROUTES, ["s0"])
    routes = ConfigurationDecoder().decode(spec).routes
    return {route.name: route for route in routes}


def make_stop():
    stop = PlannedStop(RouteLatencies())
    stop.begin(0.0, GRACE_MS)
    return stop


class StopPhasesTest(unittest.TestCase):
    def check_steps(self, steps):
        stop = PlannedStop(RouteLatencies())
        self.assertEqual(stop.step(0.0, 3), [])
        self.assertEqual(stop.begin(0.0, GRACE_MS), [WakeAt(NOTICE_MS)])
        for now_ms, open_connections, effects in steps:
            self.assertEqual(stop.step(now_ms, open_connections), effects)
        return stop

    def test_a_stop_with_open_requests_passes_through_all_phases(self):
        flushed_ms = EXIT_MS + FLUSH_MS
        until_ms = planned_stop.FLUSH_FRACTION * GRACE_MS
        stop = self.check_steps(
            [
                (3_000.0, 5, [WakeAt(NOTICE_MS)]),
                (NOTICE_MS, 5, [CloseIdle(), WakeAt(NOTICE_MS + CHECK_MS)]),
                (6_950.0, 3, [CloseIdle(), WakeAt(ACCEPT_MS)]),
                (ACCEPT_MS, 3, [ClosePorts(), WakeAt(ACCEPT_MS + CHECK_MS)]),
                (9_150.0, 2, [CloseIdle(), WakeAt(EXIT_MS)]),
                (EXIT_MS, 2, [AnswerOpen(), WakeAt(flushed_ms)]),
                (flushed_ms, 1, [CloseIdle(), WakeAt(flushed_ms + FLUSH_MS)]),
                (until_ms - 1.0, 1, [CloseIdle(), WakeAt(until_ms)]),
                (until_ms, 1, [Exit()]),
                (until_ms, 0, []),
            ]
        )
        self.assertIs(stop.phase, StopPhase.STOPPED)

    # An answer that a slow caller had not taken was cut 50 ms after the exit
    # time, though the process had time left.
    def test_an_exit_waits_until_callers_have_taken_their_answers(self):
        self.check_steps(
            [
                (EXIT_MS, 1, [ClosePorts(), AnswerOpen(), WakeAt(9_250.0)]),
                (9_250.0, 1, [CloseIdle(), WakeAt(9_300.0)]),
                (9_300.0, 0, [Exit()]),
            ]
        )

    # The last connections may wait at the port that an idle process closes.
    def test_an_idle_process_counts_what_it_accepted_before_it_exits(self):
        self.check_steps(
            [
                (NOTICE_MS, 0, [ClosePorts(), WakeAt(NOTICE_MS + CHECK_MS)]),
                (4_600.0, 1, [CloseIdle(), WakeAt(4_700.0)]),
                (4_700.0, 0, [Exit()]),
            ]
        )

    def test_a_process_that_was_late_ends_at_once(self):
        late_ms = GRACE_MS - 1.0
        self.check_steps(
            [
                (
                    late_ms,
                    1,
                    [ClosePorts(), AnswerOpen(), WakeAt(late_ms + FLUSH_MS)],
                ),
                (late_ms + FLUSH_MS, 1, [Exit()]),
            ]
        )

    def test_a_second_stop_request_neither_hastens_nor_delays_the_exit(self):
        stop = make_stop()
        for grace_ms in (GRACE_MS / 10.0, 10.0 * GRACE_MS):
            self.assertEqual(stop.begin(1_000.0, grace_ms), [])
        self.assertEqual(stop.exit_ms, EXIT_MS)

    def test_forwarded_requests_are_served_until_connections_are_closed(self):
        stop = PlannedStop(RouteLatencies())
        self.assertTrue(stop.takes_forwards)
        stop.begin(0.0, GRACE_MS)
        self.assertTrue(stop.takes_forwards)
        stop.step(NOTICE_MS, 1)
        self.assertFalse(stop.takes_forwards)


class StopAdmissionTest(unittest.TestCase):
    def setUp(self):
        self.stop = make_stop()
        self.routes = decode_routes()

    def latest_ms(self, name):
        """Return the last whole millisecond at which a request is taken."""
        return max(
            now_ms
            for now_ms in range(int(GRACE_MS))
            if self.stop.can_take(now_ms, self.routes[name])
        )

    def test_a_request_is_taken_while_it_usually_ends_before_the_exit(self):
        latency = self.stop.latencies.for_route("one", 1_000.0)
        for _ in range(100):
            latency.record(WORK_MS, 0.0)
        needed_ms = latency.usual_ms + planned_stop.REPLY_MS
        self.assertGreaterEqual(needed_ms, WORK_MS)
        self.assertEqual(self.latest_ms("one"), int(EXIT_MS - needed_ms))

    def test_a_request_that_may_not_be_repeated_needs_more_time(self):
        self.assertLess(self.latest_ms("once"), self.latest_ms("one"))

    def test_an_unknown_latency_is_estimated_from_the_target(self):
        self.assertLess(self.latest_ms("slow"), self.latest_ms("one"))

    def test_a_serving_process_takes_every_request(self):
        stop = PlannedStop(RouteLatencies())
        self.assertTrue(stop.can_take(1e9, self.routes["once"]))


ACTIONS = st.sampled_from(["connect", "wait at port", "request", "close"])


class PlannedStopPropertyTest(unittest.TestCase):
    """Random orders of callers' actions and of the steps of a stop."""

    # An exit that comes before what a taken request relies on loses it.
    @hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
    @hypothesis.given(
        st.lists(st.tuples(st.floats(0.0, 700.0), ACTIONS), max_size=60)
    )
    def test_no_request_is_taken_that_an_earlier_exit_cuts(self, actions):
        self.stop = make_stop()
        self.route = decode_routes()["one"]
        # Whether a request is open, by connection.
        self.connections: list[bool] = []
        self.waiting = 0
        self.is_open = True
        self.wake_ms: float | None = NOTICE_MS
        now_ms = 0.0
        for delay_ms, action in actions:
            now_ms += delay_ms
            self.run_steps(now_ms)
            self.act(now_ms, action)
        self.run_steps(2.0 * GRACE_MS)
        self.assertIs(self.stop.phase, StopPhase.STOPPED)
        self.assertFalse(self.is_open)

    def run_steps(self, now_ms):
        while self.wake_ms is not None and self.wake_ms <= now_ms:
            at_ms, self.wake_ms = self.wake_ms, None
            for effect in self.stop.step(at_ms, len(self.connections)):
                self.carry_out(at_ms, effect)

    def carry_out(self, now_ms, effect):
        match effect:
            case CloseIdle():
                self.connections = [r for r in self.connections if r]
            case ClosePorts():
                self.assertTrue(self.is_open)
                self.is_open = False
                self.connections += [True] * self.waiting
                self.waiting = 0
            case AnswerOpen():
                self.assertGreaterEqual(now_ms, EXIT_MS)
                self.assertFalse(self.stop.can_take(now_ms, self.route))
            case WakeAt(at_ms):
                self.wake_ms = at_ms
            case Exit():
                self.assertFalse(self.is_open)
                if now_ms < EXIT_MS:
                    self.assertEqual(self.connections, [])

    def act(self, now_ms, action):
        connections = self.connections
        match action:
            case "connect" if self.is_open:
                connections.append(False)
            case "wait at port" if self.is_open:
                self.waiting += 1
            case "request" if connections:
                connections[0] |= self.stop.can_take(now_ms, self.route)
            case "close" if connections:
                connections.pop()


if __name__ == "__main__":
    unittest.main()
