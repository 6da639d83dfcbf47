"""The clock of the product, in milliseconds.

Core modules never read a clock: they are given `now_ms` with each event.
Only the modules that own sockets and timers hold a `Clock`.
"""

import time
from typing import Protocol

import attrs


class Clock(Protocol):
    """A source of time in milliseconds."""

    def now_ms(self) -> float:
        """Return a reading that never goes back, for intervals."""
        ...

    def wall_ms(self) -> int:
        """Return the milliseconds since the Unix epoch, for stamps."""
        ...

    def boot_ms(self) -> float:
        """Return a reading that also counts time while suspended."""
        ...


class SystemClock:
    """Reads the machine's monotonic and wall clocks."""

    def now_ms(self) -> float:
        """Return the monotonic clock in milliseconds."""
        return time.monotonic() * 1000.0

    def wall_ms(self) -> int:
        """Return the wall clock in milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000

    def boot_ms(self) -> float:
        """Return the time since the machine's start in milliseconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


@attrs.define
class FakeClock:
    """A clock that tests move by hand.

    Attributes:
        current_ms: The monotonic reading.
        wall_offset_ms: What is added to it for the wall reading.
        suspended_ms: How long the machine was suspended so far.
    """

    current_ms: float = 0.0
    wall_offset_ms: int = 1_700_000_000_000
    suspended_ms: float = 0.0

    def now_ms(self) -> float:
        """Return the reading last set."""
        return self.current_ms

    def wall_ms(self) -> int:
        """Return the reading last set, moved by the wall offset."""
        return int(self.current_ms) + self.wall_offset_ms

    def boot_ms(self) -> float:
        """Return the reading last set, and the time suspended."""
        return self.current_ms + self.suspended_ms

    def advance(self, interval_ms: float) -> None:
        """Move both readings forward.

        Args:
            interval_ms: How far, in milliseconds; not negative.
        """
        self.current_ms += interval_ms
