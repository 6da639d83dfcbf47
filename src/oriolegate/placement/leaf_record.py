"""State of one leaf as this VM knows it, with its recent performance."""

import math

import attrs

from oriolegate.models.site import LeafEntry
from oriolegate.placement.request_limit import RequestLimit

# Weight of a new sample in the averages of slowness and failures.
SAMPLE_WEIGHT = 0.2
# Half-life of a leaf's slowness and failure rate: short enough that a recovered
# leaf gets a few requests again, which show that it has recovered.
DECAY_HALF_LIFE_MS = 3_000.0
# Extra expected latency of a leaf that always fails: a failed send costs about
# one more send, which takes a few times the typical latency.
FAILURE_COST_MS = 400.0
# Expected remaining pause of a leaf that has an overdue request.
STALL_COST_MS = 150.0
# A request is overdue after this many times the expected latency.
OVERDUE_FACTOR = 2.5
# Extra expected work of a slow leaf, as a multiple of the typical work time.
SLOW_FACTOR = 3.0
# How long a leaf that rejected a connection gets no new one: about as long as
# other VMs leave their connections idle at a few requests per second.
REJECTION_PAUSE_MS = 500.0
# Extra expected latency of a leaf whose connections are assigned to other VMs.
# Small, so that it decides only between leafs at the same distance; with 100 ms
# a VM would keep using a local leaf that has become slow.
UNASSIGNED_COST_MS = 5.0


@attrs.define(eq=False)
class LeafRecord:
    """One leaf and its recent performance, as this VM knows them.

    Attributes:
        entry: The leaf's own entry in the store.
        distance_ms: Network round-trip time from this VM.
        home_region: Region of the leaf.
        capacity: Connections that this VM may open to the leaf.
        connect_ms: Time that a new connection takes.
        is_assigned: Whether this VM is among those that the leaf's connections
            are assigned to.
        rejecting_until_ms: Until when the leaf gets no new connection.
        cold_until_ms: Until when the leaf is cold, as it reported.
        suspect: True after a refused or reset connection, until the leaf
            reports that it is warm.
        entry_removed_at_ms: When the leaf's entry was removed, or None.
        request_limit: This VM's part of the requests that the leaf accepts, or
            None if the leaf names no limit.
        quiet_until_ms: Until when the leaf wants no request from this VM.
        is_returning: Whether the quiet time may be over, which one request at
            a time shows.
        verified_at_ms: When a health check last found the leaf healthy.
        last_cold_send_ms: When this VM last used the leaf while it was cold.
        outstanding: Start time of each open send, by id of the send.
        slowness: Average work time relative to the route's typical work time.
        failure_rate: Average rate of failures, 0 to 1.
        sampled_at_ms: When the averages were last updated.
    """

    entry: LeafEntry
    distance_ms: float
    home_region: str
    capacity: int = 1
    connect_ms: float = 0.0
    is_assigned: bool = True
    rejecting_until_ms: float = float("-inf")
    cold_until_ms: float = float("-inf")
    suspect: bool = False
    entry_removed_at_ms: float | None = None
    request_limit: RequestLimit | None = None
    quiet_until_ms: float = float("-inf")
    is_returning: bool = False
    verified_at_ms: float = float("-inf")
    last_cold_send_ms: float = float("-inf")
    outstanding: dict[int, float] = attrs.field(factory=dict)
    slowness: float = 1.0
    failure_rate: float = 0.0
    sampled_at_ms: float = 0.0

    def is_cold(self, now_ms: float) -> bool:
        """Return whether the leaf may get only a few requests."""
        return self.suspect or now_ms < self.cold_until_ms

    def is_full(self, now_ms: float) -> bool:
        """Return whether this VM may open no further connection."""
        if now_ms < self.rejecting_until_ms:
            return True
        return len(self.outstanding) >= self.capacity

    def is_declining(self, now_ms: float) -> bool:
        """Return whether the leaf wants no further request from this VM now."""
        if self.is_returning and (
            now_ms < self.quiet_until_ms or self.outstanding
        ):
            return True
        return self.request_limit is not None and not self.request_limit.allows(
            now_ms
        )

    def record_send(self, now_ms: float) -> None:
        """Record any request that is sent to the leaf, health checks too."""
        if self.request_limit is not None:
            self.request_limit.record_send(now_ms)

    def record_rejection(self, now_ms: float) -> None:
        """Record that the leaf rejected a connection, being at its limit."""
        self.rejecting_until_ms = now_ms + REJECTION_PAUSE_MS

    def _decay_factor(self, now_ms: float) -> float:
        if now_ms == self.sampled_at_ms:
            return 1.0
        age_ms = now_ms - self.sampled_at_ms
        return math.pow(0.5, max(0.0, age_ms) / DECAY_HALF_LIFE_MS)

    def _decay(self, now_ms: float) -> None:
        factor = self._decay_factor(now_ms)
        self.slowness = 1.0 + (self.slowness - 1.0) * factor
        self.failure_rate *= factor
        self.sampled_at_ms = now_ms

    def record_success(
        self, now_ms: float, latency_ms: float, typical_ms: float
    ) -> None:
        """Record the latency of a successful answer.

        Args:
            now_ms: Current time.
            latency_ms: Time from the send to the complete answer.
            typical_ms: Typical work time of the route.
        """
        self._decay(now_ms)
        work_ms = max(0.0, latency_ms - self.distance_ms)
        ratio = work_ms / max(typical_ms, 1.0)
        self.slowness += SAMPLE_WEIGHT * (ratio - self.slowness)
        self.failure_rate -= SAMPLE_WEIGHT * self.failure_rate

    def record_failure(self, now_ms: float) -> None:
        """Record that a send to the leaf failed."""
        self._decay(now_ms)
        self.failure_rate += SAMPLE_WEIGHT * (1.0 - self.failure_rate)

    def expected_ms(
        self,
        now_ms: float,
        typical_ms: float,
        *,
        connected: bool = True,
        is_slow: bool = False,
    ) -> float:
        """Return the expected latency of one more request.

        Args:
            now_ms: Current time.
            typical_ms: Typical work time of the route.
            connected: Whether an idle connection is available.
            is_slow: Whether other requests show that the leaf is slow now.
        """
        factor = self._decay_factor(now_ms)
        slowness = max(0.3, 1.0 + (self.slowness - 1.0) * factor)
        load = len(self.outstanding) / max(1, self.entry.slots)
        work_ms = typical_ms * slowness
        expected_ms = self.distance_ms + work_ms * (1.0 + load)
        if not connected:
            expected_ms += self.connect_ms
        if not self.is_assigned:
            expected_ms += UNASSIGNED_COST_MS
        if is_slow:
            expected_ms += max(STALL_COST_MS, SLOW_FACTOR * typical_ms)
        expected_ms += FAILURE_COST_MS * self.failure_rate * factor
        if self.outstanding:
            oldest_ms = now_ms - next(iter(self.outstanding.values()))
            if oldest_ms > OVERDUE_FACTOR * (self.distance_ms + work_ms):
                expected_ms += STALL_COST_MS
        return expected_ms
