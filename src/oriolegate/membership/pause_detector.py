"""Notice that this process did not run for a while."""

PAUSE_LIMIT_MS = 2_000.0


class PauseDetector:
    """Compares successive readings of the clocks.

    A step of the wall clock looks like a pause; the cost is a needless
    confirmation.
    """

    def __init__(self) -> None:
        self.last_ms: float | None = None
        self.last_wall_ms: int | None = None

    def observe(self, now_ms: float, wall_ms: int | None) -> float | None:
        """Return the gap since the last reading if it is a pause."""
        gap_ms = 0.0
        if self.last_ms is not None:
            gap_ms = now_ms - self.last_ms
        self.last_ms = now_ms
        if wall_ms is not None:
            if self.last_wall_ms is not None:
                gap_ms = max(gap_ms, wall_ms - self.last_wall_ms)
            self.last_wall_ms = wall_ms
        return gap_ms if gap_ms > PAUSE_LIMIT_MS else None
