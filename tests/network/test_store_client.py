"""Tests of the eras that answers of the store state."""

import unittest

from oriolegate.clock import FakeClock
from oriolegate.following.store_era import StoreEra
from oriolegate.models.header_lines import HeaderLines
from oriolegate.network.http_reader import HttpResponse
from oriolegate.network.store_client import StoreClient
from oriolegate.platform.store_calls import StoreCall
from tests import virtual_network
from tests.repeating_server import RepeatingServer


class FakeHttpClient:
    """Keeps the calls, which the test answers."""

    def __init__(self, address):
        self.pool = self
        self.address = address
        self.open_calls = []

    def send(self, data, timeout_ms, done):
        self.open_calls.append(done)
        return lambda: None

    def answer(self, era, status=200):
        headers = [] if era is None else [(b"store-era", era)]
        self.open_calls.pop(0)(
            HttpResponse(status, HeaderLines.of(headers), b"")
        )


class StoreClientTest(unittest.TestCase):
    def setUp(self):
        self.era = StoreEra()
        self.client = StoreClient(None, FakeClock(), ("h", 1), self.era)
        self.http = FakeHttpClient(("h", 1))
        self.client.clients["/objects/config"] = self.http
        self.eras = []
        self.client.on_new_era = lambda: self.eras.append(self.era.number)
        self.outcomes = []

    def call(self, era, status=200):
        cancel = self.client.call(
            StoreCall("GET", "/objects/config"), 1.0, self.outcomes.append
        )
        self.http.answer(era, status)
        return cancel

    def test_a_new_era_is_seen_in_any_answer(self):
        for era, status in ((b"1", 200), (b"2", 410), (b"3", 503)):
            self.call(era, status)
        self.assertEqual(self.eras, [1, 2, 3])
        self.assertEqual([o.status for o in self.outcomes], [200, 410, 503])

    def test_an_answer_of_an_earlier_era_is_a_failure(self):
        self.call(b"2")
        self.call(b"1")
        self.assertEqual(self.eras, [2])
        self.assertIsInstance(self.outcomes[-1], str)

    def test_a_missing_or_invalid_era_keeps_the_known_one(self):
        self.call(b"2")
        for era in (None, b"", b"x", b"-1", b"1.5", b"9" * 30):
            self.call(era)
        self.assertEqual(self.era.number, 2)
        self.assertEqual(self.eras, [2])
        self.assertEqual(len(self.outcomes), 7)
        self.assertTrue(all(o.status == 200 for o in self.outcomes))

    def test_a_call_that_the_new_era_cancels_is_not_completed(self):
        cancel = self.client.call(
            StoreCall("GET", "/objects/config"), 1.0, self.outcomes.append
        )
        self.client.on_new_era = cancel
        self.http.answer(b"1")
        self.assertEqual(self.outcomes, [])


class LateCopyTest(unittest.TestCase):
    """The store repeats each answer late, on a connection in use again."""

    def setUp(self):
        network = virtual_network.VirtualNetwork(0.001)
        self.network = network
        self.server = RepeatingServer(network, "store")
        host = network.add_host("vm", 1e6)
        self.client = StoreClient(
            host, network.clock, self.server.address, StoreEra()
        )

    def call(self, method, target):
        outcomes = []
        self.client.call(StoreCall(method, target), 900.0, outcomes.append)
        self.network.run_for(1.0)
        return outcomes[0].body

    def test_an_answer_is_never_taken_for_that_of_another_collection(self):
        for _ in range(3):
            for kind in (b"config", b"servers", b"evacuations"):
                body = self.call("GET", f"/objects/{kind.decode()}?watch=1")
                self.assertIn(kind, body)

    def test_an_answer_is_never_taken_for_that_of_another_write(self):
        for name in ("a", "b", "c"):
            body = self.call("DELETE", f"/objects/members/{name}")
            self.assertTrue(body.endswith(name.encode()), body)
