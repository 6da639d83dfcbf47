"""Compile the rules in force into tables for the request path."""

from collections.abc import Iterable
from collections.abc import Mapping
import math

import attrs

from oriolegate.models.policy import ServicePolicy
from oriolegate.rules.matching import CallerPattern
from oriolegate.rules.matching import NamedSample
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
from oriolegate.rules.model import UpstreamTarget
from oriolegate.rules.policy_change import apply_change
from oriolegate.rules.priorities import index_priorities
from oriolegate.rules.priorities import PriorityIndex


@attrs.frozen
class CompiledSample:
    """A trial or mirror with its pattern and target compiled."""

    rule: TrialRule | MirrorRule
    pattern: CallerPattern
    sample: NamedSample
    policy: ServicePolicy
    index_version: int | None
    preferred_upstream: str | None

    def position(self, member: str) -> float:
        """Return the position of a caller or a request id, from 0 up to 1."""
        return self.sample.position(member)

    def includes(self, member: str) -> bool:
        """Return whether a caller or a request id is in the sample."""
        return self.sample.position(member) < self.rule.share


@attrs.frozen
class CompiledRoute:
    """A route with the policy, trials and mirrors of its service.

    Attributes:
        rule: The route rule.
        policy: Policy of the service.
        service_rules: The rules that the policy results from.
        trials: Trials on the service, sorted by name.
        mirrors: Mirrors of the service, sorted by name.
    """

    rule: RouteRule
    policy: ServicePolicy
    service_rules: tuple[ServiceRule, ...]
    trials: tuple[CompiledSample, ...]
    mirrors: tuple[CompiledSample, ...]


@attrs.define
class _ServiceRules:
    """The settings, trials and mirrors of one service."""

    settings: list[ServiceRule] = attrs.field(factory=list)
    trials: list[TrialRule] = attrs.field(factory=list)
    mirrors: list[MirrorRule] = attrs.field(factory=list)


@attrs.define
class CompiledRules:
    """The rules in force from `from_ms` until before `until_ms`.

    A route is compiled when it is first requested, so that a new version
    of a large file delays no request for long.

    Attributes:
        from_ms: Wall time of the last rule end that has passed.
        until_ms: Wall time of the next rule end.
        routes: Route rules by the name that callers use.
        services: Rules of each service, by service name.
        priorities: Index of the priority rules by caller.
        take_outs: The `take-out` rules.
        out_data_centres: Data centres that are out of service.
        out_upstreams: Upstreams that are out of service.
        compiled_routes: Routes compiled so far, by name.
    """

    from_ms: float
    until_ms: float
    routes: Mapping[str, RouteRule]
    services: Mapping[str, _ServiceRules]
    priorities: PriorityIndex
    take_outs: tuple[TakeOutRule, ...]
    out_data_centres: frozenset[str]
    out_upstreams: frozenset[str]
    compiled_routes: dict[str, CompiledRoute] = attrs.field(factory=dict)

    def route(self, name: str) -> CompiledRoute | None:
        """Return a compiled route, or None if no rule in force defines it."""
        compiled = self.compiled_routes.get(name)
        if compiled is not None:
            return compiled
        rule = self.routes.get(name)
        if rule is None:
            return None
        grouped_rules = self.services.get(rule.service, _ServiceRules())
        compiled = _compile_route(rule, grouped_rules, self.out_upstreams)
        self.compiled_routes[name] = compiled
        return compiled


def compile_in_force(rules: Iterable[Rule], wall_ms: int) -> CompiledRules:
    """Compile the rules that are in force at a time.

    The result does not depend on the order of the rules.

    Args:
        rules: All rules of a version.
        wall_ms: Wall time in milliseconds since the epoch.
    """
    rules = tuple(rules)
    end_times_ms = [
        rule.until_ms for rule in rules if rule.until_ms is not None
    ]
    in_force = [r for r in rules if r.until_ms is None or wall_ms < r.until_ms]
    take_outs = tuple(r for r in in_force if isinstance(r, TakeOutRule))
    out_upstreams = _names_taken_out(take_outs, TakeOutKind.UPSTREAM)
    return CompiledRules(
        from_ms=max(
            (end_ms for end_ms in end_times_ms if end_ms <= wall_ms),
            default=-math.inf,
        ),
        until_ms=min(
            (end_ms for end_ms in end_times_ms if wall_ms < end_ms),
            default=math.inf,
        ),
        routes={r.route: r for r in in_force if isinstance(r, RouteRule)},
        services=_group_by_service(in_force),
        priorities=index_priorities(
            r for r in in_force if isinstance(r, PriorityRule)
        ),
        take_outs=take_outs,
        out_data_centres=_names_taken_out(take_outs, TakeOutKind.DATA_CENTRE),
        out_upstreams=out_upstreams,
    )


def _names_taken_out(
    take_outs: Iterable[TakeOutRule], kind: TakeOutKind
) -> frozenset[str]:
    return frozenset(rule.name for rule in take_outs if rule.kind is kind)


def _group_by_service(rules: Iterable[Rule]) -> dict[str, _ServiceRules]:
    services: dict[str, _ServiceRules] = {}
    for rule in rules:
        match rule:
            case ServiceRule(service=service):
                _rules_of(services, service).settings.append(rule)
            case TrialRule(service=service):
                _rules_of(services, service).trials.append(rule)
            case MirrorRule(service=service):
                _rules_of(services, service).mirrors.append(rule)
    return services


def _rules_of(
    services: dict[str, _ServiceRules], service: str
) -> _ServiceRules:
    return services.setdefault(service, _ServiceRules())


def _compile_route(
    route: RouteRule,
    grouped_rules: _ServiceRules,
    out_upstreams: frozenset[str],
) -> CompiledRoute:
    policy = ServicePolicy()
    for rule in grouped_rules.settings:
        policy = apply_change(policy, rule.change)
    return CompiledRoute(
        rule=route,
        policy=policy,
        service_rules=tuple(grouped_rules.settings),
        trials=_compile_samples(grouped_rules.trials, policy, out_upstreams),
        mirrors=_compile_samples(grouped_rules.mirrors, policy, out_upstreams),
    )


def _compile_samples(
    rules: Iterable[TrialRule | MirrorRule],
    policy: ServicePolicy,
    out_upstreams: frozenset[str],
) -> tuple[CompiledSample, ...]:
    samples = [_compile_sample(rule, policy) for rule in rules]
    samples.sort(key=lambda sample: sample.rule.name)
    # An upstream that is taken out must get no new work, not even from trials.
    return tuple(
        s for s in samples if s.preferred_upstream not in out_upstreams
    )


def _compile_sample(
    rule: TrialRule | MirrorRule, policy: ServicePolicy
) -> CompiledSample:
    index_version = preferred_upstream = None
    match rule.target:
        case IndexTarget(version=version):
            index_version = version
        case UpstreamTarget(upstream=upstream):
            preferred_upstream = upstream
        case PolicyTarget(change=change):
            policy = apply_change(policy, change)
    return CompiledSample(
        rule=rule,
        pattern=CallerPattern(rule.pattern),
        sample=NamedSample(rule.name),
        policy=policy,
        index_version=index_version,
        preferred_upstream=preferred_upstream,
    )
