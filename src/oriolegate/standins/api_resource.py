"""A twisted.web resource that serves a routing function as JSON.

A lost answer is emulated by aborting the connection after the write took
effect.
"""

from collections.abc import Callable
import json
from typing import Any

from twisted.internet import defer
from twisted.python import failure
from twisted.web import resource
from twisted.web import server

from oriolegate.exceptions import PlatformError
from oriolegate.result_codes import ResultCode
from oriolegate.standins.in_memory_platform import AnswerLostError

HTTP_STATUS = {
    ResultCode.PLATFORM_NOT_FOUND: 404,
    ResultCode.PLATFORM_CONFLICT: 412,
    ResultCode.PLATFORM_BAD_ANSWER: 413,
    ResultCode.PLATFORM_RATE_LIMITED: 429,
    ResultCode.PLATFORM_DOWN: 503,
}

Route = Callable[[str, list[str], Any], Any]


def _write_json(request: Any, body: Any, status: int = 200) -> None:
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    request.write(json.dumps(body).encode())
    request.finish()


class ApiResource(resource.Resource):
    """Serves every path below the resource with one function.

    Attributes:
        route: Called with method, path and request; returns the JSON body or
            a deferred of it, or raises.
    """

    isLeaf = True  # noqa: N815 (twisted's name)

    def __init__(self, route: Route) -> None:
        super().__init__()
        self.route = route

    def render(self, request: Any) -> int:
        """Start one call; the response is written when the call ends."""
        path = [part.decode() for part in request.postpath]
        call = defer.maybeDeferred(
            self.route, request.method.decode(), path, request
        )
        disconnected = request.notifyFinish()
        disconnected.addErrback(lambda _: call.cancel())
        call.addCallbacks(
            lambda body: _write_json(request, body),
            lambda reason: self._write_error(request, reason),
        )
        return int(server.NOT_DONE_YET)

    def _write_error(self, request: Any, reason: failure.Failure) -> None:
        error = reason.value
        match error:
            case defer.CancelledError():
                return
            case AnswerLostError():
                request.transport.abortConnection()
            case PlatformError():
                body = {"code": int(error.code), "message": error.message}
                _write_json(request, body, HTTP_STATUS.get(error.code, 500))
            case KeyError() | TypeError() | ValueError():
                _write_json(request, {"message": repr(error)}, 400)
            case _:
                _write_json(request, {"message": repr(error)}, 500)


def build_site(route: Route) -> server.Site:
    """Build the HTTP server factory of a routing function."""
    return server.Site(ApiResource(route))
