"""Tests of the upstream protocol around the leaf model."""

import json
import random
import unittest

from twisted.internet import address
from twisted.internet import task

from oriolegate.standins import leaf_documents
from oriolegate.standins.leaf_messages import LeafSettings
from oriolegate.standins.leaf_messages import LeafState
from oriolegate.standins.leaf_messages import ServiceTime
from oriolegate.standins.leaf_model import LeafModel
from oriolegate.standins.leaf_server import LeafServer
from oriolegate.standins.run_ledger import RunLedger

EVEN_TIME = ServiceTime(median_ms=10.0, sigma=0.0, straggler_ratio=0.0)


class Transport:
    """An in-memory TCP transport.

    The transport of twisted.internet.testing isn't used: that module imports
    trial, which changes `unittest.TestCase` so that nose2 can't load the tests.
    """

    def __init__(self):
        self.written = b""
        self.disconnected = False
        self.paused = False

    def getPeer(self):  # noqa: N802 (Twisted's name)
        return address.IPv4Address("TCP", "127.0.0.1", 1)

    def setTcpNoDelay(self, enabled):  # noqa: N802 (twisted's name)
        self.no_delay = enabled

    def write(self, data):
        self.written += data

    def abortConnection(self):  # noqa: N802 (twisted's name)
        self.disconnected = True

    def pauseProducing(self):  # noqa: N802 (twisted's name)
        self.paused = True

    def resumeProducing(self):  # noqa: N802 (twisted's name)
        self.paused = False


def request(method="POST", path="/query", body=b"", **headers):
    fields = {
        "X-Query": "q1",
        "X-Shard": "0",
        "X-Attempt": "0",
        "X-Index-Version": "7",
        **{name.replace("_", "-"): text for name, text in headers.items()},
        "Content-Length": str(len(body)),
    }
    lines = [f"{name}: {text}\r\n" for name, text in fields.items()]
    head = f"{method} {path} HTTP/1.1\r\n{''.join(lines)}\r\n"
    return head.encode() + body


class LeafServerTest(unittest.TestCase):
    def setUp(self):
        self.clock = task.Clock()
        self.latency_ms = 0.0
        self.server = self.make_server()
        self.model = self.server.model

    def make_server(self, **sizes):
        sizes = {
            "connection_ms": 0.0,
            "service_time": EVEN_TIME,
            "health_lag_ms": 500.0,
            **sizes,
        }
        model = LeafModel(
            LeafSettings(name="leaf-a", **sizes),
            RunLedger(),
            random.Random(1),
        )
        model.serve(7, [0, 1])
        return LeafServer(model, self.clock, lambda host: self.latency_ms)

    def connect(self, server=None):
        link = (server or self.server).buildProtocol(None)
        link.makeConnection(Transport())
        return link

    def advance_ms(self, interval_ms):
        self.clock.advance(interval_ms / 1_000.0)

    def read(self, link):
        head, _, body = link.transport.written.partition(b"\r\n\r\n")
        link.transport.written = b""
        lines = head.decode().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines[1:])
        status = int(lines[0].split()[1]) if lines[0] else 0
        return status, headers, body

    def test_query_is_answered_with_the_documents_of_its_shard(self):
        link = self.connect()
        link.dataReceived(request(X_Query="q9", X_Shard="1", X_Attempt="2"))
        self.assertEqual(link.transport.written, b"")
        self.advance_ms(10.0)
        status, headers, body = self.read(link)
        self.assertEqual(status, 200)
        self.assertEqual(
            headers,
            {
                "X-Query": "q9",
                "X-Shard": "1",
                "X-Attempt": "2",
                "X-Index-Version": "7",
                "X-Leaf-State": "warm",
                "X-Incarnation": "1",
                "Content-Length": str(len(body)),
            },
        )
        results = json.loads(body)["results"]
        self.assertEqual(results, leaf_documents.documents(7, 1))
        self.assertEqual(
            sorted(row["id"] for row in results),
            ["v7-s1-d0", "v7-s1-d1", "v7-s1-d2"],
        )

    def test_request_may_arrive_in_pieces(self):
        link = self.connect()
        for byte in request(body=b"crash-up", X_Idempotency_Key="k"):
            link.dataReceived(bytes([byte]))
        (query,) = self.model.running
        self.assertEqual(
            (query.body, query.idempotency_key), (b"crash-up", "k")
        )

    def test_refusal_carries_the_reason_and_the_version(self):
        link = self.connect()
        link.dataReceived(request(X_Index_Version="8"))
        status, headers, body = self.read(link)
        self.assertEqual((status, body), (503, b""))
        self.assertEqual(headers["X-Not-Run"], "no-version")
        self.assertEqual(headers["X-Index-Version"], "8")

    def test_deadline_starts_when_the_query_arrives(self):
        server = self.make_server(slots=1)
        first, second = self.connect(server), self.connect(server)
        first.dataReceived(request())
        second.dataReceived(request(X_Query="q2", X_Deadline_Ms="9"))
        self.advance_ms(10.0)
        self.assertEqual(self.read(first)[0], 200)
        self.assertEqual(self.read(second)[1]["X-Not-Run"], "expired")

    def test_cancel_on_another_connection_ends_a_query(self):
        first, second = self.connect(), self.connect()
        first.dataReceived(request())
        second.dataReceived(request(path="/cancel"))
        self.assertEqual(self.read(second)[0], 204)
        self.assertEqual(self.read(first)[0], 500)
        self.assertEqual(self.model.counts.cancelled, 1)

    def test_health_and_load_lag_and_health_may_lie(self):
        link = self.connect()

        def get(path):
            link.dataReceived(request("GET", path))
            return json.loads(self.read(link)[2])

        warm = {"state": "warm", "incarnation": 1}
        self.assertEqual(get("/health"), warm)
        self.model.turn_cold(0.0)
        self.advance_ms(499.0)
        self.assertEqual(get("/health"), warm)
        self.advance_ms(1.0)
        self.assertEqual(get("/health")["state"], "cold")
        self.assertEqual(
            get("/load"), {"in_flight": 0, "waiting": 0, "connections": 1}
        )
        self.model.faults.lie = "warm"
        self.advance_ms(500.0)
        self.assertEqual(get("/health"), warm)
        self.assertIs(self.model.state(), LeafState.COLD)

    def test_connection_is_read_after_its_setup_time(self):
        link = self.connect(self.make_server(connection_ms=6.0))
        self.advance_ms(5.0)
        self.assertTrue(link.transport.paused)
        self.advance_ms(1.0)
        self.assertFalse(link.transport.paused)

    def test_latency_delays_a_query_and_its_answer(self):
        self.latency_ms = 20.0
        link = self.connect()
        link.dataReceived(request())
        self.advance_ms(19.0)
        self.assertEqual(self.model.in_flight(), 0)
        self.advance_ms(1.0)
        self.assertEqual(self.model.in_flight(), 1)
        (query,) = self.model.running
        self.assertEqual(query.sent_ms, 0.0)
        self.advance_ms(10.0)
        self.assertEqual(self.model.in_flight(), 0)
        self.advance_ms(19.0)
        self.assertEqual(self.read(link)[0], 0)
        self.advance_ms(1.0)
        self.assertEqual(self.read(link)[0], 200)

    def test_latency_is_added_to_the_setup_time(self):
        self.latency_ms = 20.0
        link = self.connect(self.make_server(connection_ms=6.0))
        self.advance_ms(45.0)
        self.assertTrue(link.transport.paused)
        self.advance_ms(1.0)
        self.assertFalse(link.transport.paused)

    def test_latency_does_not_shorten_the_deadline(self):
        self.latency_ms = 20.0
        link = self.connect()
        link.dataReceived(request(X_Deadline_Ms="9"))
        self.advance_ms(20.0)
        self.assertEqual(self.model.in_flight(), 1)

    def test_rejected_connection_is_closed_without_an_answer(self):
        server = self.make_server(connections=1)
        accepted, rejected = self.connect(server), self.connect(server)
        self.assertFalse(accepted.transport.disconnected)
        self.assertTrue(rejected.transport.disconnected)
        self.assertEqual(rejected.transport.written, b"")
        self.assertEqual(server.model.counts.connections_over_limit, 1)

    def test_crash_closes_all_connections(self):
        first, second = self.connect(), self.connect()
        first.dataReceived(request())
        second.dataReceived(request(X_Query="bad", body=b"crash-upstream"))
        for link in (first, second):
            self.assertTrue(link.transport.disconnected)
            link.connectionLost(None)
        self.advance_ms(100.0)
        self.assertEqual(first.transport.written, b"")
        self.assertEqual(self.model.connections, set())

    def test_silent_leaf_loses_queries_and_answers(self):
        link = self.connect()
        link.dataReceived(request())
        self.model.faults.silent = True
        link.dataReceived(request(X_Query="q2"))
        self.advance_ms(100.0)
        self.assertEqual(link.transport.written, b"")
        self.assertFalse(link.transport.disconnected)
        self.assertEqual(self.model.ledger.runs, 1)
        self.model.faults.silent = False
        link.dataReceived(request(X_Query="q3"))
        self.advance_ms(100.0)
        self.assertEqual(self.read(link)[1]["X-Query"], "q3")

    def test_answer_for_a_lost_connection_is_dropped(self):
        link = self.connect()
        link.dataReceived(request())
        link.connectionLost(None)
        self.advance_ms(100.0)
        self.assertEqual(link.transport.written, b"")
        self.assertEqual(self.server.protocols, {})
        self.assertEqual(self.model.ledger.runs, 1)

    def test_malformed_requests_are_refused(self):
        link = self.connect()
        link.dataReceived(request(X_Shard="first"))
        self.assertEqual(self.read(link)[0], 400)
        link.dataReceived(request(path="/other"))
        self.assertEqual(self.read(link)[0], 404)
        link.dataReceived(b"no http at all\r\n\r\n")
        self.assertTrue(link.transport.disconnected)
        self.assertEqual(self.model.counts.queries, 0)
