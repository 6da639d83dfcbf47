"""Connection pool of one leaf, within this process's share of the leaf's limit.

A connection is opened only when no connection is idle. The coordinator's limits
guarantee that the pool may open a connection when a sub-request needs it. A
cancellation is sent only if a connection is idle.
"""

from typing import Protocol

from twisted.internet import protocol as twisted_protocol

from oriolegate.coordinator.messages import Event
from oriolegate.coordinator.messages import LeafReport
from oriolegate.coordinator.messages import SubAnswered
from oriolegate.coordinator.messages import SubFailed
from oriolegate.coordinator.messages import SubLost
from oriolegate.coordinator.messages import SubNotRun
from oriolegate.coordinator.messages import SubRequestId
from oriolegate.coordinator.messages import SubUnsent
from oriolegate.exceptions import UpstreamMessageError
from oriolegate.models.topology import Leaf
from oriolegate.network import upstream_wire
from oriolegate.network.leaf_connection import ConnectionFactory
from oriolegate.network.leaf_connection import LeafConnection
from oriolegate.network.leaf_connection import PendingRequest
from oriolegate.network.upstream_wire import WireAnswer
from oriolegate.upstreams.leaf_state import ReportedState

CONNECT_TIMEOUT_S = 1.0


class ClientReactor(Protocol):
    """The part of the reactor that opens connections."""

    def connectTCP(  # noqa: N802 (Twisted's name)
        self,
        host: str,
        port: int,
        factory: twisted_protocol.ClientFactory,
        timeout: float = 30.0,
        bindAddress: tuple[str, int] | None = None,  # noqa: N803
    ) -> object:
        """Open a connection."""
        ...


class UpstreamObserver(Protocol):
    """Receives sub-request and connection events; provides limits."""

    def sub_request_finished(self, event: Event) -> None:
        """Handle the outcome of a sub-request."""
        ...

    def connection_limit(self, leaf: str) -> int:
        """Return the maximum number of connections to the leaf."""
        ...

    def connection_opened(self, leaf: str) -> None:
        """Handle an opened connection."""
        ...

    def connection_lost(self, leaf: str) -> None:
        """Handle a lost connection."""
        ...

    def connect_failed(self, leaf: str) -> None:
        """Handle a failed attempt to connect."""
        ...


class LeafPool:
    """Connection pool of one leaf.

    Attributes:
        leaf: Address and limits.
        idle: Connections without a request, the last used at the end.
        busy: Connections with a request in flight.
        opening: Number of connections being opened.
        queue: Sub-requests waiting for a connection.
        opened_total: Number of attempts to open a connection.
    """

    def __init__(
        self,
        leaf: Leaf,
        reactor: ClientReactor,
        observer: UpstreamObserver,
        source_host: str,
    ) -> None:
        self.reactor = reactor
        self.observer = observer
        self.source_host = source_host
        self.leaf = leaf
        self.idle: list[LeafConnection] = []
        self.busy: set[LeafConnection] = set()
        self.opening = 0
        self.queue: list[PendingRequest] = []
        self.opened_total = 0

    @property
    def size(self) -> int:
        """Number of connections open or being opened."""
        return len(self.idle) + len(self.busy) + self.opening

    def send(self, pending: PendingRequest) -> None:
        """Send a sub-request on an idle connection, or open one."""
        if self.idle:
            self._send_on(self.idle.pop(), pending)
            return
        self.queue.append(pending)
        limit = self.observer.connection_limit(self.leaf.name)
        if self.opening < len(self.queue) and self.size < limit:
            self._open()
        elif self.opening == 0 and not self.busy:
            self._report_queue_unsent()

    def _open(self) -> None:
        self.opening += 1
        self.opened_total += 1
        self.reactor.connectTCP(
            self.leaf.host,
            self.leaf.port,
            ConnectionFactory(self),
            timeout=CONNECT_TIMEOUT_S,
            bindAddress=(self.source_host, 0),
        )

    def _send_on(
        self, connection: LeafConnection, pending: PendingRequest
    ) -> None:
        self.busy.add(connection)
        connection.send_request(pending)

    def cancel(self, pending: PendingRequest) -> None:
        """Drop a queued sub-request, or cancel it on an idle connection."""
        for index, queued in enumerate(self.queue):
            if queued.sub == pending.sub:
                del self.queue[index]
                self.observer.sub_request_finished(
                    SubUnsent(pending.sub, self.leaf.name)
                )
                return
        if self.idle:
            self._send_on(self.idle.pop(), pending)

    def on_connected(self, connection: LeafConnection) -> None:
        """Use a connection that was just opened."""
        self.opening -= 1
        self.observer.connection_opened(self.leaf.name)
        self._assign(connection)

    def on_idle(self, connection: LeafConnection) -> None:
        """Reuse a connection that got the answer to its request."""
        self.busy.discard(connection)
        self._assign(connection)

    def _assign(self, connection: LeafConnection) -> None:
        if self.queue:
            self._send_on(connection, self.queue.pop(0))
        else:
            self.idle.append(connection)

    def on_answer(self, sub: SubRequestId, answer: WireAnswer) -> None:
        """Report an answer to the observer."""
        self.observer.sub_request_finished(self._event_of(sub, answer))

    def _event_of(self, sub: SubRequestId, answer: WireAnswer) -> Event:
        state = answer.state or ReportedState.COLD
        report = LeafReport(self.leaf.name, state, answer.incarnation)
        if answer.shard != sub.shard or answer.attempt != sub.attempt:
            return SubFailed(sub, report)
        if answer.status == 200:
            try:
                results = upstream_wire.decode_results(answer.body)
            except UpstreamMessageError:
                return SubFailed(sub, report)
            return SubAnswered(sub, report, answer.index_version, results)
        if answer.status == 503 and answer.not_run:
            return SubNotRun(sub, report, answer.not_run)
        return SubFailed(sub, report)

    def on_lost(self, connection: LeafConnection) -> None:
        """Report a lost connection and its sub-request in flight."""
        if connection in self.idle:
            self.idle.remove(connection)
        self.busy.discard(connection)
        if not connection.closing:
            self.observer.connection_lost(self.leaf.name)
        pending = connection.pending
        connection.pending = None
        if pending is not None and not pending.is_cancel:
            # The coordinator may retry immediately, so the connection loss is
            # reported first.
            self.observer.sub_request_finished(
                SubLost(pending.sub, self.leaf.name)
            )
        if self.queue and self.size == 0:
            self._report_queue_unsent()

    def on_connect_failed(self) -> None:
        """Report a failed attempt to connect and the unsent sub-requests."""
        self.opening -= 1
        self.observer.connect_failed(self.leaf.name)
        if self.queue and not self.busy:
            self._report_queue_unsent()

    def _report_queue_unsent(self) -> None:
        queue = self.queue
        self.queue = []
        for pending in queue:
            self.observer.sub_request_finished(
                SubUnsent(pending.sub, self.leaf.name)
            )

    def trim(self, limit: int) -> None:
        """Close idle connections while the pool is larger than `limit`."""
        for connection in list(self.idle)[: max(0, self.size - limit)]:
            self.idle.remove(connection)
            connection.close()

    def close(self) -> None:
        """Close idle connections; busy connections finish their request."""
        for connection in list(self.idle):
            connection.close()
