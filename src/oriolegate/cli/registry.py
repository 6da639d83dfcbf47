"""The table of commands; a command's module is imported only when run."""

import attrs


@attrs.frozen
class CommandEntry:
    """Where a command lives and what it is for.

    Attributes:
        module: Dotted name; it offers `add_options(parser)` and
            `run(arguments) -> int`.
        summary: One line for the help page.
    """

    module: str
    summary: str


COMMANDS: dict[str, CommandEntry] = {
    "emulate": CommandEntry(
        "oriolegate.commands.emulate", "run stand-ins of platform and upstreams"
    ),
    "status": CommandEntry(
        "oriolegate.commands.status", "show the status of running processes"
    ),
    "timeline": CommandEntry(
        "oriolegate.commands.timeline",
        "show the events of running processes in order",
    ),
    "version": CommandEntry("oriolegate.commands.version", "print the version"),
}
