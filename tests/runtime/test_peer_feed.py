"""Tests of following a peer in place of the store."""

import random
import unittest

from twisted.internet import task

from oriolegate.clock import FakeClock
from oriolegate.following.follower import Follower
from oriolegate.following.source_choice import Peer
from oriolegate.following.source_choice import SourceChoice
from oriolegate.models.stored import Collection
from oriolegate.network.http_reader import HttpResponse
from oriolegate.runtime.peer_feed import PeerFeed
from tests.following.test_follower import Sink

PEER = Peer("above", "10.0.0.1", 1)
NO_NEWS = HttpResponse(200, [], b"{}")
STORE_LOST = HttpResponse(503, [], b"")


class Caller:
    """Answers each request with the outcome that is set."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.asked = 0

    def send(self, data, limit_ms, done):
        self.asked += 1
        done(self.outcome)


class Store:
    """Records whether the store is followed."""

    def __init__(self):
        self.paused = False

    def pause(self):
        self.paused = True

    def resume(self):
        self.paused = False


class PeerFeedTest(unittest.TestCase):
    def setUp(self):
        self.reactor = task.Clock()
        self.clock = FakeClock()
        self.store = Store()
        self.choice = SourceChoice("own")
        self.choice.higher_ranked = (PEER,)
        followers = {
            collection: Follower(collection, Sink(), random.Random(1))
            for collection in Collection
        }
        for follower in followers.values():
            follower.complete = True
        self.feed = PeerFeed(
            self.reactor, self.clock, self.choice, followers, self.store
        )
        self.caller = Caller(NO_NEWS)
        self.feed._caller = lambda peer: self.caller
        self.feed.start()
        self.run_for(0.5)

    def run_for(self, seconds):
        for _ in range(int(seconds * 100)):
            self.clock.advance(10.0)
            self.reactor.advance(0.01)

    def test_a_peer_that_answers_is_followed_and_the_store_left_alone(self):
        self.assertEqual(self.feed.peer, PEER)
        self.assertTrue(self.store.paused)

    def test_a_peer_that_has_lost_the_store_is_followed_again_soon(self):
        self.caller.outcome = STORE_LOST
        self.run_for(7.0)
        self.assertIsNone(self.feed.peer)
        self.assertFalse(self.store.paused)
        self.caller.outcome = NO_NEWS
        self.run_for(1.5)
        self.assertEqual(self.feed.peer, PEER)
        self.assertTrue(self.store.paused)

    def test_a_peer_that_does_not_answer_is_asked_less_and_less(self):
        self.caller.outcome = "no answer in time"
        before = self.caller.asked
        self.run_for(20.0)
        self.assertLessEqual(self.caller.asked - before, 4)
