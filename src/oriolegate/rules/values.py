"""Parse and format values in rules: durations, ratios, counts and times.

Decimals make the conversions exact, so that formatting a file never changes
its meaning.
"""

import datetime
import decimal
import enum
import re

from oriolegate.models.policy import CoverageMode

_NUMBER = re.compile(r"\d+(\.\d+)?")
_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s|m)")
_TIME = re.compile(r"(\d{4}-\d\d-\d\dT\d\d:\d\d(?::\d\d)?)Z")
_UNIT_MS = {"ms": 1, "s": 1_000, "m": 60_000}
_MAX_VALUE_CHARACTERS = 18
_MAX_DURATION_MS = 3_600_000
_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)


class ValueKind(enum.Enum):
    """Syntax of a value; error messages contain the enum value."""

    DURATION = "a time such as 800ms, 2s or 1m"
    RATIO = "a number from 0 to 1 such as 0.9, or 90%"
    PERCENT = "a share such as 5%, or 0.05"
    COUNT = "a whole number"
    COVERAGE = "tail-first or coverage-first"


def _parse_ratio(text: str) -> float:
    number = text.removesuffix("%")
    if not _NUMBER.fullmatch(number):
        raise ValueError(text)
    value = decimal.Decimal(number)
    return float(value / 100 if text.endswith("%") else value)


def _parse_duration(text: str) -> float:
    matched = _DURATION.fullmatch(text)
    if matched is None:
        raise ValueError(text)
    return float(decimal.Decimal(matched[1]) * _UNIT_MS[matched[2]])


def parse_value(kind: ValueKind, text: str) -> float | int | CoverageMode:
    """Parse one value.

    Args:
        kind: Expected syntax.
        text: The word in the file.

    Returns:
        The value; durations are in milliseconds.

    Raises:
        ValueError: If the word has another syntax.
    """
    if len(text) > _MAX_VALUE_CHARACTERS:
        raise ValueError(text)
    match kind:
        case ValueKind.DURATION:
            return _parse_duration(text)
        case ValueKind.RATIO | ValueKind.PERCENT:
            return _parse_ratio(text)
        case ValueKind.COVERAGE:
            return CoverageMode(text)
        case ValueKind.COUNT:
            if not (text.isascii() and text.isdigit()):
                raise ValueError(text)
            return int(text)


def is_in_range(kind: ValueKind, value: float | int | CoverageMode) -> bool:
    """Return whether a value is in the range of a kind of value."""
    match kind:
        case ValueKind.DURATION:
            return 0 < float(str(value)) <= _MAX_DURATION_MS
        case ValueKind.RATIO | ValueKind.PERCENT:
            return 0 <= float(str(value)) <= 1
        case _:
            return True


def _plain(value: decimal.Decimal) -> str:
    return format(value.normalize(), "f")


def format_value(kind: ValueKind, value: float | int | CoverageMode) -> str:
    """Return a value in its canonical form."""
    if isinstance(value, CoverageMode):
        return value.value
    exact = decimal.Decimal(repr(value))
    match kind:
        case ValueKind.DURATION if exact % 1_000 == 0:
            return _plain(exact / 1_000) + "s"
        case ValueKind.DURATION:
            return _plain(exact) + "ms"
        case ValueKind.PERCENT:
            return _plain(exact * 100) + "%"
        case _:
            return _plain(exact)


def parse_time_ms(text: str) -> int:
    """Parse a UTC time such as 2026-12-24T00:00Z.

    Returns:
        Milliseconds since the Unix epoch.

    Raises:
        ValueError: If the text is not a time in this format.
    """
    matched = _TIME.fullmatch(text)
    if matched is None:
        raise ValueError(text)
    parsed = datetime.datetime.fromisoformat(matched[1])
    since_epoch = parsed.replace(tzinfo=datetime.UTC) - _EPOCH
    return since_epoch // datetime.timedelta(milliseconds=1)


def format_time(wall_ms: int) -> str:
    """Format a UTC time; seconds are omitted if they are 0."""
    time = _EPOCH + datetime.timedelta(milliseconds=wall_ms)
    pattern = "%H:%MZ" if time.second == 0 else "%H:%M:%SZ"
    return f"{time:%Y-%m-%dT}".zfill(11) + time.strftime(pattern)
