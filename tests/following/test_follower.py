"""Tests of following a collection of the store."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies

from oriolegate.following import follower
from oriolegate.following import store_era
from oriolegate.following.follower import Follower
from oriolegate.following.follower import ListQuery
from oriolegate.following.follower import WatchQuery
from oriolegate.models.site import Bounds
from oriolegate.models.stored import Change
from oriolegate.models.stored import ChangeBatch
from oriolegate.models.stored import Collection
from oriolegate.models.stored import ListPage
from oriolegate.models.stored import StoredObject
from oriolegate.placement import leaf_directory
from oriolegate.runtime import store_runner

# Maximum time from the choice of a leaf to the arrival of the request there.
SEND_DELAY_MS = 500.0


class Sink:
    def __init__(self):
        self.contents = {}
        self.commits = 0
        self.absent = []

    def put(self, now_ms, item):
        self.contents[item.name] = item.content

    def put_restored(self, now_ms, item):
        self.put(now_ms, item)

    def remove(self, now_ms, name, by_list):
        self.contents.pop(name, None)

    def on_absent(self, now_ms, name):
        self.absent.append(name)

    def commit(self, now_ms, revision):
        self.commits += 1


def item(name, revision, content=None):
    return StoredObject(name, revision, content or f"{name}@{revision}")


def page(revision, *items, more_follow=False):
    return ListPage(items, more_follow, revision)


class FollowerTest(unittest.TestCase):
    def setUp(self):
        self.sink = Sink()
        self.follower = Follower(Collection.LEAFS, self.sink, random.Random(1))
        self.assertEqual(self.follower.start(), ListQuery(0.0, "", True))

    def apply_list(self, *items, revision=10):
        return self.follower.on_page(0.0, page(revision, *items))

    def test_a_list_is_followed_by_a_watch_from_its_revision(self):
        query = self.apply_list(item("a", 3))
        self.assertIsInstance(query, WatchQuery)
        self.assertEqual(query.revision, 10)
        self.assertEqual(self.sink.contents, {"a": "a@3"})
        self.assertEqual(self.sink.commits, 1)

    def test_pages_are_applied_once_the_last_one_has_arrived(self):
        query = self.follower.on_page(
            0.0, page(10, item("a", 3), more_follow=True)
        )
        self.assertEqual(query, ListQuery(0.0, "a", True))
        self.assertFalse(self.follower.complete)
        self.assertEqual(self.sink.contents, {})
        query = self.follower.on_page(0.0, page(12, item("b", 4)))
        self.assertEqual(query.revision, 10)
        self.assertEqual(set(self.sink.contents), {"a", "b"})

    def test_changes_are_applied_in_order(self):
        self.apply_list(item("a", 3))
        batch = ChangeBatch(
            (
                Change(item("b", 11), removed=False),
                Change(item("a", 3), removed=True),
            ),
            12,
        )
        query = self.follower.on_changes(0.0, batch)
        self.assertEqual(self.sink.contents, {"b": "b@11"})
        self.assertEqual(query.revision, 12)
        self.assertEqual(query.delay_ms, follower.BETWEEN_WATCHES_MS)

    def test_a_watch_without_changes_is_renewed_at_once(self):
        self.apply_list()
        query = self.follower.on_changes(0.0, ChangeBatch((), 10))
        self.assertEqual(query.delay_ms, 0.0)

    def test_an_older_revision_of_an_object_is_ignored(self):
        self.apply_list(item("a", 9))
        old = Change(item("a", 8), removed=False)
        self.follower.on_changes(0.0, ChangeBatch((old,), 11))
        self.assertEqual(self.sink.contents, {"a": "a@9"})

    def test_without_history_only_a_complete_list_removes_objects(self):
        self.apply_list(item("a", 3), item("b", 4))
        query = self.follower.on_history_missing(0.0)
        self.assertEqual(query, ListQuery(0.0, "", may_lag=False))
        self.follower.on_page(0.0, page(20, item("a", 3), more_follow=True))
        self.assertEqual(set(self.sink.contents), {"a", "b"})
        self.follower.on_page(0.0, page(20, item("c", 15)))
        self.assertEqual(set(self.sink.contents), {"a", "c"})

    def test_a_list_that_lags_is_requested_again(self):
        self.apply_list(item("a", 9), revision=10)
        self.follower.on_history_missing(0.0)
        query = self.follower.on_page(0.0, page(8))
        self.assertFalse(query.may_lag)
        self.assertEqual(set(self.sink.contents), {"a"})

    def test_a_failed_watch_continues_from_the_same_revision(self):
        self.apply_list()
        query = self.follower.on_failure()
        self.assertEqual(query.revision, 10)

    def test_after_a_failure_a_short_watch_probes_the_connection(self):
        self.apply_list()
        self.assertEqual(
            self.follower.on_failure().wait_ms, follower.PROBE_WATCH_MS
        )
        query = self.follower.on_changes(0.0, ChangeBatch((), 10))
        self.assertEqual(query.wait_ms, self.follower.watch_ms)

    def test_a_call_on_a_dead_connection_is_made_again_at_once(self):
        self.apply_list()
        query = self.follower.on_failure(is_connection_dead=True)
        self.assertEqual(query.delay_ms, 0.0)
        query = self.follower.on_failure(is_connection_dead=True)
        self.assertGreater(query.delay_ms, 0.0)

    def test_a_newer_list_of_a_peer_replaces_the_view(self):
        self.apply_list(item("a", 3), item("b", 4))
        self.follower.on_complete_list(0.0, page(20, item("b", 15)), 0.0)
        self.assertEqual(self.sink.contents, {"b": "b@15"})
        self.follower.on_complete_list(0.0, page(19, item("a", 3)), 0.0)
        self.assertEqual(self.sink.contents, {"b": "b@15"})

    def test_an_unconfirmed_list_is_applied_only_without_a_view(self):
        self.follower.on_failure()
        self.follower.adopt_unconfirmed(5.0, page(8, item("a", 3)))
        self.assertTrue(self.follower.complete)
        self.assertEqual(self.sink.contents, {"a": "a@3"})
        self.assertEqual(self.follower.failures, 1)
        self.assertEqual(self.follower.confirmed_ms, float("-inf"))
        self.follower.adopt_unconfirmed(6.0, page(9))
        self.assertEqual(self.sink.contents, {"a": "a@3"})
        query = self.follower.on_page(7.0, page(12, item("b", 11)))
        self.assertEqual(self.sink.contents, {"b": "b@11"})
        self.assertEqual(query.revision, 12)

    def test_it_resumes_from_the_revision_of_the_view(self):
        self.apply_list()
        self.assertEqual(self.follower.resume().revision, 10)

    def test_the_backoff_grows_to_its_maximum(self):
        self.apply_list()
        delays = [self.follower.on_failure().delay_ms for _ in range(12)]
        self.assertLess(delays[0], follower.FIRST_RETRY_MS * 1.25 + 1)
        self.assertLess(max(delays), follower.MAX_RETRY_MS * 1.25 + 1)

    def test_a_list_goes_on_at_the_page_whose_call_failed(self):
        self.follower.on_page(0.0, page(10, item("a", 3), more_follow=True))
        query = self.follower.on_failure()
        self.assertEqual((query.after, query.may_lag), ("a", True))
        query = self.follower.on_page(0.0, page(12, item("b", 4)))
        self.assertEqual(query.revision, 10)
        self.assertEqual(set(self.sink.contents), {"a", "b"})

    def test_a_list_is_begun_again_after_a_long_outage(self):
        self.follower.on_page(0.0, page(10, item("a", 3), more_follow=True))
        for _ in range(follower.MAX_RESUMED_FAILURES + 1):
            query = self.follower.on_failure()
        self.assertEqual(query.after, "")
        self.follower.on_page(0.0, page(12, item("b", 4)))
        self.assertEqual(set(self.sink.contents), {"b"})


class NewEraTest(unittest.TestCase):
    def setUp(self):
        self.sink = Sink()
        self.follower = Follower(
            Collection.EVACUATIONS, self.sink, random.Random(1)
        )
        self.follower.start()
        self.grace_ms = follower.ABSENT_GRACE_MS[Collection.EVACUATIONS]
        items = (item("a", self.tag(1, 9)), item("b", self.tag(1, 100)))
        self.follower.on_page(0.0, page(self.tag(1, 110), *items))

    def tag(self, era, revision):
        return store_era.tag(era, revision)

    def restore(self):
        """List a store that came back at revision 80, without `b`."""
        self.follower.list_again()
        restored = item("a", self.tag(2, 9))
        return self.follower.on_page(0.0, page(self.tag(2, 80), restored))

    def test_a_store_that_comes_back_older_is_followed_at_once(self):
        self.follower.on_history_missing(0.0)
        query = self.restore()
        self.assertIsInstance(query, WatchQuery)
        self.assertEqual(query.revision, self.tag(2, 80))

    def test_an_object_that_a_new_era_lacks_stays_for_a_while(self):
        self.restore()
        self.assertEqual(self.sink.absent, ["b"])
        self.follower.remove_absent(self.grace_ms - 1.0)
        self.assertEqual(set(self.sink.contents), {"a", "b"})
        self.follower.remove_absent(self.grace_ms)
        self.assertEqual(set(self.sink.contents), {"a"})

    def test_an_absent_object_stays_while_the_store_is_away(self):
        # VMs took a data centre for readmitted whose evacuation a store had
        # lost that was away before the operator could write it again.
        self.restore()
        self.follower.postpone_removals(self.grace_ms - 1.0)
        self.follower.remove_absent(2.0 * self.grace_ms - 2.0)
        self.assertEqual(set(self.sink.contents), {"a", "b"})
        self.follower.remove_absent(2.0 * self.grace_ms - 1.0)
        self.assertEqual(set(self.sink.contents), {"a"})

    def test_an_object_that_is_written_again_stays(self):
        self.restore()
        again = Change(item("b", self.tag(2, 81), "again"), removed=False)
        self.follower.on_changes(10.0, ChangeBatch((again,), self.tag(2, 81)))
        self.follower.remove_absent(self.grace_ms)
        self.assertEqual(self.sink.contents["b"], "again")
        self.assertEqual(self.follower.absent, {})

    def test_changes_that_a_peer_read_in_a_new_era_end_the_earlier_one(self):
        change = Change(item("a", self.tag(2, 9)), removed=False)
        self.follower.on_changes(0.0, ChangeBatch((change,), self.tag(2, 80)))
        self.assertEqual(self.sink.absent, ["b"])
        self.assertEqual(self.follower.revision, self.tag(2, 80))

    def test_another_drill_in_the_grace_time_does_not_prolong_it(self):
        self.restore()
        self.follower.list_again()
        restored = item("a", self.tag(3, 9))
        self.follower.on_page(
            self.grace_ms / 2, page(self.tag(3, 40), restored)
        )
        self.follower.remove_absent(self.grace_ms)
        self.assertEqual(set(self.sink.contents), {"a"})

    def test_each_era_tells_anew_which_objects_it_lacks(self):
        self.restore()
        self.follower.list_again()
        restored = item("a", self.tag(3, 9))
        self.follower.on_page(10.0, page(self.tag(3, 40), restored))
        # What was written again after the first drill may be lost once more.
        self.assertEqual(self.sink.absent, ["b", "b"])
        self.follower.on_changes(20.0, ChangeBatch((), self.tag(3, 41)))
        self.assertEqual(self.sink.absent, ["b", "b"])

    def test_a_removal_in_the_new_era_is_applied_at_once(self):
        self.restore()
        self.follower.list_again()
        self.follower.on_page(1.0, page(self.tag(2, 90)))
        self.assertEqual(set(self.sink.contents), {"b"})


class DeadConnectionTest(unittest.TestCase):
    """A dead connection is noticed before a bound is exceeded."""

    # The shortest time that a deployment states, and longer ones.
    contacts_ms = (5_000.0, 6_000.0, 20_000.0)

    def read_again_ms(self, contact_ms, batch):
        """Return when a view is read again after its connection died."""
        tested = Follower(
            Collection.LEAFS, Sink(), random.Random(1), contact_ms=contact_ms
        )
        tested.start()
        tested.on_page(0.0, page(10))
        query = tested.on_changes(0.0, batch)
        timeout_ms = query.wait_ms + store_runner.CALL_TIMEOUT_MS
        again = tested.on_failure(is_connection_dead=True)
        return query.delay_ms + timeout_ms + again.delay_ms + again.wait_ms

    def test_views_are_read_again_in_time(self):
        change = Change(item("a", 11), removed=False)
        for batch in (ChangeBatch((), 10), ChangeBatch((change,), 11)):
            for contact_ms in self.contacts_ms:
                with self.subTest(contact_ms=contact_ms, batch=batch):
                    self.assertLess(
                        self.read_again_ms(contact_ms, batch) + SEND_DELAY_MS,
                        contact_ms,
                    )

    def test_removed_leafs_are_dropped_in_time(self):
        contact_ms = self.contacts_ms[0]
        dropped_ms = (
            self.read_again_ms(contact_ms, ChangeBatch((), 10))
            + leaf_directory.REMOVED_USE_MS
        )
        allowed_ms = contact_ms + Bounds().drain_ms
        self.assertLess(dropped_ms + SEND_DELAY_MS, allowed_ms)

    def test_a_watch_waits_no_longer_where_the_bound_is_long(self):
        self.assertEqual(
            follower.longest_watch_ms(60_000.0), follower.MAX_WATCH_MS
        )


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
    def test_the_final_view_equals_the_store(self, steps):
        sink = Sink()
        tested = Follower(Collection.LEAFS, sink, random.Random(1))
        tested.start()
        tested.on_page(0.0, page(1))
        stored, log, revision = {}, [], 1
        for name, removed, call in steps:
            revision += 1
            if removed:
                if name in stored:
                    log.append((revision, Change(stored.pop(name), True)))
            else:
                stored[name] = item(name, revision)
                log.append((revision, Change(stored[name], False)))
            if call == "watch":
                self.watch(tested, log, revision)
            elif call == "gone":
                tested.on_history_missing(0.0)
                tested.on_page(0.0, page(revision, *stored.values()))
            elif call == "fail":
                tested.on_failure()
        self.watch(tested, log, revision)
        expected = {name: kept.content for name, kept in stored.items()}
        self.assertEqual(sink.contents, expected)

    def watch(self, tested, log, revision):
        changes = tuple(c for at, c in log if at > tested.revision)
        tested.on_changes(0.0, ChangeBatch(changes, revision))
