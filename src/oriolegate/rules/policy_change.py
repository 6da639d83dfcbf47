"""Applies the settings that a rule states to a service's policy."""

from typing import Any

import attrs

from oriolegate.models.policy import HedgePolicy
from oriolegate.models.policy import ServicePolicy
from oriolegate.rules.model import PolicyChange

_HEDGE_PREFIX = "hedge_"
_FIELDS = tuple(field.name for field in attrs.fields(PolicyChange))


def apply_change(policy: ServicePolicy, change: PolicyChange) -> ServicePolicy:
    """Return a policy with the stated settings in place of the old ones.

    A deadline that is stated alone moves its neighbours, so that the soft
    deadline never passes the hard one, nor that one the longest allowed.

    Args:
        policy: The policy so far.
        change: Settings that a rule states.
    """
    stated: dict[str, Any] = {
        name: value
        for name in _FIELDS
        if (value := getattr(change, name)) is not None
    }
    hedge = {
        name.removeprefix(_HEDGE_PREFIX): stated.pop(name)
        for name in list(stated)
        if name.startswith(_HEDGE_PREFIX)
    }
    changed = attrs.evolve(
        policy, hedge=_apply_hedge(policy.hedge, hedge), **stated
    )
    return _order_deadlines(changed, change)


def _apply_hedge(hedge: HedgePolicy, stated: dict[str, Any]) -> HedgePolicy:
    return attrs.evolve(hedge, **stated) if stated else hedge


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
