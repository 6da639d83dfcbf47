"""Declaration of settings, and reading them from flags and variables.

A flag takes precedence over its environment variable, and the variable over
the default. Errors are collected, so that one start reports them all.
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
    """Declaration of one setting.

    Attributes:
        name: Hyphenated name, as in the flag.
        kind: Kind of value.
        summary: Description for the help page.
        default: Default as text, parsed like a user's value; None for none.
        required: Whether a missing value is an error.
        variable_only: Whether there is no flag, because other users of a
            machine can read the arguments of a process.
        repeats: Whether the flag is counted instead of taking a value.
        short_flag: Short flag such as `-v`, or empty.
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
        """Name of the settings class's attribute for the value."""
        return self.name.replace("-", "_")

    @property
    def flag(self) -> str:
        """Long flag, such as `--peer-port`."""
        return f"--{self.name}"

    @property
    def variable(self) -> str:
        """Environment variable, such as `ORIOLEGATE_PEER_PORT`."""
        return VARIABLE_PREFIX + self.field.upper()

    @property
    def label(self) -> str:
        """Flag and environment variable, for error messages."""
        if self.variable_only:
            return self.variable
        return f"{self.flag} ({self.variable})"


@attrs.frozen
class InvalidSetting:
    """A missing or invalid setting.

    Attributes:
        label: Flags and variables concerned.
        problem: What is wrong.
        allowed: Description of the valid values.
    """

    label: str
    problem: str
    allowed: str

    def __str__(self) -> str:
        """Return one line for an error message."""
        return f"{self.label}: {self.problem}; allowed: {self.allowed}"


@attrs.define
class ReadResult:
    """Values by field, and the errors found so far.

    Attributes:
        values: Parsed values; None where a setting is not set. A field is
            missing where its value is invalid.
        errors: Invalid settings.
    """

    values: dict[str, Any] = attrs.field(factory=dict)
    errors: list[InvalidSetting] = attrs.field(factory=list)

    def add_error(self, label: str, problem: str, allowed: str) -> None:
        """Record an invalid setting."""
        self.errors.append(InvalidSetting(label, problem, allowed))

    def has(self, *fields: str) -> bool:
        """Return whether all fields named are set and valid."""
        return all(self.values.get(field) is not None for field in fields)

    def raise_errors(self) -> None:
        """Raise one exception for all errors, if there are any.

        Raises:
            SettingsError: The message has one line for each error.
        """
        if self.errors:
            raise SettingsError(render_errors(self.errors))


def render_errors(errors: Sequence[InvalidSetting]) -> str:
    """Return the message of a `SettingsError`, one line for each error."""
    count = len(errors)
    head = "1 setting is" if count == 1 else f"{count} settings are"
    lines = [f"  {error}" for error in errors]
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
) -> ReadResult:
    """Read every setting of a table.

    Args:
        table: Settings to read.
        flags: Flag values by field; None where a flag is not given.
        environ: Environment variables.

    Returns:
        The values, and the errors of the settings that can't be used.
    """
    read_result = ReadResult()
    for setting in table:
        text, origin = _find_text(setting, flags, environ)
        allowed = kinds.describe_allowed(setting.kind)
        if text is None:
            read_result.values[setting.field] = None
            if setting.required:
                read_result.add_error(setting.label, "is not set", allowed)
            continue
        result = kinds.read_value(setting.kind, text)
        if result.is_ok():
            read_result.values[setting.field] = result.ok
        else:
            problem = f"{result.error} {origin}"
            read_result.add_error(setting.label, problem, allowed)
    return read_result
