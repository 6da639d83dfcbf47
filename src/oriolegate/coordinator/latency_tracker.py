"""Tracks a latency quantile of recent sub-requests at constant cost.

The tracker is a histogram with exponentially growing bucket bounds. All
counts are halved every `HALVING_SAMPLES` samples so that older samples weigh
less.
"""

import math

BUCKETS_PER_OCTAVE = 8  # an octave doubles the latency
BUCKETS = 20 * BUCKETS_PER_OCTAVE
SMALLEST_MS = 0.125  # lower bound of the first bucket
REFRESH_SAMPLES = 256  # samples between two updates of the threshold
HALVING_SAMPLES = 16_384  # samples between two halvings of the counts
MIN_SAMPLES = 32  # fewer samples give no threshold


class LatencyTracker:
    """A decaying histogram with one precomputed quantile.

    Attributes:
        quantile: The tracked quantile, 0 to 1.
        threshold_ms: Estimate of the quantile, or None before `MIN_SAMPLES`.
    """

    def __init__(self, quantile: float) -> None:
        self.quantile = quantile
        self.threshold_ms: float | None = None
        self.counts = [0] * BUCKETS
        self.total = 0
        self.since_refresh = 0
        self.since_halving = 0

    def record(self, latency_ms: float) -> None:
        """Add one latency sample."""
        octaves = math.log2(latency_ms / SMALLEST_MS) if latency_ms > 0 else 0
        index = int(octaves * BUCKETS_PER_OCTAVE)
        self.counts[min(max(index, 0), BUCKETS - 1)] += 1
        self.total += 1
        self.since_refresh += 1
        if self.since_refresh >= REFRESH_SAMPLES or self.total == MIN_SAMPLES:
            self._refresh()

    def _refresh(self) -> None:
        self.since_halving += self.since_refresh
        self.since_refresh = 0
        if self.since_halving >= HALVING_SAMPLES:
            self.since_halving = 0
            self.counts = [count // 2 for count in self.counts]
            self.total = sum(self.counts)
        if self.total >= MIN_SAMPLES:
            self.threshold_ms = self.quantile_ms(self.quantile)

    def quantile_ms(self, quantile: float) -> float:
        """Return a quantile, rounded up to its bucket's upper bound."""
        rank = quantile * self.total
        cumulative_count = 0
        for index, count in enumerate(self.counts):
            cumulative_count += count
            if cumulative_count >= rank and cumulative_count > 0:
                return float(
                    SMALLEST_MS * 2 ** ((index + 1) / BUCKETS_PER_OCTAVE)
                )
        return SMALLEST_MS * 2 ** (BUCKETS / BUCKETS_PER_OCTAVE)
