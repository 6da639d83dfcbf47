"""Failure tests of the quarantine: a request crashes every upstream it runs on.

Callers resend the request. Without the quarantine, resends would crash one
upstream after the other.
"""

import io
import unittest

from oriolegate import logging_setup
from oriolegate.models.answer import Answer
from oriolegate.models.answer import Refusal
from oriolegate.result_codes import ResultCode
from oriolegate.result_codes import RunState
from oriolegate.timeline.events import EventKind
from oriolegate.upstreams.leaf_state import Grant
from tests.runtime.crashing_site import CRASHING_BODY
from tests.runtime.crashing_site import CrashingSite
from tests.runtime.crashing_site import SERVICE


def is_full(outcomes):
    return [
        isinstance(outcome, Answer) and not outcome.coverage.missing
        for outcome in outcomes
    ] == [True]


class QuarantineGateTest(unittest.TestCase):
    def setUp(self):
        logging_setup.setup_logging(stream=io.StringIO())

    def test_50_resends_crash_at_most_two_upstreams_and_others_are_answered(
        self,
    ):
        for seed in range(3):
            with self.subTest(seed=seed):
                self.run_resends(seed)

    def run_resends(self, seed):
        site = CrashingSite(vms=4, upstreams=10, seed=seed)
        names = list(site.vms)
        resends, others = [], []

        def resend(number):
            resends.append(site.submit(names[number % 4], CRASHING_BODY))

        def submit(number):
            body = b"seen" if number % 2 else f"new-{number}".encode()
            others.append(site.submit(names[number // 2 % 4], body))

        for number in range(50):
            site.schedule(200.0 + 100.0 * number, resend, number)
        for number in range(300):
            site.schedule(20.0 * number, submit, number)
        site.run(9_000.0)
        self.assertLessEqual(len(site.crash_counts()), 2)
        self.assertLessEqual(sum(site.crash_counts().values()), 2)
        full_answers = sum(is_full(outcomes) for outcomes in others)
        self.assertEqual(len(others), 300)
        self.assertGreaterEqual(full_answers, 297)
        codes = [outcome.code for (outcome,) in resends]
        self.assertGreaterEqual(codes.count(ResultCode.QUARANTINED), 45)
        for vm in site.vms.values():
            suspects = vm.gate.quarantine.evidence.suspects
            self.assertEqual(len(suspects), 1)
            self.assertEqual(vm.gate.waiting, {})
            self.assertEqual(vm.runner.coordinator.state.queries, {})

    def test_concurrent_sends_through_all_vms_crash_at_most_two_upstreams(self):
        site = CrashingSite(vms=4, upstreams=10)
        resends = [
            site.submit(vm, CRASHING_BODY) for vm in site.vms for _ in range(3)
        ]
        site.run(3_000.0)
        self.assertLessEqual(len(site.crash_counts()), 2)
        for (outcome,) in resends:
            self.assertIsInstance(outcome, Refusal)
        refused = site.submit("vm-0", CRASHING_BODY)[0]
        self.assertIs(refused.code, ResultCode.QUARANTINED)
        self.assertIs(refused.run_state, RunState.NOT_RUN)
        self.assertGreater(refused.retry_after_ms, 1_000_000)

    def test_release_by_an_operator_applies_on_every_vm(self):
        site = CrashingSite(vms=2, upstreams=4)
        site.submit("vm-0", CRASHING_BODY)
        site.run(3_000.0)
        gate = site.vms["vm-0"].gate
        (value,) = gate.quarantine.evidence.suspects
        gate.release(value)
        for model in site.models.values():
            model.faults.crash_marker = ""
        site.run(3_100.0)
        outcomes = site.submit("vm-1", CRASHING_BODY)
        site.run(4_500.0)
        self.assertTrue(is_full(outcomes))
        kinds = [
            event.detail[0]
            for event in gate.events.events()
            if event.kind is EventKind.QUARANTINE
        ]
        self.assertEqual(
            kinds,
            [
                "canary",
                "canary",
                "quarantined",
                "refused",
                "released",
                "cleared",
            ],
        )

    def test_a_submit_that_crashes_its_upstream_is_sent_once(self):
        site = CrashingSite(vms=2, upstreams=4)
        for number, vm in enumerate(("vm-0", "vm-1", "vm-0")):
            key = f"key-{number}"
            outcomes = site.submit(
                vm,
                CRASHING_BODY,
                idempotent=False,
                idempotency_key=key,
                shard_key="s",
            )
            site.run(2_000.0 * (number + 1))
            with self.subTest(send=number):
                code = ResultCode.QUARANTINED
                if number < 2:
                    code = ResultCode.MAY_HAVE_RUN
                self.assertEqual([row.code for row in outcomes], [code])
        self.assertEqual(sum(site.crash_counts().values()), 2)

    def test_upstreams_that_accept_no_canary_do_not_delay_a_request(self):
        site = CrashingSite(vms=1, upstreams=4)
        table = site.vms["vm-0"].table
        table.set_taken_out(frozenset(), frozenset(["up-0", "up-2"]))
        outcomes = [site.submit("vm-0", b"%d" % n) for n in range(8)]
        site.run(200.0)
        self.assertTrue(all(map(is_full, outcomes)))
        table.set_grant(0.0, SERVICE, Grant(0, 0, 0))
        late = site.submit("vm-0", b"waits for capacity")
        site.run(300.0)
        self.assertEqual(late, [])
        table.set_grant(0.0, SERVICE, Grant(2, 8, 1))
        site.run(500.0)
        self.assertTrue(is_full(late))
