"""Hands requests that this VM can't serve over to other VMs."""

from collections.abc import Callable

from oriolegate.clock import Clock
from oriolegate.exchange import timing
from oriolegate.exchange.exchange import Exchange
from oriolegate.exchange.messages import CallerCall
from oriolegate.exchange.messages import Refuse
from oriolegate.forwarding.forward_plan import ForwardPlan
from oriolegate.forwarding.forwarded_call import ForwardedCall
from oriolegate.forwarding.forwarded_call import ForwardedReply
from oriolegate.forwarding.forwarded_call import ForwardFailed
from oriolegate.forwarding.shared_attempts import SharedAttempts
from oriolegate.models.site import Repeatability
from oriolegate.models.site import Route
from oriolegate.network.caller_server import CallerHttpRequest
from oriolegate.routing.route_table import RouteTable
from oriolegate.runtime.request_forwarder import OpenForward
from oriolegate.runtime.request_forwarder import RequestForwarder
from oriolegate.runtime.request_log import RequestLog


class RequestHandover:
    """Decides which requests go to another VM, and passes on its replies.

    Attributes:
        forwarder: Sends requests to other VMs.
        forwards: Requests that another VM is asked to serve.
        is_cut_off: Returns whether this VM reaches no leaf.
        reply_failed: Tells a caller that a VM which may have run its request
            gave no answer.
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
        self.reply_failed: Callable[[CallerHttpRequest, CallerCall], None] = (
            lambda request, call: None
        )

    def must_forward(self, version: int) -> bool:
        """Return whether another VM should serve a new request.

        Args:
            version: Configuration version in force on this VM.
        """
        # A caller that got an answer by a newer version must not get one by an
        # older version later.
        return version < self.forwarder.seen_version or self.is_cut_off()

    def hand_over_new(
        self,
        request: CallerHttpRequest,
        call: CallerCall,
        route: Route,
        table: RouteTable,
        serve: Callable[[float, ForwardFailed], None],
    ) -> bool:
        """Hand over a request that no leaf has, if another VM may help.

        Args:
            request: The caller's request.
            call: Its content.
            route: Its route.
            table: The configuration in force.
            serve: Serves the request on this VM after all, given when it
                arrived and what other VMs did with it: this VM may be wrong
                about its leafs.
        """
        targets = self.forwarder.find_targets(route)
        if not targets:
            return False
        arrived_ms = self.clock.now_ms()

        def on_failed(failed: ForwardFailed) -> None:
            if failed.may_have_run:
                self.reply_failed(request, call)
            else:
                serve(arrived_ms, failed)

        forwarded = ForwardedCall(
            call,
            elapsed_ms=0.0,
            min_version=self._min_version(table.configuration.version),
            used_attempts=0,
            is_counted=False,
            vm=self.forwarder.choice.vm,
        )
        services = table.services(route)
        self._forward(request, forwarded, route, services, targets, on_failed)
        return True

    def hand_over_failed(
        self,
        request: CallerHttpRequest,
        exchange: Exchange,
        refusal: Refuse,
        refuse: Callable[[], None],
    ) -> bool:
        """Hand over a request whose leafs are unreachable, if a VM may help.

        Args:
            request: The caller's request.
            exchange: Its state; it has ended.
            refusal: How it ended.
            refuse: Refuses the request on this VM after all.
        """
        now_ms = self.clock.now_ms()
        targets = self.forwarder.find_targets(exchange.route)
        if (
            not targets
            or not exchange.may_be_forwarded
            or not exchange.charge_forward(now_ms)
        ):
            return False

        def on_failed(failed: ForwardFailed) -> None:
            if failed.may_have_run and not exchange.used_attempts:
                self.reply_failed(request, exchange.call)
            else:
                refuse()

        self.request_log.log_handed_over(now_ms, exchange, refusal)
        forwarded = ForwardedCall(
            exchange.call,
            elapsed_ms=now_ms - exchange.deadlines.arrived_ms,
            min_version=self._min_version(exchange.version),
            used_attempts=exchange.used_attempts,
            is_counted=True,
            vm=self.forwarder.choice.vm,
        )
        services = tuple(part.service for part in exchange.parts)
        self._forward(
            request, forwarded, exchange.route, services, targets, on_failed
        )
        return True

    def _min_version(self, version: int) -> int:
        return max(version, self.forwarder.seen_version)

    def _forward(
        self,
        request: CallerHttpRequest,
        forwarded: ForwardedCall,
        route: Route,
        services: tuple[str, ...],
        targets: tuple[str, ...],
        on_failed: Callable[[ForwardFailed], None],
    ) -> None:
        """Ask other VMs to serve a request, and pass on their reply."""
        arrived_ms = self.clock.now_ms() - forwarded.elapsed_ms
        deadlines = timing.compute_deadlines(
            route, arrived_ms, forwarded.call.time_left_ms
        )
        plan = ForwardPlan(
            targets,
            route.repeatability is Repeatability.IDEMPOTENT,
            deadlines.limit_ms,
            may_have_run=forwarded.used_attempts > 0,
        )

        def done(outcome: ForwardedReply | ForwardFailed) -> None:
            del self.forwards[request]
            now_ms = self.clock.now_ms()
            match outcome:
                case ForwardedReply(status=status, headers=headers, body=body):
                    self.request_log.log_forwarded(now_ms, open_forward, status)
                    request.reply(status, headers, body)
                case ForwardFailed():
                    self.request_log.log_forwarded(now_ms, open_forward, None)
                    on_failed(outcome)

        open_forward = OpenForward(
            forwarded,
            route,
            services,
            plan,
            SharedAttempts(route.attempts, forwarded.used_attempts),
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
