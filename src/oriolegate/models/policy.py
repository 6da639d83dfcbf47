"""The policy under which a request runs, after rules are applied."""

import enum

import attrs


class CoverageMode(enum.Enum):
    """When a query that lacks shards is answered.

    TAIL_FIRST answers at the soft deadline with what is there;
    COVERAGE_FIRST waits for every shard until the hard deadline.
    """

    TAIL_FIRST = "tail-first"
    COVERAGE_FIRST = "coverage-first"


class Priority(enum.IntEnum):
    """Order in which waiting sub-requests get free slots; low goes first."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


@attrs.frozen
class HedgePolicy:
    """Second attempts for sub-requests that take long.

    Attributes:
        enabled: Whether hedges are sent at all.
        quantile: Latency quantile after which a hedge is sent, 0 to 1.
        budget_ratio: Hedges allowed per sub-request sent, 0 to 1.
        min_delay_ms: Hedges are never sent earlier.
    """

    enabled: bool = True
    quantile: float = 0.98
    budget_ratio: float = 0.04
    min_delay_ms: float = 2.0


@attrs.frozen
class ServicePolicy:
    """Deadlines, coverage, hedging and retries of one service.

    Attributes:
        deadline_ms: Hard deadline where the caller names none.
        max_deadline_ms: The longest deadline that a caller may ask.
        soft_deadline_ms: When TAIL_FIRST answers with what is there.
        coverage_mode: See `CoverageMode`.
        min_coverage: Answers below this share of shards are refused, 0 to 1.
        hedge: See `HedgePolicy`.
        retry_ratio: Retries allowed per sub-request sent, 0 to 1.
        max_attempts: Attempts for one shard, the first included.
        max_waiting: Sub-requests that may wait for a slot in one process.
        result_limit: Results in one answer.
    """

    deadline_ms: float = 1_000.0
    max_deadline_ms: float = 10_000.0
    soft_deadline_ms: float = 250.0
    coverage_mode: CoverageMode = CoverageMode.COVERAGE_FIRST
    min_coverage: float = 0.0
    hedge: HedgePolicy = attrs.field(factory=HedgePolicy)
    retry_ratio: float = 0.1
    max_attempts: int = 3
    max_waiting: int = 4_096
    result_limit: int = 100
