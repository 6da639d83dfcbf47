"""Tests of timeouts of the HTTP client, on sockets."""

import unittest

from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor

from oriolegate.clock import SystemClock
from oriolegate.network.http_client import HttpClient
from tests.reactor_case import on_reactor

HOST = "127.0.0.1"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"


class ScriptedServer(protocol.Protocol):
    """Sends pieces of an answer, each after a delay from the request."""

    def __init__(self, pieces):
        self.pieces = pieces

    def dataReceived(self, data):  # noqa: N802 (Twisted's name)
        for delay_ms, piece in self.pieces:
            reactor.callLater(delay_ms / 1_000, self.transport.write, piece)


async def get_answer(pieces, timeout_ms):
    factory = protocol.ServerFactory()
    factory.buildProtocol = lambda address: ScriptedServer(pieces)
    port = reactor.listenTCP(0, factory, interface=HOST)
    client = HttpClient(reactor, SystemClock(), (HOST, port.getHost().port))
    finished = defer.Deferred()
    client.send(b"GET / HTTP/1.1\r\n\r\n", timeout_ms, finished.callback)
    outcome = await finished
    client.pool.close()
    await defer.maybeDeferred(port.stopListening)
    for call in reactor.getDelayedCalls():
        call.cancel()
    return outcome


class TimeoutTest(unittest.TestCase):
    @on_reactor
    async def test_a_timeout_without_an_answer_says_so(self):
        outcome = await get_answer([], 40.0)
        self.assertEqual(outcome, "no answer in time")

    @on_reactor
    async def test_a_timeout_amid_an_answer_states_how_much_arrived(self):
        head = HEAD % 10
        outcome = await get_answer([(0.0, head + b"1234")], 40.0)
        self.assertEqual(
            outcome,
            f"answer incomplete in time; {len(head) + 4} bytes received",
        )

    @on_reactor
    async def test_an_answer_that_keeps_arriving_is_not_cut_at_the_timeout(
        self,
    ):
        pieces = [(0.0, HEAD % 60_000)]
        pieces += [(10.0 * step, bytes(10_000)) for step in range(1, 7)]
        outcome = await get_answer(pieces, 35.0)
        self.assertEqual(len(outcome.body), 60_000)

    @on_reactor
    async def test_an_answer_that_stalls_is_abandoned(self):
        pieces = [(0.0, HEAD % 60_000), (1.0, bytes(50_000))]
        outcome = await get_answer(pieces, 30.0)
        self.assertIn("answer incomplete in time", outcome)

    @on_reactor
    async def test_an_answer_that_trickles_is_abandoned(self):
        head = HEAD % 60_000
        pieces = [(0.0, head)]
        pieces += [(10.0 * step, b"x") for step in range(1, 20)]
        outcome = await get_answer(pieces, 100.0)
        self.assertIn("answer incomplete in time", outcome)
