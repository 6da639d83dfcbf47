"""Tests of the adapter between `ClaimManager` and the platform."""

import unittest

from twisted.internet import defer
from twisted.internet import task

from oriolegate.claims.claim_manager import ClaimManager
from oriolegate.claims.effects import ClaimGranted
from oriolegate.claims.settings import ClaimsSettings
from oriolegate.clock import FakeClock
from oriolegate.exceptions import PlatformError
from oriolegate.network.claim_store import ClaimStore
from oriolegate.network.platform_api import StoredObject
from oriolegate.result_codes import ResultCode
from oriolegate.result_codes import RunState
from oriolegate.timeline.events import EventBuffer
from oriolegate.timeline.events import EventKind


class FakePlatform:
    """Answers at once, or fails with the next code of `failures`.

    Attributes:
        takes_effect: Whether a write that fails is stored nevertheless.
        withhold_responses: Whether writes get no response.
        unanswered: The deferreds of writes without a response.
    """

    def __init__(self):
        self.objects = {}
        self.failures = []
        self.takes_effect = True
        self.withhold_responses = False
        self.unanswered = []

    def _fail(self):
        return defer.fail(PlatformError("failed", self.failures.pop(0)))

    def get(self, kind, name):
        if self.failures:
            return self._fail()
        if (kind, name) not in self.objects:
            error = PlatformError("absent", ResultCode.PLATFORM_NOT_FOUND)
            return defer.fail(error)
        version, value = self.objects[kind, name]
        return defer.succeed(StoredObject(name, version, value))

    def put(self, kind, name, value, expected_version):
        version, _ = self.objects.get((kind, name), (0, None))
        if version != expected_version:
            error = PlatformError("conflict", ResultCode.PLATFORM_CONFLICT)
            return defer.fail(error)
        if self.failures and not self.takes_effect:
            return self._fail()
        self.objects[kind, name] = (version + 1, value)
        if self.failures:
            return self._fail()
        if self.withhold_responses:
            self.unanswered.append(defer.Deferred())
            return self.unanswered[-1]
        return defer.succeed(version + 1)


class ClaimStoreTest(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.reactor = task.Clock()
        self.platform = FakePlatform()
        self.store = self.make_store("vm-a")
        self.key = f"{self.clock.wall_ms()}-0123456789abcdef"

    def make_store(self, vm):
        manager = ClaimManager(vm, "1", ClaimsSettings())
        return ClaimStore(self.platform, self.clock, self.reactor, manager)

    def claim(self, request_id="r1", store=None, timeout_ms=1_000.0):
        decisions = []
        deferred = (store or self.store).claim(
            self.key, request_id, self.clock.now_ms() + timeout_ms
        )
        deferred.addCallback(decisions.append)
        return decisions

    def advance(self, interval_ms, step_ms=10.0):
        for _ in range(int(interval_ms / step_ms)):
            self.clock.advance(step_ms)
            self.reactor.advance(step_ms / 1_000.0)

    def test_grants_a_claim_once_it_is_written(self):
        self.assertEqual(self.claim(), [ClaimGranted("r1")])
        self.assertEqual(len(self.platform.objects), 1)

    def test_second_vm_that_claims_a_key_is_refused(self):
        self.claim()
        (decision,) = self.claim("r2", self.make_store("vm-b"))
        self.assertIs(decision.code, ResultCode.ALREADY_CLAIMED)
        self.assertIs(decision.run_state, RunState.MAY_HAVE_RUN)

    def test_write_with_a_lost_response_is_confirmed_by_a_read(self):
        self.store.manager.writers.forget_versions()
        self.platform.failures = [ResultCode.PLATFORM_NOT_FOUND]
        self.platform.failures.append(ResultCode.PLATFORM_DOWN)
        decisions = self.claim()
        self.assertEqual(decisions, [])
        self.advance(100.0)
        self.assertEqual(decisions, [ClaimGranted("r1")])

    def test_store_outage_refuses_the_claim_as_not_run(self):
        self.platform.failures = [ResultCode.PLATFORM_DOWN] * 10
        decisions = self.claim()
        self.advance(100.0)
        self.assertIs(decisions[0].code, ResultCode.CLAIM_STORE_DOWN)
        self.assertIs(decisions[0].run_state, RunState.NOT_RUN)

    def test_store_call_without_response_ends_at_the_deadline(self):
        self.platform.withhold_responses = True
        decisions = self.claim(timeout_ms=200.0)
        self.advance(190.0)
        self.assertEqual(decisions, [])
        self.advance(20.0)
        self.assertIs(decisions[0].code, ResultCode.DEADLINE_PASSED)
        self.platform.unanswered[0].callback(1)
        self.assertEqual(len(decisions), 1)

    def test_claim_from_a_decision_callback_is_processed_in_order(self):
        decided = []
        first = self.store.claim(self.key, "r1", 1_000.0)

        def claim_again(decision):
            decided.append(decision)
            again = self.store.claim(self.key, "r2", 1_000.0)
            again.addCallback(decided.append)

        first.addCallback(claim_again)
        self.assertEqual(decided[0], ClaimGranted("r1"))
        self.assertIs(decided[1].code, ResultCode.ALREADY_CLAIMED)

    def test_request_that_never_ran_frees_its_key(self):
        self.claim()
        self.store.on_outcome(
            self.key, "r1", RunState.NOT_RUN, ResultCode.NO_REPLICA
        )
        self.advance(100.0)
        again = self.claim("r2", self.make_store("vm-b"))
        self.assertEqual(again, [ClaimGranted("r2")])

    def test_store_call_that_raises_counts_as_failed(self):
        self.platform.get = None
        decisions = self.claim()
        self.advance(100.0)
        self.assertIs(decisions[0].code, ResultCode.CLAIM_STORE_DOWN)

    def test_decisions_are_recorded_on_the_timeline(self):
        self.store.timeline = EventBuffer("vm-a", 0.0)
        self.claim()
        self.claim("r2")
        recorded = [
            (event.kind, event.request_id, event.detail)
            for event in self.store.timeline.events()
        ]
        self.assertEqual(
            recorded,
            [
                (EventKind.CLAIM, "r1", ("OK",)),
                (EventKind.CLAIM, "r2", ("ALREADY_CLAIMED",)),
            ],
        )

    def test_stop_cancels_the_timer(self):
        self.platform.withhold_responses = True
        self.claim()
        self.store.stop()
        self.assertEqual(self.reactor.getDelayedCalls(), [])
