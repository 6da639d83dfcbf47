"""Channels free what they hold, and answer requests in any form."""

import gc
import unittest
import weakref

from twisted.internet import task
from twisted.internet.error import ConnectionDone
from twisted.python import failure

from oriolegate.clock import FakeClock
from oriolegate.connections import work_queue
from oriolegate.connections.machine_share import ConnectionGroup
from oriolegate.models.machine import MachineLimits
from oriolegate.models.site import CallerLimits
from oriolegate.network import bounded_channel
from oriolegate.network import caller_server
from oriolegate.network.caller_server import InternalHttpFactory
from oriolegate.network.server_connections import ServerConnections
from tests.network.fake_transport import FakeTransport

HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\n"
# Bytes beyond the limit of a body that may be read.
DISCARDED_BYTES = 1024 * 1024
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class StandInHandler:
    """Keeps requests open until a test lets them be answered."""

    closes_connections = False
    limits = CallerLimits()

    def __init__(self):
        self.requests = []

    def handle(self, request):
        self.requests.append(request)

    def caller_gone(self, request):
        self.requests.remove(request)

    def answer_all(self):
        requests, self.requests = self.requests, []
        for request in requests:
            request.reply(200, (), b"ok")


class ChannelCase(unittest.TestCase):
    def setUp(self):
        self.reactor = task.Clock()
        self.server = ServerConnections(
            self.reactor, FakeClock(), MachineLimits(memory_mb=70.0)
        )
        self.targets = []
        self.factory = InternalHttpFactory(self.server, self._answer)

    def _answer(self, target, respond):
        self.targets.append(target)
        respond(200, b"ok")

    def connect(self):
        channel = self.factory.buildProtocol(None)
        channel.callLater = self.reactor.callLater
        transport = FakeTransport(channel)
        channel.makeConnection(transport)
        return channel, transport

    def run_turns(self, count=1):
        for _ in range(count):
            self.reactor.advance(0.0)


class FreedMemoryTest(ChannelCase):
    def assert_freed(self, data):
        gc.collect()
        gc.disable()
        try:
            channel, transport = self.connect()
            channel.dataReceived(data)
            self.run_turns(50)
            reference = weakref.ref(channel)
            channel.connectionLost(failure.Failure(ConnectionDone()))
            transport.channel = None
            transport.producer = None
            del channel, transport
            self.reactor.advance(100.0)
            self.assertIsNone(reference())
        finally:
            gc.enable()

    def test_a_lost_connection_is_freed_at_once(self):
        for data in (
            HEAD + b"Content-Length: 100\r\n\r\nabc",
            CHUNKED + b"5\r\nab",
            CHUNKED + b"1\r\na\r\n" * 5_000,
            CHUNKED + b"1\r\na\r\n0\r\nname: value\r\n",
            CHUNKED + b"not a length\r\n",
            b"GET /x HTTP/1.1\r\nHost",
            b"GET /x HTTP/1.1\r\n\r\n" * 20,
        ):
            with self.subTest(data=data[:60]):
                self.assert_freed(data)


class ChunkedBodyTest(ChannelCase):
    def test_a_body_in_chunks_of_one_byte_is_complete(self):
        channel, transport = self.connect()
        body = CHUNKED + b"1\r\na\r\n" * 20_000 + b"0\r\n\r\n"
        step = bounded_channel.READ_BYTES
        for start in range(0, len(body), step):
            self.assertEqual(self.targets, [])
            channel.dataReceived(body[start : start + step])
            while channel.undecoded:
                self.run_turns()
        self.assertEqual(self.targets, [b"/x"])
        self.assertIn(b"200 OK", transport.written)

    def test_reading_stops_until_a_turn_has_decoded_what_was_received(self):
        channel, transport = self.connect()
        channel.dataReceived(CHUNKED + b"1\r\na\r\n" * 2_000)
        self.assertTrue(transport.is_paused)
        self.run_turns(20)
        self.assertFalse(transport.is_paused)
        self.assertFalse(channel.undecoded)

    def test_the_next_request_follows_a_chunked_body(self):
        channel, transport = self.connect()
        first = CHUNKED + b"1\r\na\r\n" * 1_000 + b"0\r\n\r\n"
        channel.dataReceived(first + b"GET /y HTTP/1.1\r\nHost: h\r\n\r\n")
        self.run_turns(50)
        self.assertEqual(self.targets, [b"/x", b"/y"])
        self.assertEqual(transport.written.count(b"200 OK"), 2)

    def test_a_malformed_chunk_ends_the_connection(self):
        channel, transport = self.connect()
        channel.dataReceived(CHUNKED + b"1\r\na\r\n" * 2_000 + b"x\r\n" * 2_000)
        self.run_turns(50)
        self.assertEqual(transport.written.count(b"400 Bad Request"), 1)
        self.assertFalse(self.server.work.has_work)


class EndlessBodyTest(ChannelCase):
    def test_a_body_without_end_is_answered_and_no_longer_read(self):
        self.server.set_limits(MachineLimits(memory_mb=1_000.0))
        piece = b"a" * bounded_channel.READ_BYTES
        limit_bytes = caller_server.MAX_FORWARDED_BYTES
        limit_bytes += DISCARDED_BYTES
        for chunk in (b"%x\r\n%s\r\n" % (len(piece), piece), piece):
            channel, transport = self.connect()
            head = HEAD + b"Content-Length: 100000000000\r\n\r\n"
            channel.dataReceived(CHUNKED if chunk != piece else head)
            sent = 0
            while not transport.disconnecting and sent < 2 * limit_bytes:
                channel.dataReceived(chunk)
                sent += len(piece)
                while channel.undecoded:
                    self.run_turns()
            with self.subTest(chunk=chunk[:10]):
                self.assertTrue(transport.written.startswith(b"HTTP/1.1 413 "))
                self.assertLess(sent, limit_bytes + 2 * len(piece))
        self.assertEqual(self.targets, [])


class PipelinedRequestTest(ChannelCase):
    def test_each_request_gets_its_response_in_order(self):
        channel, transport = self.connect()
        channel.dataReceived(
            b"".join(b"GET /%d HTTP/1.1\r\n\r\n" % n for n in range(100))
        )
        self.assertLess(len(self.targets), 100)
        self.run_turns(100)
        self.assertEqual(self.targets, [b"/%d" % n for n in range(100)])
        self.assertEqual(transport.written.count(b"200 OK"), 100)
        self.assertFalse(transport.is_paused)

    def test_no_request_is_begun_while_responses_are_not_read(self):
        channel, transport = self.connect()
        transport.is_blocked = True
        channel.dataReceived(b"GET /x HTTP/1.1\r\n\r\n" * 500)
        for _ in range(10):
            channel.dataReceived(b"GET /x HTTP/1.1\r\n\r\n" * 500)
            self.run_turns(500)
        begun = len(self.targets)
        self.assertLess(begun, 500)
        transport.unblock()
        self.run_turns(1_000)
        self.assertEqual(len(self.targets), 5_500)

    def test_bytes_are_still_read_while_a_request_runs(self):
        responds = []
        self.factory = InternalHttpFactory(
            self.server, lambda target, respond: responds.append(respond)
        )
        channel, transport = self.connect()
        channel.dataReceived(b"GET /x HTTP/1.1\r\n\r\n")
        self.assertFalse(transport.is_paused)
        channel.dataReceived(b"GET /y HTTP/1.1\r\n\r\n")
        responds[0](200, b"one")
        self.run_turns(3)
        self.assertEqual(len(responds), 2)
        responds[1](200, b"two")
        self.assertEqual(transport.written.count(b"200 OK"), 2)


class WaitingRequestTest(ChannelCase):
    """Pipelined requests that wait while many others run."""

    def setUp(self):
        super().setUp()
        self.handler = StandInHandler()
        self.factory = caller_server.CallerFactory(self.server, self.handler)

    def open_channels(self, count):
        pairs = [self.connect() for _ in range(count)]
        for channel, _ in pairs:
            channel.dataReceived(b"GET /x HTTP/1.1\r\n\r\n" * 3)
        self.handler.answer_all()
        self.run_turns(20)
        return pairs

    def test_they_begin_when_connections_whose_requests_run_are_lost(self):
        limit = work_queue.MAX_PIPELINED_REQUESTS
        pairs = self.open_channels(limit + 3)
        self.assertEqual(len(self.handler.requests), limit)
        for request in list(self.handler.requests)[:3]:
            request.channel.connectionLost(failure.Failure(ConnectionDone()))
        self.run_turns(20)
        self.assertEqual(len(self.handler.requests), limit)
        self.assertEqual(len(pairs), limit + 3)

    def test_their_header_is_not_late(self):
        pairs = self.open_channels(work_queue.MAX_PIPELINED_REQUESTS + 3)
        self.reactor.advance(4.0)
        for _, transport in pairs:
            self.assertNotIn(b"408", transport.written)
        for _ in range(5):
            self.handler.answer_all()
            self.run_turns(20)
        for _, transport in pairs:
            self.assertEqual(transport.written.count(b"200 OK"), 3)


class RefusedRequestTest(ChannelCase):
    def test_a_refused_request_is_told_that_it_has_not_run(self):
        pairs = [self.connect() for _ in range(40)]
        for channel, _ in pairs:
            channel.dataReceived(
                HEAD + b"Content-Length: 200000\r\n\r\n" + b"a" * 150_000
            )
        refused = [t for _, t in pairs if t.disconnecting]
        self.assertTrue(refused)
        for transport in refused:
            head, _, body = transport.written.partition(b"\r\n\r\n")
            self.assertTrue(head.startswith(b"HTTP/1.1 503 "))
            self.assertIn(b"Retry-After: 0.5", head)
            self.assertIn(b"Connection: close", head)
            self.assertEqual(body, b"")
        self.assertEqual(self.targets, [])
        held = self.server.budget.held_bytes(ConnectionGroup.INTERNAL)
        self.assertLess(held, 40 * 150_000)

    def test_nothing_that_a_refused_connection_sends_is_run(self):
        pairs = [self.connect() for _ in range(40)]
        for channel, _ in pairs:
            channel.dataReceived(
                HEAD + b"Content-Length: 150001\r\n\r\n" + b"a" * 150_000
            )
        for channel, transport in pairs:
            if transport.disconnecting:
                channel.dataReceived(b"aGET /y HTTP/1.1\r\n\r\n")
        self.run_turns(10)
        self.assertEqual(self.targets, [])
