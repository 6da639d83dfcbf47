"""Composition root of `serve`: creates and connects the parts of a process."""

from oriolegate.claims import messages as claims_messages
from oriolegate.claims.claim_manager import ClaimManager
from oriolegate.claims.settings import ClaimsSettings
from oriolegate.configuration import messages as configuration_messages
from oriolegate.configuration.document_gossip import DocumentGossip
from oriolegate.coordinator.coordinator import Coordinator
from oriolegate.forwarding import messages as forwarding_messages
from oriolegate.membership import messages as membership_messages
from oriolegate.membership.effects import ListedVm
from oriolegate.membership.membership import Membership
from oriolegate.membership.messages import Member
from oriolegate.metrics import MetricsRegistry
from oriolegate.network import admin
from oriolegate.network import caller_resource
from oriolegate.network.claim_store import ClaimStore
from oriolegate.network.peer_codec import PeerCodec
from oriolegate.network.peer_handshake import PeerIdentity
from oriolegate.network.peer_mesh import PeerMesh
from oriolegate.network.server_connections import ServerConnections
from oriolegate.network.upstream_client import UpstreamClient
from oriolegate.quarantine import messages as quarantine_messages
from oriolegate.quarantine.quarantine import Quarantine
from oriolegate.quarantine.settings import QuarantineSettings
from oriolegate.runtime.admin_routes import AdminRoutes
from oriolegate.runtime.claim_gate import StoreClaimGate
from oriolegate.runtime.document_runner import DocumentRunner
from oriolegate.runtime.forward_runner import ForwardRunner
from oriolegate.runtime.leaf_update_runner import LeafUpdateRunner
from oriolegate.runtime.peer_runner import PeerRunner
from oriolegate.runtime.process import Process
from oriolegate.runtime.process import ProcessParts
from oriolegate.runtime.process_dependencies import ProcessDependencies
from oriolegate.runtime.quarantine_gate import QuarantineGate
from oriolegate.runtime.query_runner import QueryRunner
from oriolegate.runtime.query_tier import QueryTier
from oriolegate.runtime.request_flow import RequestFlow
from oriolegate.runtime.rules_service import RulesService
from oriolegate.runtime.share_runner import ShareRunner
from oriolegate.settings.serve import ServeSettings
from oriolegate.shares import messages as shares_messages
from oriolegate.shares.service_share import ShareOwner
from oriolegate.shares.shares import Shares
from oriolegate.timeline.events import EventBuffer
from oriolegate.upstreams import messages as upstreams_messages
from oriolegate.upstreams.leaf_table import LeafTable


def peer_codec() -> PeerCodec:
    """Return the codec for all messages between processes."""
    return PeerCodec(
        membership_messages.PEER_MESSAGES,
        configuration_messages.PEER_MESSAGES,
        shares_messages.PEER_MESSAGES,
        quarantine_messages.PEER_MESSAGES,
        forwarding_messages.PEER_MESSAGES,
        claims_messages.PEER_MESSAGES,
        upstreams_messages.PEER_MESSAGES,
    )


def build_tier(
    settings: ServeSettings,
    dependencies: ProcessDependencies,
    own: Member,
    events: EventBuffer,
    metrics: MetricsRegistry,
    claim_store: ClaimStore,
) -> QueryTier:
    """Create and connect the parts that serve callers' requests."""
    clock = dependencies.clock
    process = f"{own.vm}.{own.incarnation}"
    table = LeafTable(own.data_centre, events)
    coordinator = Coordinator(table, events)
    runner = QueryRunner(coordinator, clock, dependencies.call_later)
    client = UpstreamClient(
        dependencies.reactor, clock, process, runner, own.host
    )
    runner.sender = client
    runner.quarantine = QuarantineGate(
        Quarantine(own.vm, QuarantineSettings(settings.canary)),
        clock,
        dependencies.call_later,
        events,
        runner.feed,
    )
    flow = RequestFlow(
        process=process,
        clock=clock,
        runner=runner,
        claims=StoreClaimGate(claim_store, clock),
        events=events,
        metrics=metrics,
        max_concurrent=settings.max_concurrent_queries,
    )
    return QueryTier(clock, table, runner, client, flow)


def build_peers(
    settings: ServeSettings,
    dependencies: ProcessDependencies,
    own: Member,
    events: EventBuffer,
) -> PeerRunner:
    """Create membership and the links to peers, and connect them."""
    mesh = PeerMesh(
        PeerIdentity(own.vm, own.incarnation, settings.peer_key.encode()),
        peer_codec(),
        dependencies.clock,
        dependencies.reactor,
        dependencies.rng,
        events,
    )
    return PeerRunner(
        Membership(own, dependencies.rng, events),
        mesh,
        dependencies.platform,
        dependencies.clock,
        dependencies.call_later,
        dependencies.rng,
        tuple(
            ListedVm(seed.vm, seed.host, seed.port, seed.data_centre)
            for seed in settings.seed_peers or ()
            if seed.vm != own.vm
        ),
    )


def build_process(
    settings: ServeSettings, dependencies: ProcessDependencies
) -> Process:
    """Create and connect the parts of one process without starting them."""
    clock = dependencies.clock
    call_later = dependencies.call_later
    own = Member(
        settings.vm,
        settings.advertise_host,
        settings.peer_port,
        settings.data_centre,
        settings.incarnation or clock.wall_ms(),
    )
    wall_offset_ms = clock.wall_ms() - clock.now_ms()
    events = EventBuffer(own.vm, wall_offset_ms, settings.timeline_capacity)
    metrics = MetricsRegistry()
    peers = build_peers(settings, dependencies, own, events)
    claim_store = ClaimStore(
        dependencies.platform,
        clock,
        dependencies.reactor,
        ClaimManager(own.vm, str(own.incarnation), ClaimsSettings()),
        peers.mesh.send,
        events,
    )
    tier = build_tier(settings, dependencies, own, events, metrics, claim_store)
    documents = DocumentRunner(
        DocumentGossip(own.vm, own.incarnation, own.data_centre),
        peers,
        dependencies.platform,
        tier,
        clock,
        call_later,
        dependencies.rng,
    )
    owner = ShareOwner(own.vm, own.incarnation, f"{own.host}:{own.peer_port}")
    shares = ShareRunner(
        Shares(owner, dependencies.rng),
        peers,
        dependencies.platform,
        tier,
        clock,
        call_later,
    )
    forwards = ForwardRunner(peers, shares, tier, clock, call_later, events)
    tier.flow.forwarder = forwards
    leaf_updates = LeafUpdateRunner(peers, shares, tier, clock, call_later)
    rules = RulesService(
        own.vm, dependencies.platform, documents, clock, call_later
    )
    parts = ProcessParts(
        tier=tier,
        peers=peers,
        documents=documents,
        rules=rules,
        shares=shares,
        forwards=forwards,
        leaf_updates=leaf_updates,
        claim_store=claim_store,
        events=events,
    )
    routes = AdminRoutes(settings, clock, parts, metrics)
    connections = ServerConnections(
        dependencies.reactor, clock, settings.machine_limits, metrics
    )
    return Process(
        settings=settings,
        dependencies=dependencies,
        parts=parts,
        caller_site=caller_resource.caller_site(
            tier.flow, settings.max_body_bytes, connections
        ),
        admin_site=admin.admin_site(routes, settings.admin_key, connections),
        connections=connections,
    )
