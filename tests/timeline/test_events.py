"""Tests of the event buffer."""

import unittest

from oriolegate.timeline.events import EventBuffer
from oriolegate.timeline.events import EventKind


class EventBufferTest(unittest.TestCase):
    def test_only_the_newest_events_are_kept(self):
        buffer = EventBuffer("vm-1", 1_000.0, capacity=2)
        for number in range(3):
            buffer.record(float(number), EventKind.SUB_ANSWER, "r", number)
        buffered = list(buffer.events())
        self.assertEqual([event.detail for event in buffered], [(1,), (2,)])
        self.assertEqual(buffered[0].wall_ms, 1_001)

    def test_logical_time_exceeds_that_of_a_received_message(self):
        buffer = EventBuffer("vm-1", 0.0)
        buffer.observe(41)
        buffer.record(0.0, EventKind.STARTED)
        self.assertEqual(next(buffer.events()).logical_time, 42)
