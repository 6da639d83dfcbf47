"""Connections to leafs: carries sub-requests and reports what came of them.

Each leaf has a bounded number of connections, one request in flight on each.
Connections are kept; a new one is opened only when no kept one is free. The
coordinator's limits guarantee that a connection may be opened when it asks
for one; cancellations use a free connection or are left out.
"""

from collections.abc import Callable
from typing import Protocol

import attrs
from loguru import logger
from twisted.internet import protocol as twisted_protocol

from oriolegate.clock import Clock
from oriolegate.coordinator.messages import CancelSub
from oriolegate.coordinator.messages import Event
from oriolegate.coordinator.messages import LeafReport
from oriolegate.coordinator.messages import SendSub
from oriolegate.coordinator.messages import SubAnswered
from oriolegate.coordinator.messages import SubFailed
from oriolegate.coordinator.messages import SubLost
from oriolegate.coordinator.messages import SubNotRun
from oriolegate.coordinator.messages import SubRequestId
from oriolegate.coordinator.messages import SubUnsent
from oriolegate.exceptions import UpstreamMessageError
from oriolegate.models.topology import Leaf
from oriolegate.network import upstream_wire
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


@attrs.define(eq=False)
class _Pending:
    """A sub-request or a cancellation that a connection carries."""

    sub: SubRequestId
    data: bytes
    is_cancel: bool = False


class LeafConnection(twisted_protocol.Protocol):
    """One connection to a leaf.

    Attributes:
        pending: What is in flight, or None while the connection is free.
        closing: True once this process closed the connection itself.
    """

    def __init__(self, pool: "LeafPool") -> None:
        self.pool = pool
        self.reader = upstream_wire.AnswerReader()
        self.pending: _Pending | None = None
        self.closing = False

    def close(self) -> None:
        """Close the connection; what is in flight is lost."""
        self.closing = True
        self.transport.loseConnection()

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        """Tell the pool that the connection is there."""
        self.transport.setTcpNoDelay(True)
        self.pool.connected(self)

    def carry(self, pending: _Pending) -> None:
        """Send one request.

        A connection carries one request, so its buffer is empty and the
        bytes can go to the socket at once; by way of the reactor's write
        event each request would cost two more epoll calls.
        """
        self.pending = pending
        sent = self.transport.writeSomeData(pending.data)
        if isinstance(sent, Exception):
            # The reactor meets the same error and reports the loss.
            sent = 0
        if sent < len(pending.data):
            self.transport.write(pending.data[sent:])

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read answers and hand them to the pool."""
        try:
            answers = self.reader.feed(data)
        except UpstreamMessageError as error:
            logger.warning("upstreams: {}; connection dropped", error.message)
            self.transport.abortConnection()
            return
        for answer in answers:
            pending = self.pending
            self.pending = None
            if pending is None:
                self.transport.abortConnection()
                return
            if answer.keep_alive:
                self.pool.free(self)
            else:
                self.close()
            if not pending.is_cancel:
                self.pool.answered(pending.sub, answer)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Tell the pool that the connection is gone."""
        self.pool.lost(self)


class _Factory(twisted_protocol.ClientFactory):
    noisy = False

    def __init__(self, pool: "LeafPool") -> None:
        self.pool = pool

    def buildProtocol(self, addr: object) -> LeafConnection:  # noqa: N802
        return LeafConnection(self.pool)

    def clientConnectionFailed(  # noqa: N802
        self, connector: object, reason: object
    ) -> None:
        self.pool.connect_failed()


class LeafPool:
    """The connections to one leaf.

    Attributes:
        leaf: Address and limits.
        idle: Free connections, the last used at the end.
        busy: Connections with a request in flight.
        opening: Connections being opened.
        queue: Sub-requests that wait for a connection being opened.
    """

    def __init__(self, client: "UpstreamClient", leaf: Leaf) -> None:
        self.client = client
        self.leaf = leaf
        self.idle: list[LeafConnection] = []
        self.busy: set[LeafConnection] = set()
        self.opening = 0
        self.queue: list[_Pending] = []
        self.opened_total = 0

    @property
    def size(self) -> int:
        """Connections open or being opened."""
        return len(self.idle) + len(self.busy) + self.opening

    def send(self, pending: _Pending) -> None:
        """Send a sub-request on a free connection, or open one."""
        if self.idle:
            self._carry(self.idle.pop(), pending)
            return
        self.queue.append(pending)
        limit = self.client.connection_limit(self.leaf.name)
        if self.opening < len(self.queue) and self.size < limit:
            self._open()
        elif self.opening == 0 and not self.busy:
            self._unsend_queue()

    def _open(self) -> None:
        self.opening += 1
        self.opened_total += 1
        self.client.reactor.connectTCP(
            self.leaf.host,
            self.leaf.port,
            _Factory(self),
            timeout=CONNECT_TIMEOUT_S,
            bindAddress=(self.client.source_host, 0),
        )

    def _carry(self, connection: LeafConnection, pending: _Pending) -> None:
        self.busy.add(connection)
        connection.carry(pending)

    def cancel(self, pending: _Pending) -> None:
        """Send a cancellation if a connection is free."""
        for index, queued in enumerate(self.queue):
            if queued.sub == pending.sub:
                del self.queue[index]
                self.client.report(SubUnsent(pending.sub, self.leaf.name))
                return
        if self.idle:
            self._carry(self.idle.pop(), pending)

    def connected(self, connection: LeafConnection) -> None:
        """Use a connection that was just opened."""
        self.opening -= 1
        self.client.connection_opened(self.leaf.name)
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
        self.client.report(self._event(sub, answer))

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
            self.client.connection_lost(self.leaf.name)
        pending = connection.pending
        connection.pending = None
        if pending is not None and not pending.is_cancel:
            # The caller may send again at once, so the loss is told first.
            self.client.report(SubLost(pending.sub, self.leaf.name))
        if self.queue and self.size == 0:
            self._unsend_queue()

    def connect_failed(self) -> None:
        """Report sub-requests that can't be sent."""
        self.opening -= 1
        self.client.observer.connect_failed(self.leaf.name)
        if self.queue and not self.busy:
            self._unsend_queue()

    def _unsend_queue(self) -> None:
        queue = self.queue
        self.queue = []
        for pending in queue:
            self.client.report(SubUnsent(pending.sub, self.leaf.name))

    def trim(self, limit: int) -> None:
        """Close free connections while there are more than `limit`."""
        for connection in list(self.idle)[: max(0, self.size - limit)]:
            self.idle.remove(connection)
            connection.close()

    def close(self) -> None:
        """Close free connections; busy ones end with their request."""
        for connection in list(self.idle):
            connection.close()


class UpstreamClient:
    """All connections to leafs of this process."""

    def __init__(
        self,
        reactor: ClientReactor,
        clock: Clock,
        process: str,
        observer: "UpstreamObserver",
        source_host: str = "127.0.0.1",
    ) -> None:
        """Make a client without connections.

        Args:
            reactor: Opens connections.
            clock: Stamps reports.
            process: Makes query numbers unique over all VMs.
            observer: Gets reports and gives limits.
            source_host: IP number that connections are opened from.
        """
        self.reactor = reactor
        self.clock = clock
        self.process = process.encode("ascii")
        self.observer = observer
        self.source_host = source_host
        self.pools: dict[str, LeafPool] = {}
        self.connection_limit: Callable[[str], int] = observer.connection_limit
        self.report: Callable[[Event], None] = observer.sub_report

    def set_leaf(self, leaf: Leaf) -> None:
        """Add a leaf, or move it to another address."""
        pool = self.pools.get(leaf.name)
        if pool is not None:
            if (pool.leaf.host, pool.leaf.port) == (leaf.host, leaf.port):
                pool.leaf = leaf
                return
            pool.close()
        self.pools[leaf.name] = LeafPool(self, leaf)

    def remove_leaf(self, name: str) -> None:
        """Close the connections to a leaf that is no longer used."""
        pool = self.pools.pop(name, None)
        if pool is not None:
            pool.close()

    def send(self, effect: SendSub) -> None:
        """Carry out a `SendSub`."""
        pool = self.pools.get(effect.leaf)
        if pool is None:
            self.report(SubUnsent(effect.sub, effect.leaf))
            return
        data = upstream_wire.query_bytes(self.process, effect)
        pool.send(_Pending(effect.sub, data))

    def cancel(self, effect: CancelSub) -> None:
        """Carry out a `CancelSub`."""
        pool = self.pools.get(effect.leaf)
        if pool is not None:
            data = upstream_wire.cancel_bytes(self.process, effect.sub)
            pool.cancel(_Pending(effect.sub, data, is_cancel=True))

    def connection_opened(self, leaf: str) -> None:
        """Tell the observer of a new connection."""
        self.observer.connection_opened(leaf)

    def connection_lost(self, leaf: str) -> None:
        """Tell the observer of a lost connection."""
        self.observer.connection_lost(leaf)


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
