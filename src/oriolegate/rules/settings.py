"""Define the policy settings: their keywords, fields, values and groups."""

import attrs

from oriolegate.models.policy import CoverageMode
from oriolegate.rules.model import PolicyChange
from oriolegate.rules.model import PolicyGroup
from oriolegate.rules.values import format_value
from oriolegate.rules.values import ValueKind


@attrs.frozen
class Setting:
    """One policy setting.

    Attributes:
        keyword: Word for the setting in rules files.
        field: Name of the attribute of `PolicyChange`.
        kind: Syntax of the value.
        group: Group that the setting belongs to.
        minimum: Minimum value, checked for whole numbers only.
    """

    keyword: str
    field: str
    kind: ValueKind
    group: PolicyGroup
    minimum: float = 0


_ANSWER = PolicyGroup.ANSWER
_HEDGE = PolicyGroup.HEDGE
_RETRY = PolicyGroup.RETRY
_LIMIT = PolicyGroup.LIMIT

SETTINGS = (
    Setting("deadline", "deadline_ms", ValueKind.DURATION, _ANSWER),
    Setting("max-deadline", "max_deadline_ms", ValueKind.DURATION, _ANSWER),
    Setting("soft", "soft_deadline_ms", ValueKind.DURATION, _ANSWER),
    Setting("coverage", "coverage_mode", ValueKind.COVERAGE, _ANSWER),
    Setting("min-coverage", "min_coverage", ValueKind.RATIO, _ANSWER),
    Setting("result-limit", "result_limit", ValueKind.COUNT, _ANSWER, 1),
    Setting("quantile", "hedge_quantile", ValueKind.RATIO, _HEDGE),
    Setting("budget", "hedge_budget_ratio", ValueKind.PERCENT, _HEDGE),
    Setting("min-delay", "hedge_min_delay_ms", ValueKind.DURATION, _HEDGE),
    Setting("retry", "retry_ratio", ValueKind.PERCENT, _RETRY),
    Setting("attempts", "max_attempts", ValueKind.COUNT, _RETRY, 1),
    Setting("waiting", "max_waiting", ValueKind.COUNT, _LIMIT, 1),
)
SETTING_BY_WORD = {setting.keyword: setting for setting in SETTINGS}
SWITCH_WORDS = {"on": True, "off": False}
SETTING_WORDS = frozenset(SETTING_BY_WORD) | {"hedge", "limit"}


def groups_of(change: PolicyChange) -> frozenset[PolicyGroup]:
    """Return the groups of the settings that a change sets."""
    groups = {
        setting.group
        for setting in SETTINGS
        if getattr(change, setting.field) is not None
    }
    if change.hedge_enabled is not None:
        groups.add(_HEDGE)
    return frozenset(groups)


def _group_prefix(group: PolicyGroup, change: PolicyChange) -> list[str]:
    match group:
        case PolicyGroup.HEDGE if change.hedge_enabled is not None:
            return ["hedge", "on" if change.hedge_enabled else "off"]
        case PolicyGroup.HEDGE:
            return ["hedge"]
        case PolicyGroup.LIMIT:
            return ["limit"]
        case _:
            return []


def format_change(change: PolicyChange) -> str:
    """Return the settings of a change as text, in the order of `SETTINGS`."""
    words: list[str] = []
    used_groups = groups_of(change)
    for group in PolicyGroup:
        if group not in used_groups:
            continue
        words += _group_prefix(group, change)
        for setting in SETTINGS:
            value: float | int | CoverageMode | None
            value = getattr(change, setting.field)
            if setting.group is group and value is not None:
                words += [setting.keyword, format_value(setting.kind, value)]
    return " ".join(words)
