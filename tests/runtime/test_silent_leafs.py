"""Tests that work is neither repeated nor given up because of silence."""

import unittest

from tests.platform import stand_in_documents as documents
from tests.virtual_fleet import FAST_BYTES_PER_S
from tests.virtual_fleet import STORE_ADDRESS
from tests.virtual_fleet import VirtualFleet

DEADLINE_MS = 8_000
WORK_S = 5.0
NOT_RUN_STATUSES = (408, 421, 429, 503)


class SilenceTest(unittest.TestCase):
    def setUp(self):
        routes = [
            documents.route_spec(
                "once", type="non_idempotent", service="s1", timeout_ms=8_000
            ),
            documents.route_spec(
                "again", service="s1", timeout_ms=8_000, attempts=2
            ),
        ]
        spec = documents.configuration_spec(1, routes, ["s1"])
        self.fleet = VirtualFleet(spec)
        for number in range(3):
            leaf = self.fleet.add_leaf(f"leaf-{number}", "s1")
            leaf.behave = self.work
        self.fleet.start(1, FAST_BYTES_PER_S)

    def work(self, request):
        self.fleet.network.reactor.callLater(WORK_S, request.answer, bytes(16))

    def send(self, method, path):
        responses = []
        data = documents.caller_request(method, path, "a1", DEADLINE_MS)
        client = self.fleet.client("vm0")
        client.send(data, DEADLINE_MS + 500.0, responses.append)
        self.fleet.network.run_for(0.5)
        return responses

    def runs(self):
        return [
            leaf_id
            for leaf_id, leaf in self.fleet.leafs.items()
            for _ in leaf.requests
        ]

    def test_a_leaf_whose_entry_lapses_finishes_what_it_runs(self):
        responses = self.send("POST", "/once/x")
        (leaf_id,) = self.runs()
        self.fleet.store.delete("servers", leaf_id)
        self.fleet.network.run_for(WORK_S)
        self.assertEqual([r.status for r in responses], [200])
        self.assertEqual(self.runs(), [leaf_id])

    def test_a_vm_that_the_store_does_not_reach_finishes_what_it_serves(self):
        responses = self.send("POST", "/once/x")
        self.fleet.network.cut(STORE_ADDRESS[0], "vm0")
        self.fleet.network.cut("vm0", STORE_ADDRESS[0])
        self.fleet.network.run_for(WORK_S)
        self.assertEqual([r.status for r in responses], [200])
        self.assertEqual(len(self.runs()), 1)

    def lose_answer(self, request):
        request.connection.transport.abortConnection()

    def test_a_lost_answer_is_not_called_unrun_nor_run_again(self):
        for leaf in self.fleet.leafs.values():
            leaf.behave = self.lose_answer
        (response,) = self.send("POST", "/once/x")
        self.assertEqual(response.status, 502)
        self.assertNotIn(response.status, NOT_RUN_STATUSES)
        self.fleet.network.run_for(WORK_S)
        self.assertEqual(len(self.runs()), 1)

    def test_a_repeatable_request_with_lost_answers_runs_twice_at_most(self):
        for leaf in self.fleet.leafs.values():
            leaf.behave = self.lose_answer
        (response,) = self.send("GET", "/again/x")
        self.assertEqual(response.status, 502)
        self.assertEqual(len(self.runs()), 2)
