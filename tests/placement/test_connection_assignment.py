"""Tests of assigning a leaf's connections to VMs."""

import unittest

from hypothesis import given
from hypothesis import strategies

from oriolegate.placement import connection_assignment

LEAFS = [f"leaf-{number}" for number in range(40)]
# Three standard deviations of the number of VMs that are selected by hash.
DEVIATION_FACTOR = 1.2


def assigned_counts(limit, local, remote, leaf_id):
    """Return how many local and remote VMs have connections to a leaf."""
    assignment = connection_assignment.assign_connections(limit, local, remote)
    local_count = sum(
        connection_assignment.has_connections(
            f"near-{n}", leaf_id, assignment.local_fraction
        )
        for n in range(local)
    )
    remote_count = sum(
        connection_assignment.has_connections(
            f"far-{n}", leaf_id, assignment.remote_fraction
        )
        for n in range(remote)
    )
    return local_count, remote_count


class ConnectionAssignmentTest(unittest.TestCase):
    def test_with_enough_connections_each_vm_gets_the_same_number(self):
        assignment = connection_assignment.assign_connections(36, 3, 5)
        self.assertEqual(
            (assignment.local_fraction, assignment.remote_fraction), (1.0, 1.0)
        )
        self.assertEqual(assignment.per_vm, 3)

    def test_vms_of_the_leafs_region_come_first(self):
        for leaf_id in LEAFS:
            local_count, remote_count = assigned_counts(77, 30, 60, leaf_id)
            self.assertEqual(local_count, 30)
            self.assertLessEqual(local_count + remote_count, 77)

    def test_with_too_few_connections_only_local_vms_get_one(self):
        for leaf_id in LEAFS:
            local_count, remote_count = assigned_counts(40, 90, 10, leaf_id)
            self.assertLessEqual(local_count, 40 * DEVIATION_FACTOR)
            self.assertEqual(remote_count, 0)

    @given(
        strategies.integers(1, 400),
        strategies.integers(0, 200),
        strategies.integers(0, 200),
    )
    def test_the_expected_total_stays_within_the_limit(
        self, limit, local, remote
    ):
        assignment = connection_assignment.assign_connections(
            limit, local, remote
        )
        expected = (
            assignment.local_fraction * local
            + assignment.remote_fraction * remote
        )
        self.assertLessEqual(assignment.per_vm * expected, limit)

    def test_a_vm_that_joins_moves_few_connections(self):
        before = connection_assignment.assign_connections(77, 30, 60)
        after = connection_assignment.assign_connections(77, 30, 61)
        moved = sum(
            connection_assignment.has_connections(
                "far-1", leaf_id, before.remote_fraction
            )
            != connection_assignment.has_connections(
                "far-1", leaf_id, after.remote_fraction
            )
            for leaf_id in LEAFS
        )
        self.assertLessEqual(moved, 2)
