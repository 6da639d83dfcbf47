"""Tests of encoding requests to leafs and decoding their responses."""

import unittest

import attrs

from oriolegate.exchange.messages import LeafAnswer
from oriolegate.exchange.messages import SendOutcome
from oriolegate.models.header_lines import HeaderLines
from oriolegate.models.leaf_notice import NO_NOTICE
from oriolegate.network.http_reader import HttpResponse
from oriolegate.platform import leaf_protocol
from tests import site_builders as build

SIGNED = [(b"server-seal", b"x.1"), (b"x-other", b"kept")]


def response(status=200, headers=(), body=b"body"):
    return HttpResponse(status, HeaderLines.of(headers), body)


class RequestTest(unittest.TestCase):
    def test_a_request_states_the_leaf_and_the_time_left(self):
        call = build.call()
        head = leaf_protocol.request_head(call)
        data = leaf_protocol.request_bytes(head, b"", build.leaf("i-1"), 99.7)
        self.assertEqual(
            data,
            b"GET /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\n"
            b"Deadline-Ms: 99\r\nTarget-Instance: i-1\r\n\r\n",
        )

    def test_a_body_adds_a_content_length(self):
        call = attrs.evolve(build.call(), method=b"POST", body=b"12345")
        head = leaf_protocol.request_head(call)
        self.assertIn(b"Content-Length: 5", head)
        data = leaf_protocol.request_bytes(
            head, call.body, build.leaf("i-1"), 0.2
        )
        self.assertTrue(
            data.endswith(
                b"Deadline-Ms: 1\r\nTarget-Instance: i-1\r\n\r\n12345"
            )
        )


class ResponseTest(unittest.TestCase):
    def test_a_signed_answer_keeps_its_headers(self):
        decoded = leaf_protocol.decode_response(response(headers=SIGNED))
        self.assertEqual(
            decoded, LeafAnswer(200, HeaderLines.of(SIGNED), b"body", b"x.1")
        )

    def test_hop_by_hop_headers_are_dropped(self):
        headers = [
            *SIGNED,
            (b"connection", b"close, X-Hop"),
            (b"x-hop", b"1"),
            (b"keep-alive", b"timeout=5"),
            (b"transfer-encoding", b"chunked"),
        ]
        lines = HeaderLines.of(headers)
        dropped = leaf_protocol.connection_headers(lines)
        self.assertEqual(list(lines.without(dropped)), SIGNED)

    def test_a_success_without_a_signature_is_no_answer(self):
        decoded = leaf_protocol.decode_response(response())
        self.assertIs(decoded.outcome, SendOutcome.MAY_HAVE_RUN)

    def test_an_encoded_body_is_no_answer(self):
        headers = [*SIGNED, (b"content-encoding", b"gzip")]
        decoded = leaf_protocol.decode_response(response(headers=headers))
        self.assertIs(decoded.outcome, SendOutcome.MAY_HAVE_RUN)

    def test_the_header_not_executed_means_not_run(self):
        decoded = leaf_protocol.decode_response(
            response(503, [(b"not-executed", b"1")])
        )
        self.assertIs(decoded.outcome, SendOutcome.NOT_RUN)

    def test_a_not_run_status_without_the_header_may_have_run(self):
        for status in (408, 429, 503):
            decoded = leaf_protocol.decode_response(response(status, SIGNED))
            self.assertIs(decoded.outcome, SendOutcome.MAY_HAVE_RUN)
        decoded = leaf_protocol.decode_response(response(500, SIGNED))
        self.assertEqual(decoded.status, 500)

    def test_a_misdirected_request_means_the_wrong_leaf(self):
        decoded = leaf_protocol.decode_response(
            response(421, [(b"instance-id", b"i-2")])
        )
        self.assertIs(decoded.outcome, SendOutcome.WRONG_LEAF)

    def test_the_echoed_attempt_id_identifies_the_request(self):
        for echoed, is_answer in ((b"a1", True), (b"a2", False)):
            echo = response(headers=[(b"attempt-id", echoed)])
            self.assertIs(leaf_protocol.is_answer_to(echo, "a1"), is_answer)

    def test_a_response_without_an_attempt_id_answers_no_request(self):
        # A late copy of a rejected health check has none.
        for headers in (
            [],
            [(b"not-executed", b"1")],
            [(b"instance-id", b"i-1")],
            SIGNED,
        ):
            for status in (200, 421, 503):
                answer = response(status, headers)
                self.assertFalse(leaf_protocol.is_answer_to(answer, "a1"))

    def test_a_rejected_check_states_no_request(self):
        for headers, states_request in (
            ([(b"not-executed", b"1")], False),
            ([(b"instance-id", b"i-1")], True),
            ([(b"attempt-id", b"a1"), (b"not-executed", b"1")], True),
        ):
            answer = response(503, headers)
            self.assertIs(leaf_protocol.states_request(answer), states_request)


class NoticeTest(unittest.TestCase):
    def decode(self, name, value):
        return leaf_protocol.decode_notice(response(headers=[(name, value)]))

    def test_a_decimal_limit_is_decoded(self):
        for value, limit_per_s in ((b"12.50", 12.5), (b"0", 0.0)):
            notice = self.decode(b"server-limit", value)
            self.assertEqual(notice.limit_per_s, limit_per_s)

    def test_an_invalid_limit_counts_as_none(self):
        for value in (b"", b"x", b"-1", b"nan", b"inf", b"1e9", b"\xff"):
            with self.subTest(value=value):
                notice = self.decode(b"server-limit", value)
                self.assertIsNone(notice.limit_per_s)

    def test_a_leaf_that_leaves_says_so(self):
        self.assertTrue(self.decode(b"server-leaving", b"1").is_leaving)
        for value in (b"0", b"", b"yes"):
            self.assertFalse(self.decode(b"server-leaving", value).is_leaving)

    def test_only_a_rejection_asks_for_quiet(self):
        for status, value, quiet_ms in (
            (503, b"1.5", 1_500.0),
            (503, b"999999999", leaf_protocol.MAX_QUIET_MS),
            (503, b"inf", leaf_protocol.MAX_QUIET_MS),
            (503, b"-1", None),
            (503, b"0", None),
            (503, b"nan", None),
            (503, b"Fri, 04 Dec 2026 11:00:00 GMT", None),
            (200, b"1.5", None),
        ):
            with self.subTest(status=status, value=value):
                notice = leaf_protocol.decode_notice(
                    response(status, [(b"retry-after", value)])
                )
                self.assertEqual(notice.quiet_ms, quiet_ms)

    def test_an_ordinary_response_says_nothing(self):
        self.assertEqual(
            leaf_protocol.decode_notice(response(headers=SIGNED)), NO_NOTICE
        )


class HealthTest(unittest.TestCase):
    def test_a_report_is_decoded(self):
        report = leaf_protocol.decode_health_response(
            response(200, [(b"instance-id", b"i-1"), (b"warmup-ms", b"1500")])
        )
        self.assertEqual(
            report, leaf_protocol.HealthReport("i-1", True, 1_500.0)
        )

    def test_an_error_status_with_invalid_headers_is_unhealthy(self):
        report = leaf_protocol.decode_health_response(
            response(503, [(b"warmup-ms", b"soon")])
        )
        self.assertEqual(report, leaf_protocol.HealthReport("", False, 0.0))
