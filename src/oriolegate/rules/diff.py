"""Differences of two rules files, rule by rule."""

from collections.abc import Iterable

import attrs

from oriolegate.rules.formatter import write_entry
from oriolegate.rules.model import Document
from oriolegate.rules.model import Entry
from oriolegate.rules.model import rule_key
from oriolegate.rules.model import RuleKey

COMMENT_KIND = "#"


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


def keyed_entries(document: Document) -> dict[RuleKey, Entry]:
    """Return the entries by identity, in the file's order.

    A block of comments of its own is known by its text, and equal blocks
    by their number.
    """
    entries: dict[RuleKey, Entry] = {}
    for entry in document.entries:
        if entry.rule is not None:
            entries[rule_key(entry.rule)] = entry
            continue
        text, number = "\n".join(entry.comments), 1
        while RuleKey(COMMENT_KIND, text, str(number)) in entries:
            number += 1
        entries[RuleKey(COMMENT_KIND, text, str(number))] = entry
    return entries


def content(entry: Entry | None) -> tuple[str, ...] | None:
    """Return the lines of an entry, by which entries are compared."""
    return None if entry is None else tuple(write_entry(entry))


def changes_between(old: Document, new: Document) -> tuple[RuleChange, ...]:
    """Return what differs: removals and edits first, then additions."""
    old_entries, new_entries = keyed_entries(old), keyed_entries(new)
    keys = list(old_entries) + [k for k in new_entries if k not in old_entries]
    changes = (
        RuleChange(k, content(old_entries.get(k)), content(new_entries.get(k)))
        for k in keys
    )
    return tuple(change for change in changes if change.before != change.after)


def write_changes(changes: Iterable[RuleChange]) -> str:
    """Write changes as lines that start with `-` or `+`."""
    lines: list[str] = []
    for change in changes:
        lines += [f"- {line}" for line in change.before or ()]
        lines += [f"+ {line}" for line in change.after or ()]
    return "".join(f"{line}\n" for line in lines)


def askers_of(changes: Iterable[RuleChange], new: Document) -> str:
    """Return who asked for the changed rules of the new file."""
    entries = keyed_entries(new)
    names = {
        entry.rule.asker.name
        for change in changes
        if (entry := entries.get(change.key)) is not None
        and entry.rule is not None
    }
    return ", ".join(sorted(names))
