"""Nothing that clients and leafs name is kept for the life of a process."""

import gc
import tracemalloc
import unittest
from unittest import mock

from twisted import logger as twisted_logger

from tests.platform import stand_in_documents as documents
from tests.virtual_fleet import FAST_BYTES_PER_S
from tests.virtual_fleet import VirtualFleet

NAME_BYTES = 15_000
REQUESTS = 100
TIMEOUT_MS = 1_000
# Most bytes that may stay, as a fraction of those that were sent once.
KEPT_FRACTION = 0.2
ROUTES = (
    documents.route_spec("one", service="s0"),
    documents.route_spec("once", service="s0", type=documents.NON_IDEMPOTENT),
)


def ignore_event(*args, **fields):
    """Log nothing; before logging starts, Twisted keeps all events."""


def name(kind, number):
    """Return a name that no other request has."""
    return f"{kind}{number}-".ljust(NAME_BYTES, "x")


def request(
    *, path="/one/x", host="h.example", attempt="a", header="x", cookie="c"
):
    lines = [
        f"GET {path} HTTP/1.1",
        f"Host: {host}",
        f"Attempt-Id: {attempt}",
        f"Deadline-Ms: {TIMEOUT_MS}",
        f"{header}: 1",
        f"Cookie: {cookie}=1",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


# Requests whose names never repeat. The last are answered by leafs that name
# their headers anew each time.
KINDS = {
    "header": lambda n: request(header=name("h", n)),
    "cookie": lambda n: request(cookie=name("c", n)),
    "path": lambda n: request(path="/one/" + name("p", n)),
    "path without a route": lambda n: request(path="/" + name("q", n)),
    "host": lambda n: request(host=name("o", n)),
    "attempt": lambda n: request(attempt=name("a", n)),
    "header of a leaf": lambda n: request(attempt=f"leaf-{n}"),
    "failing request": lambda n: request(
        path="/once/" + name("f", n), attempt=f"fail-{n}"
    ),
}


class LastingMemoryTest(unittest.TestCase):
    def setUp(self):
        muted = mock.patch.object(twisted_logger.Logger, "emit", ignore_event)
        muted.start()
        self.addCleanup(muted.stop)
        self.fleet = VirtualFleet(
            documents.configuration_spec(1, ROUTES, ["s0"])
        )
        self.leafs = [self.fleet.add_leaf(f"leaf-{n}", "s0") for n in range(3)]
        for leaf in self.leafs:
            leaf.behave = self.answer
        self.fleet.start(1, FAST_BYTES_PER_S)
        self.statuses = []

    def answer(self, leaf_request):
        attempt = leaf_request.attempt_id.decode()
        if attempt.startswith("fail"):
            leaf_request.answer(b"", 500)
        elif attempt.startswith("leaf"):
            headers = {name(attempt, 0): "1"}
            leaf_request.answer(bytes(16), **headers)
        else:
            leaf_request.answer(bytes(16))

    def send_all(self, kind, numbers):
        for number in numbers:
            self.fleet.client("vm0").send(
                KINDS[kind](number), TIMEOUT_MS, self.on_response
            )
            self.fleet.network.run_for(0.02)
        # Cancelled timers of the virtual network stay until their time.
        self.fleet.network.run_for(100.0)
        for leaf in self.leafs:
            leaf.requests.clear()
        self.fleet.store.calls.clear()
        gc.collect()

    def on_response(self, response):
        self.statuses.append(getattr(response, "status", response))

    # Header names of 16 kB that never repeated filled the memory for good.
    def test_names_that_never_repeat_do_not_stay(self):
        for kind in KINDS:
            # Whatever is kept once for all is kept before.
            self.send_all(kind, range(20))
        for kind in KINDS:
            with self.subTest(kind=kind):
                self.statuses.clear()
                tracemalloc.start()
                try:
                    self.send_all(kind, range(20, 20 + REQUESTS))
                    kept_bytes, _ = tracemalloc.get_traced_memory()
                finally:
                    tracemalloc.stop()
                self.assertEqual(len(self.statuses), REQUESTS)
                sent_bytes = NAME_BYTES * REQUESTS
                self.assertLess(kept_bytes, KEPT_FRACTION * sent_bytes)


if __name__ == "__main__":
    unittest.main()
