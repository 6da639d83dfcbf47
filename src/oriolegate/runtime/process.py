"""A process of the `serve` program: connects, starts and stops its parts."""

from collections.abc import Callable
from typing import Any

import attrs
from twisted.web import server

from oriolegate.claims import messages as claims_messages
from oriolegate.connections.machine_share import ConnectionGroup
from oriolegate.logging_setup import get_logger
from oriolegate.network import graceful_close
from oriolegate.network.claim_store import ClaimStore
from oriolegate.network.server_connections import ServerConnections
from oriolegate.quarantine import messages as quarantine_messages
from oriolegate.runtime.document_runner import DocumentRunner
from oriolegate.runtime.forward_runner import ForwardRunner
from oriolegate.runtime.leaf_update_runner import LeafUpdateRunner
from oriolegate.runtime.peer_runner import PeerRunner
from oriolegate.runtime.process_dependencies import ProcessDependencies
from oriolegate.runtime.quarantine_gate import QuarantineGate
from oriolegate.runtime.query_tier import QueryTier
from oriolegate.runtime.rules_service import RulesService
from oriolegate.runtime.share_runner import ShareRunner
from oriolegate.runtime.stop_runner import StopRunner
from oriolegate.runtime.stop_sequence import CallersCounted
from oriolegate.runtime.stop_sequence import ConnectionsClosed
from oriolegate.runtime.stop_sequence import RunningChanged
from oriolegate.runtime.stop_sequence import SharesHandedOver
from oriolegate.runtime.stop_sequence import StopRequested
from oriolegate.runtime.stop_sequence import StopSequence
from oriolegate.settings.serve import ServeSettings
from oriolegate.timeline.events import EventBuffer
from oriolegate.timeline.events import EventKind

TICK_S = 0.5
FLUSH_S = 0.1  # time to send the last bytes of closed connections
LAST_FORWARDED_S = 0.5  # queries that peers have just forwarded may arrive
HAND_OVER_CHECK_S = 4.0  # interval of checks that all shares are returned
SUPERSEDED_STATUS = 1  # exit status when a newer process of the VM runs

log = get_logger("main")


@attrs.frozen
class ProcessParts:
    """The parts of a process that are started, stopped or queried."""

    tier: QueryTier
    peers: PeerRunner
    documents: DocumentRunner
    rules: RulesService
    shares: ShareRunner
    forwards: ForwardRunner
    leaf_updates: LeafUpdateRunner
    claim_store: ClaimStore
    events: EventBuffer


class Process:
    """A process that serves callers' requests.

    The class connects the callbacks of the parts, and implements the actions
    of `StopRunner`.

    Attributes:
        settings: Settings of the process.
        parts: Parts of the process.
        exit_status: Exit status of the process.
        on_exit: Called once everything is stopped.
    """

    def __init__(
        self,
        settings: ServeSettings,
        dependencies: ProcessDependencies,
        parts: ProcessParts,
        caller_site: server.Site,
        admin_site: server.Site,
        connections: ServerConnections,
    ) -> None:
        self.settings = settings
        self.dependencies = dependencies
        self.parts = parts
        self.caller_site = caller_site
        self.admin_site = admin_site
        self.connections = connections
        connections.report = self._on_connections_refused
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
            dependencies.clock,
            dependencies.call_later,
            parts.events,
        )
        self._connect_parts()

    @property
    def tier(self) -> QueryTier:
        """The part that serves callers' requests."""
        return self.parts.tier

    def _connect_parts(self) -> None:
        parts = self.parts
        parts.tier.flow.on_active_changed = lambda count: (
            self.stop_runner.receive(RunningChanged(count))
        )
        parts.tier.on_topology = parts.shares.choose_homes
        parts.tier.runner.on_pause = parts.shares.on_process_paused
        parts.documents.on_confirmed = self._on_confirmed
        parts.shares.on_returned = lambda: self.stop_runner.receive(
            SharesHandedOver()
        )
        parts.peers.on_superseded = self._on_superseded
        parts.peers.on_paused.append(parts.claim_store.on_paused)
        parts.peers.on_members.append(self._on_members_changed)
        for message_type in (row[1] for row in claims_messages.PEER_MESSAGES):
            parts.peers.handlers[message_type] = (
                parts.claim_store.on_peer_message
            )
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
            peers.handlers[row[1]] = gate.on_peer_message

    def start(self) -> None:
        """Open the ports and start all parts."""
        settings = self.settings
        listen = self.dependencies.reactor.listenTCP
        host = settings.bind_host
        # The peer port is opened first: only the process that holds it may
        # use this VM's shares.
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
            self.parts.leaf_updates,
        ):
            part.start()
        self.parts.tier.runner.watch_clock()
        self._tick()
        self.parts.events.record(
            self.dependencies.clock.now_ms(), EventKind.STARTED
        )
        log.info("Serving as {} in {}.", settings.vm, settings.data_centre)

    def _tick(self) -> None:
        self.parts.tier.tick()
        self.timer = self.dependencies.call_later(TICK_S, self._tick)

    def _on_confirmed(self, confirmed: bool) -> None:
        self.parts.tier.flow.state.ready = confirmed
        log.info(
            "Rules and topologies are confirmed; accepting requests."
            if confirmed
            else "Process was paused; refusing requests until rules and"
            " topologies are confirmed."
        )

    def _on_members_changed(self) -> None:
        vms = sorted(member.vm for member in self.parts.peers.members())
        self.parts.claim_store.on_owners_changed(tuple(vms))
        if self.parts.tier.runner.quarantine is not None:
            self.parts.tier.runner.quarantine.on_members_changed(tuple(vms))

    def _on_superseded(self) -> None:
        log.error("A newer process of this VM is running; exiting.")
        self.parts.tier.flow.state.stopping = True
        self.exit(SUPERSEDED_STATUS)

    def plan_stop(self) -> None:
        """Start the planned stop; a second call has no effect."""
        self.stop_runner.receive(StopRequested())

    def _on_connections_refused(self, refused: dict[str, int]) -> None:
        log.warning(
            "The process is at its limits; connections refused: {}.", refused
        )

    def set_not_ready(self) -> None:
        """Fail the readiness check but continue to serve requests."""
        self.parts.tier.flow.state.leaving = True

    def announce_leaving(self) -> None:
        """Notify peers that this VM accepts no new work."""
        self.parts.peers.leave()

    def close_after_answers(self) -> None:
        """Do nothing: the callers' server closes connections on `leaving`."""

    def stop_accepting(self) -> None:
        """Close the callers' port; open connections are still served."""
        graceful_close.close_port(self.caller_port)
        self.caller_port = None

    def close_idle_callers(self) -> None:
        """Close callers' idle connections; report how many are open."""
        self.connections.close_idle(ConnectionGroup.CALLERS)
        callers = self.connections.open_channels(ConnectionGroup.CALLERS)
        self.stop_runner.receive(CallersCounted(len(callers)))

    def refuse_new(self) -> None:
        """Refuse all further requests as not run."""
        self.parts.tier.flow.state.stopping = True

    def hand_over_shares(self) -> None:
        """Return the shares to the store, each as soon as it is unused.

        If the store is down, the other holders are notified instead, once no
        request runs in this process.
        """
        self.parts.shares.give_back()
        self.dependencies.call_later(HAND_OVER_CHECK_S, self._announce_end)

    def _announce_end(self) -> None:
        if self.timer is None or self.parts.shares.shares.returned:
            return
        if self.parts.tier.flow.active:
            self.dependencies.call_later(HAND_OVER_CHECK_S, self._announce_end)
            return
        for pool in self.tier.client.pools.values():
            pool.close()
        self.parts.shares.announce_end()
        self.stop_runner.receive(SharesHandedOver())

    def answer_running(self) -> None:
        """Answer running requests with partial results."""
        self.parts.tier.runner.answer_all()

    def close_connections(self) -> None:
        """Close connections to upstreams and peers after a short delay.

        A query that a peer forwarded before it was notified of the stop may
        still arrive. It is refused as "not run" and the peer tries another
        VM. If the link were closed, the peer could not know whether the query
        ran.
        """
        self.dependencies.call_later(LAST_FORWARDED_S, self._close)

    def _close(self) -> None:
        self.connections.close_idle(ConnectionGroup.CALLERS)
        self.connections.refuse_incomplete(ConnectionGroup.CALLERS)
        self.stop()
        self.dependencies.call_later(
            FLUSH_S, lambda: self.stop_runner.receive(ConnectionsClosed())
        )

    def exit(self, status: int) -> None:
        """End the process with this status."""
        self.exit_status = status
        self.stop()
        self.on_exit()

    def stop(self) -> None:
        """Close all ports and connections, and cancel all timers."""
        if self.timer is None:
            return
        self.timer.cancel()
        self.timer = None
        for part in (
            self.parts.rules,
            self.parts.documents,
            self.parts.shares,
            self.parts.forwards,
            self.parts.leaf_updates,
            self.parts.claim_store,
            self.parts.peers,
        ):
            part.stop()
        for port in (*self.ports, self.caller_port):
            if port is not None:
                port.stopListening()
        for pool in self.tier.client.pools.values():
            pool.close()
