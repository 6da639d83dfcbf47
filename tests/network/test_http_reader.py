"""Tests of parsing HTTP responses."""

import gc
import tracemalloc
import unittest

from hypothesis import given
from hypothesis import strategies

from oriolegate.exceptions import UpstreamMessageError
from oriolegate.network.http_reader import ResponseReader

WITH_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-A: 1\r\n\r\nabc"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
)
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\nabc"


# Bytes that a reader may hold for each byte received: a buffer that grows
# has room to spare, and is copied once.
MAX_HELD_FACTOR = 3.0
# What a reader needs without data.
READER_BYTES = 4_000


class HeldBytesTest(unittest.TestCase):
    """Limits count the bytes received; what is held must be as much.

    Endless heads of short lines took processes over their memory.
    """

    def held_bytes(self, data):
        """Return how many bytes a reader holds once it has read some."""
        reader = ResponseReader()
        gc.collect()
        tracemalloc.start()
        try:
            for start in range(0, len(data), 1_000):
                reader.feed(data[start : start + 1_000])
            held_bytes, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertLess(peak_bytes, MAX_HELD_FACTOR * len(data) + READER_BYTES)
        reader.close()
        return held_bytes

    def check(self, data):
        limit_bytes = MAX_HELD_FACTOR * len(data) + READER_BYTES
        self.assertLess(self.held_bytes(data), limit_bytes)

    def test_a_head_of_short_lines_is_held_as_bytes(self):
        for line in (b"a:b\r\n", b"a:\r\n", b"ab:cd\r\n"):
            with self.subTest(line=line):
                self.check(b"HTTP/1.1 200 OK\r\n" + line * 8_000)

    def test_a_body_of_short_chunks_is_held_as_bytes(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.check(head + b"1\r\na\r\n" * 20_000)

    def test_trailers_are_not_held(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        data = head + b"1\r\na\r\n0\r\n" + b"a:b\r\n" * 8_000
        self.assertLess(self.held_bytes(data), READER_BYTES)


class ResponseReaderTest(unittest.TestCase):
    def setUp(self):
        self.reader = ResponseReader()

    def test_content_length_and_chunked_bodies_are_read(self):
        for data in (WITH_LENGTH, CHUNKED):
            (response,) = self.reader.feed(data)
            self.assertEqual((response.status, response.body), (200, b"abc"))
            self.assertTrue(response.keep_alive)

    @given(strategies.lists(strategies.integers(0, 200), max_size=6))
    def test_responses_do_not_depend_on_how_the_bytes_are_split(
        self, split_points
    ):
        data = WITH_LENGTH + CHUNKED
        reader = ResponseReader()
        responses = []
        edges = [
            0,
            *sorted(min(point, len(data)) for point in split_points),
            len(data),
        ]
        for start, end in zip(edges, edges[1:], strict=False):
            responses += reader.feed(data[start:end])
        self.assertEqual(
            [response.body for response in responses], [b"abc", b"abc"]
        )

    def test_a_body_without_length_ends_with_the_connection(self):
        self.assertEqual(self.reader.feed(WITHOUT_LENGTH), [])
        response = self.reader.finish_on_close()
        self.assertEqual(response.body, b"abc")
        self.assertFalse(response.keep_alive)

    def test_a_truncated_content_length_body_is_no_response(self):
        self.assertEqual(self.reader.feed(WITH_LENGTH[:-1]), [])
        self.assertIsNone(self.reader.finish_on_close())

    def test_interim_responses_are_skipped(self):
        data = b"HTTP/1.1 100 Continue\r\n\r\n" + WITH_LENGTH
        (response,) = self.reader.feed(data)
        self.assertEqual(response.status, 200)

    def test_the_response_to_a_head_request_has_no_body(self):
        self.reader.expect_no_body = True
        (response,) = self.reader.feed(WITH_LENGTH[:-3])
        self.assertEqual((response.body, response.keep_alive), (b"", False))

    def test_interim_responses_to_a_head_request_are_skipped(self):
        for status in (100, 103):
            reader = ResponseReader()
            reader.expect_no_body = True
            data = b"HTTP/1.1 %d x\r\nA: b\r\n\r\n" % status
            self.assertEqual(reader.feed(data), [])
            (response,) = reader.feed(WITH_LENGTH[:-3])
            self.assertEqual(response.status, 200)

    def test_a_status_that_http_does_not_have_is_rejected(self):
        # A leaf in trouble sent 000, and the caller got it as an answer.
        for status in (b"000", b"001", b"099", b"600", b"999"):
            for is_head in (False, True):
                reader = ResponseReader()
                reader.expect_no_body = is_head
                data = WITH_LENGTH.replace(b"200", status)
                with (
                    self.subTest(status=status, is_head=is_head),
                    self.assertRaisesRegex(UpstreamMessageError, "status"),
                ):
                    reader.feed(data)

    def test_invalid_http_is_rejected(self):
        for data in (
            b"garbage\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nA\x00b: 1\r\n\r\n",
        ):
            with self.assertRaises(UpstreamMessageError):
                ResponseReader().feed(data)

    def test_connection_close_clears_keep_alive(self):
        data = WITH_LENGTH.replace(b"X-A: 1", b"Connection: close")
        (response,) = self.reader.feed(data)
        self.assertFalse(response.keep_alive)

    def feed_until_rejected(self, start, piece):
        """Feed one piece again and again; return the bytes accepted."""
        self.reader.feed(start)
        for count in range(100_000):
            try:
                self.reader.feed(piece)
            except UpstreamMessageError:
                return count * len(piece)
        raise AssertionError("bytes without end were accepted")

    def test_bytes_without_end_are_rejected_wherever_they_come(self):
        chunked = CHUNKED[: CHUNKED.index(b"2\r\n")]
        for start, piece in (
            (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 100),
            (b"HTTP/1.1 200 OK\r\nA: ", b"b" * 1_000),
            (b"HTTP/1.1 200 OK\r\n", b"n" * 1_000),
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 20),
            (chunked + b"2;", b"x" * 1_000),
            (chunked + b"2\r\nab\r\n0\r\n", b"T: x\r\n" * 100),
            (b"HTTP/1.1 200 ", b"O" * 1_000),
        ):
            with self.subTest(start=start, piece=piece[:10]):
                self.reader = ResponseReader(max_body_bytes=100_000)
                accepted = self.feed_until_rejected(start, piece)
                self.assertLess(accepted, 200_000)

    def test_a_body_without_end_is_rejected_at_its_limit(self):
        self.reader = ResponseReader(max_body_bytes=100_000)
        start = b"HTTP/1.1 200 OK\r\n\r\n"
        accepted = self.feed_until_rejected(start, b"x" * 1_000)
        self.assertEqual(accepted, 100_000)
        with self.assertRaisesRegex(UpstreamMessageError, "body is too large"):
            ResponseReader(max_body_bytes=2).feed(WITH_LENGTH)

    def test_a_long_body_in_chunks_of_one_byte_is_read(self):
        self.reader.feed(CHUNKED[: CHUNKED.index(b"2\r\n")])
        for _ in range(2_000):
            self.reader.feed(b"1\r\nx\r\n" * 100)
        (response,) = self.reader.feed(b"0\r\n\r\n")
        self.assertEqual(len(response.body), 200_000)
