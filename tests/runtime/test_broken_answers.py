"""Tests of leafs that close in the middle of an answer, with whole gateways."""

import unittest

from oriolegate.network.http_connection import HttpCall
from tests.platform import stand_in_documents as documents
from tests.virtual_fleet import CALLER_TIMEOUT_MS
from tests.virtual_fleet import FAST_BYTES_PER_S
from tests.virtual_fleet import VirtualFleet

BODY = b"0123456789abcdef"
ROUTES = (
    documents.route_spec("one", service="s0"),
    documents.route_spec("once", service="s0", type=documents.NON_IDEMPOTENT),
    documents.route_spec("all", **documents.gather_fields(("s0",), 10, 0.9)),
)
# Bytes before the head, the header that frames the body, and the framed body.
FRAMINGS = {
    "length": (b"", b"Content-Length: 16", BODY),
    "chunked": (
        b"",
        b"Transfer-Encoding: chunked",
        b"10\r\n" + BODY + b"\r\n0\r\n\r\n",
    ),
    "after an interim answer": (
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"Content-Length: 16",
        BODY,
    ),
}
# Bytes at the end that a leaf leaves out: of the body, its framing, the end of
# the head, and the headers.
MISSING_BYTES = (1, 2, 5, 16, 17, 18, 28, 40, 90)


def build_answer(request, framing):
    """Return the bytes of a whole answer."""
    before, framing_header, body = FRAMINGS[framing]
    lines = [
        b"HTTP/1.1 200 OK",
        b"Attempt-Id: " + request.attempt_id,
        b"Server-Seal: seal." + request.connection.leaf.leaf_id.encode(),
        framing_header,
    ]
    return before + b"\r\n".join([*lines, b"", b""]) + body


class BrokenAnswerTest(unittest.TestCase):
    def setUp(self):
        self.fleet = VirtualFleet(
            documents.configuration_spec(1, ROUTES, ["s0"])
        )
        for number in range(2):
            leaf = self.fleet.add_leaf(f"leaf-{number}", "s0")
            leaf.behave = self.answer
        self.fleet.start(1, FAST_BYTES_PER_S)
        self.attempt_count = 0

    def answer(self, request):
        """Send an answer, or its beginning, and close the connection."""
        whole = build_answer(request, self.framing)
        transport = request.connection.transport
        transport.write(whole[: len(whole) - self.missing_bytes])
        transport.loseConnection()

    def call(self, route, framing, missing_bytes):
        self.framing = framing
        self.missing_bytes = missing_bytes
        return self.send("POST" if route == "once" else "GET", route)

    def send(self, method, route):
        self.attempt_count += 1
        results = []
        data = documents.caller_request(
            method, f"/{route}/x", f"a{self.attempt_count}", CALLER_TIMEOUT_MS
        )
        self.fleet.client("vm0").pool.send(
            HttpCall(
                data,
                results.append,
                lambda response: True,
                is_head=method == "HEAD",
            )
        )
        self.fleet.network.run_for(CALLER_TIMEOUT_MS / 1_000 + 1.0)
        return results[0].response

    def send_status(self, request):
        """Send a whole answer with the status of the test."""
        whole = build_answer(request, "length")
        request.connection.transport.write(whole.replace(b"200", self.status))

    def test_no_status_that_http_does_not_have_is_passed_on(self):
        for leaf in self.fleet.leafs.values():
            leaf.behave = self.send_status
        for self.status in (b"000", b"099", b"600", b"999"):
            for method, route in (
                ("GET", "one"),
                ("HEAD", "one"),
                ("POST", "once"),
                ("GET", "all"),
            ):
                with self.subTest(status=self.status, route=route):
                    response = self.send(method, route)
                    self.assertEqual(response.status, 502)
                    self.assertIsNone(response.header(b"server-seal"))
                self.fleet.network.run_for(10.0)

    def test_no_answer_that_a_leaf_broke_off_is_passed_on_as_whole(self):
        for framing in FRAMINGS:
            for route in ("one", "once", "all"):
                with self.subTest(framing=framing, route=route):
                    whole = self.call(route, framing, 0)
                    self.assertEqual((whole.status, whole.body), (200, BODY))
                    for missing_bytes in MISSING_BYTES:
                        self.check_broken(route, framing, missing_bytes)

    def check_broken(self, route, framing, missing_bytes):
        with self.subTest(missing_bytes=missing_bytes):
            response = self.call(route, framing, missing_bytes)
            # Leafs may have run the request.
            self.assertEqual(response.status, 502)
            self.assertIsNone(response.header(b"server-seal"))
            self.assertIsNone(response.header(b"part-seals"))
        # Leafs that failed are checked and used again.
        self.fleet.network.run_for(10.0)
