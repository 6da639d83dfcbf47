"""One entry VM in virtual time: the product's parts on fake surroundings.

The parts are wired as in `runtime.composition`, without listening ports.
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
MAX_CONCURRENT = 100_000
TIMELINE_CAPACITY = 2_000

T = TypeVar("T")


class DistantPlatform:
    """The platform as a VM reaches it: some milliseconds away.

    Answers come to the VM by its own timers, so they wait while it pauses.
    """

    def __init__(
        self, store: PlatformStore, reactor: VirtualReactor, timers: VmTimers
    ) -> None:
        self.inner: Any = InMemoryPlatform(store, reactor)
        self.reactor = reactor
        self.timers = timers

    def __getattr__(self, call: str) -> Any:
        """Return a platform call that takes its time both ways."""
        one_way_s = PLATFORM_ONE_WAY_MS / MS_PER_S

        def ask(*arguments: Any) -> "defer.Deferred[Any]":
            answer: defer.Deferred[Any] = defer.Deferred()

            def carry() -> None:
                inner = getattr(self.inner, call)(*arguments)
                inner.addBoth(
                    lambda result: (
                        self.timers.callLater(
                            one_way_s, answer.callback, result
                        )
                        and None
                    )
                )

            self.reactor.callLater(one_way_s, carry)
            return answer

        return ask


class UnclaimedGate:
    """Lets each request run without a claim, as a tier without claims does."""

    def claim(
        self, request: CallerRequest, limit_ms: float
    ) -> "defer.Deferred[Refusal | None]":
        """Let the request run."""
        return defer.succeed(None)

    def on_outcome(self, request: CallerRequest, outcome: Outcome) -> None:
        """Take the outcome; nothing is recorded."""


class VirtualVm:
    """One entry VM.

    Attributes:
        name: The VM.
        data_centre: Where it is.
        timers: Its timers; they pause with it.
        tier: The query path.
        flow: Takes callers' requests.
        on_topology: Called with each service whose topology was taken over.
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
        self.platform: Any = DistantPlatform(store, reactor, self.timers)
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
            max_concurrent=MAX_CONCURRENT,
        )
        self.tier = QueryTier(reactor, table, runner, client, self.flow)
        self.listed: set[str] = set()
        self.feeds = [
            self._feed(topology_wire.KIND, self._got_topology),
            self._feed("rules", self._got_rules),
        ]
        runner.on_pause = self._paused
        self.on_topology: Any = lambda service: None

    def _feed(
        self, kind: str, receive: Callable[[StoredObject], None]
    ) -> StoreFeed:
        def received(found: ObjectList, complete: bool) -> None:
            for item in found.items:
                receive(item)
            if complete:
                self.listed.add(kind)
                self.flow.state.ready = len(self.listed) == len(self.feeds)

        return StoreFeed(
            self.platform, kind, received, self.timers.callLater, self.rng
        )

    def start(self) -> None:
        """Follow the platform's store, as a starting process does."""
        for feed in self.feeds:
            feed.start()
        self.tier.runner.watch_clock()
        self.timers.callLater(TICK_S, self._tick)

    def _tick(self) -> None:
        self.tier.tick()
        self.timers.callLater(TICK_S, self._tick)

    def _paused(self) -> None:
        """Hold no shares until the store was read, as `ShareRunner` does."""
        held = dict(self.tier.table.grants)
        for service in held:
            self.tier.apply_grant(service, NO_GRANT)

        def confirmed() -> None:
            for service, grant in held.items():
                self.tier.apply_grant(service, grant)

        if any(grant != NO_GRANT for grant in held.values()):
            read_ms = 2 * PLATFORM_ONE_WAY_MS
            self.timers.callLater(read_ms / MS_PER_S, confirmed)

    def _got_topology(self, item: StoredObject) -> None:
        self.tier.apply_topology(
            topology_wire.read_topology(item.name, item.version, item.value)
        )
        self.on_topology(item.name)

    def _got_rules(self, item: StoredObject) -> None:
        self.tier.apply_rules(
            AcceptedRules(item.version, str(item.value["text"]), "")
        )
