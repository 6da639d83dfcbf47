"""`oriolegate explain`: show the log lines about a request.

Reads JSON log lines of any number of VMs and prints those of one request. As
context, it adds what the VM that served it logged shortly before about the
leafs, the configuration and the store.
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
# Parts whose lines describe the state of a VM, not of a single request.
CONTEXT_PARTS = frozenset({"site", "store", "leafs", "members", "gateway"})
HIDDEN_FIELDS = frozenset({"time", "level", "message", "part"})


@attrs.frozen
class LogLine:
    """One log line.

    Attributes:
        source: VM named in front of the line, or else the file of the line.
        at_ms: Unix time in milliseconds.
        fields: All fields of the JSON object.
    """

    source: str
    at_ms: float
    fields: dict[str, Any]


def _parse(source: str, text: str) -> LogLine | None:
    prefix, brace, json_rest = text.partition("{")
    if not brace:
        return None
    try:
        fields = orjson.loads(brace + json_rest)
        logged_at = datetime.datetime.fromisoformat(fields["time"])
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        return None
    # A log collector may prefix each line with the VM's name.
    names = prefix.split()
    name = names[-1] if names else source
    return LogLine(name, logged_at.timestamp() * MS_PER_S, fields)


def read_lines(source: str, stream: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines of one stream; skip lines that are not JSON logs."""
    for text in stream:
        line = _parse(source, text)
        if line is not None:
            yield line


def select_lines(
    lines: list[LogLine], request_id: str, around_ms: float
) -> list[LogLine]:
    """Return the lines of a request and their context, ordered by time.

    Args:
        lines: Lines of all VMs.
        request_id: Id of the request.
        around_ms: Length of the context: how long before a line of the
            request, which is logged when the request ends, lines of the same
            VM are included.
    """
    request_lines = [
        line for line in lines if line.fields.get("id") == request_id
    ]
    selected = list(request_lines)
    for line in lines:
        if line.fields.get("part") not in CONTEXT_PARTS:
            continue
        if any(
            line.source == request.source
            and 0.0 <= request.at_ms - line.at_ms <= around_ms
            and _is_relevant(line, request)
            for request in request_lines
        ):
            selected.append(line)
    return sorted(selected, key=lambda line: line.at_ms)


def _is_relevant(line: LogLine, request: LogLine) -> bool:
    """Return whether a context line is about leafs or services of a request.

    Lines that name neither a leaf nor a service are relevant to each request.
    """
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
    """Render a log line, followed by one line for each decision."""
    fields = line.fields
    other_fields = " ".join(
        f"{name}={value}"
        for name, value in fields.items()
        if name not in HIDDEN_FIELDS and name != "decisions"
    )
    text = [
        f"{fields['time']} {line.source} {fields.get('part', '')}: "
        f"{fields.get('message', '')} {other_fields}".rstrip()
    ]
    for after_ms, *words in fields.get("decisions", ()):
        decision = " ".join(word for word in words if word)
        text.append(f"    +{after_ms} ms {decision}")
    return text


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the command."""
    parser.add_argument("id", help="the request's id")
    parser.add_argument(
        "logs", nargs="*", help="log files of VMs; if none, standard input"
    )
    parser.add_argument(
        "--around",
        type=float,
        metavar="SECONDS",
        default=DEFAULT_AROUND_S,
        help="length of the context before the request's end "
        "(default: %(default)s)",
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
            raise CallerInputError(f"a log can't be read: {error}") from error
    return lines


def run(arguments: argparse.Namespace) -> int:
    """Print the log lines about a request.

    Returns:
        The exit status; `ERROR` if no line names the request.
    """
    lines = _read_all(arguments.logs, sys.stdin)
    selected = select_lines(lines, arguments.id, arguments.around * MS_PER_S)
    for line in selected:
        print("\n".join(render(line)))
    if not selected:
        print(
            f"no line names {arguments.id}; the request may not have reached a "
            "VM, or its VM stopped before answering it",
            file=sys.stderr,
        )
        return ExitStatus.ERROR
    return ExitStatus.SUCCESS
