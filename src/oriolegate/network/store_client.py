"""Calls to the platform's store over kept connections."""

from collections.abc import Callable
from typing import Any

from oriolegate.clock import Clock
from oriolegate.network.http_connection import Answered
from oriolegate.network.http_connection import HttpCall
from oriolegate.network.http_connection import Result
from oriolegate.network.http_pool import HttpPool
from oriolegate.network.http_reader import HttpResponse
from oriolegate.platform.store_calls import StoreCall

MS_PER_S = 1_000.0

Done = Callable[[HttpResponse | str], None]


class StoreClient:
    """Makes calls to the store, each with a time limit.

    Attributes:
        calls_total: Calls made so far; each is priced.
    """

    def __init__(
        self, reactor: Any, clock: Clock, address: tuple[str, int]
    ) -> None:
        self.reactor = reactor
        self.pool = HttpPool(reactor, clock, address)
        self.calls_total = 0

    def call(self, call: StoreCall, limit_ms: float, done: Done) -> None:
        """Make a call.

        Args:
            call: What to ask.
            limit_ms: After this time its connection is taken for dead.
            done: Gets the response, or why there is none.
        """
        self.calls_total += 1
        timer: Any = None

        def finished(result: Result) -> None:
            if timer is not None and timer.active():
                timer.cancel()
            if isinstance(result, Answered):
                done(result.response)
            else:
                done(result.detail)

        def too_long() -> None:
            self.pool.cancel(http_call)
            done("no answer in time")

        http_call = HttpCall(
            self._bytes(call), finished, accepts=lambda response: True
        )
        timer = self.reactor.callLater(limit_ms / MS_PER_S, too_long)
        self.pool.send(http_call)

    def _bytes(self, call: StoreCall) -> bytes:
        host, port = self.pool.address
        lines = [
            f"{call.method} {call.target} HTTP/1.1",
            f"Host: {host}:{port}",
        ]
        if call.body:
            lines.append("Content-Type: application/json")
            lines.append(f"Content-Length: {len(call.body)}")
        return "\r\n".join([*lines, "", ""]).encode() + call.body
