"""`oriolegate status`: show the status of processes side by side."""

import argparse
from collections.abc import Iterator
from collections.abc import Mapping
import json
import os
from typing import Any

from oriolegate.cli import options
from oriolegate.cli.status_codes import ExitStatus
from oriolegate.commands import request_all
from oriolegate.settings.client import load_status_settings
from oriolegate.settings.client import STATUS_SETTINGS
from oriolegate.settings.client import StatusFormat
from oriolegate.timeline import text_output

ABSENT = "-"


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the command."""
    options.add_settings(parser, STATUS_SETTINGS)


def _render_cell(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(_render_cell(item) for item in value) or ABSENT
    if isinstance(value, (bool, Mapping)):
        return json.dumps(value)
    if value is None or value == "":
        return ABSENT
    return text_output.printable(str(value))


def _flatten(value: Any, name: str = "") -> Iterator[tuple[str, str]]:
    if not isinstance(value, Mapping) or not value:
        yield name, _render_cell(value)
        return
    for key, item in value.items():
        yield from _flatten(item, f"{name}.{key}" if name else str(key))


def status_table(statuses: Mapping[str, Any]) -> str:
    """Render statuses as a table: a row per field, a column per process.

    Args:
        statuses: Status objects by URL; nested fields get dotted names.
    """
    columns = {url: dict(_flatten(plain)) for url, plain in statuses.items()}
    names = dict.fromkeys(
        name for column in columns.values() for name in column
    )
    rows = [("url", *columns)]
    for name in names:
        cells = (column.get(name, ABSENT) for column in columns.values())
        rows.append((text_output.printable(name), *cells))
    return text_output.align(rows)


def run(arguments: argparse.Namespace) -> int:
    """Print the status of each process.

    Returns:
        The exit status: UNAVAILABLE if a process did not answer.
    """
    settings = load_status_settings(vars(arguments), os.environ)
    answers = request_all.request_all(settings, "/status")
    match settings.format:
        case StatusFormat.TEXT:
            print(status_table(answers.received), end="")
        case StatusFormat.JSON:
            print(json.dumps(answers.received, indent=2))
    return ExitStatus.UNAVAILABLE if answers.failed else ExitStatus.SUCCESS
