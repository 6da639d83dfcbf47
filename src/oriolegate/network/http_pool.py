"""Kept connections to one address, and calls on them.

How many calls may be open at once is decided by who calls; the pool opens a
connection whenever none is free.
"""

from typing import Any

from oriolegate.clock import Clock
from oriolegate.network.http_connection import CONNECT_TIMEOUT_S
from oriolegate.network.http_connection import HttpCall
from oriolegate.network.http_connection import HttpConnection
from oriolegate.network.http_connection import HttpFactory
from oriolegate.network.http_connection import NotSent

# A kept connection is used until this long before its server's time-out, so
# that a request does not cross the server's close.
IDLE_MARGIN_MS = 1_000.0
# How long an idle connection is used if the server names no time-out.
DEFAULT_IDLE_MS = 4_000.0


class HttpPool:
    """Connections to one address.

    Attributes:
        address: IP number and port.
        idle: Free connections, the last used at the end.
        busy: Connections that carry a request.
        opened_total: Connections opened so far.
        connect_timeout_s: How long a connection may take to open.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        address: tuple[str, int],
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.address = address
        self.connect_timeout_s = connect_timeout_s
        self.idle: list[HttpConnection] = []
        self.busy: set[HttpConnection] = set()
        self.opened_total = 0

    def send(self, call: HttpCall) -> None:
        """Carry out a call on a free connection or on a new one."""
        connection = self._take_idle()
        if connection is not None:
            self.busy.add(connection)
            connection.carry(call)
            return
        self.opened_total += 1
        self.reactor.connectTCP(
            *self.address,
            HttpFactory(self, self.clock, call, self._connect_failed),
            timeout=self.connect_timeout_s,
        )

    def _take_idle(self) -> HttpConnection | None:
        now_ms = self.clock.now_ms()
        while self.idle:
            connection = self.idle.pop()
            allowed_ms = DEFAULT_IDLE_MS
            if connection.keep_alive_ms is not None:
                allowed_ms = connection.keep_alive_ms - IDLE_MARGIN_MS
            if now_ms - connection.idle_since_ms < max(allowed_ms, 0.0):
                return connection
            connection.abort()
        return None

    def _connect_failed(self, call: HttpCall, detail: str) -> None:
        if not call.cancelled:
            call.done(NotSent(detail))

    def connected(self, connection: HttpConnection) -> None:
        """Send the call that the connection was opened for."""
        call = connection.call
        if call is None or call.cancelled:
            connection.call = None
            connection.idle_since_ms = self.clock.now_ms()
            self.idle.append(connection)
            return
        self.busy.add(connection)
        connection.carry(call)

    def free(self, connection: HttpConnection) -> None:
        """Keep a connection for the next call."""
        self.busy.discard(connection)
        self.idle.append(connection)

    def lost(self, connection: HttpConnection) -> None:
        """Forget a connection that is gone."""
        self.busy.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def cancel(self, call: HttpCall) -> None:
        """Give up a call; its connection is closed if it was sent."""
        call.cancelled = True
        if call.connection is not None and call.connection.call is call:
            self.busy.discard(call.connection)
            call.connection.abort()

    def close(self) -> None:
        """Close free connections; others end with their call."""
        for connection in list(self.idle):
            connection.abort()
        self.idle.clear()
