"""Emulated leafs on TCP ports: the upstream protocol around `LeafModel`.

The wire format is in docs/interfaces/upstream.md. Requests are parsed with
httptools for speed: many leafs share one process with the measured code.
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

REASON_PHRASES = {
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
    """Health and load at the time `taken_ms`."""

    taken_ms: float = float("-inf")
    health: dict[str, Any] = attrs.field(factory=dict)
    load: dict[str, Any] = attrs.field(factory=dict)


class LeafServer(protocol.Factory):
    """Connections of one leaf.

    Attributes:
        model: Decides what happens to each connection and query.
        reactor: Source of time and timers.
        latency_ms: Returns the one-way latency from a VM's IP address.
        protocols: Open connections by number.
        report: Latest report for the health and load endpoints.
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
        """Build the protocol of a new connection."""
        latency_ms = self.latency_ms(getattr(addr, "host", ""))
        return LeafProtocol(self, next(self.numbers), latency_ms)

    def now_ms(self) -> float:
        """Return the reactor's time in milliseconds."""
        return float(self.reactor.seconds()) * 1_000.0

    def call_later(
        self, delay_ms: float, call: Callable[..., Any], *args: Any
    ) -> None:
        """Call after a delay, or immediately if the delay is 0."""
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
                        delay_ms / 1_000.0, self.on_run_done, query
                    )
                case CloseConnections(numbers):
                    for number in numbers:
                        link = self.protocols.pop(number, None)
                        if link is not None:
                            link.transport.abortConnection()

    def on_run_done(self, query: Query) -> None:
        """Notify the model that a run is due to end."""
        self.carry_out(self.model.on_run_done(self.now_ms(), query))

    def current_report(self) -> Report:
        """Return the health report; refresh one that is `health_lag_ms` old."""
        now_ms = self.now_ms()
        model = self.model
        lag_ms = model.settings.health_lag_ms
        if now_ms - self.report.taken_ms >= lag_ms:
            model.warm_if_due(now_ms)
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
        """Register the connection; start to read after the setup time."""
        server = self.server
        server.protocols[self.number] = self
        self.transport.setTcpNoDelay(True)
        server.carry_out(
            server.model.on_connection_opened(server.now_ms(), self.number)
        )
        if self.number in server.protocols:
            self.transport.pauseProducing()
            setup_ms = server.model.settings.connection_ms
            server.call_later(
                setup_ms + 2 * self.latency_ms, self._start_reading
            )

    def connectionLost(  # noqa: N802 (twisted's name)
        self, reason: Any = protocol.connectionDone
    ) -> None:
        """Remove the connection."""
        server = self.server
        if server.protocols.pop(self.number, None) is not None:
            server.carry_out(
                server.model.on_connection_lost(server.now_ms(), self.number)
            )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 (twisted's name)
        """Parse received bytes; abort the connection if they are invalid."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abortConnection()

    def on_message_begin(self) -> None:
        """Clear the fields of the previous message."""
        self.url = b""
        self.headers = {}
        self.body = []

    def on_url(self, url: bytes) -> None:
        """Append a piece of the path."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header under its lower-case name."""
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Append a piece of the body."""
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Handle a complete message after the one-way latency."""
        server = self.server
        if server.model.faults.silent:
            return
        try:
            match self.url:
                case b"/query":
                    query = self._read_query(server.now_ms())
                    server.call_later(
                        self.latency_ms, self._deliver_query, query
                    )
                case b"/cancel":
                    key = self._read_query_key()
                    server.call_later(
                        self.latency_ms, self._deliver_cancel, key
                    )
                case b"/health":
                    self._send_json(200, server.current_report().health)
                case b"/load":
                    self._send_json(200, server.current_report().load)
                case _:
                    self._send_json(404, {"message": "no such call"})
        except (KeyError, ValueError) as error:
            self._send_json(400, {"message": repr(error)})

    def answer(self, respond: Respond) -> None:
        """Send the answer to a query after the one-way latency."""
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
        self.server.call_later(
            self.latency_ms, self._send, respond.status, head.encode(), body
        )

    def _start_reading(self) -> None:
        if self.number in self.server.protocols:
            self.transport.resumeProducing()

    def _read_query_key(self) -> tuple[str, int, int]:
        return (
            self.headers[b"x-query"].decode(),
            int(self.headers[b"x-shard"]),
            int(self.headers[b"x-attempt"]),
        )

    def _read_query(self, now_ms: float) -> Query:
        query, shard, attempt = self._read_query_key()
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

    def _deliver_query(self, query: Query) -> None:
        server = self.server
        if self.number in server.protocols:
            server.carry_out(
                server.model.on_query_arrived(server.now_ms(), query)
            )

    def _deliver_cancel(self, key: tuple[str, int, int]) -> None:
        server = self.server
        server.carry_out(server.model.on_cancel_arrived(server.now_ms(), *key))
        self._send(204, b"", b"")

    def _send_json(self, status: int, body: dict[str, Any]) -> None:
        encoded = json.dumps(body).encode()
        self.server.call_later(
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
                % (status, REASON_PHRASES[status], head, len(body), body)
            )
