"""State shared by the coordinator's modules: queries, services, wake-ups."""

import collections
import enum
import heapq

import attrs

from oriolegate.coordinator.latency_tracker import LatencyTracker
from oriolegate.coordinator.messages import Effect
from oriolegate.coordinator.query_state import Attempt
from oriolegate.coordinator.query_state import QueryState
from oriolegate.coordinator.ratio_budget import RatioBudget
from oriolegate.models.policy import Priority
from oriolegate.models.policy import ServicePolicy
from oriolegate.timeline.events import EventBuffer
from oriolegate.upstreams.leaf_table import LeafTable


class WakeKind(enum.IntEnum):
    """Reason of a scheduled wake-up."""

    HARD_DEADLINE = 0
    SOFT_DEADLINE = 1
    HEDGE = 2
    LEAF_PAUSE_OVER = 3
    CANARY_RECHECK = 4


@attrs.define(eq=False)
class ServiceState:
    """Budgets and latencies of one service.

    Attributes:
        hedges: Budget of hedges.
        retries: Budget of retries.
        latency: Tracks the latency quantile after which hedges are sent.
        waiting: Number of sub-requests queued for a leaf with capacity.
        mean_latency_ms: Moving average of the latency of sub-requests.
    """

    hedges: RatioBudget
    retries: RatioBudget
    latency: LatencyTracker
    waiting: int = 0
    mean_latency_ms: float = 0.0


@attrs.define
class Counters:
    """Counters of the coordinator, for metrics.

    Attributes:
        queries: Queries that arrived.
        answered: Queries answered.
        refused: Queries refused.
        needed: Sub-requests needed: one per shard and pinned version.
        sent: Sub-requests sent, including hedges and retries.
        hedges: Hedges sent.
        retries: Retries taken from the budget.
        late_dropped: Events that ended an already cancelled attempt.
        foreign_dropped: Events that match no attempt.
        wrong_version_dropped: Results of another index version than pinned.
        repinned: Queries restarted on a newer index version.
    """

    queries: int = 0
    answered: int = 0
    refused: int = 0
    needed: int = 0
    sent: int = 0
    hedges: int = 0
    retries: int = 0
    late_dropped: int = 0
    foreign_dropped: int = 0
    wrong_version_dropped: int = 0
    repinned: int = 0


# A query and the number of its shard that waits for a leaf with capacity.
Waiter = tuple[QueryState, int]


@attrs.define(eq=False)
class CoordinatorState:
    """All state of the coordinator.

    Attributes:
        leafs: States of the leafs; chooses among replicas.
        events: Records the timeline.
        queries: Queries not yet delivered, by number.
        query_numbers: Query numbers by request id.
        orphans: Cancelled attempts whose end is not reported yet.
        services: Budgets and latencies, by budget name.
        waiters: Queued sub-requests by leaf and priority.
        wakeups: Heap of (time in ms, insertion order, kind, key), where the
            key is a query number or a leaf name.
        wakeup_count: Wake-ups scheduled so far.
        timer_at_ms: Time of the timer that is set, or None.
        next_query: Number of the next query.
        effects: Effects of the current step.
        counters: Counts for metrics.
    """

    leafs: LeafTable
    events: EventBuffer
    queries: dict[int, QueryState] = attrs.field(factory=dict)
    query_numbers: dict[str, int] = attrs.field(factory=dict)
    orphans: dict[tuple[int, int, int], Attempt] = attrs.field(factory=dict)
    services: dict[str, ServiceState] = attrs.field(factory=dict)
    waiters: dict[str, tuple[collections.deque[Waiter], ...]] = attrs.field(
        factory=dict
    )
    wakeups: list[tuple[float, int, WakeKind, int | str]] = attrs.field(
        factory=list
    )
    wakeup_count: int = 0
    timer_at_ms: float | None = None
    next_query: int = 1
    effects: list[Effect] = attrs.field(factory=list)
    counters: Counters = attrs.field(factory=Counters)

    def service(self, name: str, policy: ServicePolicy) -> ServiceState:
        """Return the state of a service, updated to its current policy."""
        state = self.services.get(name)
        if state is None:
            state = ServiceState(
                RatioBudget(policy.hedge.budget_ratio),
                RatioBudget(policy.retry_ratio),
                LatencyTracker(policy.hedge.quantile),
            )
            self.services[name] = state
        state.hedges.ratio = policy.hedge.budget_ratio
        state.retries.ratio = policy.retry_ratio
        state.latency.quantile = policy.hedge.quantile
        return state

    def wake_at(self, at_ms: float, kind: WakeKind, key: int | str) -> None:
        """Schedule a wake-up for a query (number) or a leaf (name)."""
        self.wakeup_count += 1
        heapq.heappush(self.wakeups, (at_ms, self.wakeup_count, kind, key))

    def ensure_queues(self, leaf: str, priority: Priority) -> None:
        """Create the queues of a leaf, one per priority, if it has none."""
        if leaf not in self.waiters:
            self.waiters[leaf] = tuple(collections.deque() for _ in Priority)
