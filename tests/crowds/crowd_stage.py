"""A gateway process, or `serve`, with what it needs, and a crowd of clients.

A crowd is a process of its own, so that it doesn't slow down the stand-ins of
the store and the leafs, which run in the process of the test.
"""

import os
import pathlib
import re
import subprocess
import sys
import tempfile
from typing import Any
import unittest

import attrs
from tools.soak.gateways import free_ports
from tools.soak.gateways import GatewayProcess
from tools.soak.gateways import ROOT
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.internet import task

from oriolegate import system_reactor
from oriolegate.clock import SystemClock
from oriolegate.network.http_connection import Answered
from oriolegate.network.http_connection import HttpCall
from oriolegate.network.http_pool import HttpPool
from tests.crowds import crowd_clients
from tests.platform import stand_in_documents as documents
from tests.platform.stand_in_leaf import LeafFactory
from tests.platform.stand_in_leaf import LeafRequest
from tests.platform.stand_in_leaf import StandInLeaf
from tests.platform.stand_in_store import StandInStore
from tests.platform.stand_in_store import StoreFactory

reactor = system_reactor.get_reactor()

HOST = "127.0.0.1"
# Limits of the machine. The process alone needs about half of the memory.
MEMORY_MB = 80
MAX_DESCRIPTORS = 600
SHARDS = tuple(f"s{number}" for number in range(12))
LARGE_SERVICE = "large"
LARGE_ANSWER = b"l" * 400_000
DEADLINE_MS = 20_000
# An ordinary request may take so long; no test measures how long it takes.
ANSWER_TIMEOUT_S = 30.0
SETTLE_TIMEOUT_S = 90.0
TEST_TIMEOUT_S = 180.0
SAMPLE_INTERVAL_S = 0.05
STATUS_OK = 200
KIB_PER_MB = 1024


def sleep(seconds: float) -> defer.Deferred[None]:
    """Return a deferred that fires after a time."""
    return task.deferLater(reactor, seconds, lambda: None)


async def send(
    address: tuple[str, int], data: bytes, timeout_s: float = ANSWER_TIMEOUT_S
) -> int | None:
    """Send a request on a new connection.

    Returns:
        The status of the response, or None without a response in time.
    """
    done: defer.Deferred[Any] = defer.Deferred()
    pool = HttpPool(reactor, SystemClock(), address, timeout_s)
    call = HttpCall(data, done.callback, accepts=lambda response: True)
    timer = reactor.callLater(timeout_s, done.callback, None)
    pool.send(call)
    result = await done
    if timer.active():
        timer.cancel()
    else:
        pool.cancel(call)
    pool.close()
    return result.response.status if isinstance(result, Answered) else None


class SlicedSender(protocol.Protocol):
    """Sends a request slice by slice; reports the status of the answer."""

    def __init__(
        self, slices: list[bytes], pause_s: float, done: defer.Deferred[Any]
    ) -> None:
        self.slices = slices
        self.pause_s = pause_s
        self.done = done
        self.received = b""

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        """Send the first slice."""
        self._send_next()

    def _send_next(self) -> None:
        self.transport.write(self.slices.pop(0))
        if self.slices:
            reactor.callLater(self.pause_s, self._send_next)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Report the status once its line is complete."""
        self.received += data
        if b"\r\n" in self.received and not self.done.called:
            self.done.callback(int(self.received.split()[1]))

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Report a connection that is lost without an answer."""
        if not self.done.called:
            self.done.callback(None)


async def send_slices(
    address: tuple[str, int], slices: list[bytes], pause_s: float
) -> int | None:
    """Send a request slice by slice; return the status of the answer."""
    done: defer.Deferred[Any] = defer.Deferred()
    endpoint = endpoints.TCP4ClientEndpoint(reactor, *address)
    sender = SlicedSender(slices, pause_s, done)
    await endpoints.connectProtocol(endpoint, sender)
    done.addTimeout(ANSWER_TIMEOUT_S, reactor)
    status = await done
    sender.transport.abortConnection()
    return status


@attrs.define(eq=False)
class ProcessUsage:
    """Memory and descriptors of a process.

    Attributes:
        pid: Id of the process.
        peak_descriptors: Most descriptors seen so far.
    """

    pid: int
    peak_descriptors: int = 0
    loop: Any = None

    def start(self) -> None:
        """Sample the descriptors from now on."""
        self.loop = task.LoopingCall(self._sample)
        self.loop.clock = reactor
        self.loop.start(SAMPLE_INTERVAL_S)

    def stop(self) -> None:
        """Stop sampling."""
        self.loop.stop()

    def _sample(self) -> None:
        try:
            count = len(os.listdir(f"/proc/{self.pid}/fd"))
        except OSError:
            return
        self.peak_descriptors = max(self.peak_descriptors, count)

    @property
    def peak_mb(self) -> int:
        """Most memory that the process has held, in MB.

        Raises:
            OSError: The process has ended.
        """
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        found = re.search(r"^VmHWM:\s+(\d+) kB", status, re.MULTILINE)
        if found is None:
            raise OSError("the process has ended")
        return int(found[1]) // KIB_PER_MB


class CrowdProcess:
    """A crowd of clients."""

    def __init__(
        self, address: tuple[str, int], kind: str, count: int, rounds: int = 1
    ) -> None:
        host, port = address
        command = [sys.executable, "-m", "tests.crowds.crowd_clients"]
        command += [host, str(port), kind, str(count), str(rounds)]
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )

    async def settle(self) -> None:
        """Wait until the crowd makes no progress any more."""
        assert self.process.stdout is not None
        os.set_blocking(self.process.stdout.fileno(), False)
        for _ in range(int(SETTLE_TIMEOUT_S / SAMPLE_INTERVAL_S)):
            if self.process.stdout.read() or self.process.poll() is not None:
                return
            await sleep(SAMPLE_INTERVAL_S)
        raise AssertionError("the crowd did not settle")

    async def close(self) -> None:
        """Close all connections of the crowd."""
        assert self.process.stdin is not None
        assert self.process.stdout is not None
        self.process.stdin.close()
        self.process.stdout.close()
        for _ in range(int(SETTLE_TIMEOUT_S / SAMPLE_INTERVAL_S)):
            if self.process.poll() is not None:
                return
            await sleep(SAMPLE_INTERVAL_S)
        self.process.kill()
        self.process.wait()


def _answer_large(request: LeafRequest) -> None:
    request.answer(LARGE_ANSWER)


def _answer_never(request: LeafRequest) -> None:
    """Let a request wait until its connection is closed."""


class GatewayStage:
    """A gateway process with a store and leafs.

    Attributes:
        gateway: The process.
        usage: What the process uses.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        hangs: bool = False,
        memory_mb: int = MEMORY_MB,
        max_descriptors: int = MAX_DESCRIPTORS,
    ) -> None:
        self.store = StandInStore()
        port = reactor.listenTCP(0, StoreFactory(self.store), interface=HOST)
        self.ports = [port]
        for service in (*SHARDS, LARGE_SERVICE):
            leaf = StandInLeaf(f"{service}-{os.getpid()}")
            if service == LARGE_SERVICE:
                leaf.behave = _answer_large
            elif hangs and service != SHARDS[0]:
                leaf.behave = _answer_never
            leaf_port = reactor.listenTCP(0, LeafFactory(leaf), interface=HOST)
            self.ports.append(leaf_port)
            address = (HOST, leaf_port.getHost().port)
            spec = documents.leaf_spec(service, address, "dca")
            self.store.put("servers", leaf.leaf_id, spec)
        self._configure()
        self.gateway = GatewayProcess(
            reactor,
            0,
            "dca",
            (HOST, port.getHost().port),
            folder,
            [],
            free_ports(HOST, 1)[0],
            more_settings=[
                f"limits.memory_mb={memory_mb}",
                f"limits.max_fds={max_descriptors}",
            ],
        )
        self.gateway.start()
        assert self.gateway.process is not None
        self.usage = ProcessUsage(self.gateway.process.pid)

    def _configure(self) -> None:
        timeouts = {"timeout_ms": DEADLINE_MS, "target_latency_ms": 2_000}
        gather = documents.gather_fields(SHARDS, 10, 1.0)
        routes = [
            documents.route_spec("one", service=SHARDS[0], **timeouts),
            documents.route_spec("large", service=LARGE_SERVICE, **timeouts),
            documents.route_spec("all", **gather, **timeouts),
        ]
        spec = documents.configuration_spec(
            1,
            routes,
            (*SHARDS, LARGE_SERVICE),
            max_body_bytes=crowd_clients.BODY_BYTES,
        )
        self.store.put("config", "main", spec)

    def address(self, name: str) -> tuple[str, int]:
        """Return an address of the gateway by its name."""
        if name == "ready_address":
            return self.gateway.host, self.gateway.ports[1]
        address: tuple[str, int] = getattr(self.gateway, name)
        return address

    async def get(self) -> int | None:
        """Send an ordinary request; return the status of its answer."""
        data = crowd_clients.head("/one/ordinary", method="GET")
        return await send(self.gateway.caller_address, data)

    async def start(self) -> None:
        """Wait until the gateway serves requests."""
        for _ in range(int(ANSWER_TIMEOUT_S / SAMPLE_INTERVAL_S)):
            if await self.get() == STATUS_OK:
                self.usage.start()
                return
            await sleep(SAMPLE_INTERVAL_S)
        raise AssertionError("the gateway did not start")

    async def close(self) -> None:
        """End the process and close the stand-ins."""
        if self.usage.loop is not None:
            self.usage.stop()
        self.gateway.close()
        for port in self.ports:
            await defer.maybeDeferred(port.stopListening)
        for call in reactor.getDelayedCalls():
            call.cancel()


class GatewayCase(unittest.TestCase):
    """Plays a crowd against a gateway."""

    async def play(
        self,
        kind: str,
        count: int,
        *,
        rounds: int = 1,
        address_name: str = "caller_address",
        hangs: bool = False,
        memory_mb: int = MEMORY_MB,
    ) -> None:
        """Play a crowd and check that the gateway bears it.

        The process must live and stay within the memory and the descriptors of
        its machine, and answer an ordinary request while the crowd is there
        and after it.
        """
        with tempfile.TemporaryDirectory() as folder:
            stage = GatewayStage(
                pathlib.Path(folder), hangs=hangs, memory_mb=memory_mb
            )
            try:
                await stage.start()
                address = stage.address(address_name)
                crowd = CrowdProcess(address, kind, count, rounds)
                try:
                    await crowd.settle()
                    beside = await stage.get()
                finally:
                    await crowd.close()
                after = await stage.get()
                assert stage.gateway.process is not None
                self.assertIsNone(stage.gateway.process.poll(), "it has ended")
                peak_mb = stage.usage.peak_mb
                descriptors = stage.usage.peak_descriptors
                found = f"{peak_mb} MB, {descriptors} descriptors"
                self.assertEqual((beside, after), (200, 200), found)
                self.assertLessEqual(peak_mb, memory_mb, found)
                self.assertLessEqual(descriptors, MAX_DESCRIPTORS, found)
            finally:
                await stage.close()
