"""Detect that this process was paused."""

PAUSE_LIMIT_MS = 2_000.0


class PauseDetector:
    """Compares successive readings of two clocks.

    A paused process finds a gap between two readings of the monotonic clock.
    A suspended machine stops that clock too, but not a second clock that
    counts the time since boot or the time of day. A step of the time of day
    counts as a pause, which costs only an unnecessary confirmation.

    Attributes:
        limit_ms: Longest gap that isn't a pause; a busy machine or a used-up
            CPU quota causes such gaps.
        last_ms: Last reading of the monotonic clock, or None.
        last_suspend_aware_ms: Last reading of the second clock, or None.
    """

    def __init__(self, limit_ms: float = PAUSE_LIMIT_MS) -> None:
        self.limit_ms = limit_ms
        self.last_ms: float | None = None
        self.last_suspend_aware_ms: float | None = None

    def observe(
        self, now_ms: float, suspend_aware_ms: float | None
    ) -> float | None:
        """Return the gap in ms since the last reading, or None if no pause.

        Args:
            now_ms: Monotonic clock.
            suspend_aware_ms: Second clock, which includes the time that the
                machine was suspended, or None.
        """
        gap_ms = 0.0
        if self.last_ms is not None:
            gap_ms = now_ms - self.last_ms
        self.last_ms = now_ms
        if suspend_aware_ms is not None:
            if self.last_suspend_aware_ms is not None:
                gap_ms = max(
                    gap_ms, suspend_aware_ms - self.last_suspend_aware_ms
                )
            self.last_suspend_aware_ms = suspend_aware_ms
        return gap_ms if gap_ms > self.limit_ms else None
