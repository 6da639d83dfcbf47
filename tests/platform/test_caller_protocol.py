"""Tests of decoding callers' requests and encoding the responses."""

import unittest

from oriolegate.exchange.messages import AnswerGathered
from oriolegate.exchange.messages import LeafAnswer
from oriolegate.exchange.messages import Refuse
from oriolegate.exchange.messages import RelayAnswer
from oriolegate.models.header_lines import HeaderLines
from oriolegate.platform import caller_protocol

HEADERS = HeaderLines.of(
    (
        (b"Host", b"H.example:8080"),
        (b"Attempt-Id", b"a1"),
        (b"Deadline-Ms", b"1500"),
        (b"Connection", b"X-Hop"),
        (b"X-Hop", b"1"),
        (b"X-Kept", b"1"),
        (b"Target-Instance", b"forged"),
        (b"Content-Length", b"3"),
    )
)


class DecodeTest(unittest.TestCase):
    def setUp(self):
        self.call = caller_protocol.decode_call(
            b"POST", b"/a/b?q=/c/", HEADERS, b"abc"
        )

    def test_host_path_attempt_id_and_deadline_are_decoded(self):
        self.assertEqual(self.call.host, "h.example")
        self.assertEqual(self.call.path, "/a/b")
        self.assertEqual(self.call.target, b"/a/b?q=/c/")
        self.assertEqual(self.call.attempt_id, "a1")
        self.assertEqual(self.call.time_left_ms, 1_500.0)

    def test_only_end_to_end_headers_are_forwarded(self):
        self.assertEqual(
            [name for name, _ in self.call.headers],
            [b"Host", b"Attempt-Id", b"X-Kept"],
        )

    def test_an_invalid_deadline_is_ignored(self):
        for value in (b"soon", b"-4", b""):
            headers = HeaderLines.of([(b"Deadline-Ms", value)])
            call = caller_protocol.decode_call(b"GET", b"/", headers, b"")
            self.assertIsNone(call.time_left_ms)


class EncodeTest(unittest.TestCase):
    def test_a_leafs_answer_keeps_status_body_and_headers(self):
        seal = (b"server-seal", b"x")
        headers = HeaderLines.of([seal, (b"content-length", b"9")])
        answer = LeafAnswer(207, headers, b"b", b"x")
        response = caller_protocol.encode_reply(RelayAnswer(answer), "a1")
        self.assertEqual(
            response,
            caller_protocol.HttpReply(207, HeaderLines.of([seal]), b"b"),
        )

    def test_a_gathered_answer_states_signatures_and_missing_parts(self):
        reply = AnswerGathered(b"body", (b"x", b"y"), 3)
        response = caller_protocol.encode_reply(reply, "a1")
        headers = dict(response.headers)
        self.assertEqual(headers[b"Part-Seals"], b"x, y")
        self.assertEqual(headers[b"Missing-Parts"], b"3")
        self.assertEqual((response.status, response.body), (200, b"body"))

    def test_a_refusal_with_a_retry_time_has_retry_after(self):
        reply = Refuse(503, "all leafs full", 150.0)
        response = caller_protocol.encode_reply(reply, "a1")
        self.assertEqual(dict(response.headers)[b"Retry-After"], b"0.150")

    def test_a_refusal_without_a_retry_time_has_no_retry_after(self):
        response = caller_protocol.encode_reply(Refuse(502, "failed"), "a1")
        self.assertNotIn(b"Retry-After", dict(response.headers))
