"""Settings, faults, queries and effects of an emulated leaf."""

import enum

import attrs

DEFAULT_CRASH_MARKER = "crash-upstream"


class LeafState(enum.Enum):
    """State that a leaf reports with each answer."""

    COLD = "cold"
    WARM = "warm"
    DRAINING = "draining"


class Outcome(enum.Enum):
    """How a run ended at a leaf."""

    RAN = "ran"
    CANCELLED = "cancelled"
    CRASHED = "crashed"


@attrs.frozen
class ServiceTime:
    """Distribution of the time that a run takes.

    Attributes:
        median_ms: Median of a log-normal distribution.
        sigma: Shape of that distribution.
        straggler_ratio: Fraction of runs that are stragglers, 0 to 1.
        straggler_factor: Multiplies the time of a straggler.
    """

    median_ms: float = 4.0
    sigma: float = 0.35
    straggler_ratio: float = 0.005
    straggler_factor: float = 20.0


@attrs.frozen
class LeafSettings:
    """Limits and timing of one leaf.

    Attributes:
        name: Name of the leaf, unique over all services.
        slots: Queries that the leaf can run concurrently.
        waiting_limit: Queries that may wait for a slot; more are shed.
        connections: Connections accepted; further ones are rejected.
        connection_ms: Setup time before a new connection is read.
        cold_slots: Concurrent queries that the leaf can handle while cold.
        cold_factor: Multiplies the time of each run while cold.
        warm_completions: Number of runs completed while cold that make the
            leaf warm.
        warm_ms: Time after which a cold leaf becomes warm.
        cold_notice_ms: One-way latency from the leaf to a sender, and from
            one sender to another. If the leaf turned cold in place, a query
            sent before its sender can know of the first cold-marked answer
            does not count towards `cold_slots`.
        drain_accept_ms: How long a draining leaf still runs new queries.
        restart_ms: How long a restarted leaf rejects connections.
        health_lag_ms: Maximum age of the health and load reports.
        service_time: Distribution of run times.
    """

    name: str
    slots: int = 4
    waiting_limit: int = 16
    connections: int = 35
    connection_ms: float = 6.0
    cold_slots: int = 1
    cold_factor: float = 3.0
    warm_completions: int = 20
    warm_ms: float = 20_000.0
    cold_notice_ms: float = 5.0
    drain_accept_ms: float = 10_000.0
    restart_ms: float = 200.0
    health_lag_ms: float = 500.0
    service_time: ServiceTime = attrs.field(factory=ServiceTime)


@attrs.define
class LeafFaults:
    """Faults injected at one leaf.

    Attributes:
        shed: Every query is refused.
        slow_factor: Multiplies the time of each run.
        refuse_cold: A cold leaf refuses queries over its cold limit instead
            of crashing.
        straggler_ratio: Overrides the setting, unless None.
        crash_marker: A query whose body contains this text crashes the leaf
            that runs it; empty for no crashes.
        lie: State that the health report claims; None for the true state.
        down: Connections are rejected.
        silent: Messages to and from the leaf are lost; runs continue.
    """

    shed: bool = False
    slow_factor: float = 1.0
    refuse_cold: bool = False
    straggler_ratio: float | None = None
    crash_marker: str = DEFAULT_CRASH_MARKER
    lie: str | None = None
    down: bool = False
    silent: bool = False


@attrs.frozen(eq=False)
class Query:
    """One sub-request as it arrived, compared by identity.

    Attributes:
        connection: Number of the connection that the query arrived on.
        query: Query id, unique over all VMs.
        shard: Shard number.
        attempt: Attempt number within query and shard.
        index_version: Requested index version.
        expires_ms: When the query's deadline passes, on the leaf's clock.
        sent_ms: When the query was sent, on the leaf's clock.
        idempotency_key: Set on queries that are not idempotent.
        body: The caller's request body.
        sender: Identifies the VM that sent the query; a VM learns of a cold
            leaf first from answers to its own queries.
    """

    connection: int
    query: str
    shard: int
    attempt: int
    index_version: int
    expires_ms: float
    sent_ms: float
    idempotency_key: str | None = None
    body: bytes = b""
    sender: str = ""


@attrs.frozen
class Respond:
    """Effect: answer a query.

    Attributes:
        query: The query.
        status: HTTP status.
        not_run: Why the query did not run, for status 503.
        state: State of the leaf at the time of the answer.
        incarnation: Incarnation of the leaf at the time of the answer.
    """

    query: Query
    status: int
    not_run: str
    state: LeafState
    incarnation: int


@attrs.frozen
class RunUntil:
    """Effect: call `LeafModel.on_run_done` with the query at `due_ms`."""

    query: Query
    due_ms: float


@attrs.frozen
class CloseConnections:
    """Effect: abort these connections without an answer."""

    connections: tuple[int, ...]


Effect = Respond | RunUntil | CloseConnections
