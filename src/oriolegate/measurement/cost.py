"""Processor time of one sub-request, compared with twisted.web's Agent.

The policy is the whole path from `RequestFlow` through the coordinator and the
upstream client to the encoded answer. The baseline sends the same sub-requests
with a pooled `Agent` and only decodes the answers. Only this thread's
processor time counts; the leafs answer on another thread.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
import random
import time
from typing import Any

import attrs
import orjson
from twisted.internet import defer
from twisted.web import client
from twisted.web import http_headers

from oriolegate.clock import SystemClock
from oriolegate.coordinator.coordinator import Coordinator
from oriolegate.measurement.canned_leafs import CannedLeafs
from oriolegate.measurement.canned_leafs import HOST
from oriolegate.measurement.report import ScenarioResult
from oriolegate.metrics import MetricsRegistry
from oriolegate.models.answer import Answer
from oriolegate.models.request import CallerRequest
from oriolegate.models.topology import IndexVersion
from oriolegate.models.topology import Leaf
from oriolegate.models.topology import ServiceTopology
from oriolegate.network import caller_wire
from oriolegate.network.upstream_client import UpstreamClient
from oriolegate.quarantine.quarantine import Quarantine
from oriolegate.quarantine.settings import QuarantineSettings
from oriolegate.rules.model import AcceptedRules
from oriolegate.runtime.quarantine_gate import QuarantineGate
from oriolegate.runtime.query_runner import QueryRunner
from oriolegate.runtime.query_tier import QueryTier
from oriolegate.runtime.request_flow import RequestFlow
from oriolegate.timeline.events import EventBuffer
from oriolegate.upstreams.leaf_state import Grant
from oriolegate.upstreams.leaf_table import LeafTable

SERVICE = "service"
RULES = "route cost to service  # asked-by: measurement\n"
SHARD_COUNTS = (3, 30, 130)
WARM_UP_QUERIES = 20
US_PER_S = 1_000_000.0
SLOTS_PER_LEAF = 8


@attrs.frozen
class CostFigures:
    """Processor time of queries over one number of shards.

    Attributes:
        shards: Sub-requests of one query.
        queries: Queries measured.
        us_per_subrequest: Mean processor time of a sub-request.
        us_per_query: Mean processor time of a query.
    """

    shards: int
    queries: int
    us_per_subrequest: float
    us_per_query: float


class UnusedClaimGate:
    """Claim gate that must not be called: queries need no claims."""

    def claim(
        self, request: CallerRequest, limit_ms: float
    ) -> "defer.Deferred[None]":
        """Raise: the measured requests are idempotent."""
        raise AssertionError("a query was claimed")

    def on_outcome(self, request: CallerRequest, outcome: Any) -> None:
        """Do nothing: no outcome of a claimed request is reported."""


def _topology(ports: list[int]) -> ServiceTopology:
    leafs = {
        f"leaf-{port}": Leaf(
            name=f"leaf-{port}",
            host=HOST,
            port=port,
            data_centre="dc-1",
            upstream=f"upstream-{port}",
            slots=SLOTS_PER_LEAF,
            connections=SLOTS_PER_LEAF,
            cold_slots=SLOTS_PER_LEAF,
        )
        for port in ports
    }
    shards = tuple((name,) for name in leafs)
    return ServiceTopology(SERVICE, 1, leafs, {1: IndexVersion(1, shards)}, 1)


def build_tier(reactor: Any, ports: list[int]) -> QueryTier:
    """Build a query tier whose leafs listen on the given loopback ports."""
    clock = SystemClock()
    events = EventBuffer("vm-1", clock.wall_ms() - clock.now_ms())
    table = LeafTable("dc-1", events)
    runner = QueryRunner(Coordinator(table, events), clock, reactor.callLater)
    upstreams = UpstreamClient(reactor, clock, "vm-1.1", runner)
    runner.sender = upstreams
    runner.quarantine = QuarantineGate(
        Quarantine("vm-1", QuarantineSettings()),
        clock,
        reactor.callLater,
        events,
        runner.feed,
    )
    flow = RequestFlow(
        process="vm-1.1",
        clock=clock,
        runner=runner,
        claims=UnusedClaimGate(),
        events=events,
        metrics=MetricsRegistry(),
        max_concurrent=1_000,
    )
    tier = QueryTier(clock, table, runner, upstreams, flow)
    tier.apply_topology(_topology(ports))
    tier.apply_rules(AcceptedRules(1, RULES, "measurement"))
    tier.apply_grant(
        SERVICE, Grant(SLOTS_PER_LEAF, SLOTS_PER_LEAF, SLOTS_PER_LEAF)
    )
    flow.state.ready = True
    return tier


async def _policy_query(tier: QueryTier) -> None:
    flow = tier.flow
    request = CallerRequest(flow.fresh_request_id(), "caller", "cost", b"")
    outcome = await flow.handle(request)
    if not isinstance(outcome, Answer) or outcome.coverage.missing:
        raise AssertionError(f"a measured query was not answered: {outcome}")
    caller_wire.response(outcome)


def _agent_query(
    reactor: Any, ports: list[int]
) -> Callable[[], Awaitable[None]]:
    pool = client.HTTPConnectionPool(reactor, persistent=True)
    pool.maxPersistentPerHost = SLOTS_PER_LEAF
    agent = client.Agent(reactor, pool=pool)

    async def sub_request(shard: int, port: int) -> Any:
        headers = http_headers.Headers(
            {
                "X-Query": ["vm-1.1.1"],
                "X-Shard": [str(shard)],
                "X-Attempt": ["0"],
                "X-Index-Version": ["1"],
                "X-Deadline-Ms": ["1000"],
            }
        )
        url = f"http://{HOST}:{port}/query".encode()
        response = await agent.request(b"POST", url, headers)
        return orjson.loads(await client.readBody(response))["results"]

    async def query() -> None:
        calls = [
            defer.Deferred.fromCoroutine(sub_request(shard, port))
            for shard, port in enumerate(ports)
        ]
        await defer.gatherResults(calls)

    return query


async def _measure(
    query: Callable[[], Awaitable[None]], shards: int, seconds: float
) -> CostFigures:
    for _ in range(WARM_UP_QUERIES):
        await query()
    queries = 0
    started_s = time.thread_time()
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        await query()
        queries += 1
    used_us = (time.thread_time() - started_s) * US_PER_S
    return CostFigures(
        shards, queries, used_us / (queries * shards), used_us / queries
    )


async def measure(
    reactor: Any, seconds: float, rng: random.Random
) -> dict[str, list[CostFigures]]:
    """Measure policy and baseline for each number of shards.

    Args:
        reactor: Twisted's reactor.
        seconds: Time for each of the six measurements.
        rng: Chooses which of the two runs first, so that drift averages out.
    """
    figures: dict[str, list[CostFigures]] = {"policy": [], "baseline": []}
    for shards in SHARD_COUNTS:
        leafs = CannedLeafs(shards)
        leafs.start()
        tier = build_tier(reactor, leafs.ports)
        runs: dict[str, Callable[[], Awaitable[None]]] = {
            "policy": functools.partial(_policy_query, tier),
            "baseline": _agent_query(reactor, leafs.ports),
        }
        names = list(runs)
        rng.shuffle(names)
        for name in names:
            measured = await _measure(runs[name], shards, seconds)
            figures[name].append(measured)
        for pool in tier.client.pools.values():
            pool.close()
        leafs.stop()
    return figures


def _json_figures(figures: list[CostFigures]) -> dict[str, Any]:
    most_shards = figures[-1]
    return {
        "queries": most_shards.queries,
        "shards": most_shards.shards,
        "us_per_subrequest": most_shards.us_per_subrequest,
        "us_per_query": most_shards.us_per_query,
        "by_shards": [attrs.asdict(row) for row in figures],
    }


async def cost_scenario(
    reactor: Any, seconds: float, seed: int
) -> ScenarioResult:
    """Measure the cost of a sub-request.

    The main figures are those of the query over the most shards.

    Args:
        reactor: Twisted's reactor.
        seconds: Time for the whole scenario.
        seed: Seed of the order of the measurements.
    """
    measurement_s = seconds / (2 * len(SHARD_COUNTS))
    figures = await measure(reactor, measurement_s, random.Random(seed))
    return ScenarioResult(
        "cost",
        _json_figures(figures["policy"]),
        _json_figures(figures["baseline"]),
    )
