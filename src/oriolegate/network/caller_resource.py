"""The HTTP resource that callers use, on twisted.web."""

from collections.abc import Callable
import math
from typing import Protocol

import attrs
from twisted.internet import defer
from twisted.web import resource
from twisted.web import server

from oriolegate.exceptions import CallerInputError
from oriolegate.models.answer import Outcome
from oriolegate.models.answer import Refusal
from oriolegate.models.request import CallerRequest
from oriolegate.network import caller_wire
from oriolegate.network.caller_wire import WireResponse
from oriolegate.result_codes import ResultCode
from oriolegate.result_codes import RunState

IDLE_TIMEOUT_S = 60


class RequestHandler(Protocol):
    """Serves callers' requests."""

    @property
    def leaving(self) -> bool:
        """Whether this process is stopping, so that callers must reconnect."""
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


def limited_request(max_body_bytes: int) -> Callable[..., server.Request]:
    """Return a request class that limits the size of bodies."""

    class LimitedRequest(server.Request):
        """A request with a limited body.

        Attributes:
            too_large: Whether the body exceeds the limit.
            received_bytes: Size of the body received so far.
        """

        too_large = False
        received_bytes = 0

        def gotLength(self, length: int | None) -> None:  # noqa: N802
            """Check the Content-Length before the body is stored."""
            if length is not None and length > max_body_bytes:
                self.too_large = True
                length = 0
            super().gotLength(length)

        def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
            """Store part of the body unless the body exceeds the limit."""
            self.received_bytes += len(data)
            if self.received_bytes > max_body_bytes:
                self.too_large = True
            if not self.too_large:
                super().handleContentChunk(data)

    return LimitedRequest


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
            path, request.getHeader, request.content.read(), fresh_id
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


def bounded_site(root: resource.Resource, max_body_bytes: int) -> server.Site:
    """Return a site that limits body size and idle time."""
    site = server.Site(root, requestFactory=limited_request(max_body_bytes))
    site.timeOut = IDLE_TIMEOUT_S
    site.displayTracebacks = False
    site.log = lambda request: None
    return site


def caller_site(handler: RequestHandler, max_body_bytes: int) -> server.Site:
    """Return the site that serves callers."""
    root = resource.Resource()
    root.putChild(b"v1", CallerResource(handler))
    return bounded_site(root, max_body_bytes)
