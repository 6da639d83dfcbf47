"""Tests of the platform client against a stand-in on loopback."""

import threading
import unittest

from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task
from twisted.web.client import ResponseNeverReceived

from oriolegate.exceptions import PlatformError
from oriolegate.network.platform_api import VmRecord
from oriolegate.network.platform_api import VmState
from oriolegate.network.platform_client import PlatformClient
from oriolegate.network.platform_client import PlatformClientSettings
from oriolegate.result_codes import ResultCode
from oriolegate.standins import api_resource
from oriolegate.standins.in_memory_platform import InMemoryPlatform
from oriolegate.standins.platform_routes import PlatformRoutes
from oriolegate.standins.platform_store import PlatformStore
from oriolegate.standins.platform_store import RateLimit
from tests.reactor_case import on_reactor
from tests.reactor_case import wait_for

VM = VmRecord("vm-1", "127.0.0.11", 7300, "nairobi-a", VmState.LEAVING)


class FixedAnswer(protocol.Protocol):
    """Answers with the factory's bytes, then closes the connection."""

    def dataReceived(self, data):  # noqa: N802 (twisted's name)
        if self.factory.answer is not None:
            self.transport.write(self.factory.answer)
            self.transport.loseConnection()


class ClientTestCase(unittest.TestCase):
    """Starts servers on free ports, with a client for each."""

    def listen(self, factory, **settings):
        port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.addCleanup(
            lambda: wait_for(defer.maybeDeferred(port.stopListening))
        )
        url = f"http://127.0.0.1:{port.getHost().port}"
        client = PlatformClient(
            reactor, PlatformClientSettings(url, **settings)
        )
        self.addCleanup(lambda: wait_for(client.close()))
        return client

    async def code_of(self, call):
        try:
            await call
        except PlatformError as error:
            return error.code
        return ResultCode.OK


class PlatformClientTest(ClientTestCase):
    def setUp(self):
        self.store = PlatformStore()
        self.platform = InMemoryPlatform(self.store, reactor)
        site = api_resource.build_site(PlatformRoutes(self.platform).route)
        self.client = self.listen(site, timeout_ms=5_000, max_calls=2)

    @on_reactor
    async def test_object_is_created_updated_listed_and_deleted(self):
        client = self.client
        version = await client.put("rules", "a/b c", {"n": 1}, 0)
        self.assertEqual(version, 1)
        version = await client.put("rules", "a/b c", {"n": 2}, 1)
        self.assertEqual(version, 2)
        stored = await client.get("rules", "a/b c")
        self.assertEqual((stored.name, stored.version), ("a/b c", 2))
        self.assertEqual(stored.value, {"n": 2})
        listed = await client.list("rules")
        self.assertEqual((listed.revision, listed.items), (2, (stored,)))
        await client.delete("rules", "a/b c", 2)
        listed = await client.list("rules")
        self.assertEqual((listed.revision, listed.items), (3, ()))

    @on_reactor
    async def test_failures_are_mapped_to_result_codes(self):
        client = self.client
        code = await self.code_of(client.get("k", "a"))
        self.assertIs(code, ResultCode.PLATFORM_NOT_FOUND)
        await client.put("k", "a", {}, 0)
        for call in (
            client.put("k", "a", {}, 0),
            client.put("k", "a", {}, 7),
            client.delete("k", "a", 7),
        ):
            code = await self.code_of(call)
            self.assertIs(code, ResultCode.PLATFORM_CONFLICT)
        self.store.reads = RateLimit(0.0)
        code = await self.code_of(client.list("k"))
        self.assertIs(code, ResultCode.PLATFORM_RATE_LIMITED)
        self.store.faults.outage = True
        code = await self.code_of(client.list("k"))
        self.assertIs(code, ResultCode.PLATFORM_DOWN)

    @on_reactor
    async def test_lost_answer_of_a_write_that_took_effect_is_platform_down(
        self,
    ):
        self.store.faults.lose_answers = 2
        call = self.client.put("k", "a", {"claim": "x"}, 0)
        code = await self.code_of(call)
        self.assertIs(code, ResultCode.PLATFORM_DOWN)
        stored = await self.client.get("k", "a")
        self.assertEqual(stored.value, {"claim": "x"})
        call = self.client.delete("k", "a", 1)
        code = await self.code_of(call)
        self.assertIs(code, ResultCode.PLATFORM_DOWN)
        self.assertEqual(self.store.version_of("k", "a"), 0)
        # Each call reached the store once: none was retried.
        self.assertEqual(self.store.counts["put"], 1)
        self.assertEqual(self.store.counts["delete"], 1)

    @on_reactor
    async def test_watch_returns_changes_of_its_kind(self):
        watch = self.client.watch("k", 0, 5_000)
        await self.client.put("other", "a", {}, 0)
        await self.client.put("k", "a", {"n": 1}, 0)
        changed = await watch
        self.assertEqual(changed.revision, 1)
        self.assertEqual([item.name for item in changed.items], ["a"])
        self.assertEqual(self.store.listeners, [])

    @on_reactor
    async def test_watch_returns_nothing_after_its_timeout(self):
        await self.client.put("k", "a", {}, 0)
        changed = await self.client.watch("k", 1, 10)
        self.assertEqual((changed.revision, changed.items), (1, ()))

    @on_reactor
    async def test_list_of_vms_is_decoded(self):
        self.store.set_vms(0.0, (VM,))
        vms = await self.client.list_vms()
        self.assertEqual(vms, (VM,))

    @on_reactor
    async def test_concurrent_calls_are_limited_to_max_calls(self):
        self.store.faults.slow_ms = 50.0
        calls = [self.client.get("k", str(number)) for number in range(5)]
        self.assertEqual(self.client.counts["get"], 2)
        await defer.DeferredList(calls, consumeErrors=True)
        self.assertEqual(self.client.counts["get"], 5)

    @on_reactor
    async def test_lost_answer_is_a_closed_connection(self):
        self.store.faults.lose_answers = 1
        with self.assertRaises(PlatformError) as caught:
            await self.client.put("k", "a", {}, 0)
        self.assertIsInstance(caught.exception.__cause__, ResponseNeverReceived)

    @on_reactor
    async def test_cancelled_watch_is_removed_from_the_store(self):
        watch = self.client.watch("k", 0, 60_000)
        while not self.store.listeners:
            await task.deferLater(reactor, 0.001)
        watch.cancel()
        while self.store.listeners:
            await task.deferLater(reactor, 0.001)
        code = await self.code_of(watch)
        self.assertIs(code, ResultCode.PLATFORM_DOWN)
        self.assertEqual(self.store.counts, {"watch": 1})

    @on_reactor
    async def test_call_cancelled_while_queued_is_not_sent(self):
        self.store.faults.slow_ms = 20.0
        calls = [self.client.list("k") for _ in range(2)]
        waiting = self.client.put("k", "a", {}, 0)
        waiting.cancel()
        code = await self.code_of(waiting)
        self.assertIs(code, ResultCode.PLATFORM_DOWN)
        await defer.gatherResults(calls)
        await self.client.list("k")
        self.assertEqual(self.store.counts, {"list": 3})

    @on_reactor
    async def test_calls_start_no_thread(self):
        await self.client.put("k", "a", {}, 0)
        self.assertEqual(threading.enumerate(), [threading.main_thread()])

    @on_reactor
    async def test_watches_do_not_count_towards_max_calls(self):
        watches = [self.client.watch("k", 0, 5_000) for _ in range(3)]
        await self.client.put("k", "a", {}, 0)
        await defer.gatherResults(watches)
        self.assertEqual(self.client.counts, {"watch": 3, "put": 1})


class BrokenPlatformTest(ClientTestCase):
    def client_of(self, answer, timeout_ms=5_000):
        factory = protocol.Factory.forProtocol(FixedAnswer)
        factory.answer = answer
        factory.noisy = False
        return self.listen(factory, timeout_ms=timeout_ms)

    @on_reactor
    async def test_unresponsive_platform_is_down_after_the_timeout(self):
        client = self.client_of(None, timeout_ms=30)
        for call in (client.put("k", "a", {}, 0), client.get("k", "a")):
            code = await self.code_of(call)
            self.assertIs(code, ResultCode.PLATFORM_DOWN)

    @on_reactor
    async def test_connection_closed_before_the_answer_is_platform_down(self):
        client = self.client_of(b"")
        call = client.put("k", "a", {}, 0)
        code = await self.code_of(call)
        self.assertIs(code, ResultCode.PLATFORM_DOWN)

    @on_reactor
    async def test_unreadable_answer_of_a_write_may_have_taken_effect(self):
        for answer in (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{",
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}",
            b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n",
        ):
            client = self.client_of(answer)
            call = client.put("k", "a", {}, 0)
            code = await self.code_of(call)
            self.assertIs(code, ResultCode.PLATFORM_DOWN, answer)

    @on_reactor
    async def test_unreadable_answer_of_a_read_is_a_bad_answer(self):
        for answer in (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{",
            b"HTTP/1.1 302 Oh\r\nContent-Length: 0\r\n\r\n",
        ):
            client = self.client_of(answer)
            code = await self.code_of(client.get("k", "a"))
            self.assertIs(code, ResultCode.PLATFORM_BAD_ANSWER, answer)

    @on_reactor
    async def test_closed_port_is_platform_down(self):
        port = reactor.listenTCP(0, protocol.Factory(), interface="127.0.0.1")
        url = f"http://127.0.0.1:{port.getHost().port}"
        await port.stopListening()
        client = PlatformClient(reactor, PlatformClientSettings(url))
        code = await self.code_of(client.get("k", "a"))
        self.assertIs(code, ResultCode.PLATFORM_DOWN)
