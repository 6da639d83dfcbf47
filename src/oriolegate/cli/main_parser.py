"""Main parser: finds the command and passes the remaining arguments to it.

Only the module of the command that runs is imported; the main help page is
rendered from the registry alone.
"""

from collections.abc import Sequence
import os
import sys

from oriolegate.cli import registry
from oriolegate.cli import status_codes
from oriolegate.cli.status_codes import ExitStatus
from oriolegate.exceptions import OriolegateError

PROGRAM = "oriolegate"
HELP_FLAGS = ("-h", "--help")
# What a shell reports for a process that SIGINT ended.
INTERRUPTED_STATUS = 130


def _help_page() -> str:
    width = max(len(name) for name in registry.COMMANDS)
    commands = [
        f"  {name:<{width}}  {entry.summary}"
        for name, entry in registry.COMMANDS.items()
    ]
    statuses = [
        f"  {int(status)}  {meaning}"
        for status, meaning in status_codes.MEANINGS.items()
    ]
    sections = [
        f"usage: {PROGRAM} COMMAND [options]",
        "Fan each request out over many shards.",
        "\n".join(["commands:", *commands]),
        f"{PROGRAM} help COMMAND shows a command's options. Each option can\n"
        "be set by a variable too: --peer-port by ORIOLEGATE_PEER_PORT.",
        "\n".join(["exit statuses:", *statuses]),
    ]
    return "\n\n".join(sections) + "\n"


def _unknown_command(name: str) -> int:
    import difflib

    nearest = difflib.get_close_matches(name, registry.COMMANDS, n=1)
    hint = f"did you mean {nearest[0]!r}?" if nearest else ""
    advice = hint or f"see {PROGRAM} --help"
    print(f"{PROGRAM}: there is no command {name!r}; {advice}", file=sys.stderr)
    return ExitStatus.USAGE


def _print_error(error: OriolegateError) -> None:
    print(f"{PROGRAM}: {int(error.code)} {error}", file=sys.stderr)


def _run_command(name: str, options: Sequence[str]) -> int:
    import argparse
    import importlib

    entry = registry.COMMANDS[name]
    module = importlib.import_module(entry.module)
    parser = argparse.ArgumentParser(
        prog=f"{PROGRAM} {name}",
        description=entry.summary,
        allow_abbrev=False,
    )
    module.add_options(parser)
    try:
        return int(module.run(parser.parse_args(options)))
    except OriolegateError as error:
        _print_error(error)
        return status_codes.exit_status_of(error.code)


def run(arguments: Sequence[str]) -> int:
    """Run one command and return the exit status of the process.

    Args:
        arguments: Name of the command, and its options.
    """
    if not arguments:
        print(_help_page(), end="", file=sys.stderr)
        return ExitStatus.USAGE
    name, *options = arguments
    if name in HELP_FLAGS or (name == "help" and not options):
        print(_help_page(), end="")
        return ExitStatus.SUCCESS
    if name == "help":
        name, options = options[0], ["--help"]
    if name == "--version":
        name = "version"
    if name not in registry.COMMANDS:
        return _unknown_command(name)
    try:
        status = _run_command(name, options)
        sys.stdout.flush()
    except KeyboardInterrupt:
        return INTERRUPTED_STATUS
    except BrokenPipeError:
        # The reader closed the pipe. The interpreter flushes stdout once more
        # at exit, which would raise again.
        sys.stdout = open(os.devnull, "w")  # noqa: SIM115 (until the exit)
        return ExitStatus.SUCCESS
    return status
