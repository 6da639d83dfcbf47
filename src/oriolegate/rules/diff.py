"""Differences of two rules files, rule by rule."""

from collections.abc import Iterable

import attrs

from oriolegate.rules.formatter import write_entry
from oriolegate.rules.model import Document
from oriolegate.rules.model import Entry
from oriolegate.rules.model import RuleKey


@attrs.frozen
class RuleChange:
    """One entry that differs.

    Attributes:
        key: The rule's identity.
        before: Its lines before, or None if it was added.
        after: Its lines after, or None if it was removed.
    """

    key: RuleKey
    before: tuple[str, ...] | None
    after: tuple[str, ...] | None


def content(entry: Entry | None) -> tuple[str, ...] | None:
    """Return the lines of an entry, or None where there is none."""
    return None if entry is None else tuple(write_entry(entry))


def changes_between(old: Document, new: Document) -> tuple[RuleChange, ...]:
    """Return what differs: removals and edits first, then additions."""
    befores, afters = old.keyed_entries, new.keyed_entries
    changes: list[RuleChange] = []
    for key, before in befores.items():
        after = afters.get(key)
        if not before.says_the_same(after):
            changes.append(RuleChange(key, content(before), content(after)))
    for key, after in afters.items():
        if key not in befores:
            changes.append(RuleChange(key, None, content(after)))
    return tuple(changes)


def write_changes(changes: Iterable[RuleChange]) -> str:
    """Write changes as lines that start with `-` or `+`."""
    lines: list[str] = []
    for change in changes:
        lines += [f"- {line}" for line in change.before or ()]
        lines += [f"+ {line}" for line in change.after or ()]
    return "".join(f"{line}\n" for line in lines)


def askers_of(changes: Iterable[RuleChange], new: Document) -> str:
    """Return who asked for the changed rules of the new file."""
    entries = new.keyed_entries
    names = {
        entry.rule.asker.name
        for change in changes
        if (entry := entries.get(change.key)) is not None
        and entry.rule is not None
    }
    return ", ".join(sorted(names))
