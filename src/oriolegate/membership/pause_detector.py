"""Detect that this process was paused."""

PAUSE_LIMIT_MS = 2_000.0


class PauseDetector:
    """Compares successive readings of two clocks.

    A paused process finds a gap between two readings of the monotonic clock.
    A suspended machine stops that clock too, but not a second clock that
    counts the time since boot or the time of day. A step of the time of day
    is taken for a pause, which costs only an unnecessary confirmation.

    Attributes:
        limit_ms: Longest gap that isn't a pause; a busy machine or a used-up
            CPU quota causes such gaps.
        last_ms: Last reading of the monotonic clock, or None.
        last_other_ms: Last reading of the other clock, or None.
    """

    def __init__(self, limit_ms: float = PAUSE_LIMIT_MS) -> None:
        self.limit_ms = limit_ms
        self.last_ms: float | None = None
        self.last_other_ms: float | None = None

    def observe(self, now_ms: float, other_ms: float | None) -> float | None:
        """Return the gap since the last reading if it is a pause.

        Args:
            now_ms: Monotonic clock.
            other_ms: Clock that includes suspended time, or None.
        """
        gap_ms = 0.0
        if self.last_ms is not None:
            gap_ms = now_ms - self.last_ms
        self.last_ms = now_ms
        if other_ms is not None:
            if self.last_other_ms is not None:
                gap_ms = max(gap_ms, other_ms - self.last_other_ms)
            self.last_other_ms = other_ms
        return gap_ms if gap_ms > self.limit_ms else None
