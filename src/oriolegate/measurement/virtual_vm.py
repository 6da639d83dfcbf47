"""One entry VM in virtual time: the product's parts on emulated dependencies.

The parts are connected as in `runtime.composition`, without listening ports.
"""

from collections.abc import Callable
import random
from typing import Any
from typing import TypeVar

from twisted.internet import defer

from oriolegate.claims.claim_manager import ClaimManager
from oriolegate.claims.settings import ClaimsSettings
from oriolegate.coordinator.coordinator import Coordinator
from oriolegate.measurement.virtual_time import MS_PER_S
from oriolegate.measurement.virtual_time import VirtualReactor
from oriolegate.measurement.virtual_time import VmTimers
from oriolegate.measurement.virtual_time import WALL_START_MS
from oriolegate.measurement.virtual_upstreams import VirtualClient
from oriolegate.measurement.virtual_upstreams import VirtualDialer
from oriolegate.measurement.virtual_upstreams import VirtualLeaf
from oriolegate.metrics import MetricsRegistry
from oriolegate.models.answer import Outcome
from oriolegate.models.answer import Refusal
from oriolegate.models.request import CallerRequest
from oriolegate.network import topology_wire
from oriolegate.network.claim_store import ClaimStore
from oriolegate.network.platform_api import ObjectList
from oriolegate.network.platform_api import StoredObject
from oriolegate.rules.model import AcceptedRules
from oriolegate.runtime.claim_gate import StoreClaimGate
from oriolegate.runtime.query_runner import QueryRunner
from oriolegate.runtime.query_tier import QueryTier
from oriolegate.runtime.request_flow import RequestFlow
from oriolegate.runtime.store_feed import StoreFeed
from oriolegate.standins.in_memory_platform import InMemoryPlatform
from oriolegate.standins.platform_store import PlatformStore
from oriolegate.timeline.events import EventBuffer
from oriolegate.upstreams.leaf_state import NO_GRANT
from oriolegate.upstreams.leaf_table import LeafTable

PLATFORM_ONE_WAY_MS = 1.0
TICK_S = 0.5
MAX_CONCURRENT_REQUESTS = 100_000
TIMELINE_CAPACITY = 2_000

T = TypeVar("T")


class RemotePlatform:
    """The platform as a VM sees it, with network latency.

    The VM's timers deliver results, so results wait while the VM is paused.

    Attributes:
        inner: The platform without latency.
        reactor: Virtual time.
        timers: Delayed calls of the VM.
    """

    def __init__(
        self, store: PlatformStore, reactor: VirtualReactor, timers: VmTimers
    ) -> None:
        self.inner: Any = InMemoryPlatform(store, reactor)
        self.reactor = reactor
        self.timers = timers

    def __getattr__(self, name: str) -> Any:
        """Return a platform method with the latency of a round trip."""
        one_way_s = PLATFORM_ONE_WAY_MS / MS_PER_S

        def call_remotely(*arguments: Any) -> "defer.Deferred[Any]":
            delivered: defer.Deferred[Any] = defer.Deferred()

            def on_arrived() -> None:
                finished = getattr(self.inner, name)(*arguments)
                finished.addBoth(
                    lambda result: (
                        self.timers.callLater(
                            one_way_s, delivered.callback, result
                        )
                        and None
                    )
                )

            self.reactor.callLater(one_way_s, on_arrived)
            return delivered

        return call_remotely


class NoClaimGate:
    """Lets each request run without a claim, as a tier without claims does."""

    def claim(
        self, request: CallerRequest, limit_ms: float
    ) -> "defer.Deferred[Refusal | None]":
        """Let the request run immediately."""
        return defer.succeed(None)

    def on_outcome(self, request: CallerRequest, outcome: Outcome) -> None:
        """Do nothing: no claim is to be completed."""


class VirtualVm:
    """One entry VM.

    Attributes:
        name: Name of the VM.
        data_centre: Data centre of the VM.
        reactor: Virtual time.
        timers: Delayed calls of the VM; calls wait while the VM is paused.
        platform: Platform that the VM reads.
        rng: Randomness of the VM.
        claim_store: Claims of idempotency keys.
        flow: Handles callers' requests.
        tier: Query path.
        loaded_kinds: Kinds of stored objects that were read completely.
        feeds: Feeds of topology and rules.
        on_topology: Called with the service after a topology was applied.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        reactor: VirtualReactor,
        store: PlatformStore,
        leafs: dict[int, VirtualLeaf],
        latencies_ms: dict[str, float],
        seed: int,
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.reactor = reactor
        self.timers = VmTimers(reactor)
        self.platform: Any = RemotePlatform(store, reactor, self.timers)
        self.rng = random.Random(seed)
        events = EventBuffer(name, WALL_START_MS, TIMELINE_CAPACITY)
        table = LeafTable(data_centre, events)
        runner = QueryRunner(
            Coordinator(table, events), reactor, self.timers.callLater
        )
        process = f"{name}.1"
        dialer = VirtualDialer(process, self.timers, leafs, latencies_ms)
        client = VirtualClient(dialer, reactor, process, runner)
        runner.sender = client
        self.claim_store = ClaimStore(
            self.platform,
            reactor,
            self.timers,
            ClaimManager(name, "1", ClaimsSettings()),
        )
        self.flow = RequestFlow(
            process=process,
            clock=reactor,
            runner=runner,
            claims=StoreClaimGate(self.claim_store, reactor),
            events=events,
            metrics=MetricsRegistry(),
            max_concurrent=MAX_CONCURRENT_REQUESTS,
        )
        self.tier = QueryTier(reactor, table, runner, client, self.flow)
        self.loaded_kinds: set[str] = set()
        self.feeds = [
            self._feed(topology_wire.KIND, self._on_topology_read),
            self._feed("rules", self._on_rules_read),
        ]
        runner.on_pause = self._on_process_paused
        self.on_topology: Any = lambda service: None

    def _feed(
        self, kind: str, on_object: Callable[[StoredObject], None]
    ) -> StoreFeed:
        def on_objects(objects: ObjectList, complete: bool) -> None:
            for stored in objects.items:
                on_object(stored)
            if complete:
                self.loaded_kinds.add(kind)
                self.flow.state.ready = len(self.loaded_kinds) == len(
                    self.feeds
                )

        return StoreFeed(
            self.platform, kind, on_objects, self.timers.callLater, self.rng
        )

    def start(self) -> None:
        """Start the feeds and the periodic tasks, as a process does."""
        for feed in self.feeds:
            feed.start()
        self.tier.runner.watch_clock()
        self.timers.callLater(TICK_S, self._tick)

    def _tick(self) -> None:
        self.tier.tick()
        self.timers.callLater(TICK_S, self._tick)

    def _on_process_paused(self) -> None:
        """Give up the grants until the store is read, as `ShareRunner` does."""
        grants = dict(self.tier.table.grants)
        for service in grants:
            self.tier.apply_grant(service, NO_GRANT)

        def on_store_confirmed() -> None:
            for service, grant in grants.items():
                self.tier.apply_grant(service, grant)

        if any(grant != NO_GRANT for grant in grants.values()):
            read_ms = 2 * PLATFORM_ONE_WAY_MS
            self.timers.callLater(read_ms / MS_PER_S, on_store_confirmed)

    def _on_topology_read(self, stored: StoredObject) -> None:
        self.tier.apply_topology(
            topology_wire.read_topology(
                stored.name, stored.version, stored.value
            )
        )
        self.on_topology(stored.name)

    def _on_rules_read(self, stored: StoredObject) -> None:
        self.tier.apply_rules(
            AcceptedRules(stored.version, str(stored.value["text"]), "")
        )
