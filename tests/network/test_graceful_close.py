"""Tests that closing loses no request that waits in a socket."""

import unittest

from twisted.internet import defer
from twisted.internet import reactor

from oriolegate.clock import SystemClock
from oriolegate.models.machine import MachineLimits
from oriolegate.network import graceful_close
from oriolegate.network.caller_server import InternalHttpFactory
from oriolegate.network.server_connections import ServerConnections
from tests.reactor_case import on_reactor
from tests.socket_caller import Caller

HOST = "127.0.0.1"
CALLER_COUNT = 30
REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


class AcceptWaitingTest(unittest.TestCase):
    @on_reactor
    async def test_requests_that_wait_at_a_closing_port_are_answered(self):
        server = ServerConnections(reactor, SystemClock(), MachineLimits())
        factory = InternalHttpFactory(
            server, lambda target, respond: respond(200, b"ok")
        )
        port = reactor.listenTCP(
            0, factory, backlog=graceful_close.LISTEN_BACKLOG, interface=HOST
        )
        callers = [
            Caller((HOST, port.getHost().port), REQUEST)
            for _ in range(CALLER_COUNT)
        ]
        graceful_close.accept_waiting(port)
        await defer.maybeDeferred(port.stopListening)
        statuses = [await caller.read_status() for caller in callers]
        self.assertEqual(statuses, [200] * CALLER_COUNT)

    # A port that closes in a later turn of the event loop resets what arrives
    # until then, though the caller could have asked another process.
    @on_reactor
    async def test_a_closed_port_refuses_connections_in_the_same_turn(self):
        server = ServerConnections(reactor, SystemClock(), MachineLimits())
        factory = InternalHttpFactory(
            server, lambda target, respond: respond(200, b"ok")
        )
        port = reactor.listenTCP(
            0, factory, backlog=graceful_close.LISTEN_BACKLOG, interface=HOST
        )
        address = (HOST, port.getHost().port)
        before = Caller(address, REQUEST)
        graceful_close.close_port(port)
        with self.assertRaises(ConnectionRefusedError):
            Caller(address, REQUEST)
        self.assertEqual(await before.read_status(), 200)
