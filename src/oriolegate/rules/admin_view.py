"""Read and build the JSON bodies of the admin endpoint for rules.

POST /rules          {"base", "text", "dry_run"} -> `result_view`
GET /rules           -> `rules_view`
GET /rules/history   -> `history_view`
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import http
from typing import Any

import attrs
from expression import Error
from expression import Ok
from expression import Result

from oriolegate.rules import acceptance_messages as messages
from oriolegate.rules.diff import changes_between
from oriolegate.rules.diff import render_changes
from oriolegate.rules.merge import render_conflicts
from oriolegate.rules.model import AcceptedRules
from oriolegate.rules.parser import parse
from oriolegate.rules.stored_rules import StoredRules


def parse_edit(
    fields: Mapping[str, Any], edit_id: str
) -> Result[messages.RulesEdit, str]:
    """Validate the decoded body of `POST /rules`.

    Args:
        fields: The JSON object.
        edit_id: New unique id for this edit.

    Returns:
        The edit, or a message that says what is wrong with the body.
    """
    base, text = fields.get("base"), fields.get("text")
    dry_run = fields.get("dry_run", False)
    if type(base) is not int or base < 0:
        return Error("base must be the number of a version, or 0")
    if not isinstance(text, str) or not isinstance(dry_run, bool):
        return Error("text must be a string, and dry_run true or false")
    return Ok(messages.RulesEdit(edit_id, base, text, dry_run))


def http_status(result: messages.AcceptanceResult) -> http.HTTPStatus:
    """Return the HTTP status for a result."""
    match result:
        case messages.Accepted() | messages.Merged() | messages.DryRun():
            return http.HTTPStatus.OK
        case messages.Refused():
            return http.HTTPStatus.CONFLICT
        case messages.Invalid():
            return http.HTTPStatus.BAD_REQUEST
        case messages.Unavailable():
            return http.HTTPStatus.SERVICE_UNAVAILABLE
        case messages.Unknown():
            return http.HTTPStatus.ACCEPTED


def _result_fields(result: messages.AcceptanceResult) -> dict[str, Any]:
    match result:
        case messages.Accepted(version=version, changes=changes):
            return {
                "state": "accepted",
                "version": version,
                "difference": render_changes(changes),
            }
        case messages.Merged() | messages.DryRun():
            merged = isinstance(result, messages.Merged)
            return {
                "state": "merged" if merged else "dry-run",
                "version": result.version,
                "difference": render_changes(result.changes),
                "merged_with": render_changes(result.others),
            }
        case messages.Refused():
            return {
                "state": "refused",
                "version": result.version,
                "message": result.message,
                "difference": render_conflicts(result.conflicts),
            }
        case messages.Invalid(errors=errors):
            names = ("line", "column", "code", "message")
            return {
                "state": "invalid",
                "errors": [
                    {name: getattr(error, name) for name in names}
                    for error in errors
                ],
            }
        case messages.Unavailable(message=message):
            return {"state": "unavailable", "message": message}
        case messages.Unknown(message=message):
            return {"state": "unknown", "message": message}


def result_view(
    result: messages.AcceptanceResult,
    in_force_on: Sequence[str] = (),
    pending_on: Sequence[str] = (),
    unreachable_on: Sequence[str] = (),
) -> dict[str, Any]:
    """Return the response body of `POST /rules`.

    Args:
        result: Result of the edit.
        in_force_on: VMs that have confirmed the version.
        pending_on: VMs that have not confirmed it, including unreachable VMs.
        unreachable_on: The VMs of `pending_on` that are unreachable.
    """
    return {
        "version": None,
        "message": "",
        "errors": [],
        "difference": "",
        "merged_with": "",
        **_result_fields(result),
        "in_force_on": list(in_force_on),
        "pending_on": list(pending_on),
        "unreachable_on": list(unreachable_on),
    }


def rules_view(
    rules: AcceptedRules,
    in_force_on: Sequence[str] = (),
    pending_on: Sequence[str] = (),
    unreachable_on: Sequence[str] = (),
) -> dict[str, Any]:
    """Return the response body of `GET /rules`."""
    return {
        **attrs.asdict(rules),
        "in_force_on": list(in_force_on),
        "pending_on": list(pending_on),
        "unreachable_on": list(unreachable_on),
    }


def _difference(before: StoredRules | None, after: StoredRules) -> str:
    if before is None and after.version > 1:
        return ""  # the previous version was deleted from history
    old, new = parse(before.text if before else ""), parse(after.text)
    if old.is_error() or new.is_error():
        return ""
    return render_changes(changes_between(old.ok, new.ok))


def history_view(
    stored: Iterable[StoredRules], limit: int = 50
) -> dict[str, Any]:
    """Return the response body of `GET /rules/history`.

    Args:
        stored: The accepted version and its predecessors, in any order.
        limit: Maximum number of versions; the newest are included.
    """
    by_version = {rules.version: rules for rules in stored}
    newest = sorted(by_version, reverse=True)[:limit]
    return {
        "versions": [
            {
                "version": version,
                "base": by_version[version].base,
                "asked_by": by_version[version].asked_by,
                "edit_id": by_version[version].edit_id,
                "difference": _difference(
                    by_version.get(version - 1), by_version[version]
                ),
            }
            for version in newest
        ]
    }
