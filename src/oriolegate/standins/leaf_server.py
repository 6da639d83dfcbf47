"""Leaf stand-ins on TCP ports: the upstream protocol round `LeafModel`.

The wire form is in docs/interfaces/upstream.md. Requests are parsed by
httptools, for many leafs share one process with what is measured.
"""

from collections.abc import Callable
import itertools
import json
from typing import Any

import attrs
import httptools
from twisted.internet import interfaces
from twisted.internet import protocol

from oriolegate.standins import leaf_documents
from oriolegate.standins.leaf_messages import CloseConnections
from oriolegate.standins.leaf_messages import Effect
from oriolegate.standins.leaf_messages import Query
from oriolegate.standins.leaf_messages import Respond
from oriolegate.standins.leaf_messages import RunUntil
from oriolegate.standins.leaf_model import LeafModel

REASONS = {
    200: b"OK",
    204: b"No Content",
    400: b"Bad Request",
    404: b"Not Found",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
}
DEFAULT_DEADLINE_MS = 10_000.0


@attrs.define
class Report:
    """Health and load as they were when last refreshed."""

    taken_ms: float = float("-inf")
    health: dict[str, Any] = attrs.field(factory=dict)
    load: dict[str, Any] = attrs.field(factory=dict)


class LeafServer(protocol.Factory):
    """Connections of one leaf.

    Attributes:
        model: Decides what each connection and query meets.
        reactor: Source of time and timers.
        latency_ms: One-way latency for a peer's host.
        protocols: Open connections by number.
        report: What the health and load endpoints say.
    """

    noisy = False

    def __init__(
        self,
        model: LeafModel,
        reactor: interfaces.IReactorTime,
        latency_ms: Callable[[str], float],
    ) -> None:
        self.model = model
        self.reactor = reactor
        self.latency_ms = latency_ms
        self.protocols: dict[int, LeafProtocol] = {}
        self.numbers = itertools.count(1)
        self.report = Report()

    def buildProtocol(  # noqa: N802 (twisted's name)
        self, addr: Any
    ) -> "LeafProtocol":
        """Make the protocol of a new connection."""
        latency_ms = self.latency_ms(getattr(addr, "host", ""))
        return LeafProtocol(self, next(self.numbers), latency_ms)

    def now_ms(self) -> float:
        """Return the reactor's time in milliseconds."""
        return float(self.reactor.seconds()) * 1_000.0

    def later(
        self, delay_ms: float, call: Callable[..., Any], *args: Any
    ) -> None:
        """Call after a delay, or at once if there is none."""
        if delay_ms > 0.0:
            self.reactor.callLater(delay_ms / 1_000.0, call, *args)
        else:
            call(*args)

    def carry_out(self, effects: list[Effect]) -> None:
        """Carry out the model's effects."""
        for effect in effects:
            match effect:
                case Respond():
                    link = self.protocols.get(effect.query.connection)
                    if link is not None:
                        link.answer(effect)
                case RunUntil(query, due_ms):
                    delay_ms = max(0.0, due_ms - self.now_ms())
                    self.reactor.callLater(
                        delay_ms / 1_000.0, self.run_done, query
                    )
                case CloseConnections(numbers):
                    for number in numbers:
                        link = self.protocols.pop(number, None)
                        if link is not None:
                            link.transport.abortConnection()

    def run_done(self, query: Query) -> None:
        """Tell the model that a run's time is over."""
        self.carry_out(self.model.run_done(self.now_ms(), query))

    def refreshed_report(self) -> Report:
        """Return the report, taken anew if it is older than the lag."""
        now_ms = self.now_ms()
        model = self.model
        lag_ms = model.settings.health_lag_ms
        if now_ms - self.report.taken_ms >= lag_ms:
            model.warm_by_time(now_ms)
            state = model.faults.lie or model.state().value
            self.report = Report(
                taken_ms=now_ms,
                health={"state": state, "incarnation": model.incarnation},
                load={
                    "in_flight": len(model.running),
                    "waiting": len(model.waiting),
                    "connections": len(model.connections),
                },
            )
        return self.report


class LeafProtocol(protocol.Protocol):
    """One connection to a leaf."""

    def __init__(
        self, server: LeafServer, number: int, latency_ms: float
    ) -> None:
        self.server = server
        self.number = number
        self.latency_ms = latency_ms
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.body: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802 (twisted's name)
        """Take the connection; its first bytes are read after its cost."""
        server = self.server
        server.protocols[self.number] = self
        self.transport.setTcpNoDelay(True)
        server.carry_out(
            server.model.connection_opened(server.now_ms(), self.number)
        )
        if self.number in server.protocols:
            self.transport.pauseProducing()
            setup_ms = server.model.settings.connection_ms
            server.later(setup_ms + 2 * self.latency_ms, self._ready)

    def connectionLost(  # noqa: N802 (twisted's name)
        self, reason: Any = protocol.connectionDone
    ) -> None:
        """Forget the connection."""
        server = self.server
        if server.protocols.pop(self.number, None) is not None:
            server.carry_out(
                server.model.connection_lost(server.now_ms(), self.number)
            )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 (twisted's name)
        """Parse what came."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abortConnection()

    def on_message_begin(self) -> None:
        """Forget the message before."""
        self.url = b""
        self.headers = {}
        self.body = []

    def on_url(self, url: bytes) -> None:
        """Take a part of the path."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Act on a whole message after the one-way latency."""
        server = self.server
        if server.model.faults.silent:
            return
        try:
            match self.url:
                case b"/query":
                    query = self._read_query(server.now_ms())
                    server.later(self.latency_ms, self._query_arrived, query)
                case b"/cancel":
                    name = self._read_name()
                    server.later(self.latency_ms, self._cancel_arrived, name)
                case b"/health":
                    self._write(200, server.refreshed_report().health)
                case b"/load":
                    self._write(200, server.refreshed_report().load)
                case _:
                    self._write(404, {"message": "no such call"})
        except (KeyError, ValueError) as error:
            self._write(400, {"message": repr(error)})

    def answer(self, respond: Respond) -> None:
        """Write the answer of a query after the one-way latency."""
        query = respond.query
        body = b""
        if respond.status == 200:
            body = leaf_documents.answer_body(query.index_version, query.shard)
        head = (
            f"X-Query: {query.query}\r\nX-Shard: {query.shard}\r\n"
            f"X-Attempt: {query.attempt}\r\n"
            f"X-Index-Version: {query.index_version}\r\n"
            f"X-Leaf-State: {respond.state.value}\r\n"
            f"X-Incarnation: {respond.incarnation}\r\n"
        )
        if respond.not_run:
            head += f"X-Not-Run: {respond.not_run}\r\n"
        self.server.later(
            self.latency_ms, self._send, respond.status, head.encode(), body
        )

    def _ready(self) -> None:
        if self.number in self.server.protocols:
            self.transport.resumeProducing()

    def _read_name(self) -> tuple[str, int, int]:
        return (
            self.headers[b"x-query"].decode(),
            int(self.headers[b"x-shard"]),
            int(self.headers[b"x-attempt"]),
        )

    def _read_query(self, now_ms: float) -> Query:
        query, shard, attempt = self._read_name()
        key = self.headers.get(b"x-idempotency-key")
        deadline_ms = float(
            self.headers.get(b"x-deadline-ms", DEFAULT_DEADLINE_MS)
        )
        return Query(
            connection=self.number,
            query=query,
            shard=shard,
            attempt=attempt,
            index_version=int(self.headers[b"x-index-version"]),
            expires_ms=now_ms + self.latency_ms + deadline_ms,
            sent_ms=now_ms,
            idempotency_key=key.decode() if key else None,
            body=b"".join(self.body),
            sender=self.transport.getPeer().host,
        )

    def _query_arrived(self, query: Query) -> None:
        server = self.server
        if self.number in server.protocols:
            server.carry_out(server.model.query_arrived(server.now_ms(), query))

    def _cancel_arrived(self, name: tuple[str, int, int]) -> None:
        server = self.server
        server.carry_out(server.model.cancel_arrived(server.now_ms(), *name))
        self._send(204, b"", b"")

    def _write(self, status: int, body: dict[str, Any]) -> None:
        encoded = json.dumps(body).encode()
        self.server.later(
            2 * self.latency_ms,
            self._send,
            status,
            b"Content-Type: application/json\r\n",
            encoded,
        )

    def _send(self, status: int, head: bytes, body: bytes) -> None:
        if self.server.model.faults.silent:
            return
        if self.number in self.server.protocols:
            self.transport.write(
                b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n\r\n%b"
                % (status, REASONS[status], head, len(body), body)
            )
