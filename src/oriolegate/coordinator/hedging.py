"""Hedges slow sub-requests with a second attempt at another replica.

Hedges are never queued. A hedge goes to a fully warm leaf if one accepts it;
otherwise to a cold or ramping leaf within that leaf's limit, whose response
also reveals whether the leaf has become warm.
"""

from oriolegate.coordinator import dispatch
from oriolegate.coordinator.coordinator_state import CoordinatorState
from oriolegate.coordinator.coordinator_state import WakeKind
from oriolegate.coordinator.query_state import Attempt
from oriolegate.coordinator.query_state import QueryState
from oriolegate.coordinator.query_state import ShardState
from oriolegate.timeline.events import EventKind
from oriolegate.upstreams.leaf_state import LeafPhase
from oriolegate.upstreams.leaf_state import LeafState


def schedule_hedges(
    state: CoordinatorState, now_ms: float, query: QueryState
) -> None:
    """Schedule the first hedge check of a query, once."""
    delay_ms = hedge_delay_ms(state, query)
    if delay_ms is not None and not query.hedges_scheduled:
        query.hedges_scheduled = True
        state.wake_at(now_ms + delay_ms, WakeKind.HEDGE, query.number)


def send_hedges(
    state: CoordinatorState, now_ms: float, query: QueryState
) -> None:
    """Hedge shards in flight longer than the delay; schedule the next check."""
    service = state.services[query.arrival.budget_name]
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
        leaf = _choose_hedge_leaf(state, now_ms, shard, attempt)
        if leaf is not None and service.hedges.try_spend():
            shard.hedged = True
            state.counters.hedges += 1
            dispatch.send_attempt(
                state, now_ms, query, shard, leaf, EventKind.HEDGE_SENT
            )
    if query.open_shards and next_ms < query.hard_deadline_ms:
        state.wake_at(next_ms, WakeKind.HEDGE, query.number)


def _choose_hedge_leaf(
    state: CoordinatorState,
    now_ms: float,
    shard: ShardState,
    attempt: Attempt,
) -> LeafState | None:
    replicas = shard.hedge_replicas
    if replicas is None:
        replicas = shard.eligible_replicas
    avoid = shard.excluded_leafs | {attempt.leaf.leaf.name}
    leafs = state.leafs
    not_warm = {
        name
        for name in replicas
        if name in leafs.leafs and leafs.leafs[name].phase != LeafPhase.WARM
    }
    leaf = leafs.choose(now_ms, replicas, avoid | not_warm)
    return leaf or leafs.choose(now_ms, replicas, avoid)


def hedge_delay_ms(state: CoordinatorState, query: QueryState) -> float | None:
    """Return the delay before hedges are sent, or None without hedging."""
    policy = query.arrival.policy.hedge
    if not policy.enabled or not query.arrival.request.idempotent:
        return None
    threshold_ms = state.services[
        query.arrival.budget_name
    ].latency.threshold_ms
    if threshold_ms is None:
        return None
    return max(policy.min_delay_ms, threshold_ms)
