"""Tests of the peer codec: round trips and malicious input."""

import unittest

import cbor2
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from oriolegate.exceptions import PeerMessageError
from oriolegate.membership import messages
from oriolegate.network import peer_codec

CODEC = peer_codec.PeerCodec(messages.PEER_MESSAGES)

MEMBER = messages.Member(
    "vm-1", "127.0.0.1", 7000, "scl-a", 12, 3, messages.MemberState.SUSPECT
)


class PeerCodecTest(unittest.TestCase):
    def test_decoding_an_encoded_message_returns_an_equal_one(self):
        for message in (
            messages.PeerHello("vm-1", 4, b"n" * 16),
            messages.Heartbeat(7, (("rules", 3), ("documents", 2**63))),
            messages.MemberDelta((MEMBER, MEMBER)),
        ):
            data = CODEC.encode(message, 41)
            self.assertEqual(CODEC.decode(data), (41, message))

    def test_rejects_fields_that_do_not_match_the_message(self):
        for bad in (
            [],
            [3],
            {"a": 1},
            [3, 0, "hash", []],
            [3, 0, 1, [["rules"]]],
            [3, 0, 1, [["rules", 1.5]]],
            [3, 0, 1, [], "extra"],
            [3, -1, 1, []],
            [99, 0, 1],
            [True, 0, 1, []],
            [3, 0, 2**80, []],
            [5, 0, [["vm", "h", 1, "dc", 1, 0, 17]]],
        ):
            with self.assertRaises(PeerMessageError, msg=bad):
                CODEC.decode(cbor2.dumps(bad))

    def test_rejects_tags_before_they_are_decoded(self):
        tagged = cbor2.dumps([3, 0, cbor2.CBORTag(35, "(a+)+$"), []])
        with self.assertRaises(PeerMessageError):
            CODEC.decode(tagged)

    def test_rejects_deeply_nested_and_large_input(self):
        deep = b"\x81" * 10_000 + b"\x00"
        large = b"\x00" * (peer_codec.MAX_MESSAGE_BYTES + 1)
        for data in (deep, large):
            with self.assertRaises(PeerMessageError):
                CODEC.decode(data)

    def test_rejects_a_message_that_is_too_large_to_send(self):
        message = messages.PeerHello(
            "v", 1, b"x" * peer_codec.MAX_MESSAGE_BYTES
        )
        with self.assertRaises(PeerMessageError):
            CODEC.encode(message, 0)

    def test_rejects_a_message_number_that_is_defined_twice(self):
        with self.assertRaises(TypeError):
            peer_codec.PeerCodec(
                messages.PEER_MESSAGES, ((3, messages.PeerHello),)
            )

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(strategies.binary(max_size=200))
    def test_random_bytes_raise_no_other_error(self, data):
        try:
            CODEC.decode(data)
        except PeerMessageError as error:
            self.assertEqual(error.code, 7002)
