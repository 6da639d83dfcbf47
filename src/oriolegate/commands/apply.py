"""`oriolegate apply FILE --base N`: propose a new version of the rules."""

import argparse
import sys
from typing import Any

from oriolegate.cli.status_codes import ExitStatus
from oriolegate.commands import admin_request
from oriolegate.exceptions import SettingsError
from oriolegate.rules.proposal import check_text

_STATUSES = {
    "accepted": ExitStatus.SUCCESS,
    "merged": ExitStatus.SUCCESS,
    "dry-run": ExitStatus.SUCCESS,
    "refused": ExitStatus.CONFLICT,
    "invalid": ExitStatus.ERROR,
    "unavailable": ExitStatus.UNAVAILABLE,
    "unknown": ExitStatus.UNKNOWN,
}


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the command."""
    parser.add_argument("file", metavar="FILE", help="a rules file")
    admin_request.add_option(
        parser,
        "--base",
        "version that the file is based on; 0 for none",
        type=int,
    )
    admin_request.add_switch(parser, "--dry-run", "only show the changes")
    admin_request.add_admin_options(parser)


def _exit_status(answer: dict[str, Any]) -> ExitStatus:
    status = _STATUSES.get(str(answer.get("state")), ExitStatus.ERROR)
    accepted = answer.get("state") in ("accepted", "merged")
    if accepted and answer.get("pending_on"):
        return ExitStatus.PENDING
    return status


def _render_answer(answer: dict[str, Any], file_name: str) -> str:
    version = answer.get("version")
    suffix = "" if version is None else f", version {version}"
    lines = [f"{answer.get('state')}{suffix}"]
    if answer.get("message"):
        lines.append(answer["message"])
    lines += [
        f"{file_name}:{error['line']}:{error['column']}: "
        f"{error['code']} {error['message']}"
        for error in answer.get("errors", ())
    ]
    if answer.get("merged_with"):
        lines += ["changed by others since:", answer["merged_with"].rstrip()]
    if answer.get("difference"):
        lines += ["difference:", answer["difference"].rstrip()]
    if answer.get("state") in ("accepted", "merged"):
        lines.append(f"in force on {len(answer.get('in_force_on', ()))} VMs")
        if answer.get("pending_on"):
            names = ", ".join(answer["pending_on"])
            lines.append(f"pending, not confirmed by: {names}")
    return "\n".join(lines)


def _report_failure(failure: admin_request.CallFailure) -> ExitStatus:
    print(f"oriolegate: {failure.message}", file=sys.stderr)
    if not failure.sent:
        return ExitStatus.UNAVAILABLE
    message = "it is unknown whether the edit was accepted; apply it again"
    print(f"oriolegate: {message}", file=sys.stderr)
    return ExitStatus.UNKNOWN


def run(arguments: argparse.Namespace) -> int:
    """Check the rules file and send it to a VM; return the exit status.

    Raises:
        SettingsError: If a required option is missing.
    """
    if arguments.base is None or arguments.base < 0:
        raise SettingsError(
            "set the version that the file is based on with --base N; "
            "oriolegate show prints the current version"
        )
    endpoint = admin_request.admin_endpoint(arguments)
    text = admin_request.read_text_file(arguments.file)
    checked = check_text(text)
    if checked.is_error():
        for error in checked.error:
            print(error.render(arguments.file), file=sys.stderr)
        return ExitStatus.ERROR
    payload = {
        "base": arguments.base,
        "text": text,
        "dry_run": arguments.dry_run,
    }
    result = admin_request.call_admin(endpoint, "/rules", payload)
    if result.is_error():
        return _report_failure(result.error)
    status = _exit_status(result.ok)
    stream = sys.stdout if status is ExitStatus.SUCCESS else sys.stderr
    print(_render_answer(result.ok, arguments.file), file=stream)
    return status
