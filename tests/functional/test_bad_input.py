"""Tests that bad input on any port gets an error and does no harm."""

import json
import unittest

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task

from oriolegate.measurement.embedded_site import EmbeddedSite
from oriolegate.measurement.embedded_site import KEY
from oriolegate.result_codes import ResultCode
from oriolegate.standins.layout import measurement_layout
from tests.reactor_case import on_reactor

RULES = "route search to service-0  # asked-by: tests\n"
POLL_INTERVAL_S = 0.02


class RawClient(protocol.Protocol):
    """Sends bytes and collects the answer until the connection closes."""

    def __init__(self, data):
        self.data = data
        self.received = b""
        self.closed = defer.Deferred()

    def connectionMade(self):  # noqa: N802
        self.transport.write(self.data)

    def dataReceived(self, data):  # noqa: N802
        self.received += data
        if b"\r\n\r\n" in self.received and self._is_complete():
            self.transport.loseConnection()

    def _is_complete(self):
        head, _, body = self.received.partition(b"\r\n\r\n")
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"content-length:"):
                return len(body) >= int(line.split(b":")[1])
        return False

    def connectionLost(self, reason=None):  # noqa: N802
        self.closed.callback(self.received)


async def exchange(port, data):
    endpoint = endpoints.TCP4ClientEndpoint(reactor, "127.0.0.1", port)
    client = RawClient(data)
    await endpoints.connectProtocol(endpoint, client)
    return await client.closed


def post(path, body=b"{}", *headers):
    lines = [f"POST {path} HTTP/1.1", "Host: x", *headers]
    if not any(line.lower().startswith("content-length") for line in headers):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def code_of(answer):
    return json.loads(answer.partition(b"\r\n\r\n")[2])["code"]


class BadInputTest(unittest.TestCase):
    """Each test ends by checking that a valid request is still served."""

    async def start_site(self):
        site = EmbeddedSite(reactor, measurement_layout(3), RULES, 1)
        site.process.start()
        while not site.process.tier.flow.state.ready:
            await task.deferLater(reactor, POLL_INTERVAL_S)
        self.ports = site.caller_port, site.admin_port
        return site

    async def check_codes(self, requests):
        site = await self.start_site()
        try:
            for data, code in requests:
                answer = await exchange(site.caller_port, data)
                self.assertEqual(code_of(answer), int(code), data[:80])
            await self.check_still_serves(site)
        finally:
            site.stop()

    async def check_still_serves(self, site):
        answer = await exchange(site.caller_port, post("/v1/query/search"))
        self.assertEqual(code_of(answer), int(ResultCode.OK))

    @on_reactor
    async def test_invalid_requests_are_answered_with_a_result_code(self):
        query = "/v1/query/search"
        await self.check_codes(
            [
                (post("/v1/nothing/search"), ResultCode.NOT_FOUND),
                (post("/v1/query"), ResultCode.NOT_FOUND),
                (post("/v1/query/unknown"), ResultCode.UNKNOWN_ROUTE),
                (post("/v1/query/%00"), ResultCode.BAD_REQUEST),
                (
                    post(query, b"", "X-Deadline-Ms: soon"),
                    ResultCode.DEADLINE_INVALID,
                ),
                (
                    post(query, b"", "X-Deadline-Ms: nan"),
                    ResultCode.DEADLINE_INVALID,
                ),
                (
                    post(query, b"", "X-Deadline-Ms: 1e99"),
                    ResultCode.DEADLINE_INVALID,
                ),
                (
                    post(query, b"", "X-Deadline-Ms: -5"),
                    ResultCode.DEADLINE_PASSED,
                ),
                (
                    post(query, b"", "X-Priority: first"),
                    ResultCode.BAD_REQUEST,
                ),
                (
                    post(query, b"", "X-Caller: a b\tc"),
                    ResultCode.BAD_REQUEST,
                ),
                (
                    post("/v1/submit/search"),
                    ResultCode.IDEMPOTENCY_KEY_MISSING,
                ),
                (
                    post("/v1/submit/search", b"", "Idempotency-Key: x"),
                    ResultCode.IDEMPOTENCY_KEY_INVALID,
                ),
            ]
        )

    @on_reactor
    async def test_bodies_over_the_limit_are_refused(self):
        query = "/v1/query/search"
        large = b"x" * 1_100_000
        chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(large), large)
        await self.check_codes(
            [
                (post(query, large), ResultCode.BODY_TOO_LARGE),
                (
                    post(query, chunk, "Transfer-Encoding: chunked").replace(
                        b"Content-Length: %d\r\n" % len(chunk), b""
                    ),
                    ResultCode.BODY_TOO_LARGE,
                ),
            ]
        )

    @on_reactor
    async def test_a_process_still_serves_after_garbage_on_each_port(self):
        site = await self.start_site()
        peer_port = site.process.settings.peer_port
        garbage = bytes(range(256)) * 64 + b"\r\n\r\n"
        try:
            for port in (site.caller_port, site.admin_port, peer_port):
                await exchange(port, garbage)
            await self.check_still_serves(site)
        finally:
            site.stop()

    @on_reactor
    async def test_the_admin_port_requires_the_key(self):
        site = await self.start_site()
        request = "GET /status HTTP/1.1\r\nHost: x\r\n{}\r\n"
        wrong = request.format("Authorization: Bearer wrong\r\n").encode()
        right = request.format(f"Authorization: Bearer {KEY}\r\n").encode()
        try:
            answer = await exchange(site.admin_port, wrong)
            self.assertEqual(code_of(answer), int(ResultCode.UNAUTHORIZED))
            answer = await exchange(site.admin_port, right)
            self.assertIn(b" 200 ", answer.split(b"\r\n")[0])
            answer = await exchange(
                site.admin_port, request.format("").encode()
            )
            self.assertEqual(code_of(answer), int(ResultCode.UNAUTHORIZED))
        finally:
            site.stop()
