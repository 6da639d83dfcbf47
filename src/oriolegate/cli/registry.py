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
    "check": CommandEntry(
        "oriolegate.commands.check", "report every error of a rules file"
    ),
    "format": CommandEntry(
        "oriolegate.commands.format", "write a rules file in canonical form"
    ),
    "apply": CommandEntry(
        "oriolegate.commands.apply", "ask for a new version of the rules"
    ),
    "show": CommandEntry(
        "oriolegate.commands.show", "print the rules, or what they decide"
    ),
    "history": CommandEntry(
        "oriolegate.commands.history", "list the accepted versions"
    ),
    "version": CommandEntry("oriolegate.commands.version", "print the version"),
}
