"""Tests of choosing the peer to follow."""

import collections
import random
import unittest

from hypothesis import given
from hypothesis import strategies

from oriolegate.following import source_choice
from oriolegate.following.source_choice import Peer
from oriolegate.following.source_choice import SourceChoice

NAMES = [f"vm-{number}" for number in range(6)]


def peers(names, own, links=None):
    return {
        name: Peer(name, name, 1, (links or {}).get(name, 0.0))
        for name in names
        if name != own or links
    }


def choices(names, links=None):
    choice_by_vm = {}
    for name in names:
        choice_by_vm[name] = SourceChoice(name)
        choice_by_vm[name].set_peers(peers(names, name, links))
    return choice_by_vm


class TreeTest(unittest.TestCase):
    """220 VMs are a data centre of the target's size."""

    def setUp(self):
        self.names = [f"vm-{number}" for number in range(220)]
        rng = random.Random(1)
        self.links = {
            name: 200.0 if rng.random() < 0.1 else 20.0 for name in self.names
        }
        self.choices = choices(self.names, self.links)

    def followers(self, now_ms=0.0):
        followed = collections.Counter()
        for choice in self.choices.values():
            peer = choice.choose(now_ms)
            followed[peer.vm if peer else None] += 1
        return followed

    def depth(self, name):
        peer = self.choices[name].choose(0.0)
        return 0 if peer is None else 1 + self.depth(peer.vm)

    def test_no_vm_has_more_followers_than_the_fan_out(self):
        followed = self.followers()
        self.assertEqual(followed.pop(None), 1)
        self.assertEqual(max(followed.values()), source_choice.FAN_OUT)
        self.assertEqual(max(self.depth(name) for name in self.names), 3)

    def test_the_vms_with_the_fastest_links_pass_on_views(self):
        fast = [name for name, link in self.links.items() if link > 100.0]
        followed = self.followers()
        del followed[None]
        thin = [name for name in followed if name not in fast]
        self.assertGreaterEqual(len(followed) - len(thin), len(fast))

    def test_the_followers_of_a_vm_that_fails_stay_within_the_bound(self):
        for failed in self.names[:60]:
            for choice in self.choices.values():
                choice.backoffs.clear()
                choice.record_failure(0.0, failed)
            followed = self.followers()
            self.assertNotIn(failed, followed)
            # The VM that ranks next reads the store in the place of the first.
            self.assertLessEqual(followed.pop(None), 2)
            self.assertLessEqual(
                max(followed.values()), source_choice.MAX_FOLLOWERS
            )

    def test_without_its_parent_and_the_next_a_vm_follows_one_further_up(self):
        for choice in self.choices.values():
            for peer in choice.higher_ranked[:2]:
                choice.record_failure(0.0, peer.vm)
        reading = self.followers()[None]
        self.assertLessEqual(reading, 2 * source_choice.FAN_OUT + 1)


class SourceChoiceTest(unittest.TestCase):
    def test_one_vm_watches_the_store_and_the_others_follow_it(self):
        chosen = {
            name: choice.choose(0.0) for name, choice in choices(NAMES).items()
        }
        (reader,) = [name for name, peer in chosen.items() if peer is None]
        others = {peer.vm for peer in chosen.values() if peer is not None}
        self.assertEqual(others, {reader})

    def test_a_peer_that_fails_is_skipped_during_its_backoff(self):
        choice = choices(NAMES)[self.lowest_ranked()]
        first, second, *_ = choice.higher_ranked
        choice.record_failure(0.0, first.vm)
        self.assertEqual(choice.choose(1.0), second)
        choice.record_failure(1.0, second.vm)
        self.assertIsNone(choice.choose(2.0))
        self.assertEqual(choice.choose(source_choice.FIRST_BACKOFF_MS), first)

    def test_a_vm_without_the_store_asks_the_next_vms_below(self):
        choice_by_vm = choices(NAMES)
        ranking = sorted(
            NAMES, key=lambda name: len(choice_by_vm[name].lower_ranked)
        )
        first = choice_by_vm[ranking[-1]]
        last = choice_by_vm[ranking[0]]
        self.assertIsNone(last.choose_fallback(0.0))
        for choice in choice_by_vm.values():
            below = set(choice.lower_ranked)
            self.assertLessEqual(len(below), source_choice.MAX_FALLBACKS)
            self.assertFalse(below & set(choice.higher_ranked))
        asked = first.choose_fallback(0.0)
        first.record_failure(0.0, asked.vm)
        self.assertNotIn(first.choose_fallback(0.0), (None, asked))

    def test_the_backoff_grows_and_ends_with_an_answer(self):
        choice = choices(NAMES)[self.lowest_ranked()]
        vm = choice.higher_ranked[0].vm
        for _ in range(20):
            choice.record_failure(0.0, vm)
        backoff = choice.backoffs[vm]
        self.assertEqual(backoff.length_ms, source_choice.MAX_BACKOFF_MS)
        choice.record_answer(vm)
        self.assertEqual(choice.choose(0.0).vm, vm)

    def test_a_peer_with_an_unconfirmed_view_is_retried_soon(self):
        choice = choices(NAMES)[self.lowest_ranked()]
        first, second, *_ = choice.higher_ranked
        now_ms = 0.0
        for _ in range(10):
            choice.record_unconfirmed(now_ms, first.vm)
            self.assertEqual(choice.choose(now_ms), second)
            now_ms += source_choice.UNCONFIRMED_BACKOFF_MS
            self.assertEqual(choice.choose(now_ms), first)

    def lowest_ranked(self):
        choice_by_vm = choices(NAMES)
        return max(
            choice_by_vm,
            key=lambda name: len(choice_by_vm[name].higher_ranked),
        )

    @given(
        strategies.lists(
            strategies.sets(strategies.sampled_from(NAMES)),
            min_size=len(NAMES),
            max_size=len(NAMES),
        ),
        strategies.lists(
            strategies.sampled_from([20.0, 200.0]),
            min_size=len(NAMES),
            max_size=len(NAMES),
        ),
    )
    def test_vms_never_follow_each_other_in_a_cycle(self, views, rates):
        follows = {}
        links = dict(zip(NAMES, rates, strict=True))
        for name, view in zip(NAMES, views, strict=True):
            choice = SourceChoice(name)
            choice.set_peers(peers({*view, name}, name, links))
            peer = choice.choose(0.0)
            follows[name] = peer.vm if peer else None
        for name in NAMES:
            seen = set()
            while name is not None:
                self.assertNotIn(name, seen)
                seen.add(name)
                name = follows[name]


class DistantPeersTest(unittest.TestCase):
    """10 data centres of 220 VMs, 55 of them near each, are the target."""

    def setUp(self):
        self.near = [Peer(f"n{n}", f"n{n}", 1) for n in range(440)]
        self.far = [Peer(f"f{n}", f"f{n}", 1) for n in range(1_540)]

    def choose(self, own):
        choice = SourceChoice(own)
        choice.set_distant_peers(self.near, self.far)
        choice.set_peers({})
        return choice

    def test_vms_of_the_region_are_preferred(self):
        for peer in self.choose("own").distant:
            self.assertIn(peer, self.near)
        self.near = self.near[:1]
        distant = self.choose("own").distant
        self.assertEqual(distant[0], self.near[0])
        self.assertEqual(len(distant), source_choice.MAX_FALLBACKS)

    def test_a_data_centre_without_the_store_spreads_over_the_others(self):
        asked = collections.Counter(
            self.choose(f"vm-{n}").choose_fallback(0.0).vm for n in range(220)
        )
        self.assertLessEqual(max(asked.values()), source_choice.MAX_FOLLOWERS)

    def test_peers_below_are_asked_first(self):
        choice = self.choose("own")
        below = Peer("b", "b", 1)
        choice.lower_ranked = (below,)
        self.assertEqual(choice.choose_fallback(0.0), below)
        choice.record_unconfirmed(0.0, "b")
        first = choice.choose_fallback(0.0)
        self.assertIn(first, choice.distant)
        self.assertTrue(choice.is_fallback(first))
        choice.record_unconfirmed(0.0, first.vm)
        until_ms = source_choice.UNCONFIRMED_BACKOFF_MS
        self.assertEqual(choice.choose_fallback(until_ms), below)

    def test_backoffs_of_distant_vms_last_while_these_are_known(self):
        choice = self.choose("own")
        first = choice.distant[0]
        choice.record_failure(0.0, first.vm)
        choice.set_peers({})
        self.assertIn(first.vm, choice.backoffs)
        choice.set_distant_peers([], [])
        choice.set_peers({})
        self.assertEqual(choice.backoffs, {})
