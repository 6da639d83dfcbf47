"""Tests of how often a suspected leaf is asked for its health."""

import random
import unittest

from twisted.internet import task

from oriolegate.exchange.messages import SendOutcome
from oriolegate.platform.leaf_protocol import HealthReport
from oriolegate.platform.leaf_protocol import NoAnswer
from oriolegate.runtime import leaf_checker
from oriolegate.runtime.leaf_checker import LeafChecker
from tests import site_builders as build
from tests.reactor_clock import ReactorClock


class Client:
    """Answers checks from a list; an empty one means that none is answered."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.reports = []
        self.asked_s = []

    def check_health(self, leaf, path, done):
        self.asked_s.append(self.reactor.seconds())
        if self.reports:
            done(self.reports.pop(0))

    def abandon(self, open_check):
        pass


class LeafCheckerTest(unittest.TestCase):
    def setUp(self):
        self.reactor = task.Clock()
        self.client = Client(self.reactor)
        self.directory = build.directory([build.leaf("a")])
        self.checker = LeafChecker(
            self.reactor,
            ReactorClock(self.reactor),
            self.client,
            self.directory,
            random.Random(1),
        )
        self.record = self.directory.leafs["a"]

    def run_for(self, seconds):
        for _ in range(int(seconds * 100)):
            self.reactor.advance(0.01)

    def set_members(self, count):
        self.directory.members = frozenset(f"vm-{n}" for n in range(count))

    def test_a_healthy_leaf_is_used_again_after_one_check(self):
        self.client.reports = [HealthReport("a", True, 0.0)]
        self.checker.suspect(self.record, "reset")
        self.run_for(0.1)
        self.assertFalse(self.record.suspect)

    def test_what_another_leaf_says_at_the_address_does_not_count(self):
        self.client.reports = [HealthReport("b", True, 0.0)]
        self.checker.suspect(self.record, "reset")
        self.run_for(0.1)
        self.assertTrue(self.record.suspect)

    def test_a_crowded_leaf_stays_in_use(self):
        self.client.reports = [
            NoAnswer(SendOutcome.MAY_HAVE_RUN, "reset", True)
        ]
        self.checker.look_at(self.record)
        self.run_for(1.0)
        self.assertFalse(self.record.suspect)
        self.assertEqual(len(self.client.asked_s), 1)

    def test_a_leaf_that_turned_away_and_is_dead_is_suspected(self):
        verdicts = []
        self.checker.on_verdict = lambda leaf, alive: verdicts.append(alive)
        self.client.reports = [NoAnswer(SendOutcome.UNSENT, "refused")]
        self.checker.look_at(self.record)
        self.run_for(1.0)
        self.assertTrue(self.record.suspect)
        self.assertEqual(verdicts, [False])

    def test_a_leaf_suspected_while_it_waits_for_a_look_is_checked(self):
        self.client.reports = [HealthReport("a", True, 0.0)]
        self.checker.look_at(self.record)
        self.checker.suspect(self.record, "reset")
        self.run_for(1.0)
        self.assertFalse(self.record.suspect)

    def test_verdicts_tell_only_what_is_known(self):
        verdicts = []
        self.checker.on_verdict = lambda leaf, alive: verdicts.append(alive)
        self.client.reports = [
            NoAnswer(SendOutcome.MAY_HAVE_RUN, "reset"),
            HealthReport("a", False, 0.0),
            HealthReport("b", True, 0.0),
            HealthReport("a", True, 0.0),
        ]
        self.checker.suspect(self.record, "reset")
        self.run_for(2.0)
        self.assertEqual(verdicts, [True, False, True])

    def test_a_leaf_that_only_lost_a_connection_is_used_again_at_once(self):
        self.set_members(90)
        self.client.reports = [HealthReport("a", True, 0.0)]
        self.checker.suspect(self.record, "reset")
        self.assertFalse(self.record.suspect)

    def test_many_vms_spread_further_checks(self):
        self.set_members(90)
        self.checker.suspect(self.record, "reset")
        self.run_for(10.0)
        self.assertLessEqual(len(self.client.asked_s), 6)

    def test_a_wrong_suspicion_ends_within_seconds_on_any_site(self):
        self.set_members(90)
        self.checker.suspect(self.record, "reset")
        self.run_for(1.5)
        self.client.reports = [HealthReport("a", True, 0.0)]
        self.run_for(leaf_checker.LONGEST_PAUSE_MS / leaf_checker.MS_PER_S)
        self.assertFalse(self.record.suspect)
