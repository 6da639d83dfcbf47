"""Tests of replica choice, taken-out leafs and updates from other VMs."""

import unittest

from oriolegate.timeline.events import EventBuffer
from oriolegate.upstreams.leaf_state import Grant
from oriolegate.upstreams.leaf_state import LeafPhase
from oriolegate.upstreams.leaf_state import ReportedState
from oriolegate.upstreams.leaf_table import LeafTable
from oriolegate.upstreams.messages import LeafUpdate
from tests.coordinator import fixtures

LOCAL = fixtures.leaf_name(0, 0)
REMOTE = fixtures.leaf_name(0, 1)


class LeafTableTest(unittest.TestCase):
    def setUp(self):
        self.table = LeafTable("nairobi-a", EventBuffer("vm-1", 0.0))
        self.table.set_topology(0.0, fixtures.topology(1))
        self.table.set_grant(0.0, fixtures.SERVICE, Grant(4, 8, 1))
        self.leafs = self.table.leafs

    def warm(self, *names):
        for name in names:
            self.leafs[name].incarnation = 1
            self.leafs[name].set_phase(LeafPhase.WARM)

    def chosen(self, avoid=()):
        state = self.table.choose(0.0, (LOCAL, REMOTE), set(avoid))
        return state and state.leaf.name

    def test_the_local_replica_is_chosen_until_it_is_full(self):
        self.warm(LOCAL, REMOTE)
        self.assertEqual(self.chosen(), LOCAL)
        self.leafs[LOCAL].in_flight = 4
        self.assertEqual(self.chosen(), REMOTE)
        self.assertIsNone(self.chosen(avoid=(REMOTE,)))

    def test_leafs_taken_out_get_no_requests_until_they_are_restored(self):
        self.warm(LOCAL, REMOTE)
        self.table.set_taken_out(frozenset(("nairobi-a",)), frozenset())
        self.assertEqual(self.chosen(), REMOTE)
        self.table.set_taken_out(frozenset(), frozenset(("studio-desk-1",)))
        self.assertEqual(self.chosen(avoid=(LOCAL,)), None)
        self.table.set_taken_out(frozenset(), frozenset())
        self.assertEqual(self.chosen(avoid=(LOCAL,)), REMOTE)

    def test_an_older_topology_is_ignored(self):
        newer = fixtures.topology(1, versions=(8,), generation=3)
        self.assertTrue(self.table.set_topology(0.0, newer))
        self.assertFalse(self.table.set_topology(0.0, fixtures.topology(1)))
        self.assertEqual(self.table.topologies[fixtures.SERVICE].current, 8)

    def test_all_shards_are_reachable_once_each_has_a_usable_replica(self):
        self.table.set_grant(0.0, fixtures.SERVICE, Grant(4, 8, 0))
        self.assertFalse(self.table.can_reach_all_shards(fixtures.SERVICE))
        update = LeafUpdate(REMOTE, ReportedState.WARM, 1)
        self.table.apply_update(0.0, update)
        self.assertTrue(self.table.can_reach_all_shards(fixtures.SERVICE))

    def test_an_update_that_a_leaf_is_warm_starts_warming(self):
        self.table.apply_update(0.0, LeafUpdate(LOCAL, ReportedState.WARM, 2))
        self.assertIs(self.leafs[LOCAL].phase, LeafPhase.WARMING)
        self.assertEqual(self.leafs[LOCAL].limit, 1)

    def test_a_warm_update_of_an_incarnation_that_was_lost_is_ignored(self):
        self.warm(LOCAL)
        self.table.record_loss(0.0, LOCAL)
        self.table.apply_update(1.0, LeafUpdate(LOCAL, ReportedState.WARM, 1))
        self.assertIs(self.leafs[LOCAL].phase, LeafPhase.COLD)
        self.table.apply_update(2.0, LeafUpdate(LOCAL, ReportedState.WARM, 2))
        self.assertIs(self.leafs[LOCAL].phase, LeafPhase.WARMING)

    def test_a_cold_or_draining_update_applies_immediately(self):
        self.warm(LOCAL, REMOTE)
        self.table.apply_update(0.0, LeafUpdate(LOCAL, ReportedState.COLD, 2))
        self.table.apply_update(
            0.0, LeafUpdate(REMOTE, ReportedState.DRAINING, 1)
        )
        self.assertIs(self.leafs[LOCAL].phase, LeafPhase.COLD)
        self.assertEqual(self.leafs[REMOTE].limit, 0)

    def test_a_warm_answer_to_an_older_request_keeps_the_leaf_cold(self):
        self.warm(LOCAL)
        incarnation = self.leafs[LOCAL].incarnation
        update = LeafUpdate(LOCAL, ReportedState.COLD, incarnation)
        self.table.apply_update(100.0, update)
        warm = ReportedState.WARM
        self.table.record_state(101.0, LOCAL, warm, incarnation, sent_ms=90.0)
        self.assertIs(self.leafs[LOCAL].phase, LeafPhase.COLD)
        self.table.record_state(120.0, LOCAL, warm, incarnation, sent_ms=101.0)
        self.assertIs(self.leafs[LOCAL].phase, LeafPhase.WARMING)

    def test_a_leaf_known_as_cold_is_reported_once_per_cold_period(self):
        reported = []
        self.table.on_phase_change = lambda state: reported.append(state.phase)
        for _ in range(2):
            self.table.record_state(
                0.0, LOCAL, ReportedState.COLD, 0, sent_ms=0.0
            )
        self.assertEqual(reported, [LeafPhase.COLD])
        self.table.record_loss(1.0, LOCAL)
        self.table.record_state(2.0, LOCAL, ReportedState.COLD, 0, sent_ms=1.0)
        self.assertEqual(reported, [LeafPhase.COLD] * 3)

    def test_phase_changes_are_reported(self):
        reported = []
        self.table.on_phase_change = lambda state: reported.append(state.phase)
        self.table.record_state(0.0, LOCAL, ReportedState.WARM, 1, sent_ms=0.0)
        for _ in range(3):
            self.table.record_success(0.0, self.leafs[LOCAL], 4.0)
        self.table.record_loss(0.0, LOCAL)
        self.assertEqual(
            reported, [LeafPhase.WARMING, LeafPhase.WARM, LeafPhase.COLD]
        )
