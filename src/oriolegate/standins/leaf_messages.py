"""What a leaf stand-in is set to, hears and answers."""

import enum

import attrs

DEFAULT_CRASH_MARKER = "crash-upstream"


class LeafState(enum.Enum):
    """The state that a leaf states on each answer."""

    COLD = "cold"
    WARM = "warm"
    DRAINING = "draining"


class Outcome(enum.Enum):
    """What came of one query at a leaf."""

    RAN = "ran"
    CANCELLED = "cancelled"
    CRASHED = "crashed"


@attrs.frozen
class ServiceTime:
    """Distribution of the time that a run takes.

    Attributes:
        median_ms: Median of a log-normal distribution.
        sigma: Its shape.
        straggler_ratio: Share of runs that straggle, 0 to 1.
        straggler_factor: How much longer these take.
    """

    median_ms: float = 4.0
    sigma: float = 0.35
    straggler_ratio: float = 0.005
    straggler_factor: float = 20.0


@attrs.frozen
class LeafSettings:
    """Sizes of one leaf.

    Attributes:
        name: Unique over all services.
        slots: Queries that run at once.
        waiting_limit: Queries that wait for a slot; more are shed.
        connections: Connections borne; further ones are turned away.
        connection_ms: Time from a new connection to its first query.
        cold_slots: Queries at once that the leaf bears while cold.
        cold_factor: How much longer runs take while cold.
        warm_completions: Runs completed since it turned cold that warm it.
        warm_ms: Time since it turned cold that warms it.
        cold_notice_ms: One-way time from the leaf to a caller, and from one
            caller to another. A query sent before its sender can know of the
            first cold-marked answer does not count against a leaf that
            turned cold in place.
        drain_accept_ms: How long a draining leaf still runs new queries.
        restart_ms: How long a fallen leaf turns connections away.
        health_lag_ms: How old the health and load reports may be.
        service_time: See `ServiceTime`.
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
    """Faults in force at one leaf.

    Attributes:
        shed: Every query is refused.
        slow_factor: Multiplies the time of each run.
        refuse_cold: A cold leaf refuses what it can't bear instead of
            falling over.
        straggler_ratio: Takes the place of the setting.
        crash_marker: A body that holds it crashes the leaf that runs it.
        lie: The state that the health report claims.
        down: Connections are turned away.
        silent: What comes is lost, and so are answers; runs go on.
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
    """One sub-request as it arrived; identity tells two apart.

    Attributes:
        connection: Number of the connection that it came on.
        query: Query id, unique over all VMs.
        shard: Shard number.
        attempt: Attempt number within query and shard.
        index_version: The index version asked for.
        expires_ms: When its deadline passes, on the leaf's clock.
        sent_ms: When it was sent, on the leaf's clock.
        idempotency_key: Set on queries that are not idempotent.
        body: The caller's body.
        sender: Tells callers of the leaf apart; each hears at once what is
            answered to itself.
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
        not_run: Why it did not run, for status 503.
        state: The leaf's state when it answered.
        incarnation: The leaf's incarnation when it answered.
    """

    query: Query
    status: int
    not_run: str
    state: LeafState
    incarnation: int


@attrs.frozen
class RunUntil:
    """Effect: call `LeafModel.run_done` with the query at `due_ms`."""

    query: Query
    due_ms: float


@attrs.frozen
class CloseConnections:
    """Effect: close these connections without an answer."""

    connections: tuple[int, ...]


Effect = Respond | RunUntil | CloseConnections
