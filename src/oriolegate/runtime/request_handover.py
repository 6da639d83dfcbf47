"""Hands requests that this VM can't serve over to other VMs."""

from collections.abc import Callable

from oriolegate.clock import Clock
from oriolegate.exchange import timing
from oriolegate.exchange.messages import CallerCall
from oriolegate.forwarding.forward_plan import ForwardPlan
from oriolegate.forwarding.forwarded_call import ForwardedCall
from oriolegate.forwarding.forwarded_call import ForwardedReply
from oriolegate.forwarding.forwarded_call import ForwardFailed
from oriolegate.models.site import Repeatability
from oriolegate.models.site import Route
from oriolegate.network.caller_server import CallerHttpRequest
from oriolegate.runtime.request_forwarder import OpenForward
from oriolegate.runtime.request_forwarder import RequestForwarder
from oriolegate.runtime.request_log import RequestLog

OnFailed = Callable[[ForwardFailed], None]


class RequestHandover:
    """Decides which requests go to another VM, and passes on its replies.

    Attributes:
        forwarder: Sends requests to other VMs.
        forwards: Requests that another VM is asked to serve.
        is_cut_off: Returns whether this VM reaches no leaf.
    """

    def __init__(
        self,
        clock: Clock,
        forwarder: RequestForwarder,
        request_log: RequestLog,
        is_cut_off: Callable[[], bool],
    ) -> None:
        self.clock = clock
        self.forwarder = forwarder
        self.request_log = request_log
        self.forwards: dict[CallerHttpRequest, OpenForward] = {}
        self.is_cut_off = is_cut_off

    def must_forward(self, version: int) -> bool:
        """Return whether another VM should serve a new request.

        Args:
            version: Configuration version in force on this VM.
        """
        # A caller that got an answer by a newer version must not get one by an
        # older version later.
        return version < self.forwarder.seen_version or self.is_cut_off()

    def describe(
        self,
        call: CallerCall,
        version: int,
        elapsed_ms: float = 0.0,
        used_attempts: int | None = None,
    ) -> ForwardedCall:
        """Return a request as another VM gets it.

        Args:
            call: The caller's request.
            version: Configuration version by which this VM would serve it.
            elapsed_ms: Time since the request arrived.
            used_attempts: Number of leafs of one service that may have run it;
                None if this VM has sent it to none and not counted it.
        """
        return ForwardedCall(
            call,
            elapsed_ms=elapsed_ms,
            min_version=max(version, self.forwarder.seen_version),
            used_attempts=used_attempts or 0,
            is_counted=used_attempts is not None,
            vm=self.forwarder.choice.vm,
        )

    def forward(
        self,
        request: CallerHttpRequest,
        forwarded: ForwardedCall,
        route: Route,
        services: tuple[str, ...],
        targets: tuple[str, ...],
        on_failed: OnFailed,
    ) -> None:
        """Ask other VMs to serve a request, and pass on their reply.

        Args:
            request: The caller's request.
            forwarded: The request as other VMs get it.
            route: Its route.
            services: Services that its parts need.
            targets: VMs to ask, in order.
            on_failed: Called if none of them served it.
        """
        arrived_ms = self.clock.now_ms() - forwarded.elapsed_ms
        deadlines = timing.compute_deadlines(
            route, arrived_ms, forwarded.call.time_left_ms
        )
        plan = ForwardPlan(
            targets,
            route.repeatability is Repeatability.IDEMPOTENT,
            deadlines.limit_ms,
        )

        def done(outcome: ForwardedReply | ForwardFailed) -> None:
            del self.forwards[request]
            match outcome:
                case ForwardedReply(status=status, headers=headers, body=body):
                    self.request_log.log_forwarded(
                        self.clock.now_ms(), open_forward, status
                    )
                    request.reply(status, headers, body)
                case ForwardFailed():
                    self.request_log.log_forwarded(
                        self.clock.now_ms(), open_forward, None
                    )
                    on_failed(outcome)

        open_forward = OpenForward(
            forwarded,
            route,
            services,
            plan,
            arrived_ms,
            deadlines.stall_after_ms,
            done,
        )
        self.forwards[request] = open_forward
        self.forwarder.send(open_forward)

    def cancel(self, request: CallerHttpRequest) -> None:
        """Stop a request whose caller disconnected, if it was handed over."""
        open_forward = self.forwards.pop(request, None)
        if open_forward is not None:
            self.forwarder.cancel(open_forward)
            self.request_log.log_forward_cancelled(
                self.clock.now_ms(), open_forward
            )

    def end_all(self) -> None:
        """Give up all requests that were handed over, as the process ends."""
        for open_forward in list(self.forwards.values()):
            self.forwarder.cancel(open_forward)
            open_forward.done(ForwardFailed(may_have_run=True))
