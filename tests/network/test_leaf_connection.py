"""Tests of answers that belong to another request of the connection."""

import unittest

from twisted.internet import error
from twisted.python import failure

from oriolegate.coordinator.messages import SubRequestId
from oriolegate.network.leaf_connection import LeafConnection
from oriolegate.network.leaf_connection import PendingRequest

CLOSED = failure.Failure(error.ConnectionDone())
PROCESS = b"vm-1.1"


def answer(query, *, shard=0, attempt=0, body=b"{}", connection=b"keep-alive"):
    return (
        b"HTTP/1.1 200 OK\r\nX-Query: %b.%d\r\nX-Shard: %d\r\n"
        b"X-Attempt: %d\r\nConnection: %b\r\nContent-Length: %d\r\n\r\n%b"
        % (PROCESS, query, shard, attempt, connection, len(body), body)
    )


CANCELLED = b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"
WITHOUT_IDS = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"


class Owner:
    """Records the events of a connection."""

    def __init__(self):
        self.answers = []
        self.idle_count = 0
        self.lost_pending = []

    def on_connected(self, connection):
        pass

    def on_idle(self, connection):
        self.idle_count += 1

    def on_answer(self, sub, received):
        self.answers.append((sub.query, received.body))

    def on_lost(self, connection):
        self.lost_pending.append(connection.pending)


class Transport:
    """Closes a connection as soon as it is asked to."""

    def __init__(self):
        self.connection = None
        self.is_closed = False

    def setTcpNoDelay(self, enabled):  # noqa: N802 (Twisted's name)
        pass

    def writeSomeData(self, data):  # noqa: N802 (Twisted's name)
        return len(data)

    def loseConnection(self):  # noqa: N802 (Twisted's name)
        if not self.is_closed:
            self.is_closed = True
            self.connection.connectionLost(CLOSED)

    abortConnection = loseConnection  # noqa: N815 (Twisted's name)


class ForeignAnswerTest(unittest.TestCase):
    def setUp(self):
        self.owner = Owner()
        self.connection = LeafConnection(self.owner)
        self.transport = Transport()
        self.transport.connection = self.connection
        self.connection.makeConnection(self.transport)

    def send(self, query, *, is_cancel=False):
        sub = SubRequestId(query, 0, 0)
        self.connection.send_request(
            PendingRequest(sub, b"%b.%d" % (PROCESS, query), b"", is_cancel)
        )

    def test_a_late_second_copy_is_not_the_answer_of_the_next_query(self):
        self.send(1)
        self.connection.dataReceived(answer(1, body=b"first"))
        self.assertEqual(self.owner.idle_count, 1)
        self.send(2)
        self.connection.dataReceived(answer(1, body=b"first"))
        self.assertEqual(self.owner.answers, [(1, b"first")])
        self.connection.dataReceived(answer(2, body=b"second"))
        self.assertEqual(self.owner.answers, [(1, b"first"), (2, b"second")])
        # Another copy may still arrive.
        self.assertEqual(self.owner.idle_count, 1)
        self.assertTrue(self.transport.is_closed)

    def test_a_late_second_copy_does_not_end_a_cancellation(self):
        self.send(1)
        self.connection.dataReceived(answer(1))
        self.send(1, is_cancel=True)
        self.connection.dataReceived(answer(3))
        self.assertIsNotNone(self.connection.pending)
        self.connection.dataReceived(CANCELLED)
        self.assertTrue(self.transport.is_closed)

    def test_a_request_is_lost_if_a_foreign_answer_ends_the_connection(self):
        self.send(2)
        self.connection.dataReceived(answer(1, connection=b"close"))
        self.assertEqual(self.owner.answers, [])
        self.assertEqual([p.sub.query for p in self.owner.lost_pending], [2])

    def test_a_connection_is_not_reused_after_an_answer_without_ids(self):
        self.send(1, is_cancel=True)
        self.connection.dataReceived(CANCELLED)
        self.assertEqual(self.owner.idle_count, 1)
        self.send(2)
        self.connection.dataReceived(WITHOUT_IDS)
        self.assertEqual(len(self.owner.answers), 1)
        self.assertEqual(self.owner.idle_count, 1)
        self.assertTrue(self.transport.is_closed)
