"""Tests of differences between two states of an object."""

import unittest

import attrs
from hypothesis import given
from hypothesis import strategies
import orjson

from oriolegate.following import content_delta
from oriolegate.following.content_delta import DeltaMismatchError

VALUES = strategies.one_of(
    strategies.integers(-5, 5),
    strategies.text(max_size=2),
    strategies.none(),
    strategies.lists(strategies.integers(0, 4), max_size=6),
    strategies.lists(
        strategies.dictionaries(
            strategies.sampled_from("nv"), strategies.integers(0, 3)
        ),
        max_size=6,
    ),
)
CONTENTS = strategies.dictionaries(
    strategies.sampled_from("abcd"), VALUES, max_size=4
)


def encode(delta):
    return orjson.loads(orjson.dumps(attrs.asdict(delta)))


class ContentDeltaTest(unittest.TestCase):
    @given(CONTENTS, CONTENTS)
    def test_a_delta_turns_one_content_into_the_other(self, before, after):
        delta = content_delta.make(3, before, after)
        received = content_delta.ContentDelta(**encode(delta))
        self.assertEqual(content_delta.apply(before, received), after)

    @given(CONTENTS, CONTENTS, CONTENTS)
    def test_on_another_base_it_gives_the_same_content_or_an_error(
        self, before, after, other
    ):
        delta = content_delta.make(3, before, after)
        try:
            result = content_delta.apply(other, delta)
        except DeltaMismatchError:
            return
        self.assertEqual(result, after)

    def test_unchanged_elements_are_shared_with_the_content_before(self):
        before = {"routes": [{"name": n} for n in range(10)]}
        after = {"routes": [{"name": n} for n in (0, 1, 99, 3, 4, 5)]}
        delta = content_delta.make(3, before, after)
        result = content_delta.apply(before, delta)
        self.assertIs(result["routes"][3], before["routes"][3])

    def test_malformed_pieces_are_a_mismatch(self):
        before = {"a": [1, 2, 3]}
        delta = content_delta.make(3, before, {"a": [1, 3]})
        for pieces in ([["x"]], [[0, "y"]], [5], [[0, 1, 2]], 7):
            wrong = attrs.evolve(delta, lists={"a": pieces})
            with self.assertRaises(DeltaMismatchError):
                content_delta.apply(before, wrong)
