"""Tests of the leaf model: its limits, states and faults."""

import collections
import random
import unittest

import hypothesis
from hypothesis import strategies

from oriolegate.standins.leaf_messages import CloseConnections
from oriolegate.standins.leaf_messages import LeafSettings
from oriolegate.standins.leaf_messages import LeafState
from oriolegate.standins.leaf_messages import Outcome
from oriolegate.standins.leaf_messages import Query
from oriolegate.standins.leaf_messages import Respond
from oriolegate.standins.leaf_messages import RunUntil
from oriolegate.standins.leaf_messages import ServiceTime
from oriolegate.standins.leaf_model import LeafModel
from oriolegate.standins.run_ledger import RunLedger

EVEN_TIME = ServiceTime(median_ms=10.0, sigma=0.0, straggler_ratio=0.0)


def make_leaf(seed=1, **sizes):
    sizes = {
        "slots": 2,
        "waiting_limit": 2,
        "connections": 3,
        "service_time": EVEN_TIME,
        **sizes,
    }
    settings = LeafSettings(name="leaf-a", **sizes)
    leaf = LeafModel(settings, RunLedger(), random.Random(seed))
    leaf.serve(7, [0, 1])
    for connection in range(3):
        leaf.on_connection_opened(0.0, connection)
    return leaf


def query(name, **fields):
    fields = {
        "connection": 0,
        "shard": 0,
        "attempt": 0,
        "index_version": 7,
        "expires_ms": 1e9,
        "sent_ms": 0.0,
        **fields,
    }
    return Query(query=name, **fields)


def answers(effects):
    return [
        (effect.query.query, effect.status, effect.not_run)
        for effect in effects
        if isinstance(effect, Respond)
    ]


class LimitsTest(unittest.TestCase):
    def test_leaf_fills_its_slots_then_queues_then_sheds(self):
        leaf = make_leaf()
        effects = []
        for name in "abcde":
            effects += leaf.on_query_arrived(0.0, query(name))
        started = [e.query.query for e in effects if isinstance(e, RunUntil)]
        self.assertEqual(started, ["a", "b"])
        self.assertEqual(answers(effects), [("e", 503, "shed")])
        self.assertEqual(leaf.counts.in_flight_peak, 4)

    def test_waiting_query_runs_when_a_slot_becomes_free(self):
        leaf = make_leaf(slots=1)
        first, second = query("a"), query("b")
        leaf.on_query_arrived(0.0, first)
        leaf.on_query_arrived(1.0, second)
        effects = leaf.on_run_done(10.0, first)
        self.assertEqual(answers(effects), [("a", 200, "")])
        self.assertIn(RunUntil(second, 20.0), effects)

    def test_connection_over_the_limit_is_rejected_and_counted(self):
        leaf = make_leaf()
        effects = leaf.on_connection_opened(0.0, 3)
        self.assertEqual(effects, [CloseConnections((3,))])
        self.assertEqual(leaf.counts.connections_over_limit, 1)
        leaf.on_connection_lost(1.0, 0)
        self.assertEqual(leaf.on_connection_opened(1.0, 4), [])
        self.assertEqual(leaf.counts.connections_peak, 3)

    def test_query_past_its_deadline_does_not_run(self):
        leaf = make_leaf(slots=1)
        late = leaf.on_query_arrived(5.0, query("late", expires_ms=5.0))
        self.assertEqual(answers(late), [("late", 503, "expired")])
        first = query("a")
        leaf.on_query_arrived(5.0, first)
        leaf.on_query_arrived(5.0, query("b", expires_ms=12.0))
        effects = leaf.on_run_done(15.0, first)
        self.assertEqual(answers(effects)[1], ("b", 503, "expired"))
        self.assertEqual(leaf.ledger.runs, 1)

    def test_query_for_a_missing_version_or_shard_does_not_run(self):
        leaf = make_leaf()
        effects = leaf.on_query_arrived(0.0, query("a", index_version=8))
        effects += leaf.on_query_arrived(0.0, query("b", shard=2))
        self.assertEqual(
            answers(effects),
            [("a", 503, "no-version"), ("b", 503, "no-shard")],
        )
        leaf.serve(8, [2])
        leaf.retire(7)
        effects = leaf.on_query_arrived(
            0.0, query("c", index_version=8, shard=2)
        )
        effects += leaf.on_query_arrived(0.0, query("d"))
        self.assertEqual(answers(effects), [("d", 503, "no-version")])
        self.assertEqual(leaf.ledger.runs, 1)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(["query", "done", "cancel", "lose"]),
            max_size=60,
        ),
        strategies.integers(0, 2**32),
    )
    def test_each_query_gets_one_answer_at_most(self, steps, seed):
        rng = random.Random(seed)
        leaf = make_leaf(seed)
        answered = collections.Counter()
        started, names = [], []
        for number, step in enumerate(steps):
            now_ms = float(number)
            match step:
                case "query":
                    names.append(f"q{number}")
                    effects = leaf.on_query_arrived(now_ms, query(names[-1]))
                case "done" if started:
                    done = rng.choice(started)
                    effects = leaf.on_run_done(now_ms, done)
                case "cancel" if names:
                    name = rng.choice(names)
                    effects = leaf.on_cancel_arrived(now_ms, name, 0, 0)
                case "lose":
                    effects = leaf.on_connection_lost(now_ms, 0)
                case _:
                    continue
            started += [e.query for e in effects if isinstance(e, RunUntil)]
            answered.update(name for name, _, _ in answers(effects))
            self.assertLessEqual(len(leaf.running), leaf.settings.slots)
            self.assertLessEqual(len(leaf.waiting), leaf.settings.waiting_limit)
        self.assertLessEqual(max(answered.values(), default=0), 1)
        self.assertEqual(leaf.ledger.runs, len(started))


class CancelTest(unittest.TestCase):
    def test_cancelled_waiting_query_is_answered_as_not_run(self):
        leaf = make_leaf(slots=1)
        leaf.on_query_arrived(0.0, query("a"))
        leaf.on_query_arrived(0.0, query("b"))
        effects = leaf.on_cancel_arrived(1.0, "b", 0, 0)
        self.assertEqual(answers(effects), [("b", 503, "cancelled")])
        self.assertEqual(leaf.ledger.runs, 1)

    def test_cancelled_running_query_frees_its_slot(self):
        leaf = make_leaf(slots=1)
        first = query("a")
        leaf.on_query_arrived(0.0, first)
        leaf.on_query_arrived(0.0, query("b"))
        effects = leaf.on_cancel_arrived(1.0, "a", 0, 0)
        self.assertEqual(answers(effects), [("a", 500, "")])
        self.assertEqual([q.query for q in leaf.running], ["b"])
        self.assertEqual(leaf.ledger.records[0].outcome, Outcome.CANCELLED)
        self.assertEqual(answers(leaf.on_run_done(10.0, first)), [])

    def test_cancel_does_not_end_other_attempts(self):
        leaf = make_leaf()
        leaf.on_query_arrived(0.0, query("a", attempt=0))
        leaf.on_query_arrived(0.0, query("a", attempt=1))
        leaf.on_cancel_arrived(1.0, "a", 0, 1)
        self.assertEqual([q.attempt for q in leaf.running], [0])


class ColdTest(unittest.TestCase):
    def test_restart_loses_all_connections_and_starts_cold(self):
        leaf = make_leaf(restart_ms=50.0)
        leaf.on_query_arrived(0.0, query("a"))
        effects = leaf.restart(1.0)
        self.assertEqual(effects, [CloseConnections((0, 1, 2))])
        self.assertEqual(leaf.incarnation, 2)
        self.assertIs(leaf.state(), LeafState.COLD)
        self.assertEqual(leaf.in_flight(), 0)
        self.assertEqual(
            leaf.on_connection_opened(50.0, 4), [CloseConnections((4,))]
        )
        self.assertEqual(leaf.on_connection_opened(51.0, 5), [])
        self.assertEqual(leaf.counts.connections_over_limit, 0)

    def test_cold_leaf_crashes_over_its_cold_slots(self):
        leaf = make_leaf(cold_slots=1)
        leaf.restart(0.0)
        leaf.on_connection_opened(300.0, 5)
        first = leaf.on_query_arrived(300.0, query("a", sent_ms=300.0))
        self.assertEqual(len(first), 1)
        crash = leaf.on_query_arrived(301.0, query("b", sent_ms=301.0))
        self.assertEqual(crash, [CloseConnections((5,))])
        self.assertEqual(leaf.counts.cold_over_limit, 1)
        self.assertEqual(leaf.incarnation, 3)

    def test_cold_leaf_may_refuse_instead_of_crashing(self):
        leaf = make_leaf(cold_slots=0)
        leaf.restart(0.0)
        leaf.faults.refuse_cold = True
        effects = leaf.on_query_arrived(1.0, query("a", sent_ms=1.0))
        self.assertEqual(answers(effects), [("a", 503, "cold")])
        self.assertEqual(leaf.counts.cold_over_limit, 0)

    def test_leaf_becomes_warm_after_completed_runs(self):
        leaf = make_leaf(warm_completions=2)
        leaf.restart(0.0)
        for name, state in (("a", LeafState.COLD), ("b", LeafState.WARM)):
            run = query(name, sent_ms=1.0)
            leaf.on_query_arrived(1.0, run)
            leaf.on_run_done(9.0, run)
            self.assertIs(leaf.state(), state)

    def test_runs_before_the_leaf_turned_cold_again_do_not_warm_it(self):
        leaf = make_leaf(warm_completions=2)
        leaf.restart(0.0)
        for name in "ab":
            run = query(name, sent_ms=1.0)
            leaf.on_query_arrived(1.0, run)
            leaf.on_run_done(9.0, run)
            leaf.restart(10.0)
        run = query("c", sent_ms=11.0)
        leaf.on_query_arrived(11.0, run)
        leaf.on_run_done(19.0, run)
        self.assertIs(leaf.state(), LeafState.COLD)

    def test_cold_leaf_becomes_warm_after_warm_ms(self):
        leaf = make_leaf(warm_ms=1_000.0)
        leaf.restart(0.0)
        leaf.on_query_arrived(999.0, query("a", sent_ms=999.0))
        self.assertIs(leaf.state(), LeafState.COLD)
        leaf.on_query_arrived(1_000.0, query("b", sent_ms=1_000.0))
        self.assertIs(leaf.state(), LeafState.WARM)
        self.assertEqual(leaf.counts.cold_over_limit, 0)

    def test_leaf_without_queries_becomes_warm_after_warm_ms(self):
        leaf = make_leaf(warm_ms=1_000.0)
        leaf.restart(0.0)
        leaf.warm_if_due(999.0)
        self.assertIs(leaf.state(), LeafState.COLD)
        leaf.warm_if_due(1_000.0)
        self.assertIs(leaf.state(), LeafState.WARM)

    def test_leaf_that_turns_cold_in_place_keeps_its_connections(self):
        leaf = make_leaf()
        leaf.turn_cold(0.0)
        self.assertEqual(leaf.incarnation, 1)
        self.assertEqual(leaf.connections, {0, 1, 2})

    def test_unwarned_queries_are_exempt_from_the_cold_limit(self):
        leaf = make_leaf(slots=4, cold_slots=1, cold_notice_ms=20.0)
        before = [query("a"), query("b")]
        for run in before:
            leaf.on_query_arrived(0.0, run)
        leaf.turn_cold(5.0)
        leaf.on_query_arrived(6.0, query("c", sent_ms=6.0))
        # The first cold-marked answer is written at 10 ms, received at 30 ms.
        leaf.on_run_done(10.0, before[0])
        leaf.on_query_arrived(30.0, query("d", sent_ms=30.0))
        self.assertEqual(leaf.counts.cold_unwarned, 2)
        leaf.on_query_arrived(31.0, query("e", sent_ms=30.5))
        self.assertEqual(leaf.counts.cold_over_limit, 0)
        leaf.on_query_arrived(31.0, query("f", sent_ms=30.5))
        self.assertEqual(leaf.counts.cold_over_limit, 1)

    def test_another_sender_is_warned_a_second_notice_time_later(self):
        leaf = make_leaf(slots=4, cold_slots=0, cold_notice_ms=20.0)
        answered, other = "vm-1", "vm-2"
        first = query("a", sender=answered)
        leaf.on_query_arrived(0.0, first)
        leaf.turn_cold(5.0)
        # The cold-marked answer is written at 10 ms; its receiver knows at
        # 30 ms, the other sender at 50 ms.
        leaf.on_run_done(10.0, first)
        leaf.on_query_arrived(50.0, query("b", sent_ms=50.0, sender=other))
        self.assertEqual(leaf.counts.cold_over_limit, 0)
        leaf.on_query_arrived(51.0, query("c", sent_ms=30.5, sender=answered))
        self.assertEqual(leaf.counts.cold_over_limit, 1)

    def test_sender_without_a_cold_answer_is_warned_by_other_senders(self):
        leaf = make_leaf(slots=4, cold_slots=0, cold_notice_ms=20.0)
        first = query("a", sender="vm-1")
        leaf.on_query_arrived(0.0, first)
        leaf.turn_cold(5.0)
        leaf.on_run_done(10.0, first)
        leaf.on_query_arrived(51.0, query("b", sent_ms=50.5, sender="vm-2"))
        self.assertEqual(leaf.counts.cold_over_limit, 1)

    def test_later_cold_answers_do_not_extend_the_notice(self):
        leaf = make_leaf(slots=4, cold_slots=0, cold_notice_ms=20.0)
        before = [query("a"), query("b")]
        for run in before:
            leaf.on_query_arrived(0.0, run)
        leaf.turn_cold(5.0)
        leaf.on_run_done(10.0, before[0])
        leaf.on_run_done(29.0, before[1])
        leaf.on_query_arrived(31.0, query("c", sent_ms=31.0))
        self.assertEqual(leaf.counts.cold_over_limit, 1)

    def test_no_query_counts_as_unwarned_after_a_restart(self):
        leaf = make_leaf(cold_slots=0)
        leaf.turn_cold(0.0)
        leaf.restart(1.0)
        leaf.on_query_arrived(2.0, query("a", sent_ms=0.0))
        self.assertEqual(leaf.counts.cold_over_limit, 1)


class FaultsTest(unittest.TestCase):
    def test_crash_marker_crashes_the_leaf_with_its_other_queries(self):
        leaf = make_leaf()
        leaf.on_query_arrived(0.0, query("innocent"))
        bad = query("bad", body=b"x crash-upstream y")
        effects = leaf.on_query_arrived(1.0, bad)
        self.assertEqual(effects, [CloseConnections((0, 1, 2))])
        self.assertEqual(leaf.counts.crashes, 1)
        self.assertEqual(leaf.incarnation, 2)
        ended = [record.outcome for record in leaf.ledger.records]
        self.assertEqual(ended, [Outcome.CRASHED] * 2)

    def test_crash_marker_can_be_changed_or_disabled(self):
        leaf = make_leaf(slots=3)
        for marker, crashes in (("", 0), ("other", 0), ("crash", 1)):
            leaf.faults.crash_marker = marker
            leaf.on_query_arrived(0.0, query("a", body=b"crash-upstream"))
            self.assertEqual(leaf.counts.crashes, crashes)

    def test_shed_refuses_every_query(self):
        leaf = make_leaf()
        leaf.faults.shed = True
        effects = leaf.on_query_arrived(0.0, query("a"))
        self.assertEqual(answers(effects), [("a", 503, "shed")])

    def test_draining_leaf_counts_later_queries_and_then_refuses_them(self):
        leaf = make_leaf(drain_accept_ms=5_000.0)
        leaf.drain(1_000.0)
        leaf.drain(2_000.0)
        run = query("a")
        leaf.on_query_arrived(3_000.0, run)
        effects = leaf.on_run_done(3_010.0, run)
        self.assertIs(effects[0].state, LeafState.DRAINING)
        effects = leaf.on_query_arrived(6_001.0, query("b"))
        self.assertEqual(answers(effects), [("b", 503, "draining")])
        self.assertEqual(leaf.counts.accepted_after_drain, 1)
        self.assertEqual(list(leaf.counts.after_drain_ms), [2_000.0, 5_001.0])
        leaf.end_drain()
        self.assertIs(leaf.state(), LeafState.WARM)

    def test_stopped_leaf_rejects_connections(self):
        leaf = make_leaf()
        leaf.faults.down = True
        leaf.on_connection_lost(0.0, 0)
        self.assertEqual(
            leaf.on_connection_opened(0.0, 9), [CloseConnections((9,))]
        )

    def test_stragglers_follow_the_ratio_and_the_seed(self):
        stragglers = ServiceTime(10.0, 0.0, 0.1, 20.0)

        def times(seed):
            leaf = make_leaf(seed, slots=2_000, service_time=stragglers)
            return [
                effect.due_ms
                for number in range(2_000)
                for effect in leaf.on_query_arrived(0.0, query(f"q{number}"))
            ]

        self.assertEqual(times(3), times(3))
        self.assertNotEqual(times(3), times(4))
        fraction = sum(time == 200.0 for time in times(3)) / 2_000
        self.assertAlmostEqual(fraction, 0.1, delta=0.03)

    def test_slow_and_cold_leafs_take_longer(self):
        leaf = make_leaf(cold_factor=3.0, cold_slots=9)
        leaf.faults.slow_factor = 2.0
        leaf.faults.straggler_ratio = 1.0
        leaf.turn_cold(0.0)
        effects = leaf.on_query_arrived(0.0, query("a"))
        self.assertEqual(effects[0].due_ms, 10.0 * 20.0 * 3.0 * 2.0)
