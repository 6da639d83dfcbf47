"""Which connections are closed when a machine's limits are reached."""

import unittest

import attrs
from hypothesis import given
from hypothesis import strategies

from oriolegate.connections import machine_share
from oriolegate.connections.connection import Connection
from oriolegate.connections.connection import RefusalReason
from oriolegate.connections.connection_budget import ConnectionBudget
from oriolegate.connections.machine_share import ConnectionGroup
from oriolegate.models.machine import MachineLimits

CALLERS = ConnectionGroup.CALLERS
INTERNAL = ConnectionGroup.INTERNAL
LIMITS = MachineLimits(memory_mb=160.0, descriptors=1_000)
LEGAL_BODY_BYTES = 262_144


class BudgetCase(unittest.TestCase):
    def setUp(self):
        self.budget = ConnectionBudget(LIMITS)
        self.closed = []
        self.refused = []
        self.budget.on_refused = lambda group, reason: self.refused.append(
            reason
        )

    def open(self, now_ms=0.0, group=CALLERS, input_bytes=0):
        connection = Connection(group, lambda reason: None, now_ms)
        connection.close = lambda reason: self.closed.append(
            (connection, reason)
        )
        self.budget.open(now_ms, connection)
        if input_bytes:
            self.budget.set_data(now_ms, connection, input_bytes, 0)
        return connection

    def closed_connections(self):
        return [connection for connection, _ in self.closed]

    def run_request(self, now_ms, body_bytes, copies=2, group=CALLERS):
        connection = self.open(now_ms, group)
        self.budget.begin_request(connection, body_bytes)
        may_run = self.budget.reserve(
            now_ms, connection, body_bytes * copies, 6_000
        )
        return connection, may_run


class MemoryTest(BudgetCase):
    def test_connections_without_progress_are_closed_before_others(self):
        moving = [self.open(0.0, input_bytes=200_000) for _ in range(30)]
        for connection in moving:
            connection.moved_ms = 2_900.0
        standing = [self.open(0.0, input_bytes=100_000) for _ in range(80)]
        self.assertEqual(self.closed, [])
        last = self.open(3_000.0, input_bytes=LEGAL_BODY_BYTES)
        for _ in range(30):
            self.open(3_000.0, input_bytes=LEGAL_BODY_BYTES)
        self.assertTrue(self.closed)
        self.assertLessEqual(set(self.closed_connections()), set(standing))
        self.assertNotIn(last, self.closed_connections())
        self.assertEqual(set(self.refused), {RefusalReason.STALLED})

    def test_the_largest_is_closed_first_if_all_make_progress(self):
        small = [self.open(0.0, input_bytes=100_000) for _ in range(20)]
        large = [
            self.open(0.0, input_bytes=LEGAL_BODY_BYTES) for _ in range(90)
        ]
        self.assertTrue(self.closed)
        self.assertLessEqual(set(self.closed_connections()), set(large))
        self.assertFalse(set(small) & set(self.closed_connections()))

    def test_a_connection_whose_request_runs_is_never_closed(self):
        running = []
        for _ in range(100):
            connection, may_run = self.run_request(0.0, LEGAL_BODY_BYTES)
            if may_run:
                running.append(connection)
            else:
                self.budget.end_request(0.0, connection)
        for _ in range(100):
            self.open(5_000.0, input_bytes=LEGAL_BODY_BYTES)
        self.assertGreater(len(running), 10)
        self.assertFalse(set(running) & set(self.closed_connections()))

    def test_a_request_without_room_is_refused_before_it_runs(self):
        results = [
            self.run_request(0.0, LEGAL_BODY_BYTES)[1] for _ in range(100)
        ]
        self.assertIn(True, results)
        self.assertIn(False, results)
        self.assertIn(RefusalReason.NO_MEMORY, self.refused)

    def test_short_requests_run_beside_as_many_long_ones_as_fit(self):
        for _ in range(200):
            self.run_request(0.0, LEGAL_BODY_BYTES)
        self.assertTrue(all(self.run_request(1.0, 500)[1] for _ in range(100)))

    def test_short_requests_may_use_what_long_ones_leave(self):
        self.budget.limits = attrs.evolve(LIMITS, descriptors=20_000)
        half_bytes = machine_share.bytes_for(LIMITS, CALLERS) / 2
        count = int(half_bytes // 10_000) + 500
        running = [self.run_request(0.0, 500) for _ in range(count)]
        self.assertTrue(all(may_run for _, may_run in running))
        self.assertGreater(self.budget.held_bytes(CALLERS), half_bytes)
        for _ in range(80):
            self.open(0.0, input_bytes=LEGAL_BODY_BYTES)
        self.assertLessEqual(
            self.budget.held_bytes(CALLERS), 2 * half_bytes + LEGAL_BODY_BYTES
        )
        self.assertTrue(self.run_request(1.0, 500)[1])

    def test_one_long_request_is_served_on_a_machine_of_any_size(self):
        self.budget.limits = MachineLimits(memory_mb=1.0)
        for _ in range(3):
            self.open(0.0)
        _, may_run = self.run_request(0.0, LEGAL_BODY_BYTES, copies=131)
        self.assertTrue(may_run)

    def test_connections_of_other_vms_have_a_part_of_their_own(self):
        for _ in range(300):
            self.open(0.0, input_bytes=LEGAL_BODY_BYTES)
        self.closed.clear()
        self.open(0.0, INTERNAL, input_bytes=LEGAL_BODY_BYTES)
        _, may_run = self.run_request(0.0, LEGAL_BODY_BYTES, group=INTERNAL)
        self.assertTrue(may_run)
        self.assertEqual(self.closed, [])

    def test_all_vms_of_a_small_machine_may_read_a_large_view_at_once(self):
        for _ in range(12):
            connection, may_run = self.run_request(0.0, 500, group=INTERNAL)
            self.assertTrue(may_run)
            self.budget.end_request(0.0, connection)
            self.budget.set_data(0.0, connection, 0, 1024 * 1024)
        self.assertEqual(self.closed, [])

    def test_what_a_request_needed_is_free_after_its_response(self):
        for _ in range(1_000):
            connection, may_run = self.run_request(0.0, LEGAL_BODY_BYTES)
            self.assertTrue(may_run)
            self.budget.end_request(0.0, connection)
            self.budget.remove(connection)
        self.assertEqual(self.budget.held_bytes(CALLERS), 0)

    def test_idle_connections_are_closed_last(self):
        idle = self.open(0.0)
        self.budget.begin_request(idle, 100)
        self.budget.end_request(0.0, idle)
        for _ in range(1_000):
            self.open(10_000.0, input_bytes=90_000)
        self.assertTrue(self.closed)
        self.assertNotIn(idle, self.closed_connections())


class DescriptorTest(BudgetCase):
    def test_the_oldest_without_a_request_make_room_for_new_ones(self):
        limit = machine_share.connections_for(LIMITS, CALLERS)
        connections = [self.open(float(n)) for n in range(limit + 1)]
        closed = self.closed_connections()
        self.assertEqual(closed, connections[: len(closed)])
        self.assertNotIn(connections[-1], closed)
        self.assertLessEqual(self.budget.count(CALLERS), limit)

    def test_a_new_connection_is_closed_if_all_others_run_requests(self):
        limit = machine_share.connections_for(LIMITS, CALLERS)
        for _ in range(limit):
            self.run_request(0.0, 100)
        newest = self.open(1.0)
        self.assertEqual(self.closed_connections(), [newest])

    def test_descriptors_are_left_for_connections_that_this_vm_opens(self):
        limits = MachineLimits(memory_mb=300.0, descriptors=4_100)
        accepted = sum(
            machine_share.connections_for(limits, group)
            for group in ConnectionGroup
        )
        # 32 leafs of each of 36 shards, less than one connection each.
        self.assertGreaterEqual(4_100 - 200 - accepted, 1_152)


class RandomUseTest(BudgetCase):
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["open", "data", "run", "end", "lose"]),
                strategies.integers(0, 20),
                strategies.integers(0, 400_000),
            ),
            max_size=120,
        )
    )
    def test_the_limits_hold_whatever_happens(self, events):
        self.setUp()
        self.budget.limits = MachineLimits(memory_mb=70.0, descriptors=40)
        connections = []
        now_ms = 0.0
        for kind, index, size in events:
            now_ms += 100.0
            if kind == "open":
                connections.append(self.open(now_ms))
            open_now = [
                connection
                for connection in connections
                if connection in self.budget.pool_by_connection
            ]
            if not open_now or kind == "open":
                continue
            connection = open_now[index % len(open_now)]
            if kind == "data" and not connection.is_running:
                self.budget.set_data(now_ms, connection, size, size // 3)
            elif kind == "run" and not connection.is_running:
                self.budget.set_data(now_ms, connection, 0, 0)
                if connection not in self.budget.pool_by_connection:
                    continue
                self.budget.begin_request(connection, size)
                if not self.budget.reserve(now_ms, connection, size * 2, 6_000):
                    self.budget.end_request(now_ms, connection)
            elif kind == "end":
                self.budget.end_request(now_ms, connection)
            elif kind == "lose":
                self.budget.remove(connection)
            self._check()

    def _check(self):
        group_bytes = machine_share.bytes_for(self.budget.limits, CALLERS)
        for (group, is_long), pool in self.budget.pools.items():
            limit_bytes = group_bytes * (0.5 if is_long else 1.0)
            if group is INTERNAL:
                self.assertEqual(pool.held_bytes, 0)
            self.assertEqual(
                pool.held_bytes,
                sum(connection.held_bytes for connection in pool.connections),
            )
            if len(pool.connections) > 1:
                # A request is complete before it is known what it needs.
                running_bytes = max(
                    (
                        connection.held_bytes
                        for connection in pool.connections
                        if connection.is_running
                    ),
                    default=0,
                )
                self.assertLessEqual(
                    pool.held_bytes, limit_bytes + running_bytes
                )
        self.assertFalse(any(c.is_running for c in self.closed_connections()))
        self.assertLessEqual(
            self.budget.count(CALLERS),
            machine_share.connections_for(self.budget.limits, CALLERS),
        )
