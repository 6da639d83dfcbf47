"""Requests to one address over kept connections, each with a time limit."""

from collections.abc import Callable
from typing import Any

from oriolegate.clock import Clock
from oriolegate.network.http_connection import Answered
from oriolegate.network.http_connection import HttpCall
from oriolegate.network.http_connection import Result
from oriolegate.network.http_pool import HttpPool
from oriolegate.network.http_reader import HttpResponse

MS_PER_S = 1_000.0

Done = Callable[[HttpResponse | str], None]
CancelCall = Callable[[], None]


class HttpCaller:
    """Sends requests to one address."""

    def __init__(
        self, reactor: Any, clock: Clock, address: tuple[str, int]
    ) -> None:
        self.reactor = reactor
        self.pool = HttpPool(reactor, clock, address)

    def send(self, data: bytes, limit_ms: float, done: Done) -> CancelCall:
        """Send a request.

        Args:
            data: Its bytes.
            limit_ms: After this time its connection is taken for dead.
            done: Gets the response, or why there is none; not called after
                a cancel.

        Returns:
            A function that gives the request up.
        """
        timer: Any = None

        def finished(result: Result) -> None:
            if timer is not None and timer.active():
                timer.cancel()
            if isinstance(result, Answered):
                done(result.response)
            else:
                done(result.detail)

        def cancel() -> None:
            if timer.active():
                timer.cancel()
            self.pool.cancel(call)

        def too_long() -> None:
            self.pool.cancel(call)
            done("no answer in time")

        call = HttpCall(data, finished, accepts=lambda response: True)
        timer = self.reactor.callLater(limit_ms / MS_PER_S, too_long)
        self.pool.send(call)
        return cancel
