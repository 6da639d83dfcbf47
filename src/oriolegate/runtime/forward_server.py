"""Serves requests that other VMs forward to this one.

Such a request is never forwarded again, so that it can't go round in circles
between VMs that all reach no leaf.
"""

from collections.abc import Callable

import attrs

from oriolegate import structured_log
from oriolegate.exceptions import PeerMessageError
from oriolegate.forwarding.forwarded_call import ForwardedCall
from oriolegate.forwarding.forwarded_call import ForwardedReply
from oriolegate.forwarding.forwarded_call import ForwardState
from oriolegate.models.header_lines import HeaderLines
from oriolegate.network import forward_wire
from oriolegate.network.caller_server import InternalRequest
from oriolegate.platform import leaf_protocol

log = structured_log.get_logger("forwards")

STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_UNAVAILABLE = 503
# Forwarded requests that this VM serves at the same time; others are declined,
# so that its own callers are served.
MAX_OPEN = 128


@attrs.define(eq=False)
class ForwardedRequest:
    """A request of another VM's caller.

    Attributes:
        http_request: The other VM's request.
        forwarded: Its content.
        version: Configuration version that is applied.
        is_unreachable: Whether this VM could not reach the leafs.
        used_attempts: Number of leafs of one service that may have run it here.
        has_arrived: Whether a leaf may have received it from this VM.
        on_ended: Called once the reply is sent or the other VM disconnected.
    """

    http_request: InternalRequest
    forwarded: ForwardedCall
    version: int = 0
    is_unreachable: bool = False
    used_attempts: int = 0
    has_arrived: bool = False
    on_ended: Callable[[], None] = lambda: None

    def reply(self, status: int, headers: HeaderLines, body: bytes) -> None:
        """Send what the caller shall get to the other VM."""
        may_have_run = status not in leaf_protocol.NOT_RUN_STATUSES
        state = ForwardState.ANSWERED
        if self.is_unreachable:
            state = ForwardState.UNREACHABLE
        elif not may_have_run:
            state = ForwardState.DECLINED
        self._send(
            ForwardedReply(
                self.forwarded.call.attempt_id,
                state,
                may_have_run,
                self.version,
                status,
                headers,
                body,
                self.used_attempts,
                self.has_arrived,
            )
        )

    def decline(self, state: ForwardState = ForwardState.DECLINED) -> None:
        """Tell the other VM that this one takes no request now."""
        self._send(
            ForwardedReply(
                self.forwarded.call.attempt_id,
                state,
                False,
                self.version,
                STATUS_UNAVAILABLE,
                HeaderLines(),
                b"",
                used_attempts=0,
                has_arrived=False,
            )
        )

    def _send(self, reply: ForwardedReply) -> None:
        self.http_request.respond(STATUS_OK, forward_wire.encode_reply(reply))
        self.on_ended()


class ForwardServer:
    """Decodes forwarded requests and limits how many are open.

    Attributes:
        serve: Serves a request.
        cancel: Stops a request whose VM has disconnected.
        open_requests: Requests without a reply.
    """

    def __init__(
        self,
        serve: Callable[[ForwardedRequest], None],
        cancel: Callable[[ForwardedRequest], None],
    ) -> None:
        self.serve = serve
        self.cancel = cancel
        self.open_requests: set[ForwardedRequest] = set()

    def handle(self, http_request: InternalRequest) -> None:
        """Handle a request to the path of forwarded requests."""
        try:
            if http_request.too_large or http_request.uri != forward_wire.PATH:
                raise PeerMessageError("unknown path or too many bytes")
            forwarded = forward_wire.decode_call(http_request.read_body())
        except PeerMessageError as error:
            log.bind(reason=error.message).warning(
                "malformed forwarded request rejected"
            )
            http_request.respond(STATUS_BAD_REQUEST, b"")
            return
        request = ForwardedRequest(http_request, forwarded)
        if len(self.open_requests) >= MAX_OPEN:
            request.decline()
            return
        self.open_requests.add(request)
        request.on_ended = lambda: self.open_requests.discard(request)
        http_request.on_disconnected = lambda: self._on_disconnected(request)
        self.serve(request)

    def _on_disconnected(self, request: ForwardedRequest) -> None:
        self.open_requests.discard(request)
        self.cancel(request)
