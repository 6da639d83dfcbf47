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
BODY = fingerprint("desk", b"body", None)
OTHER = fingerprint("desk", b"other", None)


class FingerprintTest(unittest.TestCase):
    def test_differs_with_service_body_and_shard_key(self):
        values = {
            fingerprint("desk", b"body", None),
            fingerprint("board", b"body", None),
            fingerprint("desk", b"bodY", None),
            fingerprint("desk", b"body", "k"),
        }
        self.assertEqual(len(values), 4)

    def test_one_choice_moves_only_with_its_upstream(self):
        first, second, *_ = rendezvous_order(BODY, UPSTREAMS)
        rest = tuple(name for name in UPSTREAMS if name != first)
        self.assertEqual(rendezvous_order(BODY, rest)[0], second)

    def test_choices_spread_over_all_names(self):
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
        self.first, self.second, *_ = rendezvous_order(BODY, UPSTREAMS)

    def make(self, vm="vm-a", **settings):
        return Quarantine(vm, QuarantineSettings(**settings))

    def admit(self, value=BODY):
        admitted, self.effects = self.quarantine.admit(
            self.now_ms, value, UPSTREAMS
        )
        return admitted

    def canary(self):
        return admission.CanaryFirst(self.first, self.second)

    def start(self, upstream, value=BODY):
        self.quarantine.started(self.now_ms, value, upstream, upstream)

    def finish(self, upstream, value=BODY, ran=True):
        return self.quarantine.finished(
            self.now_ms, value, upstream, upstream, ran
        )

    def lose(self, upstream):
        return self.quarantine.connection_lost(self.now_ms, upstream, upstream)

    def crash_canary(self):
        """Send the canary that is due, and lose its upstream."""
        admitted = self.admit()
        self.start(admitted.upstream)
        effects = self.lose(admitted.upstream)
        self.now_ms += 150.0
        return admitted.upstream, effects

    def test_unknown_request_goes_to_its_canary_and_then_everywhere(self):
        self.assertEqual(self.admit(), self.canary())
        self.start(self.first)
        self.assertIsInstance(self.admit(), admission.Wait)
        self.assertIn(admission.Recheck(BODY), self.finish(self.first))
        self.assertEqual(self.admit(), admission.Admitted())
        self.assertTrue(self.quarantine.may_retry(self.now_ms, BODY))

    def test_success_counts_for_a_time(self):
        self.admit()
        self.start(self.first)
        self.finish(self.first)
        self.now_ms += QuarantineSettings().harmless_ms
        self.assertEqual(self.admit(), self.canary())

    def test_canary_that_did_not_run_proves_nothing(self):
        self.admit()
        self.start(self.first)
        self.finish(self.first, ran=False)
        self.assertEqual(self.admit(), self.canary())

    def test_second_loss_puts_the_request_in_quarantine(self):
        crashed = [self.crash_canary()[0]]
        self.assertFalse(self.quarantine.may_retry(self.now_ms, BODY))
        upstream, effects = self.crash_canary()
        crashed.append(upstream)
        self.assertEqual(crashed, [self.first, self.second])
        quarantined = admission.Quarantined(BODY, tuple(sorted(crashed)))
        self.assertIn(quarantined, effects)
        refused = self.admit()
        self.assertIs(refused.code, ResultCode.QUARANTINED)
        self.assertGreater(refused.retry_after_ms, 1_000_000.0)

    def test_after_quarantine_one_loss_puts_it_back(self):
        self.crash_canary()
        self.crash_canary()
        self.now_ms += QuarantineSettings().quarantine_ms
        self.crash_canary()
        self.assertIsInstance(self.admit(), admission.Refused)

    def test_hedge_of_a_canary_that_is_lost_too_is_the_last_send(self):
        self.admit()
        self.start(self.first)
        self.start(self.second)
        self.lose(self.first)
        self.lose(self.second)
        self.assertIsInstance(self.admit(), admission.Refused)

    def test_suspect_waits_until_reports_can_be_in(self):
        self.admit()
        self.start(self.first)
        self.lose(self.first)
        self.now_ms += 99.0
        self.assertIsInstance(self.admit(), admission.Wait)
        self.now_ms += 1.0
        self.assertEqual(self.admit(), admission.CanaryFirst(self.second))

    def test_loss_is_reported_and_a_report_makes_a_suspect(self):
        upstream, effects = self.crash_canary()
        report = messages.LossReport(BODY, (upstream,))
        self.assertIn(admission.Broadcast(report), effects)
        other = self.make("vm-b")
        other.peer_message(self.now_ms, "vm-a", report)
        self.assertFalse(other.may_retry(self.now_ms, BODY))
        second = messages.LossReport(BODY, (self.second,))
        other.peer_message(self.now_ms, "vm-c", second)
        admitted, _ = other.admit(self.now_ms, BODY, UPSTREAMS)
        self.assertIsInstance(admitted, admission.Refused)

    def test_no_hedge_where_an_upstream_was_lost_lately(self):
        self.lose(self.second)
        self.assertEqual(self.admit(), admission.CanaryFirst(self.first))

    def test_suspect_is_sent_without_a_hedge(self):
        self.crash_canary()
        self.assertEqual(self.admit(), admission.CanaryFirst(self.second))

    def test_suspect_that_succeeds_is_cleared_everywhere(self):
        self.quarantine.members_changed(VMS)
        self.crash_canary()
        message = messages.ProbationGrant(BODY, 2_000.0)
        self.quarantine.peer_message(self.now_ms, "vm-b", message)
        self.start(self.admit().upstream)
        effects = self.finish(self.second)
        verdict = messages.Verdict(BODY, 0.0)
        self.assertIn(admission.Broadcast(verdict), effects)
        self.assertEqual(self.admit(), admission.Admitted())

    def test_proven_request_beside_a_suspect_stays_proven(self):
        for upstream in ("up-0", "up-1"):
            self.start(upstream, OTHER)
            self.finish(upstream, OTHER)
        self.start(self.first, OTHER)
        self.crash_canary()
        self.assertEqual(self.admit(OTHER), admission.Admitted())

    def test_proven_request_is_doubted_at_its_second_loss_without_suspect(
        self,
    ):
        self.start("up-0", OTHER)
        self.finish("up-0", OTHER)
        self.start("up-1", OTHER)
        self.lose("up-1")
        self.assertTrue(self.quarantine.may_retry(self.now_ms, OTHER))
        self.start("up-2", OTHER)
        self.lose("up-2")
        self.assertFalse(self.quarantine.may_retry(self.now_ms, OTHER))

    def test_silence_of_the_vm_that_tests_counts_as_a_loss(self):
        self.quarantine = self.owner_of(BODY)
        self.crash_canary()
        asker = next(vm for vm in VMS if vm != self.quarantine.vm)
        ask = messages.ProbationRequest(BODY, (self.first,))
        effects = self.quarantine.peer_message(self.now_ms, asker, ask)
        granted = messages.ProbationGrant(BODY, 2_000.0)
        self.assertIn(admission.Send(asker, granted), effects)
        self.assertIsInstance(self.admit(), admission.Wait)
        self.now_ms += 4_000.0
        self.admit()
        self.assertIsInstance(self.admit(), admission.Refused)

    def test_two_vms_never_test_a_suspect_at_once(self):
        self.quarantine = self.owner_of(BODY)
        self.crash_canary()
        on_request = []
        for vm in VMS:
            ask = messages.ProbationRequest(BODY, (self.first,))
            on_request += self.quarantine.peer_message(self.now_ms, vm, ask)
        grants = [
            effect
            for effect in on_request
            if isinstance(effect.message, messages.ProbationGrant)
        ]
        self.assertEqual(len(grants), 1)

    def test_a_loss_counts_more_than_an_earlier_success_elsewhere(self):
        self.quarantine = self.owner_of(BODY)
        self.start("up-0")
        self.finish("up-0")
        ask = messages.ProbationRequest(BODY, ("up-1",))
        effects = self.quarantine.peer_message(self.now_ms, "vm-b", ask)
        self.assertIsInstance(effects[-1].message, messages.ProbationGrant)
        self.assertFalse(self.quarantine.may_retry(self.now_ms, BODY))

    def owner_of(self, value):
        owner = self.make(rendezvous_order(value, VMS)[0])
        owner.members_changed(VMS)
        return owner

    def test_verdict_of_another_vm_is_taken_over_and_released(self):
        self.quarantine.members_changed(VMS)
        verdict = messages.Verdict(BODY, 60_000.0)
        self.quarantine.peer_message(self.now_ms, "vm-b", verdict)
        self.assertEqual(
            self.admit(), admission.Refused(ResultCode.QUARANTINED, 60_000.0)
        )
        effects = self.quarantine.release(self.now_ms, BODY)
        cleared = messages.Verdict(BODY, 0.0)
        self.assertIn(admission.Broadcast(cleared), effects)
        self.assertEqual(self.admit(), admission.Admitted())

    def test_canary_modes(self):
        for mode, calm, alert in (
            (CanaryMode.NEVER, True, True),
            (CanaryMode.WHEN_ALERT, True, False),
            (CanaryMode.ALWAYS, False, False),
        ):
            self.quarantine = self.make(canary=mode)
            free = admission.Admitted()
            self.assertEqual(self.admit() == free, calm, mode)
            self.lose("up-9")
            self.assertEqual(self.admit(OTHER) == free, alert, mode)

    def test_memory_is_bounded_and_keeps_the_quarantined(self):
        self.quarantine = self.make(suspect_entries=5, harmless_entries=5)
        verdict = messages.Verdict(BODY, 60_000.0)
        self.quarantine.peer_message(self.now_ms, "vm-b", verdict)
        for value in range(50):
            self.start("up-0", value)
            self.lose("up-0")
            self.start("up-1", 1_000 + value)
            self.finish("up-1", 1_000 + value)
        self.assertLessEqual(len(self.quarantine.evidence.suspects), 5)
        self.assertLessEqual(len(self.quarantine.evidence.harmless_until_ms), 5)
        self.assertIsInstance(self.admit(), admission.Refused)
        self.assertEqual(sum(map(len, self.quarantine.in_flight.values())), 0)
