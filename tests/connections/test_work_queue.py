"""The order in which connections use the processor."""

import unittest

from oriolegate.connections import work_queue
from oriolegate.connections.work_queue import Account
from oriolegate.connections.work_queue import WorkKind
from oriolegate.connections.work_queue import WorkQueue


class StandInWorker:
    """A connection with a number of steps to do, each of a cost."""

    def __init__(self, queue, steps, cost=1_100_000, kind=WorkKind.DECODE):
        self.queue = queue
        self.steps = steps
        self.cost = cost
        self.kind = kind
        self.is_refused = False
        self.account = Account(self)
        self.continue_work()

    def work(self, kind):
        self.steps -= 1
        return self.cost

    def continue_work(self):
        if self.steps and not self.queue.add(self.account, self.kind):
            self.is_refused = True
            self.steps = 0


class WorkQueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = WorkQueue()

    def run_turns(self, limit=100_000):
        turns = 0
        while self.queue.has_work and turns < limit:
            self.queue.run_turn()
            turns += 1
        return turns

    def test_a_turn_ends_when_its_cost_is_used(self):
        workers = [StandInWorker(self.queue, 10) for _ in range(100)]
        self.queue.run_turn()
        steps_left = sum(worker.steps for worker in workers)
        self.assertEqual(steps_left, 100 * 10 - 2)

    def test_a_connection_with_little_work_goes_before_a_crowd(self):
        crowd = [StandInWorker(self.queue, 50) for _ in range(500)]
        self.run_turns(500)
        late = StandInWorker(self.queue, 1)
        self.assertLessEqual(self.run_turns(1), 1)
        self.assertEqual(late.steps, 0)
        self.assertTrue(any(worker.steps for worker in crowd))

    def test_one_request_in_chunks_of_one_byte_is_decoded(self):
        worker = StandInWorker(self.queue, 400)
        self.run_turns()
        self.assertFalse(worker.is_refused)
        self.assertEqual(worker.steps, 0)

    def test_a_few_requests_in_chunks_of_one_byte_are_decoded(self):
        workers = [
            StandInWorker(self.queue, 400)
            for _ in range(work_queue.MAX_DECODING)
        ]
        self.run_turns()
        self.assertFalse(any(worker.is_refused for worker in workers))

    def test_what_a_crowd_may_have_decoded_is_bounded(self):
        workers = [StandInWorker(self.queue, 400) for _ in range(1_200)]
        turns = self.run_turns()
        refused = sum(worker.is_refused for worker in workers)
        self.assertGreaterEqual(refused, 1_200 - work_queue.MAX_DECODING - 1)
        self.assertLess(turns, 1_200 * 2 + work_queue.MAX_DECODING * 400)

    def test_bodies_in_large_chunks_are_never_refused(self):
        chunk = b"fa0\r\n" + b"a" * 4_000 + b"\r\n"
        body_bytes = 1024 * 1024
        workers = [
            StandInWorker(
                self.queue,
                body_bytes // len(chunk),
                work_queue.decoding_cost(chunk),
            )
            for _ in range(200)
        ]
        self.run_turns()
        self.assertFalse(any(worker.is_refused for worker in workers))

    def test_work_is_done_at_once_while_a_turn_has_room(self):
        self.assertTrue(self.queue.use_now(1_200_000))
        self.assertFalse(self.queue.use_now(1_200_000))
        self.queue.run_turn()
        self.assertTrue(self.queue.use_now(1_200_000))

    def test_a_lost_connection_waits_no_more(self):
        worker = StandInWorker(self.queue, 5)
        self.queue.cancel(worker.account)
        self.assertFalse(self.queue.has_work)
        self.queue.run_turn()
        self.assertEqual(worker.steps, 5)
        self.assertEqual(self.queue.decoding_count, 0)

    def test_pipelined_requests_wait_while_many_run(self):
        limit = work_queue.MAX_PIPELINED_REQUESTS
        workers = [
            StandInWorker(
                self.queue, 1, work_queue.REQUEST_COST, WorkKind.NEXT_REQUEST
            )
            for _ in range(limit + 5)
        ]
        for worker in workers:
            worker.work = self._start_request(worker)
        self.run_turns()
        self.assertEqual(self.queue.pipelined_count, limit)
        self.assertEqual(sum(worker.steps for worker in workers), 5)
        done = next(w for w in workers if w.account.is_pipelined)
        self.queue.end_pipelined(done.account)
        self.run_turns()
        self.assertEqual(sum(worker.steps for worker in workers), 4)

    def _start_request(self, worker):
        def work(kind):
            worker.steps -= 1
            self.queue.begin_pipelined(worker.account)
            return work_queue.REQUEST_COST

        return work

    def test_the_cost_of_a_body_is_that_of_its_lines(self):
        large = work_queue.decoding_cost(b"fa0\r\n" + b"a" * 4_000 + b"\r\n")
        small = work_queue.decoding_cost(b"1\r\na\r\n" * 667)
        self.assertGreater(small, 40 * large)
