"""Format a rules file in its canonical form; keep comments and order."""

from oriolegate.rules.model import Document
from oriolegate.rules.model import Entry
from oriolegate.rules.model import IndexTarget
from oriolegate.rules.model import MirrorRule
from oriolegate.rules.model import PolicyTarget
from oriolegate.rules.model import PriorityRule
from oriolegate.rules.model import RouteRule
from oriolegate.rules.model import Rule
from oriolegate.rules.model import ServiceRule
from oriolegate.rules.model import TakeOutRule
from oriolegate.rules.model import TrialRule
from oriolegate.rules.model import TrialTarget
from oriolegate.rules.model import UpstreamTarget
from oriolegate.rules.settings import format_change
from oriolegate.rules.values import format_time
from oriolegate.rules.values import format_value
from oriolegate.rules.values import ValueKind


def _format_target(target: TrialTarget) -> str:
    match target:
        case IndexTarget(version=version):
            return f"to index {version}"
        case UpstreamTarget(upstream=upstream):
            return f"to upstream {upstream}"
        case PolicyTarget(change=change):
            return f"to policy {format_change(change)}"


def _format_sample(rule: TrialRule | MirrorRule) -> str:
    share = format_value(ValueKind.PERCENT, rule.share)
    verb = "send " if isinstance(rule, TrialRule) else ""
    return (
        f'{rule.name} {verb}{share} of caller "{rule.pattern}" '
        f"on service {rule.service} {_format_target(rule.target)}"
    )


def _format_statement(rule: Rule) -> str:
    match rule:
        case RouteRule():
            return f"route {rule.route} to {rule.service}"
        case TakeOutRule():
            return f"take-out {rule.kind.value} {rule.name}"
        case ServiceRule():
            return f"service {rule.service} {format_change(rule.change)}"
        case PriorityRule():
            name = rule.priority.name.lower()
            return f'priority caller "{rule.pattern}" {name}'
        case TrialRule():
            return f"trial {_format_sample(rule)}"
        case MirrorRule():
            return f"mirror {_format_sample(rule)}"


def format_rule(rule: Rule) -> str:
    """Return one rule as text, without its comment."""
    statement = _format_statement(rule)
    if rule.until_ms is None:
        return statement
    return f"{statement} until {format_time(rule.until_ms)}"


def format_entry(entry: Entry) -> list[str]:
    """Return the lines of one entry."""
    lines = list(entry.comments)
    if entry.rule is not None:
        lines.append(f"{format_rule(entry.rule)}  {entry.trailing_comment}")
    return lines


def write_document(document: Document) -> str:
    """Return the text of a whole file, which parses to an equal document."""
    lines: list[str] = []
    for entry in document.entries:
        if entry.blank_before and lines:
            lines.append("")
        lines += format_entry(entry)
    return "".join(f"{line}\n" for line in lines)
