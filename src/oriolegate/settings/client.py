"""Settings of the commands that ask running processes."""

from collections.abc import Iterable
from collections.abc import Mapping
import enum
from typing import Any

import attrs

from oriolegate.settings import keys
from oriolegate.settings import kinds
from oriolegate.settings.table import read_settings
from oriolegate.settings.table import Reading
from oriolegate.settings.table import Setting


class TimelineFormat(enum.Enum):
    """How a time line is written."""

    TEXT = "text"
    JSON = "json"
    SVG = "svg"


class StatusFormat(enum.Enum):
    """How the status of processes is written."""

    TEXT = "text"
    JSON = "json"


@attrs.frozen(kw_only=True)
class ClientSettings:
    """Where running processes are, and the key to ask them.

    Attributes:
        admin: Base URLs of the processes' admin ports.
        admin_key: What the processes expect, or None.
        timeout_ms: How long one process may take to answer.
    """

    admin: tuple[str, ...]
    admin_key: str | None = attrs.field(repr=False)
    timeout_ms: int

    @property
    def timeout_s(self) -> float:
        """The timeout in seconds, for the standard library."""
        return self.timeout_ms / 1000.0


@attrs.frozen(kw_only=True)
class TimelineSettings(ClientSettings):
    """Settings of `oriolegate timeline`.

    Attributes:
        request: Show this request only, or None.
        last_ms: Show the newest part only, or None.
        format: See `TimelineFormat`.
        output: File to write, or None for the standard output.
    """

    request: str | None
    last_ms: int | None
    format: TimelineFormat
    output: str | None


@attrs.frozen(kw_only=True)
class StatusSettings(ClientSettings):
    """Settings of `oriolegate status`.

    Attributes:
        format: See `StatusFormat`.
    """

    format: StatusFormat


CLIENT_SETTINGS: tuple[Setting, ...] = (
    Setting(
        name="admin",
        kind=kinds.UrlList(),
        summary="URL of a process's admin port; repeat for more processes",
        required=True,
    ),
    *keys.key_settings("admin-key", "key that operators present"),
    Setting(
        name="timeout-ms",
        kind=kinds.WholeNumber(1, 600_000),
        summary="how long one process may take to answer",
        default="5000",
    ),
)

TIMELINE_SETTINGS: tuple[Setting, ...] = (
    *CLIENT_SETTINGS,
    Setting(
        name="request",
        kind=kinds.Text(),
        summary="show the request of this id only",
    ),
    Setting(
        name="last-ms",
        kind=kinds.WholeNumber(1, 86_400_000),
        summary="show only this long before the newest event",
    ),
    Setting(
        name="format",
        kind=kinds.Choice(TimelineFormat),
        summary="how the time line is written; svg needs --request",
        default=TimelineFormat.TEXT.value,
    ),
    Setting(
        name="output",
        kind=kinds.FilePath(),
        summary="file to write; unset takes the standard output",
    ),
)

STATUS_SETTINGS: tuple[Setting, ...] = (
    *CLIENT_SETTINGS,
    Setting(
        name="format",
        kind=kinds.Choice(StatusFormat),
        summary="how the status is written",
        default=StatusFormat.TEXT.value,
    ),
)


def _read(
    table: Iterable[Setting],
    flags: Mapping[str, Any],
    environ: Mapping[str, str],
    read_file: keys.ReadFile,
) -> Reading:
    reading = read_settings(table, flags, environ)
    keys.resolve_key(reading, "admin-key", read_file, required=False)
    return reading


def load_timeline_settings(
    flags: Mapping[str, Any],
    environ: Mapping[str, str],
    read_file: keys.ReadFile = keys.read_text_file,
) -> TimelineSettings:
    """Read and check the settings of `oriolegate timeline`.

    Raises:
        SettingsError: With every fault that was found.
    """
    reading = _read(TIMELINE_SETTINGS, flags, environ, read_file)
    is_svg = reading.values.get("format") is TimelineFormat.SVG
    if is_svg and not reading.has("request"):
        reading.add_fault(
            "--request (ORIOLEGATE_REQUEST)",
            "is not set",
            "a request id, because a picture shows one request",
        )
    reading.raise_faults()
    return TimelineSettings(**reading.values)


def load_status_settings(
    flags: Mapping[str, Any],
    environ: Mapping[str, str],
    read_file: keys.ReadFile = keys.read_text_file,
) -> StatusSettings:
    """Read and check the settings of `oriolegate status`.

    Raises:
        SettingsError: With every fault that was found.
    """
    reading = _read(STATUS_SETTINGS, flags, environ, read_file)
    reading.raise_faults()
    return StatusSettings(**reading.values)
