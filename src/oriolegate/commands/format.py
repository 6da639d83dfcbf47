"""`oriolegate format FILE`: write a rules file in its canonical form."""

import argparse
import pathlib
import sys

from oriolegate.cli.status_codes import ExitStatus
from oriolegate.commands import admin_request
from oriolegate.rules.formatter import write_document
from oriolegate.rules.parser import parse


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the command."""
    parser.add_argument("file", metavar="FILE", help="a rules file")
    admin_request.add_switch(
        parser, "--check", "only check; fail if the file is not formatted"
    )


def run(arguments: argparse.Namespace) -> int:
    """Format the file in place, or check it; return the exit status."""
    text = admin_request.read_text_file(arguments.file)
    result = parse(text)
    if result.is_error():
        for error in result.error:
            print(error.render(arguments.file), file=sys.stderr)
        return ExitStatus.ERROR
    formatted = write_document(result.ok)
    if formatted == text:
        return ExitStatus.SUCCESS
    if arguments.check:
        message = "is not formatted; run oriolegate format"
        print(f"{arguments.file} {message}", file=sys.stderr)
        return ExitStatus.ERROR
    pathlib.Path(arguments.file).write_bytes(formatted.encode())
    print(f"{arguments.file} formatted")
    return ExitStatus.SUCCESS
