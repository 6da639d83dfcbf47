"""Tests of the phases and the concurrency limit of one leaf."""

import unittest

from oriolegate.models.topology import Leaf
from oriolegate.upstreams.leaf_state import Grant
from oriolegate.upstreams.leaf_state import LeafPhase
from oriolegate.upstreams.leaf_state import LeafState
from oriolegate.upstreams.leaf_state import ReportedState

LEAF = Leaf("leaf", "127.0.0.1", 1, "dc", "upstream", slots=8, connections=9)


GRANT = Grant(8, 9, 1)


def leaf(grant=GRANT):
    state = LeafState(LEAF, grant)
    state.refresh_limit()
    return state


class LeafStateTest(unittest.TestCase):
    def test_a_new_leaf_is_limited_to_the_cold_grant(self):
        self.assertEqual(leaf().limit, 1)
        self.assertEqual(leaf(Grant(8, 9, 0)).limit, 0)

    def test_the_limit_doubles_as_requests_complete_until_the_leaf_is_warm(
        self,
    ):
        state = leaf()
        state.record_state(ReportedState.WARM, 1)
        limits = []
        for _ in range(8):
            limits.append(state.limit)
            state.record_success(4.0)
        self.assertEqual(limits, [1, 2, 2, 4, 4, 4, 4, 8])
        self.assertIs(state.phase, LeafPhase.WARM)

    def test_a_newer_incarnation_that_reports_cold_resets_the_limit(self):
        state = leaf()
        state.incarnation = 1
        state.set_phase(LeafPhase.WARM)
        state.record_state(ReportedState.COLD, 2)
        self.assertEqual((state.phase, state.limit), (LeafPhase.COLD, 1))

    def test_a_newer_incarnation_that_reports_warm_starts_warming(self):
        state = leaf()
        state.incarnation = 1
        state.set_phase(LeafPhase.WARM)
        state.record_state(ReportedState.WARM, 2)
        self.assertEqual((state.phase, state.limit), (LeafPhase.WARMING, 1))

    def test_a_report_of_an_older_incarnation_is_ignored(self):
        state = leaf()
        state.incarnation = 2
        self.assertFalse(state.record_state(ReportedState.WARM, 1))
        self.assertIs(state.phase, LeafPhase.COLD)

    def test_lost_connections_make_a_leaf_cold_with_growing_backoff(self):
        state = leaf()
        state.set_phase(LeafPhase.WARM)
        state.record_loss(1_000.0)
        self.assertIs(state.phase, LeafPhase.COLD)
        self.assertFalse(state.can_accept(1_050.0))
        self.assertTrue(state.can_accept(1_100.0))
        state.record_loss(1_100.0)
        self.assertFalse(state.can_accept(1_250.0))

    def test_connections_lost_in_one_crash_count_as_one_loss(self):
        state = leaf()
        state.set_phase(LeafPhase.WARM)
        for _ in range(4):
            state.record_loss(1_000.0)
        self.assertEqual(state.consecutive_losses, 1)
        self.assertTrue(state.can_accept(1_100.0))

    def test_a_draining_leaf_gets_no_requests_until_it_reports_warm(self):
        state = leaf()
        state.set_phase(LeafPhase.WARM)
        state.record_state(ReportedState.DRAINING, 0)
        self.assertEqual(state.limit, 0)
        state.record_loss(0.0)
        self.assertEqual(state.limit, 0)
        state.record_state(ReportedState.WARM, 0)
        self.assertEqual(state.limit, 1)

    def test_shed_requests_lower_the_limit_and_successes_restore_it(self):
        state = leaf()
        state.set_phase(LeafPhase.WARM)
        for _ in range(3):
            state.record_shed()
        self.assertEqual(state.limit, 3)
        for _ in range(20):
            state.record_success(4.0)
        self.assertEqual(state.limit, 8)
