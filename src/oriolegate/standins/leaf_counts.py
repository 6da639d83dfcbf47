"""Counts of what reached an emulated leaf."""

import collections

import attrs

MAX_AFTER_DRAIN_TIMES = 1_000


@attrs.define
class LeafCounts:
    """Counts of one leaf since the start of the emulator.

    Attributes:
        queries: Queries that arrived.
        not_run: Queries refused as not run, by reason.
        cancelled: Queries that a cancel ended.
        connections_peak: Most connections open at the same time.
        connections_over_limit: Connections rejected at the limit.
        in_flight_peak: Most queries running or waiting at the same time.
        cold_over_limit: Crashes because of too many queries while cold.
        cold_unwarned: Queries exempt from the cold limit, because their
            sender could not know that the leaf is cold.
        crashes: Crashes because of a query's body.
        accepted_after_drain: Queries accepted while draining.
        after_drain_ms: Times from the start of draining to later queries,
            accepted or not; only the newest times.
    """

    queries: int = 0
    not_run: collections.Counter[str] = attrs.field(factory=collections.Counter)
    cancelled: int = 0
    connections_peak: int = 0
    connections_over_limit: int = 0
    in_flight_peak: int = 0
    cold_over_limit: int = 0
    cold_unwarned: int = 0
    crashes: int = 0
    accepted_after_drain: int = 0
    after_drain_ms: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_AFTER_DRAIN_TIMES)
    )
