"""Tests of what responses of leafs report besides the answer."""

import unittest

import attrs
from twisted.internet import task

from oriolegate.clock import FakeClock
from oriolegate.models.header_lines import HeaderLines
from oriolegate.network.http_connection import Answered
from oriolegate.network.http_reader import HttpResponse
from oriolegate.network.leaf_client import LeafClient
from oriolegate.network.leaf_client import REJECTION_WAIT_MS
from tests import repeating_server
from tests import site_builders as build
from tests import virtual_network
from tests.repeating_server import RepeatingServer

LIMIT = (b"server-limit", b"2.5")
SIGNED = (b"server-seal", b"x.1")


class AbandonTest(unittest.TestCase):
    """Sends whose answer is no longer needed."""

    def setUp(self):
        self.timers = task.Clock()
        self.clock = FakeClock()
        self.client = LeafClient(self.timers, self.clock)
        self.client._get_pool = lambda leaf: self
        self.cancelled = []

    def send(self, call):
        """Take a call in place of a pool, as sent."""
        call.connection = self

    def cancel(self, call):
        """Cancel a call in place of a pool."""
        self.cancelled.append(call)

    def advance(self, ms):
        self.clock.advance(ms)
        self.timers.advance(ms / 1_000.0)

    def start(self, leaf_id="a"):
        return self.client.send(
            build.leaf(leaf_id), build.call(), b"", 9.0, lambda answer: None
        )

    def test_an_abandoned_send_may_still_be_rejected(self):
        # After longer than a round trip too: the leaf may have queued it.
        for sent_ms in (1.0, REJECTION_WAIT_MS, 20.0 * REJECTION_WAIT_MS):
            with self.subTest(sent_ms=sent_ms):
                self.cancelled.clear()
                open_send = self.start()
                self.advance(sent_ms)
                self.client.abandon(open_send)
                self.advance(REJECTION_WAIT_MS - 2.0)
                self.assertEqual(self.cancelled, [])
                self.advance(2.1)
                self.assertEqual(self.cancelled, [open_send.call])
                self.assertEqual(self.client.closing, {})

    def test_a_health_check_without_an_answer_is_closed_at_once(self):
        open_check = self.client.check_health(
            build.leaf("a"), "/health", lambda report: None
        )
        self.advance(1.0)
        self.client.abandon(open_check)
        self.assertEqual(self.cancelled, [open_check.call])

    def test_a_send_that_has_not_left_is_closed_at_once(self):
        open_send = self.start()
        open_send.call.connection = None
        self.client.abandon(open_send)
        self.assertEqual(self.cancelled, [open_send.call])

    def test_a_further_send_to_the_leaf_needs_no_further_connection(self):
        first, other = self.start(), self.start("b")
        self.client.abandon(first)
        self.client.abandon(other)
        self.start()
        self.assertEqual(self.cancelled, [first.call])
        self.advance(REJECTION_WAIT_MS)
        self.assertEqual(self.cancelled, [first.call, other.call])

    def test_a_further_send_over_an_idle_connection_closes_none(self):
        # The rejection of an abandoned send was lost with its connection.
        first = self.start()
        self.client.abandon(first)
        self.client.has_idle = lambda leaf_id: True
        self.start()
        self.assertEqual(self.cancelled, [])
        self.advance(REJECTION_WAIT_MS + 0.1)
        self.assertEqual(self.cancelled, [first.call])


class NoticeTest(unittest.TestCase):
    def setUp(self):
        self.client = LeafClient(None, FakeClock())
        self.client._get_pool = lambda leaf: self
        self.limits = []
        self.client.on_notice = lambda leaf_id, notice: self.limits.append(
            (leaf_id, notice.limit_per_s)
        )

    def send(self, call):
        """Answer a call at once, in place of a pool."""
        call.done(Answered(self.response))

    def request(self, status, *headers):
        self.response = HttpResponse(status, HeaderLines.of(headers), b"")
        self.client.send(
            build.leaf("a"), build.call(), b"", 9.0, lambda answer: None
        )

    def check_health(self, *headers):
        self.response = HttpResponse(200, HeaderLines.of(headers), b"")
        self.client.check_health(
            build.leaf("a"), "/health", lambda report: None
        )

    def test_every_answer_of_the_leaf_states_the_limit_or_its_end(self):
        self.request(200, LIMIT, SIGNED)
        self.request(500, LIMIT, SIGNED)
        self.request(503, LIMIT, (b"not-executed", b"1"))
        self.check_health(LIMIT, (b"instance-id", b"a"))
        self.assertEqual(self.limits, [("a", 2.5)] * 4)
        self.request(200, SIGNED)
        self.assertEqual(self.limits[-1], ("a", None))

    def test_an_answer_of_another_leaf_at_the_address_is_ignored(self):
        self.request(421, LIMIT, (b"not-executed", b"1"))
        self.check_health(LIMIT, (b"instance-id", b"b"))
        self.check_health(LIMIT)
        self.assertEqual(self.limits, [])


def respond_as_leaf(request):
    """Answer as a leaf: repeat the attempt id, or state the leaf's id."""
    for line in request.split(b"\r\n"):
        if line.startswith(b"Attempt-Id:"):
            headers = line + b"\r\nServer-Seal: x.1\r\n"
            return repeating_server.answer(line.split()[1], headers)
    return repeating_server.answer(b"healthy", b"Instance-Id: a\r\n")


class LateCopyTest(unittest.TestCase):
    """A leaf repeats each answer late, on a connection in use again."""

    def setUp(self):
        self.network = virtual_network.VirtualNetwork(0.001)
        server = RepeatingServer(self.network, "leaf")
        server.respond = respond_as_leaf
        host = self.network.add_host("vm", 1e6)
        self.client = LeafClient(host, self.network.clock)
        name, port = server.address
        self.leaf = attrs.evolve(build.leaf("a"), host=name, port=port)

    def request(self, attempt):
        call = attrs.evolve(build.call(), attempt_id=attempt)
        head = f"GET /x HTTP/1.1\r\nAttempt-Id: {attempt}".encode()
        answers = []
        self.client.send(self.leaf, call, head, 900.0, answers.append)
        self.network.run_for(1.0)
        return answers

    def check_health(self):
        reports = []
        self.client.check_health(self.leaf, "/health", reports.append)
        self.network.run_for(1.0)
        return reports

    def test_each_request_gets_its_own_answer(self):
        for attempt in ("a1", "a2", "a3"):
            (answer,) = self.request(attempt)
            self.assertEqual(answer.body, attempt.encode())

    def test_a_late_answer_to_a_request_is_no_health_report(self):
        self.request("a1")
        (report,) = self.check_health()
        self.assertEqual(report.leaf_id, "a")

    def test_a_late_health_report_is_no_answer_to_a_request(self):
        self.check_health()
        (answer,) = self.request("a1")
        self.assertEqual(answer.body, b"a1")
