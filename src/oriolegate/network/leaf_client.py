"""Sends requests and health checks to leafs over pooled connections."""

from collections.abc import Callable
from typing import Any

import attrs

from oriolegate.clock import Clock
from oriolegate.exchange.messages import CallerCall
from oriolegate.exchange.messages import LeafAnswer
from oriolegate.exchange.messages import SendOutcome
from oriolegate.models.leaf_notice import LeafNotice
from oriolegate.models.site import LeafEntry
from oriolegate.network.http_connection import Answered
from oriolegate.network.http_connection import Broken
from oriolegate.network.http_connection import HttpCall
from oriolegate.network.http_connection import NotSent
from oriolegate.network.http_connection import Result
from oriolegate.network.http_pool import HttpPool
from oriolegate.network.http_reader import HttpResponse
from oriolegate.network.receive_limits import ReceiveBuffer
from oriolegate.network.receive_limits import ReceiveLimits
from oriolegate.placement.leaf_contact import LeafContact
from oriolegate.platform import leaf_protocol
from oriolegate.platform.leaf_protocol import HealthReport
from oriolegate.platform.leaf_protocol import NoAnswer

HEAD = b"HEAD"
# A leaf in another region accepts a connection within 50 ms; a leaf without
# power or network never does. This timeout leaves time to send the request to
# another leaf within a target of 400 ms. A longer timeout is no remedy for a
# lost SYN, which is retransmitted only after a second.
LEAF_CONNECT_TIMEOUT_S = 0.25
# A leaf that rejects a request may say for how long it wants none. Its answer
# is read even if the request has been given up meanwhile, for one round trip
# to another region, however long the leaf had the request.
REJECTION_WAIT_MS = 50.0
MS_PER_S = 1_000.0
# Longest body of a leaf's answer, and most bytes of all answers that are being
# received.
MAX_ANSWER_BYTES = 2 * 1024 * 1024
MAX_BUFFERED_BYTES = 4 * 1024 * 1024


@attrs.define(eq=False)
class OpenSend:
    """A request in flight to a leaf.

    Attributes:
        leaf_id: The receiving leaf.
        pool: Pool of its connections.
        call: The HTTP call.
        started_ms: When it was given to the pool.
    """

    leaf_id: str
    pool: HttpPool
    call: HttpCall
    started_ms: float

    @property
    def has_arrived(self) -> bool:
        """Whether the leaf may have received the request."""
        return self.call.connection is not None


def _is_of_another_leaf(answer: LeafAnswer | NoAnswer) -> bool:
    return (
        isinstance(answer, NoAnswer)
        and answer.outcome is SendOutcome.WRONG_LEAF
    )


class LeafClient:
    """Sends requests to leafs, with one connection pool per leaf.

    Attributes:
        pools: Connection pools by leaf id.
        closing: Abandoned sends whose connections are closed soon, with the
            timer that does so, by leaf id.
        limits: Limits on responses of leafs.
        contact: Tracks whether leafs respond at all.
        on_notice: Called for each response of a leaf, with its id and what it
            says of itself.
    """

    def __init__(self, reactor: Any, clock: Clock) -> None:
        self.reactor = reactor
        self.clock = clock
        self.pools: dict[str, HttpPool] = {}
        self.closing: dict[str, dict[OpenSend, Any]] = {}
        self.contact = LeafContact(clock.now_ms())
        self.limits = ReceiveLimits(
            MAX_ANSWER_BYTES, ReceiveBuffer(MAX_BUFFERED_BYTES)
        )
        self.on_notice: Callable[[str, LeafNotice], None] = (
            lambda leaf_id, notice: None
        )

    def _get_pool(self, leaf: LeafEntry) -> HttpPool:
        address = (leaf.host, leaf.port)
        pool = self.pools.get(leaf.leaf_id)
        if pool is None or pool.address != address:
            if pool is not None:
                pool.close()
            pool = self.pools[leaf.leaf_id] = self._create_pool(leaf)
        return pool

    def _create_pool(self, leaf: LeafEntry) -> HttpPool:
        return HttpPool(
            self.reactor,
            self.clock,
            (leaf.host, leaf.port),
            LEAF_CONNECT_TIMEOUT_S,
            self.limits,
        )

    def drop(self, leaf_id: str) -> None:
        """Close the connections to a leaf that was removed."""
        pool = self.pools.pop(leaf_id, None)
        if pool is not None:
            pool.close()

    def close_idle(self, leaf_id: str) -> None:
        """Close idle connections to a leaf, so that the next one is new."""
        pool = self.pools.get(leaf_id)
        if pool is not None:
            pool.close()

    def has_idle(self, leaf_id: str) -> bool:
        """Return whether the pool has an idle connection to a leaf."""
        pool = self.pools.get(leaf_id)
        return pool is not None and bool(pool.idle)

    @property
    def opened_total(self) -> int:
        """Number of connections opened so far to the leafs known now."""
        return sum(pool.opened_total for pool in self.pools.values())

    def send(
        self,
        leaf: LeafEntry,
        call: CallerCall,
        head: bytes,
        time_left_ms: float,
        done: Callable[[LeafAnswer | NoAnswer], None],
    ) -> OpenSend:
        """Send a request to one leaf.

        Args:
            leaf: Destination.
            call: The caller's request.
            head: Encoded head of the request.
            time_left_ms: Time left until the answer is too late, sent to
                the leaf.
            done: Called with the leaf's answer, or with the reason for having
                none.
        """

        def on_result(result: Result) -> None:
            self._record_result(leaf.leaf_id, result, sent_at_ms, http_call)
            match result:
                case Answered(response):
                    answer = leaf_protocol.decode_response(response)
                    if not _is_of_another_leaf(answer):
                        self._report_notice(leaf, response)
                    done(answer)
                case NotSent(detail):
                    done(NoAnswer(SendOutcome.UNSENT, detail))
                case Broken(detail, rejected):
                    done(NoAnswer(SendOutcome.MAY_HAVE_RUN, detail, rejected))

        http_call = HttpCall(
            leaf_protocol.request_bytes(head, call.body, leaf, time_left_ms),
            on_result,
            accepts=lambda response: leaf_protocol.is_answer_to(
                response, call.attempt_id
            ),
            states_request=leaf_protocol.states_request,
            is_head=call.method == HEAD,
        )
        if not self.has_idle(leaf.leaf_id):
            # A connection more than the leaf's share must not be needed.
            self._close_all_abandoned(leaf.leaf_id)
        pool = self._get_pool(leaf)
        sent_at_ms = self.clock.now_ms()
        self.contact.record_send(sent_at_ms, leaf.leaf_id)
        pool.send(http_call)
        return OpenSend(leaf.leaf_id, pool, http_call, sent_at_ms)

    def _record_result(
        self, leaf_id: str, result: Result, sent_at_ms: float, call: HttpCall
    ) -> None:
        match result:
            case Answered():
                self.contact.record_response(self.clock.now_ms())
                connection = call.connection
                if connection and connection.opened_at_ms >= sent_at_ms:
                    self.contact.record_connected(self.clock.now_ms())
            case Broken(_, rejected=True):
                # A leaf at its connection limit; it is up.
                pass
            case NotSent():
                self.contact.record_unconnected(leaf_id)
            case Broken():
                self.contact.record_lost(leaf_id)

    def _report_notice(self, leaf: LeafEntry, response: HttpResponse) -> None:
        self.on_notice(leaf.leaf_id, leaf_protocol.decode_notice(response))

    def abandon(self, open_send: OpenSend) -> None:
        """Close the connection of a send, so that its leaf stops working.

        It is closed once a rejection that is on its way would be here, that of
        a health check at once: it got no answer in its time.
        """
        now_ms = self.clock.now_ms()
        self.contact.record_abandoned(now_ms, open_send.leaf_id)
        if not open_send.has_arrived or open_send.call.is_anonymous:
            open_send.pool.cancel(open_send.call)
            return
        sends = self.closing.setdefault(open_send.leaf_id, {})
        sends[open_send] = self.reactor.callLater(
            REJECTION_WAIT_MS / MS_PER_S, self._close_abandoned, open_send
        )

    def _close_abandoned(self, open_send: OpenSend) -> None:
        sends = self.closing[open_send.leaf_id]
        del sends[open_send]
        if not sends:
            del self.closing[open_send.leaf_id]
        open_send.pool.cancel(open_send.call)

    def _close_all_abandoned(self, leaf_id: str) -> None:
        for open_send, timer in list(self.closing.get(leaf_id, {}).items()):
            timer.cancel()
            self._close_abandoned(open_send)

    def check_health(
        self,
        leaf: LeafEntry,
        path: str,
        done: Callable[[HealthReport | NoAnswer], None],
        *,
        is_new_connection: bool = False,
    ) -> OpenSend:
        """Send a health request to a leaf.

        Args:
            leaf: Leaf to check.
            path: Health path of its service.
            done: Called with the report, or the reason for having no report.
            is_new_connection: Whether to use a connection of its own.
        """

        def on_result(result: Result) -> None:
            self._record_result(leaf.leaf_id, result, sent_at_ms, call)
            if is_new_connection:
                pool.close()
            match result:
                case Answered(response):
                    report = leaf_protocol.decode_health_response(response)
                    if report.leaf_id == leaf.leaf_id:
                        self._report_notice(leaf, response)
                    done(report)
                case NotSent(detail):
                    done(NoAnswer(SendOutcome.UNSENT, detail))
                case Broken(detail, rejected):
                    done(NoAnswer(SendOutcome.MAY_HAVE_RUN, detail, rejected))

        pool = (
            self._create_pool(leaf)
            if is_new_connection
            else self._get_pool(leaf)
        )
        call = HttpCall(
            leaf_protocol.health_request(leaf, path),
            on_result,
            leaf_protocol.is_health_response,
            states_request=leaf_protocol.states_request,
            is_anonymous=True,
        )
        sent_at_ms = self.clock.now_ms()
        self.contact.record_send(sent_at_ms, leaf.leaf_id)
        pool.send(call)
        return OpenSend(leaf.leaf_id, pool, call, sent_at_ms)
