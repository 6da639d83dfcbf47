"""The connections to one leaf, within this process's part of its limit.

A new connection is opened only when no kept one is free. The coordinator's
limits guarantee that one may be opened when a sub-request needs it;
cancellations use a free connection or are left out.
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
    """Who wants to know what happens at the leafs."""

    def sub_report(self, event: Event) -> None:
        """Take what came of a sub-request."""
        ...

    def connection_limit(self, leaf: str) -> int:
        """Return how many connections to the leaf may be open."""
        ...

    def connection_opened(self, leaf: str) -> None:
        """Take that a connection was opened."""
        ...

    def connection_lost(self, leaf: str) -> None:
        """Take that a connection was lost."""
        ...

    def connect_failed(self, leaf: str) -> None:
        """Take that a connection could not be opened."""
        ...


class LeafPool:
    """The connections to one leaf.

    Attributes:
        leaf: Address and limits.
        idle: Free connections, the last used at the end.
        busy: Connections with a request in flight.
        opening: Connections being opened.
        queue: Sub-requests that wait for a connection being opened.
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
        """Connections open or being opened."""
        return len(self.idle) + len(self.busy) + self.opening

    def send(self, pending: PendingRequest) -> None:
        """Send a sub-request on a free connection, or open one."""
        if self.idle:
            self._carry(self.idle.pop(), pending)
            return
        self.queue.append(pending)
        limit = self.observer.connection_limit(self.leaf.name)
        if self.opening < len(self.queue) and self.size < limit:
            self._open()
        elif self.opening == 0 and not self.busy:
            self._unsend_queue()

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

    def _carry(
        self, connection: LeafConnection, pending: PendingRequest
    ) -> None:
        self.busy.add(connection)
        connection.carry(pending)

    def cancel(self, pending: PendingRequest) -> None:
        """Send a cancellation if a connection is free."""
        for index, queued in enumerate(self.queue):
            if queued.sub == pending.sub:
                del self.queue[index]
                self.observer.sub_report(SubUnsent(pending.sub, self.leaf.name))
                return
        if self.idle:
            self._carry(self.idle.pop(), pending)

    def connected(self, connection: LeafConnection) -> None:
        """Use a connection that was just opened."""
        self.opening -= 1
        self.observer.connection_opened(self.leaf.name)
        self._use(connection)

    def free(self, connection: LeafConnection) -> None:
        """Use a connection whose request is finished."""
        self.busy.discard(connection)
        self._use(connection)

    def _use(self, connection: LeafConnection) -> None:
        if self.queue:
            self._carry(connection, self.queue.pop(0))
        else:
            self.idle.append(connection)

    def answered(self, sub: SubRequestId, answer: WireAnswer) -> None:
        """Report an answer to the coordinator."""
        self.observer.sub_report(self._event(sub, answer))

    def _event(self, sub: SubRequestId, answer: WireAnswer) -> Event:
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

    def lost(self, connection: LeafConnection) -> None:
        """Report a lost connection and what was in flight on it."""
        if connection in self.idle:
            self.idle.remove(connection)
        self.busy.discard(connection)
        if not connection.closing:
            self.observer.connection_lost(self.leaf.name)
        pending = connection.pending
        connection.pending = None
        if pending is not None and not pending.is_cancel:
            # The caller may send again at once, so the loss is told first.
            self.observer.sub_report(SubLost(pending.sub, self.leaf.name))
        if self.queue and self.size == 0:
            self._unsend_queue()

    def connect_failed(self) -> None:
        """Report sub-requests that can't be sent."""
        self.opening -= 1
        self.observer.connect_failed(self.leaf.name)
        if self.queue and not self.busy:
            self._unsend_queue()

    def _unsend_queue(self) -> None:
        queue = self.queue
        self.queue = []
        for pending in queue:
            self.observer.sub_report(SubUnsent(pending.sub, self.leaf.name))

    def trim(self, limit: int) -> None:
        """Close free connections while there are more than `limit`."""
        for connection in list(self.idle)[: max(0, self.size - limit)]:
            self.idle.remove(connection)
            connection.close()

    def close(self) -> None:
        """Close free connections; busy ones end with their request."""
        for connection in list(self.idle):
            connection.close()
