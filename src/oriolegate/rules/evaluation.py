"""Apply the accepted rules to requests, on the request path."""

import attrs

from oriolegate.models.policy import Priority
from oriolegate.models.request import CallerRequest
from oriolegate.rules.compiled import compile_in_force
from oriolegate.rules.compiled import CompiledRoute
from oriolegate.rules.compiled import CompiledRules
from oriolegate.rules.compiled import CompiledSample
from oriolegate.rules.decision import MatchedRule
from oriolegate.rules.decision import MirrorTarget
from oriolegate.rules.decision import RoutingDecision
from oriolegate.rules.model import RuleSet

MAX_CACHED_CALLERS = 4_096
# In characters. Plans of callers with longer names are not cached, so that
# callers can't exhaust the memory.
MAX_CACHED_NAME_LENGTH = 200


@attrs.frozen
class _CallerPlan:
    """Decision and possible mirrors of a caller's requests on one route."""

    decision: RoutingDecision
    mirrors: tuple[CompiledSample, ...]


class ActiveRules:
    """One version of the rules, as in force at a wall time.

    A rule ends at its end time without an edit: `decide` gets the wall
    time, and the rules are compiled again if an end time has passed since.
    The decision depends only on the version, the request and the time.

    Attributes:
        rule_set: The accepted version.
        compiled: Tables of the rules in force at the last wall time.
        plans: Cached plans by route, caller and priority, at most
            `MAX_CACHED_CALLERS`.
    """

    def __init__(self, rule_set: RuleSet, wall_ms: int) -> None:
        self.rule_set = rule_set
        self.compiled: CompiledRules = compile_in_force(rule_set.rules, wall_ms)
        self.plans: dict[tuple[str, str, Priority], _CallerPlan] = {}

    @property
    def version(self) -> int:
        """The accepted version."""
        return self.rule_set.version

    @property
    def out_data_centres(self) -> frozenset[str]:
        """Data centres out of service at the last wall time."""
        return self.compiled.out_data_centres

    @property
    def out_upstreams(self) -> frozenset[str]:
        """Upstreams out of service at the last wall time."""
        return self.compiled.out_upstreams

    def refresh(self, wall_ms: int) -> bool:
        """Compile the rules again if a different set is in force at a time.

        Args:
            wall_ms: Milliseconds since the epoch.

        Returns:
            Whether the rules were compiled again.
        """
        if self.compiled.from_ms <= wall_ms < self.compiled.until_ms:
            return False
        self.compiled = compile_in_force(self.rule_set.rules, wall_ms)
        self.plans.clear()
        return True

    def decide(
        self, request: CallerRequest, wall_ms: int
    ) -> RoutingDecision | None:
        """Decide how to run a request.

        Args:
            request: The request.
            wall_ms: Milliseconds since the epoch.

        Returns:
            The decision, or None if no rule names the route.
        """
        self.refresh(wall_ms)
        key = (request.route, request.caller, request.priority)
        plan = self.plans.get(key)
        if plan is None:
            route = self.compiled.route(request.route)
            if route is None:
                return None
            plan = self._make_plan(route, request)
            self._cache_plan(key, plan)
        if not plan.mirrors:
            return plan.decision
        mirror = _choose_mirror(plan.mirrors, request)
        if mirror is None:
            return plan.decision
        return attrs.evolve(plan.decision, mirror=_mirror_target(mirror))

    def explain(
        self, request: CallerRequest, wall_ms: int
    ) -> RoutingDecision | None:
        """Return the result of `decide` with its `matched_rules` set."""
        decision = self.decide(request, wall_ms)
        route = self.compiled.route(request.route)
        if decision is None or route is None:
            return None
        matched_rules = [
            MatchedRule(route.rule, f"the request names {request.route}")
        ]
        matched_rules += [
            MatchedRule(rule, f"the route leads to {rule.service}")
            for rule in route.service_rules
        ]
        matched_rules += self._explain_caller(route, request, decision)
        matched_rules += [
            MatchedRule(rule, "applies to every request")
            for rule in self.compiled.take_outs
        ]
        return attrs.evolve(decision, matched_rules=tuple(matched_rules))

    def _cache_plan(
        self, key: tuple[str, str, Priority], plan: _CallerPlan
    ) -> None:
        _, caller, _ = key
        if len(caller) > MAX_CACHED_NAME_LENGTH:
            return
        if len(self.plans) >= MAX_CACHED_CALLERS:
            self.plans.clear()
        self.plans[key] = plan

    def _make_plan(
        self, route: CompiledRoute, request: CallerRequest
    ) -> _CallerPlan:
        caller = request.caller
        matching = [t for t in route.trials if t.pattern.matches(caller)]
        trial = next((t for t in matching if t.includes(caller)), None)
        rule = self.compiled.priorities.find(caller)
        decision = RoutingDecision(
            service=route.rule.service,
            policy=trial.policy if trial else route.policy,
            priority=rule.priority if rule else request.priority,
            index_version=trial.index_version if trial else None,
            preferred_upstream=trial.preferred_upstream if trial else None,
            trial=trial.rule.name if trial else None,
            trial_control=(
                matching[0].rule.name if matching and not trial else None
            ),
        )
        mirrors = (m for m in route.mirrors if m.pattern.matches(caller))
        return _CallerPlan(decision, tuple(mirrors))

    def _explain_caller(
        self,
        route: CompiledRoute,
        request: CallerRequest,
        decision: RoutingDecision,
    ) -> list[MatchedRule]:
        matched_rules: list[MatchedRule] = []
        priority = self.compiled.priorities.find(request.caller)
        if priority is not None:
            reason = f"{request.caller} matches {priority.pattern}"
            matched_rules.append(MatchedRule(priority, reason))
        for sample in route.trials:
            name = sample.rule.name
            if name in (decision.trial, decision.trial_control):
                matched_rules.append(_explain_sample(sample, request.caller))
        for sample in route.mirrors:
            if decision.mirror and decision.mirror.mirror == sample.rule.name:
                matched_rules.append(
                    _explain_sample(sample, request.request_id)
                )
        return matched_rules


def _choose_mirror(
    mirrors: tuple[CompiledSample, ...], request: CallerRequest
) -> CompiledSample | None:
    # A mirrored request runs twice, which only an idempotent one may.
    if not request.idempotent:
        return None
    for mirror in mirrors:
        if mirror.includes(request.request_id):
            return mirror
    return None


def _mirror_target(mirror: CompiledSample) -> MirrorTarget:
    return MirrorTarget(
        mirror=mirror.rule.name,
        policy=mirror.policy,
        index_version=mirror.index_version,
        preferred_upstream=mirror.preferred_upstream,
    )


def _explain_sample(sample: CompiledSample, member: str) -> MatchedRule:
    position, included = sample.position(member), sample.includes(member)
    relation = "below" if included else "not below"
    side = "in the sample" if included else "in the control group"
    return MatchedRule(
        sample.rule,
        f"{member} is {side}: its hash {position:.4f} is {relation} "
        f"the share {sample.rule.share:g}",
    )


def compile_rules(rule_set: RuleSet, wall_ms: int) -> ActiveRules:
    """Compile an accepted version for the request path.

    Args:
        rule_set: An accepted version.
        wall_ms: Milliseconds since the epoch.
    """
    return ActiveRules(rule_set, wall_ms)
