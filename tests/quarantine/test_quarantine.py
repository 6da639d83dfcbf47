"""Tests of the quarantine of one process."""

import collections
import unittest

from oriolegate.quarantine import admission
from oriolegate.quarantine import messages
from oriolegate.quarantine.fingerprint import fingerprint
from oriolegate.quarantine.fingerprint import rendezvous_first
from oriolegate.quarantine.fingerprint import rendezvous_order
from oriolegate.quarantine.quarantine import Quarantine
from oriolegate.quarantine.settings import CanaryMode
from oriolegate.quarantine.settings import QuarantineSettings
from oriolegate.result_codes import ResultCode

UPSTREAMS = ("up-0", "up-1", "up-2", "up-3")
VMS = ("vm-a", "vm-b", "vm-c")
# Requests are identified by their fingerprints.
REQUEST = fingerprint("desk", b"body", None)
OTHER_REQUEST = fingerprint("desk", b"other", None)


class FingerprintTest(unittest.TestCase):
    def test_differs_with_service_body_and_shard_key(self):
        values = {
            fingerprint("desk", b"body", None),
            fingerprint("board", b"body", None),
            fingerprint("desk", b"bodY", None),
            fingerprint("desk", b"body", "k"),
        }
        self.assertEqual(len(values), 4)

    def test_removing_the_first_upstream_selects_the_second(self):
        first, second, *_ = rendezvous_order(REQUEST, UPSTREAMS)
        remaining = tuple(name for name in UPSTREAMS if name != first)
        self.assertEqual(rendezvous_order(REQUEST, remaining)[0], second)

    def test_first_choices_are_spread_over_all_names(self):
        counts = collections.Counter(
            rendezvous_first(fingerprint("desk", b"%d" % n, None), UPSTREAMS)
            for n in range(1_000)
        )
        self.assertEqual(set(counts), set(UPSTREAMS))
        self.assertLess(max(counts.values()), 320)


class QuarantineTest(unittest.TestCase):
    def setUp(self):
        self.now_ms = 0.0
        self.quarantine = self.make()
        self.first, self.second, *_ = rendezvous_order(REQUEST, UPSTREAMS)

    def make(self, vm="vm-a", **settings):
        return Quarantine(vm, QuarantineSettings(**settings))

    def admit(self, value=REQUEST):
        admitted, self.effects = self.quarantine.admit(
            self.now_ms, value, UPSTREAMS
        )
        return admitted

    def canary(self):
        return admission.CanaryFirst(self.first, self.second)

    def start(self, upstream, value=REQUEST):
        self.quarantine.on_sub_request_sent(
            self.now_ms, value, upstream, upstream
        )

    def finish(self, upstream, value=REQUEST, ran=True):
        return self.quarantine.on_sub_request_ended(
            self.now_ms, value, upstream, upstream, ran
        )

    def lose(self, upstream):
        return self.quarantine.on_connection_lost(
            self.now_ms, upstream, upstream
        )

    def crash_canary(self):
        """Send the next canary and lose its upstream."""
        admitted = self.admit()
        self.start(admitted.upstream)
        effects = self.lose(admitted.upstream)
        self.now_ms += 150.0
        return admitted.upstream, effects

    def test_unknown_request_is_sent_as_a_canary_and_then_admitted(self):
        self.assertEqual(self.admit(), self.canary())
        self.start(self.first)
        self.assertIsInstance(self.admit(), admission.Wait)
        self.assertIn(admission.Recheck(REQUEST), self.finish(self.first))
        self.assertEqual(self.admit(), admission.Admitted())
        self.assertTrue(self.quarantine.may_retry(self.now_ms, REQUEST))

    def test_harmless_status_expires(self):
        self.admit()
        self.start(self.first)
        self.finish(self.first)
        self.now_ms += QuarantineSettings().harmless_ms
        self.assertEqual(self.admit(), self.canary())

    def test_canary_that_did_not_run_does_not_count_as_success(self):
        self.admit()
        self.start(self.first)
        self.finish(self.first, ran=False)
        self.assertEqual(self.admit(), self.canary())

    def test_second_loss_puts_the_request_in_quarantine(self):
        crashed = [self.crash_canary()[0]]
        self.assertFalse(self.quarantine.may_retry(self.now_ms, REQUEST))
        upstream, effects = self.crash_canary()
        crashed.append(upstream)
        self.assertEqual(crashed, [self.first, self.second])
        quarantined = admission.Quarantined(REQUEST, tuple(sorted(crashed)))
        self.assertIn(quarantined, effects)
        refused = self.admit()
        self.assertIs(refused.code, ResultCode.QUARANTINED)
        self.assertGreater(refused.retry_after_ms, 1_000_000.0)

    def test_one_loss_after_quarantine_returns_the_request_to_it(self):
        self.crash_canary()
        self.crash_canary()
        self.now_ms += QuarantineSettings().quarantine_ms
        self.crash_canary()
        self.assertIsInstance(self.admit(), admission.Refused)

    def test_loss_of_canary_and_hedge_quarantines_the_request(self):
        self.admit()
        self.start(self.first)
        self.start(self.second)
        self.lose(self.first)
        self.lose(self.second)
        self.assertIsInstance(self.admit(), admission.Refused)

    def test_suspect_waits_for_the_loss_reports_of_other_vms(self):
        self.admit()
        self.start(self.first)
        self.lose(self.first)
        self.now_ms += 99.0
        self.assertIsInstance(self.admit(), admission.Wait)
        self.now_ms += 1.0
        self.assertEqual(self.admit(), admission.CanaryFirst(self.second))

    def test_loss_report_makes_the_request_a_suspect_on_other_vms(self):
        upstream, effects = self.crash_canary()
        report = messages.LossReport(REQUEST, (upstream,))
        self.assertIn(admission.Broadcast(report), effects)
        other_quarantine = self.make("vm-b")
        other_quarantine.on_peer_message(self.now_ms, "vm-a", report)
        self.assertFalse(other_quarantine.may_retry(self.now_ms, REQUEST))
        second = messages.LossReport(REQUEST, (self.second,))
        other_quarantine.on_peer_message(self.now_ms, "vm-c", second)
        admitted, _ = other_quarantine.admit(self.now_ms, REQUEST, UPSTREAMS)
        self.assertIsInstance(admitted, admission.Refused)

    def test_canary_has_no_hedge_at_a_recently_lost_upstream(self):
        self.lose(self.second)
        self.assertEqual(self.admit(), admission.CanaryFirst(self.first))

    def test_suspect_is_sent_without_a_hedge(self):
        self.crash_canary()
        self.assertEqual(self.admit(), admission.CanaryFirst(self.second))

    def test_suspect_that_succeeds_is_cleared_on_all_vms(self):
        self.quarantine.on_members_changed(VMS)
        self.crash_canary()
        message = messages.ProbationGrant(REQUEST, 2_000.0)
        self.quarantine.on_peer_message(self.now_ms, "vm-b", message)
        self.start(self.admit().upstream)
        effects = self.finish(self.second)
        verdict = messages.Verdict(REQUEST, 0.0)
        self.assertIn(admission.Broadcast(verdict), effects)
        self.assertEqual(self.admit(), admission.Admitted())

    def test_harmless_request_in_flight_with_a_suspect_stays_harmless(self):
        for upstream in ("up-0", "up-1"):
            self.start(upstream, OTHER_REQUEST)
            self.finish(upstream, OTHER_REQUEST)
        self.start(self.first, OTHER_REQUEST)
        self.crash_canary()
        self.assertEqual(self.admit(OTHER_REQUEST), admission.Admitted())

    def test_second_loss_without_suspect_ends_harmless_status(self):
        self.start("up-0", OTHER_REQUEST)
        self.finish("up-0", OTHER_REQUEST)
        self.start("up-1", OTHER_REQUEST)
        self.lose("up-1")
        self.assertTrue(self.quarantine.may_retry(self.now_ms, OTHER_REQUEST))
        self.start("up-2", OTHER_REQUEST)
        self.lose("up-2")
        self.assertFalse(self.quarantine.may_retry(self.now_ms, OTHER_REQUEST))

    def test_missing_result_of_a_granted_send_counts_as_a_loss(self):
        self.quarantine = self.owner_of(REQUEST)
        self.crash_canary()
        requester = next(vm for vm in VMS if vm != self.quarantine.vm)
        request = messages.ProbationRequest(REQUEST, (self.first,))
        effects = self.quarantine.on_peer_message(
            self.now_ms, requester, request
        )
        granted = messages.ProbationGrant(REQUEST, 2_000.0)
        self.assertIn(admission.Send(requester, granted), effects)
        self.assertIsInstance(self.admit(), admission.Wait)
        self.now_ms += 4_000.0
        self.admit()
        self.assertIsInstance(self.admit(), admission.Refused)

    def test_only_one_vm_at_a_time_is_granted_a_suspect(self):
        self.quarantine = self.owner_of(REQUEST)
        self.crash_canary()
        effects = []
        for vm in VMS:
            request = messages.ProbationRequest(REQUEST, (self.first,))
            effects += self.quarantine.on_peer_message(self.now_ms, vm, request)
        grants = [
            effect
            for effect in effects
            if isinstance(effect.message, messages.ProbationGrant)
        ]
        self.assertEqual(len(grants), 1)

    def test_reported_loss_overrides_an_earlier_success(self):
        self.quarantine = self.owner_of(REQUEST)
        self.start("up-0")
        self.finish("up-0")
        request = messages.ProbationRequest(REQUEST, ("up-1",))
        effects = self.quarantine.on_peer_message(self.now_ms, "vm-b", request)
        self.assertIsInstance(effects[-1].message, messages.ProbationGrant)
        self.assertFalse(self.quarantine.may_retry(self.now_ms, REQUEST))

    def owner_of(self, value):
        owner = self.make(rendezvous_order(value, VMS)[0])
        owner.on_members_changed(VMS)
        return owner

    def test_verdict_of_another_vm_is_adopted_and_can_be_released(self):
        self.quarantine.on_members_changed(VMS)
        verdict = messages.Verdict(REQUEST, 60_000.0)
        self.quarantine.on_peer_message(self.now_ms, "vm-b", verdict)
        self.assertEqual(
            self.admit(), admission.Refused(ResultCode.QUARANTINED, 60_000.0)
        )
        effects = self.quarantine.release(self.now_ms, REQUEST)
        cleared = messages.Verdict(REQUEST, 0.0)
        self.assertIn(admission.Broadcast(cleared), effects)
        self.assertEqual(self.admit(), admission.Admitted())

    def test_canary_mode_decides_when_requests_need_a_canary(self):
        for mode, without_alert, on_alert in (
            (CanaryMode.NEVER, True, True),
            (CanaryMode.WHEN_ALERT, True, False),
            (CanaryMode.ALWAYS, False, False),
        ):
            self.quarantine = self.make(canary=mode)
            admitted = admission.Admitted()
            self.assertEqual(self.admit() == admitted, without_alert, mode)
            self.lose("up-9")
            self.assertEqual(
                self.admit(OTHER_REQUEST) == admitted, on_alert, mode
            )

    def test_entries_are_bounded_and_quarantined_requests_are_kept(self):
        self.quarantine = self.make(suspect_entries=5, harmless_entries=5)
        verdict = messages.Verdict(REQUEST, 60_000.0)
        self.quarantine.on_peer_message(self.now_ms, "vm-b", verdict)
        for value in range(50):
            self.start("up-0", value)
            self.lose("up-0")
            self.start("up-1", 1_000 + value)
            self.finish("up-1", 1_000 + value)
        self.assertLessEqual(len(self.quarantine.evidence.suspects), 5)
        self.assertLessEqual(len(self.quarantine.evidence.harmless_until_ms), 5)
        self.assertIsInstance(self.admit(), admission.Refused)
        self.assertEqual(sum(map(len, self.quarantine.in_flight.values())), 0)
