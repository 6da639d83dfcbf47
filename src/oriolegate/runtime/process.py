"""One serving process: what it starts, and what it stops."""

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import task
from twisted.web import server

from oriolegate.logging_setup import get_logger
from oriolegate.network import topology_wire
from oriolegate.network.claim_store import ClaimStore
from oriolegate.network.platform_api import StoredObject
from oriolegate.rules.model import AcceptedRules
from oriolegate.runtime.query_tier import QueryTier
from oriolegate.runtime.store_feed import StoreFeed
from oriolegate.settings.serve import ServeSettings
from oriolegate.upstreams.leaf_state import Grant

if TYPE_CHECKING:
    from oriolegate.runtime.composition import Surroundings

TICK_S = 0.5
RULES_KIND = "rules"
ACCEPTED_NAME = "accepted"

log = get_logger("main")


class Process:
    """One serving process.

    Attributes:
        settings: Its settings.
        tier: The query path.
        ports: Listening ports.
        feeds: What follows the platform's store.
    """

    def __init__(
        self,
        settings: ServeSettings,
        surroundings: "Surroundings",
        tier: QueryTier,
        claim_store: ClaimStore,
        caller_site: server.Site,
        admin_site: server.Site,
    ) -> None:
        self.settings = settings
        self.surroundings = surroundings
        self.tier = tier
        self.claim_store = claim_store
        self.caller_site = caller_site
        self.admin_site = admin_site
        self.ports: list[Any] = []
        self.feeds = [
            self._feed(topology_wire.KIND, self._got_topology),
            self._feed(RULES_KIND, self._got_rules),
        ]
        self.ticker = task.LoopingCall(self._tick)
        self.ticker.clock = surroundings.reactor

    def _feed(self, kind: str, receive: Any) -> StoreFeed:
        surroundings = self.surroundings
        feed = StoreFeed(
            surroundings.platform,
            kind,
            receive,
            surroundings.reactor.callLater,
            surroundings.rng,
        )
        feed.on_listed = self._check_ready
        return feed

    def start(self) -> None:
        """Listen, and follow the platform's store."""
        settings = self.settings
        listen = self.surroundings.reactor.listenTCP
        host = settings.bind_host
        self.ports = [
            listen(settings.admin_port, self.admin_site, interface=host),
            listen(settings.caller_port, self.caller_site, interface=host),
        ]
        for feed in self.feeds:
            feed.start()
        self.ticker.start(TICK_S, now=False)
        log.info("Serving as {} in {}.", settings.vm, settings.data_centre)

    def stop(self) -> None:
        """Stop following the store and close the ports."""
        for feed in self.feeds:
            feed.stop()
        self.claim_store.stop()
        if self.ticker.running:
            self.ticker.stop()
        for port in self.ports:
            port.stopListening()
        for pool in self.tier.client.pools.values():
            pool.close()

    def plan_stop(self) -> None:
        """Stop without cutting a request."""
        log.info("Stopping.")
        self.tier.flow.state.stopping = True
        self.tier.flow.on_idle = self._finish_stop
        if not self.tier.flow.active:
            self._finish_stop()

    def _finish_stop(self) -> None:
        self.stop()
        self.surroundings.reactor.callLater(0.1, self.surroundings.reactor.stop)

    def _tick(self) -> None:
        self.tier.tick()

    def _got_topology(self, item: StoredObject) -> None:
        topology = topology_wire.read_topology(
            item.name, item.version, item.value
        )
        leaf = next(iter(topology.leafs.values()))
        self.tier.take_topology(topology)
        self.tier.take_grant(
            item.name, Grant(leaf.slots, leaf.connections, leaf.cold_slots)
        )

    def _got_rules(self, item: StoredObject) -> None:
        if item.name != ACCEPTED_NAME:
            return
        self.tier.take_rules(
            AcceptedRules(
                item.version,
                str(item.value["text"]),
                str(item.value.get("edit_id", "")),
            )
        )

    def _check_ready(self) -> None:
        if not all(feed.listed for feed in self.feeds):
            return
        if self.tier.accepted is None:
            self.tier.take_rules(AcceptedRules(0, "", ""))
        self.tier.flow.state.ready = True
        log.info("Ready.")
