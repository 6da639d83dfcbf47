"""Tests of following a collection of the store."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies

from oriolegate.following import follower
from oriolegate.following.follower import AskChanges
from oriolegate.following.follower import AskPage
from oriolegate.following.follower import Follower
from oriolegate.models.stored import Change
from oriolegate.models.stored import ChangeBatch
from oriolegate.models.stored import Collection
from oriolegate.models.stored import ListPage
from oriolegate.models.stored import StoredObject
from oriolegate.placement import leaf_directory
from oriolegate.runtime import store_runner

# Time between the choice of a leaf and the arrival there, at most.
GIVEN_TO_REQUESTS_MS = 500.0


class Sink:
    def __init__(self):
        self.contents = {}
        self.lists = 0

    def put(self, now_ms, item):
        self.contents[item.name] = item.content

    def remove(self, now_ms, name, listed):
        self.contents.pop(name, None)

    def settled(self, now_ms, revision):
        self.lists += 1


def item(name, revision, content=None):
    return StoredObject(name, revision, content or f"{name}@{revision}")


def page(revision, *items, more_follow=False):
    return ListPage(items, more_follow, revision)


class FollowerTest(unittest.TestCase):
    def setUp(self):
        self.sink = Sink()
        self.follower = Follower(Collection.LEAFS, self.sink, random.Random(1))
        self.assertEqual(self.follower.start(), AskPage(0.0, "", True))

    def listed(self, *items, revision=10):
        return self.follower.page(0.0, page(revision, *items))

    def test_a_list_is_followed_by_a_watch_from_its_revision(self):
        ask = self.listed(item("a", 3))
        self.assertIsInstance(ask, AskChanges)
        self.assertEqual(ask.revision, 10)
        self.assertEqual(self.sink.contents, {"a": "a@3"})
        self.assertEqual(self.sink.lists, 1)

    def test_pages_count_once_the_last_is_in(self):
        ask = self.follower.page(0.0, page(10, item("a", 3), more_follow=True))
        self.assertEqual(ask, AskPage(0.0, "a", True))
        self.assertFalse(self.follower.complete)
        self.assertEqual(self.sink.contents, {})
        ask = self.follower.page(0.0, page(12, item("b", 4)))
        self.assertEqual(ask.revision, 10)
        self.assertEqual(set(self.sink.contents), {"a", "b"})

    def test_changes_are_taken_in_order(self):
        self.listed(item("a", 3))
        batch = ChangeBatch(
            (
                Change(item("b", 11), removed=False),
                Change(item("a", 3), removed=True),
            ),
            12,
        )
        ask = self.follower.changes(0.0, batch)
        self.assertEqual(self.sink.contents, {"b": "b@11"})
        self.assertEqual(ask.revision, 12)
        self.assertEqual(ask.delay_ms, follower.BETWEEN_WATCHES_MS)

    def test_a_watch_without_changes_is_renewed_at_once(self):
        self.listed()
        ask = self.follower.changes(0.0, ChangeBatch((), 10))
        self.assertEqual(ask.delay_ms, 0.0)

    def test_an_older_state_of_an_object_is_not_taken(self):
        self.listed(item("a", 9))
        old = Change(item("a", 8), removed=False)
        self.follower.changes(0.0, ChangeBatch((old,), 11))
        self.assertEqual(self.sink.contents, {"a": "a@9"})

    def test_after_lost_history_only_a_whole_list_removes(self):
        self.listed(item("a", 3), item("b", 4))
        ask = self.follower.history_gone(0.0)
        self.assertEqual(ask, AskPage(0.0, "", may_lag=False))
        self.follower.page(0.0, page(20, item("a", 3), more_follow=True))
        self.assertEqual(set(self.sink.contents), {"a", "b"})
        self.follower.page(0.0, page(20, item("c", 15)))
        self.assertEqual(set(self.sink.contents), {"a", "c"})

    def test_a_list_that_lags_is_asked_for_again(self):
        self.listed(item("a", 9), revision=10)
        self.follower.history_gone(0.0)
        ask = self.follower.page(0.0, page(8))
        self.assertFalse(ask.may_lag)
        self.assertEqual(set(self.sink.contents), {"a"})

    def test_a_failed_watch_goes_on_from_the_same_revision(self):
        self.listed()
        ask = self.follower.failed()
        self.assertEqual(ask.revision, 10)

    def test_after_a_failure_a_short_watch_tries_the_connection(self):
        self.listed()
        self.assertEqual(
            self.follower.failed().wait_ms, follower.TRIAL_WATCH_MS
        )
        ask = self.follower.changes(0.0, ChangeBatch((), 10))
        self.assertEqual(ask.wait_ms, follower.WATCH_MS[Collection.LEAFS])

    def test_a_list_that_a_peer_holds_replaces_all(self):
        self.listed(item("a", 3), item("b", 4))
        self.follower.whole(0.0, page(20, item("b", 15)))
        self.assertEqual(self.sink.contents, {"b": "b@15"})
        self.follower.whole(0.0, page(19, item("a", 3)))
        self.assertEqual(self.sink.contents, {"b": "b@15"})

    def test_an_unconfirmed_list_is_taken_only_while_there_is_none(self):
        self.follower.failed()
        self.follower.adopt(5.0, page(8, item("a", 3)))
        self.assertTrue(self.follower.complete)
        self.assertEqual(self.sink.contents, {"a": "a@3"})
        self.assertEqual(self.follower.failures, 1)
        self.assertEqual(self.follower.confirmed_ms, float("-inf"))
        self.follower.adopt(6.0, page(9))
        self.assertEqual(self.sink.contents, {"a": "a@3"})
        ask = self.follower.page(7.0, page(12, item("b", 11)))
        self.assertEqual(self.sink.contents, {"b": "b@11"})
        self.assertEqual(ask.revision, 12)

    def test_it_goes_on_from_where_the_view_is(self):
        self.listed()
        self.assertEqual(self.follower.resume().revision, 10)

    def test_pauses_grow_to_their_limit(self):
        self.listed()
        pauses = [self.follower.failed().delay_ms for _ in range(12)]
        self.assertLess(pauses[0], follower.FIRST_RETRY_MS * 1.25 + 1)
        self.assertLess(max(pauses), follower.LONGEST_RETRY_MS * 1.25 + 1)

    def test_a_failed_page_begins_the_list_anew(self):
        self.follower.page(0.0, page(10, item("a", 3), more_follow=True))
        self.assertEqual(self.follower.failed().after, "")
        self.follower.page(0.0, page(11, item("b", 4)))
        self.assertEqual(set(self.sink.contents), {"b"})


class SilenceTest(unittest.TestCase):
    """A connection that falls silent is noticed before a bound is over."""

    # Views must hold again this long after a disturbance of the store.
    contact_ms = 5_000.0
    # The shortest bounds that a deployment states for leaving leafs and for
    # configurations.
    drain_ms = 4_000.0
    config_apply_ms = 4_000.0

    def noticed_ms(self, collection):
        pauses_ms = follower.FIRST_RETRY_MS * 1.25
        watch_ms = follower.WATCH_MS[collection]
        return watch_ms + store_runner.CALL_TIMEOUT_MS + pauses_ms

    def test_leafs_that_left_are_dropped_in_time(self):
        dropped_ms = (
            self.noticed_ms(Collection.LEAFS) + leaf_directory.LAPSED_USE_MS
        )
        allowed_ms = self.contact_ms + self.drain_ms
        self.assertLess(dropped_ms + GIVEN_TO_REQUESTS_MS, allowed_ms)

    def test_configurations_are_in_force_in_time(self):
        allowed_ms = self.contact_ms + self.config_apply_ms
        for collection in (Collection.CONFIGURATION, Collection.EVACUATIONS):
            self.assertLess(self.noticed_ms(collection), allowed_ms)


class ModelTest(unittest.TestCase):
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from("abcd"),
                strategies.booleans(),
                strategies.sampled_from(["watch", "gone", "fail", "none"]),
            ),
            max_size=40,
        )
    )
    def test_it_ends_with_what_the_store_holds(self, steps):
        sink = Sink()
        found = Follower(Collection.LEAFS, sink, random.Random(1))
        found.start()
        found.page(0.0, page(1))
        held, log, revision = {}, [], 1
        for name, removed, call in steps:
            revision += 1
            if removed:
                if name in held:
                    log.append((revision, Change(held.pop(name), True)))
            else:
                held[name] = item(name, revision)
                log.append((revision, Change(held[name], False)))
            if call == "watch":
                self.watch(found, log, revision)
            elif call == "gone":
                found.history_gone(0.0)
                found.page(0.0, page(revision, *held.values()))
            elif call == "fail":
                found.failed()
        self.watch(found, log, revision)
        expected = {name: kept.content for name, kept in held.items()}
        self.assertEqual(sink.contents, expected)

    def watch(self, found, log, revision):
        changes = tuple(c for at, c in log if at > found.revision)
        found.changes(0.0, ChangeBatch(changes, revision))
