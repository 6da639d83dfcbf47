"""Takes in what came of a sub-request.

Each report is matched by query, shard and attempt. Reports of attempts that
no longer matter release the leaf's slot and are dropped and counted; reports
that match nothing are dropped and counted as foreign.
"""

from oriolegate.coordinator import canary
from oriolegate.coordinator import dispatch
from oriolegate.coordinator.messages import LeafReport
from oriolegate.coordinator.messages import SubAnswered
from oriolegate.coordinator.messages import SubFailed
from oriolegate.coordinator.messages import SubLost
from oriolegate.coordinator.messages import SubNotRun
from oriolegate.coordinator.messages import SubRequestId
from oriolegate.coordinator.messages import SubUnsent
from oriolegate.coordinator.query import Attempt
from oriolegate.coordinator.query import QueryState
from oriolegate.coordinator.query import ShardState
from oriolegate.coordinator.state import CoordinatorState
from oriolegate.result_codes import ResultCode
from oriolegate.timeline.events import EventKind

SHED_REST_FACTOR = 2.0
MEAN_WEIGHT = 0.02

STALE_REASONS = frozenset(("no-version", "no-shard"))

_Match = tuple[QueryState, ShardState, Attempt]


def _take(
    state: CoordinatorState, now_ms: float, sub: SubRequestId
) -> _Match | None:
    """Remove the attempt that a report belongs to and release its slot."""
    query = state.queries.get(sub.query)
    shard = query.shards.get(sub.shard) if query is not None else None
    attempt = shard.in_flight.pop(sub.attempt, None) if shard else None
    if attempt is None:
        _drop_late(state, now_ms, sub)
        return None
    attempt.leaf.in_flight -= 1
    assert query is not None
    assert shard is not None
    return query, shard, attempt


def _take_report(
    state: CoordinatorState,
    now_ms: float,
    sub: SubRequestId,
    report: LeafReport,
) -> _Match | None:
    """Take in the leaf's state, then the attempt that the report belongs to.

    In this order: taking a late attempt frees a slot, which must not be
    filled again at a leaf that has just said that it is cold or leaves.
    """
    state.leafs.record_state(
        now_ms,
        report.leaf,
        report.state,
        report.incarnation,
        _sent_ms(state, sub),
    )
    return _take(state, now_ms, sub)


def _sent_ms(state: CoordinatorState, sub: SubRequestId) -> float:
    """Return when an attempt was sent; long ago if nothing is known of it."""
    query = state.queries.get(sub.query)
    shard = query.shards.get(sub.shard) if query is not None else None
    attempt = shard.in_flight.get(sub.attempt) if shard else None
    if attempt is None:
        attempt = state.orphans.get((sub.query, sub.shard, sub.attempt))
    return attempt.sent_ms if attempt is not None else float("-inf")


def _drop_late(
    state: CoordinatorState, now_ms: float, sub: SubRequestId
) -> None:
    key = (sub.query, sub.shard, sub.attempt)
    attempt = state.orphans.pop(key, None)
    if attempt is None:
        state.counters.foreign_dropped += 1
        return
    state.counters.late_dropped += 1
    attempt.leaf.in_flight -= 1
    state.events.record(
        now_ms, EventKind.LATE_DROPPED, "", sub.query, sub.shard, sub.attempt
    )
    dispatch.drain_queue(state, now_ms, attempt.leaf)


def answered(
    state: CoordinatorState, now_ms: float, event: SubAnswered
) -> QueryState | None:
    """Take in a shard's results; return the query if it can be answered."""
    report = event.report
    match = _take_report(state, now_ms, event.sub, report)
    if match is None:
        return None
    query, shard, attempt = match
    latency_ms = now_ms - attempt.sent_ms
    state.leafs.record_success(now_ms, attempt.leaf, latency_ms)
    service = state.services[query.arrived.budget_name]
    service.latency.record(latency_ms)
    service.mean_ms += MEAN_WEIGHT * (latency_ms - service.mean_ms)
    if event.index_version != query.index_version:
        state.counters.wrong_version_dropped += 1
        _after_failure(state, now_ms, match, ResultCode.VERSION_GONE)
    else:
        state.events.record(
            now_ms,
            EventKind.SUB_ANSWER,
            query.request_id,
            shard.shard,
            event.sub.attempt,
            report.leaf,
        )
        shard.results = event.results
        shard.done = True
        query.open_shards -= 1
        dispatch.stop_waiting(state, query, shard)
        dispatch.cancel_others(state, now_ms, query, shard)
        if query.held:
            canary.attempt_ended(state, now_ms, query, shard)
    dispatch.drain_queue(state, now_ms, attempt.leaf)
    return query if query.open_shards == 0 or query.soft_passed else None


def not_run(
    state: CoordinatorState, now_ms: float, event: SubNotRun
) -> tuple[QueryState | None, bool]:
    """Take in that a leaf did not run a sub-request.

    Returns:
        The query if it is affected, and whether its pinned version is stale
        at that leaf.
    """
    report = event.report
    match = _take_report(state, now_ms, event.sub, report)
    if match is None:
        return None, False
    query, shard, attempt = match
    state.events.record(
        now_ms,
        EventKind.SUB_NOT_RUN,
        query.request_id,
        shard.shard,
        event.sub.attempt,
        report.leaf,
        event.reason,
    )
    stale = event.reason in STALE_REASONS
    if event.reason == "shed":
        shard.missing = ResultCode.UPSTREAM_BUSY
        attempt.leaf.record_shed()
        rest_ms = SHED_REST_FACTOR * attempt.leaf.latency_ms
        dispatch.rest_leaf(state, attempt.leaf, now_ms + rest_ms)
    elif stale:
        shard.missing = ResultCode.VERSION_GONE
        shard.tried.add(report.leaf)
    elif event.reason == "cold":
        shard.missing = ResultCode.UPSTREAM_COLD
    if event.reason == "expired":
        if not shard.in_flight:
            dispatch.give_up(query, shard, ResultCode.SHARD_DEADLINE)
            if query.held:
                canary.attempt_ended(state, now_ms, query, shard)
    elif not stale:
        _try_again(state, now_ms, query, shard)
    dispatch.drain_queue(state, now_ms, attempt.leaf)
    return query, stale


def retry_stale(
    state: CoordinatorState, now_ms: float, query: QueryState, shard: int
) -> None:
    """Try another replica of a shard whose leaf lacks the pinned version."""
    _try_again(state, now_ms, query, query.shards[shard])


def failed(
    state: CoordinatorState, now_ms: float, event: SubFailed
) -> QueryState | None:
    """Take in that a leaf failed a sub-request that may have run."""
    report = event.report
    match = _take_report(state, now_ms, event.sub, report)
    if match is None:
        return None
    return _after_failure(state, now_ms, match, ResultCode.UPSTREAM_FAILED)


def lost(
    state: CoordinatorState, now_ms: float, event: SubLost
) -> QueryState | None:
    """Take in that a connection was lost under a sub-request."""
    match = _take(state, now_ms, event.sub)
    if match is None:
        return None
    query = match[0]
    newly_held = False
    if not event.may_retry and query.arrived.request.idempotent:
        newly_held = canary.hold(state, query)
    _after_failure(state, now_ms, match, ResultCode.REPLICA_LOST)
    if newly_held:
        canary.ask(state, now_ms, query)
    return query


def _after_failure(
    state: CoordinatorState, now_ms: float, match: _Match, reason: ResultCode
) -> QueryState:
    query, shard, attempt = match
    shard.may_have_run = True
    shard.missing = reason
    shard.tried.add(attempt.leaf.leaf.name)
    state.events.record(
        now_ms,
        EventKind.SUB_FAILED,
        query.request_id,
        shard.shard,
        attempt.leaf.leaf.name,
        int(reason),
    )
    if query.arrived.request.idempotent:
        _try_again(state, now_ms, query, shard)
    elif not shard.in_flight:
        dispatch.give_up(query, shard, reason)
    dispatch.drain_queue(state, now_ms, attempt.leaf)
    return query


def unsent(
    state: CoordinatorState, now_ms: float, event: SubUnsent
) -> QueryState | None:
    """Take in that a sub-request never left this process."""
    match = _take(state, now_ms, event.sub)
    if match is None:
        return None
    query, shard, attempt = match
    shard.missing = ResultCode.REPLICA_LOST
    shard.tried.add(attempt.leaf.leaf.name)
    _try_again(state, now_ms, query, shard)
    return query


def _try_again(
    state: CoordinatorState,
    now_ms: float,
    query: QueryState,
    shard: ShardState,
) -> None:
    if shard.done or shard.in_flight:
        return
    if query.held:
        canary.attempt_ended(state, now_ms, query, shard)
    else:
        dispatch.retry(state, now_ms, query, shard)
