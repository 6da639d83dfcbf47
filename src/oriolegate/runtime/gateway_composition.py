"""The composition root of a gateway: makes its parts and wires them."""

import collections
import random
from typing import Any

import attrs

from oriolegate.clock import Clock
from oriolegate.crashes.crash_ledger import CrashLedger
from oriolegate.exchange.part_sender import ExchangeContext
from oriolegate.following.follower import CollectionSink
from oriolegate.following.follower import Follower
from oriolegate.following.source_choice import Peer
from oriolegate.following.source_choice import SourceChoice
from oriolegate.following.view_cache import ViewCache
from oriolegate.metrics import MetricsRegistry
from oriolegate.models.site import MemberEntry
from oriolegate.models.site import NodeSettings
from oriolegate.models.stored import Collection
from oriolegate.network.leaf_client import LeafClient
from oriolegate.network.store_client import StoreClient
from oriolegate.placement.leaf_directory import LeafDirectory
from oriolegate.placement.route_latency import RouteLatencies
from oriolegate.retries.retry_budget import RetryBudget
from oriolegate.runtime.crash_reporter import CrashReporter
from oriolegate.runtime.exchange_runner import ExchangeRunner
from oriolegate.runtime.leaf_checker import LeafChecker
from oriolegate.runtime.member_keeper import MemberKeeper
from oriolegate.runtime.peer_feed import PeerFeed
from oriolegate.runtime.request_log import RequestLog
from oriolegate.runtime.site_sinks import ConfigurationSink
from oriolegate.runtime.site_sinks import CrashSink
from oriolegate.runtime.site_sinks import EvacuationSink
from oriolegate.runtime.site_sinks import LeafSink
from oriolegate.runtime.site_sinks import MemberSink
from oriolegate.runtime.store_runner import StoreRunner
from oriolegate.runtime.view_server import ViewServer

# Member count assumed until the member list is in; more than run on any
# deployment so far, so that a VM which knows nothing takes little.
ASSUMED_MEMBERS = 256


@attrs.define(eq=False)
class GatewayParts:
    """The parts of a gateway.

    Attributes:
        directory: All leafs.
        runner: Open requests.
        store: What follows the store.
        feed: What follows a peer in place of the store.
        views: Tells peers what the store holds.
        members: This VM's own entry.
        followers: One for each collection.
        metrics: Counters and latencies.
        budget: Extra sends.
        leaf_client: Connections to leafs.
        store_client: Connections to the store.
    """

    directory: LeafDirectory
    runner: ExchangeRunner
    store: StoreRunner
    feed: PeerFeed
    views: ViewServer
    members: MemberKeeper
    followers: dict[Collection, Follower]
    metrics: MetricsRegistry
    budget: RetryBudget
    leaf_client: LeafClient
    store_client: StoreClient
    configuration: ConfigurationSink


def build_parts(
    reactor: Any, clock: Clock, settings: NodeSettings, chance: random.Random
) -> GatewayParts:
    """Wire all parts of a gateway."""
    bounds = settings.bounds
    directory = LeafDirectory(
        settings.vm, settings.data_centre, settings.regions, bounds
    )
    budget = RetryBudget(
        bounds.retry_ratio, bounds.retry_window_ms, bounds.retry_slack
    )
    budget.members = ASSUMED_MEMBERS
    if not settings.first_start:
        budget.note_restart(clock.now_ms())
    registry = MetricsRegistry()
    leaf_client = LeafClient(reactor, clock)
    directory.has_connection = leaf_client.has_idle
    store_client = StoreClient(reactor, clock, settings.store_address)
    configuration = ConfigurationSink(directory)

    crashes = CrashLedger()
    members = MemberKeeper(reactor, clock, store_client, settings, chance)
    choice = SourceChoice(settings.vm)

    def members_changed(entries: tuple[MemberEntry, ...]) -> None:
        directory.members = frozenset(
            {*(entry.vm for entry in entries), settings.vm}
        )
        directory.members_by_region = collections.Counter(
            settings.regions.get(entry.data_centre, "") for entry in entries
        )
        directory.refresh_capacities()
        budget.set_members(clock.now_ms(), len(directory.members))
        choice.set_peers(
            {
                entry.vm: Peer(entry.vm, entry.host, entry.port)
                for entry in entries
                if entry.data_centre == settings.data_centre
                and entry.vm != settings.vm
            }
        )
        members.listed(entries)

    sinks: dict[Collection, CollectionSink] = {
        Collection.LEAFS: LeafSink(directory),
        Collection.CONFIGURATION: configuration,
        Collection.EVACUATIONS: EvacuationSink(directory),
        Collection.MEMBERS: MemberSink(settings.vm, members_changed),
        Collection.CRASHES: CrashSink(crashes),
    }
    caches = {collection: ViewCache(sink) for collection, sink in sinks.items()}
    followers = {
        collection: Follower(collection, cache, chance)
        for collection, cache in caches.items()
    }
    store = StoreRunner(reactor, clock, store_client, followers)
    views = ViewServer(
        reactor,
        caches,
        # A VM that stops hands its peers over before it is gone.
        lambda: store.is_confirmed and not members.leaving,
    )
    seeds = tuple(
        Peer(host, host, settings.internal_ports[0])
        for host in settings.seeds
        if host != settings.host
    )
    feed = PeerFeed(reactor, clock, choice, followers, store, seeds)
    checker = LeafChecker(reactor, clock, leaf_client, directory, chance)
    runner = ExchangeRunner(
        reactor,
        clock,
        leaf_client,
        ExchangeContext(directory, budget, RouteLatencies()),
        configuration,
        checker,
        RequestLog(configuration, registry),
        crashes,
    )
    reporter = CrashReporter(reactor, clock, store_client, settings.vm, crashes)
    checker.on_verdict = reporter.judge
    runner.on_cleared = reporter.withdraw
    return GatewayParts(
        directory=directory,
        runner=runner,
        store=store,
        feed=feed,
        views=views,
        members=members,
        followers=followers,
        metrics=registry,
        budget=budget,
        leaf_client=leaf_client,
        store_client=store_client,
        configuration=configuration,
    )
