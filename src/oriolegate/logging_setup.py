"""Logging: a logger for each part of the program; one sink, standard error.

What a command prints for its user goes to standard output, without a logger.
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
MAX_REPEAT_KEYS = 1_000


def get_logger(part: str) -> "loguru.Logger":
    """Return the logger of one part.

    Args:
        part: Prefix of the logger's lines, such as `peers`.
    """
    return logger.bind(part=part)


def _timestamp(record: dict[str, Any]) -> str:
    utc_time = record["time"].astimezone(datetime.UTC)
    return f"{utc_time:%Y-%m-%dT%H:%M:%S}.{utc_time.microsecond // 1000:03d}Z"


def _exception_text(record: dict[str, Any]) -> str:
    raised = record["exception"]
    if raised is None:
        return ""
    return "".join(
        traceback.format_exception(raised.type, raised.value, raised.traceback)
    )


def text_line(record: dict[str, Any]) -> str:
    """Render a record as one line, followed by the traceback, if any."""
    part = record["extra"].get("part", "main")
    # A line end in a message could forge a log line of another part.
    message = record["message"].replace("\r", "\\r").replace("\n", "\\n")
    level = record["level"].name
    line = f"{_timestamp(record)} {level:<7} {part}: {message}\n"
    return line + _exception_text(record)


def json_line(record: dict[str, Any]) -> str:
    """Render a record as one JSON object."""
    line = {
        "time": _timestamp(record),
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
        log_format: Format of a line.
        verbose: Lowest level logged: 0 for INFO, 1 for DEBUG, 2 for TRACE.
        stream: Receives the lines; None for standard error.
    """
    target = sys.stderr if stream is None else stream
    render = json_line if log_format is LogFormat.JSON else text_line

    def write(message: "loguru.Message") -> None:
        target.write(render(message.record))  # type: ignore[arg-type]
        target.flush()

    logger.remove()
    # `diagnose` would log the values of variables, including secret keys.
    logger.add(
        write,
        level=LEVELS[min(verbose, len(LEVELS) - 1)],
        format="{message}",
        diagnose=False,
        backtrace=False,
    )


def log_twisted_event(event: dict[str, Any]) -> None:
    """Log an event of Twisted's own log, such as an unhandled error."""
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
    """Forward Twisted's own log to loguru; call it once in a process."""
    from twisted import logger as twisted_logger

    twisted_logger.globalLogBeginner.beginLoggingTo(
        [log_twisted_event], redirectStandardIO=False
    )


class RepeatLimiter:
    """Rate limiter that logs one message for each key and interval.

    Attributes:
        log: Logger of the messages that pass.
        interval_ms: Minimum interval between two messages with the same key.
        last_ms: When a message of each key was last logged, oldest first.
        suppressed: Number of messages of each key suppressed since then.
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
        self.suppressed: dict[str, int] = {}

    def warning(self, key: str, message: str) -> None:
        """Log a warning unless `key` was already logged within the interval.

        Args:
            key: Messages with the same key count as repeats.
            message: Message to log.
        """
        now_ms = self.clock.now_ms()
        last_ms = self.last_ms.get(key)
        if last_ms is not None and now_ms - last_ms < self.interval_ms:
            self.suppressed[key] = self.suppressed.get(key, 0) + 1
            return
        if last_ms is None and len(self.last_ms) >= MAX_REPEAT_KEYS:
            self._drop_oldest_key()
        self.last_ms.pop(key, None)
        self.last_ms[key] = now_ms
        count = self.suppressed.pop(key, 0)
        suffix = f" ({count} similar messages suppressed)" if count else ""
        self.log.warning("{}{}", message, suffix)

    def _drop_oldest_key(self) -> None:
        oldest = next(iter(self.last_ms))
        del self.last_ms[oldest]
        self.suppressed.pop(oldest, None)
