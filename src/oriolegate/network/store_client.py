"""Client of the platform's store, over pooled connections."""

from collections.abc import Callable
from typing import Any

from oriolegate import structured_log
from oriolegate.clock import Clock
from oriolegate.exceptions import MalformedEntryError
from oriolegate.following.store_era import Observation
from oriolegate.following.store_era import StoreEra
from oriolegate.network.http_client import CancelCall
from oriolegate.network.http_client import Done
from oriolegate.network.http_client import HttpClient
from oriolegate.network.http_reader import HttpResponse
from oriolegate.platform import store_calls
from oriolegate.platform.store_calls import StoreCall

log = structured_log.get_logger("store")


# Key of the client for all writes; reads have one client for each path.
WRITES = "writes"


class StoreClient:
    """Makes calls to the store, each with a timeout.

    An answer of the store doesn't state its call. If the store sent a second
    copy of an answer late, on a connection that is in use again, the copy must
    do no harm: reads share connections only with reads of the same collection,
    whose revisions show what is old, and each write has a connection of its
    own.

    Attributes:
        address: IP address and port of the store.
        clients: HTTP client by path of the calls.
        era: Era of the store.
        on_new_era: Called when an answer states a new era, before the call's
            own `done`; it may cancel the call.
        calls_total: Calls made so far; each call is billed.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        address: tuple[str, int],
        era: StoreEra,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.address = address
        self.clients: dict[str, HttpClient] = {}
        self.era = era
        self.on_new_era: Callable[[], None] = lambda: None
        self.calls_total = 0
        self.has_logged_malformed_era = False

    def call(
        self, call: StoreCall, timeout_ms: float, done: Done
    ) -> CancelCall:
        """Make a call.

        Args:
            call: Request to send.
            timeout_ms: After this time the call fails and its connection is
                closed, unless an answer is arriving.
            done: Called with the response, or the reason why there is none;
                not called after a cancel.

        Returns:
            A function that cancels the call.
        """
        self.calls_total += 1
        is_cancelled = False
        is_read = call.method == "GET"
        client = self._get_client(
            call.target.partition("?")[0] if is_read else WRITES
        )

        def on_outcome(outcome: HttpResponse | str) -> None:
            if isinstance(outcome, HttpResponse):
                outcome = self._check_era(outcome)
            if not is_read:
                client.pool.close()
            if not is_cancelled:
                done(outcome)

        def cancel() -> None:
            nonlocal is_cancelled
            is_cancelled = True
            cancel_call()

        cancel_call = client.send(self._encode(call), timeout_ms, on_outcome)
        return cancel

    def _get_client(self, key: str) -> HttpClient:
        client = self.clients.get(key)
        if client is None:
            client = HttpClient(self.reactor, self.clock, self.address)
            self.clients[key] = client
        return client

    def close(self) -> None:
        """Close idle connections; calls in flight continue."""
        for client in self.clients.values():
            client.pool.close()

    def _check_era(self, response: HttpResponse) -> HttpResponse | str:
        """Return the response, or why it is ignored."""
        match self.era.observe(self._decode_era(response)):
            case Observation.EARLIER:
                return "answer of an earlier era of the store"
            case Observation.NEW:
                log.bind(era=self.era.number).warning(
                    "store states a new era; listing all collections anew"
                )
                self.on_new_era()
        return response

    def _decode_era(self, response: HttpResponse) -> int | None:
        try:
            return store_calls.decode_era(response)
        except MalformedEntryError as error:
            if not self.has_logged_malformed_era:
                self.has_logged_malformed_era = True
                log.bind(reason=error.message).warning(
                    "invalid era in an answer of the store; ignored"
                )
            return None

    def _encode(self, call: StoreCall) -> bytes:
        host, port = self.address
        lines = [
            f"{call.method} {call.target} HTTP/1.1",
            f"Host: {host}:{port}",
        ]
        if call.body:
            lines.append("Content-Type: application/json")
            lines.append(f"Content-Length: {len(call.body)}")
        return "\r\n".join([*lines, "", ""]).encode() + call.body
