"""The main parser: it finds the command and hands the rest to it."""

import argparse
from collections.abc import Sequence
import importlib
import sys

from oriolegate.cli import registry
from oriolegate.cli.status_codes import ExitStatus
from oriolegate.exceptions import OriolegateError


def _help_page() -> str:
    width = max(len(name) for name in registry.COMMANDS)
    rows = [
        f"  {name:<{width}}  {entry.summary}"
        for name, entry in registry.COMMANDS.items()
    ]
    usage = "usage: oriolegate COMMAND [options]\n\ncommands:\n"
    return usage + "\n".join(rows) + "\n"


def run(arguments: Sequence[str]) -> int:
    """Run one command.

    Args:
        arguments: The command's name and its options.

    Returns:
        The exit status of the process.
    """
    if not arguments or arguments[0] in ("-h", "--help", "help"):
        print(_help_page(), end="")
        return ExitStatus.SUCCESS if arguments else ExitStatus.USAGE
    name = "version" if arguments[0] == "--version" else arguments[0]
    entry = registry.COMMANDS.get(name)
    if entry is None:
        print(
            f"oriolegate: there is no command {name!r}; see oriolegate --help",
            file=sys.stderr,
        )
        return ExitStatus.USAGE
    module = importlib.import_module(entry.module)
    parser = argparse.ArgumentParser(
        prog=f"oriolegate {name}", description=entry.summary
    )
    module.add_options(parser)
    try:
        return module.run(parser.parse_args(arguments[1:]))
    except OriolegateError as error:
        print(f"oriolegate: {int(error.code)} {error}", file=sys.stderr)
        return ExitStatus.ERROR
