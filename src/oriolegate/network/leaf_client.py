"""Sends requests to leafs and tells what came of them."""

from collections.abc import Callable
from typing import Any

import attrs

from oriolegate.clock import Clock
from oriolegate.exchange.messages import CallerCall
from oriolegate.exchange.messages import LeafAnswer
from oriolegate.exchange.messages import SendOutcome
from oriolegate.models.site import LeafEntry
from oriolegate.network.http_connection import Answered
from oriolegate.network.http_connection import Broken
from oriolegate.network.http_connection import HttpCall
from oriolegate.network.http_connection import NotSent
from oriolegate.network.http_connection import Result
from oriolegate.network.http_pool import HttpPool
from oriolegate.network.http_reader import HttpResponse
from oriolegate.platform import leaf_protocol
from oriolegate.platform.leaf_protocol import HealthReport
from oriolegate.platform.leaf_protocol import NoAnswer

HEAD = b"HEAD"
# A leaf in another region takes 50 ms to accept a connection. One that is
# without power or cut off never does; its request goes elsewhere in time for
# a target of 400 ms, and an opening packet that was lost would be sent again
# only after a second.
LEAF_CONNECT_TIMEOUT_S = 0.25


@attrs.define(eq=False)
class OpenSend:
    """A send whose answer is waited for."""

    pool: HttpPool
    call: HttpCall


def accept_any(response: HttpResponse) -> bool:
    """Take every response for one to the request in flight."""
    return True


class LeafClient:
    """Connections to all leafs, by leaf id."""

    def __init__(self, reactor: Any, clock: Clock) -> None:
        self.reactor = reactor
        self.clock = clock
        self.pools: dict[str, HttpPool] = {}

    def _pool(self, leaf: LeafEntry) -> HttpPool:
        address = (leaf.host, leaf.port)
        pool = self.pools.get(leaf.leaf_id)
        if pool is None or pool.address != address:
            if pool is not None:
                pool.close()
            pool = HttpPool(
                self.reactor, self.clock, address, LEAF_CONNECT_TIMEOUT_S
            )
            self.pools[leaf.leaf_id] = pool
        return pool

    def drop(self, leaf_id: str) -> None:
        """Close the connections to a leaf that is gone."""
        pool = self.pools.pop(leaf_id, None)
        if pool is not None:
            pool.close()

    def has_idle(self, leaf_id: str) -> bool:
        """Return whether a kept connection to a leaf is free."""
        pool = self.pools.get(leaf_id)
        return pool is not None and bool(pool.idle)

    @property
    def opened_total(self) -> int:
        """Connections opened to the leafs known now."""
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
            leaf: Where to.
            call: The caller's request.
            head: Its encoded head.
            time_left_ms: How long the answer is waited for.
            done: Gets what came of it.
        """

        def finished(result: Result) -> None:
            match result:
                case Answered(response):
                    done(leaf_protocol.interpret(response))
                case NotSent(detail):
                    done(NoAnswer(SendOutcome.UNSENT, detail))
                case Broken(detail, turned_away):
                    done(
                        NoAnswer(SendOutcome.MAY_HAVE_RUN, detail, turned_away)
                    )

        http_call = HttpCall(
            leaf_protocol.request_bytes(head, call.body, leaf, time_left_ms),
            finished,
            accepts=lambda response: leaf_protocol.belongs(
                response, call.attempt_id
            ),
            is_head=call.method == HEAD,
        )
        pool = self._pool(leaf)
        pool.send(http_call)
        return OpenSend(pool, http_call)

    def abandon(self, open_send: OpenSend) -> None:
        """Close the connection of a send, so that its leaf stops."""
        open_send.pool.cancel(open_send.call)

    def check_health(
        self,
        leaf: LeafEntry,
        path: str,
        done: Callable[[HealthReport | NoAnswer], None],
    ) -> OpenSend:
        """Ask a leaf for its health.

        Args:
            leaf: Which leaf.
            path: Its service's health path.
            done: Gets the report, or why there is none.
        """

        def finished(result: Result) -> None:
            match result:
                case Answered(response):
                    done(leaf_protocol.health_report(response))
                case NotSent(detail):
                    done(NoAnswer(SendOutcome.UNSENT, detail))
                case Broken(detail, turned_away):
                    done(
                        NoAnswer(SendOutcome.MAY_HAVE_RUN, detail, turned_away)
                    )

        pool = self._pool(leaf)
        call = HttpCall(
            leaf_protocol.health_request(leaf, path), finished, accept_any
        )
        pool.send(call)
        return OpenSend(pool, call)
