"""Table of commands; a command's module is imported only when it runs."""

import attrs


@attrs.frozen
class CommandEntry:
    """Module and summary of a command.

    Attributes:
        module: Dotted name of the module, which defines
            `add_options(parser)` and `run(arguments) -> int`.
        summary: One line for the help page.
    """

    module: str
    summary: str


COMMANDS: dict[str, CommandEntry] = {
    "serve": CommandEntry(
        "oriolegate.commands.serve", "run one process of the tier"
    ),
    "gateway": CommandEntry(
        "oriolegate.commands.gateway", "run one gateway on the users' platform"
    ),
    "demo": CommandEntry(
        "oriolegate.commands.demo",
        "run requests against an emulated site in one process",
    ),
    "measure": CommandEntry(
        "oriolegate.commands.measure", "measure scenarios and print figures"
    ),
    "emulate": CommandEntry(
        "oriolegate.commands.emulate", "emulate the platform and upstreams"
    ),
    "status": CommandEntry(
        "oriolegate.commands.status", "show the status of running processes"
    ),
    "timeline": CommandEntry(
        "oriolegate.commands.timeline",
        "show the events of running processes in order",
    ),
    "explain": CommandEntry(
        "oriolegate.commands.explain", "show the log lines about a request"
    ),
    "check": CommandEntry(
        "oriolegate.commands.check", "report every error of a rules file"
    ),
    "format": CommandEntry(
        "oriolegate.commands.format", "write a rules file in canonical form"
    ),
    "apply": CommandEntry(
        "oriolegate.commands.apply", "propose a new version of the rules"
    ),
    "show": CommandEntry(
        "oriolegate.commands.show", "print the rules, or what they decide"
    ),
    "history": CommandEntry(
        "oriolegate.commands.history", "list the accepted versions of the rules"
    ),
    "version": CommandEntry("oriolegate.commands.version", "print the version"),
}
