"""Tests of one request's decisions."""

import unittest

from oriolegate.exchange import part_sender
from oriolegate.exchange import timing
from oriolegate.exchange.messages import AbandonSend
from oriolegate.exchange.messages import AnswerGathered
from oriolegate.exchange.messages import Fate
from oriolegate.exchange.messages import PassOn
from oriolegate.exchange.messages import Refuse
from oriolegate.models.site import Repeatability
from tests import site_builders as build


class SingleTest(unittest.TestCase):
    def setUp(self):
        self.shared = build.shared(
            [build.leaf("near"), build.leaf("far", data_centre="dc-b")]
        )

    def start(self, **changes):
        found = build.exchange(build.route(**changes), self.shared)
        return found, found.start(0.0)

    def test_the_near_leaf_gets_the_time_that_is_left(self):
        _, effects = self.start()
        (send,) = effects
        self.assertEqual(send.leaf.leaf_id, "near")
        self.assertEqual(send.time_left_ms, 1_500.0 - timing.LIMIT_MARGIN_MS)

    def test_an_answer_is_passed_on_unchanged(self):
        found, _ = self.start()
        answer = build.answer()
        self.assertEqual(found.answered(5.0, 1, answer), [PassOn(answer)])
        self.assertTrue(found.finished)

    def test_a_failed_leaf_is_followed_by_another_one(self):
        found, _ = self.start()
        (send,) = found.answered(5.0, 1, build.answer(status=500))
        self.assertEqual(send.leaf.leaf_id, "far")

    def test_the_last_failure_is_passed_on_with_its_status(self):
        found, _ = self.start()
        found.answered(5.0, 1, build.answer(status=500))
        failure = build.answer(status=502)
        self.assertEqual(found.answered(9.0, 2, failure), [PassOn(failure)])

    def test_a_client_error_of_a_leaf_is_not_repeated(self):
        found, _ = self.start()
        answer = build.answer(status=404)
        self.assertEqual(found.answered(5.0, 1, answer), [PassOn(answer)])

    def test_no_more_leafs_than_attempts_may_run_it(self):
        self.shared.directory.put(0.0, build.leaf("third"))
        found, _ = self.start(attempts=2)
        found.failed(5.0, 1, Fate.MAY_HAVE_RUN, "reset")
        effects = found.failed(9.0, 2, Fate.MAY_HAVE_RUN, "reset")
        self.assertEqual(effects, [Refuse(502, "the upstreams failed")])

    def test_leafs_that_did_not_run_it_use_up_no_attempt(self):
        self.shared.directory.put(0.0, build.leaf("third"))
        found, _ = self.start(attempts=1)
        found.failed(5.0, 1, Fate.NOT_RUN, "503")
        (send,) = found.failed(9.0, 2, Fate.NOT_RUN, "503")
        self.assertEqual(send.leaf.leaf_id, "far")

    def test_a_refusal_promises_not_run_only_if_no_leaf_began(self):
        found, _ = self.start()
        found.failed(5.0, 1, Fate.NOT_RUN, "503")
        (reply,) = found.failed(9.0, 2, Fate.UNSENT, "refused")
        self.assertEqual(reply.status, 503)
        self.assertGreater(reply.retry_after_ms, 0.0)

    def test_a_caller_that_leaves_ends_the_work(self):
        found, _ = self.start()
        self.assertEqual(found.caller_gone(9.0), [AbandonSend(1)])
        self.assertTrue(found.finished)

    def test_at_the_limit_the_caller_hears_that_time_is_up(self):
        found, _ = self.start(timeout_ms=400.0)
        found.alarm(399.0)
        effects = found.alarm(400.0)
        self.assertIn(Refuse(504, "no answer in time"), effects)
        self.assertIn(AbandonSend(1), effects)

    def test_with_no_leaf_it_is_refused_at_once(self):
        self.shared = build.shared([])
        _, effects = self.start()
        (reply,) = effects
        self.assertEqual((reply.status, reply.reason), (503, "no leaf"))

    def test_without_time_for_an_answer_nothing_is_sent(self):
        found = build.exchange(
            build.route(), self.shared, time_left_ms=timing.LIMIT_MARGIN_MS
        )
        self.assertEqual(found.start(0.0), [Refuse(504, "no time left")])
        self.assertTrue(found.finished)

    def test_a_leaf_that_never_answers_counts_as_failing(self):
        found, _ = self.start(timeout_ms=600.0)
        near = self.shared.directory.leafs["near"]
        found.alarm(600.0)
        self.assertGreater(near.failure_rate, 0.0)

    def test_a_leaf_is_not_blamed_for_a_caller_that_leaves_early(self):
        found, _ = self.start()
        near = self.shared.directory.leafs["near"]
        found.caller_gone(9.0)
        self.assertEqual(near.failure_rate, 0.0)

    def test_it_waits_a_little_for_a_busy_leaf(self):
        self.shared = build.shared([build.leaf("near")])
        record = self.shared.directory.leafs["near"]
        record.outstanding = dict.fromkeys(range(record.capacity), 0.0)
        found, effects = self.start()
        self.assertEqual(effects, [])
        due_ms = found.alarm_ms
        self.assertEqual(due_ms, timing.RETRY_PLACING_MS)
        record.outstanding.clear()
        self.assertEqual(len(build.sends(found.alarm(due_ms))), 1)

    def test_it_is_refused_early_if_leafs_stay_busy(self):
        self.shared = build.shared([build.leaf("near")])
        record = self.shared.directory.leafs["near"]
        record.outstanding = dict.fromkeys(range(record.capacity), 0.0)
        found, _ = self.start()
        (reply,) = found.alarm(timing.QUEUE_PART * 200.0)
        self.assertEqual((reply.status, reply.reason), (503, "all leafs full"))


class NonIdempotentTest(unittest.TestCase):
    def setUp(self):
        self.shared = build.shared([build.leaf("one"), build.leaf("two")])
        self.found = build.exchange(
            build.route(repeatability=Repeatability.NON_IDEMPOTENT), self.shared
        )
        self.found.start(0.0)

    def test_it_is_never_sent_twice_once_a_leaf_may_have_begun(self):
        (reply,) = self.found.failed(5.0, 1, Fate.MAY_HAVE_RUN, "reset")
        self.assertEqual(reply, Refuse(502, "the upstreams failed"))

    def test_it_is_sent_again_if_a_leaf_says_it_did_not_run(self):
        effects = self.found.failed(5.0, 1, Fate.NOT_RUN, "503")
        self.assertEqual(len(build.sends(effects)), 1)

    def test_it_waits_for_its_leaf_to_the_end(self):
        while self.found.reply is None:
            self.found.alarm(self.found.alarm_ms)
        at_ms = self.found.replied_at_ms
        self.assertEqual(at_ms, self.found.moments.limit_ms)

    def test_stragglers_get_no_second_send(self):
        due_ms = self.found.alarm_ms
        self.assertEqual(due_ms, self.found.moments.limit_ms)


class GatherTest(unittest.TestCase):
    def setUp(self):
        self.services = ("s1", "s2", "s3", "s4")
        leafs = [
            build.leaf(f"{name}-{place}", name, f"dc-{place}")
            for name in self.services
            for place in "ab"
        ]
        self.shared = build.shared(leafs, self.services)

    def start(self, **changes):
        found_route = build.gather_route(self.services, **changes)
        found = build.exchange(found_route, self.shared)
        return found, build.sends(found.start(0.0))

    def test_each_service_gets_it_once(self):
        _, sends = self.start()
        self.assertEqual(
            [send.leaf.service for send in sends], list(self.services)
        )

    def test_the_answer_holds_the_greatest_records_of_all_parts(self):
        found, _ = self.start()
        effects = []
        for number, letter in enumerate(b"adcb", 1):
            body = bytes([letter]) * 16 + b"tail"
            answer = build.answer(body, signature=b"sig%d" % number)
            effects = found.answered(5.0, number, answer)
        (reply,) = effects
        self.assertEqual(reply.body, b"d" * 16 + b"c" * 16 + b"b" * 16)
        self.assertEqual(reply.signatures, (b"sig1", b"sig2", b"sig3", b"sig4"))
        self.assertEqual(reply.missing, 0)

    def test_a_straggler_is_sent_to_another_leaf(self):
        found, _ = self.start()
        for number in (1, 2, 3):
            found.answered(5.0, number, build.answer())
        (send,) = build.sends(found.alarm(found.alarm_ms))
        self.assertEqual(send.leaf.leaf_id, "s4-b")

    def test_a_partial_answer_is_given_at_the_target(self):
        found, _ = self.start()
        for number in (1, 2, 3):
            found.answered(5.0, number, build.answer())
        found.alarm(found.alarm_ms)
        self.assertEqual(found.alarm_ms, 200.0 - timing.TARGET_MARGIN_MS)
        effects = found.alarm(200.0 - timing.TARGET_MARGIN_MS)
        self.assertEqual(effects[0].missing, 1)

    def test_below_the_least_coverage_it_waits_beyond_the_target(self):
        found, _ = self.start(min_coverage=0.9)
        for number in (1, 2, 3):
            found.answered(5.0, number, build.answer())
        effects = found.alarm(190.0)
        self.assertEqual(len(build.sends(effects)), len(effects))
        (reply,) = found.answered(230.0, 4, build.answer())
        self.assertIsInstance(reply, AnswerGathered)

    def test_it_ends_once_the_least_coverage_is_out_of_reach(self):
        found, _ = self.start(min_coverage=0.9, attempts=1)
        effects = found.failed(5.0, 1, Fate.MAY_HAVE_RUN, "reset")
        self.assertEqual(effects[0].status, 502)
        self.assertEqual(effects[1:], [AbandonSend(n) for n in (2, 3, 4)])

    def test_a_failed_leafs_body_is_no_part(self):
        found, _ = self.start(attempts=1)
        found.answered(5.0, 1, build.answer(status=500))
        effects = []
        for number in (2, 3, 4):
            effects = found.answered(6.0, number, build.answer())
        (reply,) = effects
        self.assertEqual((len(reply.signatures), reply.missing), (3, 1))

    def test_sends_left_over_are_given_up_a_while_after_the_answer(self):
        found, _ = self.start()
        for number in (1, 2, 3):
            found.answered(5.0, number, build.answer())
        found.alarm(199.0)
        due_ms = found.alarm_ms
        self.assertEqual(due_ms, 199.0 + timing.LINGER_MS)
        effects = found.alarm(due_ms)
        self.assertTrue(effects)
        self.assertTrue(all(isinstance(e, AbandonSend) for e in effects))
        self.assertTrue(found.finished)

    def fill(self, leaf_id):
        record = self.shared.directory.leafs[leaf_id]
        record.outstanding = dict.fromkeys(range(record.capacity), 0.0)
        return record

    def test_parts_wait_for_a_connection_while_others_are_worked_on(self):
        records = [self.fill("s4-a"), self.fill("s4-b")]
        found, sends = self.start(min_coverage=0.9)
        self.assertEqual(len(sends), 3)
        for number in (1, 2, 3):
            found.answered(30.0, number, build.answer())
        self.assertEqual(found.alarm(0.45 * 200.0), [])
        for record in records:
            record.outstanding.clear()
        (send,) = build.sends(found.alarm(0.49 * 200.0))
        (reply,) = found.answered(130.0, send.send, build.answer())
        self.assertEqual(reply.missing, 0)

    def test_a_part_that_found_no_connection_ends_it_with_a_time(self):
        self.fill("s4-a")
        self.fill("s4-b")
        found, _ = self.start(min_coverage=0.9)
        reply = found.alarm(timing.GATHER_QUEUE_PART * 200.0)[0]
        self.assertEqual(reply.status, 502)
        self.assertGreater(reply.retry_after_ms, 0.0)

    def test_given_up_it_answers_with_the_parts_that_are_in(self):
        found, _ = self.start()
        for number in (1, 2, 3):
            found.answered(5.0, number, build.answer())
        reply, *_ = found.give_up(20.0)
        self.assertEqual(reply.missing, 1)
        self.assertEqual(found.give_up(21.0), [])

    def test_a_late_answer_waits_a_little_for_the_rest(self):
        found, _ = self.start(min_coverage=0.7)
        for number in (1, 2):
            found.answered(5.0, number, build.answer())
        found.alarm(190.0)
        self.assertEqual(found.answered(210.0, 3, build.answer()), [])
        due_ms = found.alarm_ms
        self.assertLessEqual(due_ms, 200.0 * (1.0 + timing.LATE_WAIT_PART))
        while found.reply is None:
            effects = found.alarm(found.alarm_ms)
        self.assertLessEqual(found.replied_at_ms, 250.0)
        self.assertEqual(effects[0].missing, 1)

    def run_until_reply(self, found):
        while found.reply is None:
            found.alarm(found.alarm_ms)
        return found.replied_at_ms

    def test_a_request_whose_leafs_hang_is_given_up_while_it_can_return(self):
        found, _ = self.start(min_coverage=0.9)
        for number in (1, 2, 3):
            found.answered(5.0, number, build.answer())
        at_ms = self.run_until_reply(found)
        self.assertEqual(found.reply.status, 502)
        self.assertGreater(at_ms, timing.LEAST_STUCK_MS)
        left_ms = found.moments.limit_ms - at_ms
        self.assertGreaterEqual(left_ms, timing.RETURN_PART * 200.0)

    def test_a_part_that_was_given_up_is_not_sent_again(self):
        found, _ = self.start()
        found.sender.give_up(10.0, found.parts[3])
        self.assertEqual(found.failed(20.0, 4, Fate.NOT_RUN, "503"), [])
        self.assertIsNone(found.reply)

    def test_without_time_for_another_try_it_waits_to_the_end(self):
        found, _ = self.start(min_coverage=0.9, timeout_ms=1_000.0)
        for number in (1, 2, 3):
            found.answered(5.0, number, build.answer())
        self.assertEqual(self.run_until_reply(found), found.moments.limit_ms)

    def test_hedges_stop_at_the_budget(self):
        self.shared.budget.set_bounds(0.2, 10_000.0, 0.0)
        found, _ = self.start()
        self.assertEqual(build.sends(found.alarm(150.0)), [])

    def test_a_straggler_is_sent_again_once_there_is_budget(self):
        self.shared.budget.set_bounds(0.2, 10_000.0, 0.0)
        found, _ = self.start(min_coverage=0.9)
        for number in (1, 2, 3):
            found.answered(5.0, number, build.answer())
        self.assertEqual(build.sends(found.alarm(150.0)), [])
        self.shared.budget.set_bounds(0.2, 10_000.0, 50.0)
        (send,) = build.sends(found.alarm(found.alarm_ms))
        self.assertEqual(send.leaf.leaf_id, "s4-b")

    def test_a_leaf_that_hangs_is_replaced_from_the_part_kept_for_failures(
        self,
    ):
        # Two VMs' part of this slack: enough for a failure, not for a hedge.
        self.shared.budget.set_bounds(0.0, 10_000.0, 1.25)
        found, _ = self.start(min_coverage=0.9)
        for number in (1, 2, 3):
            found.answered(5.0, number, build.answer())
        self.assertEqual(build.sends(found.alarm(150.0)), [])
        (send,) = build.sends(found.alarm(part_sender.HUNG_MS + 1.0))
        self.assertEqual(send.leaf.leaf_id, "s4-b")

    def test_a_send_that_reached_no_leaf_costs_no_budget(self):
        self.shared.budget.set_bounds(0.0, 10_000.0, 0.0)
        found, _ = self.start()
        effects = found.failed(5.0, 4, Fate.UNSENT, "no connection")
        (send,) = build.sends(effects)
        self.assertEqual(send.leaf.leaf_id, "s4-b")

    def test_a_hedge_is_given_back_if_the_first_send_never_arrived(self):
        budget = self.shared.budget
        found, _ = self.start()
        for number in (1, 2, 3):
            found.answered(5.0, number, build.answer())
        before = budget.left("s4", 5.0)
        found.alarm(found.alarm_ms)
        self.assertEqual(budget.left("s4", 5.0), before - 1.0)
        found.failed(170.0, 4, Fate.UNSENT, "no connection")
        self.assertEqual(budget.left("s4", 5.0), before)


if __name__ == "__main__":
    unittest.main()
