"""Define what the rules decide for one request."""

import attrs

from oriolegate.models.policy import Priority
from oriolegate.models.policy import ServicePolicy
from oriolegate.rules.model import Rule


@attrs.frozen
class MatchedRule:
    """A rule that applies to a request.

    Attributes:
        rule: The rule.
        reason: Why the rule applies, as a clause.
    """

    rule: Rule
    reason: str


@attrs.frozen
class MirrorTarget:
    """Where to send a copy of a request; the copy's result is discarded.

    Attributes:
        mirror: Name of the mirror rule.
        policy: Policy of the copy.
        index_version: Index version to pin, or None for the current one.
        preferred_upstream: Upstream whose replicas are preferred, or None.
    """

    mirror: str
    policy: ServicePolicy
    index_version: int | None = None
    preferred_upstream: str | None = None


@attrs.frozen
class RoutingDecision:
    """How to run one request.

    Attributes:
        service: The service that the route maps to.
        policy: Deadlines, coverage, hedging and retries, with the changes of
            a trial.
        priority: Priority set by a rule, or else the priority requested.
        index_version: Index version to pin, or None for the current one.
        preferred_upstream: Upstream whose replicas are preferred, or None.
        trial: The trial whose sample the caller is in, or None.
        trial_control: The trial whose control group the caller is in, or
            None.
        mirror: Where to send a copy, or None.
        matched_rules: The rules that apply; set only by `explain`.
    """

    service: str
    policy: ServicePolicy
    priority: Priority
    index_version: int | None = None
    preferred_upstream: str | None = None
    trial: str | None = None
    trial_control: str | None = None
    mirror: MirrorTarget | None = None
    matched_rules: tuple[MatchedRule, ...] = ()
