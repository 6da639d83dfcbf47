"""Settings of the commands that query running processes."""

from collections.abc import Iterable
from collections.abc import Mapping
import enum
from typing import Any

import attrs

from oriolegate.settings import keys
from oriolegate.settings import kinds
from oriolegate.settings.table import read_settings
from oriolegate.settings.table import ReadResult
from oriolegate.settings.table import Setting


class TimelineFormat(enum.Enum):
    """Output format of a timeline."""

    TEXT = "text"
    JSON = "json"
    SVG = "svg"


class StatusFormat(enum.Enum):
    """Output format of the status of processes."""

    TEXT = "text"
    JSON = "json"


@attrs.frozen(kw_only=True)
class ClientSettings:
    """Admin ports of running processes, and the key that they expect.

    Attributes:
        admin: Base URLs of the processes' admin ports.
        admin_key: Bearer token of the requests, or None to send none.
        timeout_ms: Timeout of each request.
    """

    admin: tuple[str, ...]
    admin_key: str | None = attrs.field(repr=False)
    timeout_ms: int

    @property
    def timeout_s(self) -> float:
        """Timeout in seconds, as the standard library expects it."""
        return self.timeout_ms / 1000.0


@attrs.frozen(kw_only=True)
class TimelineSettings(ClientSettings):
    """Settings of `oriolegate timeline`.

    Attributes:
        request: Id of the only request to show, or None for all.
        last_ms: Maximum age of the events to show, relative to the newest
            event; None for all.
        format: See `TimelineFormat`.
        output: File to write, or None for standard output.
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
    *keys.key_settings("admin-key", "key that operators authenticate with"),
    Setting(
        name="timeout-ms",
        kind=kinds.WholeNumber(1, 600_000),
        summary="timeout of the request to each process",
        default="5000",
    ),
)

TIMELINE_SETTINGS: tuple[Setting, ...] = (
    *CLIENT_SETTINGS,
    Setting(
        name="request",
        kind=kinds.Text(),
        summary="show only the request with this id",
    ),
    Setting(
        name="last-ms",
        kind=kinds.WholeNumber(1, 86_400_000),
        summary="show only events at most this much older than the newest",
    ),
    Setting(
        name="format",
        kind=kinds.Choice(TimelineFormat),
        summary="output format of the timeline; svg needs --request",
        default=TimelineFormat.TEXT.value,
    ),
    Setting(
        name="output",
        kind=kinds.FilePath(),
        summary="file to write; if unset, standard output",
    ),
)

STATUS_SETTINGS: tuple[Setting, ...] = (
    *CLIENT_SETTINGS,
    Setting(
        name="format",
        kind=kinds.Choice(StatusFormat),
        summary="output format of the status",
        default=StatusFormat.TEXT.value,
    ),
)


def _read(
    table: Iterable[Setting],
    flags: Mapping[str, Any],
    environ: Mapping[str, str],
    read_file: keys.ReadFile,
) -> ReadResult:
    read_result = read_settings(table, flags, environ)
    keys.resolve_key(read_result, "admin-key", read_file, required=False)
    return read_result


def load_timeline_settings(
    flags: Mapping[str, Any],
    environ: Mapping[str, str],
    read_file: keys.ReadFile = keys.read_text_file,
) -> TimelineSettings:
    """Read and validate the settings of `oriolegate timeline`.

    Raises:
        SettingsError: Lists every invalid setting.
    """
    read_result = _read(TIMELINE_SETTINGS, flags, environ, read_file)
    is_svg = read_result.values.get("format") is TimelineFormat.SVG
    if is_svg and not read_result.has("request"):
        read_result.add_error(
            "--request (ORIOLEGATE_REQUEST)",
            "is not set",
            "a request id, because an svg shows a single request",
        )
    read_result.raise_errors()
    return TimelineSettings(**read_result.values)


def load_status_settings(
    flags: Mapping[str, Any],
    environ: Mapping[str, str],
    read_file: keys.ReadFile = keys.read_text_file,
) -> StatusSettings:
    """Read and validate the settings of `oriolegate status`.

    Raises:
        SettingsError: Lists every invalid setting.
    """
    read_result = _read(STATUS_SETTINGS, flags, environ, read_file)
    read_result.raise_errors()
    return StatusSettings(**read_result.values)
