"""The planned stop of a process, as a state machine without I/O.

The state machine decides when a stopping process leaves the balancer, stops
accepting connections, returns its shares, closes its connections and exits. A
running request is never aborted before the stop limit. The process leaves its
peers and returns its shares, without which no request gets a slot, once nothing
can bring it a request: the callers' port is closed, and so are the connections
that it accepted. After a while, callers that keep theirs are refused. A second
stop request has no effect.
"""

import enum

import attrs

# Requests that still run this long before the stop's time limit get partial
# results.
ANSWER_RESERVE_MS = 1_000.0
# Interval of closing idle connections of callers and counting the others.
CALLERS_CHECK_MS = 100.0
# Time after which the process refuses callers that still have connections.
CALLERS_WAIT_MS = 2_000.0


class StopPhase(enum.Enum):
    """Phases of the stop; the values appear in the log and the timeline."""

    SERVING = "serving"
    LEAVING_BALANCER = "leaving balancer"
    FINISHING = "finishing"
    CLOSING = "closing"
    STOPPED = "stopped"


@attrs.frozen
class StopRequested:
    """The process received SIGTERM."""


@attrs.frozen
class RunningChanged:
    """The number of running requests changed."""

    count: int


@attrs.frozen
class CallersCounted:
    """The number of callers' connections that are open."""

    count: int


@attrs.frozen
class SharesHandedOver:
    """This process holds no share of any leaf's limits any more."""


@attrs.frozen
class ConnectionsClosed:
    """All connections are closed and their last bytes are sent."""


@attrs.frozen
class Tick:
    """Time passed."""


StopEvent = (
    StopRequested
    | RunningChanged
    | CallersCounted
    | SharesHandedOver
    | ConnectionsClosed
    | Tick
)


@attrs.frozen
class SetNotReady:
    """Fail the balancer's readiness check but continue to serve requests."""


@attrs.frozen
class AnnounceLeaving:
    """Notify peers, so that they forward no new query to this VM."""


@attrs.frozen
class CloseAfterAnswers:
    """Close each caller's connection after its next answer."""


@attrs.frozen
class StopAccepting:
    """Close the listening ports; open connections are still served."""


@attrs.frozen
class CloseIdleCallers:
    """Close callers' idle connections; report how many are open."""


@attrs.frozen
class RefuseNew:
    """Refuse all further requests as not run."""


@attrs.frozen
class HandOverShares:
    """Return this process's shares of leaf limits."""


@attrs.frozen
class AnswerRunning:
    """Answer running requests with partial results.

    An answer states its true coverage; a refusal states whether the request
    may have run.
    """


@attrs.frozen
class CloseConnections:
    """Close the idle connections to callers, upstreams and peers."""


@attrs.frozen
class WakeAt:
    """Feed a `Tick` to the state machine at this time."""

    at_ms: float


@attrs.frozen
class Exit:
    """End the process.

    Attributes:
        status: 0, or 1 if requests were aborted or shares are still held.
        cut: Number of requests that were still running and are aborted.
        shares_left: Whether shares are still held.
    """

    status: int
    cut: int
    shares_left: bool


StopEffect = (
    SetNotReady
    | AnnounceLeaving
    | CloseAfterAnswers
    | StopAccepting
    | CloseIdleCallers
    | RefuseNew
    | HandOverShares
    | AnswerRunning
    | CloseConnections
    | WakeAt
    | Exit
)


class StopSequence:
    """State machine of a process from serving to its exit.

    Attributes:
        phase: Present phase.
        running: Number of running requests.
        callers: Number of callers' connections, or None before they were
            counted without an open port.
        callers_counted_ms: When callers' connections were last counted.
        has_left_peers: Whether `AnnounceLeaving` was returned.
        shares_held: Whether shares may still be held.
        has_answered_running: Whether `AnswerRunning` was returned.
        has_begun_hand_over: Whether `HandOverShares` was returned.
        has_closed: Whether all connections are closed.
        accept_until_ms: Time at which the process stops accepting
            connections; set by the stop request.
        answer_at_ms: Time at which running requests get partial results.
        callers_until_ms: Time at which the process stops waiting for callers'
            connections on which no request runs.
        limit_ms: Time at which the process exits in any case.
    """

    def __init__(self, balancer_notice_ms: float, stop_limit_ms: float) -> None:
        """Create the state machine of a serving process.

        Args:
            balancer_notice_ms: Time after which the balancer has noticed that
                a process is not ready.
            stop_limit_ms: Maximum duration of the whole stop.
        """
        self.balancer_notice_ms = balancer_notice_ms
        self.stop_limit_ms = stop_limit_ms
        self.phase = StopPhase.SERVING
        self.running = 0
        self.callers: int | None = None
        self.callers_counted_ms = float("-inf")
        self.has_left_peers = False
        self.shares_held = True
        self.has_answered_running = False
        self.has_begun_hand_over = False
        self.has_closed = False
        self.accept_until_ms = 0.0
        self.answer_at_ms = 0.0
        self.callers_until_ms = 0.0
        self.limit_ms = 0.0

    def step(self, now_ms: float, event: StopEvent) -> list[StopEffect]:
        """Handle one event.

        Args:
            now_ms: Monotonic time of the event.
            event: The event.

        Returns:
            Effects to carry out, in this order.
        """
        match event:
            case StopRequested():
                return self._request_stop(now_ms)
            case RunningChanged(count):
                self.running = count
            case CallersCounted(count):
                self.callers = count
            case SharesHandedOver():
                self.shares_held = False
            case ConnectionsClosed():
                self.has_closed = self.phase is StopPhase.CLOSING
            case Tick():
                pass
        return self._advance(now_ms)

    def _request_stop(self, now_ms: float) -> list[StopEffect]:
        if self.phase is not StopPhase.SERVING:
            return []
        self.phase = StopPhase.LEAVING_BALANCER
        self.limit_ms = now_ms + self.stop_limit_ms
        notice_ms = min(self.balancer_notice_ms, self.stop_limit_ms)
        self.accept_until_ms = now_ms + notice_ms
        self.answer_at_ms = max(
            self.accept_until_ms, self.limit_ms - ANSWER_RESERVE_MS
        )
        self.callers_until_ms = min(
            self.accept_until_ms + CALLERS_WAIT_MS, self.answer_at_ms
        )
        effects: list[StopEffect] = [SetNotReady(), CloseAfterAnswers()]
        return effects + self._advance(now_ms)

    def _advance(self, now_ms: float) -> list[StopEffect]:
        if self.phase in (StopPhase.SERVING, StopPhase.STOPPED):
            return []
        if now_ms >= self.limit_ms or self._is_closed_and_idle():
            return self._exit()
        effects: list[StopEffect] = []
        if self._must_stop_accepting(now_ms):
            self.phase = StopPhase.FINISHING
            self.callers = None
            effects.append(StopAccepting())
        if self._may_leave_peers(now_ms):
            self.has_left_peers = True
            effects += [RefuseNew(), AnnounceLeaving()]
        if self._must_answer_running(now_ms):
            self.has_answered_running = True
            effects.append(AnswerRunning())
        if self._may_hand_over():
            self.has_begun_hand_over = True
            effects.append(HandOverShares())
        if self._may_close():
            self.phase = StopPhase.CLOSING
            effects.append(CloseConnections())
        if self._must_count_callers(now_ms):
            self.callers_counted_ms = now_ms
            effects.append(CloseIdleCallers())
        return [*effects, WakeAt(self._next_ms(now_ms))]

    def _must_stop_accepting(self, now_ms: float) -> bool:
        return (
            self.phase is StopPhase.LEAVING_BALANCER
            and now_ms >= self.accept_until_ms
        )

    def _must_answer_running(self, now_ms: float) -> bool:
        return (
            self.phase is StopPhase.FINISHING
            and self.running > 0
            and not self.has_answered_running
            and now_ms >= self.answer_at_ms
        )

    def _may_leave_peers(self, now_ms: float) -> bool:
        return self._is_waiting_for_callers() and (
            self.callers == 0 or now_ms >= self.callers_until_ms
        )

    def _may_hand_over(self) -> bool:
        # Sub-requests that wait for a slot at a leaf can be sent only while
        # this process holds its shares of the leaf limits.
        return (
            self.phase is StopPhase.FINISHING
            and self.running == 0
            and self.has_left_peers
            and not self.has_begun_hand_over
        )

    def _is_waiting_for_callers(self) -> bool:
        return self.phase is StopPhase.FINISHING and not self.has_left_peers

    def _must_count_callers(self, now_ms: float) -> bool:
        return (
            self._is_waiting_for_callers()
            and now_ms >= self.callers_counted_ms + CALLERS_CHECK_MS
        )

    def _may_close(self) -> bool:
        return (
            self.phase is StopPhase.FINISHING
            and self.running == 0
            and self.has_begun_hand_over
            and not self.shares_held
        )

    def _is_closed_and_idle(self) -> bool:
        # A request may have arrived just before its connection closed.
        return self.has_closed and self.running == 0

    def _next_ms(self, now_ms: float) -> float:
        if self.phase is StopPhase.LEAVING_BALANCER:
            return self.accept_until_ms
        due_ms = [self.limit_ms]
        if self.phase is StopPhase.FINISHING and now_ms < self.answer_at_ms:
            due_ms.append(self.answer_at_ms)
        if self._is_waiting_for_callers():
            due_ms.append(self.callers_counted_ms + CALLERS_CHECK_MS)
            due_ms.append(self.callers_until_ms)
        return min(due_ms)

    def _exit(self) -> list[StopEffect]:
        self.phase = StopPhase.STOPPED
        status = 1 if self.running or self.shares_held else 0
        return [Exit(status, cut=self.running, shares_left=self.shares_held)]
