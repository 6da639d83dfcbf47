"""`oriolegate check FILE`: report every error of a rules file."""

import argparse
import sys

from oriolegate.cli.status_codes import ExitStatus
from oriolegate.commands import admin_request
from oriolegate.rules.proposal import check_text


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the command."""
    parser.add_argument("file", metavar="FILE", help="a rules file")


def run(arguments: argparse.Namespace) -> int:
    """Check the file.

    Returns:
        The exit status.
    """
    result = check_text(admin_request.read_text_file(arguments.file))
    if result.is_ok():
        print(f"{arguments.file}: {len(result.ok.rules)} rules, no errors")
        return ExitStatus.SUCCESS
    for error in result.error:
        print(error.render(arguments.file), file=sys.stderr)
    return ExitStatus.ERROR
