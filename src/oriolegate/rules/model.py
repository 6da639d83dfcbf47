"""Rules of an operators' file, and the versions in which they are accepted."""

import enum
import functools
from typing import TypeAlias

import attrs

from oriolegate.models.policy import CoverageMode
from oriolegate.models.policy import Priority


@attrs.frozen
class Asker:
    """Who asked for a rule.

    Attributes:
        name: The person or team.
        reference: A ticket or the like, or an empty string.
        reason: Why, or an empty string.
    """

    name: str
    reference: str = ""
    reason: str = ""


@attrs.frozen
class PolicyChange:
    """Settings of a service policy that a rule states; None leaves one be.

    The field names are those of `ServicePolicy`; those that start with
    `hedge_` are the fields of `HedgePolicy`.
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
    """Settings that belong together; a `service` line states one group."""

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
    """A trial or mirror runs on this index version."""

    version: int


@attrs.frozen
class UpstreamTarget:
    """A trial or mirror prefers replicas on this upstream."""

    upstream: str


@attrs.frozen
class PolicyTarget:
    """A trial or mirror runs under a changed policy."""

    change: PolicyChange


TrialTarget: TypeAlias = IndexTarget | UpstreamTarget | PolicyTarget


@attrs.frozen(kw_only=True)
class RouteRule:
    """Maps a route that callers name to a service."""

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
    """States one group of settings of a service."""

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
    """What trials and mirrors share: a share of some callers, and a target.

    Attributes:
        name: Of the trial or mirror.
        share: Share of the matching callers or requests, 0 to 1.
        pattern: Matches names of callers.
        service: The service that the requests go to.
        target: Where they go instead, or as well.
        asker: Who asked for the rule.
        until_ms: When the rule ends, in wall time, or None.
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
    """Sends a share of the matching callers to a target, sticky per caller."""


@attrs.frozen(kw_only=True)
class MirrorRule(SampleRule):
    """Copies a share of the matching callers' requests to a target."""


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
    """Identity of a rule: two edits conflict if they change one key.

    Attributes:
        kind: First word of the rule.
        subject: What it is about.
        part: Which group of settings, for `service` rules.
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
    """A rule with the comment lines right above it, or loose comments.

    Attributes:
        comments: Comment lines, `#` included.
        rule: The rule, or None for a block of comments of its own.
        note: The comment that ends the rule's line, `#` included.
        blank_before: Whether an empty line sets it apart.
        line: Where the rule stands in the file, from 1.
    """

    comments: tuple[str, ...]
    rule: Rule | None = None
    note: str = ""
    blank_before: bool = False
    line: int = attrs.field(default=0, eq=False)

    def says_the_same(self, other: "Entry | None") -> bool:
        """Tell whether both hold one rule with the same comments."""
        return other is not None and (
            (self.rule, self.note, self.comments)
            == (other.rule, other.note, other.comments)
        )


_COMMENT_KIND = "#"


def _loose_comments_key(entry: Entry, taken: dict[RuleKey, Entry]) -> RuleKey:
    """Return a key of comments by their text, and if equal their number."""
    text, number = "\n".join(entry.comments), 1
    while RuleKey(_COMMENT_KIND, text, str(number)) in taken:
        number += 1
    return RuleKey(_COMMENT_KIND, text, str(number))


@attrs.frozen
class Document:
    """A parsed rules file: entries in the file's order."""

    entries: tuple[Entry, ...] = ()

    @functools.cached_property
    def keyed_entries(self) -> dict[RuleKey, Entry]:
        """The entries by identity, in the file's order."""
        entries: dict[RuleKey, Entry] = {}
        for entry in self.entries:
            if entry.rule is None:
                key = _loose_comments_key(entry, entries)
            else:
                key = rule_key(entry.rule)
            entries[key] = entry
        return entries

    @property
    def rules(self) -> tuple[Rule, ...]:
        """The rules, in the file's order."""
        return tuple(e.rule for e in self.entries if e.rule is not None)


@attrs.frozen
class RuleSet:
    """The rules of one accepted version."""

    version: int
    rules: tuple[Rule, ...]
    text: str


@attrs.frozen
class AcceptedRules:
    """One accepted version: the unit that is spread to all VMs.

    Attributes:
        version: Version of the platform's object; only rises.
        text: The whole file.
        edit_id: The edit that made this version.
    """

    version: int
    text: str
    edit_id: str
