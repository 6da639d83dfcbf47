"""Tests of replica choice, take-outs and news of other VMs."""

import unittest

from oriolegate.timeline.events import EventBuffer
from oriolegate.upstreams.leaf_state import Grant
from oriolegate.upstreams.leaf_state import LeafPhase
from oriolegate.upstreams.leaf_state import ReportedState
from oriolegate.upstreams.leaf_table import LeafTable
from oriolegate.upstreams.messages import LeafNews
from tests.coordinator import fixtures

NEAR = fixtures.leaf_name(0, 0)
FAR = fixtures.leaf_name(0, 1)


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
        found = self.table.choose(0.0, (NEAR, FAR), set(avoid))
        return found and found.leaf.name

    def test_the_nearer_replica_goes_first_until_it_is_full(self):
        self.warm(NEAR, FAR)
        self.assertEqual(self.chosen(), NEAR)
        self.leafs[NEAR].in_flight = 4
        self.assertEqual(self.chosen(), FAR)
        self.assertIsNone(self.chosen(avoid=(FAR,)))

    def test_what_operators_took_out_gets_nothing_until_it_is_back(self):
        self.warm(NEAR, FAR)
        self.table.set_taken_out(frozenset(("nairobi-a",)), frozenset())
        self.assertEqual(self.chosen(), FAR)
        self.table.set_taken_out(frozenset(), frozenset(("studio-desk-1",)))
        self.assertEqual(self.chosen(avoid=(NEAR,)), None)
        self.table.set_taken_out(frozenset(), frozenset())
        self.assertEqual(self.chosen(avoid=(NEAR,)), FAR)

    def test_an_older_topology_is_not_taken_over(self):
        newer = fixtures.topology(1, versions=(8,), generation=3)
        self.assertTrue(self.table.set_topology(0.0, newer))
        self.assertFalse(self.table.set_topology(0.0, fixtures.topology(1)))
        self.assertEqual(self.table.topologies[fixtures.SERVICE].current, 8)

    def test_a_service_is_covered_once_each_shard_has_a_usable_replica(self):
        self.table.set_grant(0.0, fixtures.SERVICE, Grant(4, 8, 0))
        self.assertFalse(self.table.covers(fixtures.SERVICE))
        news = LeafNews(FAR, ReportedState.WARM, 1)
        self.table.take_news(0.0, news)
        self.assertTrue(self.table.covers(fixtures.SERVICE))

    def test_news_of_a_warm_leaf_start_a_ramp_here(self):
        self.table.take_news(0.0, LeafNews(NEAR, ReportedState.WARM, 2))
        self.assertIs(self.leafs[NEAR].phase, LeafPhase.WARMING)
        self.assertEqual(self.leafs[NEAR].limit, 1)

    def test_news_older_than_a_loss_seen_here_are_not_believed(self):
        self.warm(NEAR)
        self.table.note_loss(0.0, NEAR)
        self.table.take_news(1.0, LeafNews(NEAR, ReportedState.WARM, 1))
        self.assertIs(self.leafs[NEAR].phase, LeafPhase.COLD)
        self.table.take_news(2.0, LeafNews(NEAR, ReportedState.WARM, 2))
        self.assertIs(self.leafs[NEAR].phase, LeafPhase.WARMING)

    def test_news_of_a_cold_or_draining_leaf_hold_at_once(self):
        self.warm(NEAR, FAR)
        self.table.take_news(0.0, LeafNews(NEAR, ReportedState.COLD, 2))
        self.table.take_news(0.0, LeafNews(FAR, ReportedState.DRAINING, 1))
        self.assertIs(self.leafs[NEAR].phase, LeafPhase.COLD)
        self.assertEqual(self.leafs[FAR].limit, 0)

    def test_a_warm_answer_to_an_older_request_does_not_undo_cold_news(self):
        self.warm(NEAR)
        number = self.leafs[NEAR].incarnation
        news = LeafNews(NEAR, ReportedState.COLD, number)
        self.table.take_news(100.0, news)
        warm = ReportedState.WARM
        self.table.note_state(101.0, NEAR, warm, number, sent_ms=90.0)
        self.assertIs(self.leafs[NEAR].phase, LeafPhase.COLD)
        self.table.note_state(120.0, NEAR, warm, number, sent_ms=101.0)
        self.assertIs(self.leafs[NEAR].phase, LeafPhase.WARMING)

    def test_a_cold_answer_of_a_leaf_held_for_cold_is_told_once(self):
        told = []
        self.table.on_phase = lambda state: told.append(state.phase)
        for _ in range(2):
            self.table.note_state(0.0, NEAR, ReportedState.COLD, 0, sent_ms=0.0)
        self.assertEqual(told, [LeafPhase.COLD])
        self.table.note_loss(1.0, NEAR)
        self.table.note_state(2.0, NEAR, ReportedState.COLD, 0, sent_ms=1.0)
        self.assertEqual(told, [LeafPhase.COLD] * 3)

    def test_changes_of_phase_are_told(self):
        told = []
        self.table.on_phase = lambda state: told.append(state.phase)
        self.table.note_state(0.0, NEAR, ReportedState.WARM, 1, sent_ms=0.0)
        for _ in range(3):
            self.table.note_success(0.0, self.leafs[NEAR], 4.0)
        self.table.note_loss(0.0, NEAR)
        self.assertEqual(
            told, [LeafPhase.WARMING, LeafPhase.WARM, LeafPhase.COLD]
        )
