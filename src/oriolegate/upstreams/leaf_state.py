"""State of one leaf as seen by this process, and its concurrency limit.

A leaf starts as COLD. Only completed requests raise its limit, by doubling
(slow start), once the leaf reports itself warm. A new incarnation, a lost
connection or a cold report resets the limit. A leaf that is draining or
taken out of service gets no new requests.
"""

import enum

import attrs

from oriolegate.models.topology import Leaf

LATENCY_WEIGHT = 0.1  # of a new value in the moving average
# Initial averages for leafs of this VM's and of another data centre.
LOCAL_LATENCY_MS = 3.0
REMOTE_LATENCY_MS = 45.0
SHED_FACTOR = 0.7  # multiplies the slot factor at each shed request
SHED_RECOVERY = 0.05  # added to the slot factor at each success
# Backoff after a lost connection: first and maximum delay.
SUSPECT_BASE_MS = 100.0
SUSPECT_MAX_MS = 5_000.0


class LeafPhase(enum.Enum):
    """Phase of a leaf, which determines its limit."""

    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"
    DRAINING = "draining"


class ReportedState(enum.Enum):
    """State that a leaf reports with each answer."""

    COLD = "cold"
    WARM = "warm"
    DRAINING = "draining"


@attrs.frozen
class Grant:
    """This process's share of a leaf's limits.

    Attributes:
        slots: Concurrent requests.
        connections: Concurrent connections.
        cold: Concurrent requests while the leaf is cold.
    """

    slots: int
    connections: int
    cold: int


NO_GRANT = Grant(0, 0, 0)


@attrs.define(eq=False)
class LeafState:
    """State of one leaf as seen by this process.

    Attributes:
        leaf: Address and limits.
        grant: This process's share of the limits.
        phase: See `LeafPhase`.
        taken_out: Whether operators took the leaf's upstream or data centre
            out of service.
        incarnation: Newest incarnation seen, or 0; a restart of the leaf
            increases the incarnation.
        limit: Concurrent requests currently allowed.
        in_flight: Requests sent and not finished.
        ramp: Limit while warming; doubles on completed requests.
        ramp_successes: Completed requests since the ramp last doubled.
        slot_factor: Multiplier of the slots: 1 normally, lower after the
            leaf shed load.
        latency_ms: Moving average of the latency measured by this process.
        suspect_until_ms: Time before which no request is sent, as backoff
            after a lost connection.
        consecutive_losses: Lost connections since the last success; those
            of one crash count once.
        lost_incarnation: Incarnation at the last lost connection, or -1 if
            a request has succeeded since that loss.
        reported_cold_ms: When an answer or a peer last changed the phase to
            cold.
        must_report_cold: Whether the next cold answer is reported to peers
            although the phase doesn't change; reported once per cold period.
    """

    leaf: Leaf
    grant: Grant = NO_GRANT
    phase: LeafPhase = LeafPhase.COLD
    taken_out: bool = False
    incarnation: int = 0
    limit: int = 0
    in_flight: int = 0
    ramp: int = 1
    ramp_successes: int = 0
    slot_factor: float = 1.0
    latency_ms: float = LOCAL_LATENCY_MS
    suspect_until_ms: float = 0.0
    consecutive_losses: int = 0
    lost_incarnation: int = -1
    reported_cold_ms: float = float("-inf")
    must_report_cold: bool = True

    def refresh_limit(self) -> None:
        """Recompute `limit` from the other attributes."""
        self.limit = 0 if self.taken_out else self._phase_limit()

    def _phase_limit(self) -> int:
        usable = min(self.grant.slots, self.grant.connections)
        match self.phase:
            case LeafPhase.COLD:
                return min(self.grant.cold, self.grant.connections)
            case LeafPhase.WARMING:
                return min(self.ramp, usable)
            case LeafPhase.WARM:
                if usable <= 0:
                    return 0
                return max(1, int(usable * self.slot_factor + 0.5))
            case LeafPhase.DRAINING:
                return 0

    def can_accept(self, now_ms: float) -> bool:
        """Return whether one more request may be sent now."""
        return self.in_flight < self.limit and now_ms >= self.suspect_until_ms

    def can_recover(self) -> bool:
        """Return whether the leaf may accept requests again on its own."""
        return not self.taken_out and self.phase is not LeafPhase.DRAINING

    def set_phase(self, phase: LeafPhase) -> None:
        """Enter a phase and recompute the limit."""
        self.phase = phase
        if phase is LeafPhase.WARMING:
            self.ramp = max(1, self.grant.cold)
            self.ramp_successes = 0
        self.refresh_limit()

    def record_state(self, state: ReportedState, incarnation: int) -> bool:
        """Apply the state reported by an answer or a peer.

        Args:
            state: The reported state.
            incarnation: Incarnation that reported the state; a report of
                an older incarnation than known is ignored.

        Returns:
            True if the phase changed.
        """
        if incarnation < self.incarnation:
            return False
        before = self.phase
        if incarnation > self.incarnation:
            self.incarnation = incarnation
            if before is not LeafPhase.COLD:
                self.set_phase(LeafPhase.COLD)
        match state:
            case ReportedState.DRAINING:
                self.set_phase(LeafPhase.DRAINING)
            case ReportedState.COLD:
                if self.phase is not LeafPhase.COLD:
                    self.set_phase(LeafPhase.COLD)
            case ReportedState.WARM:
                if self.phase in (LeafPhase.COLD, LeafPhase.DRAINING):
                    self.set_phase(LeafPhase.WARMING)
        return self.phase is not before

    def record_success(self, latency_ms: float) -> bool:
        """Record a completed request, which may raise the limit.

        Returns:
            True if the leaf became warm.
        """
        self.latency_ms += LATENCY_WEIGHT * (latency_ms - self.latency_ms)
        self.consecutive_losses = 0
        self.lost_incarnation = -1
        if self.phase is LeafPhase.WARMING:
            return self._grow_ramp()
        if self.slot_factor < 1.0:
            self.slot_factor = min(1.0, self.slot_factor + SHED_RECOVERY)
            self.refresh_limit()
        return False

    def record_minimum_latency(self, elapsed_ms: float) -> None:
        """Record that a cancelled request took at least `elapsed_ms`."""
        if elapsed_ms > self.latency_ms:
            self.latency_ms += LATENCY_WEIGHT * (elapsed_ms - self.latency_ms)

    def _grow_ramp(self) -> bool:
        """Count a success while warming; return True once warm."""
        self.ramp_successes += 1
        if self.ramp_successes < self.ramp:
            return False
        self.ramp *= 2
        self.ramp_successes = 0
        if self.ramp >= self.grant.slots:
            self.set_phase(LeafPhase.WARM)
            return True
        self.refresh_limit()
        return False

    def record_shed(self) -> None:
        """Record that the leaf was busy and refused a request."""
        self.slot_factor = max(0.1, self.slot_factor * SHED_FACTOR)
        self.refresh_limit()

    def record_loss(self, now_ms: float) -> None:
        """Record a lost connection; the leaf is cold until it reports warm.

        The leaf gets no requests during a backoff that doubles with each
        consecutive loss. A leaf that crashes closes all of its connections,
        so further losses during the backoff belong to the same crash.

        Args:
            now_ms: Time of the loss.
        """
        if self.consecutive_losses and now_ms < self.suspect_until_ms:
            return
        self.consecutive_losses += 1
        self.lost_incarnation = self.incarnation
        backoff_ms = SUSPECT_BASE_MS * 2 ** min(self.consecutive_losses - 1, 8)
        self.suspect_until_ms = now_ms + min(backoff_ms, SUSPECT_MAX_MS)
        if self.phase is not LeafPhase.DRAINING:
            self.set_phase(LeafPhase.COLD)
