"""Compare two rules files rule by rule."""

from collections.abc import Iterable

import attrs

from oriolegate.rules.formatter import format_entry
from oriolegate.rules.model import Document
from oriolegate.rules.model import Entry
from oriolegate.rules.model import RuleKey


@attrs.frozen
class RuleChange:
    """An entry that differs between two files.

    Attributes:
        key: Key of the entry.
        before: Lines of the entry before, or None if the entry was added.
        after: Lines of the entry after, or None if the entry was removed.
    """

    key: RuleKey
    before: tuple[str, ...] | None
    after: tuple[str, ...] | None


def entry_lines(entry: Entry | None) -> tuple[str, ...] | None:
    """Return the lines of an entry, or None for an absent one."""
    return None if entry is None else tuple(format_entry(entry))


def changes_between(old: Document, new: Document) -> tuple[RuleChange, ...]:
    """Return the differences: removals and changes first, then additions."""
    old_entries, new_entries = old.keyed_entries, new.keyed_entries
    changes: list[RuleChange] = []
    for key, before in old_entries.items():
        after = new_entries.get(key)
        if not before.has_same_content(after):
            changes.append(
                RuleChange(key, entry_lines(before), entry_lines(after))
            )
    for key, after in new_entries.items():
        if key not in old_entries:
            changes.append(RuleChange(key, None, entry_lines(after)))
    return tuple(changes)


def render_changes(changes: Iterable[RuleChange]) -> str:
    """Return changes as lines that start with `-` or `+`."""
    lines: list[str] = []
    for change in changes:
        lines += [f"- {line}" for line in change.before or ()]
        lines += [f"+ {line}" for line in change.after or ()]
    return "".join(f"{line}\n" for line in lines)


def askers_of(changes: Iterable[RuleChange], new: Document) -> str:
    """Return the askers of the added or changed rules, comma-separated."""
    entries = new.keyed_entries
    names = {
        entry.rule.asker.name
        for change in changes
        if (entry := entries.get(change.key)) is not None
        and entry.rule is not None
    }
    return ", ".join(sorted(names))
