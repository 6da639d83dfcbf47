"""Logs of the gateway: one JSON object a line, written by Twisted's logger.

`loguru`, which the rest of the product logs with, costs a gateway 2.7 MB of
memory, which is priced on every machine. Twisted's own logger is loaded anyway.
"""

from collections.abc import Callable
import datetime
from typing import Any

import attrs
import orjson
from twisted import logger as twisted_logger

LEVELS = (
    twisted_logger.LogLevel.info,
    twisted_logger.LogLevel.debug,
)
# Key under which an event of ours carries its fields.
FIELDS = "oriolegate_fields"


@attrs.frozen
class BoundLog:
    """A logger of one part with fields for its next line."""

    logger: twisted_logger.Logger
    part: str
    fields: dict[str, Any]

    def bind(self, **fields: Any) -> "BoundLog":
        """Return a logger whose lines have these fields too."""
        return BoundLog(self.logger, self.part, self.fields | fields)

    def info(self, message: str) -> None:
        """Write a line of a usual event."""
        self._emit(twisted_logger.LogLevel.info, message)

    def warning(self, message: str) -> None:
        """Write a line of something that an operator may have to look at."""
        self._emit(twisted_logger.LogLevel.warn, message)

    def _emit(self, level: Any, message: str) -> None:
        fields = {"message": message, "part": self.part, **self.fields}
        self.logger.emit(level, message, **{FIELDS: fields})


def get_logger(part: str) -> BoundLog:
    """Return the logger of one part.

    Args:
        part: Stands in each of its lines, such as `store`.
    """
    return BoundLog(twisted_logger.Logger(namespace=part), part, {})


def _stamp(wall_s: float) -> str:
    moment = datetime.datetime.fromtimestamp(wall_s, datetime.UTC)
    return f"{moment:%Y-%m-%dT%H:%M:%S}.{moment.microsecond // 1000:03d}Z"


def render(event: dict[str, Any]) -> str:
    """Render an event as one line of JSON."""
    fields = event.get(FIELDS)
    if fields is None:
        # Twisted itself reports, such as an error that nobody handled.
        fields = {
            "message": twisted_logger.formatEvent(event),
            "part": "twisted",
        }
        failure = event.get("log_failure")
        if failure is not None:
            fields["exception"] = failure.getTraceback()
    line = {
        "time": _stamp(event["log_time"]),
        "level": event["log_level"].name.upper(),
        **fields,
    }
    return orjson.dumps(line, default=str).decode() + "\n"


def begin(write_line: Callable[[str], None], verbose: int = 0) -> None:
    """Send all lines to one function; call it once in a process.

    Args:
        write_line: Takes a line; must never block.
        verbose: 0 logs from info on, more from debug.
    """
    least = LEVELS[min(verbose, len(LEVELS) - 1)]

    def observe(event: dict[str, Any]) -> None:
        is_own = FIELDS in event
        level = event.get("log_level")
        if level is None or level < least:
            return
        if is_own or level >= twisted_logger.LogLevel.error:
            write_line(render(event))

    twisted_logger.globalLogBeginner.beginLoggingTo(
        [observe], redirectStandardIO=False, discardBuffer=True
    )
