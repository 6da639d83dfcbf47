"""Shared keys, read from a variable or from a file."""

from collections.abc import Callable
import pathlib

from oriolegate.settings import kinds
from oriolegate.settings.table import Reading
from oriolegate.settings.table import Setting
from oriolegate.settings.table import VARIABLE_PREFIX

ReadFile = Callable[[str], str]


def read_text_file(path: str) -> str:
    """Return the text of a file."""
    return pathlib.Path(path).read_text(encoding="utf-8")


def key_settings(name: str, summary: str) -> tuple[Setting, Setting]:
    """Declare a key: a variable with its text, or a file that holds it."""
    return (
        Setting(
            name=name,
            kind=kinds.Key(),
            summary=f"{summary}; a file goes before it",
            variable_only=True,
        ),
        Setting(
            name=f"{name}-file",
            kind=kinds.FilePath(),
            summary=f"file with the {summary}",
        ),
    )


def resolve_key(
    reading: Reading, name: str, read_file: ReadFile, required: bool
) -> None:
    """Put the key's text into the reading, from its file if one is named.

    Args:
        reading: Holds the fields `NAME` and `NAME_file`; the latter goes.
        name: The setting's name.
        read_file: Returns the text of a path.
        required: Whether a key that is not set is a fault.
    """
    field = name.replace("-", "_")
    variable = VARIABLE_PREFIX + field.upper()
    label = f"--{name}-file ({variable}_FILE) or {variable}"
    path = reading.values.pop(f"{field}_file", None)
    allowed = kinds.allowed(kinds.Key())
    if path is None:
        if required and reading.values.get(field, "") is None:
            reading.add_fault(label, "neither is set", allowed)
        return
    try:
        text = read_file(path).strip()
    except (OSError, UnicodeDecodeError) as error:
        reading.add_fault(label, f"can't read {path}: {error}", "a text file")
        return
    result = kinds.read_value(kinds.Key(), text)
    if result.is_ok():
        reading.values[field] = text
    else:
        reading.add_fault(label, f"{result.error} in {path}", allowed)
