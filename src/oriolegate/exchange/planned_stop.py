"""The planned stop of a gateway, as a state machine without I/O.

Decides when a stopping process closes its ports, which requests it still takes
and when it exits. One time of exit, fixed when the stop begins, serves all of
these decisions. The process exits earlier only once nothing can bring it a
request any more: its ports are closed, and every connection that they accepted
has ended. From the exit time on it takes no request.

A request that is still open when the process exits ends with an error and may
have run. A refused one has not run, and its caller reaches another VM at once.
"""

import enum

import attrs

from oriolegate.models.site import Repeatability
from oriolegate.models.site import Route
from oriolegate.placement.route_latency import RouteLatencies

# Fraction of the grace time after SIGTERM before idle connections are closed:
# the balancer takes two checks, a second apart, to stop sending.
NOTICE_FRACTION = 0.45
# Fraction of the grace time after which no new connection is accepted; the
# remaining time is for requests in progress.
ACCEPT_FRACTION = 0.7
# Fraction of the grace time after which a stopping process answers what is
# open and exits.
EXIT_FRACTION = 0.92
# Interval of closing idle connections and of counting those that remain.
CHECK_MS = 100.0
# Shortest time in which the last answers are written to their sockets, and the
# interval of looking whether they are.
FLUSH_MS = 50.0
# Fraction of the grace time after which callers that have not taken their
# answers are left.
FLUSH_FRACTION = 0.97
# Time that must be left, as a multiple of the route's usual latency. More for
# requests that may not be repeated, as their callers can't try again.
REPEATABLE_FACTOR = 1.0
ONCE_FACTOR = 2.0
# Time to write the answer to the caller.
REPLY_MS = 50.0
# Why a request is refused that can't end before the exit.
REFUSAL_REASON = "stopping before it could end"


class StopPhase(enum.Enum):
    """Phases of the stop; the values appear in the log."""

    SERVING = "serving"
    LEAVING_BALANCER = "leaving balancer"
    CLOSING_IDLE = "closing idle connections"
    FINISHING = "finishing"
    ENDING = "ending"
    STOPPED = "stopped"


@attrs.frozen
class CloseIdle:
    """Close the connections that no request uses."""


@attrs.frozen
class ClosePorts:
    """Accept the connections that wait at the ports, and close the ports."""


@attrs.frozen
class AnswerOpen:
    """Answer every open request with the results received so far."""


@attrs.frozen
class WakeAt:
    """Step the state machine at this time."""

    at_ms: float


@attrs.frozen
class Exit:
    """End the process."""


StopEffect = CloseIdle | ClosePorts | AnswerOpen | WakeAt | Exit


class PlannedStop:
    """State machine of a gateway from serving to its exit.

    Attributes:
        phase: Present phase.
        latencies: Latencies of the routes.
        started_ms: When the stop began.
        notice_ms: When idle connections begin to be closed.
        accept_until_ms: When the ports are closed at the latest.
        exit_ms: When all open requests are answered at the latest.
        flush_until_ms: When callers that have not taken their answers are left.
    """

    def __init__(self, latencies: RouteLatencies) -> None:
        self.latencies = latencies
        self.phase = StopPhase.SERVING
        self.started_ms = 0.0
        self.notice_ms = 0.0
        self.accept_until_ms = 0.0
        self.exit_ms = 0.0
        self.flush_until_ms = 0.0

    @property
    def is_stopping(self) -> bool:
        """Whether the stop has begun."""
        return self.phase is not StopPhase.SERVING

    @property
    def takes_forwards(self) -> bool:
        """Whether requests of other VMs are served."""
        return self.phase in (StopPhase.SERVING, StopPhase.LEAVING_BALANCER)

    def can_take(self, now_ms: float, route: Route) -> bool:
        """Return whether a request that no leaf has may be sent to leafs.

        Args:
            now_ms: Current time.
            route: Route of the request.
        """
        if self.phase is StopPhase.SERVING:
            return True
        if self.phase in (StopPhase.ENDING, StopPhase.STOPPED):
            return False
        factor = ONCE_FACTOR
        if route.repeatability is Repeatability.IDEMPOTENT:
            factor = REPEATABLE_FACTOR
        latency = self.latencies.for_route(route.name, route.target_ms)
        needed_ms = factor * latency.usual_ms + REPLY_MS
        return now_ms + needed_ms <= self.exit_ms

    def begin(self, now_ms: float, grace_ms: float) -> list[StopEffect]:
        """Begin the stop; a second call has no effect.

        Args:
            now_ms: Current time.
            grace_ms: Time until the process is killed. The process that sent
                the signal counts by the value of this moment, whatever the
                settings say later.
        """
        if self.is_stopping:
            return []
        self.phase = StopPhase.LEAVING_BALANCER
        self.started_ms = now_ms
        self.notice_ms = now_ms + NOTICE_FRACTION * grace_ms
        self.accept_until_ms = now_ms + ACCEPT_FRACTION * grace_ms
        self.exit_ms = now_ms + EXIT_FRACTION * grace_ms
        self.flush_until_ms = now_ms + FLUSH_FRACTION * grace_ms
        return [WakeAt(self.notice_ms)]

    def step(self, now_ms: float, open_connections: int) -> list[StopEffect]:
        """Continue the stop.

        Args:
            now_ms: Current time.
            open_connections: Connections that the ports accepted and that are
                open.

        Returns:
            Effects to carry out, in this order.
        """
        match self.phase:
            case StopPhase.SERVING | StopPhase.STOPPED:
                return []
            case StopPhase.LEAVING_BALANCER if now_ms < self.notice_ms:
                return [WakeAt(self.notice_ms)]
            case StopPhase.LEAVING_BALANCER | StopPhase.CLOSING_IDLE:
                return self._close_idle_or_ports(now_ms, open_connections)
            case StopPhase.FINISHING:
                return self._finish(now_ms, open_connections)
            case StopPhase.ENDING:
                return self._flush(now_ms, open_connections)

    def _close_idle_or_ports(
        self, now_ms: float, open_connections: int
    ) -> list[StopEffect]:
        if open_connections and now_ms < self.accept_until_ms:
            self.phase = StopPhase.CLOSING_IDLE
            return [CloseIdle(), self._wake_by(now_ms, self.accept_until_ms)]
        self.phase = StopPhase.FINISHING
        if now_ms >= self.exit_ms:
            return [ClosePorts(), *self._end(now_ms)]
        # Connections that waited at the ports aren't counted yet.
        return [ClosePorts(), self._wake_by(now_ms, self.exit_ms)]

    def _finish(self, now_ms: float, open_connections: int) -> list[StopEffect]:
        if not open_connections:
            self.phase = StopPhase.STOPPED
            return [Exit()]
        if now_ms >= self.exit_ms:
            return self._end(now_ms)
        return [CloseIdle(), self._wake_by(now_ms, self.exit_ms)]

    def _end(self, now_ms: float) -> list[StopEffect]:
        self.phase = StopPhase.ENDING
        return [AnswerOpen(), WakeAt(now_ms + FLUSH_MS)]

    def _flush(self, now_ms: float, open_connections: int) -> list[StopEffect]:
        if open_connections and now_ms < self.flush_until_ms:
            wake_ms = min(now_ms + FLUSH_MS, self.flush_until_ms)
            return [CloseIdle(), WakeAt(wake_ms)]
        self.phase = StopPhase.STOPPED
        return [Exit()]

    def _wake_by(self, now_ms: float, latest_ms: float) -> WakeAt:
        return WakeAt(min(now_ms + CHECK_MS, latest_ms))
