"""Tests of the handling of one request."""

import unittest

from oriolegate.exchange import part_sender
from oriolegate.exchange import planned_stop
from oriolegate.exchange import timing
from oriolegate.exchange.messages import AbandonSend
from oriolegate.exchange.messages import AnswerGathered
from oriolegate.exchange.messages import Refuse
from oriolegate.exchange.messages import RelayAnswer
from oriolegate.exchange.messages import RequestHistory
from oriolegate.exchange.messages import SendOutcome
from oriolegate.models.leaf_notice import LeafNotice
from oriolegate.models.site import Repeatability
from tests import site_builders as build


class SingleTest(unittest.TestCase):
    def setUp(self):
        self.context = build.exchange_context(
            [build.leaf("near"), build.leaf("far", data_centre="dc-b")]
        )

    def start(self, **changes):
        exchange = build.exchange(build.route(**changes), self.context)
        return exchange, exchange.start(0.0)

    def test_the_nearest_leaf_gets_the_remaining_time(self):
        _, effects = self.start()
        (send,) = effects
        self.assertEqual(send.leaf.leaf_id, "near")
        self.assertEqual(send.time_left_ms, 1_500.0 - timing.LIMIT_MARGIN_MS)

    def test_an_answer_is_relayed_unchanged(self):
        exchange, _ = self.start()
        answer = build.answer()
        self.assertEqual(
            exchange.on_answer(5.0, 1, answer), [RelayAnswer(answer)]
        )
        self.assertTrue(exchange.is_finished)

    def test_after_a_failure_another_leaf_is_tried(self):
        exchange, _ = self.start()
        (send,) = exchange.on_answer(5.0, 1, build.answer(status=500))
        self.assertEqual(send.leaf.leaf_id, "far")

    def test_the_last_error_response_is_relayed(self):
        exchange, _ = self.start()
        exchange.on_answer(5.0, 1, build.answer(status=500))
        failure = build.answer(status=502)
        self.assertEqual(
            exchange.on_answer(9.0, 2, failure), [RelayAnswer(failure)]
        )

    def test_a_refusal_states_when_a_quiet_leaf_may_be_used(self):
        for leaf_id in ("near", "far"):
            self.context.directory.apply_notice(
                0.0, leaf_id, LeafNotice(quiet_ms=400.0)
            )
        _, (reply,) = self.start()
        self.assertIsInstance(reply, Refuse)
        self.assertEqual(reply.status, 503)
        self.assertTrue(400.0 <= reply.retry_after_ms <= 500.0, reply)

    def test_a_client_error_of_a_leaf_is_not_retried(self):
        exchange, _ = self.start()
        answer = build.answer(status=404)
        self.assertEqual(
            exchange.on_answer(5.0, 1, answer), [RelayAnswer(answer)]
        )

    def test_no_more_leafs_than_attempts_may_run_a_request(self):
        self.context.directory.put(0.0, build.leaf("third"))
        exchange, _ = self.start(attempts=2)
        exchange.on_failure(5.0, 1, SendOutcome.MAY_HAVE_RUN, "reset")
        effects = exchange.on_failure(9.0, 2, SendOutcome.MAY_HAVE_RUN, "reset")
        self.assertEqual(effects, [Refuse(502, "the upstreams failed")])

    def test_leafs_that_did_not_run_a_request_use_no_attempt(self):
        self.context.directory.put(0.0, build.leaf("third"))
        exchange, _ = self.start(attempts=1)
        exchange.on_failure(5.0, 1, SendOutcome.NOT_RUN, "503")
        (send,) = exchange.on_failure(9.0, 2, SendOutcome.NOT_RUN, "503")
        self.assertEqual(send.leaf.leaf_id, "far")

    def test_the_status_is_503_if_no_leaf_ran_the_request(self):
        exchange, _ = self.start()
        exchange.on_failure(5.0, 1, SendOutcome.NOT_RUN, "503")
        (reply,) = exchange.on_failure(9.0, 2, SendOutcome.UNSENT, "refused")
        self.assertEqual(reply.status, 503)
        self.assertGreater(reply.retry_after_ms, 0.0)

    def test_a_caller_that_disconnects_ends_the_work(self):
        exchange, _ = self.start()
        self.assertEqual(exchange.on_caller_disconnected(9.0), [AbandonSend(1)])
        self.assertTrue(exchange.is_finished)

    def test_at_the_limit_the_caller_gets_a_timeout(self):
        exchange, _ = self.start(timeout_ms=400.0)
        exchange.on_timer(399.0)
        effects = exchange.on_timer(400.0)
        self.assertIn(Refuse(504, "no answer in time"), effects)
        self.assertIn(AbandonSend(1), effects)

    def test_without_a_leaf_a_request_is_refused_at_once(self):
        self.context = build.exchange_context([])
        _, effects = self.start()
        (reply,) = effects
        self.assertEqual((reply.status, reply.reason), (503, "no leaf"))

    def test_without_time_for_an_answer_nothing_is_sent(self):
        exchange = build.exchange(
            build.route(), self.context, time_left_ms=timing.LIMIT_MARGIN_MS
        )
        self.assertEqual(exchange.start(0.0), [Refuse(504, "no time left")])
        self.assertTrue(exchange.is_finished)

    def test_a_leaf_that_never_answers_counts_as_failed(self):
        exchange, _ = self.start(timeout_ms=600.0)
        near = self.context.directory.leafs["near"]
        exchange.on_timer(600.0)
        self.assertGreater(near.failure_rate, 0.0)

    def test_an_early_disconnect_of_the_caller_is_no_failure_of_the_leaf(self):
        exchange, _ = self.start()
        near = self.context.directory.leafs["near"]
        exchange.on_caller_disconnected(9.0)
        self.assertEqual(near.failure_rate, 0.0)

    def test_a_request_waits_briefly_for_a_busy_leaf(self):
        self.context = build.exchange_context([build.leaf("near")])
        record = self.context.directory.leafs["near"]
        record.outstanding = dict.fromkeys(range(record.capacity), 0.0)
        exchange, effects = self.start()
        self.assertEqual(effects, [])
        due_ms = exchange.timer_due_ms
        self.assertEqual(due_ms, timing.PLACEMENT_RETRY_MS)
        record.outstanding.clear()
        self.assertEqual(len(build.sends(exchange.on_timer(due_ms))), 1)

    def test_a_request_is_refused_early_if_leafs_stay_busy(self):
        self.context = build.exchange_context([build.leaf("near")])
        record = self.context.directory.leafs["near"]
        record.outstanding = dict.fromkeys(range(record.capacity), 0.0)
        exchange, _ = self.start()
        (reply,) = exchange.on_timer(timing.QUEUE_FRACTION * 200.0)
        self.assertEqual((reply.status, reply.reason), (503, "all leafs full"))


class StoppingTest(unittest.TestCase):
    """Requests of a process that exits before a leaf could answer them."""

    # A refused request has not run; one that is sent too late is cut by the
    # exit and may have run.

    def setUp(self):
        self.context = build.exchange_context(
            [build.leaf("near"), build.leaf("far", data_centre="dc-b")]
        )

    def start(self, route, exit_after_ms, **changes):
        self.context.stop.begin(0.0, exit_after_ms / planned_stop.EXIT_FRACTION)
        exchange = build.exchange(route, self.context, **changes)
        return exchange, exchange.start(0.0)

    def needed_ms(self, route):
        latency = self.context.latencies.for_route(route.name, route.target_ms)
        return (
            planned_stop.ONCE_FACTOR * latency.usual_ms + planned_stop.REPLY_MS
        )

    def check_refused_unrun(self, effects):
        (reply,) = effects
        self.assertEqual((reply.status, reply.retry_after_ms), (503, 0.0))

    def test_a_request_that_waited_for_a_leaf_is_not_sent_too_late(self):
        route = build.route(repeatability=Repeatability.NON_IDEMPOTENT)
        for record in self.context.directory.leafs.values():
            record.outstanding = dict.fromkeys(range(record.capacity), 0.0)
        exchange, effects = self.start(route, self.needed_ms(route) + 1.0)
        self.assertEqual(effects, [])
        for record in self.context.directory.leafs.values():
            record.outstanding.clear()
        self.check_refused_unrun(exchange.on_timer(exchange.timer_due_ms))

    def test_a_request_that_a_leaf_rejected_is_not_sent_again_too_late(self):
        route = build.route(repeatability=Repeatability.NON_IDEMPOTENT)
        exchange, effects = self.start(route, self.needed_ms(route) + 1.0)
        self.assertEqual(len(build.sends(effects)), 1)
        self.check_refused_unrun(
            exchange.on_failure(5.0, 1, SendOutcome.NOT_RUN, "503")
        )

    def test_a_request_that_comes_back_from_another_vm_is_not_sent_too_late(
        self,
    ):
        route = build.route(repeatability=Repeatability.NON_IDEMPOTENT)
        _, effects = self.start(
            route,
            self.needed_ms(route) - 1.0,
            history=RequestHistory(is_counted=True),
        )
        self.check_refused_unrun(effects)

    def test_the_other_parts_of_a_request_that_has_begun_are_sent(self):
        self.context = build.exchange_context(
            [build.leaf("a", "a"), build.leaf("b", "b")], ("a", "b")
        )
        route = build.route(shards=("a", "b"), min_coverage=0.5, split=())
        record = self.context.directory.leafs["b"]
        record.outstanding = dict.fromkeys(range(record.capacity), 0.0)
        exchange, effects = self.start(route, self.needed_ms(route))
        self.assertEqual(len(build.sends(effects)), 1)
        record.outstanding.clear()
        self.context.stop.exit_ms = 1.0
        (send,) = build.sends(exchange.on_timer(exchange.timer_due_ms))
        self.assertEqual(send.leaf.leaf_id, "b")


class ForwardedRequestTest(unittest.TestCase):
    """Requests that another VM has forwarded."""

    HOLD_MS = 50.0

    def start(self, **history):
        self.context = build.exchange_context(
            [build.leaf("near"), build.leaf("far", data_centre="dc-b")]
        )
        exchange = build.exchange(
            build.route(attempts=2),
            self.context,
            history=RequestHistory(**history),
        )
        self.assertEqual(len(build.sends(exchange.start(0.0))), 1)
        return exchange

    def send_count_after(self, exchange, until_ms):
        """Return the number of sends until a time."""
        count = 0
        while exchange.timer_due_ms < until_ms:
            due_ms = exchange.timer_due_ms
            count += len(build.sends(exchange.on_timer(due_ms)))
            self.assertGreater(exchange.timer_due_ms, due_ms)
        return count

    def test_a_second_leaf_is_not_tried_while_attempts_are_held(self):
        exchange = self.start(hold_until_ms=self.HOLD_MS)
        failure = build.answer(status=500)
        self.assertEqual(exchange.on_answer(5.0, 1, failure), [])
        self.assertEqual(self.send_count_after(exchange, self.HOLD_MS), 0)
        (send,) = build.sends(exchange.on_timer(self.HOLD_MS))
        self.assertEqual(send.leaf.leaf_id, "far")

    def test_no_hedge_is_sent_while_attempts_are_held(self):
        hold_ms = 400.0
        exchange = self.start(hold_until_ms=hold_ms)
        self.assertEqual(self.send_count_after(exchange, hold_ms), 0)
        self.assertEqual(self.send_count_after(exchange, hold_ms + 50.0), 1)

    def test_a_leaf_that_did_not_run_it_is_followed_at_once(self):
        exchange = self.start(hold_until_ms=self.HOLD_MS)
        effects = exchange.on_failure(5.0, 1, SendOutcome.NOT_RUN, "503")
        self.assertEqual(len(build.sends(effects)), 1)

    def test_each_send_is_charged_after_an_arrival_at_another_vm(self):
        exchange = self.start(is_counted=True, has_arrived=True)
        (part,) = exchange.parts
        self.assertEqual(part.charged, 1)
        exchange.on_failure(5.0, 1, SendOutcome.UNSENT, "refused")
        self.assertEqual(part.charged, 1)
        self.assertEqual(part.arrivals, 2)


class TrialTest(unittest.TestCase):
    """A request that may crash leafs is sent to one leaf at a time."""

    def setUp(self):
        self.services = ("s1", "s2", "s3")
        leafs = [
            build.leaf(f"{name}-{place}", name, f"dc-{place}")
            for name in self.services
            for place in "ab"
        ]
        self.context = build.exchange_context(leafs, self.services)

    def start(self, **changes):
        exchange = build.exchange(
            build.gather_route(self.services, **changes),
            self.context,
            is_trial=True,
        )
        return exchange, build.sends(exchange.start(0.0))

    def test_one_part_is_sent_until_it_has_succeeded(self):
        exchange, sends = self.start()
        self.assertEqual([send.leaf.service for send in sends], ["s1"])
        sends = build.sends(exchange.on_answer(5.0, 1, build.answer()))
        self.assertEqual([send.leaf.service for send in sends], ["s2", "s3"])
        exchange.on_answer(9.0, 2, build.answer(signature=b"b"))
        (reply,) = exchange.on_answer(9.0, 3, build.answer(signature=b"c"))
        self.assertEqual(reply.missing, 0)

    def test_no_second_leaf_gets_it_after_one_may_have_crashed(self):
        exchange, _ = self.start()
        (reply,) = exchange.on_failure(
            5.0, 1, SendOutcome.MAY_HAVE_RUN, "reset"
        )
        self.assertEqual(reply.status, 502)
        self.assertEqual(exchange.send_count, 1)

    def test_a_leaf_that_did_not_run_it_is_followed_by_another(self):
        exchange, _ = self.start()
        (send,) = exchange.on_failure(5.0, 1, SendOutcome.NOT_RUN, "busy")
        self.assertEqual(send.leaf.leaf_id, "s1-b")

    def test_a_leaf_that_failed_it_is_followed_by_another(self):
        exchange, _ = self.start()
        (send,) = exchange.on_answer(5.0, 1, build.answer(status=500))
        self.assertEqual(send.leaf.leaf_id, "s1-b")
        (reply,) = exchange.on_failure(
            9.0, 2, SendOutcome.MAY_HAVE_RUN, "reset"
        )
        self.assertEqual(reply.status, 502)

    def test_it_gets_no_hedge(self):
        exchange, _ = self.start()
        effects = []
        now_ms = 0.0
        while exchange.reply is None:
            now_ms = max(now_ms + 1.0, exchange.timer_due_ms)
            effects += exchange.on_timer(now_ms)
        self.assertEqual(build.sends(effects), [])
        self.assertEqual(exchange.reply.status, 502)

    def test_without_a_leaf_it_is_refused_at_once(self):
        for record in self.context.directory.by_service["s1"].values():
            record.suspect = True
        exchange, sends = self.start()
        self.assertEqual(sends, [])
        self.assertEqual(exchange.reply.status, 503)


class NonIdempotentTest(unittest.TestCase):
    def setUp(self):
        self.context = build.exchange_context(
            [build.leaf("one"), build.leaf("two")]
        )
        self.exchange = build.exchange(
            build.route(repeatability=Repeatability.NON_IDEMPOTENT),
            self.context,
        )
        self.exchange.start(0.0)

    def test_it_is_not_sent_again_if_a_leaf_may_have_run_it(self):
        (reply,) = self.exchange.on_failure(
            5.0, 1, SendOutcome.MAY_HAVE_RUN, "reset"
        )
        self.assertEqual(reply, Refuse(502, "the upstreams failed"))

    def test_it_is_sent_again_if_a_leaf_reports_that_it_did_not_run(self):
        effects = self.exchange.on_failure(5.0, 1, SendOutcome.NOT_RUN, "503")
        self.assertEqual(len(build.sends(effects)), 1)

    def test_it_waits_for_its_leaf_until_the_deadline(self):
        while self.exchange.reply is None:
            self.exchange.on_timer(self.exchange.timer_due_ms)
        at_ms = self.exchange.replied_at_ms
        self.assertEqual(at_ms, self.exchange.deadlines.limit_ms)

    def test_stragglers_get_no_hedge(self):
        due_ms = self.exchange.timer_due_ms
        self.assertEqual(due_ms, self.exchange.deadlines.limit_ms)


class GatherTest(unittest.TestCase):
    def setUp(self):
        self.services = ("s1", "s2", "s3", "s4")
        leafs = [
            build.leaf(f"{name}-{place}", name, f"dc-{place}")
            for name in self.services
            for place in "ab"
        ]
        self.context = build.exchange_context(leafs, self.services)

    def start(self, **changes):
        tested_route = build.gather_route(self.services, **changes)
        exchange = build.exchange(tested_route, self.context)
        return exchange, build.sends(exchange.start(0.0))

    def test_each_service_gets_one_send(self):
        _, sends = self.start()
        self.assertEqual(
            [send.leaf.service for send in sends], list(self.services)
        )

    def test_the_answer_contains_the_greatest_records_of_all_parts(self):
        exchange, _ = self.start()
        effects = []
        for number, letter in enumerate(b"adcb", 1):
            body = bytes([letter]) * 16 + b"tail"
            answer = build.answer(body, signature=b"sig%d" % number)
            effects = exchange.on_answer(5.0, number, answer)
        (reply,) = effects
        self.assertEqual(reply.body, b"d" * 16 + b"c" * 16 + b"b" * 16)
        self.assertEqual(reply.signatures, (b"sig1", b"sig2", b"sig3", b"sig4"))
        self.assertEqual(reply.missing, 0)

    def suspect_service(self, name):
        for record in self.context.directory.by_service[name].values():
            record.suspect = True

    def test_a_request_that_can_not_be_whole_enough_is_refused_unsent(self):
        # The unreachable service is last, so that others would be sent first.
        self.suspect_service("s4")
        route = build.gather_route(self.services, min_coverage=0.9)
        exchange = build.exchange(route, self.context)
        effects = exchange.start(0.0)
        self.assertEqual(build.sends(effects), [])
        (reply,) = effects
        self.assertEqual(reply.status, 503)
        self.assertGreater(reply.retry_after_ms, 0.0)
        self.assertTrue(exchange.is_finished)

    def test_a_request_that_can_be_whole_enough_is_sent_without_a_part(self):
        self.suspect_service("s4")
        _, sends = self.start(min_coverage=0.7)
        self.assertEqual(
            [send.leaf.service for send in sends], ["s1", "s2", "s3"]
        )

    def test_a_straggler_gets_a_hedge_to_another_leaf(self):
        exchange, _ = self.start()
        for number in (1, 2, 3):
            exchange.on_answer(5.0, number, build.answer())
        (send,) = build.sends(exchange.on_timer(exchange.timer_due_ms))
        self.assertEqual(send.leaf.leaf_id, "s4-b")

    def test_a_partial_answer_is_given_at_the_target(self):
        exchange, _ = self.start()
        for number in (1, 2, 3):
            exchange.on_answer(5.0, number, build.answer())
        exchange.on_timer(exchange.timer_due_ms)
        self.assertEqual(exchange.timer_due_ms, 200.0 - timing.TARGET_MARGIN_MS)
        effects = exchange.on_timer(200.0 - timing.TARGET_MARGIN_MS)
        self.assertEqual(effects[0].missing, 1)

    def test_below_the_minimum_coverage_it_waits_beyond_the_target(self):
        exchange, _ = self.start(min_coverage=0.9)
        for number in (1, 2, 3):
            exchange.on_answer(5.0, number, build.answer())
        effects = exchange.on_timer(190.0)
        self.assertEqual(len(build.sends(effects)), len(effects))
        (reply,) = exchange.on_answer(230.0, 4, build.answer())
        self.assertIsInstance(reply, AnswerGathered)

    def test_it_ends_once_the_minimum_coverage_is_unreachable(self):
        exchange, _ = self.start(min_coverage=0.9, attempts=1)
        effects = exchange.on_failure(5.0, 1, SendOutcome.MAY_HAVE_RUN, "reset")
        self.assertEqual(effects[0].status, 502)
        self.assertEqual(effects[1:], [AbandonSend(n) for n in (2, 3, 4)])

    def test_the_body_of_an_error_response_is_not_merged(self):
        exchange, _ = self.start(attempts=1)
        exchange.on_answer(5.0, 1, build.answer(status=500))
        effects = []
        for number in (2, 3, 4):
            effects = exchange.on_answer(6.0, number, build.answer())
        (reply,) = effects
        self.assertEqual((len(reply.signatures), reply.missing), (3, 1))

    def test_open_sends_are_cancelled_some_time_after_the_reply(self):
        exchange, _ = self.start()
        for number in (1, 2, 3):
            exchange.on_answer(5.0, number, build.answer())
        exchange.on_timer(199.0)
        due_ms = exchange.timer_due_ms
        self.assertEqual(due_ms, 199.0 + timing.LATE_ANSWER_GRACE_MS)
        effects = exchange.on_timer(due_ms)
        self.assertTrue(effects)
        self.assertTrue(all(isinstance(e, AbandonSend) for e in effects))
        self.assertTrue(exchange.is_finished)

    def fill(self, leaf_id):
        record = self.context.directory.leafs[leaf_id]
        record.outstanding = dict.fromkeys(range(record.capacity), 0.0)
        return record

    def test_a_late_answer_after_the_reply_sets_no_timer_in_the_past(self):
        exchange, _ = self.start()
        for number in (1, 2):
            exchange.on_answer(5.0, number, build.answer())
        exchange.on_timer(199.0)
        self.assertIsNotNone(exchange.reply)
        exchange.on_answer(300.0, 3, build.answer())
        self.assertEqual(
            exchange.timer_due_ms, 199.0 + timing.LATE_ANSWER_GRACE_MS
        )

    def test_a_part_waits_for_a_connection_while_others_run(self):
        records = [self.fill("s4-a"), self.fill("s4-b")]
        exchange, sends = self.start(min_coverage=0.9)
        self.assertEqual(len(sends), 3)
        for number in (1, 2, 3):
            exchange.on_answer(30.0, number, build.answer())
        self.assertEqual(exchange.on_timer(0.45 * 200.0), [])
        for record in records:
            record.outstanding.clear()
        (send,) = build.sends(exchange.on_timer(0.49 * 200.0))
        (reply,) = exchange.on_answer(130.0, send.send, build.answer())
        self.assertEqual(reply.missing, 0)

    def test_a_part_without_a_connection_ends_the_request_early(self):
        self.fill("s4-a")
        self.fill("s4-b")
        exchange, _ = self.start(min_coverage=0.9)
        reply = exchange.on_timer(timing.GATHER_QUEUE_FRACTION * 200.0)[0]
        self.assertEqual(reply.status, 502)
        self.assertGreater(reply.retry_after_ms, 0.0)

    def test_when_the_process_ends_it_answers_with_the_parts_received(self):
        exchange, _ = self.start()
        for number in (1, 2, 3):
            exchange.on_answer(5.0, number, build.answer())
        reply, *_ = exchange.on_process_end(20.0)
        self.assertEqual(reply.missing, 1)
        self.assertEqual(exchange.on_process_end(21.0), [])

    def test_a_late_answer_waits_briefly_for_missing_parts(self):
        exchange, _ = self.start(min_coverage=0.7)
        for number in (1, 2):
            exchange.on_answer(5.0, number, build.answer())
        exchange.on_timer(190.0)
        self.assertEqual(exchange.on_answer(210.0, 3, build.answer()), [])
        due_ms = exchange.timer_due_ms
        self.assertLessEqual(due_ms, 200.0 * (1.0 + timing.LATE_WAIT_FRACTION))
        while exchange.reply is None:
            effects = exchange.on_timer(exchange.timer_due_ms)
        self.assertLessEqual(exchange.replied_at_ms, 250.0)
        self.assertEqual(effects[0].missing, 1)

    def run_until_reply(self, exchange):
        while exchange.reply is None:
            exchange.on_timer(exchange.timer_due_ms)
        return exchange.replied_at_ms

    def test_a_stalled_request_is_given_up_in_time_for_a_retry(self):
        exchange, _ = self.start(min_coverage=0.9)
        for number in (1, 2, 3):
            exchange.on_answer(5.0, number, build.answer())
        at_ms = self.run_until_reply(exchange)
        self.assertEqual(exchange.reply.status, 502)
        self.assertGreater(at_ms, timing.MIN_STALL_MS)
        left_ms = exchange.deadlines.limit_ms - at_ms
        self.assertGreaterEqual(
            left_ms, timing.CALLER_RETRY_TARGET_FACTOR * 200.0
        )

    def test_a_stalled_part_is_not_sent_again(self):
        exchange, _ = self.start()
        exchange.sender.give_up(10.0, exchange.parts[3])
        self.assertEqual(
            exchange.on_failure(20.0, 4, SendOutcome.NOT_RUN, "503"), []
        )
        self.assertIsNone(exchange.reply)

    def test_without_time_for_a_retry_it_waits_until_the_limit(self):
        exchange, _ = self.start(min_coverage=0.9, timeout_ms=1_000.0)
        for number in (1, 2, 3):
            exchange.on_answer(5.0, number, build.answer())
        self.assertEqual(
            self.run_until_reply(exchange), exchange.deadlines.limit_ms
        )

    def test_hedges_stop_at_the_budget(self):
        self.context.budget.set_bounds(0.2, 10_000.0, 0.0)
        exchange, _ = self.start()
        self.assertEqual(build.sends(exchange.on_timer(150.0)), [])

    def test_a_hedge_is_sent_once_there_is_budget(self):
        self.context.budget.set_bounds(0.2, 10_000.0, 0.0)
        exchange, _ = self.start(min_coverage=0.9)
        for number in (1, 2, 3):
            exchange.on_answer(5.0, number, build.answer())
        self.assertEqual(build.sends(exchange.on_timer(150.0)), [])
        self.context.budget.set_bounds(0.2, 10_000.0, 50.0)
        (send,) = build.sends(exchange.on_timer(exchange.timer_due_ms))
        self.assertEqual(send.leaf.leaf_id, "s4-b")

    def test_an_unresponsive_leaf_is_replaced_from_the_retry_reserve(
        self,
    ):
        # One VM's share of this slack allows a retry but no hedge.
        self.context.budget.set_bounds(0.0, 10_000.0, 1.25)
        exchange, _ = self.start(min_coverage=0.9)
        for number in (1, 2, 3):
            exchange.on_answer(5.0, number, build.answer())
        self.assertEqual(build.sends(exchange.on_timer(150.0)), [])
        (send,) = build.sends(
            exchange.on_timer(part_sender.UNRESPONSIVE_MS + 1.0)
        )
        self.assertEqual(send.leaf.leaf_id, "s4-b")

    def test_a_send_that_reached_no_leaf_is_not_charged(self):
        self.context.budget.set_bounds(0.0, 10_000.0, 0.0)
        exchange, _ = self.start()
        effects = exchange.on_failure(
            5.0, 4, SendOutcome.UNSENT, "no connection"
        )
        (send,) = build.sends(effects)
        self.assertEqual(send.leaf.leaf_id, "s4-b")

    def test_a_hedge_is_refunded_if_the_first_send_never_arrived(self):
        budget = self.context.budget
        exchange, _ = self.start()
        for number in (1, 2, 3):
            exchange.on_answer(5.0, number, build.answer())
        before = budget.left("s4", 5.0)
        exchange.on_timer(exchange.timer_due_ms)
        self.assertEqual(budget.left("s4", 5.0), before - 1.0)
        exchange.on_failure(170.0, 4, SendOutcome.UNSENT, "no connection")
        self.assertEqual(budget.left("s4", 5.0), before)


if __name__ == "__main__":
    unittest.main()
