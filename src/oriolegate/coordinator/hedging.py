"""Sends second attempts for sub-requests that take long.

Hedges never wait; they go to a fully warm leaf if one accepts, else to
another within its cold or ramp limit, which also shows whether that leaf is
warm by the time it is needed.
"""

from oriolegate.coordinator import dispatch
from oriolegate.coordinator.query import Attempt
from oriolegate.coordinator.query import QueryState
from oriolegate.coordinator.query import ShardState
from oriolegate.coordinator.state import CoordinatorState
from oriolegate.coordinator.state import WakeKind
from oriolegate.timeline.events import EventKind
from oriolegate.upstreams.leaf_state import LeafPhase
from oriolegate.upstreams.leaf_state import LeafState


def plan_hedges(
    state: CoordinatorState, now_ms: float, query: QueryState
) -> None:
    """Set the first wake-up for hedges of a query."""
    delay_ms = hedge_delay_ms(state, query)
    if delay_ms is not None and not query.hedges_planned:
        query.hedges_planned = True
        state.wake_at(now_ms + delay_ms, WakeKind.HEDGE, query.number)


def hedge(state: CoordinatorState, now_ms: float, query: QueryState) -> None:
    """Send second attempts for shards that take longer than the quantile."""
    service = state.services[query.arrived.budget_name]
    delay_ms = hedge_delay_ms(state, query)
    if delay_ms is None:
        return
    next_ms = now_ms + delay_ms
    for shard in query.shards.values():
        if shard.done or shard.hedged or len(shard.in_flight) != 1:
            continue
        if query.held and shard.shard != query.canary_shard:
            continue
        (attempt,) = shard.in_flight.values()
        due_ms = attempt.sent_ms + delay_ms
        if due_ms > now_ms:
            next_ms = min(next_ms, due_ms)
            continue
        leaf = _hedge_leaf(state, now_ms, shard, attempt)
        if leaf is not None and service.hedges.spend():
            shard.hedged = True
            state.counters.hedges += 1
            dispatch.send(
                state, now_ms, query, shard, leaf, EventKind.HEDGE_SENT
            )
    if query.open_shards and next_ms < query.hard_deadline_ms:
        state.wake_at(next_ms, WakeKind.HEDGE, query.number)


def _hedge_leaf(
    state: CoordinatorState,
    now_ms: float,
    shard: ShardState,
    attempt: Attempt,
) -> LeafState | None:
    replicas = shard.hedge_replicas
    if replicas is None:
        replicas = shard.replicas
    avoid = shard.tried | {attempt.leaf.leaf.name}
    leafs = state.leafs
    unsure = {
        name
        for name in replicas
        if name in leafs.leafs and leafs.leafs[name].phase != LeafPhase.WARM
    }
    leaf = leafs.choose(now_ms, replicas, avoid | unsure)
    return leaf or leafs.choose(now_ms, replicas, avoid)


def hedge_delay_ms(state: CoordinatorState, query: QueryState) -> float | None:
    """Return after what time a query's sub-requests are hedged, or None."""
    policy = query.arrived.policy.hedge
    if not policy.enabled or not query.arrived.request.idempotent:
        return None
    threshold_ms = state.services[
        query.arrived.budget_name
    ].latency.threshold_ms
    if threshold_ms is None:
        return None
    return max(policy.min_delay_ms, threshold_ms)
