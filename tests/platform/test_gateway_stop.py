"""Tests of the order of events in a planned stop, with a gateway on sockets."""

import contextlib
import time
import unittest
from unittest import mock

import attrs
from twisted.internet import defer
from twisted.internet import reactor

from oriolegate.forwarding.forwarded_call import ForwardedCall
from oriolegate.forwarding.forwarded_call import ForwardState
from oriolegate.models.header_lines import HeaderLines
from oriolegate.models.site import Bounds
from oriolegate.network import forward_wire
from oriolegate.platform import caller_protocol
from tests.before_timers import BeforeTimers
from tests.platform import stand_in_documents as documents
from tests.platform.test_gateway import configuration
from tests.platform.test_gateway import on_site
from tests.platform.test_gateway import sleep
from tests.socket_caller import Caller

GRACE_MS = 2_000.0
# Shorter than a pause that the process detects, longer than its intervals.
BLOCKED_S = 0.5
WORK_S = 0.15
DEADLINE_MS = 1_200


def request(route, attempt, method="GET"):
    return documents.caller_request(
        method, f"/{route}/x", attempt, DEADLINE_MS, b""
    )


class GatewayStopTest(unittest.TestCase):
    def prepare(self, site):
        """Let leafs work for a time; return when the process exits."""
        process = site.process
        process.settings = attrs.evolve(
            process.settings, bounds=Bounds(grace_ms=GRACE_MS)
        )
        for leaf in site.leafs.values():
            leaf.behave = lambda request: reactor.callLater(
                WORK_S, request.answer, b"done"
            )
        return site.exit_as_a_process()

    def runs(self, site):
        return {
            request.attempt_id.decode()
            for leaf in site.leafs.values()
            for request in leaf.requests
        }

    # A process that stopped with no connection open accepted those that waited
    # at its port and exited before their requests were answered.
    @on_site
    async def test_connections_accepted_at_the_end_are_answered(self, site):
        exited = self.prepare(site)
        address = site.process.settings.caller_address
        callers = []

        def connect_and_block():
            for route, method in (("one", "GET"), ("once", "POST")):
                data = request(route, f"late-{route}", method)
                callers.append(Caller(address, data))
            time.sleep(BLOCKED_S)

        site.process.plan_stop()
        await sleep(0.45 * GRACE_MS / 1_000.0 - BLOCKED_S / 2)
        await BeforeTimers(connect_and_block).finished
        statuses = await defer.gatherResults(
            [defer.ensureDeferred(caller.read_status()) for caller in callers]
        )
        await exited
        self.assertEqual(statuses, [200, 200])
        self.assertEqual(self.runs(site), {"late-one", "late-once"})

    # A process that is late at the end of its grace time takes nothing on.
    @on_site
    async def test_connections_accepted_after_the_end_are_refused_unrun(
        self, site
    ):
        exited = self.prepare(site)
        for leaf in site.leafs.values():
            leaf.behave = lambda request: None
        address = site.process.settings.caller_address
        callers = []

        def connect_and_block():
            callers.append(Caller(address, request("once", "late", "POST")))
            time.sleep(BLOCKED_S)

        site.process.plan_stop()
        await sleep(0.4 * GRACE_MS / 1_000.0)
        # Without an open request the process would exit earlier.
        pending = defer.ensureDeferred(
            site.get(b"/once/x", method=b"POST", attempt="open")
        )
        # Accepting ends at 0.7 of the grace time, and the process at 0.92.
        await sleep(0.285 * GRACE_MS / 1_000.0)
        await BeforeTimers(connect_and_block).finished
        (caller,) = callers
        self.assertEqual(await caller.read_status(), 503)
        self.assertEqual((await pending).status, 502)
        await exited
        self.assertEqual(self.runs(site), {"open"})

    # A request whose last bytes come after the exit was cut without an answer,
    # though its caller may send it again: it has not run.
    @on_site
    async def test_an_incomplete_request_is_refused_before_the_exit(self, site):
        exited = self.prepare(site)
        data = documents.caller_request(
            "POST", "/once/x", "late", DEADLINE_MS, b"seat 7"
        )
        caller = Caller(site.process.settings.caller_address, data[:-2])
        site.process.plan_stop()
        status = await caller.read_status()
        await exited
        self.assertEqual(status, 503)
        self.assertEqual(self.runs(site), set())

    # A request that was taken with much time left was cut when a shorter
    # grace time came into force meanwhile.
    @on_site
    async def test_changed_settings_do_not_move_the_exit(self, site):
        exited = self.prepare(site)
        for leaf in site.leafs.values():
            leaf.behave = lambda request: reactor.callLater(
                0.5, request.answer, b"done"
            )
        settings = site.process.settings
        site.process.plan_stop()
        pending = defer.ensureDeferred(site.get(b"/once/x", method=b"POST"))
        await sleep(0.1)
        shorter = attrs.evolve(settings.bounds, grace_ms=GRACE_MS / 10)
        site.process.reload(attrs.evolve(settings, bounds=shorter))
        self.assertEqual((await pending).status, 200)
        await exited

    # Otherwise the process serves until it is killed, with all open requests.
    @on_site
    async def test_an_unexpected_error_does_not_keep_the_process(self, site):
        exited = self.prepare(site)
        parts = site.process.parts
        for owner, name in (
            (parts.members, "leave"),
            (parts.connections, "close_idle"),
            (parts.runner, "answer_all"),
        ):
            broken = mock.patch.object(owner, name, side_effect=ValueError)
            self.addCleanup(broken.stop)
            broken.start()
        Caller(site.process.settings.caller_address)
        with contextlib.suppress(ValueError):
            site.process.plan_stop()
        await exited

    async def forward(self, site, route, attempt):
        """Forward a request to the gateway, as another VM does."""
        settings = site.process.settings
        address = (settings.host, settings.internal_ports[0])
        call = caller_protocol.decode_call(
            b"POST",
            b"/%s/x" % route.encode(),
            HeaderLines.of(
                (
                    (b"Host", b"h.example"),
                    (b"Attempt-Id", attempt.encode()),
                    (b"Deadline-Ms", b"%d" % DEADLINE_MS),
                )
            ),
            b"",
        )
        forwarded = ForwardedCall(
            call,
            elapsed_ms=0.0,
            min_version=0,
            used_attempts=0,
            is_counted=False,
            vm="vm-other",
        )
        peer = Caller(address, forward_wire.encode_call(*address, forwarded))
        _, body = await peer.read_response()
        return forward_wire.decode_reply(body)

    # A request of another VM that could not end before the exit was taken, and
    # was answered as possibly run, though the other VM could have run it.
    @on_site
    async def test_a_forwarded_request_without_enough_time_is_declined(
        self, site
    ):
        exited = self.prepare(site)
        slow = documents.route_spec(
            "slow",
            service="s1",
            type=documents.NON_IDEMPOTENT,
            target_latency_ms=2.0 * GRACE_MS,
        )
        site.store.put("config", "main", configuration(2, [slow]))
        table = site.process.parts.configuration
        await site.wait_until(lambda: table.table.configuration.version == 2)
        site.process.plan_stop()
        reply = await self.forward(site, "slow", "late")
        self.assertIs(reply.state, ForwardState.DECLINED)
        self.assertFalse(reply.may_have_run)
        reply = await self.forward(site, "once", "short")
        self.assertIs(reply.state, ForwardState.ANSWERED)
        await exited
        self.assertEqual(self.runs(site), {"short"})


if __name__ == "__main__":
    unittest.main()
