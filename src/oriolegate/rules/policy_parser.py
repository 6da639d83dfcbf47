"""Parses the settings of a service policy within a line."""

from typing import Any

from oriolegate.rules.cursor import TokenCursor
from oriolegate.rules.errors import RuleErrorCode
from oriolegate.rules.model import PolicyChange
from oriolegate.rules.model import PolicyGroup
from oriolegate.rules.settings import Setting
from oriolegate.rules.settings import SETTING_BY_WORD
from oriolegate.rules.settings import SETTING_WORDS
from oriolegate.rules.settings import SWITCH_WORDS
from oriolegate.rules.values import in_range
from oriolegate.rules.values import read_value

_OPENING_WORDS = {PolicyGroup.HEDGE: "hedge", PolicyGroup.LIMIT: "limit"}


def _parse_value(cursor: TokenCursor, setting: Setting) -> Any:
    value, column = cursor.convert(
        setting.kind.value,
        RuleErrorCode.BAD_VALUE,
        lambda text: read_value(setting.kind, text),
    )
    if value is None:
        return None
    too_small = isinstance(value, int) and value < setting.minimum
    if too_small or not in_range(setting.kind, value):
        message = f"{setting.words} is out of range; use {setting.kind.value}"
        if too_small:
            message = f"{setting.words} must be at least {setting.minimum:g}"
        cursor.note(RuleErrorCode.OUT_OF_RANGE, message, column)
    return value


def _parse_setting(
    cursor: TokenCursor, opened: set[str], fields: dict[str, Any]
) -> None:
    column = cursor.column()
    word = cursor.keyword(SETTING_WORDS)
    if word in opened:
        message = f"{word!r} stands twice; keep one"
        cursor.note(RuleErrorCode.DUPLICATE, message, column)
    opened.add(word)
    if word == "hedge":
        if cursor.peek() in SWITCH_WORDS:
            switch = cursor.keyword(SWITCH_WORDS)
            fields["hedge_enabled"] = SWITCH_WORDS[switch]
        else:
            _require_next(cursor, PolicyGroup.HEDGE)
        return
    if word == "limit":
        _require_next(cursor, PolicyGroup.LIMIT)
        return
    setting = SETTING_BY_WORD[word]
    opening = _OPENING_WORDS.get(setting.group)
    if opening is not None and opening not in opened:
        message = f"{word!r} belongs after {opening!r}; write {opening} {word}"
        cursor.note(RuleErrorCode.MISSING_WORD, message, column)
    fields[setting.field] = _parse_value(cursor, setting)


def _require_next(cursor: TokenCursor, group: PolicyGroup) -> None:
    words = {w for w, s in SETTING_BY_WORD.items() if s.group is group}
    if group is PolicyGroup.HEDGE:
        words |= set(SWITCH_WORDS)
    if cursor.peek() not in words:
        cursor.keyword(words)


def parse_change(cursor: TokenCursor) -> PolicyChange:
    """Parse settings up to `until` or the end of the line.

    Args:
        cursor: Stands before the first setting.

    Returns:
        What the settings change.

    Raises:
        LineError: If the line can't be understood.
    """
    fields: dict[str, Any] = {}
    opened: set[str] = set()
    column = cursor.column()
    _parse_setting(cursor, opened, fields)
    while cursor.peek() is not None and cursor.peek() != "until":
        _parse_setting(cursor, opened, fields)
    change = PolicyChange(**fields)
    soft, hard = change.soft_deadline_ms, change.deadline_ms
    if soft is not None and hard is not None and soft > hard:
        message = "soft is later than deadline; make it shorter"
        cursor.note(RuleErrorCode.CONTRADICTION, message, column)
    longest = change.max_deadline_ms
    if longest is not None and hard is not None and hard > longest:
        message = "deadline is longer than max-deadline; make it shorter"
        cursor.note(RuleErrorCode.CONTRADICTION, message, column)
    return change
