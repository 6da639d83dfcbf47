"""Tests of detecting requests that crash leafs."""

import unittest

import attrs

from oriolegate.crashes import crash_ledger
from oriolegate.crashes import trial_schedule
from oriolegate.crashes.crash_ledger import CrashLedger
from oriolegate.crashes.crash_ledger import LostRequest
from oriolegate.models.site import CrashReport
from oriolegate.models.site import CrashTrial
from tests import site_builders as build


class CrashLedgerTest(unittest.TestCase):
    def setUp(self):
        self.ledger = CrashLedger()
        self.call = build.call()
        self.fingerprint = crash_ledger.call_fingerprint(self.call)

    def lose_request(self, leaf_id, attempt_id="a1"):
        self.ledger.record_lost_request(
            leaf_id, LostRequest(self.fingerprint, attempt_id)
        )

    def report(self, leaf_id, attempt_id="a1", vm="vm-1", wall_ms=0):
        self.ledger.add_entry(
            0.0,
            f"{self.fingerprint}-{leaf_id}",
            CrashReport(self.fingerprint, attempt_id, leaf_id, vm, wall_ms),
        )

    def must_refuse(self):
        suspicion = self.ledger.suspicion(0.0, self.call)
        return suspicion is not None and suspicion.must_refuse

    def reported(self, leaf_id, now_ms=0.0):
        return [
            lost
            for lost in self.ledger.record_leaf_crash(now_ms, leaf_id)
            if self.ledger.judge_report(lost) is None
        ]

    def test_a_retry_has_the_same_fingerprint(self):
        retry = build.call(time_left_ms=7.0)
        self.assertEqual(crash_ledger.call_fingerprint(retry), self.fingerprint)

    def test_a_request_is_refused_after_three_crashes_in_two_attempts(self):
        self.report("l1", "a1")
        self.report("l2", "a1")
        self.assertFalse(self.must_refuse())
        self.report("l3", "a2")
        self.assertTrue(self.must_refuse())

    def test_crashes_in_one_attempt_do_not_count(self):
        for number in range(5):
            self.report(f"l{number}")
        self.assertFalse(self.must_refuse())

    def test_one_crash_reported_by_two_vms_counts_once(self):
        self.report("l1", "a1", "vm-1")
        self.report("l1", "a2", "vm-2")
        self.report("l2", "a2", "vm-2")
        self.assertFalse(self.must_refuse())

    def test_a_request_that_a_leaf_has_answered_is_never_refused(self):
        for number in range(5):
            self.report(f"l{number}", f"a{number}")
        withdrawn = self.ledger.record_success(self.call)
        self.assertEqual(len(withdrawn), 5)
        self.assertFalse(self.must_refuse())
        for number in range(5):
            self.report(f"l{number}", f"a{number}")
        self.assertFalse(self.must_refuse())

    def test_crashes_between_answers_do_not_count(self):
        for number in range(6):
            self.report(f"l{number}", f"a{number}", wall_ms=100 * number)
            if number % 2:
                self.ledger.record_success(self.call)
            self.assertFalse(self.must_refuse())

    def test_crashes_in_a_second_attempt_count_after_many_in_the_first(self):
        for number in range(10):
            self.lose_request(f"l{number}", "a1")
            if self.reported(f"l{number}"):
                self.report(f"l{number}", "a1")
        self.lose_request("m1", "a2")
        self.assertEqual(
            self.reported("m1"), [LostRequest(self.fingerprint, "a2")]
        )
        self.report("m1", "a2")
        self.assertTrue(self.must_refuse())

    def test_crashes_count_however_seldom_the_request_comes(self):
        for number in range(3):
            wall_ms = 120_000 * number
            self.report(f"l{number}", f"a{number}", wall_ms=wall_ms)
        self.assertTrue(self.must_refuse())

    def test_a_request_that_a_leaf_once_answered_can_still_be_refused(self):
        self.ledger.record_success(self.call)
        for number in range(4):
            self.lose_request(f"l{number}", f"a{number}")
            if self.reported(f"l{number}"):
                self.report(f"l{number}", f"a{number}")
        self.assertTrue(self.must_refuse())

    def test_only_requests_of_crashed_leafs_are_reported(self):
        self.lose_request("l1")
        self.lose_request("l2")
        self.ledger.record_leaf_alive("l1")
        self.assertEqual(self.reported("l1"), [])
        self.assertEqual(
            self.reported("l2"),
            [LostRequest(self.fingerprint, "a1")],
        )
        self.assertEqual(self.reported("l2"), [])

    def test_no_more_reports_are_written_than_needed(self):
        for number in range(crash_ledger.CRASHES_TO_REFUSE + 1):
            self.report(f"l{number}", f"a{number}")
        self.lose_request("l9")
        self.assertEqual(self.reported("l9"), [])

    def test_answered_requests_are_not_reported(self):
        self.ledger.record_success(self.call)
        self.lose_request("l1")
        self.assertEqual(self.reported("l1"), [])

    def test_an_abandoned_request_is_blamed_for_a_crash_soon_after(self):
        lost = LostRequest(self.fingerprint, "a1")
        blame_ms = crash_ledger.ABANDONED_BLAME_MS
        for leaf_id in ("l1", "l2"):
            self.ledger.record_abandoned_request(0.0, leaf_id, lost)
            self.ledger.record_leaf_alive(leaf_id)
        self.assertEqual(self.reported("l1", blame_ms), [lost])
        self.assertEqual(self.reported("l1", blame_ms), [])
        self.assertEqual(self.reported("l2", blame_ms + 1.0), [])

    def test_a_removed_report_no_longer_counts(self):
        for number in range(3):
            self.report(f"l{number}", f"a{number}")
        self.ledger.remove_entry(f"{self.fingerprint}-l1")
        self.ledger.remove_entry("unknown")
        self.assertFalse(self.must_refuse())
        self.ledger.remove_entry(f"{self.fingerprint}-l0")
        self.ledger.remove_entry(f"{self.fingerprint}-l2")
        self.assertEqual(self.ledger.reports, {})

    def claim_trial(self, now_ms, number=1):
        trial = CrashTrial(self.fingerprint, number, "a9", "vm-1", 0)
        self.ledger.add_entry(now_ms, f"trial-{number}", trial)

    def test_a_refused_request_is_due_for_a_trial(self):
        for number in range(3):
            self.report(f"l{number}", f"a{number}")
        due_ms = trial_schedule.FIRST_TRIAL_MS
        suspicion = self.ledger.suspicion(due_ms, self.call)
        self.assertTrue(suspicion.must_refuse)
        self.assertEqual(suspicion.trial_number, 1)
        self.claim_trial(due_ms)
        suspicion = self.ledger.suspicion(due_ms, self.call)
        self.assertTrue(suspicion.must_refuse)
        self.assertIsNone(suspicion.trial_number)

    def test_a_success_withdraws_the_trials_too(self):
        self.report("l1")
        self.claim_trial(0.0)
        self.assertEqual(len(self.ledger.record_success(self.call)), 2)
        self.assertEqual(self.ledger.trials.schedules, {})
        self.assertEqual(self.ledger.read_at_ms, {})

    def test_a_report_read_again_does_not_postpone_a_trial(self):
        for now_ms in (0.0, 500.0):
            for number in range(3):
                report = CrashReport(
                    self.fingerprint, f"a{number}", "l", "vm-2", 0
                )
                self.ledger.add_entry(now_ms, f"r{number}", report)
        due_ms = trial_schedule.FIRST_TRIAL_MS
        suspicion = self.ledger.suspicion(due_ms, self.call)
        self.assertEqual(suspicion.trial_number, 1)

    def test_entries_expire_some_time_after_they_were_first_read(self):
        # Their writers may be gone, which would remove them.
        self.report("l1", vm="vm-gone")
        self.claim_trial(1.0)
        self.claim_trial(2.0)
        ttl_ms = crash_ledger.ENTRY_TTL_MS
        self.assertEqual(self.ledger.next_expiry_ms(), ttl_ms)
        self.assertEqual(self.ledger.remove_expired(ttl_ms - 1.0), {})
        self.assertEqual(
            list(self.ledger.remove_expired(ttl_ms)), [f"{self.fingerprint}-l1"]
        )
        self.assertEqual(
            list(self.ledger.remove_expired(ttl_ms + 1.0)), ["trial-1"]
        )
        self.assertIsNone(self.ledger.next_expiry_ms())
        self.assertEqual(self.ledger.trials.schedules, {})

    def test_a_refused_request_stays_refused_among_many_suspects(self):
        for number in range(3):
            self.report(f"l{number}", f"a{number}")
        for number in range(crash_ledger.MAX_SUSPECTS + 10):
            report = CrashReport(number, "a1", "l1", "vm-1", 0)
            self.ledger.add_entry(0.0, str(number), report)
        self.assertTrue(self.must_refuse())

    def test_all_collections_are_bounded(self):
        for number in range(crash_ledger.MAX_SUSPECTS + 10):
            report = CrashReport(number, "a1", "l1", "vm-1", 0)
            self.ledger.add_entry(0.0, str(number), report)
            self.ledger.record_lost_request(
                f"l{number}", LostRequest(number, "a1")
            )
            trial = CrashTrial(-number, 1, "a1", "vm-1", 0)
            self.ledger.add_entry(0.0, f"trial-{number}", trial)
        self.assertEqual(
            len(self.ledger.trials.schedules), crash_ledger.MAX_SUSPECTS
        )
        self.assertLessEqual(
            len(self.ledger.read_at_ms), 2 * crash_ledger.MAX_SUSPECTS
        )
        for number in range(crash_ledger.MAX_HARMLESS + 10):
            self.ledger.record_success(
                attrs.evolve(self.call, body=b"%d" % number)
            )
        for number in range(crash_ledger.MAX_LOST + 10):
            lost = LostRequest(-1 - number, "a1")
            self.ledger.record_lost_request(f"m{number}", lost)
            self.ledger.record_abandoned_request(0.0, f"m{number}", lost)
        for number in range(crash_ledger.MAX_ABANDONED_PER_LEAF + 10):
            lost = LostRequest(number, "a1")
            self.ledger.record_abandoned_request(0.0, "m", lost)
        self.assertEqual(len(self.ledger.reports), crash_ledger.MAX_SUSPECTS)
        self.assertEqual(
            len(self.ledger.fingerprints), crash_ledger.MAX_SUSPECTS
        )
        self.assertEqual(len(self.ledger.harmless), crash_ledger.MAX_HARMLESS)
        self.assertEqual(len(self.ledger.lost_requests), crash_ledger.MAX_LOST)
        abandoned = self.ledger.abandoned_requests
        self.assertEqual(len(abandoned), crash_ledger.MAX_LOST)
        self.assertEqual(
            len(abandoned["m"]), crash_ledger.MAX_ABANDONED_PER_LEAF
        )
