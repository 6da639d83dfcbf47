"""Writes log lines to a file descriptor without ever waiting for its reader."""

import os

from oriolegate.clock import Clock

# Lines kept while the reader is slow; about two seconds of a busy VM.
MAX_WAITING_BYTES = 256 * 1024
# Lines a second beyond which lines are counted and left out, and how many
# may come at once: over twice what a VM writes at its busiest.
LINES_PER_S = 200.0
BURST_LINES = 600.0


class LineWriter:
    """A bounded, non-blocking sink of lines.

    Attributes:
        dropped: Lines left out since the last one that was written.
        written_bytes: Bytes written so far.
    """

    def __init__(self, descriptor: int, clock: Clock) -> None:
        self.descriptor = descriptor
        self.clock = clock
        self.waiting = bytearray()
        self.dropped = 0
        self.written_bytes = 0
        self.tokens = BURST_LINES
        self.tokens_at_ms = clock.now_ms()
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write a line, or count it if there is no room for it."""
        if not self._take_token():
            self.dropped += 1
            return
        data = line.encode()
        if len(self.waiting) + len(data) > MAX_WAITING_BYTES:
            self.dropped += 1
            self._flush()
            return
        if self.dropped:
            note = f'{{"event":"log lines dropped","count":{self.dropped}}}\n'
            self.waiting += note.encode()
            self.dropped = 0
        self.waiting += data
        self._flush()

    def _take_token(self) -> bool:
        now_ms = self.clock.now_ms()
        gained = (now_ms - self.tokens_at_ms) / 1_000.0 * LINES_PER_S
        self.tokens = min(BURST_LINES, self.tokens + gained)
        self.tokens_at_ms = now_ms
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def _flush(self) -> None:
        try:
            count = os.write(self.descriptor, self.waiting)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more; there is no place left to say so.
            self.waiting.clear()
            return
        self.written_bytes += count
        del self.waiting[:count]
