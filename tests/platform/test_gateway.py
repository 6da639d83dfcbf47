"""Tests of a complete gateway with fake leafs and a fake store, on sockets."""

import functools
import random
import unittest

import attrs
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task

from oriolegate.clock import SystemClock
from oriolegate.crashes import crash_ledger
from oriolegate.crashes import trial_schedule
from oriolegate.exchange import planned_stop
from oriolegate.following import follower
from oriolegate.models.site import Bounds
from oriolegate.models.site import CrashReport
from oriolegate.models.site import NodeSettings
from oriolegate.models.stored import Collection
from oriolegate.network import graceful_close
from oriolegate.network import server_connections
from oriolegate.network.http_connection import Answered
from oriolegate.network.http_connection import Broken
from oriolegate.network.http_connection import HttpCall
from oriolegate.network.http_connection import NotSent
from oriolegate.network.http_pool import HttpPool
from oriolegate.platform import crash_entry
from oriolegate.runtime import exchange_runner
from oriolegate.runtime import gateway
from oriolegate.runtime import gateway_composition
from tests import site_builders as build
from tests.platform import stand_in_documents as documents
from tests.platform.stand_in_leaf import LeafFactory
from tests.platform.stand_in_leaf import StandInLeaf
from tests.platform.stand_in_store import StandInStore
from tests.platform.stand_in_store import StoreFactory
from tests.reactor_case import on_reactor
from tests.socket_caller import Caller

HOST = "127.0.0.1"
SHARDS = ("s1", "s2", "s3")


def configuration(version=1, more_routes=()):
    routes = [
        documents.route_spec("all", **documents.gather_fields(SHARDS, 10, 0.6)),
        documents.route_spec("one", service="s1"),
        documents.route_spec(
            "once", service="s1", type=documents.NON_IDEMPOTENT
        ),
        *more_routes,
    ]
    return documents.configuration_spec(
        version,
        routes,
        SHARDS,
        max_body_bytes=1_000,
        header_timeout_ms=300,
    )


def sleep(seconds):
    return task.deferLater(reactor, seconds, lambda: None)


@attrs.define(eq=False)
class Site:
    """A gateway with the fake store and leafs that it uses.

    Attributes:
        store: The fake store.
        leafs: Fake leafs by id.
        ports: Listening ports of the store and the leafs.
        process: The gateway.
        caller_pool: Connections of a caller to the gateway.
    """

    store: StandInStore
    leafs: dict[str, StandInLeaf]
    ports: list
    process: gateway.Gateway
    caller_pool: HttpPool

    async def send_raw(self, data):
        """Send bytes as a caller; return the result of the HTTP call."""
        finished = defer.Deferred()
        self.caller_pool.send(
            HttpCall(data, finished.callback, lambda response: True)
        )
        return await finished

    async def get(self, path, *, method=b"GET", body=b"", attempt="a1"):
        data = documents.caller_request(
            method.decode(), path.decode(), attempt, 1_200, body
        )
        result = await self.send_raw(data)
        assert isinstance(result, Answered), result
        return result.response

    async def wait_until(self, condition, seconds=5.0):
        for _ in range(int(seconds / 0.02)):
            if condition():
                return
            await sleep(0.02)
        raise AssertionError("the condition was not met in time")

    def exit_as_a_process(self):
        """Reset all callers at the exit, as the end of a process would.

        Returns:
            A deferred that fires at the exit.
        """
        exited = defer.Deferred()

        def on_exit():
            self.abort_callers()
            exited.callback(None)

        self.process.on_exit = on_exit
        return exited

    def abort_callers(self):
        for channel in list(self.process.parts.connections.channels):
            channel.transport.abortConnection()

    async def close(self):
        self.caller_pool.close()
        for pool in self.process.parts.leaf_client.pools.values():
            pool.close()
        self.process.parts.store.pause()
        self.process.parts.feed.stop()
        self.process.parts.store_client.close()
        for port in [*self.ports, *self.process.ports]:
            await defer.maybeDeferred(port.stopListening)
        self.abort_callers()
        for call in reactor.getDelayedCalls():
            call.cancel()
        await sleep(0.01)


def free_ports(count):
    """Return free port numbers and the open ports that reserve them."""
    ports = [
        reactor.listenTCP(0, LeafFactory(StandInLeaf("x")), interface=HOST)
        for _ in range(count)
    ]
    numbers = [port.getHost().port for port in ports]
    return numbers, ports


async def start_site():
    store = StandInStore()
    ports = [reactor.listenTCP(0, StoreFactory(store), interface=HOST)]
    store_port = ports[0].getHost().port
    leafs = {}
    for service in SHARDS:
        for data_centre in ("dc-a", "dc-b"):
            leaf = StandInLeaf(f"{service}-{data_centre}")
            port = reactor.listenTCP(0, LeafFactory(leaf), interface=HOST)
            ports.append(port)
            leafs[leaf.leaf_id] = leaf
            store.put("servers", leaf.leaf_id, leaf_entry(leaf, port, service))
    store.put("servers", "i-broken", {"service": 4})
    store.put("config", "main", configuration())
    port_numbers, placeholders = free_ports(3)
    for port in placeholders:
        await defer.maybeDeferred(port.stopListening)
    process = make_gateway(HOST, port_numbers, store_port)
    address = process.settings.caller_address
    caller_pool = HttpPool(reactor, SystemClock(), address)
    site = Site(store, leafs, ports, process, caller_pool)
    process.start()
    await site.wait_until(lambda: process.ready)
    return site


def make_gateway(host, port_numbers, store_port, seeds=()):
    settings = NodeSettings(
        vm=f"vm-{host}",
        data_centre="dc-a",
        regions={"dc-a": "north", "dc-b": "south"},
        host=host,
        caller_address=(host, port_numbers[0]),
        ready_address=(host, port_numbers[1]),
        internal_ports=(port_numbers[2], port_numbers[2]),
        store_address=(HOST, store_port),
        seeds=seeds,
        first_start=False,
        bounds=Bounds(grace_ms=800.0),
    )
    clock = SystemClock()
    parts = gateway_composition.build_parts(
        reactor, clock, settings, random.Random(1)
    )
    return gateway.Gateway(reactor, clock, settings, parts)


def leaf_entry(leaf, listening_port, service):
    address = (HOST, listening_port.getHost().port)
    data_centre = leaf.leaf_id.partition("-")[2]
    return documents.leaf_spec(service, address, data_centre)


def on_site(test):
    """Run a test with a started site and close the site afterwards."""

    async def run(case):
        site = await start_site()
        try:
            await test(case, site)
        finally:
            await site.close()

    run.__name__ = test.__name__
    return on_reactor(run)


class GatewayTest(unittest.TestCase):
    @on_site
    async def test_a_gather_route_merges_the_answers_of_all_shards(self, site):
        response = await site.get(b"/all/x?q=1")
        self.assertEqual(response.status, 200)
        self.assertEqual(response.header(b"missing-parts"), b"0")
        signatures = response.header(b"part-seals").split(b", ")
        self.assertEqual(len(set(signatures)), 3)
        records = [response.body[at : at + 16] for at in range(0, 48, 16)]
        self.assertEqual(records, sorted(records, reverse=True))
        (request,) = site.leafs["s1-dc-a"].requests
        self.assertEqual(request.path, b"/all/x?q=1")
        self.assertLessEqual(int(request.headers[b"deadline-ms"]), 1_200)

    @on_site
    async def test_a_single_answer_keeps_its_signature(self, site):
        response = await site.get(b"/one/x")
        self.assertEqual(response.header(b"server-seal"), b"seal.s1-dc-a")
        self.assertEqual(response.body, b"s1-dc-a         ")

    @on_site
    async def test_a_body_reaches_the_leaf_unchanged(self, site):
        body = bytes(range(256)) * 3
        await site.get(b"/once/x", method=b"POST", body=body)
        self.assertEqual(site.leafs["s1-dc-a"].requests[0].body, body)

    @on_site
    async def test_a_chunked_body_reaches_the_leaf_unchanged(self, site):
        result = await site.send_raw(
            b"POST /once/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        self.assertEqual(result.response.status, 200)
        self.assertEqual(site.leafs["s1-dc-a"].requests[0].body, b"abcde")

    @on_site
    async def test_a_body_over_the_limit_is_rejected(self, site):
        response = await site.get(b"/once/x", method=b"POST", body=b"x" * 1_001)
        self.assertEqual(response.status, 413)
        self.assertEqual(site.leafs["s1-dc-a"].requests, [])

    @on_site
    async def test_requests_are_split_by_weight(self, site):
        split = [
            documents.split_part("s1", 3),
            documents.split_part("s2", 1),
        ]
        added = [documents.route_spec("both", traffic_split=split)]
        site.store.put("config", "main", configuration(3, added))
        parts = site.process.parts
        await site.wait_until(
            lambda: parts.configuration.table.configuration.version == 3
        )
        for _ in range(8):
            self.assertEqual((await site.get(b"/both/x")).status, 200)
        counts = [
            sum(
                len(leaf.requests)
                for name, leaf in site.leafs.items()
                if name.startswith(service)
            )
            for service in ("s1", "s2")
        ]
        self.assertEqual(counts, [6, 2])

    @on_site
    async def test_an_early_answer_does_not_affect_the_next_request(self, site):
        leaf = site.leafs["s1-dc-a"]

        def answer_early(connection):
            # The leaf answers once it has the header, before it reads the body.
            connection.transport.write(
                documents.signed_answer("a1", leaf.leaf_id, b"early")
            )

        leaf.on_headers = answer_early
        leaf.behave = lambda request: None
        body = b"x" * 900
        response = await site.get(b"/once/x", method=b"POST", body=body)
        self.assertEqual(response.body, b"early")
        leaf.on_headers = None
        leaf.behave = lambda request: request.answer(b"next")
        response = await site.get(b"/once/x", method=b"POST", body=b"second")
        self.assertEqual(response.body, b"next")
        self.assertEqual(
            [request.body for request in leaf.requests], [body, b"second"]
        )

    @on_site
    async def test_pipelined_requests_are_answered_in_order(self, site):
        request_format = (
            b"GET /%s/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\n\r\n"
        )
        bodies = []

        def accepts(response):
            bodies.append(response.body)
            return len(bodies) == 2

        finished = defer.Deferred()
        data = request_format % b"all" + request_format % b"one"
        site.caller_pool.send(HttpCall(data, finished.callback, accepts))
        await finished
        self.assertEqual(len(bodies[0]), 48)
        self.assertEqual(bodies[1], b"s1-dc-a         ")

    @on_site
    async def test_a_request_without_a_route_is_not_found(self, site):
        self.assertEqual((await site.get(b"/none/x")).status, 404)

    @on_site
    async def test_missing_shards_are_counted_in_the_response(self, site):
        for name in ("s2-dc-a", "s2-dc-b"):
            site.leafs[name].behave = lambda request: request.reset()
        response = await site.get(b"/all/x")
        self.assertEqual(response.status, 200)
        self.assertEqual(response.header(b"missing-parts"), b"1")
        self.assertEqual(len(response.header(b"part-seals").split(b",")), 2)

    @on_site
    async def test_a_request_to_an_unresponsive_leaf_is_hedged(self, site):
        site.leafs["s1-dc-a"].behave = lambda request: None
        response = await site.get(b"/one/x")
        self.assertEqual(response.header(b"server-seal"), b"seal.s1-dc-b")

    @on_site
    async def test_a_different_leaf_at_the_address_is_not_used(self, site):
        site.leafs["s1-dc-a"].leaf_id = "i-new"
        response = await site.get(b"/once/x", method=b"POST")
        self.assertEqual(response.header(b"server-seal"), b"seal.s1-dc-b")
        # The stale leaf entry is not used again: each use would cost a second
        # send.
        for _ in range(3):
            await site.get(b"/all/x")
        self.assertEqual(site.leafs["s1-dc-a"].misdirected, 1)

    @on_site
    async def test_a_request_that_may_have_run_is_not_retried(self, site):
        site.leafs["s1-dc-a"].behave = lambda request: request.reset()
        response = await site.get(b"/once/x", method=b"POST")
        self.assertEqual(response.status, 502)
        self.assertIsNone(response.header(b"retry-after"))
        self.assertEqual(site.leafs["s1-dc-b"].requests, [])

    @on_site
    async def test_a_request_that_a_leaf_sheds_is_retried_elsewhere(self, site):
        site.leafs["s1-dc-a"].behave = lambda request: request.answer(
            b"", 503, Server_Seal=None, Not_Executed="1"
        )
        response = await site.get(b"/once/x", method=b"POST")
        self.assertEqual(response.header(b"server-seal"), b"seal.s1-dc-b")

    @on_site
    async def test_the_caller_may_retry_if_all_leafs_shed_the_request(
        self, site
    ):
        for name in ("s1-dc-a", "s1-dc-b"):
            site.leafs[name].behave = lambda request: request.answer(
                b"", 503, Server_Seal=None, Not_Executed="1"
            )
        response = await site.get(b"/once/x", method=b"POST")
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.header(b"retry-after")), 0.0)

    @on_site
    async def test_an_answer_to_an_earlier_attempt_is_ignored(self, site):
        leaf = site.leafs["s1-dc-a"]
        leaf.behave = lambda request: request.answer(b"first")
        await site.get(b"/one/x")

        def answer_stale_first(request):
            request.answer(b"stale", Attempt_Id="a0")
            request.answer(b"second")

        leaf.behave = answer_stale_first
        response = await site.get(b"/one/x")
        self.assertEqual(response.body, b"second")

    @on_site
    async def test_unsolicited_bytes_close_the_connection(self, site):
        leaf = site.leafs["s1-dc-a"]

        def answer_twice(request):
            request.answer(b"first")
            request.answer(b"extra")

        leaf.behave = answer_twice
        response = await site.get(b"/one/x")
        self.assertEqual(response.body, b"first")
        leaf.behave = lambda request: request.answer(b"third")
        self.assertEqual((await site.get(b"/one/x")).body, b"third")
        self.assertEqual(len({r.connection for r in leaf.requests}), 2)

    @on_site
    async def test_a_truncated_answer_is_not_passed_on(self, site):
        def answer_truncated(request):
            request.answer(b"short", Content_Length="100")
            request.connection.transport.loseConnection()

        site.leafs["s1-dc-a"].behave = answer_truncated
        response = await site.get(b"/one/x")
        self.assertEqual(response.header(b"server-seal"), b"seal.s1-dc-b")

    @on_site
    async def test_an_answer_without_length_ends_with_its_connection(
        self, site
    ):
        def answer_without_length(request):
            request.answer(b"whole", Content_Length=None)
            request.connection.transport.loseConnection()

        site.leafs["s1-dc-a"].behave = answer_without_length
        response = await site.get(b"/one/x")
        self.assertEqual(response.body, b"whole")

    @on_site
    async def test_a_caller_that_disconnects_cancels_the_send(self, site):
        leaf = site.leafs["s1-dc-a"]
        leaf.behave = lambda request: None
        call = HttpCall(
            b"GET /once/x HTTP/1.1\r\nHost: h.example\r\n"
            b"Attempt-Id: a1\r\n\r\n",
            lambda result: None,
            lambda response: True,
        )
        site.caller_pool.send(call)
        await site.wait_until(lambda: len(leaf.requests) == 1)
        site.caller_pool.cancel(call)
        await site.wait_until(lambda: leaf.ended_connections == 1, seconds=0.5)
        self.assertEqual(site.process.parts.runner.running, {})

    @on_site
    async def test_an_older_configuration_is_ignored(self, site):
        added = [documents.route_spec("new", service="s2")]
        site.store.put("config", "main", configuration(3, added))
        parts = site.process.parts
        await site.wait_until(
            lambda: parts.configuration.table.configuration.version == 3
        )
        self.assertEqual((await site.get(b"/new/x")).status, 200)
        site.store.put("config", "main", configuration(2))
        await sleep(follower.BETWEEN_WATCHES_MS / 1_000 + 0.2)
        self.assertEqual((await site.get(b"/new/x")).status, 200)

    @on_site
    async def test_a_watch_without_history_is_replaced_by_a_list(self, site):
        site.store.forget()
        site.store.put("servers", "s9-dc-a", {"service": 4})
        site.store.delete("servers", "s1-dc-a")
        directory = site.process.parts.directory
        await site.wait_until(lambda: "s1-dc-a" not in directory.leafs)

    @on_site
    async def test_requests_are_served_during_a_store_outage(self, site):
        site.store.refuse = 503
        site.store.put("servers", "nobody", {})
        await sleep(0.3)
        self.assertEqual((await site.get(b"/all/x")).status, 200)
        self.assertTrue(site.process.ready)

    @on_site
    async def test_after_a_pause_the_store_confirms_the_leafs_first(self, site):
        leaf = site.leafs["s1-dc-a"]
        site.process.pause_detector.last_suspend_aware_ms -= 5_000.0
        calls = len(site.store.calls)
        pending = defer.ensureDeferred(site.get(b"/one/x"))
        self.assertEqual((await pending).status, 200)
        self.assertGreater(len(site.store.calls), calls)
        self.assertEqual(len(leaf.requests), 1)
        self.assertGreater(
            site.process.parts.followers[Collection.LEAFS].confirmed_ms,
            site.process.last_pause_at_ms,
        )

    @on_site
    async def test_a_vm_that_starts_in_a_store_outage_uses_a_seed(self, site):
        site.store.refuse = 503
        first = site.process.settings
        second = make_gateway(
            "127.0.0.2",
            [
                first.caller_address[1],
                first.ready_address[1],
                first.internal_ports[0],
            ],
            first.store_address[1],
            seeds=(HOST,),
        )
        try:
            second.start()
            await site.wait_until(lambda: second.ready)
            self.assertEqual(set(second.parts.directory.leafs), set(site.leafs))
            # Cold leafs are not used until the store confirms the members.
            self.assertFalse(second.parts.directory.members_known)
            self.assertFalse(second.parts.store.is_confirmed)
            site.store.refuse = None
            await site.wait_until(lambda: second.parts.store.is_confirmed)
        finally:
            second.parts.store.pause()
            second.parts.feed.stop()
            second.parts.store_client.close()
            for port in second.ports:
                await defer.maybeDeferred(port.stopListening)

    def add_leaf(self, site, leaf_id, service):
        leaf = StandInLeaf(leaf_id)
        port = reactor.listenTCP(0, LeafFactory(leaf), interface=HOST)
        site.ports.append(port)
        spec = leaf_entry(leaf, port, service)
        site.store.put("servers", leaf_id, spec | {"zone": "dc-a"})
        return leaf, port

    @on_site
    async def test_a_request_that_crashes_leafs_is_finally_refused(self, site):
        crashed_leaf_ids = []

        def behave(leaf, port, request):
            if request.path.endswith(b"/bad"):
                crashed_leaf_ids.append(leaf.leaf_id)
                port.stopListening()
                leaf.crash()
            else:
                request.answer(b"fine")

        s1_leaf_ids = [
            leaf_id for leaf_id in site.leafs if leaf_id.startswith("s1")
        ]
        leafs_and_ports = [
            (site.leafs[leaf_id], port)
            for leaf_id, port in zip(site.leafs, site.ports[1:], strict=True)
            if leaf_id in s1_leaf_ids
        ]
        leafs_and_ports.append(self.add_leaf(site, "s1-third", "s1"))
        leafs_and_ports.append(self.add_leaf(site, "s1-fourth", "s1"))
        for leaf, port in leafs_and_ports:
            leaf.behave = functools.partial(behave, leaf, port)
        directory = site.process.parts.directory
        await site.wait_until(lambda: len(directory.by_service["s1"]) == 4)
        ledger = site.process.parts.runner.crashes
        first = await site.get(b"/one/bad", attempt="a1")
        await site.wait_until(lambda: not ledger.lost_requests)
        second = await site.get(b"/one/bad", attempt="a2")
        await site.wait_until(lambda: not ledger.lost_requests)
        third = await site.get(b"/one/bad", attempt="a3")
        self.assertEqual((first.status, second.status), (502, 502))
        self.assertEqual(third.status, 503)
        self.assertIsNotNone(third.header(b"retry-after"))
        self.assertLessEqual(len(crashed_leaf_ids), 4)
        self.assertIn(b"fall", third.body)
        reports = site.store.objects["oriolegate-crashes"]
        self.assertGreaterEqual(len(reports), 3)

    @on_site
    async def test_crash_reports_of_other_vms_block_a_request(self, site):
        call = build.call()
        call = attrs.evolve(call, method=b"GET", target=b"/one/bad")
        fingerprint = crash_ledger.call_fingerprint(call)
        for number in range(3):
            report = CrashReport(
                fingerprint, f"a{number}", f"l{number}", "vm-9", 0
            )
            content = crash_entry.encode(report)
            site.store.put("oriolegate-crashes", f"{number}", content)
        ledger = site.process.parts.runner.crashes
        await site.wait_until(
            lambda: len(ledger.reports.get(fingerprint, ())) == 3
        )
        self.assertEqual((await site.get(b"/one/bad")).status, 503)
        self.assertEqual((await site.get(b"/one/good")).status, 200)
        run_paths = [
            r.path for leaf in site.leafs.values() for r in leaf.requests
        ]
        self.assertEqual(run_paths, [b"/one/good"])

    async def block(self, site):
        """Let the store hold reports about a request of VMs that are gone."""
        call = attrs.evolve(build.call(), target=b"/one/blamed")
        fingerprint = crash_ledger.call_fingerprint(call)
        for number in range(3):
            report = CrashReport(
                fingerprint, f"a{number}", f"l{number}", "vm-gone", 0
            )
            content = crash_entry.encode(report)
            site.store.put("oriolegate-crashes", f"{number}", content)
        ledger = site.process.parts.runner.crashes
        await site.wait_until(
            lambda: len(ledger.reports.get(fingerprint, ())) == 3
        )
        self.assertEqual((await site.get(b"/one/blamed")).status, 503)

    @on_site
    async def test_a_harmless_request_is_not_refused_for_ever(self, site):
        # Popular requests that waited at leafs which went dark were refused at
        # all VMs, and nothing ended that.
        await self.block(site)
        await sleep(trial_schedule.FIRST_TRIAL_MS / 1_000 + 0.1)
        self.assertEqual((await site.get(b"/one/blamed")).status, 200)
        self.assertEqual((await site.get(b"/one/blamed")).status, 200)
        entries = site.store.objects["oriolegate-crashes"]
        await site.wait_until(lambda: not entries)

    @on_site
    async def test_a_trial_of_another_vm_prevents_one_here(self, site):
        await self.block(site)
        call = attrs.evolve(build.call(), target=b"/one/blamed")
        fingerprint = crash_ledger.call_fingerprint(call)
        await sleep(trial_schedule.FIRST_TRIAL_MS / 1_000 + 0.1)
        # Written unnoticed, as before the watch returns it.
        name = f"{fingerprint:016x}-trial-1"
        site.store.objects["oriolegate-crashes"][name] = {}
        response = await site.get(b"/one/blamed")
        self.assertEqual(response.status, 503)
        retry_after_s = float(response.header(b"retry-after"))
        self.assertLess(retry_after_s, trial_schedule.RESULT_WAIT_MS / 1_000)
        run_paths = [
            r.path for leaf in site.leafs.values() for r in leaf.requests
        ]
        self.assertEqual(run_paths, [])

    @on_site
    async def test_an_error_answer_does_not_withdraw_crash_reports(self, site):
        call = attrs.evolve(build.call(), target=b"/one/bad")
        fingerprint = crash_ledger.call_fingerprint(call)
        for number in range(2):
            report = CrashReport(fingerprint, f"a{number}", "l", "vm-9", 0)
            content = crash_entry.encode(report)
            site.store.put("oriolegate-crashes", f"{number}", content)
        ledger = site.process.parts.runner.crashes
        await site.wait_until(
            lambda: len(ledger.reports.get(fingerprint, ())) == 2
        )
        for leaf in site.leafs.values():
            leaf.behave = lambda request: request.answer(b"", 500)
        self.assertEqual((await site.get(b"/one/bad")).status, 500)
        self.assertEqual(len(ledger.reports.get(fingerprint, ())), 2)

    @on_site
    async def test_a_crash_after_the_caller_left_is_blamed_on_its_request(
        self, site
    ):
        leaf = site.leafs["s1-dc-a"]
        port = site.ports[1 + list(site.leafs).index(leaf.leaf_id)]
        leaf.behave = lambda request: None
        site.leafs["s1-dc-b"].behave = lambda request: request.answer(b"fine")
        data = documents.caller_request("GET", "/one/bad", "a1", 1_200)
        call = HttpCall(data, lambda result: None, lambda response: True)
        site.caller_pool.send(call)
        await site.wait_until(lambda: leaf.requests)
        site.caller_pool.cancel(call)
        ledger = site.process.parts.runner.crashes
        await site.wait_until(lambda: not site.process.parts.runner.running)
        port.stopListening()
        leaf.crash()
        await site.get(b"/one/good")
        await site.wait_until(lambda: ledger.reports)
        call = attrs.evolve(build.call(), target=b"/one/bad")
        fingerprint = crash_ledger.call_fingerprint(call)
        self.assertEqual(set(ledger.reports), {fingerprint})

    @on_site
    async def test_a_crash_without_a_reset_is_blamed_on_its_request(self, site):
        leaf = site.leafs["s1-dc-a"]
        port = site.ports[1 + list(site.leafs).index(leaf.leaf_id)]
        leaf.behave = lambda request: port.stopListening()
        site.leafs["s1-dc-b"].behave = lambda request: None
        response = await site.get(b"/one/bad")
        self.assertEqual(response.status, 504)
        site.leafs["s1-dc-b"].behave = lambda request: request.answer(b"fine")
        await site.get(b"/one/good", attempt="a2")
        ledger = site.process.parts.runner.crashes
        await site.wait_until(lambda: ledger.reports)
        call = attrs.evolve(build.call(), target=b"/one/bad")
        fingerprint = crash_ledger.call_fingerprint(call)
        self.assertEqual(set(ledger.reports), {fingerprint})

    @on_site
    async def test_a_refused_request_stays_refused_after_the_store_was_restored(
        self, site
    ):
        site.store.era = 1
        vm = site.process.settings.vm
        earlier = site.store.make_copy()
        call = attrs.evolve(build.call(), target=b"/one/bad")
        fingerprint = crash_ledger.call_fingerprint(call)
        for number in range(3):
            report = CrashReport(fingerprint, f"a{number}", "l", vm, 0)
            content = crash_entry.encode(report)
            site.store.put("oriolegate-crashes", f"{number}", content)
        ledger = site.process.parts.runner.crashes
        await site.wait_until(
            lambda: len(ledger.reports.get(fingerprint, ())) == 3
        )
        site.store.restore(earlier)
        await site.wait_until(
            lambda: len(site.store.objects.get("oriolegate-crashes", ())) == 3,
            seconds=2.5,
        )
        self.assertEqual((await site.get(b"/one/bad")).status, 503)
        self.assertEqual((await site.get(b"/one/good")).status, 200)

    @on_site
    async def test_the_view_survives_a_store_that_comes_back_older(self, site):
        site.store.era = 1
        earlier = site.store.make_copy()
        added, _ = self.add_leaf(site, "s1-new", "s1")
        site.store.put("config", "main", configuration(5))
        leaving = site.store.objects["servers"]["s1-dc-b"]["spec"]
        site.store.put("servers", "s1-dc-b", leaving | {"state": "draining"})
        parts = site.process.parts
        directory = parts.directory
        await site.wait_until(
            lambda: (
                directory.leafs["s1-dc-b"].entry.draining
                and parts.configuration.table.configuration.version == 5
            )
        )
        site.store.restore(earlier)
        await sleep(1.5)
        self.assertIn(added.leaf_id, directory.leafs)
        self.assertTrue(directory.leafs["s1-dc-b"].entry.draining)
        self.assertEqual(parts.configuration.table.configuration.version, 5)
        # A change in the new era arrives although revisions repeat.
        site.store.put("config", "main", configuration(6))
        await site.wait_until(
            lambda: parts.configuration.table.configuration.version == 6,
            seconds=2.0,
        )

    @on_site
    async def test_a_store_outage_after_a_start_raises_retry_after(self, site):
        site.process.parts.configuration.table = None
        runner = site.process.parts.runner
        runner.started_ms = runner.clock.now_ms()
        first = await site.get(b"/one/x")
        runner.started_ms -= exchange_runner.STORE_UNAVAILABLE_AFTER_MS
        later = await site.get(b"/one/x")
        self.assertEqual((first.status, later.status), (503, 503))
        self.assertEqual(float(first.header(b"retry-after")), 0.2)
        # A third of the 1,200 ms left to this caller.
        self.assertEqual(float(later.header(b"retry-after")), 0.4)

    @on_site
    async def test_an_invalid_leaf_entry_is_ignored(self, site):
        self.assertNotIn("i-broken", site.process.parts.directory.leafs)

    @on_site
    async def test_a_planned_stop_serves_requests_until_the_exit(self, site):
        exited = defer.Deferred()
        site.process.on_exit = lambda: exited.callback(None)
        members = site.store.objects["oriolegate-members"]
        await site.wait_until(lambda: f"vm-{HOST}" in members)
        self.assertEqual((await site.get(b"/one/x")).status, 200)
        site.process.plan_stop()
        self.assertFalse(site.process.ready)
        response = await site.get(b"/one/x")
        self.assertEqual(response.status, 200)
        self.assertFalse(response.keep_alive)
        await exited
        self.assertNotIn(f"vm-{HOST}", members)

    @on_site
    async def test_a_planned_stop_refuses_connections_before_the_exit(
        self, site
    ):
        exited = defer.Deferred()
        site.process.on_exit = lambda: exited.callback(None)
        leaf = site.leafs["s1-dc-a"]
        leaf.behave = lambda request: reactor.callLater(
            0.65, request.answer, b"late"
        )
        site.process.plan_stop()
        pending = defer.ensureDeferred(site.get(b"/once/x", method=b"POST"))
        await sleep(planned_stop.ACCEPT_FRACTION * 0.8 + 0.3)
        # The request that was already open is answered, but new connections are
        # refused.
        self.assertEqual((await pending).body, b"late")
        result = await site.send_raw(b"GET /one/x HTTP/1.1\r\n\r\n")
        self.assertIsInstance(result, NotSent)
        await exited

    @on_site
    async def test_open_requests_are_answered_before_the_exit(self, site):
        exited = defer.Deferred()
        site.process.on_exit = lambda: exited.callback(None)
        site.leafs["s1-dc-a"].behave = lambda request: None
        pending = defer.ensureDeferred(site.get(b"/once/x", method=b"POST"))
        site.process.plan_stop()
        response = await pending
        self.assertEqual(response.status, 502)
        self.assertIsNone(response.header(b"retry-after"))
        await exited

    async def statuses(self, callers):
        return await defer.gatherResults(
            [defer.ensureDeferred(caller.read_status()) for caller in callers]
        )

    @on_site
    async def test_a_planned_stop_answers_requests_that_wait_at_the_port(
        self, site
    ):
        address = site.process.settings.caller_address
        data = documents.caller_request("GET", "/one/x", "a1", 1_200)
        site.process.plan_stop()
        callers = [Caller(address, data) for _ in range(20)]
        graceful_close.close_port(site.process.ports[0])
        self.assertEqual(await self.statuses(callers), [200] * 20)

    @on_site
    async def test_a_planned_stop_answers_requests_that_are_not_read_yet(
        self, site
    ):
        exited = site.exit_as_a_process()
        address = site.process.settings.caller_address
        callers = [Caller(address) for _ in range(20)]
        channels = site.process.parts.connections.channels
        await site.wait_until(lambda: len(channels) == 20)
        # Younger connections aren't closed.
        await sleep(server_connections.FIRST_REQUEST_MS / 1_000.0 + 0.1)
        site.process.plan_stop()
        data = documents.caller_request("GET", "/one/x", "a1", 1_200)
        for caller in callers:
            caller.send(data)
        # Their bytes are unread while idle connections are closed.
        site.process.parts.connections.close_idle()
        self.assertEqual(await self.statuses(callers), [200] * 20)
        await exited

    async def status_of_fragmented_header(self, site, pause_s):
        received = []
        finished = defer.Deferred()

        class Caller(protocol.Protocol):
            def connectionMade(self):  # noqa: N802 (Twisted's name)
                self.transport.write(b"GET /one/x HTTP/1.1\r\n")
                reactor.callLater(pause_s, self.transport.write, b"Host: ")
                reactor.callLater(
                    2 * pause_s, self.transport.write, b"h.example\r\n\r\n"
                )

            def dataReceived(self, data):  # noqa: N802
                received.append(data)
                self.transport.loseConnection()

            def connectionLost(self, reason):  # noqa: N802
                finished.callback(None)

        endpoint = endpoints.TCP4ClientEndpoint(
            reactor, *site.process.settings.caller_address
        )
        await endpoint.connect(protocol.Factory.forProtocol(Caller))
        await finished
        return int(b"".join(received).split()[1])

    @on_site
    async def test_a_header_timeout_is_answered_with_408(self, site):
        status = await self.status_of_fragmented_header(site, 0.25)
        self.assertEqual(status, 408)

    @on_site
    async def test_a_fragmented_header_is_accepted(self, site):
        status = await self.status_of_fragmented_header(site, 0.02)
        self.assertEqual(status, 200)

    @on_site
    async def test_an_invalid_request_line_is_rejected(self, site):
        result = await site.send_raw(b"nonsense\r\n\r\n")
        is_rejected = (
            isinstance(result, Answered) and result.response.status == 400
        )
        self.assertTrue(is_rejected or isinstance(result, Broken))


if __name__ == "__main__":
    unittest.main()
