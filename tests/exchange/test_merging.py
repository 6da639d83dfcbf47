"""Tests of merging parts."""

import unittest

from hypothesis import given
from hypothesis import strategies

from oriolegate.exchange import merging

RECORDS = strategies.lists(strategies.binary(min_size=16, max_size=16))


class MergingTest(unittest.TestCase):
    def test_equal_records_all_count(self):
        part = b"b" * 16
        self.assertEqual(merging.greatest([part, part, b"a" * 16], 2), part * 2)

    def test_a_remainder_is_no_record(self):
        self.assertEqual(
            merging.greatest([b"a" * 16 + b"z" * 15], 5), b"a" * 16
        )

    @given(strategies.lists(RECORDS, max_size=5), strategies.integers(0, 40))
    def test_it_is_the_head_of_all_records_in_falling_order(self, parts, count):
        every = sorted((r for part in parts for r in part), reverse=True)
        found = merging.greatest([b"".join(part) for part in parts], count)
        self.assertEqual(found, b"".join(every[:count]))
