"""The state of one query and of its shards."""

from typing import Any
import zlib

import attrs

from oriolegate.coordinator.messages import QueryArrived
from oriolegate.models.topology import ServiceTopology
from oriolegate.result_codes import ResultCode
from oriolegate.upstreams.leaf_state import LeafState


@attrs.define(eq=False)
class Attempt:
    """One sub-request that was sent and has not finished.

    Attributes:
        leaf: The leaf that received the sub-request.
        sent_ms: Time at which the sub-request was sent.
    """

    leaf: LeafState
    sent_ms: float


@attrs.define(eq=False)
class ShardState:
    """One shard of a query.

    Attributes:
        shard: Shard number.
        replicas: Names of all leafs that hold the shard.
        eligible_replicas: Replicas that an attempt may be sent to now.
        hedge_replicas: Replicas that a hedge may be sent to; None for
            `eligible_replicas`.
        in_flight: Attempts not finished, by attempt number.
        attempts: Attempts sent so far.
        excluded_leafs: Leafs that failed the shard; not chosen again.
        waiting: True while queued for a replica with capacity.
        done: True once answered or given up.
        results: The shard's results once answered.
        missing_reason: Why the shard was given up or last failed.
        may_have_run: True if some attempt may have run.
        hedged: True once a hedge was sent.
    """

    shard: int
    replicas: tuple[str, ...]
    eligible_replicas: tuple[str, ...] = ()
    hedge_replicas: tuple[str, ...] | None = None
    in_flight: dict[int, Attempt] = attrs.field(factory=dict)
    attempts: int = 0
    excluded_leafs: set[str] = attrs.field(factory=set)
    waiting: bool = False
    done: bool = False
    results: list[Any] | None = None
    missing_reason: ResultCode = ResultCode.SHARD_DEADLINE
    may_have_run: bool = False
    hedged: bool = False


@attrs.define(eq=False)
class QueryState:
    """One query from arrival to delivery.

    Attributes:
        number: Unique in this process.
        arrival: The event that started the query.
        arrival_ms: Time of arrival.
        hard_deadline_ms: Time at which the query ends in any case.
        soft_deadline_ms: Time at which a tail-first query is answered
            with the shards that answered by then.
        index_version: The pinned index version.
        shards: Shard states by shard number.
        open_shards: Shards that are not done.
        first_attempt_of_pin: Number of the first attempt for the pinned
            version; lower numbers belong to an earlier pin.
        repinned: True once the query was pinned again.
        may_have_run: True if an attempt of an earlier pin may have run.
        soft_deadline_passed: True if no shard had answered at the soft
            deadline; the first answered shard then ends the query.
        held: True while only a canary, a single trial sub-request, may be
            sent.
        canary_shard: The shard chosen for the canary, or None.
        skipped_upstreams: Upstreams that could not take the canary.
        hedges_scheduled: True once a wake-up for hedges is scheduled.
    """

    number: int
    arrival: QueryArrived
    arrival_ms: float
    hard_deadline_ms: float
    soft_deadline_ms: float
    index_version: int = 0
    shards: dict[int, ShardState] = attrs.field(factory=dict)
    open_shards: int = 0
    first_attempt_of_pin: int = 0
    repinned: bool = False
    may_have_run: bool = False
    soft_deadline_passed: bool = False
    held: bool = False
    canary_shard: int | None = None
    skipped_upstreams: set[str] = attrs.field(factory=set)
    hedges_scheduled: bool = False

    @property
    def request_id(self) -> str:
        """The caller's request id."""
        return self.arrival.request.request_id

    def idle_shards(self) -> list[ShardState]:
        """Return the open shards with no attempt in flight or waiting."""
        return [
            shard
            for shard in self.shards.values()
            if not (shard.done or shard.in_flight or shard.waiting)
        ]


def new_query(number: int, now_ms: float, event: QueryArrived) -> QueryState:
    """Return the state of a query that arrives now."""
    policy = event.policy
    requested_ms = event.request.deadline_ms
    if requested_ms is None:
        requested_ms = policy.deadline_ms
    timeout_ms = min(requested_ms, policy.max_deadline_ms)
    return QueryState(
        number=number,
        arrival=event,
        arrival_ms=now_ms,
        hard_deadline_ms=now_ms + timeout_ms,
        soft_deadline_ms=now_ms + min(timeout_ms, policy.soft_deadline_ms),
        held=event.held,
    )


def target_shards(
    query: QueryState, topology: ServiceTopology, version: int
) -> range:
    """Return all shard numbers, or only the one that the key selects."""
    total = len(topology.versions[version].shards)
    request = query.arrival.request
    key = request.shard_key or request.idempotency_key
    if key is None:
        return range(total)
    number = zlib.crc32(key.encode()) % total
    return range(number, number + 1)


def has_any_results(query: QueryState) -> bool:
    """Return whether at least one shard has answered."""
    return any(shard.results is not None for shard in query.shards.values())
