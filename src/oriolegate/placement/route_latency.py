"""Typical latencies of a route, learned from its answers."""

import attrs

from oriolegate.coordinator.latency_tracker import LatencyTracker

# Latency quantile after which a hedge, a second send, is due. Low enough to be
# the latency of an undisturbed leaf: about 1 in 25 requests meets a pause of
# its leaf.
HEDGE_QUANTILE = 0.92
# Fraction of the target after which a hedge starts until the quantile is known.
DEFAULT_HEDGE_FRACTION = 0.4
# Time that a hedge may need in addition to the leaf's work: a new connection to
# another region (41 ms round trip, up to 8 ms until it is accepted), and the
# network latency of the request.
HEDGE_OVERHEAD_MS = 90.0
# Fraction of the target that is reserved for merging and for the network
# latency to the caller.
RESERVE_FRACTION = 0.1
# A hedge starts no earlier than after this many times the typical work time;
# about one in eight requests takes longer.
MIN_HEDGE_FACTOR = 1.5
# Step of the running median, as a fraction of the median.
MEDIAN_STEP = 0.02
# Initial estimate of the typical work time, as a fraction of the target.
DEFAULT_TYPICAL_FRACTION = 0.15


@attrs.define
class RouteLatency:
    """Latencies of one route, without the network latency to the leafs.

    Attributes:
        target_ms: Latency target of the route.
        typical_ms: Running median of the work time.
        tracker: Tracks the quantile after which a hedge is sent.
    """

    target_ms: float
    typical_ms: float = 0.0
    tracker: LatencyTracker = attrs.field(
        factory=lambda: LatencyTracker(HEDGE_QUANTILE)
    )

    def __attrs_post_init__(self) -> None:
        self.typical_ms = self.target_ms * DEFAULT_TYPICAL_FRACTION

    def record(self, latency_ms: float, distance_ms: float) -> None:
        """Record the latency of a successful answer.

        Args:
            latency_ms: Time from the send to the complete answer.
            distance_ms: Network round-trip time to the leaf.
        """
        work_ms = max(0.1, latency_ms - distance_ms)
        self.tracker.record(work_ms)
        step = self.typical_ms * MEDIAN_STEP
        self.typical_ms += step if work_ms > self.typical_ms else -step

    @property
    def usual_ms(self) -> float:
        """Work time that most requests stay below."""
        if self.tracker.threshold_ms is None:
            return self.target_ms * DEFAULT_HEDGE_FRACTION
        return self.tracker.threshold_ms

    def hedge_after_ms(self, distance_ms: float) -> float:
        """Return how long after a send its hedge is due.

        The delay is the tracked quantile, but short enough for a hedge to
        another region to be answered within the target.

        Args:
            distance_ms: Network round-trip time to the leaf of the first send.
        """
        latest_ms = self.target_ms * (1.0 - RESERVE_FRACTION)
        latest_ms -= HEDGE_OVERHEAD_MS + MIN_HEDGE_FACTOR * self.typical_ms
        earliest_ms = MIN_HEDGE_FACTOR * self.typical_ms + distance_ms
        return max(earliest_ms, min(distance_ms + self.usual_ms, latest_ms))


class RouteLatencies:
    """Latencies of all routes, by name of the route."""

    def __init__(self) -> None:
        self.routes: dict[str, RouteLatency] = {}

    def for_route(self, name: str, target_ms: float) -> RouteLatency:
        """Return a route's latencies, reset if its target has changed."""
        latency = self.routes.get(name)
        if latency is None or latency.target_ms != target_ms:
            latency = self.routes[name] = RouteLatency(target_ms)
        return latency
