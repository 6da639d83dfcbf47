"""Logs: one logger for each part, and one sink on the standard error.

Text that a command prints for its user goes to the standard output and never
through here.
"""

import datetime
import sys
import traceback
from typing import Any
from typing import TextIO
from typing import TYPE_CHECKING

from loguru import logger
import orjson

from oriolegate.clock import Clock
from oriolegate.settings.logs import LogFormat

if TYPE_CHECKING:
    import loguru

LEVELS = ("INFO", "DEBUG", "TRACE")
REPEAT_INTERVAL_MS = 10_000.0
REPEAT_KEYS_MAX = 1_000


def get_logger(part: str) -> "loguru.Logger":
    """Return the logger of one part.

    Args:
        part: The fixed prefix of its lines, such as `peers`.
    """
    return logger.bind(part=part)


def _stamp(record: dict[str, Any]) -> str:
    moment = record["time"].astimezone(datetime.UTC)
    return f"{moment:%Y-%m-%dT%H:%M:%S}.{moment.microsecond // 1000:03d}Z"


def _exception_text(record: dict[str, Any]) -> str:
    raised = record["exception"]
    if raised is None:
        return ""
    return "".join(
        traceback.format_exception(raised.type, raised.value, raised.traceback)
    )


def text_line(record: dict[str, Any]) -> str:
    """Render a record as one line, and the lines of an exception after it."""
    part = record["extra"].get("part", "main")
    # Line ends in a message could pass for another part's line.
    message = record["message"].replace("\r", "\\r").replace("\n", "\\n")
    level = record["level"].name
    line = f"{_stamp(record)} {level:<7} {part}: {message}\n"
    return line + _exception_text(record)


def json_line(record: dict[str, Any]) -> str:
    """Render a record as one JSON object."""
    line = {
        "time": _stamp(record),
        "level": record["level"].name,
        "message": record["message"],
        **record["extra"],
    }
    exception = _exception_text(record)
    if exception:
        line["exception"] = exception
    return orjson.dumps(line, default=str).decode() + "\n"


def setup_logging(
    log_format: LogFormat = LogFormat.TEXT,
    verbose: int = 0,
    stream: TextIO | None = None,
) -> None:
    """Send the logs of all parts to one stream.

    Args:
        log_format: How a line is written.
        verbose: 0 logs from INFO on, 1 from DEBUG, 2 from TRACE.
        stream: Where to; None takes the standard error.
    """
    target = sys.stderr if stream is None else stream
    render = json_line if log_format is LogFormat.JSON else text_line

    def write(message: "loguru.Message") -> None:
        target.write(render(message.record))  # type: ignore[arg-type]
        target.flush()

    logger.remove()
    # `diagnose` would print the values of variables, keys among them.
    logger.add(
        write,
        level=LEVELS[min(verbose, len(LEVELS) - 1)],
        format="{message}",
        diagnose=False,
        backtrace=False,
    )


def log_twisted_event(event: dict[str, Any]) -> None:
    """Log what Twisted reports, such as an error that nobody handled."""
    from twisted import logger as twisted_logger

    failure = event.get("log_failure")
    level = event.get("log_level")
    is_serious = level is not None and level >= twisted_logger.LogLevel.error
    log = get_logger("twisted")
    text = twisted_logger.formatEvent(event) or event.get("log_format") or ""
    if failure is not None:
        trace = failure.getTracebackObject()
        raised = (failure.type, failure.value, trace)
        log.opt(exception=raised).error("{}", text)
    elif is_serious:
        log.error("{}", text)
    else:
        log.debug("{}", text)


def forward_twisted_logs() -> None:
    """Send Twisted's own log to ours; call it once, in a serving process."""
    from twisted import logger as twisted_logger

    twisted_logger.globalLogBeginner.beginLoggingTo(
        [log_twisted_event], redirectStandardIO=False
    )


class RepeatLimiter:
    """Passes one message for each key and interval, and counts the others.

    Attributes:
        log: Where passed messages go.
        interval_ms: Least time between two messages of one key.
    """

    def __init__(
        self,
        log: "loguru.Logger",
        clock: Clock,
        interval_ms: float = REPEAT_INTERVAL_MS,
    ) -> None:
        self.log = log
        self.clock = clock
        self.interval_ms = interval_ms
        self.last_ms: dict[str, float] = {}
        self.held_back: dict[str, int] = {}

    def warning(self, key: str, message: str) -> None:
        """Log a warning unless one of this key was logged just before.

        Args:
            key: Messages of one key count as repeats.
            message: The sentence.
        """
        now_ms = self.clock.now_ms()
        last_ms = self.last_ms.get(key)
        if last_ms is not None and now_ms - last_ms < self.interval_ms:
            self.held_back[key] = self.held_back.get(key, 0) + 1
            return
        if last_ms is None and len(self.last_ms) >= REPEAT_KEYS_MAX:
            self._drop_oldest_key()
        self.last_ms.pop(key, None)
        self.last_ms[key] = now_ms
        count = self.held_back.pop(key, 0)
        suffix = f" ({count} more like it before)" if count else ""
        self.log.warning("{}{}", message, suffix)

    def _drop_oldest_key(self) -> None:
        oldest = next(iter(self.last_ms))
        del self.last_ms[oldest]
        self.held_back.pop(oldest, None)
