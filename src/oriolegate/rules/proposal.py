"""Compute the version that results from an edit; pure functions."""

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

# Half of the platform's limit for a value, as JSON escapes may double the size.
MAX_TEXT_BYTES = 500_000


@attrs.frozen
class Proposal:
    """The version that would result from an edit.

    Attributes:
        stored: The new version, or the current one if nothing changes.
        changes: Changes of the edit to the current version.
        others: Changes of other edits since the edit's base.
    """

    stored: StoredRules
    changes: tuple[RuleChange, ...]
    others: tuple[RuleChange, ...]


def check_text(
    text: str, cache: LineCache | None = None
) -> Result[Document, tuple[RuleError, ...]]:
    """Parse a new text; more than `MAX_TEXT_BYTES` is an error."""
    size_bytes = len(text.encode("utf-8", "surrogatepass"))
    if size_bytes > MAX_TEXT_BYTES:
        message = (
            f"the file has {size_bytes} bytes, over the limit of "
            f"{MAX_TEXT_BYTES}; remove rules that have ended"
        )
        error = RuleError(1, 1, RuleErrorCode.OUT_OF_RANGE, message)
        return Error((error,))
    return parse(text, cache)


def _unreadable(
    version: int, current_version: int
) -> Result[Proposal, Refused]:
    message = (
        f"version {version} can't be read by this release; update the "
        "program, or apply a whole new file from a newer one"
    )
    return Error(Refused(current_version, message))


def _has_route(document: Document) -> bool:
    return any(isinstance(rule, RouteRule) for rule in document.rules)


def _check_routes(
    accepted: Document, new: Document, current: StoredRules
) -> Result[None, Refused]:
    """Refuse to remove the last route, as a truncated file would."""
    if _has_route(new) or not _has_route(accepted):
        return Ok(None)
    message = (
        "the edit would leave no route, and every request would be refused; "
        "keep one"
    )
    return Error(Refused(current.version, message))


def _conflict(
    current_version: int, conflicts: tuple[RuleConflict, ...]
) -> Refused:
    message = (
        f"version {current_version} changed the same rules; get it with "
        "'oriolegate show', make the edit again and apply it with "
        f"--base {current_version}"
    )
    return Refused(current_version, message, conflicts)


def propose(
    edit: RulesEdit,
    document: Document,
    current: StoredRules,
    base: StoredRules,
    cache: LineCache | None = None,
) -> Result[Proposal, Refused]:
    """Merge an edit with the accepted version.

    Args:
        edit: The edit.
        document: The edit's text, parsed.
        current: The accepted version.
        base: The version that the edit is based on.
        cache: Lines that were parsed before.

    Returns:
        The proposal, or the refusal.
    """
    parsed_base = parse(base.text, cache)
    parsed_current = parse(current.text, cache)
    if parsed_base.is_error():
        return _unreadable(base.version, current.version)
    if parsed_current.is_error():
        return _unreadable(current.version, current.version)
    base_document, accepted = parsed_base.ok, parsed_current.ok
    if base.version == current.version:
        return _check_routes(accepted, document, current).map(
            lambda _: _proposal(edit, current, accepted, document, edit.text)
        )
    merged = merge(base_document, accepted, document)
    if merged.is_error():
        return Error(_conflict(current.version, merged.error))
    return _check_routes(accepted, merged.ok, current).map(
        lambda _: _merged_proposal(
            edit, current, base_document, accepted, merged.ok
        )
    )


def _merged_proposal(
    edit: RulesEdit,
    current: StoredRules,
    base_document: Document,
    accepted: Document,
    merged: Document,
) -> Proposal:
    unchanged = not changes_between(accepted, merged)
    text = current.text if unchanged else write_document(merged)
    proposal = _proposal(edit, current, accepted, merged, text)
    return attrs.evolve(
        proposal, others=changes_between(base_document, accepted)
    )


def _proposal(
    edit: RulesEdit,
    current: StoredRules,
    accepted: Document,
    new: Document,
    text: str,
) -> Proposal:
    changes = changes_between(accepted, new)
    if text == current.text:
        return Proposal(current, (), ())
    stored = StoredRules(
        version=current.version + 1,
        text=text,
        asked_by=askers_of(changes, new),
        edit_id=edit.edit_id,
        base=edit.base,
    )
    return Proposal(stored, changes, ())
