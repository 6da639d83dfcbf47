"""What the coordinator's modules share: queries, services, wake-ups."""

import collections
import enum
import heapq

import attrs

from oriolegate.coordinator.budget import RatioBudget
from oriolegate.coordinator.latency_tracker import LatencyTracker
from oriolegate.coordinator.messages import Effect
from oriolegate.coordinator.query import Attempt
from oriolegate.coordinator.query import QueryState
from oriolegate.models.policy import Priority
from oriolegate.models.policy import ServicePolicy
from oriolegate.timeline.events import EventBuffer
from oriolegate.upstreams.leaf_table import LeafTable


class WakeKind(enum.IntEnum):
    """Why the coordinator wants to be woken."""

    HARD_DEADLINE = 0
    SOFT_DEADLINE = 1
    HEDGE = 2
    LEAF_RESTED = 3
    ADMISSION = 4


@attrs.define(eq=False)
class ServiceState:
    """Budgets and latencies of one service.

    Attributes:
        hedges: Budget of hedges.
        retries: Budget of retries.
        latency: Tracks when to hedge.
        waiting: Sub-requests that wait for a slot.
        mean_ms: Moving average of the latency of sub-requests.
    """

    hedges: RatioBudget
    retries: RatioBudget
    latency: LatencyTracker
    waiting: int = 0
    mean_ms: float = 0.0


@attrs.define
class Counters:
    """Counts of the coordinator, for metrics."""

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


Waiter = tuple[QueryState, int]


@attrs.define(eq=False)
class CoordinatorState:
    """All state of the coordinator.

    Attributes:
        leafs: The leafs and the choice among them.
        events: Where the time line is recorded.
        queries: Queries not yet delivered, by number.
        numbers: Query numbers by request id.
        orphans: Attempts whose query is delivered or pinned again.
        services: Budgets by service.
        waiters: Sub-requests waiting for a leaf, by leaf and priority.
        wakeups: Heap of (time, order, kind, key).
        effects: Effects of the present step.
        counters: Counts for metrics.
    """

    leafs: LeafTable
    events: EventBuffer
    queries: dict[int, QueryState] = attrs.field(factory=dict)
    numbers: dict[str, int] = attrs.field(factory=dict)
    orphans: dict[tuple[int, int, int], Attempt] = attrs.field(factory=dict)
    services: dict[str, ServiceState] = attrs.field(factory=dict)
    waiters: dict[str, tuple[collections.deque[Waiter], ...]] = attrs.field(
        factory=dict
    )
    wakeups: list[tuple[float, int, WakeKind, int | str]] = attrs.field(
        factory=list
    )
    wake_order: int = 0
    timer_at_ms: float | None = None
    next_query: int = 1
    effects: list[Effect] = attrs.field(factory=list)
    counters: Counters = attrs.field(factory=Counters)

    def service(self, name: str, policy: ServicePolicy) -> ServiceState:
        """Return the state of a service under its present policy."""
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
        """Ask to be woken for a query (number) or a leaf (name)."""
        self.wake_order += 1
        heapq.heappush(self.wakeups, (at_ms, self.wake_order, kind, key))

    def queue_for(self, leaf: str, priority: Priority) -> None:
        """Make the waiting queues of a leaf if there are none."""
        if leaf not in self.waiters:
            self.waiters[leaf] = tuple(collections.deque() for _ in Priority)
