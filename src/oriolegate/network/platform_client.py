"""HTTP client of the platform's object API.

Each failure has a result code, and no call is retried: only the caller knows
whether a write that may have taken effect may be repeated.
"""

import collections
from collections.abc import Callable
from collections.abc import Mapping
import json
from typing import Any
import urllib.parse

import attrs
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import interfaces
from twisted.python import failure
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb
from zope.interface import implementer

from oriolegate.exceptions import PlatformError
from oriolegate.network.platform_api import ObjectList
from oriolegate.network.platform_api import StoredObject
from oriolegate.network.platform_api import VmRecord
from oriolegate.network.platform_api import VmState
from oriolegate.result_codes import ResultCode

IDLE_CONNECTION_MS = 20_000
WATCH_GRACE_MS = 2_000  # extra time for the answer when a watch ends

CODE_OF_STATUS = {
    404: ResultCode.PLATFORM_NOT_FOUND,
    412: ResultCode.PLATFORM_CONFLICT,
    429: ResultCode.PLATFORM_RATE_LIMITED,
}
HTTP_OK = 200
FIRST_SERVER_ERROR_STATUS = 500


@attrs.frozen
class PlatformClientSettings:
    """Address and limits of the platform's object API.

    Attributes:
        base_url: Root of the object API, without a trailing slash; its host
            is an IPv4 address.
        timeout_ms: Timeout of a call, including the wait for a call slot.
        max_calls: Maximum number of concurrent calls, not counting watches.
    """

    base_url: str
    timeout_ms: int = 2_000
    max_calls: int = 16


@implementer(iweb.IBodyProducer)
class _JsonBody:
    """Request body that is kept in memory."""

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.length = len(body)

    def startProducing(  # noqa: N802 (twisted's name)
        self, consumer: Any
    ) -> "defer.Deferred[None]":
        """Write the whole body at once."""
        consumer.write(self.body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802 (twisted's name)
        """Do nothing: the body has been written."""

    resumeProducing = pauseProducing  # noqa: N815 (twisted's name)
    stopProducing = pauseProducing  # noqa: N815 (twisted's name)


@attrs.frozen
class _Request:
    """One HTTP request of the object API."""

    method: str
    path: str
    condition: dict[str, list[str]] = attrs.field(factory=dict)
    body: bytes = b""


@implementer(iweb.IAgentEndpointFactory)
class Ipv4EndpointFactory:
    """Connects to IPv4 addresses only.

    Twisted resolves host names in a thread, but the process must stay
    single-threaded.
    """

    def __init__(
        self, reactor: interfaces.IReactorTCP, timeout_ms: float
    ) -> None:
        self.reactor = reactor
        self.timeout_ms = timeout_ms

    def endpointForURI(  # noqa: N802 (twisted's name)
        self, uri: client.URI
    ) -> endpoints.TCP4ClientEndpoint:
        """Return the endpoint of a URL whose host is an IPv4 address."""
        return endpoints.TCP4ClientEndpoint(
            self.reactor,
            uri.host.decode(),
            uri.port,
            timeout=self.timeout_ms / 1_000.0,
        )


def _read_object(row: Mapping[str, Any]) -> StoredObject:
    return StoredObject(row["name"], row["version"], row["value"])


def _read_list(body: Mapping[str, Any]) -> ObjectList:
    items = tuple(_read_object(row) for row in body["items"])
    return ObjectList(body["revision"], items)


def _read_vms(body: Mapping[str, Any]) -> tuple[VmRecord, ...]:
    return tuple(
        VmRecord(
            vm=row["vm"],
            host=row["host"],
            peer_port=row["peer_port"],
            data_centre=row["data_centre"],
            state=VmState(row["state"]),
        )
        for row in body["vms"]
    )


def _read_version(body: Mapping[str, Any]) -> int:
    return int(body["version"])


def _object_path(kind: str, name: str) -> str:
    return f"/objects/{kind}/{urllib.parse.quote(name, safe='')}"


def _precondition(expected_version: int) -> dict[str, list[str]]:
    if expected_version == 0:
        return {"If-None-Match": ["*"]}
    return {"If-Match": [str(expected_version)]}


class PlatformClient:
    """Implements `Platform` over persistent HTTP connections.

    A cancelled call also fails with PLATFORM_DOWN.

    Attributes:
        settings: See `PlatformClientSettings`.
        counts: Number of calls sent, by method name.
        call_slots: Limits the number of concurrent calls.
    """

    def __init__(
        self, reactor: interfaces.IReactorTCP, settings: PlatformClientSettings
    ) -> None:
        self.reactor = reactor
        self.settings = settings
        self.counts: collections.Counter[str] = collections.Counter()
        self.call_slots = defer.DeferredSemaphore(settings.max_calls)
        self.pool = client.HTTPConnectionPool(reactor, persistent=True)
        self.pool.maxPersistentPerHost = settings.max_calls
        self.pool.cachedConnectionTimeout = IDLE_CONNECTION_MS / 1_000.0
        # By default, the pool retries a DELETE after a broken connection.
        self.pool.retryAutomatically = False
        self.agent = client.Agent.usingEndpointFactory(
            reactor,
            Ipv4EndpointFactory(reactor, settings.timeout_ms),
            self.pool,
        )

    def get(self, kind: str, name: str) -> "defer.Deferred[StoredObject]":
        """Read one object."""
        request = _Request("GET", _object_path(kind, name))
        return self._call("get", request, _read_object)

    def list(self, kind: str) -> "defer.Deferred[ObjectList]":
        """Read all objects of a kind."""
        request = _Request("GET", f"/objects/{kind}")
        return self._call("list", request, _read_list)

    def put(
        self,
        kind: str,
        name: str,
        value: Mapping[str, Any],
        expected_version: int,
    ) -> "defer.Deferred[int]":
        """Write an object if it is at `expected_version`; 0 means absent."""
        request = _Request(
            method="PUT",
            path=_object_path(kind, name),
            condition=_precondition(expected_version),
            body=json.dumps(value, separators=(",", ":")).encode(),
        )
        return self._call("put", request, _read_version)

    def delete(
        self, kind: str, name: str, expected_version: int
    ) -> "defer.Deferred[None]":
        """Delete an object if it is at `expected_version`."""
        request = _Request(
            method="DELETE",
            path=_object_path(kind, name),
            condition=_precondition(expected_version),
        )
        return self._call("delete", request, lambda _: None)

    def watch(
        self, kind: str, after_revision: int, timeout_ms: int
    ) -> "defer.Deferred[ObjectList]":
        """Wait for a change of the kind or until the timeout."""
        path = f"/watch/{kind}?after={after_revision}&timeout_ms={timeout_ms}"
        waiting = self._send("watch", _Request("GET", path), _read_list)
        return self._with_timeout(waiting, timeout_ms + WATCH_GRACE_MS)

    def list_vms(self) -> "defer.Deferred[tuple[VmRecord, ...]]":
        """Read the platform's list of VMs."""
        return self._call("list_vms", _Request("GET", "/vms"), _read_vms)

    def close(self) -> "defer.Deferred[None]":
        """Close the idle connections."""
        return self.pool.closeCachedConnections()

    def _call(
        self, call: str, request: _Request, read: Callable[[Any], Any]
    ) -> "defer.Deferred[Any]":
        exchange = self.call_slots.run(self._send, call, request, read)
        return self._with_timeout(exchange, self.settings.timeout_ms)

    def _send(
        self, call: str, request: _Request, read: Callable[[Any], Any]
    ) -> "defer.Deferred[Any]":
        self.counts[call] += 1
        return defer.Deferred.fromCoroutine(self._exchange(request, read))

    def _with_timeout(
        self, call: "defer.Deferred[Any]", timeout_ms: float
    ) -> "defer.Deferred[Any]":
        call.addTimeout(timeout_ms / 1_000.0, self.reactor)
        call.addErrback(_as_platform_error)
        return call

    async def _exchange(
        self, request: _Request, read: Callable[[Any], Any]
    ) -> Any:
        response = await self.agent.request(
            request.method.encode(),
            (self.settings.base_url + request.path).encode(),
            http_headers.Headers(request.condition),
            _JsonBody(request.body) if request.body else None,
        )
        answer = await client.readBody(response)
        if response.code != HTTP_OK:
            raise _refusal(request, response.code, answer)
        try:
            return read(json.loads(answer))
        except (KeyError, TypeError, ValueError) as error:
            raise _bad_answer(request, repr(error)) from error


def _refusal(request: _Request, status: int, answer: bytes) -> PlatformError:
    text = f"{status}: {answer[:200].decode(errors='replace')}"
    if status >= FIRST_SERVER_ERROR_STATUS:
        message = f"the platform is down, try later; it answered {text}"
        return PlatformError(message, ResultCode.PLATFORM_DOWN)
    code = CODE_OF_STATUS.get(status)
    if code is None:
        return _bad_answer(request, text)
    return PlatformError(f"the platform refused the call with {text}", code)


def _bad_answer(request: _Request, text: str) -> PlatformError:
    # A write whose response can't be parsed may have taken effect.
    code = ResultCode.PLATFORM_DOWN
    if request.method == "GET":
        code = ResultCode.PLATFORM_BAD_ANSWER
    message = f"check the platform, its answer can't be read: {text}"
    return PlatformError(message, code)


def _as_platform_error(reason: failure.Failure) -> failure.Failure:
    if reason.check(PlatformError):
        return reason
    raise PlatformError(
        f"the platform can't be reached, try later: {reason.value!r}",
        ResultCode.PLATFORM_DOWN,
    ) from reason.value
