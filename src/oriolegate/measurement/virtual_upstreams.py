"""Leafs and connections in virtual time, without sockets or bytes.

The product's own connection pools run on it: they open connections through
`VirtualDialer` and meet the limits of the leaf models.
"""

import itertools
from typing import Any

import attrs
from twisted.internet import protocol as twisted_protocol

from oriolegate.coordinator.messages import CancelSub
from oriolegate.coordinator.messages import SendSub
from oriolegate.coordinator.messages import SubRequestId
from oriolegate.coordinator.messages import SubUnsent
from oriolegate.measurement.far_side import FarSide
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
class Carried:
    """What one connection carries; the pools' pending request.

    Attributes:
        sub: The attempt.
        effect: The sub-request, or None for a cancellation.
    """

    sub: SubRequestId
    effect: SendSub | None

    @property
    def is_cancel(self) -> bool:
        """Return whether it is a cancellation."""
        return self.effect is None


class VirtualLeaf:
    """One leaf model, and the connections to it from all VMs.

    Attributes:
        model: Decides what each query meets.
        data_centre: Where the leaf is.
        links: Open connections by number.
    """

    def __init__(
        self,
        model: LeafModel,
        data_centre: str,
        reactor: VirtualReactor,
        far_side: FarSide,
    ) -> None:
        self.model = model
        self.data_centre = data_centre
        self.reactor = reactor
        self.far_side = far_side
        self.links: dict[int, VirtualConnection] = {}
        self.numbers = itertools.count(1)

    def opened(self, link: "VirtualConnection") -> None:
        """Take a connection that reaches the leaf."""
        self.links[link.number] = link
        now_ms = self.reactor.now_ms()
        self.carry_out(self.model.on_connection_opened(now_ms, link.number))

    def closed(self, link: "VirtualConnection") -> None:
        """Take that a VM closed a connection."""
        if self.links.pop(link.number, None) is not None:
            now_ms = self.reactor.now_ms()
            self.carry_out(self.model.on_connection_lost(now_ms, link.number))

    def on_query_arrived(self, query: Query) -> None:
        """Take a query, unless its connection is gone."""
        if query.connection in self.links:
            now_ms = self.reactor.now_ms()
            self.far_side.arrived(now_ms, self.model.settings.name, query)
            self.carry_out(self.model.on_query_arrived(now_ms, query))

    def on_cancel_arrived(
        self, link: "VirtualConnection", name: tuple[str, int, int]
    ) -> None:
        """Take a cancellation and confirm it."""
        if link.number in self.links:
            now_ms = self.reactor.now_ms()
            self.carry_out(self.model.on_cancel_arrived(now_ms, *name))
            link.answer(WireAnswer(status=204))

    def carry_out(self, effects: list[Effect]) -> None:
        """Carry out the model's effects."""
        for effect in effects:
            match effect:
                case Respond(query):
                    link = self.links.get(query.connection)
                    if link is not None:
                        link.answer(_wire_answer(effect))
                case RunUntil(query, due_ms):
                    self.reactor.at(due_ms, self._run_done, query)
                case CloseConnections(numbers):
                    for number in numbers:
                        link = self.links.pop(number, None)
                        if link is not None:
                            link.closed_by_leaf()

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
        pending: What is in flight, or None.
        closing: True once the VM closed it itself.
        ready: True once the VM may use it.
        gone: True once either side closed it.
    """

    def __init__(
        self, dialer: "VirtualDialer", leaf: VirtualLeaf, pool: Any
    ) -> None:
        self.dialer = dialer
        self.leaf = leaf
        self.pool = pool
        self.number = next(leaf.numbers)
        self.latency_s = dialer.latency_ms(leaf) / MS_PER_S
        self.pending: Carried | None = None
        self.closing = False
        self.ready = False
        self.gone = False

    def open(self) -> None:
        """Reach the leaf, and be usable after the cost of a connection."""
        setup_s = self.leaf.model.settings.connection_ms / MS_PER_S
        self.leaf.reactor.callLater(self.latency_s, self.leaf.opened, self)
        self.dialer.timers.callLater(2 * self.latency_s + setup_s, self._set_up)

    def _set_up(self) -> None:
        if self.gone:
            self.pool.on_connect_failed()
            return
        self.ready = True
        self.pool.on_connected(self)

    def send_request(self, carried: Carried) -> None:
        """Send a sub-request or a cancellation."""
        self.pending = carried
        effect = carried.effect
        sub = carried.sub
        query_id = f"{self.dialer.process}-{sub.query}"
        later = self.leaf.reactor.callLater
        if effect is None:
            name = (query_id, sub.shard, sub.attempt)
            later(self.latency_s, self.leaf.on_cancel_arrived, self, name)
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

    def answer(self, answer: WireAnswer) -> None:
        """Carry an answer of the leaf to the VM."""
        self.dialer.timers.callLater(self.latency_s, self._answered, answer)

    def _answered(self, answer: WireAnswer) -> None:
        carried = self.pending
        if self.gone or carried is None:
            return
        self.pending = None
        self.pool.on_idle(self)
        if not carried.is_cancel:
            self.pool.on_answer(carried.sub, answer)

    def close(self) -> None:
        """Close the connection from the VM's side."""
        self.closing = True
        self.leaf.reactor.callLater(self.latency_s, self.leaf.closed, self)
        self._lost()

    def closed_by_leaf(self) -> None:
        """Tell the VM that the leaf closed the connection."""
        self.dialer.timers.callLater(self.latency_s, self._lost)

    def _lost(self) -> None:
        if self.gone:
            return
        self.gone = True
        if self.ready:
            self.pool.on_lost(self)


class VirtualDialer:
    """Opens one VM's connections; stands where pools expect the reactor.

    Attributes:
        process: Name of the VM's process.
        leafs: Leafs by port.
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
        """Return the one-way latency to a leaf."""
        return self.latencies_ms[leaf.data_centre]

    def connectTCP(  # noqa: N802 (Twisted's name)
        self,
        host: str,
        port: int,
        factory: twisted_protocol.ClientFactory,
        timeout: float = 30.0,
        bindAddress: tuple[str, int] | None = None,  # noqa: N803
    ) -> object:
        """Open a connection to the leaf that has the port."""
        pool: Any = factory.pool
        link = VirtualConnection(self, self.leafs[port], pool)
        link.open()
        return link


class VirtualClient(UpstreamClient):
    """The product's pools, carrying messages in place of bytes."""

    def send(self, effect: SendSub) -> None:
        """Carry out a `SendSub`."""
        pool: Any = self.pools.get(effect.leaf)
        if pool is None:
            self.observer.sub_request_finished(
                SubUnsent(effect.sub, effect.leaf)
            )
            return
        pool.send(Carried(effect.sub, effect))

    def cancel(self, effect: CancelSub) -> None:
        """Carry out a `CancelSub`."""
        pool: Any = self.pools.get(effect.leaf)
        if pool is not None:
            pool.cancel(Carried(effect.sub, None))
