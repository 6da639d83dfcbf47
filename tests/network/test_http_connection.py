"""Tests of distinguishing rejected connections from lost ones."""

import functools
import gc
import unittest
import weakref

from twisted.internet import error
from twisted.python import failure

from oriolegate.network import http_connection
from oriolegate.network.http_connection import Broken
from oriolegate.network.http_connection import HttpCall
from oriolegate.network.http_connection import HttpConnection
from oriolegate.network.http_connection import HttpFactory
from oriolegate.network.http_pool import HttpPool
from oriolegate.network.receive_limits import ReceiveBuffer

RESET = failure.Failure(error.ConnectionLost())
CLOSED = failure.Failure(error.ConnectionDone())
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class FakeClock:
    """A clock with a settable time."""

    def __init__(self):
        self.at_ms = 0.0

    def now_ms(self):
        return self.at_ms


class FakeSocket:
    """Accepts any socket option."""

    def setsockopt(self, *option):
        pass


class FakeTransport:
    """A transport that sends all bytes at once."""

    def __init__(self):
        self.aborted = False

    def setTcpNoDelay(self, enabled):  # noqa: N802 (Twisted's name)
        pass

    def setTcpKeepAlive(self, enabled):  # noqa: N802 (Twisted's name)
        pass

    def getHandle(self):  # noqa: N802 (Twisted's name)
        return FakeSocket()

    def writeSomeData(self, data):  # noqa: N802 (Twisted's name)
        return len(data)

    def abortConnection(self):  # noqa: N802 (Twisted's name)
        self.aborted = True


class FakeOwner:
    """Sends one call over each connection that opens."""

    def __init__(self):
        self.results = []

    def call(self):
        return HttpCall(b"GET", self.results.append, lambda response: True)

    def on_connected(self, connection):
        connection.send_call(self.call())

    def on_idle(self, connection):
        pass

    def on_lost(self, connection):
        pass


class LostConnectionTest(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.owner = FakeOwner()
        self.connection = HttpConnection(self.owner, self.clock)
        self.connection.makeConnection(FakeTransport())

    def lose(self, after_ms, reason):
        self.clock.at_ms += after_ms
        self.connection.connectionLost(reason)
        return self.owner.results[-1]

    def test_a_connection_reset_soon_after_opening_was_rejected(self):
        result = self.lose(40.0, RESET)
        self.assertIsInstance(result, Broken)
        self.assertTrue(result.rejected)

    def test_a_connection_reset_later_was_not_rejected(self):
        result = self.lose(http_connection.REJECTION_WINDOW_MS, RESET)
        self.assertFalse(result.rejected)

    def test_a_connection_that_had_a_response_was_not_rejected(self):
        self.connection.dataReceived(ANSWER)
        self.connection.send_call(self.owner.call())
        self.assertFalse(self.lose(1.0, RESET).rejected)

    def test_a_connection_closed_in_order_was_not_rejected(self):
        self.assertFalse(self.lose(1.0, CLOSED).rejected)


class UnmatchedResponsesTest(unittest.TestCase):
    def setUp(self):
        self.owner = FakeOwner()
        self.connection = HttpConnection(self.owner, FakeClock())
        self.connection.makeConnection(FakeTransport())
        self.connection.call.accepts = lambda response: False

    def test_responses_to_other_requests_without_end_break_a_connection(self):
        # Each one was parsed and dropped for as long as the caller waited.
        for _ in range(http_connection.MAX_UNMATCHED_RESPONSES):
            self.connection.dataReceived(ANSWER)
        self.assertEqual(self.owner.results, [])
        self.connection.dataReceived(10 * ANSWER)
        (result,) = self.owner.results
        self.assertIsInstance(result, Broken)
        self.assertTrue(self.connection.transport.aborted)


class Requested:
    """Stands for what a request keeps in memory."""


class FreedCallTest(unittest.TestCase):
    """What a call needed is freed without the garbage collector.

    The function that takes a result mostly refers to its call.
    """

    def keep(self, call, requested, result):
        """Take a result."""

    def assert_freed(self, finish):
        gc.collect()
        gc.disable()
        try:
            connection = HttpConnection(FakeOwner(), FakeClock())
            connection.makeConnection(FakeTransport())
            requested = Requested()
            reference = weakref.ref(requested)
            # In a cycle with its function, as the calls of the clients are.
            call = HttpCall(b"GET", lambda result: None, lambda response: True)
            call.done = functools.partial(self.keep, call, requested)
            connection.send_call(call)
            finish(connection, call)
            del call, requested, connection
            self.assertIsNone(reference())
        finally:
            gc.enable()

    def test_an_answered_call_is_freed(self):
        self.assert_freed(lambda connection, _: connection.dataReceived(ANSWER))

    def test_a_broken_call_is_freed(self):
        self.assert_freed(
            lambda connection, _: connection.connectionLost(RESET)
        )

    def test_a_cancelled_call_is_freed(self):
        pool = HttpPool(None, FakeClock(), ("h", 1))

        def cancel(connection, call):
            pool.cancel(call)

        self.assert_freed(cancel)


class FreedAnswerTest(unittest.TestCase):
    """A connection keeps no answer: closed ones wait for the collector."""

    def setUp(self):
        self.owner = FakeOwner()
        self.connection = HttpConnection(self.owner, FakeClock())
        self.connection.makeConnection(FakeTransport())

    def count_kept_bytes(self):
        reader = self.connection.reader
        kept = [reader.current.body, reader.head, reader.body]
        kept += [response.body for response in reader.completed]
        return sum(map(len, kept))

    def test_an_idle_connection_keeps_no_answer(self):
        self.connection.dataReceived(ANSWER)
        self.assertEqual(self.owner.results[0].response.body, b"ok")
        self.assertEqual(self.count_kept_bytes(), 0)

    def test_a_closed_connection_keeps_no_part_of_an_answer(self):
        self.connection.dataReceived(ANSWER[:-1])
        self.connection.connectionLost(RESET)
        self.assertEqual(self.count_kept_bytes(), 0)
        self.assertIsNone(self.connection.reader.parser)

    # What is abandoned in one turn of the event loop adds up until the next.
    def test_an_abandoned_answer_is_freed_before_its_connection_is_lost(self):
        buffer = ReceiveBuffer(len(ANSWER) // 2)
        self.connection.buffer = buffer
        self.connection.dataReceived(ANSWER[:-1])
        self.assertIsInstance(self.owner.results[0], Broken)
        self.assertEqual(buffer.total_bytes, 0)
        self.assertEqual(self.count_kept_bytes(), 0)
        self.assertIsNone(self.connection.reader.parser)

    def test_a_malformed_answer_is_freed_before_its_connection_is_lost(self):
        self.connection.dataReceived(ANSWER[:-1] + b"\r\nnonsense")
        self.connection.dataReceived(b"nonsense")
        self.assertEqual(self.count_kept_bytes(), 0)

    def test_a_factory_keeps_no_call_once_it_is_connected(self):
        call = HttpCall(b"GET", lambda result: None, lambda response: True)
        factory = HttpFactory(
            self.owner, FakeClock(), call, lambda call, detail: None
        )
        connection = factory.buildProtocol(None)
        self.assertIs(connection.call, call)
        self.assertIsNone(factory.call)
