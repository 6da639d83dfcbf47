"""Sends sub-requests: first attempts, retries and queued ones.

A sub-request is sent only if a leaf accepts one more within this process's
grant, its share of the leaf's capacity. Otherwise the sub-request is queued at
every eligible replica of its shard, and the first replica with capacity gets
the sub-request.
"""

from oriolegate.coordinator.coordinator_state import CoordinatorState
from oriolegate.coordinator.coordinator_state import WakeKind
from oriolegate.coordinator.messages import CancelSub
from oriolegate.coordinator.messages import SendSub
from oriolegate.coordinator.messages import SubRequestId
from oriolegate.coordinator.query_state import Attempt
from oriolegate.coordinator.query_state import QueryState
from oriolegate.coordinator.query_state import ShardState
from oriolegate.result_codes import ResultCode
from oriolegate.timeline.events import EventKind
from oriolegate.upstreams.leaf_state import LeafState

MIN_SENT_DEADLINE_MS = 1


def send_attempt(
    state: CoordinatorState,
    now_ms: float,
    query: QueryState,
    shard: ShardState,
    leaf: LeafState,
    kind: EventKind = EventKind.SUB_REQUEST_SENT,
) -> None:
    """Send one attempt for a shard to a leaf that accepts it."""
    number = shard.attempts
    shard.attempts = number + 1
    shard.in_flight[number] = Attempt(leaf, now_ms)
    leaf.in_flight += 1
    state.counters.sent += 1
    request = query.arrival.request
    remaining_ms = max(
        MIN_SENT_DEADLINE_MS, int(query.hard_deadline_ms - now_ms)
    )
    state.effects.append(
        SendSub(
            SubRequestId(
                query.number, shard.shard, number, query.arrival.fingerprint
            ),
            leaf.leaf.name,
            query.index_version,
            remaining_ms,
            request.body,
            request.idempotency_key,
        )
    )
    state.events.record(
        now_ms, kind, request.request_id, shard.shard, number, leaf.leaf.name
    )


def send_or_queue(
    state: CoordinatorState,
    now_ms: float,
    query: QueryState,
    shard: ShardState,
    kind: EventKind = EventKind.SUB_REQUEST_SENT,
) -> None:
    """Send a shard's next attempt, or queue the shard, or give it up."""
    leaf = state.leafs.choose(
        now_ms,
        shard.eligible_replicas,
        shard.excluded_leafs,
        query.arrival.preferred_upstream,
    )
    if leaf is not None:
        send_attempt(state, now_ms, query, shard, leaf, kind)
        return
    if state.leafs.has_recoverable_replica(
        shard.eligible_replicas, shard.excluded_leafs
    ):
        queue_shard(state, now_ms, query, shard)
    elif not shard.in_flight:
        give_up(query, shard, reason_for_no_replica(shard))


def reason_for_no_replica(shard: ShardState) -> ResultCode:
    """Return the reason for a missing shard without usable replica."""
    if shard.excluded_leafs:
        return shard.missing_reason
    return ResultCode.NO_REPLICA


def queue_shard(
    state: CoordinatorState,
    now_ms: float,
    query: QueryState,
    shard: ShardState,
) -> None:
    """Queue a shard at each of its eligible replicas."""
    if shard.waiting:
        return
    shard.waiting = True
    state.services[query.arrival.budget_name].waiting += 1
    priority = query.arrival.request.priority
    for name in shard.eligible_replicas:
        if name not in shard.excluded_leafs:
            state.ensure_queues(name, priority)
            state.waiters[name][priority].append((query, shard.shard))
    state.events.record(
        now_ms, EventKind.SUB_WAITING, query.request_id, shard.shard
    )


def stop_waiting(
    state: CoordinatorState, query: QueryState, shard: ShardState
) -> None:
    """Mark a shard as not queued; `drain_queue` skips its stale entries."""
    if shard.waiting:
        shard.waiting = False
        state.services[query.arrival.budget_name].waiting -= 1


def give_up(query: QueryState, shard: ShardState, reason: ResultCode) -> None:
    """Mark a shard as done and missing from the answer."""
    shard.done = True
    shard.missing_reason = reason
    query.open_shards -= 1


def drain_queue(
    state: CoordinatorState, now_ms: float, leaf: LeafState
) -> None:
    """Send queued sub-requests while the leaf accepts them."""
    queues = state.waiters.get(leaf.leaf.name)
    if queues is None:
        return
    for queue in queues:
        while queue:
            query, shard_number = queue[0]
            shard = query.shards.get(shard_number)
            if not _is_still_waiting(state, now_ms, query, shard, leaf):
                queue.popleft()
                continue
            if not leaf.can_accept(now_ms):
                return
            queue.popleft()
            assert shard is not None
            stop_waiting(state, query, shard)
            send_attempt(state, now_ms, query, shard, leaf)


def _is_still_waiting(
    state: CoordinatorState,
    now_ms: float,
    query: QueryState,
    shard: ShardState | None,
    leaf: LeafState,
) -> bool:
    return (
        shard is not None
        and shard.waiting
        and query.number in state.queries
        and now_ms < query.hard_deadline_ms
        and leaf.leaf.name not in shard.excluded_leafs
        and leaf.leaf.name in shard.eligible_replicas
    )


def pause_leaf(
    state: CoordinatorState, leaf: LeafState, until_ms: float
) -> None:
    """Send nothing to a leaf until a time, then drain its queue."""
    leaf.suspect_until_ms = max(leaf.suspect_until_ms, until_ms)
    state.wake_at(
        leaf.suspect_until_ms, WakeKind.LEAF_PAUSE_OVER, leaf.leaf.name
    )


def cancel_in_flight(
    state: CoordinatorState,
    now_ms: float,
    query: QueryState,
    shard: ShardState,
) -> None:
    """Cancel all attempts of a shard that are in flight.

    Each attempt counts as in flight at its leaf until its end is reported.
    """
    if not shard.in_flight:
        return
    service = state.services[query.arrival.budget_name]
    for number, attempt in shard.in_flight.items():
        sub = SubRequestId(query.number, shard.shard, number)
        state.effects.append(CancelSub(sub, attempt.leaf.leaf.name))
        state.orphans[(query.number, shard.shard, number)] = attempt
        # The elapsed time is a lower bound of the latency; without these
        # samples slow leafs would look fast.
        elapsed_ms = now_ms - attempt.sent_ms
        service.latency.record(elapsed_ms)
        attempt.leaf.record_minimum_latency(elapsed_ms)
        state.events.record(
            now_ms,
            EventKind.CANCEL_SENT,
            query.request_id,
            shard.shard,
            number,
            attempt.leaf.leaf.name,
        )
    shard.in_flight.clear()


def retry_shard(
    state: CoordinatorState,
    now_ms: float,
    query: QueryState,
    shard: ShardState,
) -> None:
    """Send a shard again, or give it up if retries are exhausted."""
    if try_spend_retry(state, query, shard):
        send_or_queue(state, now_ms, query, shard, EventKind.RETRY_SENT)
    else:
        give_up(query, shard, shard.missing_reason)


def try_spend_retry(
    state: CoordinatorState, query: QueryState, shard: ShardState
) -> bool:
    """Take one retry from the budget; return False if none is allowed."""
    attempts = shard.attempts - query.first_attempt_of_pin
    if attempts >= query.arrival.policy.max_attempts:
        return False
    if not state.services[query.arrival.budget_name].retries.try_spend():
        return False
    state.counters.retries += 1
    return True
