"""Holds queries that may crash upstreams, and sends their canaries.

While a query is held, at most one of its shards is sent: the canary. It goes
to a leaf of the upstream that the quarantine chooses; the canary's hedge may
go to a leaf of a second chosen upstream. When the canary ends, the coordinator
requests a new admission from the quarantine. An upstream that can't take the
canary (taken out, draining, without capacity) is skipped: admission is
requested again with the remaining upstreams.
"""

from oriolegate.coordinator import dispatch
from oriolegate.coordinator import hedging
from oriolegate.coordinator.coordinator_state import CoordinatorState
from oriolegate.coordinator.coordinator_state import WakeKind
from oriolegate.coordinator.messages import AdmissionDropped
from oriolegate.coordinator.messages import AdmissionWanted
from oriolegate.coordinator.messages import CanaryChosen
from oriolegate.coordinator.query_state import QueryState
from oriolegate.coordinator.query_state import ShardState
from oriolegate.timeline.events import EventKind

# Poll interval: no event reports that an upstream has capacity again.
RECHECK_MS = 50.0


def hold_query(state: CoordinatorState, query: QueryState) -> bool:
    """Hold the unsent shards of a query; attempts in flight continue.

    Returns:
        True if the query was not held before, False if it already was.
    """
    if query.held:
        return False
    query.held = True
    for shard in query.shards.values():
        dispatch.stop_waiting(state, query, shard)
    return True


def request_admission(
    state: CoordinatorState,
    now_ms: float,
    query: QueryState,
    canary_unsent: bool = False,
) -> None:
    """Request a decision from the quarantine on a held query."""
    if query.open_shards == 0:
        return
    upstreams = _candidate_upstreams(state, query)
    if upstreams:
        state.effects.append(
            AdmissionWanted(
                query.number,
                query.request_id,
                query.arrival.fingerprint,
                upstreams,
                canary_unsent,
            )
        )
        return
    state.effects.append(
        AdmissionDropped(query.number, query.arrival.fingerprint, canary_unsent)
    )
    _recheck_or_give_up(state, now_ms, query)


def _candidate_upstreams(
    state: CoordinatorState, query: QueryState
) -> tuple[str, ...]:
    leafs = state.leafs.leafs
    names = {
        leafs[name].leaf.upstream
        for shard in query.shards.values()
        for name in shard.replicas
        if name in leafs
    }
    return tuple(sorted(names - query.skipped_upstreams))


def _recheck_or_give_up(
    state: CoordinatorState, now_ms: float, query: QueryState
) -> None:
    """Schedule a recheck; give up idle shards if no replica can recover."""
    idle = query.idle_shards()
    if not any(
        state.leafs.has_recoverable_replica(
            shard.eligible_replicas, shard.excluded_leafs
        )
        for shard in idle
    ):
        for shard in idle:
            reason = dispatch.reason_for_no_replica(shard)
            dispatch.give_up(query, shard, reason)
    # Shards in flight when the query was held may still become idle.
    if query.open_shards:
        state.wake_at(
            now_ms + RECHECK_MS, WakeKind.CANARY_RECHECK, query.number
        )


def on_recheck_due(
    state: CoordinatorState, now_ms: float, query: QueryState
) -> None:
    """Re-evaluate a held query whose recheck is due."""
    if not query.held:
        return
    if query.canary_shard is None:
        if query.skipped_upstreams:
            query.skipped_upstreams.clear()
            request_admission(state, now_ms, query)
        return
    shard = query.shards[query.canary_shard]
    if not shard.waiting:
        return
    if state.leafs.has_usable_replica(
        shard.eligible_replicas, shard.excluded_leafs
    ):
        state.wake_at(
            now_ms + RECHECK_MS, WakeKind.CANARY_RECHECK, query.number
        )
        return
    upstreams = {
        state.leafs.leafs[name].leaf.upstream
        for name in shard.eligible_replicas
        if name in state.leafs.leafs
    }
    dispatch.stop_waiting(state, query, shard)
    _reset_canary(query, shard)
    query.skipped_upstreams |= upstreams
    request_admission(state, now_ms, query, canary_unsent=True)


def send_canary(
    state: CoordinatorState,
    now_ms: float,
    query: QueryState,
    chosen: CanaryChosen,
) -> None:
    """Send the canary, or skip an upstream that can't take it."""
    if query.canary_shard is not None:
        return
    shard = _choose_shard(state, now_ms, query, chosen)
    if shard is None:
        query.skipped_upstreams.add(chosen.upstream)
        request_admission(state, now_ms, query, canary_unsent=True)
        return
    kind = EventKind.SUB_REQUEST_SENT
    if shard.attempts > query.first_attempt_of_pin:
        kind = EventKind.RETRY_SENT
        if not dispatch.try_spend_retry(state, query, shard):
            dispatch.give_up(query, shard, shard.missing_reason)
            request_admission(state, now_ms, query, canary_unsent=True)
            return
    query.skipped_upstreams.clear()
    query.canary_shard = shard.shard
    shard.eligible_replicas = _replicas_at(state, shard, chosen.upstream)
    shard.hedge_replicas = _replicas_at(state, shard, chosen.hedge_upstream)
    dispatch.send_or_queue(state, now_ms, query, shard, kind)
    if shard.waiting:
        state.wake_at(
            now_ms + RECHECK_MS, WakeKind.CANARY_RECHECK, query.number
        )
    hedging.schedule_hedges(state, now_ms, query)


def _replicas_at(
    state: CoordinatorState, shard: ShardState, upstream: str | None
) -> tuple[str, ...]:
    leafs = state.leafs.leafs
    return tuple(
        name
        for name in shard.replicas
        if name in leafs and leafs[name].leaf.upstream == upstream
    )


def _choose_shard(
    state: CoordinatorState,
    now_ms: float,
    query: QueryState,
    chosen: CanaryChosen,
) -> ShardState | None:
    """Return the canary shard, preferably sendable now and hedgeable."""
    total = len(query.shards)
    best: ShardState | None = None
    best_cost: tuple[bool, bool, int] | None = None
    for shard in query.idle_shards():
        names = _replicas_at(state, shard, chosen.upstream)
        if not state.leafs.has_usable_replica(names, shard.excluded_leafs):
            continue
        leaf = state.leafs.choose(now_ms, names, shard.excluded_leafs)
        hedges = _replicas_at(state, shard, chosen.hedge_upstream)
        # Spreads the canaries of different requests over an upstream's leafs.
        order = (shard.shard + query.arrival.fingerprint) % total
        cost = (leaf is None, not hedges, order)
        if best_cost is None or cost < best_cost:
            best, best_cost = shard, cost
    return best


def on_attempt_ended(
    state: CoordinatorState,
    now_ms: float,
    query: QueryState,
    shard: ShardState,
) -> None:
    """Handle the end of a held query's last attempt for a shard."""
    if query.canary_shard != shard.shard:
        return
    _reset_canary(query, shard)
    attempts = shard.attempts - query.first_attempt_of_pin
    if not shard.done and attempts >= query.arrival.policy.max_attempts:
        dispatch.give_up(query, shard, shard.missing_reason)
    request_admission(state, now_ms, query)


def _reset_canary(query: QueryState, shard: ShardState) -> None:
    query.canary_shard = None
    shard.eligible_replicas = shard.replicas
    shard.hedge_replicas = None


def release_query(
    state: CoordinatorState, now_ms: float, query: QueryState
) -> None:
    """Stop holding a query and send all its idle shards."""
    query.held = False
    query.skipped_upstreams.clear()
    if query.canary_shard is not None:
        shard = query.shards[query.canary_shard]
        dispatch.stop_waiting(state, query, shard)
        _reset_canary(query, shard)
    for shard in query.idle_shards():
        if shard.attempts > query.first_attempt_of_pin:
            dispatch.retry_shard(state, now_ms, query, shard)
        else:
            dispatch.send_or_queue(state, now_ms, query, shard)
    hedging.schedule_hedges(state, now_ms, query)


def drop_admission(state: CoordinatorState, query: QueryState) -> None:
    """Withdraw a held query's admission request and its canary.

    Called when the query ends or is pinned to another index version.
    """
    number = query.canary_shard
    canary_unsent = number is not None and query.shards[number].waiting
    query.canary_shard = None
    query.skipped_upstreams.clear()
    state.effects.append(
        AdmissionDropped(query.number, query.arrival.fingerprint, canary_unsent)
    )
