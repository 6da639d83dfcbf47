"""Connection pool for one address.

The pool opens a connection whenever none is idle; its users limit the number
of concurrent calls.
"""

from typing import Any

from oriolegate.clock import Clock
from oriolegate.network.http_connection import CONNECT_TIMEOUT_S
from oriolegate.network.http_connection import HttpCall
from oriolegate.network.http_connection import HttpConnection
from oriolegate.network.http_connection import HttpFactory
from oriolegate.network.http_connection import NotSent
from oriolegate.network.receive_limits import DEFAULT_LIMITS
from oriolegate.network.receive_limits import ReceiveLimits

# An idle connection is reused until this long before the server's idle timeout,
# so that a request does not race with the server's close.
IDLE_MARGIN_MS = 1_000.0
# How long an idle connection is reused if the server announces no timeout.
DEFAULT_IDLE_MS = 4_000.0


class HttpPool:
    """Connections to one address, opened as needed.

    Attributes:
        address: IP address and port.
        idle: Idle connections, most recently used last.
        busy: Connections with a request in flight.
        opened_total: Connections opened so far.
        connect_timeout_s: Timeout of opening a connection.
        limits: Limits on responses.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        address: tuple[str, int],
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        limits: ReceiveLimits = DEFAULT_LIMITS,
    ) -> None:
        self.limits = limits
        self.reactor = reactor
        self.clock = clock
        self.address = address
        self.connect_timeout_s = connect_timeout_s
        self.idle: list[HttpConnection] = []
        self.busy: set[HttpConnection] = set()
        self.opened_total = 0

    def send(self, call: HttpCall) -> None:
        """Send a call over an idle connection or a new one."""
        connection = self._take_idle(call)
        if connection is not None:
            self.busy.add(connection)
            connection.send_call(call)
            return
        self.opened_total += 1
        self.reactor.connectTCP(
            *self.address,
            HttpFactory(
                self, self.clock, call, self._on_connect_failed, self.limits
            ),
            timeout=self.connect_timeout_s,
        )

    def _take_idle(self, call: HttpCall) -> HttpConnection | None:
        now_ms = self.clock.now_ms()
        if call.is_anonymous:
            # A late copy of an earlier response could be taken for the next.
            self.idle.sort(key=lambda idle: not idle.was_anonymous)
        while self.idle:
            connection = self.idle.pop()
            if call.is_anonymous and connection.was_anonymous:
                # In place of this one, so that no more are open.
                connection.abort()
                return None
            idle_limit_ms = DEFAULT_IDLE_MS
            if connection.keep_alive_ms is not None:
                idle_limit_ms = connection.keep_alive_ms - IDLE_MARGIN_MS
            if now_ms - connection.idle_since_ms < max(idle_limit_ms, 0.0):
                return connection
            connection.abort()
        return None

    def _on_connect_failed(self, call: HttpCall, detail: str) -> None:
        if not call.cancelled:
            call.finish(NotSent(detail))

    def on_connected(self, connection: HttpConnection) -> None:
        """Send the call for which the connection was opened."""
        call = connection.call
        if call is None or call.cancelled:
            connection.call = None
            connection.idle_since_ms = self.clock.now_ms()
            self.idle.append(connection)
            return
        self.busy.add(connection)
        connection.send_call(call)

    def on_idle(self, connection: HttpConnection) -> None:
        """Return a connection to the pool."""
        self.busy.discard(connection)
        self.idle.append(connection)

    def on_lost(self, connection: HttpConnection) -> None:
        """Remove a closed connection."""
        self.busy.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def cancel(self, call: HttpCall) -> None:
        """Cancel a call; close its connection if the request was sent."""
        call.cancelled = True
        call.drop()
        if call.connection is not None and call.connection.call is call:
            self.busy.discard(call.connection)
            call.connection.abort()

    def close(self) -> None:
        """Close idle connections; calls in flight continue."""
        for connection in list(self.idle):
            connection.abort()
        self.idle.clear()
