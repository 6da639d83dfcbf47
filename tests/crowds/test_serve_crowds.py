"""Crowds of clients that no one controls, at the ports of `serve`."""

from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import tempfile
import unittest
from unittest import mock

from twisted.internet import threads

from tests.crowds import crowd_clients
from tests.crowds import crowd_stage
from tests.crowds.test_gateway_crowds import with_processes
from tools import fleet

LAYOUT = "consortium"
# The process alone needs about half of the memory.
MEMORY_MB = 90
MAX_DESCRIPTORS = 600
VARIABLES = {
    "ORIOLEGATE_MEMORY_MB": str(MEMORY_MB),
    "ORIOLEGATE_MAX_DESCRIPTORS": str(MAX_DESCRIPTORS),
}
START_TIMEOUT_S = 60.0


class ServeCrowdTest(unittest.TestCase):
    """Plays a crowd against one process of `serve` with the emulator."""

    async def play(
        self, kind: str, count: int, port: int = fleet.CALLER_PORT
    ) -> None:
        """Play a crowd and check that the process bears it."""
        await self.run_with_fleet(
            lambda started: self._play_on(started, kind, count, port)
        )

    async def run_with_fleet(
        self, run: Callable[[fleet.Fleet], Awaitable[None]]
    ) -> None:
        """Run a coroutine beside one process on a small machine."""
        pid = os.getpid()
        network = f"127.{1 + pid // 250 % 250}.{1 + pid % 250}"
        addresses = fleet.FleetAddresses(
            platform_host=f"{network}.9", vm_network=network
        )
        rules = (fleet.ROOT / "examples" / LAYOUT / "rules.txt").read_text()
        with (
            tempfile.TemporaryDirectory() as folder,
            mock.patch.dict(os.environ, VARIABLES),
        ):
            started = fleet.Fleet(
                LAYOUT, 1, pathlib.Path(folder), addresses=addresses
            )
            try:
                await threads.deferToThread(started.start, rules)
                await run(started)
            finally:
                started.close()

    async def _play_on(
        self, started: fleet.Fleet, kind: str, count: int, port: int
    ) -> None:
        """Play a crowd against the VM of a fleet."""
        (vm,) = started.vms
        process = started.processes[vm.name]
        usage = crowd_stage.ProcessUsage(process.pid)
        usage.start()
        query = crowd_clients.head(
            "/v1/query/receipts", "X-Caller: haulier", "Content-Length: 0"
        )
        check = crowd_clients.head("/readyz", method="GET")

        async def ask() -> tuple[int | None, int | None]:
            caller, admin = fleet.CALLER_PORT, fleet.ADMIN_PORT
            return (
                await crowd_stage.send((vm.host, caller), query),
                await crowd_stage.send((vm.host, admin), check),
            )

        try:
            self.assertEqual(await ask(), (200, 200))
            crowd = crowd_stage.CrowdProcess((vm.host, port), kind, count)
            try:
                await crowd.settle()
                beside = await ask()
            finally:
                await crowd.close()
            after = await ask()
            self.assertIsNone(process.poll(), "it has ended")
            found = f"{usage.peak_mb} MB, {usage.peak_descriptors} descriptors"
            self.assertEqual((beside, after), ((200, 200),) * 2, found)
            self.assertLessEqual(usage.peak_mb, MEMORY_MB, found)
            self.assertLessEqual(usage.peak_descriptors, MAX_DESCRIPTORS, found)
        finally:
            usage.stop()

    @with_processes
    async def test_bodies_that_stop_short_of_their_end(self):
        await self.play("query", 500)

    @with_processes
    async def test_large_chunks_without_an_end(self):
        await self.play("query_chunks", 400)

    @with_processes
    async def test_chunks_of_one_byte_without_an_end(self):
        await self.play("query_one_byte_chunks", 400)

    @with_processes
    async def test_many_short_trailers_without_an_end(self):
        await self.play("query_short_trailers", 300)

    @with_processes
    async def test_more_connections_than_descriptors(self):
        await self.play("few_bytes", 900)

    @with_processes
    async def test_bodies_at_the_admin_port(self):
        await self.play("query", 500, port=fleet.ADMIN_PORT)

    @with_processes
    async def test_more_connections_to_the_admin_port(self):
        await self.play("few_bytes", 900, port=fleet.ADMIN_PORT)

    @with_processes
    async def test_more_connections_to_the_port_of_other_vms(self):
        await self.play("few_bytes", 900, port=fleet.PEER_PORT)

    @with_processes
    async def test_one_long_body_in_chunks_of_one_byte_is_served(self):
        chunks = b"1\r\na\r\n" * crowd_clients.BODY_BYTES
        query = "/v1/query/receipts"
        slices = [
            crowd_clients.head(query, crowd_clients.CHUNKED),
            chunks,
            b"0\r\n\r\n",
        ]

        async def send(started: fleet.Fleet) -> None:
            address = (started.vms[0].host, fleet.CALLER_PORT)
            status = await crowd_stage.send_slices(address, slices, 0.0)
            self.assertEqual(status, 200)

        await self.run_with_fleet(send)
