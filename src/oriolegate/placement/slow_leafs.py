"""Which leafs are slow, from the answers that several VMs got.

Answers the load of hundreds of VMs that each send a leaf a request in seconds:
one VM alone learns that a leaf is slow only when that is over, and hedges spend
its part of the retry budget meanwhile. So VMs of a data centre pass on what
they see, in small reports.

A leaf that pauses answers all requests of that time late, and is as fast as
ever right after. Only answers that are late over a longer time than a pause,
without one on time between them, make a leaf slow. It counts as slow for some
seconds; then the next requests show whether it still is. A slow leaf is used
only where no other is better, never excluded.
"""

from collections.abc import Mapping

import attrs

# An answer is late if its work took this many times the typical work time.
LATE_FACTOR = 2.0
# Pauses of leafs last up to 300 ms. Late answers to requests that began further
# apart are of a slow leaf.
MIN_SPAN_MS = 400.0
MIN_LATE_COUNT = 3
# Two late answers suffice if this time lies between them.
LONG_SPAN_MS = 800.0
# Late answers further apart than this say nothing together.
MAX_GAP_MS = 3_000.0
# How long a leaf counts as slow after its last late answer.
HOLD_MS = 3_000.0
# Limit on the leafs that are tracked, and on the samples in one report.
MAX_LEAFS = 512
MAX_SAMPLES = 64
# If a larger part of a VM's latest answers is late, the VM itself or its
# network is slow, and its samples say nothing about leafs.
MAX_LATE_FRACTION = 0.5
SELF_CHECK_COUNT = 30


@attrs.frozen
class LeafSample:
    """What one answer shows of a leaf.

    Attributes:
        leaf_id: The leaf.
        started_ms: When the request was sent.
        is_late: Whether the answer was late.
    """

    leaf_id: str
    started_ms: float
    is_late: bool


@attrs.define
class LateStreak:
    """Late answers of a leaf without one on time between them."""

    first_ms: float
    last_ms: float
    count: int = 1

    def is_slow(self) -> bool:
        """Return whether the leaf itself must be slow."""
        span_ms = self.last_ms - self.first_ms
        return span_ms >= LONG_SPAN_MS or (
            span_ms >= MIN_SPAN_MS and self.count >= MIN_LATE_COUNT
        )


class SelfCheck:
    """Detects that this VM itself is slow, from all of its latest answers."""

    def __init__(self) -> None:
        self.late_fraction = 0.0

    def record(self, is_late: bool) -> None:
        """Record any answer of any leaf."""
        weight = 1.0 / SELF_CHECK_COUNT
        self.late_fraction += weight * (float(is_late) - self.late_fraction)

    @property
    def is_trusted(self) -> bool:
        """Whether late answers are those of single leafs."""
        return self.late_fraction <= MAX_LATE_FRACTION


class SlowLeafs:
    """Tracks late answers and decides which leafs are slow.

    Attributes:
        streaks: Late answers by leaf.
        slow_until_ms: Until when each slow leaf counts as slow.
    """

    def __init__(self) -> None:
        self.streaks: dict[str, LateStreak] = {}
        self.slow_until_ms: dict[str, float] = {}

    def is_relevant(self, sample: LeafSample) -> bool:
        """Return whether a sample may change what is known of its leaf."""
        return (
            sample.is_late
            or sample.leaf_id in self.streaks
            or sample.leaf_id in self.slow_until_ms
        )

    def record(self, now_ms: float, sample: LeafSample) -> bool:
        """Record a sample; return whether its leaf became slow."""
        streak = self.streaks.get(sample.leaf_id)
        if not sample.is_late:
            if streak is not None and sample.started_ms >= streak.first_ms:
                del self.streaks[sample.leaf_id]
            return False
        if streak is None or sample.started_ms - streak.last_ms > MAX_GAP_MS:
            if streak is None and len(self.streaks) >= MAX_LEAFS:
                return False
            self.streaks[sample.leaf_id] = LateStreak(
                sample.started_ms, sample.started_ms
            )
            return False
        streak.first_ms = min(streak.first_ms, sample.started_ms)
        streak.last_ms = max(streak.last_ms, sample.started_ms)
        streak.count += 1
        if not streak.is_slow():
            return False
        was_slow = self.is_slow(now_ms, sample.leaf_id)
        self.slow_until_ms[sample.leaf_id] = now_ms + HOLD_MS
        return not was_slow

    def merge(self, now_ms: float, slow_for_ms: Mapping[str, float]) -> bool:
        """Apply which leafs a peer knows as slow; return whether any is new.

        Args:
            now_ms: Current time.
            slow_for_ms: For how long each leaf still counts as slow.
        """
        has_new = False
        for leaf_id, left_ms in slow_for_ms.items():
            until_ms = now_ms + min(left_ms, HOLD_MS)
            if len(self.slow_until_ms) >= MAX_LEAFS:
                break
            has_new |= not self.is_slow(now_ms, leaf_id)
            known_ms = self.slow_until_ms.get(leaf_id, until_ms)
            self.slow_until_ms[leaf_id] = max(known_ms, until_ms)
        return has_new

    def is_slow(self, now_ms: float, leaf_id: str) -> bool:
        """Return whether a leaf counts as slow."""
        until_ms = self.slow_until_ms.get(leaf_id)
        return until_ms is not None and now_ms < until_ms

    def current(self, now_ms: float) -> dict[str, float]:
        """Return for how long each slow leaf still counts as slow, in ms."""
        return {
            leaf_id: until_ms - now_ms
            for leaf_id, until_ms in self.slow_until_ms.items()
            if until_ms > now_ms
        }

    def drop_expired(self, now_ms: float) -> None:
        """Forget what is over."""
        self.slow_until_ms = {
            leaf_id: until_ms
            for leaf_id, until_ms in self.slow_until_ms.items()
            if until_ms > now_ms
        }
        self.streaks = {
            leaf_id: streak
            for leaf_id, streak in self.streaks.items()
            if now_ms - streak.last_ms <= MAX_GAP_MS
        }
