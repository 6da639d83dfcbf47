"""Settings of the logs, shared by all commands that write them."""

import enum

from oriolegate.settings import kinds
from oriolegate.settings.table import Setting

MAX_VERBOSITY = 2


class LogFormat(enum.Enum):
    """How a line of the log is written."""

    TEXT = "text"
    JSON = "json"


LOG_SETTINGS = (
    Setting(
        name="log-format",
        kind=kinds.Choice(LogFormat),
        summary="how lines of the log are written",
        default=LogFormat.TEXT.value,
    ),
    Setting(
        name="verbose",
        kind=kinds.WholeNumber(0, MAX_VERBOSITY),
        summary="log more; repeat for more still",
        default="0",
        repeats=True,
        short_flag="-v",
    ),
)
