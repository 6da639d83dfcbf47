"""Tests of merging the parts of a scatter-gather answer."""

import unittest

from hypothesis import given
from hypothesis import strategies

from oriolegate.exchange import merging

RECORDS = strategies.lists(strategies.binary(min_size=16, max_size=16))


class MergingTest(unittest.TestCase):
    def test_duplicate_records_are_kept(self):
        part = b"b" * 16
        self.assertEqual(
            merging.greatest_records([part, part, b"a" * 16], 2), part * 2
        )

    def test_an_incomplete_last_record_is_ignored(self):
        self.assertEqual(
            merging.greatest_records([b"a" * 16 + b"z" * 15], 5), b"a" * 16
        )

    @given(strategies.lists(RECORDS, max_size=5), strategies.integers(0, 40))
    def test_it_returns_the_greatest_records_in_descending_order(
        self, parts, count
    ):
        expected = sorted((r for part in parts for r in part), reverse=True)
        merged = merging.greatest_records(
            [b"".join(part) for part in parts], count
        )
        self.assertEqual(merged, b"".join(expected[:count]))
