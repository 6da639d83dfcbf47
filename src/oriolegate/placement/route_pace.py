"""Usual latencies of a route, learned from its answers."""

import attrs

from oriolegate.coordinator.latency_tracker import LatencyTracker

# Above the share of requests that meet a pause of their leaf, about 1 in 25,
# the quantile is the latency of an undisturbed leaf.
HEDGE_QUANTILE = 0.92
# Part of the target after which a second send starts while little is known.
DEFAULT_HEDGE_PART = 0.4
# Time that a second send may need besides its work: a new connection to
# another region, 41 ms there and back and up to 8 ms to be taken, and the way.
RESCUE_MS = 90.0
# Part of the target that is kept for the way to the caller and for merging.
RESERVE_PART = 0.1
# A send is no straggler before this many times the usual work time; about one
# in eight takes longer.
EARLIEST_FACTOR = 1.5
# Step of the running median, as a part of its value.
MEDIAN_STEP = 0.02
# Part of the target that an answer is expected to take at first.
DEFAULT_TYPICAL_PART = 0.15


@attrs.define
class RoutePace:
    """Latencies of one route at near leafs.

    Attributes:
        target_ms: The route's target.
        typical_ms: Running median of the work time, without the way.
    """

    target_ms: float
    typical_ms: float = 0.0
    tracker: LatencyTracker = attrs.field(
        factory=lambda: LatencyTracker(HEDGE_QUANTILE)
    )

    def __attrs_post_init__(self) -> None:
        self.typical_ms = self.target_ms * DEFAULT_TYPICAL_PART

    def record(self, latency_ms: float, distance_ms: float) -> None:
        """Take the latency of a good answer, less the way to the leaf."""
        work_ms = max(0.1, latency_ms - distance_ms)
        self.tracker.record(work_ms)
        step = self.typical_ms * MEDIAN_STEP
        self.typical_ms += step if work_ms > self.typical_ms else -step

    def hedge_after_ms(self, distance_ms: float) -> float:
        """Return when a send counts as a straggler.

        That is at the tracked quantile, but early enough for a second send
        to another region to be back within the target.
        """
        quantile_ms = self.tracker.threshold_ms
        if quantile_ms is None:
            quantile_ms = self.target_ms * DEFAULT_HEDGE_PART
        latest_ms = self.target_ms * (1.0 - RESERVE_PART)
        latest_ms -= RESCUE_MS + EARLIEST_FACTOR * self.typical_ms
        earliest_ms = EARLIEST_FACTOR * self.typical_ms + distance_ms
        return max(earliest_ms, min(distance_ms + quantile_ms, latest_ms))


class PaceBook:
    """The pace of every route, by name."""

    def __init__(self) -> None:
        self.routes: dict[str, RoutePace] = {}

    def of(self, name: str, target_ms: float) -> RoutePace:
        """Return the pace of a route; it starts anew with another target."""
        pace = self.routes.get(name)
        if pace is None or pace.target_ms != target_ms:
            pace = self.routes[name] = RoutePace(target_ms)
        return pace
