"""Tests that the actions of the planned stop are called in order."""

import contextlib
import io
import unittest

from twisted.internet import task

from oriolegate import logging_setup
from oriolegate.clock import FakeClock
from oriolegate.runtime import stop_runner
from oriolegate.runtime import stop_sequence as stop
from oriolegate.timeline.events import EventBuffer


class RecordingActions:
    """Records the actions, and reports the event configured for an action."""

    def __init__(self):
        self.calls = []
        self.events_by_action = []
        self.runner = None

    def __getattr__(self, name):
        def record(*arguments):
            self.calls.append((name, *arguments))
            for call, event in self.events_by_action:
                if call == name:
                    self.runner.receive(event)

        return record

    def names(self):
        return [call[0] for call in self.calls]


class StopRunnerTest(unittest.TestCase):
    def setUp(self):
        logging_setup.setup_logging(stream=io.StringIO())
        self.clock = FakeClock()
        self.timers = task.Clock()
        self.actions = RecordingActions()
        self.events = EventBuffer("entry-1", 0.0)
        self.runner = stop_runner.StopRunner(
            stop.StopSequence(100.0, 5_000.0),
            self.actions,
            self.clock,
            self.timers.callLater,
            self.events,
        )
        self.actions.runner = self.runner

    def advance(self, interval_ms):
        self.clock.advance(interval_ms)
        self.timers.advance(interval_ms / 1_000.0)

    def test_an_idle_process_goes_through_every_phase(self):
        self.actions.events_by_action = [
            ("close_idle_callers", stop.CallersCounted(0)),
            ("hand_over_shares", stop.SharesHandedOver()),
            ("close_connections", stop.ConnectionsClosed()),
        ]
        self.runner.receive(stop.StopRequested())
        first = ["set_not_ready", "close_after_answers"]
        self.assertEqual(self.actions.names(), first)
        self.advance(100.0)
        self.assertEqual(
            self.actions.calls[2:],
            [
                ("stop_accepting",),
                ("close_idle_callers",),
                ("refuse_new",),
                ("announce_leaving",),
                ("hand_over_shares",),
                ("close_connections",),
                ("exit", 0),
            ],
        )
        self.assertEqual(self.timers.getDelayedCalls(), [])
        phases = [event.detail[0] for event in self.events.events()]
        self.assertEqual(
            phases, ["leaving balancer", "finishing", "closing", "stopped"]
        )

    # Otherwise the process serves until it is killed, with all open requests.
    def test_an_unexpected_error_does_not_keep_the_process(self):
        def fail():
            raise ValueError("unexpected")

        self.actions.stop_accepting = fail
        self.actions.close_idle_callers = fail
        self.runner.receive(stop.RunningChanged(1))
        self.runner.receive(stop.StopRequested())
        for _ in range(100):
            with contextlib.suppress(ValueError):
                self.advance(100.0)
        self.assertIn("answer_running", self.actions.names())
        self.assertEqual(self.actions.calls[-1], ("exit", 1))

    def test_a_request_that_never_ends_is_aborted_only_at_the_limit(self):
        self.actions.events_by_action = [
            ("close_idle_callers", stop.CallersCounted(0)),
        ]
        self.runner.receive(stop.RunningChanged(1))
        self.runner.receive(stop.StopRequested())
        self.advance(100.0)
        self.advance(3_900.0)
        self.assertEqual(self.actions.names()[-1], "answer_running")
        self.advance(999.0)
        self.assertNotIn("exit", self.actions.names())
        self.advance(1.0)
        self.assertEqual(self.actions.calls[-1], ("exit", 1))
