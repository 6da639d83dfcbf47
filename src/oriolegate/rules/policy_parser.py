"""Parse the policy settings within a line."""

from typing import Any

from oriolegate.rules.cursor import TokenCursor
from oriolegate.rules.errors import RuleErrorCode
from oriolegate.rules.model import PolicyChange
from oriolegate.rules.model import PolicyGroup
from oriolegate.rules.settings import Setting
from oriolegate.rules.settings import SETTING_BY_WORD
from oriolegate.rules.settings import SETTING_WORDS
from oriolegate.rules.settings import SWITCH_WORDS
from oriolegate.rules.values import is_in_range
from oriolegate.rules.values import parse_value

_GROUP_WORDS = {PolicyGroup.HEDGE: "hedge", PolicyGroup.LIMIT: "limit"}


def _parse_setting_value(cursor: TokenCursor, setting: Setting) -> Any:
    value, column = cursor.expect_value(
        setting.kind.value,
        RuleErrorCode.BAD_VALUE,
        lambda text: parse_value(setting.kind, text),
    )
    if value is None:
        return None
    too_small = isinstance(value, int) and value < setting.minimum
    if too_small or not is_in_range(setting.kind, value):
        message = f"{setting.keyword} is out of range; use {setting.kind.value}"
        if too_small:
            message = f"{setting.keyword} must be at least {setting.minimum:g}"
        cursor.add_error(RuleErrorCode.OUT_OF_RANGE, message, column)
    return value


def _parse_setting(
    cursor: TokenCursor, seen_words: set[str], fields: dict[str, Any]
) -> None:
    column = cursor.next_column()
    word = cursor.expect_keyword(SETTING_WORDS)
    if word in seen_words:
        message = f"{word!r} is repeated; keep one"
        cursor.add_error(RuleErrorCode.DUPLICATE, message, column)
    seen_words.add(word)
    if word == "hedge":
        if cursor.peek() in SWITCH_WORDS:
            switch = cursor.expect_keyword(SWITCH_WORDS)
            fields["hedge_enabled"] = SWITCH_WORDS[switch]
        else:
            _expect_setting_of(cursor, PolicyGroup.HEDGE)
        return
    if word == "limit":
        _expect_setting_of(cursor, PolicyGroup.LIMIT)
        return
    setting = SETTING_BY_WORD[word]
    group_word = _GROUP_WORDS.get(setting.group)
    if group_word is not None and group_word not in seen_words:
        message = (
            f"{word!r} belongs after {group_word!r}; write {group_word} {word}"
        )
        cursor.add_error(RuleErrorCode.MISSING_WORD, message, column)
    fields[setting.field] = _parse_setting_value(cursor, setting)


def _expect_setting_of(cursor: TokenCursor, group: PolicyGroup) -> None:
    words = {w for w, s in SETTING_BY_WORD.items() if s.group is group}
    if group is PolicyGroup.HEDGE:
        words |= set(SWITCH_WORDS)
    if cursor.peek() not in words:
        cursor.expect_keyword(words)


def parse_change(cursor: TokenCursor) -> PolicyChange:
    """Parse settings up to `until` or the end of the line.

    Args:
        cursor: Cursor at the first setting.

    Raises:
        LineError: If the rest of the line can't be parsed.
    """
    fields: dict[str, Any] = {}
    seen_words: set[str] = set()
    column = cursor.next_column()
    _parse_setting(cursor, seen_words, fields)
    while cursor.peek() is not None and cursor.peek() != "until":
        _parse_setting(cursor, seen_words, fields)
    change = PolicyChange(**fields)
    soft, hard = change.soft_deadline_ms, change.deadline_ms
    if soft is not None and hard is not None and soft > hard:
        message = "soft is later than deadline; make it shorter"
        cursor.add_error(RuleErrorCode.CONTRADICTION, message, column)
    longest = change.max_deadline_ms
    if longest is not None and hard is not None and hard > longest:
        message = "deadline is longer than max-deadline; make it shorter"
        cursor.add_error(RuleErrorCode.CONTRADICTION, message, column)
    return change
