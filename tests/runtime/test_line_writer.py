"""Tests of the bounded, non-blocking log writer."""

import os
import unittest

from oriolegate.clock import FakeClock
from oriolegate.runtime import line_writer
from oriolegate.runtime.line_writer import LineWriter


class LineWriterTest(unittest.TestCase):
    def setUp(self):
        self.read_end, self.write_end = os.pipe()
        self.addCleanup(os.close, self.read_end)
        self.addCleanup(os.close, self.write_end)
        self.clock = FakeClock()
        self.writer = LineWriter(self.write_end, self.clock)

    def test_lines_are_written_completely(self):
        self.writer.write("a\n")
        self.writer.write("b\n")
        self.assertEqual(os.read(self.read_end, 100), b"a\nb\n")

    def test_a_stopped_reader_does_not_block_the_writer(self):
        line = "x" * 999 + "\n"
        for _ in range(int(line_writer.BURST_LINES)):
            self.writer.write(line)
        self.assertGreater(self.writer.dropped, 0)
        self.assertLessEqual(
            len(self.writer.buffer), line_writer.MAX_BUFFER_BYTES
        )

    def test_lines_over_the_rate_limit_are_counted_and_the_count_logged(self):
        for _ in range(int(line_writer.BURST_LINES) + 7):
            self.writer.write("\n")
        self.assertEqual(self.writer.dropped, 7)
        self.clock.advance(1_000.0)
        os.read(self.read_end, 100_000)
        self.writer.write("last\n")
        written = os.read(self.read_end, 1_000).decode()
        self.assertEqual(
            written, '{"event":"log lines dropped","count":7}\nlast\n'
        )
