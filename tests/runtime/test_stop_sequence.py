"""Tests of the state machine of the planned stop."""

import unittest

import hypothesis
from hypothesis import strategies as st

from oriolegate.runtime import stop_sequence as stop

NOTICE_MS = 100.0
LIMIT_MS = 5_000.0
FIRST_EFFECTS = [
    stop.SetNotReady(),
    stop.CloseAfterAnswers(),
]
LEAVE_PEERS = [stop.RefuseNew(), stop.AnnounceLeaving()]


def make_sequence(running=0):
    sequence = stop.StopSequence(NOTICE_MS, LIMIT_MS)
    sequence.step(0.0, stop.RunningChanged(running))
    return sequence


class StopSequenceTest(unittest.TestCase):
    def test_events_before_a_stop_request_have_no_effect(self):
        sequence = make_sequence(3)
        for event in (stop.Tick(), stop.SharesHandedOver()):
            self.assertEqual(sequence.step(1e9, event), [])
        self.assertIs(sequence.phase, stop.StopPhase.SERVING)

    def test_a_stop_passes_through_all_phases_in_order(self):
        sequence = make_sequence(2)
        steps = [
            (0, stop.StopRequested(), [*FIRST_EFFECTS, stop.WakeAt(100.0)]),
            (50, stop.RunningChanged(3), [stop.WakeAt(100.0)]),
            (
                100,
                stop.Tick(),
                [
                    stop.StopAccepting(),
                    stop.CloseIdleCallers(),
                    stop.WakeAt(200.0),
                ],
            ),
            (100, stop.CallersCounted(2), [stop.WakeAt(200.0)]),
            (150, stop.RunningChanged(1), [stop.WakeAt(200.0)]),
            (
                200,
                stop.Tick(),
                [stop.CloseIdleCallers(), stop.WakeAt(300.0)],
            ),
            (
                200,
                stop.CallersCounted(0),
                [*LEAVE_PEERS, stop.WakeAt(4_000.0)],
            ),
            (
                250,
                stop.RunningChanged(0),
                [stop.HandOverShares(), stop.WakeAt(4_000.0)],
            ),
            (
                300,
                stop.SharesHandedOver(),
                [stop.CloseConnections(), stop.WakeAt(5_000.0)],
            ),
            (310, stop.ConnectionsClosed(), [stop.Exit(0, 0, False)]),
            (320, stop.Tick(), []),
        ]
        for now_ms, event, effects in steps:
            self.assertEqual(sequence.step(float(now_ms), event), effects)

    def test_a_second_stop_request_neither_aborts_nor_extends(self):
        sequence = make_sequence(1)
        sequence.step(0.0, stop.StopRequested())
        sequence.step(100.0, stop.Tick())
        self.assertEqual(sequence.step(200.0, stop.StopRequested()), [])
        self.assertIs(sequence.phase, stop.StopPhase.FINISHING)
        self.assertEqual(sequence.limit_ms, LIMIT_MS)

    def test_a_request_that_would_outlast_the_limit_is_answered_before(self):
        sequence = make_sequence(1)
        sequence.step(0.0, stop.StopRequested())
        sequence.step(100.0, stop.Tick())
        sequence.step(100.0, stop.CallersCounted(0))
        sequence.step(150.0, stop.SharesHandedOver())
        effects = sequence.step(4_000.0, stop.Tick())
        self.assertEqual(effects, [stop.AnswerRunning(), stop.WakeAt(LIMIT_MS)])
        effects = sequence.step(4_010.0, stop.RunningChanged(0))
        self.assertEqual(
            effects[:2], [stop.HandOverShares(), stop.CloseConnections()]
        )
        effects = sequence.step(4_020.0, stop.ConnectionsClosed())
        self.assertEqual(effects, [stop.Exit(0, 0, False)])

    def test_requests_and_shares_left_at_the_limit_are_reported(self):
        sequence = make_sequence(2)
        sequence.step(0.0, stop.StopRequested())
        self.assertEqual(
            sequence.step(LIMIT_MS, stop.Tick()),
            [stop.Exit(1, cut=2, shares_left=True)],
        )

    def test_a_request_on_a_closing_connection_is_not_aborted(self):
        sequence = make_sequence()
        sequence.step(0.0, stop.SharesHandedOver())
        sequence.step(0.0, stop.StopRequested())
        sequence.step(100.0, stop.Tick())
        effects = sequence.step(100.0, stop.CallersCounted(0))
        self.assertIn(stop.CloseConnections(), effects)
        sequence.step(101.0, stop.RunningChanged(1))
        effects = sequence.step(102.0, stop.ConnectionsClosed())
        self.assertEqual(effects, [stop.WakeAt(LIMIT_MS)])
        effects = sequence.step(110.0, stop.RunningChanged(0))
        self.assertEqual(effects, [stop.Exit(0, 0, False)])

    def test_without_notice_time_accepting_stops_at_once(self):
        sequence = stop.StopSequence(0.0, LIMIT_MS)
        effects = sequence.step(7.0, stop.StopRequested())
        self.assertEqual(
            effects,
            [
                *FIRST_EFFECTS,
                stop.StopAccepting(),
                stop.CloseIdleCallers(),
                stop.WakeAt(7.0 + stop.CALLERS_CHECK_MS),
            ],
        )
        effects = sequence.step(7.0, stop.CallersCounted(0))
        self.assertEqual(
            effects,
            [
                *LEAVE_PEERS,
                stop.HandOverShares(),
                stop.WakeAt(LIMIT_MS + 7.0 - stop.ANSWER_RESERVE_MS),
            ],
        )

    # Without its place among the peers and its shares, the process has no slots
    # for a request that is still to be read.
    def test_shares_are_kept_while_callers_have_connections(self):
        sequence = make_sequence()
        sequence.step(0.0, stop.StopRequested())
        effects = sequence.step(NOTICE_MS, stop.Tick())
        self.assertIn(stop.CloseIdleCallers(), effects)
        counted = stop.CallersCounted(1)
        end_ms = NOTICE_MS + stop.CALLERS_WAIT_MS
        for now_ms in (NOTICE_MS, end_ms - 1.0):
            *others, wake = sequence.step(now_ms, counted)
            self.assertLessEqual(set(others), {stop.CloseIdleCallers()})
            self.assertLessEqual(wake.at_ms, end_ms)
        effects = sequence.step(end_ms, stop.Tick())
        self.assertEqual(effects[:3], [*LEAVE_PEERS, stop.HandOverShares()])

    def test_a_process_that_keeps_its_shares_does_not_wake_without_end(self):
        sequence = make_sequence()
        sequence.step(0.0, stop.StopRequested())
        sequence.step(NOTICE_MS, stop.Tick())
        sequence.step(NOTICE_MS, stop.CallersCounted(0))
        effects = sequence.step(LIMIT_MS - 1.0, stop.Tick())
        self.assertEqual(effects, [stop.WakeAt(LIMIT_MS)])


EVENTS = st.one_of(
    st.just(stop.StopRequested()),
    st.builds(stop.RunningChanged, st.integers(0, 3)),
    st.builds(stop.CallersCounted, st.integers(0, 2)),
    st.just(stop.SharesHandedOver()),
    st.just(stop.ConnectionsClosed()),
    st.just(stop.Tick()),
)


REPEATED = (stop.WakeAt, stop.CloseIdleCallers)


class StopSequencePropertyTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=300)
    @hypothesis.given(
        st.lists(st.tuples(st.floats(0.0, 900.0), EVENTS), max_size=40)
    )
    @hypothesis.example(
        [
            (412.82098447195455, stop.StopRequested()),
            (100.0, stop.SharesHandedOver()),
        ]
    )
    def test_no_request_is_cut_before_the_limit(self, steps):
        sequence = make_sequence()
        now_ms, requested_ms, running = 0.0, None, 0
        shares_held = True
        seen = []
        for delay_ms, event in steps:
            now_ms += delay_ms
            if event == stop.StopRequested() and requested_ms is None:
                requested_ms = now_ms
            if isinstance(event, stop.RunningChanged):
                running = event.count
            shares_held &= event != stop.SharesHandedOver()
            for effect in sequence.step(now_ms, event):
                self.check(effect, now_ms, requested_ms or 0.0)
                is_early = now_ms < (requested_ms or 0.0) + LIMIT_MS
                if isinstance(effect, stop.AnnounceLeaving):
                    self.assertIn(stop.StopAccepting(), seen)
                    self.assertEqual(seen[-1], stop.RefuseNew())
                    waited_ms = requested_ms + NOTICE_MS + stop.CALLERS_WAIT_MS
                    if now_ms < waited_ms:
                        self.assertEqual(event, stop.CallersCounted(0))
                if isinstance(effect, stop.HandOverShares):
                    self.assertEqual(running, 0)
                    self.assertIn(stop.AnnounceLeaving(), seen)
                if isinstance(effect, stop.CloseConnections):
                    self.assertEqual((running, shares_held), (0, False))
                if isinstance(effect, stop.Exit):
                    self.assertEqual(effect.cut, running)
                    if is_early:
                        self.assertEqual(effect.status, 0)
                        self.assertIn(stop.CloseConnections(), seen)
                if not isinstance(effect, REPEATED):
                    self.assertNotIn(type(effect), map(type, seen))
                seen.append(effect)
        if requested_ms is not None:
            end_ms = max(now_ms, requested_ms + LIMIT_MS)
            sequence.step(end_ms, stop.Tick())
            self.assertIs(sequence.phase, stop.StopPhase.STOPPED)

    def check(self, effect, now_ms, requested_ms):
        # Added up as the state machine does: a difference of two times may
        # be rounded below the bound.
        match effect:
            case stop.StopAccepting():
                self.assertGreaterEqual(now_ms, requested_ms + NOTICE_MS)
            case stop.AnswerRunning():
                self.assertGreaterEqual(
                    now_ms, requested_ms + LIMIT_MS - stop.ANSWER_RESERVE_MS
                )
            case stop.WakeAt(at_ms):
                self.assertGreaterEqual(at_ms, 0.0)
