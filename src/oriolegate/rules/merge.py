"""Three-way merge of rules files, keyed by the identity of each rule.

Edits of different rules merge. A rule that both sides changed, each in its
own way, is a conflict; so is one that one side changed and the other
removed. Where the accepted file has not moved, an edit is taken as written;
otherwise the accepted file's order stands, which decides nothing.
"""

from collections.abc import Iterable

import attrs
from expression import Error
from expression import Ok
from expression import Result

from oriolegate.rules.diff import content
from oriolegate.rules.model import Document
from oriolegate.rules.model import Entry
from oriolegate.rules.model import RuleKey


@attrs.frozen
class RuleConflict:
    """A rule that both sides changed.

    Attributes:
        key: The rule's identity.
        base: Its lines in the version that the edit is based on.
        present: Its lines in the accepted version.
        edit: Its lines in the edit; None here and above means absent.
    """

    key: RuleKey
    base: tuple[str, ...] | None
    present: tuple[str, ...] | None
    edit: tuple[str, ...] | None


def _same(one: Entry | None, other: Entry | None) -> bool:
    return other is None if one is None else one.says_the_same(other)


def merge(
    base: Document, present: Document, edit: Document
) -> Result[Document, tuple[RuleConflict, ...]]:
    """Merge an edit into the accepted file.

    Args:
        base: The version that the edit is based on.
        present: The accepted version.
        edit: The edited file.

    Returns:
        The merged file, or every conflict.
    """
    bases, presents = base.keyed_entries, present.keyed_entries
    edits = edit.keyed_entries
    conflicts: list[RuleConflict] = []
    taken: dict[RuleKey, Entry | None] = {}
    for key in {**bases, **presents, **edits}:
        before, theirs = bases.get(key), presents.get(key)
        ours = edits.get(key)
        if _same(ours, before) or _same(ours, theirs):
            continue
        if _same(theirs, before):
            taken[key] = ours
        else:
            conflicts.append(
                RuleConflict(
                    key, content(before), content(theirs), content(ours)
                )
            )
    if conflicts:
        return Error(tuple(conflicts))
    return Ok(_apply(presents, edits, taken))


def _apply(
    presents: dict[RuleKey, Entry],
    edits: dict[RuleKey, Entry],
    taken: dict[RuleKey, Entry | None],
) -> Document:
    # An added rule follows the rule that it follows in the edit.
    additions: dict[RuleKey | None, list[Entry]] = {}
    anchor: RuleKey | None = None
    for key, entry in edits.items():
        if key in presents:
            anchor = key
        elif key in taken:
            additions.setdefault(anchor, []).append(entry)
    entries = additions.get(None, [])
    for key, entry in presents.items():
        kept = taken.get(key, entry)
        if kept is not None:
            entries.append(kept)
        entries += additions.get(key, [])
    return Document(tuple(entries))


def _side(name: str, lines: tuple[str, ...] | None) -> list[str]:
    shown = lines if lines is not None else ("(absent)",)
    return [f"  {name:<9} {line}" for line in shown]


def write_conflicts(conflicts: Iterable[RuleConflict]) -> str:
    """Write the three sides of each conflict."""
    lines: list[str] = []
    for conflict in conflicts:
        lines.append(f"conflict: {conflict.key}")
        lines += _side("base:", conflict.base)
        lines += _side("accepted:", conflict.present)
        lines += _side("yours:", conflict.edit)
    return "".join(f"{line}\n" for line in lines)
