"""Tests of the wire format of forwarded requests."""

import unittest

import httptools
from hypothesis import given
from hypothesis import strategies

from oriolegate.exceptions import PeerMessageError
from oriolegate.exchange.messages import CallerCall
from oriolegate.forwarding.forwarded_call import ForwardedCall
from oriolegate.forwarding.forwarded_call import ForwardedReply
from oriolegate.forwarding.forwarded_call import ForwardState
from oriolegate.models.header_lines import HeaderLines
from oriolegate.network import forward_wire

BYTES = strategies.binary(max_size=40)
NAMES = strategies.from_regex(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+", fullmatch=True)
VALUES = BYTES.filter(lambda value: not {*value} & {*b"\r\n"})
HEADERS = strategies.lists(strategies.tuples(NAMES, VALUES), max_size=4).map(
    HeaderLines.of
)
CALLS = strategies.builds(
    CallerCall,
    attempt_id=strategies.text(max_size=20),
    method=BYTES,
    target=BYTES,
    host=strategies.text(max_size=20),
    path=strategies.text(max_size=20),
    headers=HEADERS,
    body=BYTES,
    time_left_ms=strategies.none() | strategies.floats(0.0, 1e6),
)


class BodyReader:
    """Collects the body of an HTTP request."""

    def __init__(self):
        self.body = b""

    def on_body(self, data):
        self.body += data


class ForwardWireTest(unittest.TestCase):
    @given(CALLS, strategies.integers(0, 2**53), strategies.booleans())
    def test_a_request_arrives_as_it_was_sent(self, call, version, counted):
        sent = ForwardedCall(call, 12.5, version, 1, counted, "vm-1")
        reader = BodyReader()
        parser = httptools.HttpRequestParser(reader)
        parser.feed_data(forward_wire.encode_call("host", 1, sent))
        self.assertEqual(parser.get_method(), b"POST")
        self.assertEqual(forward_wire.decode_call(reader.body), sent)

    @given(
        strategies.sampled_from(ForwardState),
        strategies.booleans(),
        strategies.integers(100, 599),
        HEADERS,
        BYTES,
    )
    def test_a_reply_arrives_as_it_was_sent(
        self, state, may_have_run, status, headers, body
    ):
        sent = ForwardedReply(
            "a1", state, may_have_run, 7, status, headers, body
        )
        data = forward_wire.encode_reply(sent)
        self.assertEqual(forward_wire.decode_reply(data), sent)

    def test_a_reply_to_another_request_is_told_apart(self):
        reply = ForwardedReply(
            "a1", ForwardState.ANSWERED, True, 7, 200, (), b""
        )
        data = forward_wire.encode_reply(reply)
        self.assertTrue(forward_wire.is_reply_to(data, "a1"))
        self.assertFalse(forward_wire.is_reply_to(data, "a2"))
        self.assertFalse(forward_wire.is_reply_to(b"oriolegate 1", "a1"))

    @given(strategies.binary(max_size=200))
    def test_arbitrary_bytes_are_rejected(self, data):
        for decode in (forward_wire.decode_call, forward_wire.decode_reply):
            with self.assertRaises(PeerMessageError):
                decode(data)

    def test_values_of_other_types_are_rejected(self):
        for line in (b"[]", b"null", b"3", b'{"id": 1, "headers": 3}'):
            for decode in (
                forward_wire.decode_call,
                forward_wire.decode_reply,
            ):
                with self.assertRaises(PeerMessageError):
                    decode(line + b"\n")
