"""Tests of running the followers against the store."""

import random
import unittest

import orjson
from twisted.internet import task

from oriolegate.clock import FakeClock
from oriolegate.following import follower as follower_module
from oriolegate.following.follower import Follower
from oriolegate.following.store_era import StoreEra
from oriolegate.models.header_lines import HeaderLines
from oriolegate.models.stored import Collection
from oriolegate.network.http_reader import HttpResponse
from oriolegate.runtime import store_runner
from oriolegate.runtime.store_runner import StoreRunner
from tests.following.test_follower import Sink


class FakeStore:
    """Keeps calls open until `answer_all` answers them."""

    def __init__(self):
        self.open_calls = {}
        self.count = 0
        self.timeouts_ms = []

    def call(self, call, timeout_ms, done):
        self.count += 1
        self.timeouts_ms.append(timeout_ms)
        key = self.count
        self.open_calls[key] = (call, done)
        return lambda: self.open_calls.pop(key, None)

    def answer_all(self, outcome):
        for key in list(self.open_calls):
            call, done = self.open_calls.pop(key)
            done(outcome(call) if callable(outcome) else outcome)


class FakeProbe:
    """Reports what the tests say about the store."""

    def __init__(self):
        self.failures = 0
        self.answered_ms = float("-inf")
        self.is_running = False

    def start(self):
        self.is_running = True
        self.failures = 0

    def stop(self):
        self.is_running = False

    def answer(self):
        failures, self.failures = self.failures, 0
        self.on_answered(failures)

    def fail(self):
        self.failures += 1
        self.on_failed()


def answer(call):
    if "watch" in call.target:
        document = {"events": [], "as_of": 7}
    else:
        document = {"items": [], "has_more": False, "as_of": 7}
    return HttpResponse(200, HeaderLines(), orjson.dumps(document))


class StoreRunnerTest(unittest.TestCase):
    def setUp(self):
        self.reactor = task.Clock()
        self.store = FakeStore()
        self.followers = {
            collection: Follower(collection, Sink(), random.Random(1))
            for collection in Collection
        }
        self.clock = FakeClock()
        self.probe = FakeProbe()
        self.runner = StoreRunner(
            self.reactor,
            self.clock,
            self.store,
            self.followers,
            StoreEra(),
            self.probe,
        )
        self.runner.start()
        self.advance(0.0)

    def advance(self, seconds):
        self.reactor.advance(seconds)

    def list_all(self):
        self.store.answer_all(answer)
        self.advance(follower_module.BETWEEN_WATCHES_MS / 1_000)

    def test_each_list_is_followed_by_a_watch(self):
        self.list_all()
        targets = [call.target for call, _ in self.store.open_calls.values()]
        self.assertEqual(len(targets), len(Collection))
        self.assertTrue(all("watch=7" in target for target in targets))
        self.assertTrue(self.runner.is_confirmed)

    def test_first_lists_have_a_short_timeout_and_are_retried_soon(self):
        first_ms = self.store.timeouts_ms[0]
        self.assertEqual(first_ms, store_runner.FIRST_LIST_TIMEOUT_MS)
        before = self.store.count
        for _ in range(20):
            self.store.answer_all("no answer in time")
            self.advance(follower_module.MAX_START_RETRY_MS * 1.25 / 1_000)
        # One collection retries at least once per maximum retry interval.
        self.assertGreaterEqual(self.store.count - before, 20)
        self.assertEqual(
            self.store.timeouts_ms[-1], store_runner.CALL_TIMEOUT_MS
        )

    def test_in_an_outage_one_collection_probes_and_the_others_wait(self):
        self.list_all()
        self.store.answer_all("refused")
        before = self.store.count
        for _ in range(40):
            self.advance(0.1)
            self.store.answer_all("refused")
        self.assertLessEqual(self.store.count - before, 10)
        self.assertGreaterEqual(self.store.count - before, 2)

    def test_the_view_is_confirmed_for_some_seconds_of_an_outage(self):
        self.list_all()
        self.store.answer_all("refused")
        self.assertTrue(self.runner.is_confirmed)
        self.clock.advance(follower_module.MAX_FAILING_AGE_MS + 1.0)
        self.assertFalse(self.runner.is_confirmed)

    def test_failures_are_counted_while_the_store_answers_probes(self):
        self.list_all()
        self.store.answer_all("no answer in time")
        self.assertEqual(self.runner.failures_while_answering, 0)
        self.advance(1.0)
        self.probe.answered_ms = self.clock.now_ms() + 1.0
        self.store.answer_all("no answer in time")
        self.assertGreater(self.runner.failures_while_answering, 0)

    def test_all_collections_resume_once_the_store_answers(self):
        self.list_all()
        self.store.answer_all("refused")
        for _ in range(20):
            self.advance(0.1)
            self.store.answer_all("refused")
        for _ in range(20):
            self.advance(0.1)
            self.store.answer_all(answer)
        self.assertTrue(self.runner.is_confirmed)
        self.assertEqual(self.runner.parked, {})

    def test_all_collections_are_read_at_once_after_all_watches_were_cut(self):
        self.list_all()
        self.runner.count_peers = lambda: 1
        self.store.answer_all("connection lost")
        self.advance(1.25 * follower_module.FIRST_RETRY_MS / 1_000)
        self.store.answer_all(answer)
        collections = {
            call.target.partition("?")[0]
            for call, _ in self.store.open_calls.values()
        }
        self.assertEqual(len(collections), len(Collection) - 1)

    def test_a_collection_that_keeps_failing_does_not_block_the_others(self):
        self.list_all()

        def partly(call):
            return "silent" if "evacuations" in call.target else answer(call)

        self.store.answer_all("refused")
        for _ in range(80):
            self.advance(0.1)
            self.store.answer_all(partly)
        failing = [f for f in self.followers.values() if f.failures]
        self.assertEqual(
            [f.collection for f in failing], [Collection.EVACUATIONS]
        )

    def test_no_calls_are_made_while_paused(self):
        self.list_all()
        self.runner.pause()
        self.assertEqual(self.store.open_calls, {})
        before = self.store.count
        self.advance(60.0)
        self.assertEqual(self.store.count, before)
        self.runner.resume()
        self.probe.answer()
        self.advance(0.0)
        targets = [call.target for call, _ in self.store.open_calls.values()]
        self.assertEqual(len(targets), len(Collection))
        self.assertTrue(all("watch=7" in target for target in targets))

    def test_the_view_is_unconfirmed_while_the_store_answers_no_probe(self):
        self.list_all()
        self.probe.fail()
        self.assertFalse(self.runner.is_confirmed)
        self.probe.answer()
        self.assertTrue(self.runner.is_confirmed)

    def test_the_store_is_not_probed_while_a_peer_is_followed(self):
        self.list_all()
        self.assertTrue(self.probe.is_running)
        self.runner.pause()
        self.assertFalse(self.probe.is_running)

    def pause_and_resume(self, peer_count):
        self.list_all()
        self.runner.pause()
        self.runner.count_peers = lambda: peer_count
        self.runner.resume()

    def test_the_store_is_not_read_before_it_answers_a_probe(self):
        self.pause_and_resume(peer_count=1)
        self.probe.fail()
        self.advance(60.0)
        self.assertEqual(self.store.open_calls, {})
        self.probe.answer()
        self.advance(store_runner.WAIT_AFTER_OUTAGE_MS / 1_000)
        self.assertEqual(len(self.store.open_calls), len(Collection))

    def test_a_vm_with_more_peers_waits_longer_for_one_of_them(self):
        self.pause_and_resume(peer_count=2)
        self.probe.answer()
        wait_s = store_runner.WAIT_PER_PEER_MS / 1_000
        self.advance(1.5 * wait_s)
        self.assertEqual(self.store.open_calls, {})
        self.advance(0.5 * wait_s)
        self.assertEqual(len(self.store.open_calls), len(Collection))

    def test_a_peer_that_answers_meanwhile_ends_the_wait_for_one(self):
        self.pause_and_resume(peer_count=1)
        self.probe.answer()
        self.runner.pause()
        self.advance(60.0)
        self.assertEqual(self.store.open_calls, {})

    def test_a_suspended_runner_reads_the_store_once_it_answers(self):
        self.list_all()
        self.runner.suspend()
        self.assertEqual(len(self.store.open_calls), len(Collection))
        for _ in range(store_runner.FAILURES_IF_CUT_OFF):
            self.probe.fail()
        self.runner.suspend()
        self.advance(60.0)
        self.assertEqual(self.store.open_calls, {})
        self.probe.answer()
        self.advance(0.0)
        self.assertEqual(len(self.store.open_calls), len(Collection))

    def test_a_suspension_may_end_before_the_store_answers_probes(self):
        self.list_all()
        for _ in range(store_runner.FAILURES_IF_CUT_OFF):
            self.probe.fail()
        self.runner.suspend()
        self.runner.end_suspension()
        self.advance(0.0)
        self.assertEqual(len(self.store.open_calls), len(Collection))

    def test_collections_are_listed_anew_after_a_malformed_answer(self):
        self.list_all()
        self.store.answer_all(HttpResponse(200, HeaderLines(), b"{"))
        for _ in range(30):
            self.advance(0.1)
            self.store.answer_all(answer)
        self.assertTrue(self.runner.is_confirmed)
