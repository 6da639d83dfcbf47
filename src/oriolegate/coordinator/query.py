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
        leaf: Where it was sent.
        sent_ms: When.
    """

    leaf: LeafState
    sent_ms: float


@attrs.define(eq=False)
class ShardState:
    """One shard of a query.

    Attributes:
        shard: Shard number.
        holders: Names of the leafs that hold it.
        replicas: The holders that an attempt may go to now.
        hedge_replicas: Those that a hedge may go to; None: as `replicas`.
        in_flight: Attempts not finished, by attempt number.
        attempts: Attempts sent so far.
        tried: Leafs that failed the shard.
        waiting: True while no replica accepts the sub-request.
        done: True once answered or given up.
        results: The shard's results once answered.
        missing: Why the shard was given up, or why it last failed.
        may_have_run: True if some attempt may have run.
        hedged: True once a hedge was sent.
    """

    shard: int
    holders: tuple[str, ...]
    replicas: tuple[str, ...] = ()
    hedge_replicas: tuple[str, ...] | None = None
    in_flight: dict[int, Attempt] = attrs.field(factory=dict)
    attempts: int = 0
    tried: set[str] = attrs.field(factory=set)
    waiting: bool = False
    done: bool = False
    results: list[Any] | None = None
    missing: ResultCode = ResultCode.SHARD_DEADLINE
    may_have_run: bool = False
    hedged: bool = False


@attrs.define(eq=False)
class QueryState:
    """One query from arrival to delivery.

    Attributes:
        number: Unique in this process.
        arrived: The event that started it.
        arrived_ms: When.
        hard_deadline_ms: Nothing is sent or delivered after this time.
        soft_deadline_ms: When a tail-first query is answered.
        index_version: The pinned version.
        shards: Shard states by shard number.
        open_shards: Shards that are not done.
        first_attempt: Attempt numbers below it belong to a dropped pin.
        repinned: True once the query was pinned again.
        may_have_run: True if an attempt of a dropped pin may have run.
        soft_passed: True if nothing was there at the soft deadline.
        held: True while only a canary may be sent.
        canary_shard: The shard that was chosen for the canary, or None.
        passed_over: Upstreams that could not take the canary.
        hedges_planned: True once a wake-up for hedges is set.
    """

    number: int
    arrived: QueryArrived
    arrived_ms: float
    hard_deadline_ms: float
    soft_deadline_ms: float
    index_version: int = 0
    shards: dict[int, ShardState] = attrs.field(factory=dict)
    open_shards: int = 0
    first_attempt: int = 0
    repinned: bool = False
    may_have_run: bool = False
    soft_passed: bool = False
    held: bool = False
    canary_shard: int | None = None
    passed_over: set[str] = attrs.field(factory=set)
    hedges_planned: bool = False

    @property
    def request_id(self) -> str:
        """The caller's request id."""
        return self.arrived.request.request_id

    def idle_shards(self) -> list[ShardState]:
        """Return the open shards with no attempt in flight or waiting."""
        return [
            shard
            for shard in self.shards.values()
            if not (shard.done or shard.in_flight or shard.waiting)
        ]


def new_query(number: int, now_ms: float, event: QueryArrived) -> QueryState:
    """Make the state of a query that arrived now."""
    policy = event.policy
    wanted_ms = event.request.deadline_ms
    if wanted_ms is None:
        wanted_ms = policy.deadline_ms
    hard_ms = min(wanted_ms, policy.max_deadline_ms)
    return QueryState(
        number=number,
        arrived=event,
        arrived_ms=now_ms,
        hard_deadline_ms=now_ms + hard_ms,
        soft_deadline_ms=now_ms + min(hard_ms, policy.soft_deadline_ms),
        held=event.held,
    )


def wanted_shards(
    query: QueryState, topology: ServiceTopology, version: int
) -> range:
    """Return all shards, or the one that holds the request's key."""
    total = len(topology.versions[version].shards)
    request = query.arrived.request
    key = request.shard_key or request.idempotency_key
    if key is None:
        return range(total)
    number = zlib.crc32(key.encode()) % total
    return range(number, number + 1)


def any_answered(query: QueryState) -> bool:
    """Return whether some shard's results are here."""
    return any(shard.results is not None for shard in query.shards.values())
