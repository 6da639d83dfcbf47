"""Tests that closing loses no request that waits in a socket."""

import socket
import unittest

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task

from oriolegate.clock import SystemClock
from oriolegate.models.machine import MachineLimits
from oriolegate.network import graceful_close
from oriolegate.network.caller_server import InternalHttpFactory
from oriolegate.network.server_connections import ServerConnections
from tests.reactor_case import on_reactor

HOST = "127.0.0.1"
CALLER_COUNT = 30
REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
TIMEOUT_S = 2.0


def connect(port, data=b""):
    connection = socket.create_connection((HOST, port), TIMEOUT_S)
    if data:
        connection.sendall(data)
    return connection


def read_status(connection):
    try:
        return connection.recv(1_000).split()[1]
    except (IndexError, OSError):
        return None


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
            connect(port.getHost().port, REQUEST) for _ in range(CALLER_COUNT)
        ]
        graceful_close.accept_waiting(port)
        await defer.maybeDeferred(port.stopListening)
        await task.deferLater(reactor, 0.2, lambda: None)
        statuses = [read_status(caller) for caller in callers]
        for caller in callers:
            caller.close()
        self.assertEqual(statuses, [b"200"] * CALLER_COUNT)

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
        number = port.getHost().port
        before = connect(number, REQUEST)
        graceful_close.close_port(port)
        with self.assertRaises(ConnectionRefusedError):
            connect(number, REQUEST)
        await task.deferLater(reactor, 0.2, lambda: None)
        self.assertEqual(read_status(before), b"200")
        before.close()
