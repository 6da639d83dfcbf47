"""Composition root of a gateway: create its components and wire them."""

import collections
import random
from typing import Any

import attrs

from oriolegate import structured_log
from oriolegate.clock import Clock
from oriolegate.crashes import trial_schedule
from oriolegate.crashes.crash_ledger import CrashLedger
from oriolegate.exchange.part_sender import ExchangeContext
from oriolegate.exchange.planned_stop import PlannedStop
from oriolegate.following.follower import CollectionSink
from oriolegate.following.follower import Follower
from oriolegate.following.source_choice import Peer
from oriolegate.following.source_choice import SourceChoice
from oriolegate.following.store_era import StoreEra
from oriolegate.following.view_cache import ViewCache
from oriolegate.forwarding.target_choice import TargetChoice
from oriolegate.metrics import MetricsRegistry
from oriolegate.models.leaf_notice import LeafNotice
from oriolegate.models.site import MemberEntry
from oriolegate.models.site import NodeSettings
from oriolegate.models.stored import Collection
from oriolegate.network.leaf_client import LeafClient
from oriolegate.network.server_connections import ServerConnections
from oriolegate.network.store_client import StoreClient
from oriolegate.placement.leaf_directory import LeafChange
from oriolegate.placement.leaf_directory import LeafDirectory
from oriolegate.placement.route_latency import RouteLatencies
from oriolegate.retries.retry_budget import RetryBudget
from oriolegate.runtime.contact_watch import ContactWatch
from oriolegate.runtime.crash_reporter import CrashReporter
from oriolegate.runtime.crash_trials import CrashTrials
from oriolegate.runtime.down_confirmation import DownConfirmation
from oriolegate.runtime.exchange_runner import ExchangeRunner
from oriolegate.runtime.forward_server import ForwardServer
from oriolegate.runtime.guarded_sink import GuardedSink
from oriolegate.runtime.leaf_checker import LeafChecker
from oriolegate.runtime.leaf_outcomes import LeafOutcomes
from oriolegate.runtime.leaf_prober import LeafProber
from oriolegate.runtime.member_registration import MemberRegistration
from oriolegate.runtime.peer_feed import PeerFeed
from oriolegate.runtime.request_forwarder import RequestForwarder
from oriolegate.runtime.request_handover import RequestHandover
from oriolegate.runtime.request_log import RequestLog
from oriolegate.runtime.site_sinks import ConfigurationSink
from oriolegate.runtime.site_sinks import CrashSink
from oriolegate.runtime.site_sinks import EvacuationSink
from oriolegate.runtime.site_sinks import LeafSink
from oriolegate.runtime.site_sinks import MemberSink
from oriolegate.runtime.slow_leaf_runner import SlowLeafRunner
from oriolegate.runtime.store_probe import StoreProbe
from oriolegate.runtime.store_runner import StoreRunner
from oriolegate.runtime.view_server import ViewServer

log = structured_log.get_logger("leafs")

# Collections that decide at once where requests go, so that their lists must
# not lag when a process starts again.
CURRENT_AT_RESTART = frozenset(
    {Collection.LEAFS, Collection.CONFIGURATION, Collection.EVACUATIONS}
)
# Member count assumed until the member list is loaded. It exceeds every
# deployment so far, so that this VM's share of the common retry budget is too
# small rather than too large.
ASSUMED_MEMBERS = 256


@attrs.define(eq=False)
class GatewayParts:
    """The components of a gateway.

    Attributes:
        directory: All known leafs.
        runner: Runs the exchanges of open requests.
        store: Runs the followers against the store.
        feed: Runs the followers against a peer instead of the store.
        views: Serves this VM's view of the store to peers.
        members: Maintains this VM's member entry in the store.
        followers: One follower per collection of the store.
        metrics: Counters and latencies.
        budget: Budget for retries and hedges.
        leaf_client: Connections to leafs.
        store_client: Connections to the store.
        configuration: Configuration in force.
        slow_runner: Exchanges with peers which leafs are slow.
        contact_watch: Watches whether this VM reaches leafs.
        forward_server: Serves requests that other VMs forward.
        connections: Limits of all connections that others open.
        stop: Decides about the planned stop.
    """

    directory: LeafDirectory
    runner: ExchangeRunner
    store: StoreRunner
    feed: PeerFeed
    views: ViewServer
    members: MemberRegistration
    followers: dict[Collection, Follower]
    metrics: MetricsRegistry
    budget: RetryBudget
    leaf_client: LeafClient
    store_client: StoreClient
    configuration: ConfigurationSink
    slow_runner: SlowLeafRunner
    contact_watch: ContactWatch
    forward_server: ForwardServer
    connections: ServerConnections
    stop: PlannedStop


def _set_view_sources(
    choice: SourceChoice,
    settings: NodeSettings,
    entries: tuple[MemberEntry, ...],
) -> None:
    """Set the VMs from which this VM may take its view of the store."""
    local: dict[str, Peer] = {}
    near: list[Peer] = []
    far: list[Peer] = []
    for entry in entries:
        peer = Peer(entry.vm, entry.host, entry.port, entry.link_mbps)
        if entry.data_centre == settings.data_centre:
            local[entry.vm] = peer
        elif settings.regions.get(entry.data_centre) == settings.region:
            near.append(peer)
        else:
            far.append(peer)
    choice.set_distant_peers(near, far)
    choice.set_peers(local)


def build_parts(
    reactor: Any, clock: Clock, settings: NodeSettings, rng: random.Random
) -> GatewayParts:
    """Create and wire all components of a gateway."""
    bounds = settings.bounds
    directory = LeafDirectory(
        settings.vm, settings.data_centre, settings.regions, bounds
    )
    budget = RetryBudget(
        bounds.retry_ratio, bounds.retry_window_ms, bounds.retry_slack
    )
    budget.members = ASSUMED_MEMBERS
    if not settings.first_start:
        budget.record_restart(clock.now_ms())
    registry = MetricsRegistry()
    leaf_client = LeafClient(reactor, clock)
    directory.has_connection = leaf_client.has_idle
    era = StoreEra()
    store_client = StoreClient(reactor, clock, settings.store_address, era)
    configuration = ConfigurationSink(directory)

    crashes = CrashLedger()
    crashes.trials.draw_spread_ms = lambda: rng.uniform(
        0.0, trial_schedule.SPREAD_PER_MEMBER_MS * len(directory.members)
    )
    reporter = CrashReporter(
        reactor, clock, store_client, settings.vm, crashes, registry, rng
    )
    members = MemberRegistration(reactor, clock, store_client, settings, rng)
    choice = SourceChoice(settings.vm)
    targets = TargetChoice(
        settings.vm, settings.data_centre, settings.regions, rng
    )

    def on_members_changed(entries: tuple[MemberEntry, ...]) -> None:
        directory.members = frozenset(
            {*(entry.vm for entry in entries), settings.vm}
        )
        directory.members_by_region = collections.Counter(
            settings.regions.get(entry.data_centre, "") for entry in entries
        )
        directory.refresh_capacities()
        budget.set_members(clock.now_ms(), len(directory.members))
        _set_view_sources(choice, settings, entries)
        targets.set_members(clock.now_ms(), entries)
        members.on_members_listed(entries)

    sinks: dict[Collection, CollectionSink] = {
        Collection.LEAFS: LeafSink(directory),
        Collection.CONFIGURATION: configuration,
        Collection.EVACUATIONS: EvacuationSink(directory),
        Collection.MEMBERS: MemberSink(
            settings.vm, on_members_changed, members.on_entry_absent
        ),
        Collection.CRASHES: CrashSink(reporter),
    }
    errors = registry.counter("oriolegate_unexpected_errors_total")
    caches = {
        collection: ViewCache(GuardedSink(sink, errors))
        for collection, sink in sinks.items()
    }
    followers = {
        collection: Follower(
            collection,
            cache,
            rng,
            contact_ms=bounds.contact_ms,
            # After a restart, this VM no longer remembers which leafs and
            # versions are gone. At the first start of all VMs there are none,
            # and a list that may lag costs a tenth.
            lists_may_lag=settings.first_start
            or collection not in CURRENT_AT_RESTART,
        )
        for collection, cache in caches.items()
    }
    store = StoreRunner(
        reactor,
        clock,
        store_client,
        followers,
        era,
        StoreProbe(reactor, clock, store_client, settings.vm),
    )
    store.count_peers = lambda: len(choice.higher_ranked)
    views = ViewServer(
        reactor,
        clock,
        caches,
        followers,
        # A stopping VM reports its view as unconfirmed, so that its peers
        # switch to another source before the VM exits.
        lambda: store.is_confirmed and not members.is_leaving,
    )
    caches[Collection.CONFIGURATION].on_replaced = views.on_replaced
    seeds = tuple(
        Peer(host, host, settings.internal_ports[0])
        for host in settings.seeds
        if host != settings.host
    )
    feed = PeerFeed(
        reactor, clock, choice, followers, caches, store, era, seeds
    )

    slow_runner = SlowLeafRunner(reactor, clock, directory.slow_leafs)
    slow_runner.send = feed.send_samples
    slow_runner.on_change = views.on_slow_leafs_changed
    directory.on_sample = slow_runner.on_sample
    feed.on_slow_leafs = slow_runner.on_peer_knows
    views.slow_for_ms = lambda: directory.slow_leafs.current(clock.now_ms())

    def on_new_era() -> None:
        # At the first answer of all there is nothing to list anew.
        if any(follower.revision for follower in followers.values()):
            feed.confirm_with_store()

    store_client.on_new_era = on_new_era

    def on_notice(leaf_id: str, notice: LeafNotice) -> None:
        now_ms = clock.now_ms()
        for change in directory.apply_notice(now_ms, leaf_id, notice):
            log.bind(
                leaf=leaf_id,
                limit_per_s=notice.limit_per_s,
                quiet_ms=notice.quiet_ms,
            ).info(change.value)
            if change is LeafChange.LEAVING:
                leaf_client.close_idle(leaf_id)

    leaf_client.on_notice = on_notice
    checker = LeafChecker(reactor, clock, leaf_client, directory, rng)
    directory.on_unverified = checker.verify
    started_ms = clock.now_ms()

    def is_view_current() -> bool:
        # A VM that has just started can't tell whether the store came back
        # from an older copy a moment ago, and which entries lag behind.
        may_lag = era.was_restored and not settings.first_start
        if may_lag and clock.now_ms() < started_ms + bounds.contact_ms:
            return False
        return store.is_current or feed.fallback is not None

    directory.is_view_current = is_view_current
    confirmation = DownConfirmation(clock, leaf_client.contact)
    contact_watch = ContactWatch(
        clock,
        leaf_client.contact,
        directory,
        LeafProber(reactor, clock, leaf_client, directory, rng),
        confirmation,
        targets,
        registry,
    )
    request_log = RequestLog(configuration, registry)
    leaf_outcomes = LeafOutcomes(
        clock, leaf_client, directory, checker, crashes
    )
    latencies = RouteLatencies()
    stop = PlannedStop(latencies)
    runner = ExchangeRunner(
        reactor,
        clock,
        leaf_client,
        ExchangeContext(directory, budget, latencies, stop),
        configuration,
        request_log,
        crashes,
        CrashTrials(
            reactor,
            clock,
            store_client,
            settings.vm,
            directory,
            checker,
            reporter,
            registry,
        ),
        leaf_outcomes,
        RequestHandover(
            clock,
            RequestForwarder(reactor, clock, targets, budget, registry),
            request_log,
            contact_watch.is_cut_off,
        ),
    )
    contact_watch.on_cut_off = runner.on_cut_off
    runner.is_isolated = contact_watch.is_isolated
    forward_server = ForwardServer(
        runner.serve_forwarded, runner.cancel_forwarded
    )
    checker.on_liveness_known = confirmation.on_checked
    confirmation.on_liveness_known = reporter.on_liveness_known
    leaf_outcomes.on_reports_withdrawn = reporter.withdraw
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
        slow_runner=slow_runner,
        contact_watch=contact_watch,
        forward_server=forward_server,
        connections=ServerConnections(
            reactor, clock, settings.limits, registry
        ),
        stop=stop,
    )
