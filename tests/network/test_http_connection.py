"""Tests of what a lost connection tells of its server."""

import unittest

from twisted.internet import error
from twisted.python import failure

from oriolegate.network import http_connection
from oriolegate.network.http_connection import Broken
from oriolegate.network.http_connection import HttpCall
from oriolegate.network.http_connection import HttpConnection

RESET = failure.Failure(error.ConnectionLost())
CLOSED = failure.Failure(error.ConnectionDone())
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Clock:
    """A clock that is set by hand."""

    def __init__(self):
        self.at_ms = 0.0

    def now_ms(self):
        return self.at_ms


class Socket:
    """Takes options."""

    def setsockopt(self, *option):
        pass


class Transport:
    """A transport that takes all bytes at once."""

    def __init__(self):
        self.aborted = False

    def setTcpNoDelay(self, enabled):  # noqa: N802 (Twisted's name)
        pass

    def setTcpKeepAlive(self, enabled):  # noqa: N802 (Twisted's name)
        pass

    def getHandle(self):  # noqa: N802 (Twisted's name)
        return Socket()

    def writeSomeData(self, data):  # noqa: N802 (Twisted's name)
        return len(data)

    def abortConnection(self):  # noqa: N802 (Twisted's name)
        self.aborted = True


class User:
    """Carries one call on each connection that opens or becomes free."""

    def __init__(self):
        self.results = []

    def call(self):
        return HttpCall(b"GET", self.results.append, lambda response: True)

    def connected(self, connection):
        connection.carry(self.call())

    def free(self, connection):
        pass

    def lost(self, connection):
        pass


class LostConnectionTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.user = User()
        self.connection = HttpConnection(self.user, self.clock)
        self.connection.makeConnection(Transport())

    def lose(self, after_ms, reason):
        self.clock.at_ms += after_ms
        self.connection.connectionLost(reason)
        return self.user.results[-1]

    def test_a_new_connection_that_is_reset_was_turned_away(self):
        result = self.lose(40.0, RESET)
        self.assertIsInstance(result, Broken)
        self.assertTrue(result.turned_away)

    def test_one_that_is_reset_later_was_not(self):
        result = self.lose(http_connection.TURNED_AWAY_MS, RESET)
        self.assertFalse(result.turned_away)

    def test_one_that_has_answered_was_not(self):
        self.connection.dataReceived(ANSWER)
        self.connection.carry(self.user.call())
        self.assertFalse(self.lose(1.0, RESET).turned_away)

    def test_one_that_is_closed_in_order_was_not(self):
        self.assertFalse(self.lose(1.0, CLOSED).turned_away)
