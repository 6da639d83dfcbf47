"""`oriolegate check FILE`: report every error of a rules file."""

import argparse
import sys

from oriolegate.cli.status_codes import ExitStatus
from oriolegate.clock import SystemClock
from oriolegate.commands import admin_request
from oriolegate.rules.model import Document
from oriolegate.rules.proposal import check_text


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the command."""
    parser.add_argument("file", metavar="FILE", help="a rules file")


def _print_ended_rules(document: Document, file_name: str) -> None:
    wall_ms = SystemClock().wall_ms()
    for entry in document.entries:
        rule = entry.rule
        if rule and rule.until_ms is not None and rule.until_ms <= wall_ms:
            message = "the rule has ended and may be removed"
            print(f"{file_name}:{entry.line}:1: {message}")


def run(arguments: argparse.Namespace) -> int:
    """Check the file and return the exit status."""
    result = check_text(admin_request.read_text_file(arguments.file))
    if result.is_ok():
        print(f"{arguments.file}: {len(result.ok.rules)} rules, no errors")
        _print_ended_rules(result.ok, arguments.file)
        return ExitStatus.SUCCESS
    for error in result.error:
        print(error.render(arguments.file), file=sys.stderr)
    return ExitStatus.ERROR
