"""Holds the shards of a query that may crash upstreams, and releases them.

While a query is held, at most one of its shards is sent: the canary, to a
leaf of the upstream that the quarantine names, and its hedge to a leaf of the
second upstream that it names. When the canary ends, the quarantine is asked
again. An upstream that can't take the canary (taken out, draining, without
capacity) is passed over: the quarantine is asked with those left over.
"""

from oriolegate.coordinator import dispatch
from oriolegate.coordinator import hedging
from oriolegate.coordinator.messages import AdmissionDropped
from oriolegate.coordinator.messages import AdmissionWanted
from oriolegate.coordinator.messages import CanaryChosen
from oriolegate.coordinator.query import QueryState
from oriolegate.coordinator.query import ShardState
from oriolegate.coordinator.state import CoordinatorState
from oriolegate.coordinator.state import WakeKind
from oriolegate.timeline.events import EventKind

RECHECK_MS = 50.0  # no event tells that an upstream can take work again


def hold(state: CoordinatorState, query: QueryState) -> bool:
    """Hold what a query has not sent yet; what is in flight runs on.

    Returns:
        Whether it was not held before.
    """
    if query.held:
        return False
    query.held = True
    for shard in query.shards.values():
        dispatch.stop_waiting(state, query, shard)
    return True


def ask(
    state: CoordinatorState,
    now_ms: float,
    query: QueryState,
    canary_unsent: bool = False,
) -> None:
    """Ask the quarantine how a held query may go on."""
    if query.open_shards == 0:
        return
    upstreams = _upstreams(state, query)
    if upstreams:
        state.effects.append(
            AdmissionWanted(
                query.number,
                query.request_id,
                query.arrived.fingerprint,
                upstreams,
                canary_unsent,
            )
        )
        return
    state.effects.append(
        AdmissionDropped(query.number, query.arrived.fingerprint, canary_unsent)
    )
    _wait_for_upstreams(state, now_ms, query)


def _upstreams(state: CoordinatorState, query: QueryState) -> tuple[str, ...]:
    leafs = state.leafs.leafs
    names = {
        leafs[name].leaf.upstream
        for shard in query.shards.values()
        for name in shard.holders
        if name in leafs
    }
    return tuple(sorted(names - query.passed_over))


def _wait_for_upstreams(
    state: CoordinatorState, now_ms: float, query: QueryState
) -> None:
    """Ask again later if some upstream may recover, else give up."""
    idle = query.idle_shards()
    if not any(
        state.leafs.has_recoverable_replica(shard.replicas, shard.tried)
        for shard in idle
    ):
        for shard in idle:
            reason = dispatch.reason_without_replica(shard)
            dispatch.give_up(query, shard, reason)
    # What was in flight when the query was held may yet become idle.
    if query.open_shards:
        state.wake_at(now_ms + RECHECK_MS, WakeKind.ADMISSION, query.number)


def ask_again(
    state: CoordinatorState, now_ms: float, query: QueryState
) -> None:
    """Take that the time to look at a held query again has come."""
    if not query.held:
        return
    if query.canary_shard is None:
        if query.passed_over:
            query.passed_over.clear()
            ask(state, now_ms, query)
        return
    shard = query.shards[query.canary_shard]
    if not shard.waiting:
        return
    if state.leafs.has_usable_replica(shard.replicas, shard.tried):
        state.wake_at(now_ms + RECHECK_MS, WakeKind.ADMISSION, query.number)
        return
    upstreams = {
        state.leafs.leafs[name].leaf.upstream
        for name in shard.replicas
        if name in state.leafs.leafs
    }
    dispatch.stop_waiting(state, query, shard)
    _end_canary(query, shard)
    query.passed_over |= upstreams
    ask(state, now_ms, query, canary_unsent=True)


def send(
    state: CoordinatorState,
    now_ms: float,
    query: QueryState,
    chosen: CanaryChosen,
) -> None:
    """Send the canary, or pass over an upstream that can't take it."""
    if query.canary_shard is not None:
        return
    shard = _choose_shard(state, now_ms, query, chosen)
    if shard is None:
        query.passed_over.add(chosen.upstream)
        ask(state, now_ms, query, canary_unsent=True)
        return
    kind = EventKind.SUB_REQUEST_SENT
    if shard.attempts > query.first_attempt:
        kind = EventKind.RETRY_SENT
        if not dispatch.spend_retry(state, query, shard):
            dispatch.give_up(query, shard, shard.missing)
            ask(state, now_ms, query, canary_unsent=True)
            return
    query.passed_over.clear()
    query.canary_shard = shard.shard
    shard.replicas = _holders_at(state, shard, chosen.upstream)
    shard.hedge_replicas = _holders_at(state, shard, chosen.hedge_upstream)
    dispatch.start_shard(state, now_ms, query, shard, kind)
    if shard.waiting:
        state.wake_at(now_ms + RECHECK_MS, WakeKind.ADMISSION, query.number)
    hedging.plan_hedges(state, now_ms, query)


def _holders_at(
    state: CoordinatorState, shard: ShardState, upstream: str | None
) -> tuple[str, ...]:
    leafs = state.leafs.leafs
    return tuple(
        name
        for name in shard.holders
        if name in leafs and leafs[name].leaf.upstream == upstream
    )


def _choose_shard(
    state: CoordinatorState,
    now_ms: float,
    query: QueryState,
    chosen: CanaryChosen,
) -> ShardState | None:
    """Return the shard to send: one that goes at once and can be hedged."""
    total = len(query.shards)
    best: ShardState | None = None
    best_cost: tuple[bool, bool, int] | None = None
    for shard in query.idle_shards():
        names = _holders_at(state, shard, chosen.upstream)
        if not state.leafs.has_usable_replica(names, shard.tried):
            continue
        leaf = state.leafs.choose(now_ms, names, shard.tried)
        hedges = _holders_at(state, shard, chosen.hedge_upstream)
        # Canaries of different requests are spread over an upstream's leafs.
        order = (shard.shard + query.arrived.fingerprint) % total
        cost = (leaf is None, not hedges, order)
        if best_cost is None or cost < best_cost:
            best, best_cost = shard, cost
    return best


def attempt_ended(
    state: CoordinatorState,
    now_ms: float,
    query: QueryState,
    shard: ShardState,
) -> None:
    """Take that a shard of a held query has no attempt in flight."""
    if query.canary_shard != shard.shard:
        return
    _end_canary(query, shard)
    attempts = shard.attempts - query.first_attempt
    if not shard.done and attempts >= query.arrived.policy.max_attempts:
        dispatch.give_up(query, shard, shard.missing)
    ask(state, now_ms, query)


def _end_canary(query: QueryState, shard: ShardState) -> None:
    query.canary_shard = None
    shard.replicas = shard.holders
    shard.hedge_replicas = None


def release(state: CoordinatorState, now_ms: float, query: QueryState) -> None:
    """Send every shard that was held."""
    query.held = False
    query.passed_over.clear()
    if query.canary_shard is not None:
        shard = query.shards[query.canary_shard]
        dispatch.stop_waiting(state, query, shard)
        _end_canary(query, shard)
    for shard in query.idle_shards():
        if shard.attempts > query.first_attempt:
            dispatch.retry(state, now_ms, query, shard)
        else:
            dispatch.start_shard(state, now_ms, query, shard)
    hedging.plan_hedges(state, now_ms, query)


def drop(state: CoordinatorState, query: QueryState) -> None:
    """Tell the quarantine that a held query, or its pin, is over."""
    number = query.canary_shard
    canary_unsent = number is not None and query.shards[number].waiting
    query.canary_shard = None
    query.passed_over.clear()
    state.effects.append(
        AdmissionDropped(query.number, query.arrived.fingerprint, canary_unsent)
    )
