"""Tests of reading responses."""

import unittest

from hypothesis import given
from hypothesis import strategies

from oriolegate.exceptions import UpstreamMessageError
from oriolegate.network.http_reader import ResponseReader

COUNTED = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-A: 1\r\n\r\nabc"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
)
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nabc"


class ResponseReaderTest(unittest.TestCase):
    def setUp(self):
        self.reader = ResponseReader()

    def test_counted_and_chunked_bodies(self):
        for data in (COUNTED, CHUNKED):
            (found,) = self.reader.feed(data)
            self.assertEqual((found.status, found.body), (200, b"abc"))
            self.assertTrue(found.keep_alive)

    @given(strategies.lists(strategies.integers(0, 200), max_size=6))
    def test_the_cut_of_the_bytes_does_not_matter(self, cuts):
        data = COUNTED + CHUNKED
        reader = ResponseReader()
        found = []
        edges = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
        for start, end in zip(edges, edges[1:], strict=False):
            found += reader.feed(data[start:end])
        self.assertEqual([answer.body for answer in found], [b"abc", b"abc"])

    def test_a_body_may_end_with_the_connection(self):
        self.assertEqual(self.reader.feed(UNFRAMED), [])
        found = self.reader.closed()
        self.assertEqual(found.body, b"abc")
        self.assertFalse(found.keep_alive)

    def test_a_counted_body_that_ends_early_is_no_answer(self):
        self.assertEqual(self.reader.feed(COUNTED[:-1]), [])
        self.assertIsNone(self.reader.closed())

    def test_interim_responses_are_skipped(self):
        data = b"HTTP/1.1 100 Continue\r\n\r\n" + COUNTED
        (found,) = self.reader.feed(data)
        self.assertEqual(found.status, 200)

    def test_the_answer_to_a_head_has_no_body(self):
        self.reader.expect_no_body = True
        (found,) = self.reader.feed(COUNTED[:-3])
        self.assertEqual((found.body, found.keep_alive), (b"", False))

    def test_other_bytes_are_rejected(self):
        for data in (
            b"garbage\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nA\x00b: 1\r\n\r\n",
        ):
            with self.assertRaises(UpstreamMessageError):
                ResponseReader().feed(data)

    def test_a_close_is_reported(self):
        data = COUNTED.replace(b"X-A: 1", b"Connection: close")
        (found,) = self.reader.feed(data)
        self.assertFalse(found.keep_alive)
