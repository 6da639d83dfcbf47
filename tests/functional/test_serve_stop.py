"""Tests of the order of events in a planned stop of `serve`, on sockets."""

import functools
import time
import unittest

import attrs
from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task

from oriolegate.measurement.embedded_site import EmbeddedSite
from oriolegate.measurement.embedded_site import HOST
from oriolegate.runtime.stop_sequence import StopPhase
from oriolegate.standins.layout import measurement_layout
from tests.before_timers import BeforeTimers
from tests.functional.test_bad_input import post
from tests.functional.test_bad_input import RULES
from tests.reactor_case import on_reactor
from tests.socket_caller import Caller

NOTICE_MS = 1_000
LIMIT_MS = 8_000
# Shorter than a pause that the process detects.
BLOCKED_S = 0.4
QUERY = post("/v1/query/search", b"{}", "X-Deadline-Ms: 4000")
POLL_INTERVAL_S = 0.01


def sleep(seconds):
    return task.deferLater(reactor, seconds)


class StoppingSite(EmbeddedSite):
    """A site whose process stops within seconds."""

    def _settings(self, data_centre):
        return attrs.evolve(
            super()._settings(data_centre),
            balancer_notice_ms=NOTICE_MS,
            stop_limit_ms=LIMIT_MS,
        )

    @property
    def caller_address(self):
        return (HOST, self.caller_port)

    @property
    def phase(self):
        return self.process.stop_runner.sequence.phase


def on_site(test):
    """Run a test with a site that serves, and close it afterwards."""

    @functools.wraps(test)
    async def run(case):
        site = StoppingSite(reactor, measurement_layout(3), RULES, 1)
        site.process.start()
        exited = defer.Deferred()
        site.process.on_exit = lambda: exited.callback(None)
        try:
            await case.wait_until(lambda: site.process.tier.flow.state.ready)
            statuses = []
            while 200 not in statuses:
                caller = Caller(site.caller_address, QUERY)
                statuses.append(await caller.read_status())
            await test(case, site, exited)
        finally:
            site.stop()

    return on_reactor(run)


class ServeStopTest(unittest.TestCase):
    async def wait_until(self, condition, seconds=10.0):
        for _ in range(int(seconds / POLL_INTERVAL_S)):
            if condition():
                return
            await sleep(POLL_INTERVAL_S)
        self.fail("timeout: the condition is not true")

    # A process handed its shares over while connections that it had accepted
    # were still to be read.
    @on_site
    async def test_connections_accepted_at_the_end_are_answered(
        self, site, exited
    ):
        callers = []

        def connect_and_block():
            callers.extend(Caller(site.caller_address, QUERY) for _ in range(3))
            time.sleep(BLOCKED_S)

        site.process.plan_stop()
        await sleep(NOTICE_MS / 1_000.0 - BLOCKED_S / 2)
        await BeforeTimers(connect_and_block).finished
        statuses = [await caller.read_status() for caller in callers]
        await exited
        self.assertEqual(statuses, [200] * 3)
        self.assertEqual(site.process.exit_status, 0)

    # A request that came on a kept connection while the process closed was
    # taken, though its connections to leafs were being closed.
    @on_site
    async def test_a_request_that_comes_while_closing_is_not_taken(
        self, site, exited
    ):
        kept = Caller(site.caller_address, QUERY[:20])
        site.process.plan_stop()
        await self.wait_until(lambda: site.phase is StopPhase.CLOSING)
        kept.send(QUERY[20:])
        status, body = await kept.read_response()
        self.assertEqual((status, b"STOPPING" in body), (503, True), body)
        await exited
        self.assertEqual(site.process.exit_status, 0)

    @on_site
    async def test_idle_connections_are_closed_before_the_exit(
        self, site, exited
    ):
        kept = Caller(site.caller_address)
        site.process.plan_stop()
        await exited
        self.assertEqual(site.process.exit_status, 0)
        self.assertIsNone(await kept.read_status())


if __name__ == "__main__":
    unittest.main()
