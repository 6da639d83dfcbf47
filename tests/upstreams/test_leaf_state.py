"""Tests of cold start, ramp, loss, drain and shed of one leaf."""

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
    def test_an_unknown_leaf_gets_no_more_than_the_cold_grant(self):
        self.assertEqual(leaf().limit, 1)
        self.assertEqual(leaf(Grant(8, 9, 0)).limit, 0)

    def test_the_limit_doubles_on_completed_requests_only(self):
        state = leaf()
        state.note_state(ReportedState.WARM, 1)
        limits = []
        for _ in range(8):
            limits.append(state.limit)
            state.note_success(4.0)
        self.assertEqual(limits, [1, 2, 2, 4, 4, 4, 4, 8])
        self.assertIs(state.phase, LeafPhase.WARM)

    def test_a_higher_incarnation_is_cold_at_once(self):
        state = leaf()
        state.incarnation = 1
        state.set_phase(LeafPhase.WARM)
        state.note_state(ReportedState.COLD, 2)
        self.assertEqual((state.phase, state.limit), (LeafPhase.COLD, 1))

    def test_a_higher_incarnation_that_says_warm_starts_a_ramp(self):
        state = leaf()
        state.incarnation = 1
        state.set_phase(LeafPhase.WARM)
        state.note_state(ReportedState.WARM, 2)
        self.assertEqual((state.phase, state.limit), (LeafPhase.WARMING, 1))

    def test_an_answer_of_an_older_incarnation_changes_nothing(self):
        state = leaf()
        state.incarnation = 2
        self.assertFalse(state.note_state(ReportedState.WARM, 1))
        self.assertIs(state.phase, LeafPhase.COLD)

    def test_a_lost_connection_makes_it_cold_and_rests_it_longer(self):
        state = leaf()
        state.set_phase(LeafPhase.WARM)
        state.note_loss(1_000.0)
        self.assertIs(state.phase, LeafPhase.COLD)
        self.assertFalse(state.accepts(1_050.0))
        self.assertTrue(state.accepts(1_100.0))
        state.note_loss(1_100.0)
        self.assertFalse(state.accepts(1_250.0))

    def test_connections_lost_in_one_fall_count_as_one_loss(self):
        state = leaf()
        state.set_phase(LeafPhase.WARM)
        for _ in range(4):
            state.note_loss(1_000.0)
        self.assertEqual(state.losses, 1)
        self.assertTrue(state.accepts(1_100.0))

    def test_a_draining_leaf_gets_nothing_until_it_says_warm(self):
        state = leaf()
        state.set_phase(LeafPhase.WARM)
        state.note_state(ReportedState.DRAINING, 0)
        self.assertEqual(state.limit, 0)
        state.note_loss(0.0)
        self.assertEqual(state.limit, 0)
        state.note_state(ReportedState.WARM, 0)
        self.assertEqual(state.limit, 1)

    def test_sheds_lower_the_limit_and_successes_restore_it(self):
        state = leaf()
        state.set_phase(LeafPhase.WARM)
        for _ in range(3):
            state.note_shed()
        self.assertEqual(state.limit, 3)
        for _ in range(20):
            state.note_success(4.0)
        self.assertEqual(state.limit, 8)
