"""An HTTP caller on twisted.web for the demo and functional tests."""

from collections.abc import Mapping
from typing import Any

import attrs
import orjson
from twisted.internet import defer
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb
from zope.interface import implementer

from oriolegate.network.ip_endpoints import IpEndpointFactory

CONNECT_TIMEOUT_S = 10.0


@attrs.frozen
class CallerAnswer:
    """Response to a caller's request.

    Attributes:
        status: HTTP status.
        value: Decoded JSON body.
    """

    status: int
    value: dict[str, Any]


@implementer(iweb.IBodyProducer)
class _Body:
    def __init__(self, data: bytes) -> None:
        self.data = data
        self.length = len(data)

    def startProducing(  # noqa: N802 (Twisted's name)
        self, consumer: Any
    ) -> "defer.Deferred[None]":
        consumer.write(self.data)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: the body has been written."""

    resumeProducing = pauseProducing  # noqa: N815
    stopProducing = pauseProducing  # noqa: N815


class Caller:
    """Sends requests to one entry VM over persistent connections."""

    def __init__(self, reactor: Any, url: str) -> None:
        self.url = url
        self.pool = client.HTTPConnectionPool(reactor, persistent=True)
        self.pool.maxPersistentPerHost = 256
        self.pool.retryAutomatically = False
        self.agent = client.Agent.usingEndpointFactory(
            reactor, IpEndpointFactory(reactor, CONNECT_TIMEOUT_S), self.pool
        )

    async def post(
        self, path: str, body: bytes, headers: Mapping[str, str] | None = None
    ) -> CallerAnswer:
        """Send one POST request and return the response with its body."""
        header_lists = {
            name: [value] for name, value in (headers or {}).items()
        }
        response = await self.agent.request(
            b"POST",
            (self.url + path).encode(),
            http_headers.Headers(header_lists),
            _Body(body),
        )
        text = await client.readBody(response)
        return CallerAnswer(response.code, orjson.loads(text))

    def close(self) -> "defer.Deferred[None]":
        """Close the idle connections."""
        return self.pool.closeCachedConnections()
