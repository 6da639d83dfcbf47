"""Writes log lines to a file descriptor without blocking."""

import os

from oriolegate.clock import Clock

# Buffer for lines while the reader is slow: about two seconds of a busy VM.
MAX_BUFFER_BYTES = 256 * 1024
# Rate and burst above which lines are dropped and counted: over twice what a
# VM writes at its busiest.
LINES_PER_S = 200.0
BURST_LINES = 600.0


class LineWriter:
    """A bounded, non-blocking and rate-limited sink of lines.

    Attributes:
        buffer: Lines not yet written to the descriptor.
        dropped: Lines dropped since the last accepted one.
        written_bytes: Bytes written so far.
        tokens: Lines that may be accepted now (token bucket).
        tokens_at_ms: When `tokens` was last computed.
    """

    def __init__(self, descriptor: int, clock: Clock) -> None:
        self.descriptor = descriptor
        self.clock = clock
        self.buffer = bytearray()
        self.dropped = 0
        self.written_bytes = 0
        self.tokens = BURST_LINES
        self.tokens_at_ms = clock.now_ms()
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write a line, or drop and count it over the rate or buffer limit."""
        if not self._take_token():
            self.dropped += 1
            return
        data = line.encode()
        if len(self.buffer) + len(data) > MAX_BUFFER_BYTES:
            self.dropped += 1
            self._flush()
            return
        if self.dropped:
            note = f'{{"event":"log lines dropped","count":{self.dropped}}}\n'
            self.buffer += note.encode()
            self.dropped = 0
        self.buffer += data
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
            count = os.write(self.descriptor, self.buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed its end, so the error can't be logged.
            self.buffer.clear()
            return
        self.written_bytes += count
        del self.buffer[:count]
