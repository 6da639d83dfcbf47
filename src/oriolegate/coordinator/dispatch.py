"""Sends sub-requests: first attempts, retries, and from the queue.

A sub-request goes out only when its leaf accepts one more within this
process's grant. Otherwise it waits at every replica of its shard, and the
first to accept gets it.
"""

from oriolegate.coordinator.messages import CancelSub
from oriolegate.coordinator.messages import SendSub
from oriolegate.coordinator.messages import SubRequestId
from oriolegate.coordinator.query import Attempt
from oriolegate.coordinator.query import QueryState
from oriolegate.coordinator.query import ShardState
from oriolegate.coordinator.state import CoordinatorState
from oriolegate.coordinator.state import WakeKind
from oriolegate.result_codes import ResultCode
from oriolegate.timeline.events import EventKind
from oriolegate.upstreams.leaf_state import LeafState

MIN_REMAINING_MS = 1


def send(
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
    request = query.arrived.request
    remaining_ms = max(MIN_REMAINING_MS, int(query.hard_deadline_ms - now_ms))
    state.effects.append(
        SendSub(
            SubRequestId(
                query.number, shard.shard, number, query.arrived.fingerprint
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


def start_shard(
    state: CoordinatorState,
    now_ms: float,
    query: QueryState,
    shard: ShardState,
    kind: EventKind = EventKind.SUB_REQUEST_SENT,
) -> None:
    """Send a shard's next attempt, or let it wait, or give it up."""
    leaf = state.leafs.choose(
        now_ms,
        shard.replicas,
        shard.tried,
        query.arrived.preferred_upstream,
    )
    if leaf is not None:
        send(state, now_ms, query, shard, leaf, kind)
        return
    if state.leafs.has_recoverable_replica(shard.replicas, shard.tried):
        wait(state, now_ms, query, shard)
    elif not shard.in_flight:
        give_up(query, shard, reason_without_replica(shard))


def reason_without_replica(shard: ShardState) -> ResultCode:
    """Return why a shard that no replica takes is missing."""
    if shard.tried:
        return shard.missing
    return ResultCode.NO_REPLICA


def wait(
    state: CoordinatorState,
    now_ms: float,
    query: QueryState,
    shard: ShardState,
) -> None:
    """Queue a shard at each of its replicas."""
    if shard.waiting:
        return
    shard.waiting = True
    state.services[query.arrived.budget_name].waiting += 1
    priority = query.arrived.request.priority
    for name in shard.replicas:
        if name not in shard.tried:
            state.queue_for(name, priority)
            state.waiters[name][priority].append((query, shard.shard))
    state.events.record(
        now_ms, EventKind.SUB_WAITING, query.request_id, shard.shard
    )


def stop_waiting(
    state: CoordinatorState, query: QueryState, shard: ShardState
) -> None:
    """Take a shard out of the count of waiting sub-requests."""
    if shard.waiting:
        shard.waiting = False
        state.services[query.arrived.budget_name].waiting -= 1


def give_up(query: QueryState, shard: ShardState, reason: ResultCode) -> None:
    """Mark a shard as missing from the answer."""
    shard.done = True
    shard.missing = reason
    query.open_shards -= 1


def drain_queue(
    state: CoordinatorState, now_ms: float, leaf: LeafState
) -> None:
    """Send waiting sub-requests for as long as the leaf accepts them."""
    queues = state.waiters.get(leaf.leaf.name)
    if queues is None:
        return
    for queue in queues:
        while queue:
            query, shard_number = queue[0]
            shard = query.shards.get(shard_number)
            if not _still_waits(state, now_ms, query, shard, leaf):
                queue.popleft()
                continue
            if not leaf.can_accept(now_ms):
                return
            queue.popleft()
            assert shard is not None
            stop_waiting(state, query, shard)
            send(state, now_ms, query, shard, leaf)


def _still_waits(
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
        and leaf.leaf.name not in shard.tried
        and leaf.leaf.name in shard.replicas
    )


def rest_leaf(
    state: CoordinatorState, leaf: LeafState, until_ms: float
) -> None:
    """Send nothing to a leaf before a time, then drain its queue."""
    leaf.suspect_until_ms = max(leaf.suspect_until_ms, until_ms)
    state.wake_at(leaf.suspect_until_ms, WakeKind.LEAF_RESTED, leaf.leaf.name)


def cancel_others(
    state: CoordinatorState,
    now_ms: float,
    query: QueryState,
    shard: ShardState,
) -> None:
    """Cancel the attempts of a shard that are still in flight.

    Their slots stay taken until the leaf reports their end.
    """
    if not shard.in_flight:
        return
    service = state.services[query.arrived.budget_name]
    for number, attempt in shard.in_flight.items():
        sub = SubRequestId(query.number, shard.shard, number)
        state.effects.append(CancelSub(sub, attempt.leaf.leaf.name))
        state.orphans[(query.number, shard.shard, number)] = attempt
        # The elapsed time is a lower bound of the latency; leaving it out
        # would make slow leafs look fast.
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


def retry(
    state: CoordinatorState,
    now_ms: float,
    query: QueryState,
    shard: ShardState,
) -> None:
    """Send a shard again, or give it up if that is beyond the limits."""
    if spend_retry(state, query, shard):
        start_shard(state, now_ms, query, shard, EventKind.RETRY_SENT)
    else:
        give_up(query, shard, shard.missing)


def spend_retry(
    state: CoordinatorState, query: QueryState, shard: ShardState
) -> bool:
    """Take one retry from the budget, unless a limit is reached."""
    attempts = shard.attempts - query.first_attempt
    if attempts >= query.arrived.policy.max_attempts:
        return False
    if not state.services[query.arrived.budget_name].retries.spend():
        return False
    state.counters.retries += 1
    return True
