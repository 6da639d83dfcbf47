"""The platform's object API over HTTP.

It carries out one call at a time for its callers and decides nothing but
errors: it never sends a call again, so a write is sent at most once.
"""

import collections
from collections.abc import Mapping
import json
from typing import Any
import urllib.parse

import attrs
from twisted.internet import defer
from twisted.internet import interfaces
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
WATCH_ANSWER_MS = 2_000

CODE_OF_STATUS = {
    404: ResultCode.PLATFORM_NOT_FOUND,
    412: ResultCode.PLATFORM_CONFLICT,
    429: ResultCode.PLATFORM_RATE_LIMITED,
    503: ResultCode.PLATFORM_DOWN,
}


@attrs.frozen
class PlatformClientSettings:
    """Where the platform is and how it may be used.

    Attributes:
        base_url: Root of the object API, without a closing slash.
        timeout_ms: Longest time of a call, waiting for its turn included.
        max_calls: Calls at once; waiting watches are not among them.
    """

    base_url: str
    timeout_ms: int = 2_000
    max_calls: int = 16


@implementer(iweb.IBodyProducer)
class _JsonBody:
    """Writes a body that is whole in memory."""

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


def _condition(expected_version: int) -> dict[str, str]:
    if expected_version == 0:
        return {"If-None-Match": "*"}
    return {"If-Match": str(expected_version)}


class PlatformClient:
    """Implements `Platform` over kept HTTP connections.

    Attributes:
        settings: See `PlatformClientSettings`.
        counts: Calls sent, by name of the method.
    """

    def __init__(
        self, reactor: interfaces.IReactorTCP, settings: PlatformClientSettings
    ) -> None:
        self.reactor = reactor
        self.settings = settings
        self.counts: collections.Counter[str] = collections.Counter()
        self.turns = defer.DeferredSemaphore(settings.max_calls)
        self.pool = client.HTTPConnectionPool(reactor, persistent=True)
        self.pool.maxPersistentPerHost = settings.max_calls
        self.pool.cachedConnectionTimeout = IDLE_CONNECTION_MS / 1_000.0
        # The pool would send a DELETE again on a broken connection.
        self.pool.retryAutomatically = False
        self.agent = client.Agent(
            reactor,
            connectTimeout=settings.timeout_ms / 1_000.0,
            pool=self.pool,
        )

    def get(self, kind: str, name: str) -> "defer.Deferred[StoredObject]":
        """Read one object."""
        call = self._call("get", "GET", _object_path(kind, name))
        return _parsed(call, _read_object)

    def list(self, kind: str) -> "defer.Deferred[ObjectList]":
        """Read all objects of a kind."""
        call = self._call("list", "GET", f"/objects/{kind}")
        return _parsed(call, _read_list)

    def put(
        self,
        kind: str,
        name: str,
        value: Mapping[str, Any],
        expected_version: int,
    ) -> "defer.Deferred[int]":
        """Write if the object is at `expected_version`; 0 means absent."""
        call = self._call(
            "put",
            "PUT",
            _object_path(kind, name),
            headers=_condition(expected_version),
            body=json.dumps(value, separators=(",", ":")).encode(),
        )
        return _parsed(call, _read_version)

    def delete(
        self, kind: str, name: str, expected_version: int
    ) -> "defer.Deferred[None]":
        """Delete if the object is at `expected_version`."""
        call = self._call(
            "delete",
            "DELETE",
            _object_path(kind, name),
            headers=_condition(expected_version),
        )
        return _parsed(call, lambda _: None)

    def watch(
        self, kind: str, after_revision: int, timeout_ms: int
    ) -> "defer.Deferred[ObjectList]":
        """Wait until something of the kind changes, or the time is over."""
        path = f"/watch/{kind}?after={after_revision}&timeout_ms={timeout_ms}"
        self.counts["watch"] += 1
        call = defer.Deferred.fromCoroutine(self._exchange("GET", path))
        return _parsed(
            self._bounded(call, timeout_ms + WATCH_ANSWER_MS), _read_list
        )

    def list_vms(self) -> "defer.Deferred[tuple[VmRecord, ...]]":
        """Read the platform's list of VMs."""
        return _parsed(self._call("list_vms", "GET", "/vms"), _read_vms)

    def close(self) -> "defer.Deferred[None]":
        """Close the kept connections."""
        return self.pool.closeCachedConnections()

    def _call(
        self,
        call: str,
        method: str,
        path: str,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
    ) -> "defer.Deferred[Any]":
        def send() -> "defer.Deferred[Any]":
            self.counts[call] += 1
            return defer.Deferred.fromCoroutine(
                self._exchange(method, path, headers, body)
            )

        return self._bounded(self.turns.run(send), self.settings.timeout_ms)

    def _bounded(
        self, call: "defer.Deferred[Any]", timeout_ms: float
    ) -> "defer.Deferred[Any]":
        call.addTimeout(timeout_ms / 1_000.0, self.reactor)
        call.addErrback(_as_platform_error)
        return call

    async def _exchange(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
    ) -> Any:
        sent = {name: [value] for name, value in (headers or {}).items()}
        response = await self.agent.request(
            method.encode(),
            (self.settings.base_url + path).encode(),
            http_headers.Headers(sent),
            _JsonBody(body) if body is not None else None,
        )
        answer = await client.readBody(response)
        if response.code == 200:
            return json.loads(answer)
        raise _refusal(response.code, answer)


def _parsed(call: "defer.Deferred[Any]", read: Any) -> "defer.Deferred[Any]":
    call.addCallback(read)
    call.addErrback(_as_bad_answer)
    return call


def _refusal(status: int, answer: bytes) -> PlatformError:
    code = CODE_OF_STATUS.get(status, ResultCode.PLATFORM_BAD_ANSWER)
    text = answer[:200].decode(errors="replace")
    return PlatformError(f"the platform answered {status}: {text}", code)


def _as_bad_answer(reason: Any) -> Any:
    reason.trap(KeyError, TypeError, ValueError)
    raise PlatformError(
        f"the platform's answer can't be read: {reason.value!r}",
        ResultCode.PLATFORM_BAD_ANSWER,
    ) from reason.value


def _as_platform_error(reason: Any) -> Any:
    if reason.check(PlatformError, defer.CancelledError, ValueError):
        return reason
    raise PlatformError(
        f"the platform can't be reached, try later: {reason.value!r}",
        ResultCode.PLATFORM_DOWN,
    ) from reason.value
