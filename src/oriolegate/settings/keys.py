"""Secret keys, read from an environment variable or from a file."""

from collections.abc import Callable
import pathlib

from oriolegate.settings import kinds
from oriolegate.settings.table import ReadResult
from oriolegate.settings.table import Setting
from oriolegate.settings.table import VARIABLE_PREFIX

ReadFile = Callable[[str], str]


def read_text_file(path: str) -> str:
    """Return the content of a UTF-8 text file."""
    return pathlib.Path(path).read_text(encoding="utf-8")


def key_settings(name: str, summary: str) -> tuple[Setting, Setting]:
    """Declare the settings of a key: its variable, and a file to read it from.

    The key itself has no flag, see `Setting.variable_only`.
    """
    return (
        Setting(
            name=name,
            kind=kinds.Key(),
            summary=f"{summary}; the key file takes precedence",
            variable_only=True,
        ),
        Setting(
            name=f"{name}-file",
            kind=kinds.FilePath(),
            summary=f"file with the {summary}",
        ),
    )


def resolve_key(
    read_result: ReadResult, name: str, read_file: ReadFile, required: bool
) -> None:
    """Replace the two settings of a key by its value; a file has precedence.

    Args:
        read_result: Holds the fields `NAME` and `NAME_file`; the latter is
            removed.
        name: Name of the key's setting.
        read_file: Returns the content of the file at a path.
        required: Whether a missing key is an error.
    """
    field = name.replace("-", "_")
    variable = VARIABLE_PREFIX + field.upper()
    label = f"--{name}-file ({variable}_FILE) or {variable}"
    path = read_result.values.pop(f"{field}_file", None)
    allowed = kinds.describe_allowed(kinds.Key())
    if path is None:
        if required and read_result.values.get(field, "") is None:
            read_result.add_error(label, "neither is set", allowed)
        return
    try:
        text = read_file(path).strip()
    except (OSError, UnicodeDecodeError) as error:
        read_result.add_error(
            label, f"can't read {path}: {error}", "a text file"
        )
        return
    result = kinds.read_value(kinds.Key(), text)
    if result.is_ok():
        read_result.values[field] = text
    else:
        read_result.add_error(label, f"{result.error} in {path}", allowed)
