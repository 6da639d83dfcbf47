"""Define the rules of a rules file, and its accepted versions."""

import enum
import functools
from typing import TypeAlias

import attrs

from oriolegate.models.policy import CoverageMode
from oriolegate.models.policy import Priority


@attrs.frozen
class Asker:
    """The person or team that requested a rule (`# asked-by:`).

    Attributes:
        name: Name of the person or team.
        reference: For example a ticket number; may be empty.
        reason: Why the rule was requested; may be empty.
    """

    name: str
    reference: str = ""
    reason: str = ""


@attrs.frozen
class PolicyChange:
    """Policy settings that a rule sets; None leaves a setting unchanged.

    The fields have the names of those of `ServicePolicy`; the ones that start
    with `hedge_` set the fields of its `HedgePolicy`.
    """

    deadline_ms: float | None = None
    max_deadline_ms: float | None = None
    soft_deadline_ms: float | None = None
    coverage_mode: CoverageMode | None = None
    min_coverage: float | None = None
    result_limit: int | None = None
    hedge_enabled: bool | None = None
    hedge_quantile: float | None = None
    hedge_budget_ratio: float | None = None
    hedge_min_delay_ms: float | None = None
    retry_ratio: float | None = None
    max_attempts: int | None = None
    max_waiting: int | None = None


class PolicyGroup(enum.Enum):
    """A group of related settings; a `service` rule sets one group only."""

    ANSWER = "answer"
    HEDGE = "hedge"
    RETRY = "retry"
    LIMIT = "limit"


class TakeOutKind(enum.Enum):
    """What a `take-out` rule takes out of service."""

    DATA_CENTRE = "data-centre"
    UPSTREAM = "upstream"


@attrs.frozen
class IndexTarget:
    """Target of a trial or mirror: an index version."""

    version: int


@attrs.frozen
class UpstreamTarget:
    """Target of a trial or mirror: an upstream whose replicas are preferred."""

    upstream: str


@attrs.frozen
class PolicyTarget:
    """Target of a trial or mirror: a changed policy."""

    change: PolicyChange


TrialTarget: TypeAlias = IndexTarget | UpstreamTarget | PolicyTarget


@attrs.frozen(kw_only=True)
class RouteRule:
    """Maps a route, which callers name in requests, to a service."""

    route: str
    service: str
    asker: Asker
    until_ms: int | None = None


@attrs.frozen(kw_only=True)
class TakeOutRule:
    """Takes a data centre or an upstream out of service."""

    kind: TakeOutKind
    name: str
    asker: Asker
    until_ms: int | None = None


@attrs.frozen(kw_only=True)
class ServiceRule:
    """Sets one group of settings of a service."""

    service: str
    group: PolicyGroup
    change: PolicyChange
    asker: Asker
    until_ms: int | None = None


@attrs.frozen(kw_only=True)
class PriorityRule:
    """Sets the priority of the callers whose name matches a pattern."""

    pattern: str
    priority: Priority
    asker: Asker
    until_ms: int | None = None


@attrs.frozen(kw_only=True)
class SampleRule:
    """Common part of trials and mirrors: a sample of requests and a target.

    Attributes:
        name: Name of the trial or mirror.
        share: Fraction of the matching callers (trial) or of their requests
            (mirror), 0 to 1.
        pattern: Pattern of caller names.
        service: Service whose requests are sampled.
        target: What the sampled requests, or their copies, run on.
        asker: Who requested the rule.
        until_ms: Wall time at which the rule ends, or None.
    """

    name: str
    share: float
    pattern: str
    service: str
    target: TrialTarget
    asker: Asker
    until_ms: int | None = None


@attrs.frozen(kw_only=True)
class TrialRule(SampleRule):
    """Sends a sample of the matching callers to a target, sticky per caller."""


@attrs.frozen(kw_only=True)
class MirrorRule(SampleRule):
    """Copies a sample of the matching callers' requests to a target."""


Rule: TypeAlias = (
    RouteRule
    | TakeOutRule
    | ServiceRule
    | PriorityRule
    | TrialRule
    | MirrorRule
)


@attrs.frozen(order=True)
class RuleKey:
    """Identity of a rule; edits that change the same key may conflict.

    Attributes:
        kind: First word of the rule, or `#` for a standalone comment.
        subject: Name after the first word, such as a route or a service; for a
            comment its text.
        part: Group of settings of a `service` rule, name in a `take-out`
            rule, pattern of a `priority` rule, number of a comment among
            equal ones; else empty.
    """

    kind: str
    subject: str
    part: str = ""

    def __str__(self) -> str:
        return " ".join(word for word in attrs.astuple(self) if word)


def rule_key(rule: Rule) -> RuleKey:
    """Return the identity of a rule."""
    match rule:
        case RouteRule():
            return RuleKey("route", rule.route)
        case TakeOutRule():
            return RuleKey("take-out", rule.kind.value, rule.name)
        case ServiceRule():
            return RuleKey("service", rule.service, rule.group.value)
        case PriorityRule():
            return RuleKey("priority", "caller", rule.pattern)
        case TrialRule():
            return RuleKey("trial", rule.name)
        case MirrorRule():
            return RuleKey("mirror", rule.name)


@attrs.frozen
class Entry:
    """A rule with the comment lines right above it, or a standalone comment.

    Attributes:
        comments: Comment lines, including the `#`.
        rule: The rule, or None for a standalone block of comments.
        trailing_comment: The comment at the end of the rule's line, including
            the `#`.
        blank_before: Whether an empty line precedes the entry.
        line: Line number of the rule in the file, from 1.
    """

    comments: tuple[str, ...]
    rule: Rule | None = None
    trailing_comment: str = ""
    blank_before: bool = False
    line: int = attrs.field(default=0, eq=False)

    def has_same_content(self, other: "Entry | None") -> bool:
        """Return whether the other entry has the same rule and comments."""
        return other is not None and (
            (self.rule, self.trailing_comment, self.comments)
            == (other.rule, other.trailing_comment, other.comments)
        )


_COMMENT_KIND = "#"


def _standalone_comment_key(
    entry: Entry, used_keys: dict[RuleKey, Entry]
) -> RuleKey:
    """Return a key made of the text, and a number for equal texts."""
    text, number = "\n".join(entry.comments), 1
    while RuleKey(_COMMENT_KIND, text, str(number)) in used_keys:
        number += 1
    return RuleKey(_COMMENT_KIND, text, str(number))


@attrs.frozen
class Document:
    """A parsed rules file: its entries in file order."""

    entries: tuple[Entry, ...] = ()

    @functools.cached_property
    def keyed_entries(self) -> dict[RuleKey, Entry]:
        """The entries by key, in file order."""
        entries: dict[RuleKey, Entry] = {}
        for entry in self.entries:
            if entry.rule is None:
                key = _standalone_comment_key(entry, entries)
            else:
                key = rule_key(entry.rule)
            entries[key] = entry
        return entries

    @property
    def rules(self) -> tuple[Rule, ...]:
        """The rules, in file order."""
        return tuple(e.rule for e in self.entries if e.rule is not None)


@attrs.frozen
class RuleSet:
    """The parsed rules of one accepted version."""

    version: int
    rules: tuple[Rule, ...]
    text: str


@attrs.frozen
class AcceptedRules:
    """The text of one accepted version, as distributed to all VMs.

    Attributes:
        version: Version of the platform's object; only increases.
        text: Text of the whole file.
        edit_id: Id of the edit that created this version.
    """

    version: int
    text: str
    edit_id: str
