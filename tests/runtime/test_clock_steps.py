"""A gateway process keeps its bounds though its time of day jumps."""

import pathlib
import random
import signal
import tempfile
import unittest

from tools.soak import environment as soak_environment
from tools.soak import gateways
from tools.soak.environment import SoakEnvironment
from tools.soak.gateways import GatewayProcess
from twisted.internet import task

from oriolegate.network.http_connection import Answered
from oriolegate.network.http_connection import HttpCall
from oriolegate.network.http_pool import HttpPool
from tests.platform import stand_in_documents as documents
from tests.reactor_case import on_reactor
from tests.reactor_case import reactor

HOUR_S = 3_600.0
SHARD_SETS = (soak_environment.NEXT_SHARDS, soak_environment.SHARDS)
CONFIG_APPLY_S = 4.0


def sleep(seconds):
    return task.deferLater(reactor, seconds, lambda: None)


class ClockStepsTest(unittest.TestCase):
    def start(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.environment = SoakEnvironment(reactor, random.Random(1))
        (port,) = gateways.free_ports("0.0.0.0", 1)
        self.process = GatewayProcess(
            reactor,
            1,
            "dca",
            self.environment.store_address,
            pathlib.Path(folder.name),
            [],
            port,
        )
        self.process.start()
        self.pool = HttpPool(
            reactor, self.environment.clock, self.process.caller_address
        )

    def close(self):
        self.pool.close()
        self.process.close()
        self.environment.stopped = True
        self.environment.close()

    async def answering_services(self):
        """Return the services whose leafs answer a gathered request."""
        results = []
        self.environment.attempt_count += 1
        attempt = f"t{self.environment.attempt_count}"
        data = documents.caller_request("GET", "/all/x", attempt, 1_500)
        self.pool.send(HttpCall(data, results.append, lambda response: True))
        while not results:
            await sleep(0.02)
        match results[0]:
            case Answered(response) if response.status == 200:
                leaf_ids = documents.part_leafs(response)
                return {leaf_id.partition("-")[0] for leaf_id in leaf_ids}
        return set()

    async def wait_for_services(self, services, seconds):
        started_ms = self.environment.clock.now_ms()
        while await self.answering_services() != set(services):
            waited_ms = self.environment.clock.now_ms() - started_ms
            self.assertLess(waited_ms, seconds * 1_000.0, services)
            await sleep(0.05)

    async def run_steps(self):
        await self.wait_for_services(soak_environment.SHARDS, 5.0)
        # Ahead as long as timers are set, and back.
        for number, offset_s in enumerate((2.4, 0.0, HOUR_S, -HOUR_S)):
            self.process.set_clock(offset_s)
            shards = SHARD_SETS[number % 2]
            self.environment.configure(shards)
            await self.wait_for_services(shards, CONFIG_APPLY_S)
        self.process.signal(signal.SIGTERM)
        stopped_ms = self.environment.clock.now_ms()
        while self.process.process.poll() is None:
            waited_ms = self.environment.clock.now_ms() - stopped_ms
            self.assertLess(waited_ms, 1_000.0 * gateways.GRACE_S)
            await sleep(0.05)

    @on_reactor
    async def test_changes_and_a_planned_stop_are_in_time(self):
        self.start()
        try:
            await self.run_steps()
        finally:
            self.close()
