"""Declared settings, and reading them from flags and variables.

A flag goes before its environment variable, and that before the default.
Every fault is gathered, so that one start shows them all.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

import attrs

from oriolegate.exceptions import SettingsError
from oriolegate.settings import kinds

VARIABLE_PREFIX = "ORIOLEGATE_"


@attrs.frozen
class Setting:
    """One setting.

    Attributes:
        name: Words with hyphens, as in the flag.
        kind: What it takes.
        summary: For the help page.
        default: Read like a value of the user; None if there is none.
        required: Whether a start without it is refused.
        variable_only: No flag, because other users of a machine can read
            the arguments of a process.
        repeats: The flag is counted instead of taking a value.
        short_flag: Such as `-v`, or empty.
    """

    name: str
    kind: kinds.Kind
    summary: str
    default: str | None = None
    required: bool = False
    variable_only: bool = False
    repeats: bool = False
    short_flag: str = ""

    @property
    def field(self) -> str:
        """Name of the attribute that holds the value."""
        return self.name.replace("-", "_")

    @property
    def flag(self) -> str:
        """The long flag."""
        return f"--{self.name}"

    @property
    def variable(self) -> str:
        """The environment variable."""
        return VARIABLE_PREFIX + self.field.upper()

    @property
    def label(self) -> str:
        """Flag and variable, for faults and help pages."""
        if self.variable_only:
            return self.variable
        return f"{self.flag} ({self.variable})"


@attrs.frozen
class Fault:
    """A setting that can't be used.

    Attributes:
        label: The flags and variables concerned.
        problem: What was found.
        allowed: What would be accepted.
    """

    label: str
    problem: str
    allowed: str

    def __str__(self) -> str:
        """Return one line."""
        return f"{self.label}: {self.problem}; allowed: {self.allowed}"


@attrs.define
class Reading:
    """Values by field, and the faults found so far."""

    values: dict[str, Any] = attrs.field(factory=dict)
    faults: list[Fault] = attrs.field(factory=list)

    def add_fault(self, label: str, problem: str, allowed: str) -> None:
        """Keep one fault."""
        self.faults.append(Fault(label, problem, allowed))

    def has(self, *fields: str) -> bool:
        """Return whether all of these fields were read and are set."""
        return all(self.values.get(field) is not None for field in fields)

    def raise_faults(self) -> None:
        """Raise all faults at once, if there are any.

        Raises:
            SettingsError: With one line for each fault.
        """
        if self.faults:
            raise SettingsError(faults_text(self.faults))


def faults_text(faults: Sequence[Fault]) -> str:
    """Render faults for the person who starts the program."""
    count = len(faults)
    head = "1 setting is" if count == 1 else f"{count} settings are"
    lines = [f"  {fault}" for fault in faults]
    return "\n".join([f"{head} wrong; correct and start again:", *lines])


def _find_text(
    setting: Setting, flags: Mapping[str, Any], environ: Mapping[str, str]
) -> tuple[str | None, str]:
    given = flags.get(setting.field)
    if isinstance(given, list):
        return ",".join(given), "from the flags"
    if given is not None:
        return str(given), "from the flag"
    if setting.variable in environ:
        return environ[setting.variable], "from the variable"
    return setting.default, "by default"


def read_settings(
    table: Iterable[Setting],
    flags: Mapping[str, Any],
    environ: Mapping[str, str],
) -> Reading:
    """Read every setting of a table.

    Args:
        table: The settings.
        flags: Values of flags by field; None where a flag was not given.
        environ: The environment variables.

    Returns:
        What was read and what was wrong.
    """
    reading = Reading()
    for setting in table:
        text, origin = _find_text(setting, flags, environ)
        allowed = kinds.allowed(setting.kind)
        if text is None:
            reading.values[setting.field] = None
            if setting.required:
                reading.add_fault(setting.label, "is not set", allowed)
            continue
        result = kinds.read_value(setting.kind, text)
        if result.is_ok():
            reading.values[setting.field] = result.ok
        else:
            problem = f"{result.error} {origin}"
            reading.add_fault(setting.label, problem, allowed)
    return reading
