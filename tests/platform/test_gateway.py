"""Tests of a whole gateway against stand-ins, over real sockets."""

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
from oriolegate.following import follower
from oriolegate.models.site import Bounds
from oriolegate.models.site import CrashReport
from oriolegate.models.site import NodeSettings
from oriolegate.models.stored import Collection
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
    """A gateway with its stand-ins."""

    store: StandInStore
    leafs: dict[str, StandInLeaf]
    ports: list
    process: gateway.Gateway
    front: HttpPool

    async def ask(self, data):
        """Send bytes as a caller; return the response or the fault."""
        done = defer.Deferred()
        self.front.send(HttpCall(data, done.callback, lambda response: True))
        return await done

    async def get(self, path, *, method=b"GET", body=b"", attempt="a1"):
        data = documents.caller_request(
            method.decode(), path.decode(), attempt, 1_200, body
        )
        result = await self.ask(data)
        assert isinstance(result, Answered), result
        return result.response

    async def until(self, holds, seconds=5.0):
        for _ in range(int(seconds / 0.02)):
            if holds():
                return
            await sleep(0.02)
        raise AssertionError("it never held")

    async def close(self):
        self.front.close()
        for pool in self.process.parts.leaf_client.pools.values():
            pool.close()
        self.process.parts.store.pause()
        self.process.parts.feed.stop()
        self.process.parts.store_client.caller.pool.close()
        for port in [*self.ports, *self.process.ports]:
            await defer.maybeDeferred(port.stopListening)
        for channel in list(self.process.front.channels):
            channel.transport.abortConnection()
        for call in reactor.getDelayedCalls():
            call.cancel()
        await sleep(0.01)


def free_ports(count):
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
            store.put("servers", leaf.leaf_id, entry(leaf, port, service))
    store.put("servers", "i-broken", {"service": 4})
    store.put("config", "main", configuration())
    numbers, taken = free_ports(3)
    for port in taken:
        await defer.maybeDeferred(port.stopListening)
    process = make_gateway(HOST, numbers, store_port)
    address = process.settings.caller_address
    front = HttpPool(reactor, SystemClock(), address)
    site = Site(store, leafs, ports, process, front)
    process.start()
    await site.until(lambda: process.ready)
    return site


def make_gateway(host, numbers, store_port, seeds=()):
    settings = NodeSettings(
        vm=f"vm-{host}",
        data_centre="dc-a",
        regions={"dc-a": "north", "dc-b": "south"},
        host=host,
        caller_address=(host, numbers[0]),
        ready_address=(host, numbers[1]),
        internal_ports=(numbers[2], numbers[2]),
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


def entry(leaf, port, service):
    address = (HOST, port.getHost().port)
    data_centre = leaf.leaf_id.partition("-")[2]
    return documents.leaf_spec(service, address, data_centre)


def on_site(test):
    """Run a test with a started site, and close it afterwards."""

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
    async def test_a_gathered_answer_is_whole(self, site):
        found = await site.get(b"/all/x?q=1")
        self.assertEqual(found.status, 200)
        self.assertEqual(found.header(b"missing-parts"), b"0")
        seals = found.header(b"part-seals").split(b", ")
        self.assertEqual(len(set(seals)), 3)
        records = [found.body[at : at + 16] for at in range(0, 48, 16)]
        self.assertEqual(records, sorted(records, reverse=True))
        (request,) = site.leafs["s1-dc-a"].requests
        self.assertEqual(request.path, b"/all/x?q=1")
        self.assertLessEqual(int(request.headers[b"deadline-ms"]), 1_200)

    @on_site
    async def test_a_single_answer_keeps_its_seal(self, site):
        found = await site.get(b"/one/x")
        self.assertEqual(found.header(b"server-seal"), b"seal.s1-dc-a")
        self.assertEqual(found.body, b"s1-dc-a         ")

    @on_site
    async def test_a_body_reaches_the_leaf_unchanged(self, site):
        body = bytes(range(256)) * 3
        await site.get(b"/once/x", method=b"POST", body=body)
        self.assertEqual(site.leafs["s1-dc-a"].requests[0].body, body)

    @on_site
    async def test_a_chunked_body_reaches_the_leaf_unchanged(self, site):
        result = await site.ask(
            b"POST /once/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        self.assertEqual(result.response.status, 200)
        self.assertEqual(site.leafs["s1-dc-a"].requests[0].body, b"abcde")

    @on_site
    async def test_a_body_over_the_limit_is_rejected(self, site):
        found = await site.get(b"/once/x", method=b"POST", body=b"x" * 1_001)
        self.assertEqual(found.status, 413)
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
        await site.until(
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
    async def test_an_answer_before_the_body_is_read_harms_no_other(self, site):
        leaf = site.leafs["s1-dc-a"]

        def early(connection):
            # The leaf answers at the header and reads the body afterwards.
            connection.transport.write(
                documents.sealed_answer("a1", leaf.leaf_id, b"early")
            )

        leaf.on_headers = early
        leaf.behave = lambda request: None
        body = b"x" * 900
        found = await site.get(b"/once/x", method=b"POST", body=body)
        self.assertEqual(found.body, b"early")
        leaf.on_headers = None
        leaf.behave = lambda request: request.answer(b"next")
        found = await site.get(b"/once/x", method=b"POST", body=b"second")
        self.assertEqual(found.body, b"next")
        self.assertEqual(
            [request.body for request in leaf.requests], [body, b"second"]
        )

    @on_site
    async def test_pipelined_requests_are_answered_in_order(self, site):
        one = b"GET /%s/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\n\r\n"
        bodies = []

        def accepts(response):
            bodies.append(response.body)
            return len(bodies) == 2

        done = defer.Deferred()
        data = one % b"all" + one % b"one"
        site.front.send(HttpCall(data, done.callback, accepts))
        await done
        self.assertEqual(len(bodies[0]), 48)
        self.assertEqual(bodies[1], b"s1-dc-a         ")

    @on_site
    async def test_unknown_routes_are_not_found(self, site):
        self.assertEqual((await site.get(b"/none/x")).status, 404)

    @on_site
    async def test_a_missing_shard_is_stated(self, site):
        for name in ("s2-dc-a", "s2-dc-b"):
            site.leafs[name].behave = lambda request: request.reset()
        found = await site.get(b"/all/x")
        self.assertEqual(found.status, 200)
        self.assertEqual(found.header(b"missing-parts"), b"1")
        self.assertEqual(len(found.header(b"part-seals").split(b",")), 2)

    @on_site
    async def test_a_silent_leaf_is_hedged(self, site):
        site.leafs["s1-dc-a"].behave = lambda request: None
        found = await site.get(b"/one/x")
        self.assertEqual(found.header(b"server-seal"), b"seal.s1-dc-b")

    @on_site
    async def test_another_leaf_at_the_address_is_not_used(self, site):
        site.leafs["s1-dc-a"].leaf_id = "i-new"
        found = await site.get(b"/once/x", method=b"POST")
        self.assertEqual(found.header(b"server-seal"), b"seal.s1-dc-b")
        # Its entry is stale, and each further try would cost a second send.
        for _ in range(3):
            await site.get(b"/all/x")
        self.assertEqual(site.leafs["s1-dc-a"].misdirected, 1)

    @on_site
    async def test_a_request_that_may_have_run_is_not_repeated(self, site):
        site.leafs["s1-dc-a"].behave = lambda request: request.reset()
        found = await site.get(b"/once/x", method=b"POST")
        self.assertEqual(found.status, 502)
        self.assertIsNone(found.header(b"retry-after"))
        self.assertEqual(site.leafs["s1-dc-b"].requests, [])

    @on_site
    async def test_a_leaf_that_sheds_is_passed_over(self, site):
        site.leafs["s1-dc-a"].behave = lambda request: request.answer(
            b"", 503, Server_Seal=None, Not_Executed="1"
        )
        found = await site.get(b"/once/x", method=b"POST")
        self.assertEqual(found.header(b"server-seal"), b"seal.s1-dc-b")

    @on_site
    async def test_when_all_shed_the_caller_hears_not_run(self, site):
        for name in ("s1-dc-a", "s1-dc-b"):
            site.leafs[name].behave = lambda request: request.answer(
                b"", 503, Server_Seal=None, Not_Executed="1"
            )
        found = await site.get(b"/once/x", method=b"POST")
        self.assertEqual(found.status, 503)
        self.assertGreater(float(found.header(b"retry-after")), 0.0)

    @on_site
    async def test_a_late_second_answer_belongs_to_no_request(self, site):
        leaf = site.leafs["s1-dc-a"]
        leaf.behave = lambda request: request.answer(b"first")
        await site.get(b"/one/x")

        def late(request):
            request.answer(b"stale", Attempt_Id="a0")
            request.answer(b"second")

        leaf.behave = late
        found = await site.get(b"/one/x")
        self.assertEqual(found.body, b"second")

    @on_site
    async def test_bytes_that_nobody_asked_for_close_the_connection(self, site):
        leaf = site.leafs["s1-dc-a"]

        def twice(request):
            request.answer(b"first")
            request.answer(b"extra")

        leaf.behave = twice
        found = await site.get(b"/one/x")
        self.assertEqual(found.body, b"first")
        leaf.behave = lambda request: request.answer(b"third")
        self.assertEqual((await site.get(b"/one/x")).body, b"third")
        self.assertEqual(len({r.connection for r in leaf.requests}), 2)

    @on_site
    async def test_an_answer_that_ends_early_is_not_passed_on(self, site):
        def cut(request):
            request.answer(b"short", Content_Length="100")
            request.connection.transport.loseConnection()

        site.leafs["s1-dc-a"].behave = cut
        found = await site.get(b"/one/x")
        self.assertEqual(found.header(b"server-seal"), b"seal.s1-dc-b")

    @on_site
    async def test_an_answer_may_end_with_its_connection(self, site):
        def unframed(request):
            request.answer(b"whole", Content_Length=None)
            request.connection.transport.loseConnection()

        site.leafs["s1-dc-a"].behave = unframed
        found = await site.get(b"/one/x")
        self.assertEqual(found.body, b"whole")

    @on_site
    async def test_a_caller_that_leaves_ends_the_leafs_work(self, site):
        leaf = site.leafs["s1-dc-a"]
        leaf.behave = lambda request: None
        call = HttpCall(
            b"GET /once/x HTTP/1.1\r\nHost: h.example\r\n"
            b"Attempt-Id: a1\r\n\r\n",
            lambda result: None,
            lambda response: True,
        )
        site.front.send(call)
        await site.until(lambda: len(leaf.requests) == 1)
        site.front.cancel(call)
        await site.until(lambda: leaf.lost == 1, seconds=0.5)
        self.assertEqual(site.process.parts.runner.running, {})

    @on_site
    async def test_configurations_only_rise(self, site):
        added = [documents.route_spec("new", service="s2")]
        site.store.put("config", "main", configuration(3, added))
        parts = site.process.parts
        await site.until(
            lambda: parts.configuration.table.configuration.version == 3
        )
        self.assertEqual((await site.get(b"/new/x")).status, 200)
        site.store.put("config", "main", configuration(2))
        await sleep(follower.BETWEEN_WATCHES_MS / 1_000 + 0.2)
        self.assertEqual((await site.get(b"/new/x")).status, 200)

    @on_site
    async def test_lost_history_is_listed_anew(self, site):
        site.store.forget()
        site.store.put("servers", "s9-dc-a", {"service": 4})
        site.store.delete("servers", "s1-dc-a")
        directory = site.process.parts.directory
        await site.until(lambda: "s1-dc-a" not in directory.leafs)

    @on_site
    async def test_a_store_that_refuses_leaves_the_service_as_it_is(self, site):
        site.store.refuse = 503
        site.store.put("servers", "nobody", {})
        await sleep(0.3)
        self.assertEqual((await site.get(b"/all/x")).status, 200)
        self.assertTrue(site.process.ready)

    @on_site
    async def test_after_standing_still_the_store_is_asked_first(self, site):
        leaf = site.leafs["s1-dc-a"]
        site.process.pauses.last_other_ms -= 5_000.0
        calls = len(site.store.calls)
        asked = defer.ensureDeferred(site.get(b"/one/x"))
        self.assertEqual((await asked).status, 200)
        self.assertGreater(len(site.store.calls), calls)
        self.assertEqual(len(leaf.requests), 1)
        self.assertGreater(
            site.process.parts.followers[Collection.LEAFS].confirmed_ms,
            site.process.doubted_at_ms,
        )

    @on_site
    async def test_a_vm_that_starts_in_an_outage_asks_a_seed(self, site):
        site.store.refuse = 503
        first = site.process.settings
        other = make_gateway(
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
            other.start()
            await site.until(lambda: other.ready)
            self.assertEqual(set(other.parts.directory.leafs), set(site.leafs))
            # What nobody confirmed allows no use of cold leafs.
            self.assertFalse(other.parts.directory.members_known)
            self.assertFalse(other.parts.store.is_confirmed)
            site.store.refuse = None
            await site.until(lambda: other.parts.store.is_confirmed)
        finally:
            other.parts.store.pause()
            other.parts.feed.stop()
            other.parts.store_client.caller.pool.close()
            for port in other.ports:
                await defer.maybeDeferred(port.stopListening)

    def add_leaf(self, site, leaf_id, service):
        leaf = StandInLeaf(leaf_id)
        port = reactor.listenTCP(0, LeafFactory(leaf), interface=HOST)
        site.ports.append(port)
        spec = entry(leaf, port, service)
        site.store.put("servers", leaf_id, spec | {"zone": "dc-a"})
        return leaf, port

    @on_site
    async def test_a_request_that_crashes_leafs_is_refused_in_the_end(
        self, site
    ):
        fallen = []

        def behave(leaf, port, request):
            if request.path.endswith(b"/bad"):
                fallen.append(leaf.leaf_id)
                port.stopListening()
                leaf.fall()
            else:
                request.answer(b"fine")

        own = [leaf_id for leaf_id in site.leafs if leaf_id.startswith("s1")]
        pairs = [
            (site.leafs[leaf_id], port)
            for leaf_id, port in zip(site.leafs, site.ports[1:], strict=True)
            if leaf_id in own
        ]
        pairs.append(self.add_leaf(site, "s1-third", "s1"))
        pairs.append(self.add_leaf(site, "s1-fourth", "s1"))
        for leaf, port in pairs:
            leaf.behave = functools.partial(behave, leaf, port)
        directory = site.process.parts.directory
        await site.until(lambda: len(directory.by_service["s1"]) == 4)
        ledger = site.process.parts.runner.crashes
        first = await site.get(b"/one/bad", attempt="a1")
        await site.until(lambda: not ledger.lost_requests)
        second = await site.get(b"/one/bad", attempt="a2")
        await site.until(lambda: not ledger.lost_requests)
        third = await site.get(b"/one/bad", attempt="a3")
        self.assertEqual((first.status, second.status), (502, 502))
        self.assertEqual(third.status, 503)
        self.assertIsNotNone(third.header(b"retry-after"))
        self.assertLessEqual(len(fallen), 4)
        self.assertIn(b"fall", third.body)
        reports = site.store.objects["oriolegate-crashes"]
        self.assertGreaterEqual(len(reports), 3)

    @on_site
    async def test_what_other_vms_report_keeps_a_request_from_leafs(self, site):
        sent = build.call()
        sent = attrs.evolve(sent, method=b"GET", target=b"/one/bad")
        found = crash_ledger.call_fingerprint(sent)
        for number in range(3):
            report = CrashReport(found, f"a{number}", f"l{number}", "vm-9", 0)
            content = crash_entry.encode(report)
            site.store.put("oriolegate-crashes", f"{number}", content)
        ledger = site.process.parts.runner.crashes
        await site.until(lambda: len(ledger.reports.get(found, ())) == 3)
        self.assertEqual((await site.get(b"/one/bad")).status, 503)
        self.assertEqual((await site.get(b"/one/good")).status, 200)
        ran = [r.path for leaf in site.leafs.values() for r in leaf.requests]
        self.assertEqual(ran, [b"/one/good"])

    @on_site
    async def test_without_the_store_callers_come_back_as_late_as_they_may(
        self, site
    ):
        site.process.parts.configuration.table = None
        runner = site.process.parts.runner
        runner.started_ms = runner.clock.now_ms()
        soon = await site.get(b"/one/x")
        runner.started_ms -= exchange_runner.STORE_AWAY_MS
        late = await site.get(b"/one/x")
        self.assertEqual((soon.status, late.status), (503, 503))
        self.assertEqual(float(soon.header(b"retry-after")), 0.2)
        # A third of the 1,200 ms that this caller has left.
        self.assertEqual(float(late.header(b"retry-after")), 0.4)

    @on_site
    async def test_a_broken_entry_names_no_leaf(self, site):
        self.assertNotIn("i-broken", site.process.parts.directory.leafs)

    @on_site
    async def test_a_stop_serves_on_and_then_ends(self, site):
        ended = defer.Deferred()
        site.process.on_exit = lambda: ended.callback(None)
        members = site.store.objects["oriolegate-members"]
        await site.until(lambda: f"vm-{HOST}" in members)
        self.assertEqual((await site.get(b"/one/x")).status, 200)
        site.process.plan_stop()
        self.assertFalse(site.process.ready)
        found = await site.get(b"/one/x")
        self.assertEqual(found.status, 200)
        self.assertFalse(found.keep_alive)
        await ended
        self.assertNotIn(f"vm-{HOST}", members)

    @on_site
    async def test_a_stop_refuses_connections_before_it_ends(self, site):
        ended = defer.Deferred()
        site.process.on_exit = lambda: ended.callback(None)
        leaf = site.leafs["s1-dc-a"]
        leaf.behave = lambda request: reactor.callLater(
            0.65, request.answer, b"late"
        )
        site.process.plan_stop()
        asked = defer.ensureDeferred(site.get(b"/once/x", method=b"POST"))
        await sleep(gateway.ACCEPT_PART * 0.8 + 0.3)
        # The request that has begun is answered; a new one finds no server.
        self.assertEqual((await asked).body, b"late")
        result = await site.ask(b"GET /one/x HTTP/1.1\r\n\r\n")
        self.assertIsInstance(result, NotSent)
        await ended

    @on_site
    async def test_what_is_open_at_the_end_of_a_stop_is_answered(self, site):
        ended = defer.Deferred()
        site.process.on_exit = lambda: ended.callback(None)
        site.leafs["s1-dc-a"].behave = lambda request: None
        asked = defer.ensureDeferred(site.get(b"/once/x", method=b"POST"))
        site.process.plan_stop()
        found = await asked
        self.assertEqual(found.status, 502)
        self.assertIsNone(found.header(b"retry-after"))
        await ended

    async def status_of_header_in_pieces(self, site, pause_s):
        received = []
        done = defer.Deferred()

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
                done.callback(None)

        point = endpoints.TCP4ClientEndpoint(
            reactor, *site.process.settings.caller_address
        )
        await point.connect(protocol.Factory.forProtocol(Caller))
        await done
        return int(b"".join(received).split()[1])

    @on_site
    async def test_a_header_that_takes_too_long_ends_the_connection(self, site):
        found = await self.status_of_header_in_pieces(site, 0.25)
        self.assertEqual(found, 408)

    @on_site
    async def test_a_header_may_come_in_pieces(self, site):
        found = await self.status_of_header_in_pieces(site, 0.02)
        self.assertEqual(found, 200)

    @on_site
    async def test_a_hopeless_request_line_is_rejected(self, site):
        result = await site.ask(b"nonsense\r\n\r\n")
        is_rejected = (
            isinstance(result, Answered) and result.response.status == 400
        )
        self.assertTrue(is_rejected or isinstance(result, Broken))


if __name__ == "__main__":
    unittest.main()
