"""Tests that a request is cleaned up when its caller disconnects."""

import unittest

from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task

from oriolegate.measurement.embedded_site import EmbeddedSite
from oriolegate.standins.layout import measurement_layout
from tests.functional.test_bad_input import post
from tests.functional.test_bad_input import RULES
from tests.reactor_case import on_reactor

POLL_INTERVAL_S = 0.02
MAX_POLLS = 500


class CancelTest(unittest.TestCase):
    async def wait_until(self, condition):
        for _ in range(MAX_POLLS):
            if condition():
                return
            await task.deferLater(reactor, POLL_INTERVAL_S)
        self.fail("timeout: the condition is not true")

    @on_reactor
    async def test_a_query_ends_when_its_caller_disconnects(self):
        site = EmbeddedSite(reactor, measurement_layout(3), RULES, 1)
        site.process.start()
        flow = site.process.tier.flow
        order = {"action": "fault", "slow_factor": 1_000.0}
        site.control.act_on_leafs(site.now_ms(), order)
        try:
            await self.wait_until(lambda: flow.state.ready)
            endpoint = endpoints.TCP4ClientEndpoint(
                reactor, "127.0.0.1", site.caller_port
            )
            client = protocol.Protocol()
            await endpoints.connectProtocol(endpoint, client)
            client.transport.write(
                post("/v1/query/search", b"{}", "X-Deadline-Ms: 10000")
            )
            await self.wait_until(lambda: flow.active)
            client.transport.abortConnection()
            await self.wait_until(lambda: not flow.active)
            self.assertEqual(flow.runner.receivers, {})
        finally:
            site.stop()
