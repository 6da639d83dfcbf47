"""One serving process: what it starts, and how it stops."""

from collections.abc import Callable
from typing import Any

import attrs
from twisted.web import server

from oriolegate.claims import messages as claims_messages
from oriolegate.logging_setup import get_logger
from oriolegate.network.claim_store import ClaimStore
from oriolegate.quarantine import messages as quarantine_messages
from oriolegate.runtime.document_runner import DocumentRunner
from oriolegate.runtime.forward_runner import ForwardRunner
from oriolegate.runtime.leaf_news_runner import LeafNewsRunner
from oriolegate.runtime.peer_runner import PeerRunner
from oriolegate.runtime.quarantine_gate import QuarantineGate
from oriolegate.runtime.query_tier import QueryTier
from oriolegate.runtime.rules_service import RulesService
from oriolegate.runtime.share_runner import ShareRunner
from oriolegate.runtime.stop_runner import StopRunner
from oriolegate.runtime.stop_sequence import ConnectionsClosed
from oriolegate.runtime.stop_sequence import RunningChanged
from oriolegate.runtime.stop_sequence import SharesHandedOver
from oriolegate.runtime.stop_sequence import StopRequested
from oriolegate.runtime.stop_sequence import StopSequence
from oriolegate.runtime.surroundings import Surroundings
from oriolegate.settings.serve import ServeSettings
from oriolegate.timeline.events import EventBuffer
from oriolegate.timeline.events import EventKind

TICK_S = 0.5
CLOSE_S = 0.1
LAST_FORWARDS_S = 0.5
HAND_OVER_S = 4.0
SUPERSEDED_STATUS = 1

log = get_logger("main")


@attrs.frozen
class ProcessParts:
    """The running parts of a process."""

    tier: QueryTier
    peers: PeerRunner
    documents: DocumentRunner
    rules: RulesService
    shares: ShareRunner
    forwards: ForwardRunner
    news: LeafNewsRunner
    claim_store: ClaimStore
    events: EventBuffer


class Process:
    """One serving process.

    Attributes:
        settings: Its settings.
        parts: Its running parts.
        exit_status: What the process ends with.
        on_exit: Called once the process has nothing left to do.
    """

    def __init__(
        self,
        settings: ServeSettings,
        surroundings: Surroundings,
        parts: ProcessParts,
        caller_site: server.Site,
        admin_site: server.Site,
    ) -> None:
        self.settings = settings
        self.surroundings = surroundings
        self.parts = parts
        self.caller_site = caller_site
        self.admin_site = admin_site
        self.caller_port: Any = None
        self.ports: list[Any] = []
        self.timer: Any = None
        self.exit_status = 0
        self.on_exit: Callable[[], None] = lambda: None
        sequence = StopSequence(
            settings.balancer_notice_ms, settings.stop_limit_ms
        )
        self.stop_runner = StopRunner(
            sequence,
            self,
            surroundings.clock,
            surroundings.call_later,
            parts.events,
        )
        self._connect_parts()

    @property
    def tier(self) -> QueryTier:
        """The query path."""
        return self.parts.tier

    def _connect_parts(self) -> None:
        parts = self.parts
        parts.tier.flow.on_change = lambda count: self.stop_runner.receive(
            RunningChanged(count)
        )
        parts.tier.on_topology = parts.shares.choose_homes
        parts.tier.runner.on_pause = parts.shares.paused
        parts.documents.on_confirmed = self._confirmed
        parts.shares.on_returned = lambda: self.stop_runner.receive(
            SharesHandedOver()
        )
        parts.peers.on_superseded = self._superseded
        parts.peers.on_paused.append(parts.claim_store.paused)
        parts.peers.on_members.append(self._owners_changed)
        for message_type in (row[1] for row in claims_messages.PEER_MESSAGES):
            parts.peers.handlers[message_type] = parts.claim_store.peer_message
        gate = parts.tier.runner.quarantine
        if gate is not None:
            self._connect_quarantine(gate)

    def _connect_quarantine(self, gate: QuarantineGate) -> None:
        peers = self.parts.peers

        def broadcast(message: object) -> None:
            for member in peers.members():
                if member.vm != peers.membership.own.vm:
                    peers.mesh.send(member.vm, message)

        gate.send_to_peer = peers.mesh.send
        gate.broadcast = broadcast
        for row in quarantine_messages.PEER_MESSAGES:
            peers.handlers[row[1]] = gate.peer_message

    def start(self) -> None:
        """Listen, look for peers, and follow the platform's store."""
        settings = self.settings
        listen = self.surroundings.reactor.listenTCP
        host = settings.bind_host
        # The peer port comes first: who holds it is the only process that
        # may use this VM's shares.
        self.ports = [
            self.parts.peers.start(host, settings.peer_port),
            listen(settings.admin_port, self.admin_site, interface=host),
        ]
        self.caller_port = listen(
            settings.caller_port, self.caller_site, interface=host
        )
        for part in (
            self.parts.documents,
            self.parts.shares,
            self.parts.forwards,
            self.parts.news,
        ):
            part.start()
        self.parts.tier.runner.watch_clock()
        self._tick()
        self.parts.events.record(
            self.surroundings.clock.now_ms(), EventKind.STARTED
        )
        log.info("Serving as {} in {}.", settings.vm, settings.data_centre)

    def _tick(self) -> None:
        self.parts.tier.tick()
        self.timer = self.surroundings.call_later(TICK_S, self._tick)

    def _confirmed(self, confirmed: bool) -> None:
        self.parts.tier.flow.state.ready = confirmed
        log.info("Ready." if confirmed else "Not ready after a pause.")

    def _owners_changed(self) -> None:
        vms = sorted(member.vm for member in self.parts.peers.members())
        self.parts.claim_store.owners_changed(tuple(vms))
        if self.parts.tier.runner.quarantine is not None:
            self.parts.tier.runner.quarantine.members_changed(tuple(vms))

    def _superseded(self) -> None:
        log.error("A newer process of this VM runs; this one ends.")
        self.parts.tier.flow.state.stopping = True
        self.exit(SUPERSEDED_STATUS)

    def plan_stop(self) -> None:
        """Begin the planned stop; a second call changes nothing."""
        self.stop_runner.receive(StopRequested())

    def set_not_ready(self) -> None:
        """Fail the readiness check; go on serving."""
        self.parts.tier.flow.state.leaving = True

    def announce_leaving(self) -> None:
        """Tell peers that this VM leaves."""
        self.parts.peers.leave()

    def close_after_answers(self) -> None:
        """Do nothing more: the front closes connections while leaving."""

    def stop_accepting(self) -> None:
        """Close the callers' port; its connections are still served."""
        self.caller_port.stopListening()
        self.caller_port = None

    def hand_over_shares(self) -> None:
        """Give shares back, each as soon as it is unused.

        With the store down the holders that are left are told instead, once
        nothing runs here any more.
        """
        self.parts.shares.give_back()
        self.surroundings.call_later(HAND_OVER_S, self._farewell)

    def _farewell(self) -> None:
        if self.timer is None or self.parts.shares.shares.returned:
            return
        if self.parts.tier.flow.active:
            self.surroundings.call_later(HAND_OVER_S, self._farewell)
            return
        self.parts.tier.flow.state.stopping = True
        for pool in self.tier.client.pools.values():
            pool.close()
        self.parts.shares.farewell()
        self.stop_runner.receive(SharesHandedOver())

    def answer_running(self) -> None:
        """Answer what runs with what is there, and refuse what comes."""
        self.parts.tier.flow.state.stopping = True
        self.parts.tier.runner.answer_all()

    def close_connections(self) -> None:
        """Close connections to upstreams and peers.

        A query that a peer forwarded before it heard of the stop may still
        be on its way; it is refused "not run", and the peer asks another
        home. A closed link would leave its fate open.
        """
        self.surroundings.call_later(LAST_FORWARDS_S, self._close)

    def _close(self) -> None:
        self.stop()
        self.surroundings.call_later(
            CLOSE_S, lambda: self.stop_runner.receive(ConnectionsClosed())
        )

    def exit(self, status: int) -> None:
        """End the process with this status."""
        self.exit_status = status
        self.stop()
        self.on_exit()

    def stop(self) -> None:
        """Close all ports and connections, and stop all timers."""
        if self.timer is None:
            return
        self.timer.cancel()
        self.timer = None
        for part in (
            self.parts.rules,
            self.parts.documents,
            self.parts.shares,
            self.parts.forwards,
            self.parts.news,
            self.parts.claim_store,
            self.parts.peers,
        ):
            part.stop()
        for port in (*self.ports, self.caller_port):
            if port is not None:
                port.stopListening()
        for pool in self.tier.client.pools.values():
            pool.close()
