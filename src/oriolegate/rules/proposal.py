"""Works out what an edit makes of the accepted version; pure functions."""

import attrs
from expression import Error
from expression import Ok
from expression import Result

from oriolegate.rules.acceptance_messages import Refused
from oriolegate.rules.acceptance_messages import RulesEdit
from oriolegate.rules.diff import askers_of
from oriolegate.rules.diff import changes_between
from oriolegate.rules.diff import RuleChange
from oriolegate.rules.errors import RuleError
from oriolegate.rules.errors import RuleErrorCode
from oriolegate.rules.formatter import write_document
from oriolegate.rules.merge import merge
from oriolegate.rules.merge import RuleConflict
from oriolegate.rules.model import Document
from oriolegate.rules.model import RouteRule
from oriolegate.rules.parser import LineCache
from oriolegate.rules.parser import parse
from oriolegate.rules.stored_rules import StoredRules

# Half of what the platform holds in a value: JSON may double a text.
MAX_TEXT_BYTES = 500_000


@attrs.frozen
class Proposal:
    """The version that an edit would make.

    Attributes:
        stored: The new version; the present one if nothing changes.
        changes: What the edit changes in the present version.
        others: What others changed since the edit's base.
    """

    stored: StoredRules
    changes: tuple[RuleChange, ...]
    others: tuple[RuleChange, ...]


def check_text(
    text: str, cache: LineCache | None = None
) -> Result[Document, tuple[RuleError, ...]]:
    """Parse a new text, and refuse one that the store can't hold."""
    size_bytes = len(text.encode("utf-8", "surrogatepass"))
    if size_bytes > MAX_TEXT_BYTES:
        message = (
            f"the file has {size_bytes} bytes, over the limit of "
            f"{MAX_TEXT_BYTES}; remove rules that have ended"
        )
        error = RuleError(1, 1, RuleErrorCode.OUT_OF_RANGE, message)
        return Error((error,))
    return parse(text, cache)


def _unreadable(version: int, present: int) -> Result[Proposal, Refused]:
    message = (
        f"version {version} can't be read by this release; update the "
        "program, or apply a whole new file from a newer one"
    )
    return Error(Refused(present, message))


def _has_route(document: Document) -> bool:
    return any(isinstance(rule, RouteRule) for rule in document.rules)


def _check_routes(
    now: Document, new: Document, present: StoredRules
) -> Result[None, Refused]:
    """Refuse to remove the last route, as a cut-off file would."""
    if _has_route(new) or not _has_route(now):
        return Ok(None)
    message = (
        "the edit would leave no route, and every request would be refused; "
        "keep one"
    )
    return Error(Refused(present.version, message))


def _conflict(present: int, conflicts: tuple[RuleConflict, ...]) -> Refused:
    message = (
        f"version {present} changed the same rules; take it with 'oriolegate "
        f"show', make the edit again and apply it with --base {present}"
    )
    return Refused(present, message, conflicts)


def propose(
    edit: RulesEdit,
    document: Document,
    present: StoredRules,
    base: StoredRules,
    cache: LineCache | None = None,
) -> Result[Proposal, Refused]:
    """Merge an edit with the accepted version.

    Args:
        edit: The edit.
        document: Its text, parsed.
        present: The accepted version.
        base: The version that the edit is based on.
        cache: Lines parsed before.

    Returns:
        The proposal, or why the edit is refused.
    """
    parsed_base = parse(base.text, cache)
    parsed_present = parse(present.text, cache)
    if parsed_base.is_error():
        return _unreadable(base.version, present.version)
    if parsed_present.is_error():
        return _unreadable(present.version, present.version)
    old, now = parsed_base.ok, parsed_present.ok
    if base.version == present.version:
        return _check_routes(now, document, present).map(
            lambda _: _proposal(edit, present, now, document, edit.text)
        )
    merged = merge(old, now, document)
    if merged.is_error():
        return Error(_conflict(present.version, merged.error))
    return _check_routes(now, merged.ok, present).map(
        lambda _: _merged_proposal(edit, present, old, now, merged.ok)
    )


def _merged_proposal(
    edit: RulesEdit,
    present: StoredRules,
    old: Document,
    now: Document,
    merged: Document,
) -> Proposal:
    unchanged = not changes_between(now, merged)
    text = present.text if unchanged else write_document(merged)
    proposal = _proposal(edit, present, now, merged, text)
    return attrs.evolve(proposal, others=changes_between(old, now))


def _proposal(
    edit: RulesEdit,
    present: StoredRules,
    now: Document,
    new: Document,
    text: str,
) -> Proposal:
    changes = changes_between(now, new)
    if text == present.text:
        return Proposal(present, (), ())
    stored = StoredRules(
        version=present.version + 1,
        text=text,
        asked_by=askers_of(changes, new),
        edit_id=edit.edit_id,
        base=edit.base,
    )
    return Proposal(stored, changes, ())
