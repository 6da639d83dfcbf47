"""Tests of dealing a leaf's connections out to VMs."""

import unittest

from hypothesis import given
from hypothesis import strategies

from oriolegate.placement import connection_deal

LEAFS = [f"leaf-{number}" for number in range(40)]
# Three standard deviations of the largest count of independent VMs.
CHANCE_FACTOR = 1.2


def takers(limit, near, far, leaf_id):
    """Return how many VMs have connections to a leaf."""
    found = connection_deal.deal(limit, near, far)
    near_count = sum(
        connection_deal.has_part(f"near-{n}", leaf_id, found.near_part)
        for n in range(near)
    )
    far_count = sum(
        connection_deal.has_part(f"far-{n}", leaf_id, found.far_part)
        for n in range(far)
    )
    return near_count, far_count


class DealTest(unittest.TestCase):
    def test_where_there_is_room_each_vm_gets_its_part(self):
        found = connection_deal.deal(36, 3, 5)
        self.assertEqual((found.near_part, found.far_part), (1.0, 1.0))
        self.assertEqual(found.each, 3)

    def test_vms_of_the_region_come_first(self):
        for leaf_id in LEAFS:
            near_count, far_count = takers(77, 30, 60, leaf_id)
            self.assertEqual(near_count, 30)
            self.assertLessEqual(near_count + far_count, 77)

    def test_a_region_with_more_vms_than_connections_shares_them(self):
        for leaf_id in LEAFS:
            near_count, far_count = takers(40, 90, 10, leaf_id)
            self.assertLessEqual(near_count, 40 * CHANCE_FACTOR)
            self.assertEqual(far_count, 0)

    @given(
        strategies.integers(1, 400),
        strategies.integers(0, 200),
        strategies.integers(0, 200),
    )
    def test_the_parts_stay_within_the_limit(self, limit, near, far):
        found = connection_deal.deal(limit, near, far)
        expected = found.near_part * near + found.far_part * far
        self.assertLessEqual(found.each * expected, limit)

    def test_a_vm_that_joins_moves_few_connections(self):
        before = connection_deal.deal(77, 30, 60)
        after = connection_deal.deal(77, 30, 61)
        moved = sum(
            connection_deal.has_part("far-1", leaf_id, before.far_part)
            != connection_deal.has_part("far-1", leaf_id, after.far_part)
            for leaf_id in LEAFS
        )
        self.assertLessEqual(moved, 2)
