"""Tests of leafs that ask a VM for quiet, with whole gateways."""

import unittest

from tests.platform import stand_in_documents as documents
from tests.virtual_fleet import CallerLoad
from tests.virtual_fleet import FAST_BYTES_PER_S
from tests.virtual_fleet import VirtualFleet

QUIET_S = 2.5
# Requests that were on their way may still arrive for this long.
IN_FLIGHT_S = 0.5
STATUS_UNAVAILABLE = 503


class QuietLeaf:
    """Turns requests away with a time for which it wants none.

    Attributes:
        asks_for_quiet: Whether it turns requests away now.
        work_s: Time that a request takes.
        quiet_since_s: When each VM got such answers.
        late: VM and time of each request in a quiet time.
    """

    def __init__(self, fleet, leaf):
        self.reactor = fleet.network.reactor
        self.asks_for_quiet = False
        self.work_s = 0.01
        self.quiet_since_s = {}
        self.arrivals = []
        self.late = []
        leaf.behave = self.on_request

    def on_request(self, request):
        vm = request.connection.transport.other.host.name
        now_s = self.reactor.seconds()
        self.arrivals.append(now_s)
        answered_s = self.quiet_since_s.setdefault(vm, [])
        if any(IN_FLIGHT_S < now_s - at_s < QUIET_S for at_s in answered_s):
            self.late.append((vm, now_s))
        if not self.asks_for_quiet:
            self.reactor.callLater(self.work_s, request.answer, bytes(16))
            return
        answered_s.append(now_s)
        request.answer(b"", 503, Not_Executed="1", Retry_After=f"{QUIET_S:.1f}")


class AbandonedSendsTest(unittest.TestCase):
    """Leafs whose answer is on its way when the request is given up."""

    def play(self, answer_s):
        """Let both leafs reject, the second one a little later."""
        shards = ("s1", "s2")
        fleet = VirtualFleet(
            documents.configuration_spec(
                1,
                [
                    documents.route_spec(
                        "all", **documents.gather_fields(shards, 5, 1.0)
                    ),
                    documents.route_spec("one", service="s2"),
                ],
                shards,
            )
        )
        answer_late = fleet.network.reactor.callLater
        # The shard without an answer ends the request first.
        fleet.add_leaf("l1", "s1").behave = lambda request: answer_late(
            answer_s,
            lambda: request.answer(
                b"", 503, Server_Seal=None, Not_Executed="1"
            ),
        )
        leaf = QuietLeaf(fleet, fleet.add_leaf("l2", "s2"))

        def on_request(request):
            answer_late(answer_s + 0.0005, leaf.on_request, request)

        fleet.leafs["l2"].behave = on_request
        fleet.start(1, FAST_BYTES_PER_S)
        for path in ("/all/x", "/one/x"):
            CallerLoad(fleet, path).run(20.0, 1.0)
        leaf.asks_for_quiet = True
        responses = []
        fleet.call("vm0", "/all/x", "last", responses.append)
        fleet.network.run_for(IN_FLIGHT_S + 0.1)
        self.assertNotEqual([r.status for r in responses], [200])
        self.assertTrue(leaf.quiet_since_s)
        leaf.asks_for_quiet = False
        CallerLoad(fleet, "/one/x").run(20.0, 1.5)
        self.assertEqual(leaf.late, [])

    def test_a_rejection_of_an_abandoned_send_still_brings_quiet(self):
        self.play(0.0)

    def test_a_slow_rejection_of_an_abandoned_send_still_brings_quiet(self):
        self.play(0.06)


class QuietLeafsTest(unittest.TestCase):
    def start(self, leaf_count):
        routes = [documents.route_spec("one", service="s1")]
        self.fleet = VirtualFleet(
            documents.configuration_spec(1, routes, ["s1"])
        )
        self.leafs = [
            QuietLeaf(self.fleet, self.fleet.add_leaf(f"l{number}", "s1"))
            for number in range(leaf_count)
        ]
        self.fleet.start(3, FAST_BYTES_PER_S)
        self.load = CallerLoad(self.fleet, "/one/x")
        self.load.run(40.0, 2.0)

    def test_a_leaf_gets_no_request_in_its_quiet_time(self):
        self.start(2)
        self.leafs[0].asks_for_quiet = True
        # Slow enough that the other leaf is preferred in spite of failures.
        self.leafs[1].work_s = 0.6
        start_s = self.load.now_s
        self.load.run(40.0, 8.0)
        self.assertTrue(all(self.leafs[0].quiet_since_s.values()))
        self.assertEqual(self.leafs[0].late, [])
        self.assertGreater(self.load.served_fraction(start_s), 0.95)

    def test_if_all_leafs_ask_for_quiet_requests_are_rejected_at_once(self):
        self.start(2)
        for leaf in self.leafs:
            leaf.asks_for_quiet = True
        self.load.run(40.0, 2.0)
        for leaf in self.leafs:
            self.assertEqual(leaf.late, [])
        outcomes = self.load.since(self.load.now_s - 2.0)
        self.assertGreater(len(outcomes), 20)
        for outcome in outcomes:
            self.assertEqual(outcome.status, STATUS_UNAVAILABLE)
            self.assertLess(outcome.took_s, 0.05)
            # Callers follow it up to a third of the time that they have.
            retry_after_s = float(outcome.response.header(b"retry-after"))
            self.assertGreater(retry_after_s, 0.4)

    def test_requests_return_one_by_one_when_the_quiet_time_is_over(self):
        self.start(1)
        (leaf,) = self.leafs
        leaf.asks_for_quiet = True
        self.load.run(40.0, 2.0)
        leaf.asks_for_quiet = False
        leaf.arrivals.clear()
        self.load.run(40.0, 4.0)
        first_s = leaf.arrivals[0]
        within = [at_s for at_s in leaf.arrivals if at_s < first_s + 0.01]
        self.assertLessEqual(len(within), 3)
        from_s = self.load.now_s
        self.load.run(40.0, 2.0)
        self.assertEqual(self.load.served_fraction(from_s), 1.0)
