"""The surroundings of the gateways: store, leafs, links and callers."""

import random
from typing import Any

import attrs
from tests.platform import stand_in_documents as documents
from tests.platform.stand_in_leaf import LeafFactory
from tests.platform.stand_in_leaf import LeafRequest
from tests.platform.stand_in_leaf import StandInLeaf
from tests.platform.stand_in_store import StandInStore
from tests.platform.stand_in_store import StoreFactory
from tools.soak import promises
from tools.soak.gateways import GatewayProcess
from tools.soak.proxy import Link
from twisted.internet import defer
from twisted.internet import task

from oriolegate.clock import SystemClock
from oriolegate.network.http_connection import Answered
from oriolegate.network.http_connection import HttpCall
from oriolegate.network.http_connection import NotSent
from oriolegate.network.http_pool import HttpPool

HOST = "127.0.0.1"
SHARDS = ("s1", "s2", "s3", "s4")
NEXT_SHARDS = ("n1", "n2", "n3")
DATA_CENTRES = ("dca", "dcb", "dcc")
WARMUP_MS = 1_500
DEADLINE_MS = 1_500
WORK_S = (0.004, 0.02)
ROUTES = {
    "all": (documents.IDEMPOTENT, "GET"),
    "one": (documents.IDEMPOTENT, "GET"),
    "once": (documents.NON_IDEMPOTENT, "POST"),
}
GIVE_UP_PART = 0.03


@attrs.define(eq=False)
class SoakLeaf:
    """A leaf with its server, its link and its state.

    Attributes:
        leaf: The stand-in.
        port: Where it listens.
        link: The proxy that gateways connect to.
        cold_until_ms: Until when it counts arrivals as cold.
        draining_since_ms: When the store took that it leaves, or None.
        slow_s: Added to each run.
        fail_part: Part of its requests that it resets after running.
    """

    leaf: StandInLeaf
    service: str
    data_centre: str
    port: Any
    link: Link
    cold_until_ms: float = 0.0
    draining_since_ms: float | None = None
    slow_s: float = 0.0
    fail_part: float = 0.0


class World:
    """Everything around the gateways of one run.

    Attributes:
        record: What was seen.
        shard_sets: Shards of every configuration written so far.
        version: The newest configuration version.
    """

    def __init__(self, reactor: Any, chance: random.Random) -> None:
        self.reactor = reactor
        self.chance = chance
        self.clock = SystemClock()
        self.record = promises.Record()
        self.store = StandInStore()
        self.store_port = reactor.listenTCP(
            0, StoreFactory(self.store), interface=HOST
        )
        self.leafs: dict[str, SoakLeaf] = {}
        self.shard_sets: list[frozenset[str]] = []
        self.version = 0
        self.number = 0
        self.attempts = 0
        self.stopped = False
        for service in (*SHARDS, *NEXT_SHARDS):
            for data_centre in DATA_CENTRES:
                self.add_leaf(service, data_centre)
        self.configure(SHARDS)

    @property
    def store_address(self) -> tuple[str, int]:
        """Where the store listens."""
        return HOST, self.store_port.getHost().port

    # The operator

    def configure(self, shards: tuple[str, ...]) -> None:
        """Write a new configuration."""
        self.version += self.chance.randint(1, 3)
        self.shard_sets.append(frozenset(shards))
        gather = documents.gather_fields(shards, promises.RECORDS, 0.5)
        routes = [
            documents.route_spec(
                name,
                type=kind,
                **(gather if name == "all" else {"service": "s1"}),
            )
            for name, (kind, _) in ROUTES.items()
        ]
        spec = documents.configuration_spec(
            self.version, routes, (*SHARDS, *NEXT_SHARDS)
        )
        self.store.put("config", "main", spec)

    # Leafs

    def add_leaf(self, service: str, data_centre: str) -> SoakLeaf:
        """Start a leaf and write its entry."""
        self.number += 1
        leaf = StandInLeaf(f"{service}-{data_centre}-{self.number}")
        port = self.reactor.listenTCP(0, LeafFactory(leaf), interface=HOST)
        address = (HOST, port.getHost().port)
        link = Link(self.reactor, HOST, address)
        found = SoakLeaf(leaf, service, data_centre, port, link)
        leaf.behave = lambda request: self._work(found, request)
        self.leafs[leaf.leaf_id] = found
        if self.version:
            found.cold_until_ms = self.clock.now_ms() + WARMUP_MS
            leaf.health_cold_ms = WARMUP_MS
            self.reactor.callLater(WARMUP_MS / 1_000, self._warm, found)
        self.write_entry(found)
        return found

    def _warm(self, found: SoakLeaf) -> None:
        found.leaf.health_cold_ms = 0
        if found.leaf.leaf_id in self.leafs:
            self.write_entry(found)

    def write_entry(self, found: SoakLeaf) -> None:
        """Write what a leaf says of itself."""
        cold_ms = found.cold_until_ms - self.clock.now_ms()
        spec = documents.leaf_spec(
            found.service,
            found.link.address,
            found.data_centre,
            draining=found.draining_since_ms is not None,
            cold_ms=max(0, int(cold_ms)),
        )
        self.store.put("servers", found.leaf.leaf_id, spec)

    def drain(self, found: SoakLeaf) -> None:
        """Let a leaf say that it leaves."""
        found.draining_since_ms = self.clock.now_ms()
        self.write_entry(found)

    def crash(self, found: SoakLeaf) -> None:
        """End a leaf at once; another one starts in its place."""
        del self.leafs[found.leaf.leaf_id]
        found.port.stopListening()
        found.link.close()
        name = found.leaf.leaf_id
        self.reactor.callLater(0.8, self._forget_and_replace, name, found)

    def _forget_and_replace(self, name: str, found: SoakLeaf) -> None:
        if not self.stopped:
            self.store.delete("servers", name)
            self.add_leaf(found.service, found.data_centre)

    def _work(self, found: SoakLeaf, request: LeafRequest) -> None:
        now_ms = self.clock.now_ms()
        attempt = request.attempt_id.decode()
        leaf_id = found.leaf.leaf_id
        self.record.counts["runs"] += 1
        self.record.ran(now_ms, attempt, leaf_id, found.service)
        if now_ms < found.cold_until_ms:
            self.record.cold_arrival(now_ms, leaf_id)
        if found.draining_since_ms is not None:
            self.record.arrival_after_drain(
                now_ms, leaf_id, found.draining_since_ms
            )
        records = [self.chance.randbytes(16) for _ in range(3)]
        body = b"".join(records)
        self.record.answers[leaf_id, attempt] = body
        work_s = self.chance.uniform(*WORK_S) + found.slow_s
        if self.chance.random() < found.fail_part:
            self.reactor.callLater(work_s, request.reset)
        else:
            self.reactor.callLater(work_s, self._answer, request, body)

    def _answer(self, request: LeafRequest, body: bytes) -> None:
        if request.connection.transport.connected:
            request.answer(body)

    # Callers

    def request(self, name: str) -> tuple[str, bytes]:
        """Return a new attempt and its bytes."""
        self.attempts += 1
        attempt = f"a{self.attempts}"
        kind, method = ROUTES[name]
        if kind == documents.NON_IDEMPOTENT:
            self.record.once.add(attempt)
        data = documents.caller_request(
            method, f"/{name}/x", attempt, DEADLINE_MS
        )
        return attempt, data

    async def call(self, process: GatewayProcess, pool: HttpPool) -> None:
        """Make one request and check what comes of it."""
        name = self.chance.choice(list(ROUTES))
        attempt, data = self.request(name)
        done: defer.Deferred[Any] = defer.Deferred()
        call = HttpCall(data, done.callback, accepts=lambda response: True)
        start_ms = self.clock.now_ms()
        pool.send(call)
        if self.chance.random() < GIVE_UP_PART:
            await self.sleep(0.01)
            pool.cancel(call)
            self.record.counts["left early"] += 1
            return
        limit_s = (DEADLINE_MS + promises.LATE_MS) / 1_000
        timer = self.reactor.callLater(limit_s, done.callback, None)
        result = await done
        if timer.active():
            timer.cancel()
        if result is None:
            pool.cancel(call)
        self.check(process, name, attempt, start_ms, result)

    def check(
        self,
        process: GatewayProcess,
        name: str,
        attempt: str,
        start_ms: float,
        result: Any,
    ) -> None:
        """Check what a caller got."""
        record = self.record
        is_disturbed = process.was_disturbed_since(start_ms)
        if result is None:
            record.counts["no answer"] += 1
            if not is_disturbed:
                record.breach("answers on time", f"{attempt} by {process.vm}")
        elif isinstance(result, NotSent):
            record.counts["no connection"] += 1
        elif not isinstance(result, Answered):
            record.counts["cut"] += 1
            # One that crosses the close of its connection is sent elsewhere.
            if attempt in record.runs and not is_disturbed:
                record.breach("no request is cut", f"{attempt} {process.vm}")
        else:
            self._check_response(name, attempt, result.response)

    def _check_response(self, name: str, attempt: str, response: Any) -> None:
        record = self.record
        record.counts[f"{name} {response.status}"] += 1
        if response.status in (429, 503):
            record.refused(attempt)
        elif response.status == 404:
            record.breach("known routes are found", f"{attempt} {name}")
        elif response.status != 200:
            return
        elif name == "all":
            record.gathered(
                attempt,
                documents.part_leafs(response),
                documents.missing_parts(response),
                response.body,
                self.shard_sets,
            )
        else:
            leaf = documents.answering_leaf(response)
            record.single(attempt, leaf, response.body)

    def sleep(self, seconds: float) -> Any:
        """Return a deferred that fires after a time."""
        return task.deferLater(self.reactor, seconds, lambda: None)

    def close(self) -> None:
        """Stop all servers."""
        self.stopped = True
        self.store_port.stopListening()
        for found in self.leafs.values():
            found.port.stopListening()
            found.link.close()
