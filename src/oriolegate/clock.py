"""Clocks in milliseconds.

Modules with the decision logic never read a clock: they get `now_ms` as an
argument of each event. Only modules that own sockets and timers use a `Clock`.
"""

import time
from typing import Protocol

import attrs


class Clock(Protocol):
    """Source of time in milliseconds."""

    def now_ms(self) -> float:
        """Return a monotonic reading, for intervals."""
        ...

    def wall_ms(self) -> int:
        """Return the milliseconds since the Unix epoch, for timestamps."""
        ...

    def boot_ms(self) -> float:
        """Return a monotonic reading that includes time while suspended."""
        ...


class SystemClock:
    """Reads the clocks of the machine."""

    def now_ms(self) -> float:
        """Return the monotonic clock in milliseconds."""
        return time.monotonic() * 1000.0

    def wall_ms(self) -> int:
        """Return the wall clock in milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000

    def boot_ms(self) -> float:
        """Return the milliseconds since the machine booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


@attrs.define
class FakeClock:
    """Clock that a test advances.

    Attributes:
        current_ms: Monotonic reading.
        wall_offset_ms: Wall clock minus the monotonic reading.
        suspended_ms: Total time that the machine was suspended.
    """

    current_ms: float = 0.0
    wall_offset_ms: int = 1_700_000_000_000
    suspended_ms: float = 0.0

    def now_ms(self) -> float:
        """Return the current monotonic reading."""
        return self.current_ms

    def wall_ms(self) -> int:
        """Return the monotonic reading plus the wall offset."""
        return int(self.current_ms) + self.wall_offset_ms

    def boot_ms(self) -> float:
        """Return the monotonic reading plus the time suspended."""
        return self.current_ms + self.suspended_ms

    def advance(self, interval_ms: float) -> None:
        """Advance all readings.

        Args:
            interval_ms: Interval in milliseconds; not negative.
        """
        self.current_ms += interval_ms
