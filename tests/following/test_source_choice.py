"""Tests of choosing the peer to follow."""

import unittest

from hypothesis import given
from hypothesis import strategies

from oriolegate.following import source_choice
from oriolegate.following.source_choice import Peer
from oriolegate.following.source_choice import SourceChoice

NAMES = [f"vm-{number}" for number in range(6)]


def peers(names, own):
    return {name: Peer(name, name, 1) for name in names if name != own}


def choices(names):
    choice_by_vm = {}
    for name in names:
        choice_by_vm[name] = SourceChoice(name)
        choice_by_vm[name].set_peers(peers(names, name))
    return choice_by_vm


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
        first, second = choice.higher_ranked
        choice.record_failure(0.0, first.vm)
        self.assertEqual(choice.choose(1.0), second)
        choice.record_failure(1.0, second.vm)
        self.assertIsNone(choice.choose(2.0))
        self.assertEqual(choice.choose(source_choice.FIRST_BACKOFF_MS), first)

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
        first, second = choice.higher_ranked
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
        )
    )
    def test_vms_never_follow_each_other_in_a_cycle(self, views):
        follows = {}
        for name, view in zip(NAMES, views, strict=True):
            choice = SourceChoice(name)
            choice.set_peers(peers(view, name))
            peer = choice.choose(0.0)
            follows[name] = peer.vm if peer else None
        for name in NAMES:
            seen = set()
            while name is not None:
                self.assertNotIn(name, seen)
                seen.add(name)
                name = follows[name]
