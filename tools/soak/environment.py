"""Environment of the gateways in a soak: store, leafs, links and callers."""

import os
import random
from typing import Any

import attrs
from tests.platform import stand_in_documents as documents
from tests.platform.stand_in_leaf import LeafFactory
from tests.platform.stand_in_leaf import LeafRequest
from tests.platform.stand_in_leaf import StandInLeaf
from tests.platform.stand_in_store import StandInStore
from tests.platform.stand_in_store import StoreFactory
from tools.soak import config_judge
from tools.soak import promises
from tools.soak.config_judge import SentRequest
from tools.soak.config_judge import WrittenVersion
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
# Type and method by route; a route of another name is idempotent.
ROUTES = {
    "all": (documents.IDEMPOTENT, "GET"),
    "one": (documents.IDEMPOTENT, "GET"),
    "once": (documents.NON_IDEMPOTENT, "POST"),
}
MAX_LEAFS = 10_000
CANCEL_FRACTION = 0.03


@attrs.define(eq=False)
class SoakLeaf:
    """A leaf with its server, its link and its state.

    Attributes:
        leaf: Stand-in for the leaf.
        port: Listening port.
        link: Proxy that gateways connect to.
        cold_until_ms: End of the time in which the leaf is cold.
        draining_since_ms: When the leaf's draining was stored, or None.
        slow_s: Time added to each run.
        fail_fraction: Fraction of requests that the leaf resets after running.
        born_ms: Unix time in ms of the leaf's start.
        limit_per_s: Requests per second that its answers name, or None.
        limited_since_ms: When it first named the limit.
        link_disturbed_ms: When its link was last disturbed.
    """

    leaf: StandInLeaf
    service: str
    data_centre: str
    port: Any
    link: Link
    cold_until_ms: float = 0.0
    draining_since_ms: float | None = None
    slow_s: float = 0.0
    fail_fraction: float = 0.0
    born_ms: int = 0
    limit_per_s: float | None = None
    limited_since_ms: float = 0.0
    link_disturbed_ms: float = float("-inf")


class SoakEnvironment:
    """Store, leafs and callers of one run.

    Attributes:
        checker: Records what is seen and checks the promises.
        shard_sets: Shards of every configuration written so far.
        version: Newest configuration version.
        configuration: Content of the newest configuration.
    """

    def __init__(self, reactor: Any, rng: random.Random) -> None:
        self.reactor = reactor
        self.rng = rng
        self.clock = SystemClock()
        self.checker = promises.PromiseChecker()
        self.store = StandInStore()
        self.store_port = reactor.listenTCP(
            0, StoreFactory(self.store), interface=HOST
        )
        self.leafs: dict[str, SoakLeaf] = {}
        self.shard_sets: list[frozenset[str]] = []
        self.configuration: dict[str, Any] = {}
        self.version = 0
        # Unique on the machine: a run beside this one may get the port of a
        # crashed leaf, and must not answer in its name.
        self.leaf_number = os.getpid() * MAX_LEAFS
        self.attempt_count = 0
        self.stopped = False
        for service in (*SHARDS, *NEXT_SHARDS):
            for data_centre in DATA_CENTRES:
                self.add_leaf(service, data_centre)
        self.configure(SHARDS)

    @property
    def store_address(self) -> tuple[str, int]:
        """Address of the store."""
        return HOST, self.store_port.getHost().port

    # Operator

    def configure(self, shards: tuple[str, ...]) -> None:
        """Write a new configuration."""
        self.version += self.rng.randint(1, 3)
        self.shard_sets.append(frozenset(shards))
        gather_spec = documents.gather_fields(
            shards, promises.RESULT_RECORDS, 0.5
        )
        routes = [
            documents.route_spec(
                name,
                type=kind,
                **(gather_spec if name == "all" else {"service": "s1"}),
            )
            for name, (kind, _) in ROUTES.items()
        ]
        spec = documents.configuration_spec(
            self.version, routes, (*SHARDS, *NEXT_SHARDS)
        )
        self.configuration = spec
        self.store.put("config", "main", spec)
        services = {name: frozenset({"s1"}) for name in ROUTES}
        self.checker.configurations.versions.append(
            WrittenVersion(
                self.clock.now_ms(), services | {"all": frozenset(shards)}
            )
        )

    # Store

    async def restore_store(
        self, age_s: float, away_s: float = 0.3, rewrite_s: float = 1.0
    ) -> None:
        """Bring the store back from a copy made now.

        Args:
            age_s: Age of the copy when the store goes away.
            away_s: How long the store refuses all calls.
            rewrite_s: Time from its return until the operator and the leafs
                have written again what the copy lacks.
        """
        store = self.store
        store.era = store.era or 1
        earlier = store.make_copy()
        await self.sleep(age_s)
        store.refuse = 503
        await self.sleep(away_s)
        store.refuse = None
        store.restore(earlier)
        await self.sleep(rewrite_s)
        if not self.stopped:
            self._rewrite()

    def _rewrite(self) -> None:
        self.store.put("config", "main", self.configuration)
        for name in set(self.store.objects["servers"]) - set(self.leafs):
            self.store.delete("servers", name)
        for soak_leaf in self.leafs.values():
            self.write_entry(soak_leaf)

    # Leafs

    def add_leaf(self, service: str, data_centre: str) -> SoakLeaf:
        """Start a leaf and store its entry."""
        self.leaf_number += 1
        leaf = StandInLeaf(f"{service}-{data_centre}-{self.leaf_number}")
        port = self.reactor.listenTCP(0, LeafFactory(leaf), interface=HOST)
        address = (HOST, port.getHost().port)
        link = Link(self.reactor, HOST, address)
        soak_leaf = SoakLeaf(leaf, service, data_centre, port, link)
        soak_leaf.born_ms = self.clock.wall_ms()
        leaf.behave = lambda request: self._run_request(soak_leaf, request)
        self.leafs[leaf.leaf_id] = soak_leaf
        if self.version:
            soak_leaf.cold_until_ms = self.clock.now_ms() + WARMUP_MS
            leaf.health_cold_ms = WARMUP_MS
            self.reactor.callLater(
                WARMUP_MS / 1_000, self._become_warm, soak_leaf
            )
        self.write_entry(soak_leaf)
        return soak_leaf

    def _become_warm(self, soak_leaf: SoakLeaf) -> None:
        soak_leaf.leaf.health_cold_ms = 0
        if soak_leaf.leaf.leaf_id in self.leafs:
            self.write_entry(soak_leaf)

    def write_entry(self, soak_leaf: SoakLeaf) -> None:
        """Write the entry of a leaf to the store."""
        cold_ms = soak_leaf.cold_until_ms - self.clock.now_ms()
        spec = documents.leaf_spec(
            soak_leaf.service,
            soak_leaf.link.address,
            soak_leaf.data_centre,
            draining=soak_leaf.draining_since_ms is not None,
            cold_ms=max(0, int(cold_ms)),
            born_ms=soak_leaf.born_ms,
        )
        self.store.put("servers", soak_leaf.leaf.leaf_id, spec)

    def drain(self, soak_leaf: SoakLeaf) -> None:
        """Mark a leaf as draining in the store."""
        soak_leaf.draining_since_ms = self.clock.now_ms()
        self.write_entry(soak_leaf)

    def crash(self, soak_leaf: SoakLeaf) -> None:
        """Stop a leaf at once and start a replacement after a delay."""
        del self.leafs[soak_leaf.leaf.leaf_id]
        soak_leaf.port.stopListening()
        soak_leaf.link.close()
        name = soak_leaf.leaf.leaf_id
        self.reactor.callLater(0.8, self._replace_crashed, name, soak_leaf)

    def _replace_crashed(self, name: str, soak_leaf: SoakLeaf) -> None:
        if not self.stopped:
            # A store restored from a copy may lack the entry.
            if name in self.store.objects["servers"]:
                self.store.delete("servers", name)
            self.add_leaf(soak_leaf.service, soak_leaf.data_centre)

    def _run_request(self, soak_leaf: SoakLeaf, request: LeafRequest) -> None:
        now_ms = self.clock.now_ms()
        attempt = request.attempt_id.decode()
        leaf_id = soak_leaf.leaf.leaf_id
        self.checker.counts["runs"] += 1
        self.checker.on_run(now_ms, attempt, leaf_id, soak_leaf.service)
        if now_ms < soak_leaf.cold_until_ms:
            self.checker.on_cold_arrival(now_ms, leaf_id)
        if soak_leaf.draining_since_ms is not None:
            self.checker.on_arrival_at_draining_leaf(
                now_ms, leaf_id, soak_leaf.draining_since_ms
            )
        if soak_leaf.limit_per_s is not None:
            self.checker.on_limited_arrival(
                now_ms,
                leaf_id,
                soak_leaf.limit_per_s,
                max(soak_leaf.limited_since_ms, soak_leaf.link_disturbed_ms),
            )
        records = [self.rng.randbytes(16) for _ in range(3)]
        body = b"".join(records)
        self.checker.answers[leaf_id, attempt] = body
        work_s = self.rng.uniform(*WORK_S) + soak_leaf.slow_s
        if self.rng.random() < soak_leaf.fail_fraction:
            self.reactor.callLater(work_s, request.reset)
        else:
            self.reactor.callLater(
                work_s, self._answer, soak_leaf, request, body
            )

    def _answer(
        self, soak_leaf: SoakLeaf, request: LeafRequest, body: bytes
    ) -> None:
        if not request.connection.transport.connected:
            return
        limit = soak_leaf.limit_per_s
        request.answer(
            body, Server_Limit=None if limit is None else f"{limit:.2f}"
        )

    def limit_requests(
        self, soak_leaf: SoakLeaf, limit_per_s: float | None
    ) -> None:
        """Let a leaf name a limit in its answers, or none."""
        soak_leaf.limit_per_s = limit_per_s
        soak_leaf.limited_since_ms = self.clock.now_ms()
        self.checker.limited_arrivals_ms.pop(soak_leaf.leaf.leaf_id, None)

    # Callers

    def make_request(
        self, process: GatewayProcess, name: str
    ) -> tuple[str, bytes]:
        """Return a new attempt id and the bytes of a request, sent now."""
        self.attempt_count += 1
        attempt = f"a{self.attempt_count}"
        self.checker.configurations.requests[attempt] = SentRequest(
            self.clock.now_ms(), process.vm, name
        )
        kind, method = ROUTES.get(name, ROUTES["one"])
        if kind == documents.NON_IDEMPOTENT:
            self.checker.at_most_once.add(attempt)
        data = documents.caller_request(
            method, f"/{name}/x", attempt, DEADLINE_MS
        )
        return attempt, data

    async def call_gateway(
        self, process: GatewayProcess, pool: HttpPool
    ) -> None:
        """Send one request to a gateway and check the result."""
        name = self.rng.choice(list(ROUTES))
        attempt, data = self.make_request(process, name)
        done: defer.Deferred[Any] = defer.Deferred()
        call = HttpCall(data, done.callback, accepts=lambda response: True)
        start_ms = self.clock.now_ms()
        pool.send(call)
        if self.rng.random() < CANCEL_FRACTION:
            await self.sleep(0.01)
            pool.cancel(call)
            self.checker.counts["left early"] += 1
            return
        timeout_s = (DEADLINE_MS + promises.ANSWER_TOLERANCE_MS) / 1_000
        timer = self.reactor.callLater(timeout_s, done.callback, None)
        result = await done
        if timer.active():
            timer.cancel()
        if result is None:
            pool.cancel(call)
        self.check_result(process, name, attempt, start_ms, result)

    def check_result(
        self,
        process: GatewayProcess,
        name: str,
        attempt: str,
        start_ms: float,
        result: Any,
    ) -> None:
        """Check the result that a caller received."""
        checker = self.checker
        is_disturbed = process.was_disturbed_since(start_ms)
        if result is None:
            checker.counts["no answer"] += 1
            if not is_disturbed:
                checker.record_violation(
                    "answers on time", f"{attempt} by {process.vm}"
                )
        elif isinstance(result, NotSent):
            checker.counts["no connection"] += 1
        elif not isinstance(result, Answered):
            checker.counts["cut"] += 1
            # A request that did not run was sent while its connection was being
            # closed; callers send such a request to another gateway.
            if attempt in checker.runs and not is_disturbed:
                checker.record_violation(
                    "no request is cut", f"{attempt} {process.vm}"
                )
        else:
            self._check_response(name, attempt, result.response)

    def _check_response(self, name: str, attempt: str, response: Any) -> None:
        checker = self.checker
        checker.counts[f"{name} {response.status}"] += 1
        if response.status in (429, 503):
            checker.on_refused(attempt)
        elif response.status == config_judge.STATUS_NOT_FOUND:
            checker.configurations.not_found.append(attempt)
            checker.record_violation(
                "known routes are found", f"{attempt} {name}"
            )
        elif response.status != 200:
            return
        elif name == "all":
            checker.check_gathered_answer(
                attempt,
                documents.part_leafs(response),
                documents.missing_parts(response),
                response.body,
                self.shard_sets,
            )
        else:
            leaf = documents.answering_leaf(response)
            checker.check_single_answer(attempt, leaf, response.body)

    def sleep(self, seconds: float) -> Any:
        """Return a deferred that fires after a delay."""
        return task.deferLater(self.reactor, seconds, lambda: None)

    def close(self) -> None:
        """Stop all servers."""
        self.stopped = True
        self.store_port.stopListening()
        for soak_leaf in self.leafs.values():
            soak_leaf.port.stopListening()
            soak_leaf.link.close()
