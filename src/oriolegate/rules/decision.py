"""What the rules decide for one request."""

import attrs

from oriolegate.models.policy import Priority
from oriolegate.models.policy import ServicePolicy
from oriolegate.rules.model import Rule


@attrs.frozen
class MetRule:
    """A rule that applies to a request.

    Attributes:
        rule: The rule.
        reason: Why it applies, in one clause.
    """

    rule: Rule
    reason: str


@attrs.frozen
class MirrorTarget:
    """Where to send a copy whose result never reaches the caller.

    Attributes:
        mirror: Name of the mirror rule.
        policy: Policy that the copy runs under.
        index_version: Index version to pin, or None for the current one.
        preferred_upstream: Upstream whose replicas go first, or None.
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
        policy: Deadlines, coverage, hedging and retries, a trial's included.
        priority: A rule's priority, else the one that the request asks for.
        index_version: Index version to pin, or None for the current one.
        preferred_upstream: Upstream whose replicas go first, or None.
        trial: The trial that the request is part of, or None.
        trial_control: The trial whose comparison group the caller is in.
        mirror: Where to send a copy, or None.
        met: The rules that led here; filled only by `explain`.
    """

    service: str
    policy: ServicePolicy
    priority: Priority
    index_version: int | None = None
    preferred_upstream: str | None = None
    trial: str | None = None
    trial_control: str | None = None
    mirror: MirrorTarget | None = None
    met: tuple[MetRule, ...] = ()
