"""`oriolegate history`: list the accepted versions of the rules.

The newest version comes first.
"""

import argparse
import sys
from typing import Any

from oriolegate.cli.status_codes import ExitStatus
from oriolegate.commands import admin_request


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the command."""
    admin_request.add_switch(
        parser, "--difference", "show the changes of each version"
    )
    admin_request.add_admin_options(parser)


def _render_version(row: dict[str, Any], *, difference: bool) -> list[str]:
    asked_by = row.get("asked_by") or "-"
    line = (
        f"{row.get('version'):>7}  {row.get('base'):>7}  "
        f"{asked_by}  {row.get('edit_id')}"
    )
    if not difference:
        return [line]
    changes = str(row.get("difference", "")).splitlines()
    return [line, *(f"           {change}" for change in changes)]


def run(arguments: argparse.Namespace) -> int:
    """List the versions and return the exit status."""
    endpoint = admin_request.admin_endpoint(arguments)
    result = admin_request.call_admin(endpoint, "/rules/history")
    rows = result.ok.get("versions") if result.is_ok() else None
    if not isinstance(rows, list):
        reason = (
            result.error.message
            if result.is_error()
            else result.ok.get("message", "the answer contains no versions")
        )
        print(f"oriolegate: {reason}", file=sys.stderr)
        return ExitStatus.UNAVAILABLE
    print("version     base  asked by  edit")
    for row in rows:
        lines = _render_version(row, difference=arguments.difference)
        print("\n".join(lines))
    return ExitStatus.SUCCESS
