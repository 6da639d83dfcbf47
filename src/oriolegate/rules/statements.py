"""Parse one rule: the statement on a line and its `asked-by` comment."""

from collections.abc import Callable
import re

from oriolegate.models.policy import Priority
from oriolegate.rules.cursor import LineError
from oriolegate.rules.cursor import TokenCursor
from oriolegate.rules.errors import RuleErrorCode
from oriolegate.rules.model import Asker
from oriolegate.rules.model import IndexTarget
from oriolegate.rules.model import MirrorRule
from oriolegate.rules.model import PolicyTarget
from oriolegate.rules.model import PriorityRule
from oriolegate.rules.model import RouteRule
from oriolegate.rules.model import Rule
from oriolegate.rules.model import ServiceRule
from oriolegate.rules.model import TakeOutKind
from oriolegate.rules.model import TakeOutRule
from oriolegate.rules.model import TrialRule
from oriolegate.rules.model import TrialTarget
from oriolegate.rules.model import UpstreamTarget
from oriolegate.rules.policy_parser import parse_change
from oriolegate.rules.settings import groups_of
from oriolegate.rules.values import parse_time_ms
from oriolegate.rules.values import parse_value
from oriolegate.rules.values import ValueKind

_ASKER = re.compile(
    r"\#\s*asked-by:\s*(?P<name>[^(:\s][^(:]*?)\s*"
    r"(?:\((?P<reference>[^)]*)\)\s*)?(?::\s*(?P<reason>.*))?"
)
_PRIORITIES = {priority.name.lower(): priority for priority in Priority}


def _parse_until(cursor: TokenCursor) -> int | None:
    if cursor.peek() != "until":
        return None
    cursor.expect_keyword(("until",))
    until_ms, _ = cursor.expect_value(
        "a UTC time such as 2026-12-24T00:00Z",
        RuleErrorCode.BAD_TIME,
        parse_time_ms,
    )
    return until_ms


def _parse_route(cursor: TokenCursor, asker: Asker) -> Rule:
    route = cursor.expect_name("the name of a route")
    cursor.expect_keyword(("to",))
    service = cursor.expect_name("the name of a service")
    until_ms = _parse_until(cursor)
    return RouteRule(
        route=route, service=service, asker=asker, until_ms=until_ms
    )


def _parse_take_out(cursor: TokenCursor, asker: Asker) -> Rule:
    kind = TakeOutKind(
        cursor.expect_keyword([kind.value for kind in TakeOutKind])
    )
    name = cursor.expect_name(f"the name of a {kind.value}")
    until_ms = _parse_until(cursor)
    return TakeOutRule(kind=kind, name=name, asker=asker, until_ms=until_ms)


def _parse_service(cursor: TokenCursor, asker: Asker) -> Rule:
    service = cursor.expect_name("the name of a service")
    column = cursor.next_column()
    change = parse_change(cursor)
    groups = sorted(group.value for group in groups_of(change))
    if len(groups) > 1:
        message = f"write one rule for each of {' and '.join(groups)} settings"
        cursor.add_error(RuleErrorCode.CONTRADICTION, message, column)
    if len(groups) != 1:
        raise LineError
    until_ms = _parse_until(cursor)
    return ServiceRule(
        service=service,
        group=next(iter(groups_of(change))),
        change=change,
        asker=asker,
        until_ms=until_ms,
    )


def _parse_priority(cursor: TokenCursor, asker: Asker) -> Rule:
    cursor.expect_keyword(("caller",))
    pattern = cursor.expect_pattern()
    priority = _PRIORITIES[cursor.expect_keyword(_PRIORITIES)]
    until_ms = _parse_until(cursor)
    return PriorityRule(
        pattern=pattern, priority=priority, asker=asker, until_ms=until_ms
    )


def _parse_target(cursor: TokenCursor) -> TrialTarget:
    cursor.expect_keyword(("to",))
    match cursor.expect_keyword(("index", "upstream", "policy")):
        case "index":
            version, _ = cursor.expect_value(
                "the number of an index version",
                RuleErrorCode.BAD_VALUE,
                lambda text: int(parse_value(ValueKind.COUNT, text)),  # type: ignore[arg-type]
            )
            return IndexTarget(version or 0)
        case "upstream":
            return UpstreamTarget(cursor.expect_name("the name of an upstream"))
        case _:
            return PolicyTarget(parse_change(cursor))


def _parse_share(cursor: TokenCursor) -> float:
    what = "a share of the callers such as 5%"
    share, column = cursor.expect_value(
        what,
        RuleErrorCode.BAD_VALUE,
        lambda text: float(parse_value(ValueKind.PERCENT, text)),  # type: ignore[arg-type]
    )
    if share is not None and not 0 < share <= 1:
        message = "the share must be over 0% and at most 100%"
        cursor.add_error(RuleErrorCode.OUT_OF_RANGE, message, column)
    return share or 0.0


def _parse_sample(
    cursor: TokenCursor,
    rule_class: type[TrialRule] | type[MirrorRule],
    asker: Asker,
) -> Rule:
    name = cursor.expect_name("a name")
    if rule_class is TrialRule:
        cursor.expect_keyword(("send",))
    share = _parse_share(cursor)
    cursor.expect_keyword(("of",))
    cursor.expect_keyword(("caller",))
    pattern = cursor.expect_pattern()
    cursor.expect_keyword(("on",))
    cursor.expect_keyword(("service",))
    service = cursor.expect_name("the name of a service")
    target = _parse_target(cursor)
    until_ms = _parse_until(cursor)
    return rule_class(
        name=name,
        share=share,
        pattern=pattern,
        service=service,
        target=target,
        asker=asker,
        until_ms=until_ms,
    )


_STATEMENTS: dict[str, Callable[[TokenCursor, Asker], Rule]] = {
    "route": _parse_route,
    "take-out": _parse_take_out,
    "service": _parse_service,
    "priority": _parse_priority,
    "trial": lambda cursor, asker: _parse_sample(cursor, TrialRule, asker),
    "mirror": lambda cursor, asker: _parse_sample(cursor, MirrorRule, asker),
}


def _parse_asker(cursor: TokenCursor) -> Asker:
    lexed = cursor.lexed
    matched = _ASKER.fullmatch(lexed.comment)
    if matched is None:
        cursor.add_error(
            RuleErrorCode.ASKER_MISSING,
            "say who asked: end the line with '# asked-by: NAME (REF): REASON'",
            lexed.comment_column,
        )
        return Asker("")
    return Asker(
        matched["name"],
        matched["reference"] or "",
        (matched["reason"] or "").strip(),
    )


def parse_statement(cursor: TokenCursor) -> Rule | None:
    """Parse the rule of one line.

    Args:
        cursor: Cursor at the first word; collects the errors.

    Returns:
        The rule, or None if the line can't be parsed to its end.
    """
    asker = _parse_asker(cursor)
    try:
        rule = _STATEMENTS[cursor.expect_keyword(_STATEMENTS)](cursor, asker)
    except LineError:
        return None
    cursor.expect_end()
    return rule
