"""Apply the settings of a rule to the policy of a service."""

from typing import Any

import attrs

from oriolegate.models.policy import HedgePolicy
from oriolegate.models.policy import ServicePolicy
from oriolegate.rules.model import PolicyChange

_HEDGE_PREFIX = "hedge_"
_FIELDS = tuple(field.name for field in attrs.fields(PolicyChange))


def apply_change(policy: ServicePolicy, change: PolicyChange) -> ServicePolicy:
    """Return a policy with the settings of a rule.

    A deadline set alone also adjusts the others, so that the soft deadline
    is never after the hard one, nor the hard one after the maximum.

    Args:
        policy: The policy before.
        change: Settings of the rule.
    """
    new_values: dict[str, Any] = {
        name: value
        for name in _FIELDS
        if (value := getattr(change, name)) is not None
    }
    hedge = {
        name.removeprefix(_HEDGE_PREFIX): new_values.pop(name)
        for name in list(new_values)
        if name.startswith(_HEDGE_PREFIX)
    }
    changed = attrs.evolve(
        policy, hedge=_apply_hedge(policy.hedge, hedge), **new_values
    )
    return _order_deadlines(changed, change)


def _apply_hedge(hedge: HedgePolicy, new_values: dict[str, Any]) -> HedgePolicy:
    return attrs.evolve(hedge, **new_values) if new_values else hedge


def _order_deadlines(
    policy: ServicePolicy, change: PolicyChange
) -> ServicePolicy:
    longest_ms, hard_ms = policy.max_deadline_ms, policy.deadline_ms
    if change.max_deadline_ms is None:
        longest_ms = max(longest_ms, hard_ms)
    hard_ms = min(hard_ms, longest_ms)
    return attrs.evolve(
        policy,
        max_deadline_ms=longest_ms,
        deadline_ms=hard_ms,
        soft_deadline_ms=min(policy.soft_deadline_ms, hard_ms),
    )
