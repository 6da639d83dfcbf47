"""Tests of leafs that send bytes without end, with whole gateways."""

import unittest

from tests.platform import stand_in_documents as documents
from tests.virtual_fleet import CallerLoad
from tests.virtual_fleet import FAST_BYTES_PER_S
from tests.virtual_fleet import VirtualFleet

HEAD = b"HTTP/1.1 200 OK\r\nServer-Seal: x\r\n"
ENDLESS_HEAD = (HEAD, b"A: b\r\n" * 10_000)
ENDLESS_BODY = (HEAD + b"\r\n", bytes(65_536))
LEAF_COUNT = 64


class EndlessLeaf:
    """Sends one piece after the other until its connection is closed."""

    def __init__(self, fleet, leaf, start, piece):
        self.reactor = fleet.network.reactor
        self.start = start
        self.piece = piece
        self.request_count = 0
        self.open_answers = 0
        leaf.behave = self.on_request

    def on_request(self, request):
        self.request_count += 1
        self.open_answers += 1
        transport = request.connection.transport
        transport.write(self.start)
        self.go_on(transport)

    def go_on(self, transport):
        if not transport.connected:
            self.open_answers -= 1
            return
        if not transport.queued_bytes:
            transport.write(self.piece)
        self.reactor.callLater(0.004, self.go_on, transport)


class EndlessAnswersTest(unittest.TestCase):
    def start(self, services):
        routes = [documents.route_spec(name, service=name) for name in services]
        self.fleet = VirtualFleet(
            documents.configuration_spec(1, routes, services)
        )

    def add_endless(self, leaf_id, service, kind):
        return EndlessLeaf(
            self.fleet, self.fleet.add_leaf(leaf_id, service), *kind
        )

    @property
    def buffer(self):
        return self.fleet.gateways["vm0"].parts.leaf_client.limits.buffer

    def test_callers_get_whole_answers_from_another_leaf(self):
        for kind in (ENDLESS_HEAD, ENDLESS_BODY):
            with self.subTest(start=kind[0]):
                self.start(["s1"])
                endless = self.add_endless("l0", "s1", kind)
                self.fleet.add_leaf("l1", "s1")
                self.fleet.start(1, FAST_BYTES_PER_S)
                load = CallerLoad(self.fleet, "/s1/x")
                load.run(40.0, 2.0)
                self.fleet.network.run_for(5.0)
                self.assertGreater(endless.request_count, 0)
                self.assertEqual(endless.open_answers, 0)
                self.assertEqual(load.served_fraction(0.0), 1.0)
                self.assertLess(max(o.took_s for o in load.outcomes), 0.3)

    def test_many_at_once_share_one_buffer(self):
        services = [f"s{number}" for number in range(LEAF_COUNT)]
        self.start(services)
        endless = [
            self.add_endless(f"l-{name}", name, ENDLESS_BODY)
            for name in services
        ]
        self.fleet.start(1, FAST_BYTES_PER_S)
        statuses = []
        for name in services:
            self.fleet.call(
                "vm0", f"/{name}/x", name, lambda r: statuses.append(r.status)
            )
        peak_bytes = 0
        for _ in range(500):
            self.fleet.network.run_for(0.004)
            peak_bytes = max(peak_bytes, self.buffer.total_bytes)
        self.assertGreater(peak_bytes, self.buffer.limit_bytes / 2)
        self.assertLessEqual(peak_bytes, self.buffer.limit_bytes)
        self.assertEqual(self.buffer.total_bytes, 0)
        self.assertEqual(sum(leaf.open_answers for leaf in endless), 0)
        self.assertEqual(len(statuses), LEAF_COUNT)
        self.assertNotIn(200, statuses)
