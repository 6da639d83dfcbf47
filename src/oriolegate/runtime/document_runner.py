"""Connect the document gossip to the store, the peers and the query tier.

Document gossip is the state machine that distributes versions of the rules and
topologies. Each document that the gossip accepts is applied to the query tier.
"""

from collections.abc import Callable
import json
import random
from typing import Any

from oriolegate.clock import Clock
from oriolegate.configuration import effects
from oriolegate.configuration import messages
from oriolegate.configuration.document_gossip import DocumentGossip
from oriolegate.configuration.messages import DocumentKey
from oriolegate.configuration.messages import VersionedDocument
from oriolegate.exceptions import PlatformError
from oriolegate.logging_setup import get_logger
from oriolegate.membership.effects import Send
from oriolegate.membership.messages import MemberState
from oriolegate.network import topology_wire
from oriolegate.network.platform_api import ObjectList
from oriolegate.network.platform_api import Platform
from oriolegate.rules.model import AcceptedRules
from oriolegate.runtime.peer_runner import PeerRunner
from oriolegate.runtime.query_tier import QueryTier
from oriolegate.runtime.store_feed import StoreFeed

TICK_S = 0.25
PEER_MESSAGE_TYPES = tuple(row[1] for row in messages.PEER_MESSAGES)

log = get_logger("config")


class DocumentRunner:
    """Runs the document gossip of one process.

    Attributes:
        gossip: The state machine of the document gossip.
        feeds: Active watches on the store, by kind.
        on_confirmed: Called with whether the versions in this process are
            confirmed; only then may the process accept requests.
    """

    def __init__(
        self,
        gossip: DocumentGossip,
        peers: PeerRunner,
        platform: Platform,
        tier: QueryTier,
        clock: Clock,
        call_later: Callable[..., Any],
        rng: random.Random,
    ) -> None:
        self.gossip = gossip
        self.peers = peers
        self.platform = platform
        self.tier = tier
        self.clock = clock
        self.call_later = call_later
        self.rng = rng
        self.feeds: dict[str, StoreFeed] = {}
        self.on_confirmed: Callable[[bool], None] = lambda _: None
        self.timer: Any = None
        self.stopped = False
        for message_type in PEER_MESSAGE_TYPES:
            peers.handlers[message_type] = self._on_message
        peers.on_linked.append(lambda vm: self.step(effects.PeerLinked(vm)))
        peers.on_lost.append(lambda vm: self.step(effects.PeerLost(vm)))
        peers.on_members.append(self._report_possible_members)
        peers.on_paused.append(lambda: self.step(effects.ProcessPaused()))
        peers.on_digests = lambda vm, digests: self.step(
            effects.PeerDigest(vm, digests)
        )

    def start(self) -> None:
        """Start the tick and thereby the gossip."""
        self._report_possible_members()
        self._tick()

    def stop(self) -> None:
        """Stop all watches and ignore further events."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        for feed in self.feeds.values():
            feed.stop()

    def on_rules_written(self, accepted: AcceptedRules) -> None:
        """Distribute a version of the rules that this process wrote."""
        document = messages.rules_document(accepted)
        self.step(effects.DocumentWritten(document))

    def _on_message(self, vm: str, message: object) -> None:
        self.step(effects.Received(vm, message))

    def _tick(self) -> None:
        self.step(effects.Tick())
        self.timer = self.call_later(TICK_S, self._tick)

    def _report_possible_members(self) -> None:
        entries = tuple(
            effects.PossibleMember(
                member.vm,
                member.data_centre,
                member.incarnation,
                member.state in (MemberState.LIVE, MemberState.LEAVING),
            )
            for member in self.peers.membership.possible_members()
        )
        self.step(effects.MembersUpdated(entries))

    def step(self, event: effects.GossipEvent) -> None:
        """Feed one event and carry out its effects."""
        if self.stopped:
            return
        for effect in self.gossip.step(self.clock.now_ms(), event):
            self._carry_out(effect)

    def _carry_out(self, effect: effects.GossipEffect) -> None:
        match effect:
            case effects.DocumentAccepted(document):
                self._accept(document)
            case Send(vm, message):
                self.peers.mesh.send(vm, message)
            case effects.WatchStore(kind):
                self._watch(kind)
            case effects.UnwatchStore(kind):
                feed = self.feeds.pop(kind, None)
                if feed is not None:
                    feed.stop()
            case effects.ReadStore(kind):
                self._read_once(kind)
            case effects.DigestsChanged(digests):
                self.peers.set_digests(digests)
            case effects.VersionsConfirmed():
                if self.tier.accepted is None:
                    self.tier.apply_rules(AcceptedRules(0, "", ""))
                self.on_confirmed(True)
            case effects.VersionsUnconfirmed():
                self.on_confirmed(False)
            case effects.IsolationChanged(isolated):
                log.warning(
                    "Isolation from the store and all peers changed to {};"
                    " updating the readiness check.",
                    isolated,
                )
                self.tier.flow.state.isolated = isolated

    def _accept(self, document: VersionedDocument) -> None:
        key = document.key
        try:
            if key.kind == messages.RULES_KIND:
                self.tier.apply_rules(messages.accepted_rules(document))
                return
            topology = topology_wire.read_topology(
                key.name, document.version, json.loads(document.payload)
            )
        except (PlatformError, ValueError) as error:
            log.error(
                "{} {} can't be parsed; keeping the present version: {}",
                key.kind,
                key.name,
                error,
            )
            return
        self.tier.apply_topology(topology)

    def _watch(self, kind: str) -> None:
        if kind in self.feeds:
            return
        feed = StoreFeed(
            self.platform,
            kind,
            lambda objects, complete: self._on_store_read(
                kind, objects, complete
            ),
            self.call_later,
            self.rng,
        )
        self.feeds[kind] = feed
        feed.start()

    def _read_once(self, kind: str) -> None:
        call = self.platform.list(kind)
        call.addCallbacks(
            lambda objects: self._on_store_read(kind, objects, True),
            lambda _: None,
        )

    def _on_store_read(
        self, kind: str, objects: ObjectList, complete: bool
    ) -> None:
        documents = tuple(
            VersionedDocument(
                DocumentKey(kind, stored.name),
                stored.version,
                json.dumps(stored.value, sort_keys=True).encode(),
            )
            for stored in objects.items
        )
        self.step(effects.StoreRead(kind, documents, complete))
