"""Test the three-way merge and the differences of rules files."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from oriolegate.rules import diff
from oriolegate.rules.formatter import write_document
from oriolegate.rules.merge import merge
from oriolegate.rules.merge import render_conflicts
from oriolegate.rules.model import Document
from oriolegate.rules.model import rule_key
from oriolegate.rules.parser import parse
from tests.rules import strategies


def contents(document):
    keyed = document.keyed_entries
    return {key: diff.entry_lines(entry) for key, entry in keyed.items()}


def doc(text):
    return parse(text).ok


@st.composite
def disjoint_edits(draw):
    """A base file and two edits that change different rules of the file."""
    entries = draw(
        st.lists(
            strategies.ENTRIES,
            max_size=8,
            unique_by=lambda e: rule_key(e.rule),
        )
    )
    sides = draw(
        st.lists(
            st.sampled_from(["base", "left", "right", "left-", "right-"]),
            min_size=len(entries),
            max_size=len(entries),
        )
    )
    base, left, right = [], [], []
    for entry, side in zip(entries, sides, strict=True):
        if side != "left":
            base += [entry] if side != "right" else []
        left += [entry] if side not in ("right", "left-") else []
        right += [entry] if side not in ("left", "right-") else []
    return tuple(Document(tuple(d)) for d in (base, left, right))


class MergeTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(disjoint_edits())
    def test_edits_of_different_rules_commute(self, documents):
        base, left, right = documents
        one = merge(base, left, right).ok
        other = merge(base, right, left).ok
        self.assertEqual(contents(one), contents(other))
        wanted = {**contents(left), **contents(right)}
        gone = set(contents(base)) - (
            set(contents(left)) & set(contents(right))
        )
        self.assertEqual(set(contents(one)), set(wanted) - gone)

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(strategies.DOCUMENTS, strategies.DOCUMENTS)
    def test_an_edit_of_the_present_version_is_taken_whole(self, base, edit):
        merged = merge(base, base, edit).ok
        self.assertEqual(contents(merged), contents(edit))

    def test_comments_stay_with_their_rule_and_additions_with_neighbours(self):
        base = (
            "# head\n\nroute a to x # asked-by: M\nroute c to x # asked-by: M"
        )
        current = base.replace("c to x", "c to y")
        edit = base.replace(
            "route c", "# new\nroute b to z # asked-by: M\nroute c"
        )
        merged = merge(doc(base), doc(current), doc(edit)).ok
        self.assertEqual(
            write_document(merged),
            "# head\n\nroute a to x  # asked-by: M\n"
            "# new\nroute b to z  # asked-by: M\n"
            "route c to y  # asked-by: M\n",
        )

    def test_removing_what_the_other_side_changed_is_a_conflict(self):
        base = "service d retry 10% # asked-by: M"
        current = "service d retry 20% # asked-by: R"
        conflicts = merge(doc(base), doc(current), doc("")).error
        self.assertEqual(
            render_conflicts(conflicts),
            "conflict: service d retry\n"
            "  base:     service d retry 10%  # asked-by: M\n"
            "  accepted: service d retry 20%  # asked-by: R\n"
            "  yours:    (absent)\n",
        )

    def test_settings_of_different_groups_of_a_service_merge(self):
        base = "service d retry 10% # asked-by: M\n"
        left = base + "service d hedge off # asked-by: M\n"
        right = base + "service d deadline 1s # asked-by: M\n"
        merged = merge(doc(base), doc(left), doc(right)).ok
        self.assertEqual(len(merged.rules), 3)

    def test_equal_standalone_comments_are_both_kept(self):
        text = "# --\n\n# --\n\nroute a to x  # asked-by: M\n"
        merged = merge(doc(""), doc(""), doc(text)).ok
        self.assertEqual(write_document(merged), text)


class DiffTest(unittest.TestCase):
    def test_shows_lines_removed_and_added(self):
        old, new = "route a to x # asked-by: M", "route a to y # asked-by: R"
        changes = diff.changes_between(doc(old), doc(new))
        self.assertEqual(
            diff.render_changes(changes),
            "- route a to x  # asked-by: M\n+ route a to y  # asked-by: R\n",
        )
        self.assertEqual(diff.askers_of(changes, doc(new)), "R")
