"""Logging of the gateway: one JSON object per line, by Twisted's logger.

`loguru`, which the rest of the product uses, would cost a gateway 2.7 MB of
memory, and memory is paid for on every machine. Twisted's logger is loaded
anyway.
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
# Key of the line's fields in a Twisted log event; Twisted's own events lack
# this key.
FIELDS_KEY = "oriolegate_fields"


@attrs.frozen
class BoundLog:
    """Logger of one part, with fields that are added to each line."""

    logger: twisted_logger.Logger
    part: str
    fields: dict[str, Any]

    def bind(self, **fields: Any) -> "BoundLog":
        """Return a logger that also adds these fields."""
        return BoundLog(self.logger, self.part, self.fields | fields)

    def info(self, message: str) -> None:
        """Log a normal event."""
        self._emit(twisted_logger.LogLevel.info, message)

    def warning(self, message: str) -> None:
        """Log an event that may need an operator's attention."""
        self._emit(twisted_logger.LogLevel.warn, message)

    def _emit(self, level: Any, message: str) -> None:
        fields = {"message": message, "part": self.part, **self.fields}
        self.logger.emit(level, message, **{FIELDS_KEY: fields})


def get_logger(part: str) -> BoundLog:
    """Return the logger of one part.

    Args:
        part: Value of the field `part` in each line, such as `store`.
    """
    return BoundLog(twisted_logger.Logger(namespace=part), part, {})


def _timestamp(wall_s: float) -> str:
    utc_time = datetime.datetime.fromtimestamp(wall_s, datetime.UTC)
    return f"{utc_time:%Y-%m-%dT%H:%M:%S}.{utc_time.microsecond // 1000:03d}Z"


def render(event: dict[str, Any]) -> str:
    """Render an event as one line of JSON."""
    fields = event.get(FIELDS_KEY)
    if fields is None:
        # An event of Twisted itself, such as an unhandled error.
        fields = {
            "message": twisted_logger.formatEvent(event),
            "part": "twisted",
        }
        failure = event.get("log_failure")
        if failure is not None:
            fields["exception"] = failure.getTraceback()
    line = {
        "time": _timestamp(event["log_time"]),
        "level": event["log_level"].name.upper(),
        **fields,
    }
    return orjson.dumps(line, default=str).decode() + "\n"


def start_logging(write_line: Callable[[str], None], verbose: int = 0) -> None:
    """Send all lines to one function; call it once in a process.

    Args:
        write_line: Receives each line; must not block.
        verbose: Lowest level logged: 0 for info, more for debug.
    """
    lowest_level = LEVELS[min(verbose, len(LEVELS) - 1)]

    def observe(event: dict[str, Any]) -> None:
        has_fields = FIELDS_KEY in event
        level = event.get("log_level")
        if level is None or level < lowest_level:
            return
        if has_fields or level >= twisted_logger.LogLevel.error:
            write_line(render(event))

    twisted_logger.globalLogBeginner.beginLoggingTo(
        [observe], redirectStandardIO=False, discardBuffer=True
    )
