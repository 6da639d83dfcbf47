"""Tests of parsing and keeping the heads of requests."""

import gc
import itertools
import tracemalloc
import unittest

from hypothesis import given
from hypothesis import strategies
from twisted.internet import defer

from oriolegate.exceptions import CallerInputError
from oriolegate.models.header_lines import HeaderLines
from oriolegate.network import caller_resource
from oriolegate.network import request_head
from oriolegate.platform import caller_protocol
from oriolegate.platform import leaf_protocol
from tests import counted_steps
from tests.network.test_bounded_channel import ChannelCase

HEAD_BYTES = 16_000
# Heads of legal size that cost most for their bytes; `%x` is a number.
UNITS = {
    "short lines": b"%x:b\r\n",
    "lines without values": b"%x:\r\n",
    "folded lines": b"%x:\r\n b\r\n",
    "a folded line": b"\r\n %x",
    "cookies": b"%x=;",
    "connection options": b"%x,",
    "a long name": b"%x",
    "a name of many words": b"%x-",
    "spaces": b" ",
}


def fields_of(kind, size):
    """Return header fields of about a size, each line with its end."""
    unit = UNITS[kind]
    data = b""
    for number in itertools.count(1):
        piece = unit % number if b"%x" in unit else unit
        if len(data) + len(piece) > size:
            break
        data += piece
    match kind:
        case "cookies":
            return b"Cookie: " + data + b"\r\n"
        case "connection options":
            return b"Connection: " + data + b"\r\n"
        case "a folded line":
            return b"a: " + data + b"\r\n"
        case "a long name" | "a name of many words":
            return data + b": 1\r\n"
        case "spaces":
            return b"a:" + data + b"b\r\n"
    return data


def head_of(kind, size):
    return b"GET /x HTTP/1.1\r\n" + fields_of(kind, size).removesuffix(b"\r\n")


class ParseTest(unittest.TestCase):
    def test_a_head_is_split_into_its_parts(self):
        head = request_head.parse(
            b"POST /a?b=c HTTP/1.1\r\nHost: h\r\nX-Folded:  1 \r\n\t2\r\nx:"
        )
        self.assertEqual(
            (head.method, head.target, head.version),
            (b"POST", b"/a?b=c", b"HTTP/1.1"),
        )
        fields = [(b"Host", b"h"), (b"X-Folded", b"1  2"), (b"x", b"")]
        self.assertEqual(list(head.headers), fields)

    def test_malformed_heads_are_rejected(self):
        for head in (
            b"GET /",
            b"GET  / HTTP/1.1",
            b"GET / HTTP/1.1 x",
            b"GET / HTTP/2.0",
            b"G T / HTTP/1.1",
            b"GET /\x01 HTTP/1.1",
            b"GET / HTTP/1.1\r\n a: b",
            b"GET / HTTP/1.1\r\nname",
            b"GET / HTTP/1.1\r\n: value",
            b"GET / HTTP/1.1\r\na : b",
            b"GET / HTTP/1.1\r\na: b\x00",
            b"GET / HTTP/1.1\r\na: b\nc: d",
            b"GET / HTTP/1.1\r\na: b\rc",
        ):
            with self.subTest(head=head), self.assertRaises(CallerInputError):
                request_head.parse(head)

    @given(strategies.binary(max_size=60))
    def test_any_bytes_are_parsed_or_rejected(self, data):
        try:
            head = request_head.parse(b"GET / HTTP/1.1\r\n" + data)
        except CallerInputError:
            return
        for name, value in head.headers:
            self.assertTrue(request_head.is_token(name))
            self.assertNotIn(b"\n", value)

    # Folded lines and cookies cost more for each byte than for the one before.
    def test_the_steps_for_a_request_are_linear_in_its_bytes(self):
        def serve(data):
            head = request_head.parse(data)
            call = caller_protocol.decode_call(
                head.method, head.target, head.headers, b""
            )
            leaf_protocol.request_head(call)

        for kind in UNITS:
            counts = []
            for size in (HEAD_BYTES // 4, HEAD_BYTES // 2, HEAD_BYTES):
                data = head_of(kind, size)
                counts.append(
                    counted_steps.count_lines(lambda data=data: serve(data))
                )
            small, middle, large = counts
            with self.subTest(kind=kind, counts=counts):
                self.assertLessEqual(
                    large - middle, 2.1 * (middle - small) + 20
                )


class ReceivedHeadersTest(unittest.TestCase):
    def test_fields_are_found_by_text_and_bytes(self):
        lines = HeaderLines.of([(b"A", b"1"), (b"b", b"2"), (b"a", b"3")])
        headers = request_head.ReceivedHeaders(lines)
        self.assertEqual(headers.getRawHeaders(b"a"), [b"1", b"3"])
        self.assertEqual(headers.getRawHeaders("A"), ["1", "3"])
        self.assertIsNone(headers.getRawHeaders(b"c"))
        self.assertTrue(headers.hasHeader(b"B"))
        self.assertEqual(
            list(headers.getAllRawHeaders()),
            [(b"A", [b"1"]), (b"b", [b"2"]), (b"a", [b"3"])],
        )


class HeldBytesTest(ChannelCase):
    """What an open request holds is paid for by the bytes of its head.

    Heads of 16 kB held some 350 kB, of which the budget counted 20.
    """

    # A buffer that grows has room to spare, and the bytes are kept twice.
    MAX_HELD_FACTOR = 3.0
    CHANNEL_BYTES = 16_000

    def test_open_requests_hold_little_more_than_their_bytes(self):
        self.connect()
        for kind in UNITS:
            with self.subTest(kind=kind):
                head = b"POST /x HTTP/1.1\r\nContent-Length: 9\r\n"
                data = head + fields_of(kind, HEAD_BYTES - 100) + b"\r\nabc"
                gc.collect()
                tracemalloc.start()
                try:
                    channel, transport = self.connect()
                    channel.dataReceived(data)
                    self.run_turns(3)
                    gc.collect()
                    held_bytes, _ = tracemalloc.get_traced_memory()
                finally:
                    tracemalloc.stop()
                self.assertTrue(channel.requests, transport.written)
                counted_bytes = channel.connection.input_bytes
                # A line is kept with one byte more than it may have.
                self.assertLessEqual(counted_bytes, 1.5 * len(data))
                self.assertLess(
                    held_bytes,
                    self.MAX_HELD_FACTOR * counted_bytes + self.CHANNEL_BYTES,
                )

    # A single request inside the limits is served, however many lines it has.
    def test_requests_of_any_head_are_served(self):
        for kind in UNITS:
            with self.subTest(kind=kind):
                channel, transport = self.connect()
                head = b"GET /x HTTP/1.1\r\nHost: h\r\n"
                data = head + fields_of(kind, HEAD_BYTES - 100) + b"\r\n"
                for start in range(0, len(data), 1_000):
                    channel.dataReceived(data[start : start + 1_000])
                self.run_turns(3)
                self.assertIn(b" 200 OK\r\n", transport.written[:40])


class WaitingHandler:
    """A handler of `serve` that answers nothing."""

    leaving = False
    most_parts = 1

    def handle(self, request):
        return defer.Deferred()

    def caller_gone(self, request_id):
        pass

    def fresh_request_id(self):
        return "r1"

    def unique_request_id(self, wanted):
        return wanted


class HeldQueryTest(ChannelCase):
    # A query of short arguments became a dictionary of some 100 times its size.
    def test_a_query_is_held_as_bytes(self):
        site = caller_resource.caller_site(WaitingHandler(), 1_000, self.server)
        site.reactor = self.reactor
        self.factory = site
        query = b"".join(b"%x=&" % n for n in range(3_000))
        target = b"/v1/query/forecast?" + query
        head = b"POST " + target + b" HTTP/1.1\r\nHost: h\r\n\r\n"
        self.connect()[0].dataReceived(head)
        gc.collect()
        tracemalloc.start()
        try:
            channel, transport = self.connect()
            channel.dataReceived(head)
            gc.collect()
            held_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertTrue(channel.requests, transport.written)
        limit_bytes = HeldBytesTest.MAX_HELD_FACTOR * len(head)
        self.assertLess(held_bytes, limit_bytes + HeldBytesTest.CHANNEL_BYTES)


class ManyLinesTest(ChannelCase):
    """Heads of many lines wait for their turn, as chunked bodies do."""

    def test_only_some_heads_are_parsed_in_one_turn(self):
        lines = fields_of("short lines", HEAD_BYTES - 100)
        channels = []
        for _ in range(20):
            channel, _ = self.connect()
            channel.dataReceived(b"GET /x HTTP/1.1\r\n" + lines + b"\r\n")
            channels.append(channel)
        self.assertLess(len(self.targets), 3)
        ordinary, transport = self.connect()
        ordinary.dataReceived(b"GET /y HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertIn(b"200 OK", transport.written)
        before = len(self.targets)
        self.server.work.run_turn()
        self.assertEqual(len(self.targets) - before, 1)
        self.run_turns(30)
        self.assertEqual(len(self.targets), 21)

    def test_a_waiting_head_keeps_the_order_of_what_follows(self):
        lines = fields_of("short lines", HEAD_BYTES - 100)
        channel, transport = self.connect()
        channel.dataReceived(
            b"POST /a HTTP/1.1\r\nContent-Length: 3\r\n"
            + lines
            + b"\r\nabcGET /b HTTP/1.1\r\n"
            + lines
            + b"\r\nGET /c HTTP/1.1\r\n\r\n"
        )
        self.run_turns(20)
        self.assertEqual(self.targets, [b"/a", b"/b", b"/c"])
        self.assertEqual(transport.written.count(b"200 OK"), 3)

    def test_a_waiting_head_is_not_idle(self):
        lines = fields_of("short lines", HEAD_BYTES - 100)
        channel, _ = self.connect()
        self.server.work.turn_cost = 10**9
        channel.dataReceived(b"GET /x HTTP/1.1\r\n" + lines + b"\r\n")
        self.assertIsNotNone(channel.waiting_head)
        self.assertFalse(channel.is_idle)
        self.assertGreater(channel.connection.input_bytes, len(lines))


if __name__ == "__main__":
    unittest.main()
