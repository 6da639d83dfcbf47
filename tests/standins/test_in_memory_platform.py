"""Tests of the in-memory platform: delays, lost answers and watches."""

import unittest

from twisted.internet import defer
from twisted.internet import task

from oriolegate.result_codes import ResultCode
from oriolegate.standins.in_memory_platform import AnswerLostError
from oriolegate.standins.in_memory_platform import InMemoryPlatform
from oriolegate.standins.platform_store import PlatformStore


class InMemoryPlatformTest(unittest.TestCase):
    def setUp(self):
        self.clock = task.Clock()
        self.store = PlatformStore()
        self.platform = InMemoryPlatform(self.store, self.clock)

    def outcome_of(self, call):
        outcomes = []
        call.addBoth(outcomes.append)
        self.assertEqual(len(outcomes), 1, "the call has not ended")
        return outcomes[0]

    def test_lost_answer_fails_after_the_write_took_effect(self):
        self.store.faults.lose_answers = 1
        reason = self.outcome_of(self.platform.put("k", "a", {"n": 1}, 0))
        self.assertIsInstance(reason.value, AnswerLostError)
        self.assertIs(reason.value.code, ResultCode.PLATFORM_DOWN)
        stored = self.outcome_of(self.platform.get("k", "a"))
        self.assertEqual((stored.version, stored.value), (1, {"n": 1}))

    def test_refused_write_does_not_use_up_a_lost_answer(self):
        self.store.faults.lose_answers = 1
        reason = self.outcome_of(self.platform.put("k", "a", {}, 5))
        self.assertIs(reason.value.code, ResultCode.PLATFORM_CONFLICT)
        self.assertEqual(self.store.faults.lose_answers, 1)

    def test_slow_call_takes_effect_after_its_delay(self):
        self.store.faults.slow_ms = 300.0
        call = self.platform.put("k", "a", {}, 0)
        self.clock.advance(0.299)
        self.assertEqual(self.store.version_of("k", "a"), 0)
        self.clock.advance(0.002)
        self.assertEqual(self.outcome_of(call), 1)

    def test_slow_write_takes_effect_after_its_caller_cancelled_it(self):
        self.store.faults.slow_ms = 300.0
        call = self.platform.put("k", "a", {}, 0)
        call.cancel()
        reason = self.outcome_of(call)
        self.assertIsInstance(reason.value, defer.CancelledError)
        self.assertEqual(self.store.version_of("k", "a"), 0)
        self.clock.advance(0.301)
        self.assertEqual(self.store.version_of("k", "a"), 1)

    def test_cancelled_slow_read_is_not_carried_out(self):
        self.store.faults.slow_ms = 300.0
        call = self.platform.list("k")
        call.cancel()
        reason = self.outcome_of(call)
        self.assertIsInstance(reason.value, defer.CancelledError)
        self.clock.advance(0.301)
        self.assertEqual(self.store.counts, {})

    def test_watch_that_ends_during_an_outage_fails(self):
        by_time = self.platform.watch("k", 0, 1_000)
        by_change = self.platform.watch("other", 0, 60_000)
        self.store.faults.outage = True
        self.store.put("other", "a", {}, 0)
        self.clock.advance(1.0)
        for call in (by_time, by_change):
            code = self.outcome_of(call).value.code
            self.assertIs(code, ResultCode.PLATFORM_DOWN)

    def test_watch_counts_as_one_call_however_long_it_waits(self):
        call = self.platform.watch("k", 0, 60_000)
        self.clock.advance(59.0)
        self.store.put("k", "a", {}, 0)
        self.assertEqual(self.outcome_of(call).revision, 1)
        self.assertEqual(self.store.counts, {"watch": 1})
        self.assertEqual(self.clock.getDelayedCalls(), [])

    def test_watch_from_an_old_revision_returns_at_once(self):
        self.store.put("k", "a", {}, 0)
        self.store.put("k", "b", {}, 0)
        changed = self.outcome_of(self.platform.watch("k", 1, 60_000))
        self.assertEqual([stored.name for stored in changed.items], ["b"])

    def test_one_change_ends_every_watch_of_the_kind(self):
        calls = [self.platform.watch("k", 0, 60_000) for _ in range(3)]
        self.store.put("k", "a", {}, 0)
        for call in calls:
            self.assertEqual(self.outcome_of(call).revision, 1)

    def test_cancelled_watch_removes_its_listener_and_timer(self):
        call = self.platform.watch("k", 0, 60_000)
        call.cancel()
        self.assertIsInstance(self.outcome_of(call).value, defer.CancelledError)
        self.assertEqual(self.store.listeners, [])
        self.assertEqual(self.clock.getDelayedCalls(), [])
