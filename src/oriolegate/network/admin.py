"""The admin HTTP server: health, status, metrics, events and rules."""

from collections.abc import Callable
from collections.abc import Mapping
import hmac
import json
from typing import Any
from typing import Protocol
from urllib import parse

import attrs
import orjson
from twisted.internet import defer
from twisted.web import resource
from twisted.web import server

from oriolegate.connections.machine_share import ConnectionGroup
from oriolegate.exceptions import CallerInputError
from oriolegate.exceptions import OriolegateError
from oriolegate.logging_setup import get_logger
from oriolegate.network import caller_resource
from oriolegate.network.caller_wire import HTTP_STATUS
from oriolegate.network.caller_wire import WireResponse
from oriolegate.network.server_connections import ServerConnections
from oriolegate.result_codes import ResultCode

MAX_BODY_BYTES = 1_100_000
# Far more than any endpoint has.
MAX_ARGUMENTS = 64

log = get_logger("admin")


@attrs.frozen
class AdminRequest:
    """One request of an operator.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        arguments: Query arguments; the first value of each name.
        body: Decoded JSON object of a POST, else empty.
    """

    method: str
    path: str
    arguments: Mapping[str, str]
    body: Mapping[str, Any]


@attrs.frozen
class AdminAnswer:
    """A response to an operator.

    Attributes:
        value: A string, sent as plain text, or any other value, sent as JSON.
        status: HTTP status.
    """

    value: Any
    status: int = 200


Route = Callable[[AdminRequest], "AdminAnswer | defer.Deferred[AdminAnswer]"]


class AdminHandler(Protocol):
    """Provides the admin endpoints, as functions by method and path."""

    def open_routes(self) -> Mapping[tuple[str, str], Route]:
        """Return routes that need no key."""
        ...

    def key_routes(self) -> Mapping[tuple[str, str], Route]:
        """Return routes that need the admin key."""
        ...


class AdminResource(resource.Resource):
    """The resource that serves all admin endpoints."""

    isLeaf = True  # noqa: N815 (Twisted's name)

    def __init__(self, handler: AdminHandler, admin_key: str) -> None:
        super().__init__()
        self.open_routes = handler.open_routes()
        self.key_routes = handler.key_routes()
        self.expected_credentials = f"Bearer {admin_key}".encode()

    def render(self, request: server.Request) -> int:
        """Serve a request of any method."""
        try:
            admin_request = _read(request)
            route = self._route(request, admin_request)
        except OriolegateError as error:
            _write_error(request, error)
            return server.NOT_DONE_YET
        call = defer.maybeDeferred(route, admin_request)
        call.addCallbacks(
            lambda answer: _write(request, answer),
            lambda reason: _write_failure(request, reason),
        )
        return server.NOT_DONE_YET

    def _route(
        self, request: server.Request, admin_request: AdminRequest
    ) -> Route:
        method_and_path = (admin_request.method, admin_request.path)
        route = self.open_routes.get(method_and_path)
        if route is not None:
            return route
        credentials = (request.getHeader("Authorization") or "").encode()
        if not hmac.compare_digest(credentials, self.expected_credentials):
            raise CallerInputError(
                "send the admin key as Authorization: Bearer KEY",
                ResultCode.UNAUTHORIZED,
            )
        route = self.key_routes.get(method_and_path)
        if route is None:
            raise CallerInputError(
                f"there is no {admin_request.method} {admin_request.path}",
                ResultCode.NOT_FOUND,
            )
        return route


def _read(request: server.Request) -> AdminRequest:
    if request.too_large:
        raise CallerInputError(
            "the body is larger than allowed", ResultCode.BODY_TOO_LARGE
        )
    body: Any = {}
    if request.method == b"POST":
        try:
            body = json.loads(request.read_body() or b"{}")
        except ValueError:
            body = None
        if not isinstance(body, dict):
            raise CallerInputError("the body is not a JSON object")
    try:
        values_by_name = parse.parse_qs(
            request.query.decode("utf-8", "replace"),
            keep_blank_values=True,
            max_num_fields=MAX_ARGUMENTS,
        )
    except ValueError:
        raise CallerInputError(
            f"the query has more than {MAX_ARGUMENTS} arguments"
        ) from None
    arguments = {name: values[0] for name, values in values_by_name.items()}
    return AdminRequest(
        request.method.decode("latin-1"),
        request.path.decode("utf-8", "replace").rstrip("/") or "/",
        arguments,
        body,
    )


def _write(request: server.Request, answer: AdminAnswer) -> None:
    if request._disconnected:
        return
    if isinstance(answer.value, str):
        request.setResponseCode(answer.status)
        request.setHeader("Content-Type", "text/plain; charset=utf-8")
        request.write(answer.value.encode())
        request.finish()
        return
    body = orjson.dumps(answer.value, option=orjson.OPT_NON_STR_KEYS)
    caller_resource.write_response(
        request, WireResponse(answer.status, ResultCode.OK, body)
    )


def _write_error(request: server.Request, error: OriolegateError) -> None:
    body = orjson.dumps(
        {
            "code": int(error.code),
            "code_name": error.code.name,
            "message": error.message,
        }
    )
    status = HTTP_STATUS.get(error.code, 503)
    caller_resource.write_response(
        request, WireResponse(status, error.code, body)
    )


def _write_failure(request: server.Request, reason: Any) -> None:
    if request._disconnected:
        return
    if isinstance(reason.value, OriolegateError):
        _write_error(request, reason.value)
        return
    log.error(
        "An admin request failed; answering with status 500: {}",
        reason.getTraceback(),
    )
    body = b'{"code": 1001, "message": "the request failed; see the log"}'
    caller_resource.write_response(
        request, WireResponse(500, ResultCode.BAD_REQUEST, body)
    )


def admin_site(
    handler: AdminHandler, admin_key: str, connections: ServerConnections
) -> server.Site:
    """Return the site that serves operators and the balancer."""
    return caller_resource.bounded_site(
        AdminResource(handler, admin_key),
        MAX_BODY_BYTES,
        connections,
        ConnectionGroup.INTERNAL,
    )
