"""Tests that events reach the coordinator at once, or delayed after a stall."""

import unittest

from twisted.internet import task

from oriolegate.coordinator.messages import AnswerAll
from oriolegate.coordinator.messages import CapacityChanged
from oriolegate.runtime import query_runner
from oriolegate.runtime.query_runner import QueryRunner
from tests.reactor_clock import ReactorClock


class RecordingCoordinator:
    """Records the events that it receives."""

    def __init__(self):
        self.events = []

    def step(self, now_ms, event):
        self.events.append(event)
        return []


class QueryRunnerTest(unittest.TestCase):
    def setUp(self):
        self.reactor = task.Clock()
        self.coordinator = RecordingCoordinator()
        self.runner = QueryRunner(
            self.coordinator, ReactorClock(self.reactor), self.reactor.callLater
        )
        self.runner.watch_clock()

    def advance(self, duration_ms):
        self.reactor.advance(duration_ms / query_runner.MS_PER_S)

    def stall(self, duration_ms):
        """Advance the time without running timers."""
        self.reactor.rightNow += duration_ms / query_runner.MS_PER_S

    def idle(self):
        for _ in range(30):
            self.advance(query_runner.STALL_CHECK_MS / 2)

    def test_an_idle_process_handles_an_event_at_once(self):
        self.idle()
        self.runner.feed(CapacityChanged())
        self.assertEqual(self.coordinator.events, [CapacityChanged()])

    def test_after_a_stall_events_are_delayed_until_sockets_are_read(self):
        self.idle()
        self.stall(query_runner.STALL_MS + 1.0)
        self.runner.feed(CapacityChanged())
        self.runner.feed(CapacityChanged())
        self.assertEqual(self.coordinator.events, [])
        self.advance(query_runner.CATCH_UP_MS + 0.1)
        self.assertEqual(len(self.coordinator.events), 2)
        self.runner.feed(CapacityChanged())
        self.assertEqual(len(self.coordinator.events), 3)

    def test_a_gap_below_the_limit_is_not_a_stall(self):
        self.stall(query_runner.STALL_MS - 1.0)
        self.runner.feed(CapacityChanged())
        self.assertEqual(len(self.coordinator.events), 1)

    def test_answers_at_the_process_end_are_not_delayed(self):
        self.stall(query_runner.STALL_MS + 1.0)
        self.runner.feed(CapacityChanged())
        self.runner.answer_all()
        self.assertEqual(
            self.coordinator.events, [CapacityChanged(), AnswerAll()]
        )
