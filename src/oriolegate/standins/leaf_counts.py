"""What a leaf stand-in saw from the far side."""

import collections

import attrs

AFTER_DRAIN_KEPT = 1_000


@attrs.define
class LeafCounts:
    """What a leaf saw.

    Attributes:
        queries: Queries that arrived.
        not_run: Queries refused as not run, by reason.
        cancelled: Queries that a cancel ended.
        connections_peak: Connections held at once, at most.
        connections_over_limit: Connections turned away at the limit.
        in_flight_peak: Queries held at once, at most.
        cold_over_limit: Falls because of too much work while cold.
        cold_unwarned: Queries that weighed nothing, as no sign was given.
        crashes: Falls because of a query's body.
        accepted_after_drain: Queries that ran though they came after the
            drain sign.
        after_drain_ms: Time from the drain sign to the queries that came
            later, accepted or not; the newest ones.
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
        factory=lambda: collections.deque(maxlen=AFTER_DRAIN_KEPT)
    )
