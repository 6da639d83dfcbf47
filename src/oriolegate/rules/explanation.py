"""Explain as text what the rules decide for a request, and why."""

from oriolegate.models.policy import ServicePolicy
from oriolegate.rules.decision import RoutingDecision
from oriolegate.rules.formatter import format_rule


def _render_policy(policy: ServicePolicy) -> str:
    hedge = (
        f"hedge after quantile {policy.hedge.quantile:g} within "
        f"{policy.hedge.budget_ratio:.3g}"
        if policy.hedge.enabled
        else "hedge off"
    )
    return (
        f"deadline {policy.deadline_ms:g}ms, "
        f"soft {policy.soft_deadline_ms:g}ms, "
        f"{policy.coverage_mode.value}, "
        f"min-coverage {policy.min_coverage:g}, {hedge}, "
        f"retry {policy.retry_ratio:.3g} attempts {policy.max_attempts}"
    )


def render_explanation(decision: RoutingDecision) -> str:
    """Return a decision of `ActiveRules.explain` as text."""
    version = decision.index_version
    lines = [
        f"service   {decision.service}",
        f"policy    {_render_policy(decision.policy)}",
        f"priority  {decision.priority.name.lower()}",
        f"index     {'current' if version is None else version}",
    ]
    if decision.preferred_upstream is not None:
        lines.append(f"upstream  {decision.preferred_upstream}")
    if decision.trial is not None:
        lines.append(f"trial     {decision.trial}")
    if decision.mirror is not None:
        lines.append(f"mirror    {decision.mirror.mirror}")
    for matched in decision.matched_rules:
        lines.append(f"rule      {format_rule(matched.rule)}")
        lines.append(
            f"          {matched.reason}; asked by {matched.rule.asker.name}"
        )
    return "".join(f"{line}\n" for line in lines)
