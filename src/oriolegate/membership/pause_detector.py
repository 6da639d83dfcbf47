"""Notice that this process did not run for a while."""

PAUSE_LIMIT_MS = 2_000.0


class PauseDetector:
    """Compares successive readings of two clocks.

    A stopped process finds a gap between two readings of the steady clock. A
    suspended machine stops that clock too; a second one, which counts the time
    since the machine's start or the time of day, then runs ahead. A step of
    the time of day looks like a pause; the cost is a needless confirmation.

    Attributes:
        limit_ms: Shorter gaps come from a busy machine or a used-up quota.
        last_ms: The last reading of the steady clock, or None.
        last_other_ms: The last reading of the other clock, or None.
    """

    def __init__(self, limit_ms: float = PAUSE_LIMIT_MS) -> None:
        self.limit_ms = limit_ms
        self.last_ms: float | None = None
        self.last_other_ms: float | None = None

    def observe(self, now_ms: float, other_ms: float | None) -> float | None:
        """Return the gap since the last reading if it is a pause.

        Args:
            now_ms: The steady clock.
            other_ms: A clock that counts suspended time, or None.
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
