"""`oriolegate explain`: from a request's id to its cause, over logs.

Reads JSON log lines of any number of VMs, prints those of one request, and
around them what the VM that served it learned about the leafs, the
configuration and the store.
"""

import argparse
from collections.abc import Iterable
from collections.abc import Iterator
import datetime
import pathlib
import sys
from typing import Any
from typing import TextIO

import attrs
import orjson

from oriolegate.cli.status_codes import ExitStatus
from oriolegate.exceptions import CallerInputError

DEFAULT_AROUND_S = 5.0
MS_PER_S = 1_000.0
# Parts whose lines tell what a VM believed, whoever asked.
CONTEXT_PARTS = frozenset({"site", "store", "leafs", "members", "gateway"})
HIDDEN = frozenset({"time", "level", "message", "part"})


@attrs.frozen
class LogLine:
    """One line of a log.

    Attributes:
        source: The file that it came from, or the VM named before it.
        at_ms: Unix time in ms.
        fields: All fields.
    """

    source: str
    at_ms: float
    fields: dict[str, Any]


def _parse(source: str, text: str) -> LogLine | None:
    prefix, brace, rest = text.partition("{")
    if not brace:
        return None
    try:
        fields = orjson.loads(brace + rest)
        moment = datetime.datetime.fromisoformat(fields["time"])
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        return None
    # A collector may put the VM's name before each line.
    names = prefix.split()
    name = names[-1] if names else source
    return LogLine(name, moment.timestamp() * MS_PER_S, fields)


def read_lines(source: str, stream: Iterable[str]) -> Iterator[LogLine]:
    """Read the log lines of one stream; others are left out."""
    for text in stream:
        line = _parse(source, text)
        if line is not None:
            yield line


def related(
    lines: list[LogLine], request_id: str, around_ms: float
) -> list[LogLine]:
    """Return the lines of a request, and what its VM learned around them.

    Args:
        lines: Lines of all VMs.
        request_id: The request.
        around_ms: How far before the request's end context is shown.
    """
    own = [line for line in lines if line.fields.get("id") == request_id]
    found = list(own)
    for line in lines:
        if line.fields.get("part") not in CONTEXT_PARTS:
            continue
        if any(
            line.source == mine.source
            and 0.0 <= mine.at_ms - line.at_ms <= around_ms
            and _concerns(line, mine)
            for mine in own
        ):
            found.append(line)
    return sorted(found, key=lambda line: line.at_ms)


def _concerns(line: LogLine, request: LogLine) -> bool:
    """Return whether a line of context bears on a request."""
    service = line.fields.get("service")
    leaf = line.fields.get("leaf")
    if service is None and leaf is None:
        return True
    named = {
        name
        for decision in request.fields.get("decisions", ())
        for name in decision[2:4]
        if name
    }
    return not named or service in named or leaf in named


def render(line: LogLine) -> list[str]:
    """Render a line, with one more line for each decision."""
    fields = line.fields
    rest = " ".join(
        f"{name}={value}"
        for name, value in fields.items()
        if name not in HIDDEN and name != "decisions"
    )
    text = [
        f"{fields['time']} {line.source} {fields.get('part', '')}: "
        f"{fields.get('message', '')} {rest}".rstrip()
    ]
    for after_ms, *words in fields.get("decisions", ()):
        said = " ".join(word for word in words if word)
        text.append(f"    +{after_ms} ms {said}")
    return text


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the flags."""
    parser.add_argument("id", help="the request's id")
    parser.add_argument(
        "logs", nargs="*", help="log files of VMs; none reads standard input"
    )
    parser.add_argument(
        "--around",
        type=float,
        metavar="SECONDS",
        default=DEFAULT_AROUND_S,
        help="how long before its end context is shown (default: %(default)s)",
    )


def _read_all(paths: list[str], stdin: TextIO) -> list[LogLine]:
    if not paths:
        return list(read_lines("standard input", stdin))
    lines: list[LogLine] = []
    for path in paths:
        try:
            with pathlib.Path(path).open(errors="replace") as stream:
                lines += read_lines(path, stream)
        except OSError as error:
            raise CallerInputError(f"name a readable log: {error}") from error
    return lines


def run(arguments: argparse.Namespace) -> int:
    """Print what the logs tell of a request.

    Returns:
        The exit status; `ERROR` if no line names the request.
    """
    lines = _read_all(arguments.logs, sys.stdin)
    found = related(lines, arguments.id, arguments.around * MS_PER_S)
    for line in found:
        print("\n".join(render(line)))
    if not found:
        print(
            f"no line names {arguments.id}; it may have been lost on its way, "
            "or its VM stopped before it answered",
            file=sys.stderr,
        )
        return ExitStatus.ERROR
    return ExitStatus.SUCCESS
