"""Tests of the view that peers can follow."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies

from oriolegate.following import store_era
from oriolegate.following import view_cache
from oriolegate.following.follower import Follower
from oriolegate.following.view_cache import ViewCache
from oriolegate.models.stored import Change
from oriolegate.models.stored import ChangeBatch
from oriolegate.models.stored import Collection
from oriolegate.models.stored import ListPage
from oriolegate.models.stored import StoredObject
from tests.following.test_follower import Sink

STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from("abcd"),
        strategies.booleans(),
        strategies.sampled_from(["none", "settle", "peer", "list"]),
    ),
    max_size=60,
)


def item(name, revision):
    return StoredObject(name, revision, f"{name}@{revision}")


def removal(name, revision):
    return Change(StoredObject(name, revision, None), removed=True)


class ViewCacheTest(unittest.TestCase):
    def setUp(self):
        self.cache = ViewCache(Sink())
        self.cache.put(0.0, item("a", 3))
        self.cache.commit(0.0, 10)

    def test_a_peer_without_a_view_gets_all_objects(self):
        update = self.cache.since(0)
        self.assertEqual(update, ListPage((item("a", 3),), False, 10))

    def test_an_object_unchanged_in_a_new_era_is_passed_to_peers_only(self):
        self.cache.sink.contents.clear()
        restored = StoredObject("a", store_era.tag(1, 2), "a@3")
        self.cache.put(0.0, restored)
        self.cache.commit(0.0, store_era.tag(1, 8))
        self.assertEqual(self.cache.sink.contents, {})
        update = self.cache.since(10)
        self.assertEqual(update.changes, (Change(restored, removed=False),))
        self.cache.put(0.0, item("a", store_era.tag(1, 9)))
        self.assertEqual(set(self.cache.sink.contents), {"a"})

    def test_a_peer_that_lags_gets_the_changes(self):
        self.cache.put(0.0, item("b", 11))
        self.cache.remove(0.0, "a", by_list=False)
        self.cache.commit(0.0, 12)
        update = self.cache.since(10)
        self.assertEqual(
            update.changes,
            (
                Change(item("b", 11), removed=False),
                removal("a", 12),
            ),
        )
        self.assertEqual(self.cache.since(12).changes, ())

    def test_a_change_that_another_one_replaced_is_not_kept(self):
        for revision in range(11, 20):
            self.cache.put(0.0, item("b", revision))
            self.cache.commit(0.0, revision)
        self.cache.remove(0.0, "a", by_list=False)
        self.cache.commit(0.0, 20)
        self.assertEqual(len(self.cache.changes), 2)
        self.assertEqual(
            self.cache.since(10).changes,
            (
                Change(item("b", 19), removed=False),
                removal("a", 20),
            ),
        )
        self.assertTrue(self.cache.has_change_after(19))
        self.assertFalse(self.cache.has_change_after(20))

    def test_changes_are_kept_up_to_a_limit(self):
        for revision in range(11, 20 + view_cache.MAX_CHANGES):
            self.cache.put(0.0, item(f"b{revision}", revision))
            self.cache.commit(0.0, revision)
        self.assertEqual(len(self.cache.changes), view_cache.MAX_CHANGES)
        self.assertIsInstance(self.cache.since(10), ListPage)


class ChainTest(unittest.TestCase):
    @given(STEPS)
    def test_the_final_view_of_a_peer_equals_the_view_it_follows(self, steps):
        cache = ViewCache(Sink())
        reader = Follower(Collection.LEAFS, cache, random.Random(1))
        reader.start()
        reader.on_page(0.0, ListPage((), False, 1))
        sink = Sink()
        peer = Follower(Collection.LEAFS, sink, random.Random(1))
        stored, pending, revision = {}, [], 1
        for name, removed, step in steps:
            revision += 1
            if not removed:
                stored[name] = item(name, revision)
                pending.append(Change(stored[name], removed=False))
            elif name in stored:
                pending.append(Change(stored.pop(name), removed=True))
            if step == "settle":
                reader.on_changes(0.0, ChangeBatch(tuple(pending), revision))
                pending = []
            elif step == "list":
                reader.on_history_missing(0.0)
                page = ListPage(tuple(stored.values()), False, revision)
                reader.on_page(0.0, page)
                pending = []
            elif step == "peer":
                self.update(cache, peer)
        reader.on_changes(0.0, ChangeBatch(tuple(pending), revision))
        self.update(cache, peer)
        expected = {name: kept.content for name, kept in stored.items()}
        self.assertEqual(cache.sink.contents, expected)
        self.assertEqual(sink.contents, expected)

    def update(self, cache, peer):
        update = cache.since(peer.revision)
        if isinstance(update, ChangeBatch):
            peer.on_changes(0.0, update)
        else:
            peer.on_complete_list(0.0, update, 0.0)


SWITCHING_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from("ab"),
        strategies.booleans(),
        strategies.sets(strategies.sampled_from(["first", "second", "store"])),
    ),
    max_size=30,
)


class SwitchingTest(unittest.TestCase):
    """A VM reads the store, then follows a peer that follows another one."""

    def setUp(self):
        self.caches = [ViewCache(Sink()) for _ in range(3)]
        self.first, self.second, self.last = (
            Follower(Collection.LEAFS, cache, random.Random(1))
            for cache in self.caches
        )
        self.log, self.stored, self.revision = [], {}, 1
        for follower in (self.first, self.second, self.last):
            follower.start()
            follower.on_page(0.0, ListPage((), False, 1))

    def change(self, name, removed):
        self.revision += 1
        if not removed:
            self.stored[name] = item(name, self.revision)
            change = Change(self.stored[name], removed=False)
        elif name in self.stored:
            change = Change(self.stored.pop(name), removed=True)
        else:
            return
        self.log.append((self.revision, change))

    def read_store(self, follower):
        changes = tuple(c for at, c in self.log if at > follower.revision)
        follower.on_changes(0.0, ChangeBatch(changes, self.revision))

    def follow(self, follower, cache):
        follower.on_changes(0.0, cache.since(follower.revision))

    def test_a_removal_reaches_a_vm_with_a_newer_entry(self):
        self.change("a", removed=False)
        self.read_store(self.first)
        self.follow(self.second, self.caches[0])
        self.change("a", removed=False)
        self.read_store(self.last)
        self.change("a", removed=True)
        self.read_store(self.first)
        self.follow(self.second, self.caches[0])
        self.follow(self.last, self.caches[1])
        self.assertEqual(self.caches[2].sink.contents, {})

    def test_a_removal_is_passed_on_by_a_vm_without_the_entry(self):
        self.change("a", removed=False)
        self.read_store(self.last)
        self.change("a", removed=True)
        self.read_store(self.first)
        self.follow(self.second, self.caches[0])
        self.follow(self.last, self.caches[1])
        self.assertEqual(self.caches[2].sink.contents, {})

    @given(SWITCHING_STEPS)
    def test_the_view_equals_the_store_whatever_was_followed(self, steps):
        self.setUp()
        for name, removed, sources in steps:
            self.change(name, removed)
            if "first" in sources:
                self.read_store(self.first)
            if "second" in sources:
                self.follow(self.second, self.caches[0])
            if "store" in sources:
                self.read_store(self.last)
        self.read_store(self.first)
        self.follow(self.second, self.caches[0])
        self.follow(self.last, self.caches[1])
        expected = {name: kept.content for name, kept in self.stored.items()}
        self.assertEqual(self.caches[2].sink.contents, expected)
