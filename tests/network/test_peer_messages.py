"""Tests that all peer messages survive encoding and decoding."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from oriolegate.configuration import messages as configuration
from oriolegate.membership import messages as membership
from oriolegate.network.peer_codec import PeerCodec
from oriolegate.shares import messages as shares

TABLES = (
    membership.PEER_MESSAGES,
    configuration.PEER_MESSAGES,
    shares.PEER_MESSAGES,
)
RANGES = (range(1, 20), range(20, 40), range(40, 60))
TYPES = [message_type for table in TABLES for _, message_type in table]

strategies.register_type_strategy(int, strategies.integers(-(2**63), 2**64 - 1))


class PeerMessagesTest(unittest.TestCase):
    def test_message_numbers_are_in_the_range_of_their_package(self):
        for table, numbers in zip(TABLES, RANGES, strict=True):
            for number, message_type in table:
                self.assertIn(number, numbers, message_type)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        message=strategies.sampled_from(TYPES).flatmap(strategies.from_type),
        logical_time=strategies.integers(0, 2**63),
    )
    def test_decoding_an_encoded_message_returns_an_equal_one(
        self, message, logical_time
    ):
        codec = PeerCodec(*TABLES)
        data = codec.encode(message, logical_time)
        self.assertEqual(codec.decode(data), (logical_time, message))
