"""HTTP client for one address, with timeouts and pooled connections."""

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


def _timeout_reason(call: HttpCall) -> str:
    if call.received_bytes == 0:
        return "no answer in time"
    return f"answer incomplete in time; {call.received_bytes} bytes received"


class HttpClient:
    """Sends requests to one address over a connection pool."""

    def __init__(
        self, reactor: Any, clock: Clock, address: tuple[str, int]
    ) -> None:
        self.reactor = reactor
        self.pool = HttpPool(reactor, clock, address)

    def send(self, data: bytes, timeout_ms: float, done: Done) -> CancelCall:
        """Send a request.

        Args:
            data: Bytes of the request.
            timeout_ms: After this time the request fails and its connection
                is closed.
            done: Called with the response, or the reason why there is none;
                not called after a cancel.

        Returns:
            A function that cancels the request.
        """
        timer: Any = None

        def on_result(result: Result) -> None:
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

        def on_timeout() -> None:
            self.pool.cancel(call)
            done(_timeout_reason(call))

        call = HttpCall(data, on_result, accepts=lambda response: True)
        timer = self.reactor.callLater(timeout_ms / MS_PER_S, on_timeout)
        self.pool.send(call)
        return cancel
