"""Client of the platform's store, over pooled connections."""

from typing import Any

from oriolegate.clock import Clock
from oriolegate.network.http_client import CancelCall
from oriolegate.network.http_client import Done
from oriolegate.network.http_client import HttpClient
from oriolegate.platform.store_calls import StoreCall


class StoreClient:
    """Makes calls to the store, each with a timeout.

    Attributes:
        client: HTTP client for the address of the store.
        calls_total: Calls made so far; each call is billed.
    """

    def __init__(
        self, reactor: Any, clock: Clock, address: tuple[str, int]
    ) -> None:
        self.client = HttpClient(reactor, clock, address)
        self.calls_total = 0

    def call(
        self, call: StoreCall, timeout_ms: float, done: Done
    ) -> CancelCall:
        """Make a call.

        Args:
            call: Request to send.
            timeout_ms: After this time the call fails and its connection is
                closed.
            done: Called with the response, or the reason why there is none;
                not called after a cancel.

        Returns:
            A function that cancels the call.
        """
        self.calls_total += 1
        return self.client.send(self._encode(call), timeout_ms, done)

    def _encode(self, call: StoreCall) -> bytes:
        host, port = self.client.pool.address
        lines = [
            f"{call.method} {call.target} HTTP/1.1",
            f"Host: {host}:{port}",
        ]
        if call.body:
            lines.append("Content-Type: application/json")
            lines.append(f"Content-Length: {len(call.body)}")
        return "\r\n".join([*lines, "", ""]).encode() + call.body
