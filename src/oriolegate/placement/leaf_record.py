"""What this VM knows of one leaf, and how it answered lately."""

import math

import attrs

from oriolegate.models.site import LeafEntry

# Weight of a new sample in the averages of slowness and failures.
SAMPLE_WEIGHT = 0.2
# A leaf's record of slowness or failures halves in this time, so that a leaf
# that recovered is found out by a few requests and not by none.
FORGET_HALF_LIFE_MS = 3_000.0
# Extra expected latency of a leaf that always fails: a failed send costs
# about one send more, which is a few times the typical latency.
FAILURE_COST_MS = 400.0
# Expected rest of a pause of a leaf that holds an overdue request.
STALL_COST_MS = 150.0
# A request is overdue after this many times the expected latency.
OVERDUE_FACTOR = 2.5
# How long a leaf that turned a connection away gets no other: about as long as
# others keep theirs idle at a few requests a second.
CROWDED_MS = 500.0
# Extra expected latency of a leaf whose connections are dealt to other VMs: it
# decides between leafs that are as far. With 100 ms a VM stayed with a near one
# that had turned slow (worth 0.465 on scale-1 of anga-search-grown, not 0.536).
UNDEALT_COST_MS = 5.0


@attrs.define(eq=False)
class LeafRecord:
    """One leaf.

    Attributes:
        entry: What it says of itself.
        distance_ms: Time to it and back.
        home_region: The region that it is in.
        cold_until_ms: Until when it stays cold, by its own word.
        suspect: True after a refused or reset connection, until it is heard
            to be warm.
        lapsed_at_ms: When its entry was found gone, or None.
        last_cold_send_ms: When this VM last used it while cold.
        outstanding: Start time by send of what it is working on.
        capacity: Connections that this VM may have to it.
        connect_ms: Time that a new connection takes.
        is_dealt: Whether this VM is among those that its connections are
            dealt to.
        crowded_until_ms: Until when it takes no further connection.
    """

    entry: LeafEntry
    distance_ms: float
    home_region: str
    capacity: int = 1
    connect_ms: float = 0.0
    is_dealt: bool = True
    crowded_until_ms: float = float("-inf")
    cold_until_ms: float = float("-inf")
    suspect: bool = False
    lapsed_at_ms: float | None = None
    last_cold_send_ms: float = float("-inf")
    outstanding: dict[int, float] = attrs.field(factory=dict)
    slowness: float = 1.0
    failure_rate: float = 0.0
    sampled_at_ms: float = 0.0

    def is_cold(self, now_ms: float) -> bool:
        """Return whether it may bear only a few requests."""
        return self.suspect or now_ms < self.cold_until_ms

    def is_full(self, now_ms: float) -> bool:
        """Return whether this VM may open no further connection to it."""
        if now_ms < self.crowded_until_ms:
            return True
        return len(self.outstanding) >= self.capacity

    def turn_away(self, now_ms: float) -> None:
        """Take that it has all the connections that it bears."""
        self.crowded_until_ms = now_ms + CROWDED_MS

    def _remembered(self, now_ms: float) -> float:
        if now_ms == self.sampled_at_ms:
            return 1.0
        age_ms = now_ms - self.sampled_at_ms
        return math.pow(0.5, max(0.0, age_ms) / FORGET_HALF_LIFE_MS)

    def _fade(self, now_ms: float) -> None:
        part = self._remembered(now_ms)
        self.slowness = 1.0 + (self.slowness - 1.0) * part
        self.failure_rate *= part
        self.sampled_at_ms = now_ms

    def answered(
        self, now_ms: float, latency_ms: float, typical_ms: float
    ) -> None:
        """Take the latency of a good answer.

        Args:
            now_ms: The time.
            latency_ms: From the send to the whole answer.
            typical_ms: Work time that is usual for the route.
        """
        self._fade(now_ms)
        work_ms = max(0.0, latency_ms - self.distance_ms)
        ratio = work_ms / max(typical_ms, 1.0)
        self.slowness += SAMPLE_WEIGHT * (ratio - self.slowness)
        self.failure_rate -= SAMPLE_WEIGHT * self.failure_rate

    def failed(self, now_ms: float) -> None:
        """Take that a send to it failed."""
        self._fade(now_ms)
        self.failure_rate += SAMPLE_WEIGHT * (1.0 - self.failure_rate)

    def expected_ms(
        self, now_ms: float, typical_ms: float, *, connected: bool = True
    ) -> float:
        """Return the latency to expect of one more request.

        Args:
            now_ms: The time.
            typical_ms: Work time that is usual for the route.
            connected: Whether a kept connection is free.
        """
        part = self._remembered(now_ms)
        slowness = max(0.3, 1.0 + (self.slowness - 1.0) * part)
        load = len(self.outstanding) / max(1, self.entry.slots)
        work_ms = typical_ms * slowness
        expected_ms = self.distance_ms + work_ms * (1.0 + load)
        if not connected:
            expected_ms += self.connect_ms
        if not self.is_dealt:
            expected_ms += UNDEALT_COST_MS
        expected_ms += FAILURE_COST_MS * self.failure_rate * part
        if self.outstanding:
            oldest_ms = now_ms - next(iter(self.outstanding.values()))
            if oldest_ms > OVERDUE_FACTOR * (self.distance_ms + work_ms):
                expected_ms += STALL_COST_MS
        return expected_ms
