"""Tests that a request crashes at most two upstreams across several VMs."""

import unittest

import hypothesis
from hypothesis import strategies as st

from oriolegate.quarantine.settings import CanaryMode
from oriolegate.quarantine.settings import QuarantineSettings
from tests.quarantine.crashing_tier import CrashingTier

ALWAYS = QuarantineSettings()
WHEN_ALERT = QuarantineSettings(canary=CanaryMode.WHEN_ALERT)
RESENDS = 50


def send_harmless(tier, count, interval_ms):
    """Send harmless requests, half of them with a new body each."""
    sent = []

    def send(number):
        vm = tier.vms[number % len(tier.vms)]
        body = b"map-%d" % (number if number % 2 else number % 20)
        sent.append(tier.send(vm, body))

    for number in range(count):
        tier.at(number * interval_ms, send, number)
    return sent


def send_crashing(tier, interval_ms):
    """Send the crashing body through the VMs in turn."""
    sent = []

    def send(number):
        vm = tier.vms[number % len(tier.vms)]
        sent.append(tier.send(vm, b"crash"))

    for number in range(RESENDS):
        tier.at(100.0 + number * interval_ms, send, number)
    return sent


class CrashingRequestTest(unittest.TestCase):
    def assert_at_most_two_crashes(self, tier):
        self.assertLessEqual(len(set(tier.crashes)), 2, tier.crashes)
        self.assertLessEqual(len(tier.crashes), 2, tier.crashes)

    def test_fifty_resends_over_eight_vms_crash_two_upstreams(self):
        tier = CrashingTier(ALWAYS, vm_count=8, upstream_count=10)
        harmless = send_harmless(tier, 4_000, interval_ms=2.0)
        sends = send_crashing(tier, interval_ms=100.0)
        tier.run(12_000.0)
        self.assert_at_most_two_crashes(tier)
        self.assertEqual(len(tier.crashes), 2)
        self.assertNotIn("answered", {send.end for send in sends})
        answered = sum(request.end == "answered" for request in harmless)
        self.assertGreaterEqual(answered / len(harmless), 0.99)

    def test_concurrent_sends_crash_at_most_two_upstreams(self):
        tier = CrashingTier(ALWAYS, vm_count=8, upstream_count=10)
        send_crashing(tier, interval_ms=0.0)
        tier.run(12_000.0)
        self.assert_at_most_two_crashes(tier)

    def test_harmless_request_in_flight_at_a_crash_is_answered(self):
        tier = CrashingTier(ALWAYS, vm_count=8, upstream_count=1)
        crashing = tier.send("vm-0", b"crash")
        harmless = tier.send("vm-0", b"map", timeout_ms=9_000.0)
        tier.run(10_000.0)
        self.assertEqual(tier.crashes[0], "up-0")
        self.assertEqual(harmless.end, "answered")
        self.assertNotEqual(crashing.end, "answered")

    def test_when_alert_mode_does_not_limit_a_first_send_without_alert(self):
        tier = CrashingTier(WHEN_ALERT, vm_count=8, upstream_count=10)
        tier.send("vm-0", b"crash")
        tier.run(50.0)
        self.assertEqual(len(tier.crashes), 10)
        send_crashing(tier, interval_ms=100.0)
        tier.run(20_000.0)
        self.assertEqual(len(tier.crashes), 10)

    def test_loss_of_several_upstreams_quarantines_no_harmless_request(self):
        tier = CrashingTier(ALWAYS, vm_count=8, upstream_count=10)
        harmless = send_harmless(tier, 2_000, interval_ms=2.0)
        for upstream in ("up-1", "up-2", "up-3"):
            tier.at(1_000.0, tier.lose, upstream)
        tier.run(9_000.0)
        answered = sum(request.end == "answered" for request in harmless)
        self.assertGreaterEqual(answered / len(harmless), 0.98)
        self.assertNotIn("refused", {request.end for request in harmless})

    def test_straggler_does_not_delay_new_requests(self):
        tier = CrashingTier(ALWAYS, vm_count=2, upstream_count=10)
        tier.service_ms["up-3"] = 900.0
        bodies = [b"map-%d" % number for number in range(100)]
        sent = [tier.send("vm-0", body) for body in bodies]
        tier.run(60.0)
        self.assertEqual({send.phase for send in sent}, {"fan-out"})

    @hypothesis.settings(max_examples=60, derandomize=True, deadline=None)
    @hypothesis.given(
        seed=st.integers(0, 10_000),
        interval_ms=st.sampled_from((0.0, 3.0, 30.0, 250.0)),
        message_loss_ratio=st.sampled_from((0.2, 1.0)),
    )
    def test_lost_messages_allow_no_third_upstream_for_a_quick_crash(
        self, seed, interval_ms, message_loss_ratio
    ):
        tier = CrashingTier(ALWAYS, vm_count=8, upstream_count=10, seed=seed)
        tier.message_loss_ratio = message_loss_ratio
        send_crashing(tier, interval_ms)
        tier.run(20_000.0)
        self.assertLessEqual(len(set(tier.crashes)), 2, tier.crashes)

    @hypothesis.settings(max_examples=60, derandomize=True, deadline=None)
    @hypothesis.given(
        seed=st.integers(0, 10_000),
        vm_count=st.integers(1, 8),
        upstream_count=st.integers(2, 12),
        interval_ms=st.sampled_from((0.0, 1.0, 3.0, 30.0, 250.0)),
        crash_after_ms=st.sampled_from((2.0, 14.0, 16.0, 40.0, 200.0)),
    )
    @hypothesis.example(
        seed=212,
        vm_count=7,
        upstream_count=8,
        interval_ms=17.0,
        crash_after_ms=16.0,
    )
    def test_at_most_two_upstreams_crash(
        self, seed, vm_count, upstream_count, interval_ms, crash_after_ms
    ):
        tier = CrashingTier(ALWAYS, vm_count, upstream_count, seed)
        tier.crash_after_ms = crash_after_ms
        send_crashing(tier, interval_ms)
        tier.run(20_000.0)
        self.assertLessEqual(len(set(tier.crashes)), 2, tier.crashes)
