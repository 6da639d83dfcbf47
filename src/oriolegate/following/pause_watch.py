"""Notices that the process stood still, so that what it believes is old."""

import attrs

# Shorter gaps come from a busy machine or a used-up quota of processor time.
LEAST_PAUSE_MS = 900.0


@attrs.define
class PauseWatch:
    """Compares readings of two clocks.

    A stopped process finds a gap between two readings of the steady clock. A
    suspended machine stops that clock too; the clock that counts the time
    since its start then runs ahead.

    Attributes:
        seen_ms: The last reading of the steady clock, or None.
        boot_ms: The last reading of the other clock.
    """

    seen_ms: float | None = None
    boot_ms: float = 0.0

    def check(self, now_ms: float, boot_ms: float) -> float:
        """Take two readings; return how long the process stood still, or 0.

        Args:
            now_ms: The steady clock.
            boot_ms: The clock that also counts suspended time.
        """
        seen_ms, seen_boot_ms = self.seen_ms, self.boot_ms
        self.seen_ms, self.boot_ms = now_ms, boot_ms
        if seen_ms is None:
            return 0.0
        pause_ms = max(now_ms - seen_ms, boot_ms - seen_boot_ms)
        return pause_ms if pause_ms >= LEAST_PAUSE_MS else 0.0
