"""Tests of following a peer instead of the store."""

import random
import unittest

from twisted.internet import task

from oriolegate.clock import FakeClock
from oriolegate.following.follower import Follower
from oriolegate.following.source_choice import Peer
from oriolegate.following.source_choice import SourceChoice
from oriolegate.following.store_era import StoreEra
from oriolegate.following.view_cache import ViewCache
from oriolegate.models.header_lines import HeaderLines
from oriolegate.models.stored import Collection
from oriolegate.network.http_reader import HttpResponse
from oriolegate.runtime.peer_feed import PeerFeed
from tests.following.test_follower import Sink

PEER = Peer("above", "10.0.0.1", 1)
DISTANT = Peer("distant", "10.0.9.9", 1)
BELOW = Peer("below", "10.0.0.2", 1)
NO_UPDATES = HttpResponse(200, HeaderLines(), b"{}")
UNCONFIRMED = HttpResponse(503, HeaderLines(), b"")


class FakeClient:
    """Answers each request with a configurable outcome."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.request_count = 0

    def send(self, data, timeout_ms, done):
        self.request_count += 1
        done(self.outcome(data) if callable(self.outcome) else self.outcome)


class FakeStoreRunner:
    """Records whether it is paused."""

    def __init__(self):
        self.paused = False
        self.is_cut_off = False
        self.suspended = False

    def suspend(self):
        self.suspended = True

    def end_suspension(self):
        self.suspended = False

    def pause(self):
        self.paused = True

    def resume(self, *, at_once=False):
        self.paused = False


class PeerFeedTest(unittest.TestCase):
    def setUp(self):
        self.reactor = task.Clock()
        self.clock = FakeClock()
        self.store = FakeStoreRunner()
        self.choice = SourceChoice("own")
        self.choice.higher_ranked = (PEER,)
        followers = {
            collection: Follower(collection, Sink(), random.Random(1))
            for collection in Collection
        }
        for follower in followers.values():
            follower.complete = True
        self.feed = PeerFeed(
            self.reactor,
            self.clock,
            self.choice,
            followers,
            {collection: ViewCache(Sink()) for collection in Collection},
            self.store,
            StoreEra(),
        )
        self.client = FakeClient(NO_UPDATES)
        self.feed._get_client = lambda peer: self.client
        self.feed.start()
        self.run_for(0.5)

    def run_for(self, seconds):
        for _ in range(int(seconds * 100)):
            self.clock.advance(10.0)
            self.reactor.advance(0.01)

    def test_a_peer_that_answers_is_followed_and_the_store_paused(self):
        self.assertEqual(self.feed.peer, PEER)
        self.assertTrue(self.store.paused)

    def test_a_peer_is_soon_followed_again_once_its_view_is_confirmed(self):
        self.client.outcome = UNCONFIRMED
        self.run_for(7.0)
        self.assertIsNone(self.feed.peer)
        self.assertFalse(self.store.paused)
        self.client.outcome = NO_UPDATES
        self.run_for(1.5)
        self.assertEqual(self.feed.peer, PEER)
        self.assertTrue(self.store.paused)

    def test_a_view_is_no_newer_than_the_view_of_the_peer(self):
        ages = b'{"ages":{"LEAFS":1500}}'
        self.client.outcome = HttpResponse(200, HeaderLines(), ages)
        self.run_for(5.0)
        followers = self.feed.followers
        now_ms = self.clock.now_ms()
        self.assertLessEqual(
            followers[Collection.LEAFS].confirmed_ms, now_ms - 1_500.0
        )
        self.assertGreater(
            followers[Collection.CRASHES].confirmed_ms, now_ms - 1_500.0
        )

    def test_a_peer_whose_version_knows_no_ages_is_followed(self):
        def answer(data):
            if b"ages=1" in data:
                return HttpResponse(400, HeaderLines(), b"")
            return NO_UPDATES

        self.client.outcome = answer
        before = self.client.request_count
        self.run_for(1.0)
        self.assertEqual(self.feed.peer, PEER)
        self.assertGreater(self.client.request_count, before + 10)

    def test_a_peer_that_does_not_answer_is_queried_with_backoff(self):
        self.client.outcome = "no answer in time"
        before = self.client.request_count
        self.run_for(20.0)
        self.assertLessEqual(self.client.request_count - before, 4)

    def lose_the_store(self):
        self.choice.higher_ranked = ()
        self.choice.lower_ranked = (BELOW,)
        self.store.is_cut_off = True
        self.run_for(1.0)

    def test_a_vm_below_brings_changes_while_the_store_is_cut_off(self):
        self.lose_the_store()
        self.assertEqual(self.feed.fallback, BELOW)
        self.assertTrue(self.store.suspended)
        # Following it would make this VM vouch for its view.
        self.assertIsNone(self.feed.peer)
        self.assertFalse(self.store.paused)

    def test_the_store_is_called_again_if_the_vm_below_does_not_answer(self):
        self.lose_the_store()
        self.client.outcome = UNCONFIRMED
        self.run_for(0.1)
        self.assertFalse(self.store.suspended)
        self.assertIsNone(self.feed.fallback)

    def test_no_vm_below_is_asked_once_the_store_answers(self):
        self.lose_the_store()
        self.store.is_cut_off = False
        self.run_for(0.5)
        before = self.client.request_count
        self.run_for(5.0)
        self.assertEqual(self.client.request_count, before)
        self.assertIsNone(self.feed.fallback)

    def test_a_vm_alone_in_its_data_centre_takes_the_view_of_a_distant_one(
        self,
    ):
        # It sent full loads to leafs that had become cold unnoticed.
        self.choice.set_distant_peers([], [DISTANT])
        self.choice.higher_ranked = ()
        self.store.is_cut_off = True
        self.run_for(1.0)
        self.assertEqual(self.feed.fallback, DISTANT)
        self.assertIsNone(self.feed.peer)
        self.assertTrue(self.store.suspended)

    def test_little_is_asked_while_the_store_is_away_for_all(self):
        self.choice.set_distant_peers([], [DISTANT])
        self.client.outcome = UNCONFIRMED
        self.lose_the_store()
        before = self.client.request_count
        self.run_for(10.0)
        self.assertLess(self.client.request_count - before, 40)

    def test_a_fallback_stays_while_the_peer_above_has_no_view(self):
        self.client.outcome = lambda data: (
            NO_UPDATES if DISTANT.host.encode() in data else UNCONFIRMED
        )
        self.choice.set_distant_peers([], [DISTANT])
        self.store.is_cut_off = True
        self.run_for(1.0)
        for _ in range(100):
            self.assertEqual(self.feed.fallback, DISTANT)
            self.run_for(0.05)
