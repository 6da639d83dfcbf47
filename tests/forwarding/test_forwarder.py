"""Tests of forwarding whole queries to homes."""

import unittest

from oriolegate.forwarding.forwarder import Finished
from oriolegate.forwarding.forwarder import Forward
from oriolegate.forwarding.forwarder import Forwarder
from oriolegate.forwarding.forwarder import RESULT_GRACE_MS
from oriolegate.forwarding.messages import ForwardCancelled
from oriolegate.forwarding.messages import ForwardedResult
from oriolegate.models.answer import RelayedOutcome
from oriolegate.models.request import CallerRequest
from oriolegate.result_codes import ResultCode
from oriolegate.result_codes import RunState

HOMES = ["vm-2", "vm-3"]


def request(idempotent=True):
    key = None if idempotent else "key"
    return CallerRequest(
        "r1", "c", "studio", b"", idempotent=idempotent, idempotency_key=key
    )


def result(number=1, code=ResultCode.OK, not_run=False):
    status = 200 if code is ResultCode.OK else 503
    return ForwardedResult(number, status, int(code), not_run, b"{}", None)


class ForwarderTest(unittest.TestCase):
    def setUp(self):
        self.forwarder = Forwarder()

    def start(self, idempotent=True, homes=HOMES):
        (effect,) = self.forwarder.start(0.0, request(idempotent), homes, 100.0)
        return effect

    def outcome_of(self, effects):
        (finished,) = effects
        self.assertIsInstance(finished, Finished)
        return finished.outcome

    def test_a_home_receives_the_remaining_deadline(self):
        self.start()
        (effect,) = self.forwarder.on_unsent(40.0, 1)
        self.assertEqual(effect.vm, "vm-3")
        self.assertEqual(effect.message.request.deadline_ms, 60.0)

    def test_a_result_is_passed_on_without_decoding(self):
        self.assertEqual(self.start().vm, "vm-2")
        (finished,) = self.forwarder.on_result(9.0, "vm-2", result())
        self.assertIsInstance(finished.outcome, RelayedOutcome)
        self.assertEqual(finished.outcome.body, b"{}")
        self.assertEqual(self.forwarder.pending, {})

    def test_late_results_and_results_of_other_vms_are_dropped(self):
        self.start()
        self.assertEqual(self.forwarder.on_result(1.0, "vm-3", result()), [])
        self.forwarder.on_result(2.0, "vm-2", result())
        self.assertEqual(self.forwarder.on_result(3.0, "vm-2", result()), [])

    def test_the_next_home_is_tried_when_one_cannot_serve(self):
        self.start(idempotent=False)
        message = result(code=ResultCode.NOT_READY, not_run=True)
        (effect,) = self.forwarder.on_result(1.0, "vm-2", message)
        self.assertIsInstance(effect, Forward)
        self.assertEqual(effect.vm, "vm-3")
        outcome = self.outcome_of(
            self.forwarder.on_result(2.0, "vm-3", message)
        )
        self.assertIs(outcome.run_state, RunState.NOT_RUN)

    def test_homes_are_tried_again_while_the_deadline_allows(self):
        self.forwarder.start(0.0, request(False), HOMES, 250.0)
        message = result(code=ResultCode.NOT_READY, not_run=True)
        self.forwarder.on_result(1.0, "vm-2", message)
        self.assertEqual(self.forwarder.on_result(2.0, "vm-3", message), [])
        self.assertEqual(self.forwarder.on_tick(101.0), [])
        (effect,) = self.forwarder.on_tick(102.0)
        self.assertEqual((effect.vm, effect.message.number), ("vm-2", 1))
        self.forwarder.on_result(103.0, "vm-2", message)
        self.forwarder.on_result(110.0, "vm-3", message)
        (effect,) = self.forwarder.on_tick(210.0)
        self.forwarder.on_result(211.0, "vm-2", message)
        outcome = self.outcome_of(
            self.forwarder.on_result(212.0, "vm-3", message)
        )
        self.assertIs(outcome.run_state, RunState.NOT_RUN)

    def test_a_disconnect_between_rounds_finishes_the_request(self):
        self.forwarder.start(0.0, request(), ["vm-2"], 250.0)
        message = result(code=ResultCode.NOT_READY, not_run=True)
        self.forwarder.on_result(1.0, "vm-2", message)
        (finished,) = self.forwarder.caller_gone("r1")
        self.assertIs(finished.outcome.code, ResultCode.CALLER_GONE)
        self.assertEqual(self.forwarder.pending, {})

    def test_a_refusal_is_final_if_the_query_may_have_run(self):
        self.start()
        message = result(code=ResultCode.NOT_READY, not_run=False)
        (finished,) = self.forwarder.on_result(1.0, "vm-2", message)
        self.assertIsInstance(finished, Finished)

    def test_a_query_goes_to_the_next_home_when_one_is_lost(self):
        self.start()
        (effect,) = self.forwarder.on_peer_lost(5.0, "vm-2")
        self.assertEqual(effect.vm, "vm-3")
        outcome = self.outcome_of(self.forwarder.on_peer_lost(6.0, "vm-3"))
        self.assertIs(outcome.run_state, RunState.MAY_HAVE_RUN)

    def test_a_submit_whose_home_is_lost_may_have_run(self):
        self.start(idempotent=False)
        outcome = self.outcome_of(self.forwarder.on_peer_lost(5.0, "vm-2"))
        self.assertIs(outcome.code, ResultCode.MAY_HAVE_RUN)
        self.assertIs(outcome.run_state, RunState.MAY_HAVE_RUN)

    def test_the_loss_of_another_vm_is_ignored(self):
        self.start()
        self.assertEqual(self.forwarder.on_peer_lost(5.0, "vm-3"), [])

    def test_a_missing_result_after_the_deadline_may_have_run(self):
        self.start()
        self.assertEqual(self.forwarder.on_tick(100.0), [])
        outcome = self.outcome_of(
            self.forwarder.on_tick(100.0 + RESULT_GRACE_MS)
        )
        self.assertIs(outcome.run_state, RunState.MAY_HAVE_RUN)

    def test_a_request_without_homes_is_not_run(self):
        (finished,) = self.forwarder.start(0.0, request(), [], 100.0)
        self.assertIs(finished.outcome.run_state, RunState.NOT_RUN)

    def test_a_disconnect_cancels_a_query_but_not_a_submit(self):
        self.start()
        cancel, finished = self.forwarder.caller_gone("r1")
        self.assertEqual(cancel.message, ForwardCancelled(1))
        self.assertIs(finished.outcome.code, ResultCode.CALLER_GONE)
        self.start(idempotent=False)
        self.assertEqual(self.forwarder.caller_gone("r1"), [])
