"""Handles the events that end a sub-request.

Each event is matched to its attempt by query, shard and attempt number.
A late event, whose attempt was cancelled, releases the attempt's slot at the
leaf and is counted as `late_dropped`; an event that matches no attempt is
counted as `foreign_dropped`.
"""

from oriolegate.coordinator import canary
from oriolegate.coordinator import dispatch
from oriolegate.coordinator.coordinator_state import CoordinatorState
from oriolegate.coordinator.messages import LeafReport
from oriolegate.coordinator.messages import SubAnswered
from oriolegate.coordinator.messages import SubFailed
from oriolegate.coordinator.messages import SubLost
from oriolegate.coordinator.messages import SubNotRun
from oriolegate.coordinator.messages import SubRequestId
from oriolegate.coordinator.messages import SubUnsent
from oriolegate.coordinator.query_state import Attempt
from oriolegate.coordinator.query_state import QueryState
from oriolegate.coordinator.query_state import ShardState
from oriolegate.result_codes import ResultCode
from oriolegate.timeline.events import EventKind

# Pause of a leaf that shed a sub-request, as a multiple of the leaf's latency.
SHED_PAUSE_FACTOR = 2.0
MEAN_LATENCY_WEIGHT = 0.02  # weight of a new sample in the moving average

# Reasons given by a leaf that did not run a sub-request because it lacks the
# pinned index version, or the shard in that version.
STALE_REASONS = frozenset(("no-version", "no-shard"))

_MatchedAttempt = tuple[QueryState, ShardState, Attempt]


def _take_attempt(
    state: CoordinatorState, now_ms: float, sub: SubRequestId
) -> _MatchedAttempt | None:
    """Remove the attempt that an event belongs to and release its slot."""
    query = state.queries.get(sub.query)
    shard = query.shards.get(sub.shard) if query is not None else None
    attempt = shard.in_flight.pop(sub.attempt, None) if shard else None
    if attempt is None:
        _drop_unmatched(state, now_ms, sub)
        return None
    attempt.leaf.in_flight -= 1
    assert query is not None
    assert shard is not None
    return query, shard, attempt


def _apply_report(
    state: CoordinatorState,
    now_ms: float,
    sub: SubRequestId,
    report: LeafReport,
) -> _MatchedAttempt | None:
    """Apply the reported leaf state, then remove the matching attempt.

    The order matters: removing a late attempt frees a slot, which must not be
    refilled at a leaf that has just reported that it is cold or draining.
    """
    state.leafs.record_state(
        now_ms,
        report.leaf,
        report.state,
        report.incarnation,
        _sent_ms(state, sub),
    )
    return _take_attempt(state, now_ms, sub)


def _sent_ms(state: CoordinatorState, sub: SubRequestId) -> float:
    """Return when an attempt was sent; minus infinity for an unknown one."""
    query = state.queries.get(sub.query)
    shard = query.shards.get(sub.shard) if query is not None else None
    attempt = shard.in_flight.get(sub.attempt) if shard else None
    if attempt is None:
        attempt = state.orphans.get((sub.query, sub.shard, sub.attempt))
    return attempt.sent_ms if attempt is not None else float("-inf")


def _drop_unmatched(
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


def on_answered(
    state: CoordinatorState, now_ms: float, event: SubAnswered
) -> QueryState | None:
    """Record a shard's results; return the query if it can be answered."""
    report = event.report
    match = _apply_report(state, now_ms, event.sub, report)
    if match is None:
        return None
    query, shard, attempt = match
    latency_ms = now_ms - attempt.sent_ms
    state.leafs.record_success(now_ms, attempt.leaf, latency_ms)
    service = state.services[query.arrival.budget_name]
    service.latency.record(latency_ms)
    service.mean_latency_ms += MEAN_LATENCY_WEIGHT * (
        latency_ms - service.mean_latency_ms
    )
    if event.index_version != query.index_version:
        state.counters.wrong_version_dropped += 1
        _handle_failure(state, now_ms, match, ResultCode.VERSION_GONE)
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
        dispatch.cancel_in_flight(state, now_ms, query, shard)
        if query.held:
            canary.on_attempt_ended(state, now_ms, query, shard)
    dispatch.drain_queue(state, now_ms, attempt.leaf)
    return (
        query if query.open_shards == 0 or query.soft_deadline_passed else None
    )


def on_not_run(
    state: CoordinatorState, now_ms: float, event: SubNotRun
) -> tuple[QueryState | None, bool]:
    """Handle a sub-request that a leaf did not run.

    Returns:
        The query, or None if no attempt matched, and whether the leaf lacks
        the query's pinned index version or the shard in that version.
    """
    report = event.report
    match = _apply_report(state, now_ms, event.sub, report)
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
        shard.missing_reason = ResultCode.UPSTREAM_BUSY
        attempt.leaf.record_shed()
        pause_ms = SHED_PAUSE_FACTOR * attempt.leaf.latency_ms
        dispatch.pause_leaf(state, attempt.leaf, now_ms + pause_ms)
    elif stale:
        shard.missing_reason = ResultCode.VERSION_GONE
        shard.excluded_leafs.add(report.leaf)
    elif event.reason == "cold":
        shard.missing_reason = ResultCode.UPSTREAM_COLD
    if event.reason == "expired":
        if not shard.in_flight:
            dispatch.give_up(query, shard, ResultCode.SHARD_DEADLINE)
            if query.held:
                canary.on_attempt_ended(state, now_ms, query, shard)
    elif not stale:
        _retry_or_end_canary(state, now_ms, query, shard)
    dispatch.drain_queue(state, now_ms, attempt.leaf)
    return query, stale


def retry_stale(
    state: CoordinatorState, now_ms: float, query: QueryState, shard: int
) -> None:
    """Try another replica of a shard whose leaf lacks the pinned version."""
    _retry_or_end_canary(state, now_ms, query, query.shards[shard])


def on_failed(
    state: CoordinatorState, now_ms: float, event: SubFailed
) -> QueryState | None:
    """Handle a sub-request that failed and may have run."""
    report = event.report
    match = _apply_report(state, now_ms, event.sub, report)
    if match is None:
        return None
    return _handle_failure(state, now_ms, match, ResultCode.UPSTREAM_FAILED)


def on_lost(
    state: CoordinatorState, now_ms: float, event: SubLost
) -> QueryState | None:
    """Handle a connection lost with a sub-request in flight."""
    match = _take_attempt(state, now_ms, event.sub)
    if match is None:
        return None
    query = match[0]
    newly_held = False
    if not event.may_retry and query.arrival.request.idempotent:
        newly_held = canary.hold_query(state, query)
    _handle_failure(state, now_ms, match, ResultCode.REPLICA_LOST)
    if newly_held:
        canary.request_admission(state, now_ms, query)
    return query


def _handle_failure(
    state: CoordinatorState,
    now_ms: float,
    match: _MatchedAttempt,
    reason: ResultCode,
) -> QueryState:
    query, shard, attempt = match
    shard.may_have_run = True
    shard.missing_reason = reason
    shard.excluded_leafs.add(attempt.leaf.leaf.name)
    state.events.record(
        now_ms,
        EventKind.SUB_FAILED,
        query.request_id,
        shard.shard,
        attempt.leaf.leaf.name,
        int(reason),
    )
    if query.arrival.request.idempotent:
        _retry_or_end_canary(state, now_ms, query, shard)
    elif not shard.in_flight:
        dispatch.give_up(query, shard, reason)
    dispatch.drain_queue(state, now_ms, attempt.leaf)
    return query


def on_unsent(
    state: CoordinatorState, now_ms: float, event: SubUnsent
) -> QueryState | None:
    """Handle a sub-request that was not sent."""
    match = _take_attempt(state, now_ms, event.sub)
    if match is None:
        return None
    query, shard, attempt = match
    shard.missing_reason = ResultCode.REPLICA_LOST
    shard.excluded_leafs.add(attempt.leaf.leaf.name)
    _retry_or_end_canary(state, now_ms, query, shard)
    return query


def _retry_or_end_canary(
    state: CoordinatorState,
    now_ms: float,
    query: QueryState,
    shard: ShardState,
) -> None:
    if shard.done or shard.in_flight:
        return
    if query.held:
        canary.on_attempt_ended(state, now_ms, query, shard)
    else:
        dispatch.retry_shard(state, now_ms, query, shard)
