"""Log settings, shared by all commands that write logs."""

import enum

from oriolegate.settings import kinds
from oriolegate.settings.table import Setting

MAX_VERBOSITY = 2


class LogFormat(enum.Enum):
    """Format of a log line."""

    TEXT = "text"
    JSON = "json"


LOG_SETTINGS = (
    Setting(
        name="log-format",
        kind=kinds.Choice(LogFormat),
        summary="format of the log lines",
        default=LogFormat.TEXT.value,
    ),
    Setting(
        name="verbose",
        kind=kinds.WholeNumber(0, MAX_VERBOSITY),
        summary="log more; repeat to log even more",
        default="0",
        repeats=True,
        short_flag="-v",
    ),
)
