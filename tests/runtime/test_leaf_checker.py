"""Tests of the health checks of suspected leafs."""

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


class FakeLeafClient:
    """Answers checks from a list of reports, and not once it is empty."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.reports = []
        self.checked_at_s = []
        self.closed_idle = []

    def check_health(self, leaf, path, done):
        self.checked_at_s.append(self.reactor.seconds())
        if self.reports:
            done(self.reports.pop(0))

    def abandon(self, open_check):
        pass

    def close_idle(self, leaf_id):
        self.closed_idle.append(leaf_id)


class LeafCheckerTest(unittest.TestCase):
    def setUp(self):
        self.reactor = task.Clock()
        self.client = FakeLeafClient(self.reactor)
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

    def test_a_verified_leaf_is_in_use_and_as_cold_as_it_says(self):
        self.client.reports = [HealthReport("a", True, 3_000.0)]
        self.checker.verify(self.record)
        self.assertFalse(self.record.suspect)
        self.assertTrue(self.record.is_cold(2_999.0))
        self.assertEqual(self.record.verified_at_ms, 0.0)

    def test_a_leaf_that_is_not_healthy_when_verified_is_suspected(self):
        self.client.reports = [NoAnswer(SendOutcome.UNSENT, "refused")]
        self.checker.verify(self.record)
        self.assertTrue(self.record.suspect)
        self.client.reports = [HealthReport("a", True, 0.0)]
        self.run_for(leaf_checker.MAX_CHECK_INTERVAL_MS / 1_000.0)
        self.assertFalse(self.record.suspect)

    def test_a_leaf_is_verified_once_at_a_time(self):
        self.checker.verify(self.record)
        self.checker.verify(self.record)
        self.assertEqual(len(self.client.checked_at_s), 1)

    def test_a_leaf_that_wants_no_requests_is_checked_afterwards(self):
        self.record.quiet_until_ms = 2_000.0
        self.checker.suspect(self.record, "reset")
        self.run_for(1.9)
        self.assertEqual(self.client.checked_at_s, [])
        self.run_for(0.2)
        self.assertEqual(len(self.client.checked_at_s), 1)

    def test_a_check_without_an_answer_is_repeated_on_a_new_connection(self):
        self.set_members(1_000)
        self.checker.suspect(self.record, "reset")
        self.run_for(leaf_checker.CHECK_TIMEOUT_MS / 1_000 + 0.02)
        self.assertEqual(self.client.closed_idle, ["a"])
        self.run_for(0.1)
        self.assertEqual(len(self.client.checked_at_s), 2)
        # Later checks keep to their interval.
        self.run_for(1.5)
        self.assertEqual(len(self.client.checked_at_s), 2)

    def test_an_unresponsive_leaf_is_checked_twice_and_stays_in_use(self):
        for _ in range(3):
            self.checker.check_liveness(self.record)
        self.run_for(5.0)
        self.assertEqual(len(self.client.checked_at_s), 2)
        self.assertEqual(self.client.closed_idle, ["a", "a"])
        self.assertFalse(self.record.suspect)
        self.assertEqual(self.checker.checking, set())

    def test_an_unresponsive_leaf_that_is_unreachable_has_crashed(self):
        crashed = []
        self.checker.on_liveness_known = lambda leaf, is_alive: crashed.append(
            is_alive
        )
        self.client.reports = [NoAnswer(SendOutcome.UNSENT, "refused")]
        self.checker.check_liveness(self.record)
        self.assertEqual(crashed[0], False)
        self.assertTrue(self.record.suspect)

    def test_a_rejected_check_does_not_show_whether_the_leaf_lives(self):
        # A full leaf rejects checks without stating its id; its requests were
        # blamed for a crash.
        known = []
        self.checker.on_liveness_known = lambda leaf, is_alive: known.append(
            is_alive
        )
        rejection = HealthReport("", False, 0.0)
        self.client.reports = [rejection, rejection]
        self.checker.check_liveness(self.record)
        self.checker.suspect(self.record, "reset")
        self.assertEqual((known, len(self.client.checked_at_s)), ([], 2))
        self.client.reports = [HealthReport("b", True, 0.0)]
        self.run_for(leaf_checker.MAX_CHECK_INTERVAL_MS / 1_000.0)
        self.assertEqual(known, [False])

    def test_a_healthy_leaf_is_in_use_again_after_one_check(self):
        self.client.reports = [HealthReport("a", True, 0.0)]
        self.checker.suspect(self.record, "reset")
        self.run_for(0.1)
        self.assertFalse(self.record.suspect)

    def test_a_report_of_another_leaf_at_the_address_is_ignored(self):
        self.client.reports = [HealthReport("b", True, 0.0)]
        self.checker.suspect(self.record, "reset")
        self.run_for(0.1)
        self.assertTrue(self.record.suspect)

    def test_a_leaf_at_its_connection_limit_stays_in_use(self):
        self.client.reports = [
            NoAnswer(SendOutcome.MAY_HAVE_RUN, "reset", True)
        ]
        self.checker.check_liveness_later(self.record)
        self.run_for(1.0)
        self.assertFalse(self.record.suspect)
        self.assertEqual(len(self.client.checked_at_s), 1)

    def test_a_leaf_that_rejected_a_connection_and_is_dead_is_suspected(self):
        reported = []
        self.checker.on_liveness_known = lambda leaf, alive: reported.append(
            alive
        )
        self.client.reports = [NoAnswer(SendOutcome.UNSENT, "refused")]
        self.checker.check_liveness_later(self.record)
        self.run_for(1.0)
        self.assertTrue(self.record.suspect)
        self.assertEqual(reported, [False])

    def test_a_leaf_suspected_after_a_rejection_is_checked(self):
        self.client.reports = [HealthReport("a", True, 0.0)]
        self.checker.check_liveness_later(self.record)
        self.checker.suspect(self.record, "reset")
        self.run_for(1.0)
        self.assertFalse(self.record.suspect)

    def test_liveness_is_reported_only_when_known(self):
        reported = []
        self.checker.on_liveness_known = lambda leaf, alive: reported.append(
            alive
        )
        self.client.reports = [
            NoAnswer(SendOutcome.MAY_HAVE_RUN, "reset"),
            HealthReport("a", False, 0.0),
            HealthReport("b", True, 0.0),
            HealthReport("a", True, 0.0),
        ]
        self.checker.suspect(self.record, "reset")
        self.run_for(2.0)
        self.assertEqual(reported, [True, False, True])

    def test_a_live_leaf_that_lost_a_connection_is_in_use_again_at_once(self):
        self.set_members(90)
        self.client.reports = [HealthReport("a", True, 0.0)]
        self.checker.suspect(self.record, "reset")
        self.assertFalse(self.record.suspect)

    def test_check_interval_grows_with_the_number_of_members(self):
        self.set_members(90)
        self.checker.suspect(self.record, "reset")
        self.run_for(10.0)
        self.assertLessEqual(len(self.client.checked_at_s), 6)

    def test_a_wrong_suspicion_ends_within_seconds_with_many_members(self):
        self.set_members(90)
        self.checker.suspect(self.record, "reset")
        self.run_for(1.5)
        self.client.reports = [HealthReport("a", True, 0.0)]
        self.run_for(leaf_checker.MAX_CHECK_INTERVAL_MS / leaf_checker.MS_PER_S)
        self.assertFalse(self.record.suspect)
