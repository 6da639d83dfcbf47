"""Policies that apply to a request after evaluation of the rules."""

import enum

import attrs


class CoverageMode(enum.Enum):
    """When a query with missing shards is answered.

    TAIL_FIRST answers at the soft deadline with the results received so far;
    COVERAGE_FIRST waits for every shard until the hard deadline.
    """

    TAIL_FIRST = "tail-first"
    COVERAGE_FIRST = "coverage-first"


class Priority(enum.IntEnum):
    """Order in which waiting sub-requests get free slots, lowest first."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


@attrs.frozen
class HedgePolicy:
    """Policy of hedges, which are second sends of slow sub-requests.

    Attributes:
        enabled: Whether hedges are sent at all.
        quantile: Latency quantile after which a hedge is sent, 0 to 1.
        budget_ratio: Hedges allowed per sub-request sent, 0 to 1.
        min_delay_ms: Minimum delay before a hedge.
    """

    enabled: bool = True
    quantile: float = 0.98
    budget_ratio: float = 0.04
    min_delay_ms: float = 2.0


@attrs.frozen
class ServicePolicy:
    """Deadlines, coverage, hedging and retries of one service.

    Attributes:
        deadline_ms: Hard deadline if the caller states none.
        max_deadline_ms: Longest deadline that a caller may request.
        soft_deadline_ms: When TAIL_FIRST answers with partial results.
        coverage_mode: See `CoverageMode`.
        min_coverage: Minimum fraction of shards in an answer, 0 to 1; a request
            with fewer shards is refused.
        hedge: See `HedgePolicy`.
        retry_ratio: Retries allowed per sub-request sent, 0 to 1.
        max_attempts: Attempts for one shard, including the first.
        max_waiting: Sub-requests of one process that may wait for a free slot
            of a leaf.
        result_limit: Maximum number of results in an answer.
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
