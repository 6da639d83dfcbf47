"""Merge rules files three-way, by the key of each rule.

Edits of different rules merge. A rule that both sides changed differently is
a conflict, and so is a rule that one side changed and the other removed. An
edit of the latest version is accepted as written; otherwise the result has
the order of the accepted file, as the order of rules has no meaning.
"""

from collections.abc import Iterable

import attrs
from expression import Error
from expression import Ok
from expression import Result

from oriolegate.rules.diff import entry_lines
from oriolegate.rules.model import Document
from oriolegate.rules.model import Entry
from oriolegate.rules.model import RuleKey


@attrs.frozen
class RuleConflict:
    """A rule that both sides changed; None stands for an absent rule.

    Attributes:
        key: Key of the rule.
        base: Lines of the rule in the version that the edit is based on.
        current: Lines of the rule in the accepted version.
        edit: Lines of the rule in the edit.
    """

    key: RuleKey
    base: tuple[str, ...] | None
    current: tuple[str, ...] | None
    edit: tuple[str, ...] | None


def _is_same(first: Entry | None, second: Entry | None) -> bool:
    return second is None if first is None else first.has_same_content(second)


def merge(
    base: Document, current: Document, edit: Document
) -> Result[Document, tuple[RuleConflict, ...]]:
    """Merge an edit into the accepted file.

    Args:
        base: The version that the edit is based on.
        current: The accepted version.
        edit: The edited file.

    Returns:
        The merged file, or all conflicts.
    """
    base_entries, current_entries = base.keyed_entries, current.keyed_entries
    edit_entries = edit.keyed_entries
    conflicts: list[RuleConflict] = []
    changed: dict[RuleKey, Entry | None] = {}
    for key in {**base_entries, **current_entries, **edit_entries}:
        before, theirs = base_entries.get(key), current_entries.get(key)
        ours = edit_entries.get(key)
        if _is_same(ours, before) or _is_same(ours, theirs):
            continue
        if _is_same(theirs, before):
            changed[key] = ours
        else:
            conflicts.append(
                RuleConflict(
                    key,
                    entry_lines(before),
                    entry_lines(theirs),
                    entry_lines(ours),
                )
            )
    if conflicts:
        return Error(tuple(conflicts))
    return Ok(_apply(current_entries, edit_entries, changed))


def _apply(
    current_entries: dict[RuleKey, Entry],
    edit_entries: dict[RuleKey, Entry],
    changed: dict[RuleKey, Entry | None],
) -> Document:
    """Apply the edit's changes by key; None removes the key's entry."""
    # An added rule is placed after the rule that precedes it in the edit.
    additions: dict[RuleKey | None, list[Entry]] = {}
    anchor: RuleKey | None = None
    for key, entry in edit_entries.items():
        if key in current_entries:
            anchor = key
        elif key in changed:
            additions.setdefault(anchor, []).append(entry)
    entries = additions.get(None, [])
    for key, entry in current_entries.items():
        merged = changed.get(key, entry)
        if merged is not None:
            entries.append(merged)
        entries += additions.get(key, [])
    return Document(tuple(entries))


def _side(name: str, lines: tuple[str, ...] | None) -> list[str]:
    shown = lines if lines is not None else ("(absent)",)
    return [f"  {name:<9} {line}" for line in shown]


def render_conflicts(conflicts: Iterable[RuleConflict]) -> str:
    """Return the three sides of each conflict as text."""
    lines: list[str] = []
    for conflict in conflicts:
        lines.append(f"conflict: {conflict.key}")
        lines += _side("base:", conflict.base)
        lines += _side("accepted:", conflict.current)
        lines += _side("yours:", conflict.edit)
    return "".join(f"{line}\n" for line in lines)
