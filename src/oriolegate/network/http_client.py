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
# An answer that is still arriving at the timeout goes on as long as each
# interval brings so many bytes.
PROGRESS_INTERVAL_MS = 1_000.0
MIN_PROGRESS_BYTES = 4_096

Done = Callable[[HttpResponse | str], None]
CancelCall = Callable[[], None]


def _timeout_reason(call: HttpCall) -> str:
    if call.received_bytes == 0:
        return "no answer in time"
    return f"answer incomplete in time; {call.received_bytes} bytes received"


class _PendingRequest:
    """A request with its timeout.

    The timeout bounds the wait for an answer, not its transfer, since an
    aborted transfer would start over.

    Attributes:
        call: The call on the pool.
        checked_bytes: Bytes received until the last timeout.
    """

    def __init__(
        self, reactor: Any, pool: HttpPool, data: bytes, done: Done
    ) -> None:
        self.reactor = reactor
        self.pool = pool
        self.done = done
        self.call = HttpCall(data, self._on_result, accepts=lambda answer: True)
        self.checked_bytes = 0
        self.timer: Any = None

    def start(self, timeout_ms: float) -> None:
        """Send the request."""
        self._start_timer(timeout_ms)
        self.pool.send(self.call)

    def cancel(self) -> None:
        """Cancel the request."""
        self._stop_timer()
        self.pool.cancel(self.call)

    def _start_timer(self, timeout_ms: float) -> None:
        self.timer = self.reactor.callLater(
            timeout_ms / MS_PER_S, self._on_timeout
        )

    def _stop_timer(self) -> None:
        if self.timer.active():
            self.timer.cancel()

    def _on_result(self, result: Result) -> None:
        self._stop_timer()
        if isinstance(result, Answered):
            self.done(result.response)
        else:
            self.done(result.detail)

    def _on_timeout(self) -> None:
        received_bytes = self.call.received_bytes
        if received_bytes - self.checked_bytes >= MIN_PROGRESS_BYTES:
            self.checked_bytes = received_bytes
            self._start_timer(PROGRESS_INTERVAL_MS)
            return
        self.pool.cancel(self.call)
        self.done(_timeout_reason(self.call))


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
                is closed, unless an answer is arriving.
            done: Called with the response, or the reason why there is none;
                not called after a cancel.

        Returns:
            A function that cancels the request.
        """
        request = _PendingRequest(self.reactor, self.pool, data, done)
        request.start(timeout_ms)
        return request.cancel
