"""Tests of forwarding whole queries to homes."""

import unittest

from oriolegate.forwarding.core import Finished
from oriolegate.forwarding.core import Forward
from oriolegate.forwarding.core import Forwarder
from oriolegate.forwarding.core import GRACE_MS
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
        self.core = Forwarder()

    def start(self, idempotent=True, homes=HOMES):
        (effect,) = self.core.start(0.0, request(idempotent), homes, 100.0)
        return effect

    def refused(self, effects):
        (finished,) = effects
        self.assertIsInstance(finished, Finished)
        return finished.outcome

    def test_the_home_gets_what_is_left_of_the_deadline(self):
        self.start()
        (effect,) = self.core.unsent(40.0, 1)
        self.assertEqual(effect.vm, "vm-3")
        self.assertEqual(effect.message.request.deadline_ms, 60.0)

    def test_the_result_is_passed_on_unread(self):
        self.assertEqual(self.start().vm, "vm-2")
        (finished,) = self.core.result(9.0, "vm-2", result())
        self.assertIsInstance(finished.outcome, RelayedOutcome)
        self.assertEqual(finished.outcome.body, b"{}")
        self.assertEqual(self.core.pending, {})

    def test_results_of_other_vms_and_late_ones_are_dropped(self):
        self.start()
        self.assertEqual(self.core.result(1.0, "vm-3", result()), [])
        self.core.result(2.0, "vm-2", result())
        self.assertEqual(self.core.result(3.0, "vm-2", result()), [])

    def test_a_home_that_cannot_serve_is_followed_by_the_next(self):
        self.start(idempotent=False)
        message = result(code=ResultCode.NOT_READY, not_run=True)
        (effect,) = self.core.result(1.0, "vm-2", message)
        self.assertIsInstance(effect, Forward)
        self.assertEqual(effect.vm, "vm-3")
        outcome = self.refused(self.core.result(2.0, "vm-3", message))
        self.assertIs(outcome.run_state, RunState.NOT_RUN)

    def test_homes_are_asked_again_while_the_deadline_allows(self):
        self.core.start(0.0, request(False), HOMES, 250.0)
        message = result(code=ResultCode.NOT_READY, not_run=True)
        self.core.result(1.0, "vm-2", message)
        self.assertEqual(self.core.result(2.0, "vm-3", message), [])
        self.assertEqual(self.core.expire(101.0), [])
        (effect,) = self.core.expire(102.0)
        self.assertEqual((effect.vm, effect.message.number), ("vm-2", 1))
        self.core.result(103.0, "vm-2", message)
        self.core.result(110.0, "vm-3", message)
        (effect,) = self.core.expire(210.0)
        self.core.result(211.0, "vm-2", message)
        outcome = self.refused(self.core.result(212.0, "vm-3", message))
        self.assertIs(outcome.run_state, RunState.NOT_RUN)

    def test_a_caller_that_goes_between_rounds_ends_the_request(self):
        self.core.start(0.0, request(), ["vm-2"], 250.0)
        message = result(code=ResultCode.NOT_READY, not_run=True)
        self.core.result(1.0, "vm-2", message)
        (finished,) = self.core.caller_gone("r1")
        self.assertIs(finished.outcome.code, ResultCode.CALLER_GONE)
        self.assertEqual(self.core.pending, {})

    def test_a_refusal_that_may_have_run_is_final(self):
        self.start()
        message = result(code=ResultCode.NOT_READY, not_run=False)
        (finished,) = self.core.result(1.0, "vm-2", message)
        self.assertIsInstance(finished, Finished)

    def test_a_lost_home_is_followed_by_the_next_for_a_query(self):
        self.start()
        (effect,) = self.core.peer_lost(5.0, "vm-2")
        self.assertEqual(effect.vm, "vm-3")
        outcome = self.refused(self.core.peer_lost(6.0, "vm-3"))
        self.assertIs(outcome.run_state, RunState.MAY_HAVE_RUN)

    def test_a_submit_whose_home_is_lost_may_have_run(self):
        self.start(idempotent=False)
        outcome = self.refused(self.core.peer_lost(5.0, "vm-2"))
        self.assertIs(outcome.code, ResultCode.MAY_HAVE_RUN)
        self.assertIs(outcome.run_state, RunState.MAY_HAVE_RUN)

    def test_the_loss_of_another_vm_changes_nothing(self):
        self.start()
        self.assertEqual(self.core.peer_lost(5.0, "vm-3"), [])

    def test_no_result_after_the_deadline_is_never_called_not_run(self):
        self.start()
        self.assertEqual(self.core.expire(100.0), [])
        outcome = self.refused(self.core.expire(100.0 + GRACE_MS))
        self.assertIs(outcome.run_state, RunState.MAY_HAVE_RUN)

    def test_no_home_to_ask_is_not_run(self):
        (finished,) = self.core.start(0.0, request(), [], 100.0)
        self.assertIs(finished.outcome.run_state, RunState.NOT_RUN)

    def test_a_caller_that_goes_cancels_a_query_but_no_submit(self):
        self.start()
        cancel, finished = self.core.caller_gone("r1")
        self.assertEqual(cancel.message, ForwardCancelled(1))
        self.assertIs(finished.outcome.code, ResultCode.CALLER_GONE)
        self.start(idempotent=False)
        self.assertEqual(self.core.caller_gone("r1"), [])
