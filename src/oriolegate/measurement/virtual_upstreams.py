"""Leafs and connections in virtual time, without sockets or bytes.

The product's own connection pools use these upstreams: the pools open
connections through `VirtualDialer`, and the leaf models enforce their limits.
"""

import itertools
from typing import Any

import attrs
from twisted.internet import protocol as twisted_protocol

from oriolegate.coordinator.messages import CancelSub
from oriolegate.coordinator.messages import SendSub
from oriolegate.coordinator.messages import SubRequestId
from oriolegate.coordinator.messages import SubUnsent
from oriolegate.measurement.request_ledger import RequestLedger
from oriolegate.measurement.virtual_time import MS_PER_S
from oriolegate.measurement.virtual_time import VirtualReactor
from oriolegate.measurement.virtual_time import VmTimers
from oriolegate.network.upstream_client import UpstreamClient
from oriolegate.network.upstream_wire import WireAnswer
from oriolegate.standins import leaf_documents
from oriolegate.standins.leaf_messages import CloseConnections
from oriolegate.standins.leaf_messages import Effect
from oriolegate.standins.leaf_messages import Query
from oriolegate.standins.leaf_messages import Respond
from oriolegate.standins.leaf_messages import RunUntil
from oriolegate.standins.leaf_model import LeafModel
from oriolegate.upstreams.leaf_state import ReportedState


@attrs.define(eq=False)
class VirtualRequest:
    """Request that a pool sends; replaces the pools' `PendingRequest`.

    Attributes:
        sub: Id of the attempt.
        effect: Sub-request to send, or None for a cancellation.
    """

    sub: SubRequestId
    effect: SendSub | None

    @property
    def is_cancel(self) -> bool:
        """Whether this request is a cancellation."""
        return self.effect is None


class VirtualLeaf:
    """One leaf model and its connections from all VMs.

    Attributes:
        model: Decides how the leaf responds.
        data_centre: Data centre of the leaf.
        reactor: Virtual time.
        ledger: Record of what all leafs received and ran.
        connections: Open connections by number.
        numbers: Numbers for new connections.
    """

    def __init__(
        self,
        model: LeafModel,
        data_centre: str,
        reactor: VirtualReactor,
        ledger: RequestLedger,
    ) -> None:
        self.model = model
        self.data_centre = data_centre
        self.reactor = reactor
        self.ledger = ledger
        self.connections: dict[int, VirtualConnection] = {}
        self.numbers = itertools.count(1)

    def on_connection_opened(self, connection: "VirtualConnection") -> None:
        """Accept a connection from a VM."""
        self.connections[connection.number] = connection
        now_ms = self.reactor.now_ms()
        self.carry_out(
            self.model.on_connection_opened(now_ms, connection.number)
        )

    def on_connection_closed(self, connection: "VirtualConnection") -> None:
        """Handle a connection that a VM closed."""
        if self.connections.pop(connection.number, None) is not None:
            now_ms = self.reactor.now_ms()
            self.carry_out(
                self.model.on_connection_lost(now_ms, connection.number)
            )

    def on_query_arrived(self, query: Query) -> None:
        """Handle an arrived query, unless its connection is closed."""
        if query.connection in self.connections:
            now_ms = self.reactor.now_ms()
            self.ledger.record_arrival(now_ms, self.model.settings.name, query)
            self.carry_out(self.model.on_query_arrived(now_ms, query))

    def on_cancel_arrived(
        self, connection: "VirtualConnection", attempt: tuple[str, int, int]
    ) -> None:
        """Handle a cancellation and confirm it.

        Args:
            connection: Connection on which the cancellation arrived.
            attempt: Query id, shard and attempt number of the sub-request.
        """
        if connection.number in self.connections:
            now_ms = self.reactor.now_ms()
            self.carry_out(self.model.on_cancel_arrived(now_ms, *attempt))
            connection.deliver_answer(WireAnswer(status=204))

    def carry_out(self, effects: list[Effect]) -> None:
        """Carry out the model's effects."""
        for effect in effects:
            match effect:
                case Respond(query):
                    connection = self.connections.get(query.connection)
                    if connection is not None:
                        connection.deliver_answer(_wire_answer(effect))
                case RunUntil(query, due_ms):
                    self.reactor.call_at(due_ms, self._run_done, query)
                case CloseConnections(numbers):
                    for number in numbers:
                        connection = self.connections.pop(number, None)
                        if connection is not None:
                            connection.close_from_leaf()

    def _run_done(self, query: Query) -> None:
        self.carry_out(self.model.on_run_done(self.reactor.now_ms(), query))


def _wire_answer(effect: Respond) -> WireAnswer:
    query = effect.query
    body = b""
    if effect.status == 200:
        body = leaf_documents.answer_body(query.index_version, query.shard)
    return WireAnswer(
        status=effect.status,
        shard=query.shard,
        attempt=query.attempt,
        state=ReportedState(effect.state.value),
        incarnation=effect.incarnation,
        index_version=query.index_version,
        not_run=effect.not_run,
        body=body,
    )


class VirtualConnection:
    """One connection of a VM's pool to a leaf.

    Attributes:
        dialer: Dialer of the VM.
        leaf: Leaf at the other end.
        pool: The VM's pool that uses the connection.
        number: Number that identifies the connection at the leaf.
        latency_s: One-way network latency.
        pending: Request in flight, or None.
        closing: Whether the VM, not the leaf, closed the connection.
        ready: Whether setup is complete, so that the VM may send requests.
        is_closed: Whether the VM's side is closed, whoever closed it.
    """

    def __init__(
        self, dialer: "VirtualDialer", leaf: VirtualLeaf, pool: Any
    ) -> None:
        self.dialer = dialer
        self.leaf = leaf
        self.pool = pool
        self.number = next(leaf.numbers)
        self.latency_s = dialer.latency_ms(leaf) / MS_PER_S
        self.pending: VirtualRequest | None = None
        self.closing = False
        self.ready = False
        self.is_closed = False

    def open(self) -> None:
        """Connect to the leaf; ready after a round trip and the setup time."""
        setup_s = self.leaf.model.settings.connection_ms / MS_PER_S
        self.leaf.reactor.callLater(
            self.latency_s, self.leaf.on_connection_opened, self
        )
        self.dialer.timers.callLater(
            2 * self.latency_s + setup_s, self._on_set_up
        )

    def _on_set_up(self) -> None:
        if self.is_closed:
            self.pool.on_connect_failed()
            return
        self.ready = True
        self.pool.on_connected(self)

    def send_request(self, pending: VirtualRequest) -> None:
        """Send a sub-request or a cancellation."""
        self.pending = pending
        effect = pending.effect
        sub = pending.sub
        query_id = f"{self.dialer.process}-{sub.query}"
        later = self.leaf.reactor.callLater
        if effect is None:
            attempt = (query_id, sub.shard, sub.attempt)
            later(self.latency_s, self.leaf.on_cancel_arrived, self, attempt)
            return
        now_ms = self.leaf.reactor.now_ms()
        query = Query(
            connection=self.number,
            query=query_id,
            shard=sub.shard,
            attempt=sub.attempt,
            index_version=effect.index_version,
            expires_ms=now_ms + self.latency_s * MS_PER_S + effect.deadline_ms,
            sent_ms=now_ms,
            idempotency_key=effect.idempotency_key,
            body=effect.body,
            sender=self.dialer.process,
        )
        later(self.latency_s, self.leaf.on_query_arrived, query)

    def deliver_answer(self, answer: WireAnswer) -> None:
        """Deliver an answer of the leaf to the VM after the latency."""
        self.dialer.timers.callLater(self.latency_s, self._on_answer, answer)

    def _on_answer(self, answer: WireAnswer) -> None:
        pending = self.pending
        if self.is_closed or pending is None:
            return
        self.pending = None
        self.pool.on_idle(self)
        if not pending.is_cancel:
            self.pool.on_answer(pending.sub, answer)

    def close(self) -> None:
        """Close the connection from the VM's side."""
        self.closing = True
        self.leaf.reactor.callLater(
            self.latency_s, self.leaf.on_connection_closed, self
        )
        self._on_lost()

    def close_from_leaf(self) -> None:
        """Close the connection from the leaf's side."""
        self.dialer.timers.callLater(self.latency_s, self._on_lost)

    def _on_lost(self) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        if self.ready:
            self.pool.on_lost(self)


class VirtualDialer:
    """Opens one VM's connections; passed to the pools as their reactor.

    Attributes:
        process: Name of the VM's process.
        timers: Delayed calls of the VM.
        leafs: Leafs by port.
        latencies_ms: One-way network latencies by data centre.
    """

    def __init__(
        self,
        process: str,
        timers: VmTimers,
        leafs: dict[int, VirtualLeaf],
        latencies_ms: dict[str, float],
    ) -> None:
        self.process = process
        self.timers = timers
        self.leafs = leafs
        self.latencies_ms = latencies_ms

    def latency_ms(self, leaf: VirtualLeaf) -> float:
        """Return the one-way network latency to a leaf."""
        return self.latencies_ms[leaf.data_centre]

    def connectTCP(  # noqa: N802 (Twisted's name)
        self,
        host: str,
        port: int,
        factory: twisted_protocol.ClientFactory,
        timeout: float = 30.0,
        bindAddress: tuple[str, int] | None = None,  # noqa: N803
    ) -> object:
        """Open a connection to the leaf that listens on the port."""
        pool: Any = factory.pool
        connection = VirtualConnection(self, self.leafs[port], pool)
        connection.open()
        return connection


class VirtualClient(UpstreamClient):
    """The product's upstream client, sending messages instead of bytes."""

    def send(self, effect: SendSub) -> None:
        """Send a sub-request."""
        pool: Any = self.pools.get(effect.leaf)
        if pool is None:
            self.observer.sub_request_finished(
                SubUnsent(effect.sub, effect.leaf)
            )
            return
        pool.send(VirtualRequest(effect.sub, effect))

    def cancel(self, effect: CancelSub) -> None:
        """Cancel a sub-request."""
        pool: Any = self.pools.get(effect.leaf)
        if pool is not None:
            pool.cancel(VirtualRequest(effect.sub, None))
