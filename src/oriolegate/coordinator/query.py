"""The state of one query and of its shards."""

from typing import Any

import attrs

from oriolegate.coordinator.messages import QueryArrived
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
        replicas: Names of the leafs that hold it.
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
    replicas: tuple[str, ...]
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

    @property
    def request_id(self) -> str:
        """The caller's request id."""
        return self.arrived.request.request_id
