"""The HTTP resource that callers use, on twisted.web."""

import math
from typing import Any
from typing import Protocol

import attrs
from twisted.internet import defer
from twisted.web import resource
from twisted.web import server

from oriolegate.connections.machine_share import ConnectionGroup
from oriolegate.exceptions import CallerInputError
from oriolegate.models.answer import Outcome
from oriolegate.models.answer import Refusal
from oriolegate.models.request import CallerRequest
from oriolegate.network import caller_wire
from oriolegate.network.bounded_channel import BoundedChannel
from oriolegate.network.bounded_request import BoundedBody
from oriolegate.network.caller_wire import WireResponse
from oriolegate.network.server_connections import ServerConnections
from oriolegate.result_codes import ResultCode
from oriolegate.result_codes import RunState

IDLE_TIMEOUT_S = 60
# Retry-After of a request that this VM has no memory for.
OVERLOADED_RETRY_MS = 1_000


class RequestHandler(Protocol):
    """Serves callers' requests."""

    @property
    def leaving(self) -> bool:
        """Whether this process is stopping, so that callers must reconnect."""
        ...

    @property
    def most_parts(self) -> int:
        """Most leafs that get one request at the same time."""
        ...

    def handle(self, request: CallerRequest) -> "defer.Deferred[Outcome]":
        """Serve one request."""
        ...

    def caller_gone(self, request_id: str) -> None:
        """Stop serving a request whose caller has disconnected."""
        ...

    def fresh_request_id(self) -> str:
        """Return a unique request id."""
        ...

    def unique_request_id(self, wanted: str) -> str:
        """Return `wanted`, or a variant if a running request has the id."""
        ...


class LimitedRequest(BoundedBody, server.Request):
    """A request with a limited body, whose forms are not parsed."""

    max_body_bytes = 0

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs, parsePOSTFormSubmission=False)

    def requestReceived(  # noqa: N802 (Twisted's name)
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Handle the complete request; leave its query to those who read it.

        A query of many short arguments needs some hundred times its bytes.
        """
        self.content.seek(0, 0)
        self.method = command
        self.uri = path
        self.path, _, self.query = path.partition(b"?")
        self.clientproto = version
        self.process()


class CallerResource(resource.Resource):
    """The resource that serves all paths below `/v1`."""

    isLeaf = True  # noqa: N815 (Twisted's name)

    def __init__(self, handler: RequestHandler) -> None:
        super().__init__()
        self.handler = handler

    def render_POST(self, request: server.Request) -> int:  # noqa: N802
        """Serve a query or a submit."""
        try:
            caller_request = self._read(request)
        except CallerInputError as error:
            refusal = Refusal(
                request.getHeader("X-Request-Id") or "",
                error.code,
                RunState.NOT_RUN,
                error.message,
                OVERLOADED_RETRY_MS
                if error.code is ResultCode.OVERLOADED
                else None,
            )
            write_response(request, caller_wire.refusal_response(refusal))
            return server.NOT_DONE_YET
        self._serve(request, caller_request)
        return server.NOT_DONE_YET

    def _read(self, request: server.Request) -> CallerRequest:
        if request.too_large:
            raise CallerInputError(
                "the body is larger than this service allows",
                ResultCode.BODY_TOO_LARGE,
            )
        fresh_id = self.handler.fresh_request_id()
        path = [part.decode("utf-8", "replace") for part in request.postpath]
        caller_request = caller_wire.read_request(
            path, request.getHeader, request.read_body(), fresh_id
        )
        if not request.reserve_parts(self.handler.most_parts):
            raise CallerInputError(
                "this VM has no memory for the request; ask another",
                ResultCode.OVERLOADED,
            )
        unique_id = self.handler.unique_request_id(caller_request.request_id)
        return attrs.evolve(caller_request, request_id=unique_id)

    def _serve(
        self, request: server.Request, caller_request: CallerRequest
    ) -> None:
        disconnected = False

        def on_disconnect(_: object) -> None:
            nonlocal disconnected
            disconnected = True
            self.handler.caller_gone(caller_request.request_id)

        def respond(outcome: Outcome) -> None:
            if disconnected:
                return
            if self.handler.leaving:
                # The balancer then directs the next connection to another VM.
                request.setHeader("Connection", "close")
                request.channel.persistent = False
            write_response(request, caller_wire.response(outcome))

        request.notifyFinish().addErrback(on_disconnect)
        self.handler.handle(caller_request).addCallback(respond)


def write_response(request: server.Request, response: WireResponse) -> None:
    """Send a response and finish the request."""
    request.setResponseCode(response.status)
    request.setHeader("Content-Type", "application/json")
    request.setHeader("X-Oriolegate-Code", str(int(response.code)))
    if response.retry_after_ms is not None:
        seconds = math.ceil(response.retry_after_ms / 1000)
        request.setHeader("Retry-After", str(seconds))
    request.setHeader("Content-Length", str(len(response.body)))
    request.write(response.body)
    request.finish()


def bounded_site(
    root: resource.Resource,
    max_body_bytes: int,
    connections: ServerConnections,
    group: ConnectionGroup,
) -> server.Site:
    """Return a site that keeps within the limits of its process.

    Args:
        root: The resource that is served.
        max_body_bytes: Longest body of a request.
        connections: Limits that all connections of the process share.
        group: Which part of the limits the connections use.
    """

    class SiteRequest(LimitedRequest):
        """Request class with the limit of this site."""

    SiteRequest.max_body_bytes = max_body_bytes
    site = server.Site(root, requestFactory=SiteRequest)
    site.protocol = lambda: BoundedChannel(connections, group)
    site.timeOut = IDLE_TIMEOUT_S
    site.displayTracebacks = False
    site.log = lambda request: None
    return site


def caller_site(
    handler: RequestHandler,
    max_body_bytes: int,
    connections: ServerConnections,
) -> server.Site:
    """Return the site that serves callers."""
    root = resource.Resource()
    root.putChild(b"v1", CallerResource(handler))
    return bounded_site(
        root, max_body_bytes, connections, ConnectionGroup.CALLERS
    )
