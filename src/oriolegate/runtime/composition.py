"""The composition root: builds one process from its settings."""

import random
from typing import Any

import attrs

from oriolegate.claims.core import ClaimsCore
from oriolegate.claims.settings import ClaimsSettings
from oriolegate.clock import Clock
from oriolegate.coordinator.machine import Coordinator
from oriolegate.metrics import MetricsRegistry
from oriolegate.network import admin
from oriolegate.network import front
from oriolegate.network.claim_store import ClaimStore
from oriolegate.network.platform_api import Platform
from oriolegate.network.upstream_client import UpstreamClient
from oriolegate.quarantine.core import Quarantine
from oriolegate.quarantine.settings import QuarantineSettings
from oriolegate.runtime.admin_routes import AdminRoutes
from oriolegate.runtime.claim_gate import StoreClaimGate
from oriolegate.runtime.process import Process
from oriolegate.runtime.quarantine_gate import QuarantineGate
from oriolegate.runtime.query_runner import QueryRunner
from oriolegate.runtime.query_tier import QueryTier
from oriolegate.runtime.request_flow import RequestFlow
from oriolegate.settings.serve import ServeSettings
from oriolegate.timeline.events import EventBuffer
from oriolegate.upstreams.leaf_table import LeafTable


@attrs.frozen
class Surroundings:
    """What a process is given from outside.

    Attributes:
        reactor: Twisted's reactor.
        clock: The clock.
        platform: The platform's object API.
        rng: Source of randomness.
    """

    reactor: Any
    clock: Clock
    platform: Platform
    rng: random.Random


def build_process(
    settings: ServeSettings, surroundings: Surroundings
) -> Process:
    """Wire the parts of one process; nothing is started."""
    clock = surroundings.clock
    incarnation = settings.incarnation or clock.wall_ms()
    process_name = f"{settings.vm}.{incarnation}"
    events = EventBuffer(
        settings.vm,
        clock.wall_ms() - clock.now_ms(),
        settings.timeline_capacity,
    )
    metrics = MetricsRegistry()
    table = LeafTable(settings.data_centre, events)
    coordinator = Coordinator(table, events)
    runner = QueryRunner(coordinator, clock, surroundings.reactor.callLater)
    client = UpstreamClient(
        surroundings.reactor,
        clock,
        process_name,
        runner,
        settings.advertise_host,
    )
    runner.sender = client
    runner.quarantine = QuarantineGate(
        Quarantine(settings.vm, QuarantineSettings(settings.canary)),
        clock,
        surroundings.reactor.callLater,
        events,
        runner.feed,
    )
    claim_store = ClaimStore(
        surroundings.platform,
        clock,
        surroundings.reactor,
        ClaimsCore(settings.vm, str(incarnation), ClaimsSettings()),
    )
    flow = RequestFlow(
        process=process_name,
        clock=clock,
        runner=runner,
        claims=StoreClaimGate(claim_store, clock),
        events=events,
        metrics=metrics,
        max_concurrent=settings.max_concurrent_queries,
    )
    tier = QueryTier(clock, table, runner, client, flow)
    routes = AdminRoutes(settings, clock, tier, metrics, events)
    return Process(
        settings=settings,
        surroundings=surroundings,
        tier=tier,
        claim_store=claim_store,
        caller_site=front.caller_site(flow, settings.max_body_bytes),
        admin_site=admin.admin_site(routes, settings.admin_key),
    )
