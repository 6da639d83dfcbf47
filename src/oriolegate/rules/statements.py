"""Parses one rule: the statement of a line, and its comment."""

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
from oriolegate.rules.values import read_time_ms
from oriolegate.rules.values import read_value
from oriolegate.rules.values import ValueKind

_ASKER = re.compile(
    r"\#\s*asked-by:\s*(?P<name>[^(:\s][^(:]*?)\s*"
    r"(?:\((?P<reference>[^)]*)\)\s*)?(?::\s*(?P<reason>.*))?"
)
_PRIORITIES = {priority.name.lower(): priority for priority in Priority}


def _parse_until(cursor: TokenCursor) -> int | None:
    if cursor.peek() != "until":
        return None
    cursor.keyword(("until",))
    until_ms, _ = cursor.convert(
        "a UTC time such as 2026-12-24T00:00Z",
        RuleErrorCode.BAD_TIME,
        read_time_ms,
    )
    return until_ms


def _parse_route(cursor: TokenCursor, asker: Asker) -> Rule:
    route = cursor.name("the name of a route")
    cursor.keyword(("to",))
    service = cursor.name("the name of a service")
    until_ms = _parse_until(cursor)
    return RouteRule(
        route=route, service=service, asker=asker, until_ms=until_ms
    )


def _parse_take_out(cursor: TokenCursor, asker: Asker) -> Rule:
    kind = TakeOutKind(cursor.keyword([kind.value for kind in TakeOutKind]))
    name = cursor.name(f"the name of a {kind.value}")
    until_ms = _parse_until(cursor)
    return TakeOutRule(kind=kind, name=name, asker=asker, until_ms=until_ms)


def _parse_service(cursor: TokenCursor, asker: Asker) -> Rule:
    service = cursor.name("the name of a service")
    column = cursor.column()
    change = parse_change(cursor)
    groups = sorted(group.value for group in groups_of(change))
    if len(groups) > 1:
        message = f"write one rule for each of {' and '.join(groups)} settings"
        cursor.note(RuleErrorCode.CONTRADICTION, message, column)
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
    cursor.keyword(("caller",))
    pattern = cursor.pattern()
    priority = _PRIORITIES[cursor.keyword(_PRIORITIES)]
    until_ms = _parse_until(cursor)
    return PriorityRule(
        pattern=pattern, priority=priority, asker=asker, until_ms=until_ms
    )


def _parse_target(cursor: TokenCursor) -> TrialTarget:
    cursor.keyword(("to",))
    match cursor.keyword(("index", "upstream", "policy")):
        case "index":
            version, _ = cursor.convert(
                "the number of an index version",
                RuleErrorCode.BAD_VALUE,
                lambda text: int(read_value(ValueKind.COUNT, text)),  # type: ignore[arg-type]
            )
            return IndexTarget(version or 0)
        case "upstream":
            return UpstreamTarget(cursor.name("the name of an upstream"))
        case _:
            return PolicyTarget(parse_change(cursor))


def _parse_share(cursor: TokenCursor) -> float:
    what = "a share of the callers such as 5%"
    share, column = cursor.convert(
        what,
        RuleErrorCode.BAD_VALUE,
        lambda text: float(read_value(ValueKind.PERCENT, text)),  # type: ignore[arg-type]
    )
    if share is not None and not 0 < share <= 1:
        message = "the share must be over 0% and at most 100%"
        cursor.note(RuleErrorCode.OUT_OF_RANGE, message, column)
    return share or 0.0


def _parse_sample(
    cursor: TokenCursor, kind: type[TrialRule] | type[MirrorRule], asker: Asker
) -> Rule:
    name = cursor.name("a name")
    if kind is TrialRule:
        cursor.keyword(("send",))
    share = _parse_share(cursor)
    cursor.keyword(("of",))
    cursor.keyword(("caller",))
    pattern = cursor.pattern()
    cursor.keyword(("on",))
    cursor.keyword(("service",))
    service = cursor.name("the name of a service")
    target = _parse_target(cursor)
    until_ms = _parse_until(cursor)
    return kind(
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
    found = _ASKER.fullmatch(lexed.comment)
    if found is None:
        cursor.note(
            RuleErrorCode.ASKER_MISSING,
            "say who asked: end the line with '# asked-by: NAME (REF): REASON'",
            lexed.comment_column,
        )
        return Asker("")
    return Asker(
        found["name"], found["reference"] or "", (found["reason"] or "").strip()
    )


def parse_statement(cursor: TokenCursor) -> Rule | None:
    """Parse the rule of one line.

    Args:
        cursor: Stands at the first word; it gathers the errors.

    Returns:
        The rule, or None where it can't be understood.
    """
    asker = _parse_asker(cursor)
    try:
        rule = _STATEMENTS[cursor.keyword(_STATEMENTS)](cursor, asker)
    except LineError:
        return None
    cursor.finish()
    return rule
