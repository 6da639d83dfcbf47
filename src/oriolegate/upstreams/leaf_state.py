"""What this process knows of one leaf, and how much it may send there.

A leaf starts as COLD, also when nothing is known of it. Only completed
requests that report a warm leaf raise the limit, by doubling; a new
incarnation, a lost connection or a cold report sets it back. A leaf that is
draining or taken out gets no new work.
"""

import enum

import attrs

from oriolegate.models.topology import Leaf

LATENCY_WEIGHT = 0.1
LOCAL_LATENCY_MS = 3.0
REMOTE_LATENCY_MS = 45.0
SHED_FACTOR = 0.7
SHED_RECOVERY = 0.05
SUSPECT_BASE_MS = 100.0
SUSPECT_MAX_MS = 5_000.0


class LeafPhase(enum.Enum):
    """How a leaf is to be treated."""

    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"
    DRAINING = "draining"


class ReportedState(enum.Enum):
    """The state that a leaf writes on each answer."""

    COLD = "cold"
    WARM = "warm"
    DRAINING = "draining"


@attrs.frozen
class Grant:
    """This process's part of a leaf's limits.

    Attributes:
        slots: Requests at once.
        connections: Connections at once.
        cold: Requests at once while the leaf is cold.
    """

    slots: int
    connections: int
    cold: int


NO_GRANT = Grant(0, 0, 0)


@attrs.define(eq=False)
class LeafState:
    """One leaf as seen from this process.

    Attributes:
        leaf: Address and limits.
        grant: This process's part of the limits.
        phase: See `LeafPhase`.
        taken_out: Operators took the leaf or its data centre out.
        incarnation: The newest incarnation seen, or 0.
        limit: Requests at once that may be sent now.
        in_flight: Requests sent and not finished.
        ramp: Limit while warming; doubles on completed requests.
        ramp_successes: Completed requests since the ramp last doubled.
        pressure: 1 without sheds; lower after sheds, scales the slots.
        latency_ms: Moving average of the latency seen here.
        suspect_until_ms: No new work before this time.
        losses: Connection losses in a row.
        lost_incarnation: The newest incarnation whose connection was lost
            here since it last answered here.
        told_cold_ms: When an answer or a peer last told that it had turned
            cold.
        cold_is_news: Whether an answer that says cold tells more than this
            process and its peers know; not so twice in one cold spell.
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
    pressure: float = 1.0
    latency_ms: float = LOCAL_LATENCY_MS
    suspect_until_ms: float = 0.0
    losses: int = 0
    lost_incarnation: int = -1
    told_cold_ms: float = float("-inf")
    cold_is_news: bool = True

    def refresh_limit(self) -> None:
        """Work out `limit` again after a change of grant or phase."""
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
                return max(1, int(usable * self.pressure + 0.5))
            case LeafPhase.DRAINING:
                return 0

    def accepts(self, now_ms: float) -> bool:
        """Return whether one more request may be sent now."""
        return self.in_flight < self.limit and now_ms >= self.suspect_until_ms

    def recoverable(self) -> bool:
        """Return whether the leaf may accept work again by itself."""
        return not self.taken_out and self.phase is not LeafPhase.DRAINING

    def set_phase(self, phase: LeafPhase) -> None:
        """Enter a phase and work out the limit."""
        self.phase = phase
        if phase is LeafPhase.WARMING:
            self.ramp = max(1, self.grant.cold)
            self.ramp_successes = 0
        self.refresh_limit()

    def note_state(self, state: ReportedState, incarnation: int) -> bool:
        """Take in what an answer says of the leaf.

        Args:
            state: The state that the leaf reports.
            incarnation: The incarnation that answered.

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

    def note_success(self, latency_ms: float) -> bool:
        """Take in a completed request; may raise the limit.

        Returns:
            True if the leaf became warm.
        """
        self.latency_ms += LATENCY_WEIGHT * (latency_ms - self.latency_ms)
        self.losses = 0
        self.lost_incarnation = -1
        if self.phase is LeafPhase.WARMING:
            return self._grow_ramp()
        if self.pressure < 1.0:
            self.pressure = min(1.0, self.pressure + SHED_RECOVERY)
            self.refresh_limit()
        return False

    def note_slow(self, elapsed_ms: float) -> None:
        """Take in that a cancelled request had taken at least this long."""
        if elapsed_ms > self.latency_ms:
            self.latency_ms += LATENCY_WEIGHT * (elapsed_ms - self.latency_ms)

    def _grow_ramp(self) -> bool:
        """Count a success of the ramp; return True if the ramp is done."""
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

    def note_shed(self) -> None:
        """Take in that the leaf refused work because it was busy."""
        self.pressure = max(0.1, self.pressure * SHED_FACTOR)
        self.refresh_limit()

    def note_loss(self, now_ms: float) -> None:
        """Take in a lost connection: the leaf counts as cold until shown warm.

        Args:
            now_ms: Time of the loss; the leaf rests for a while, longer with
                each loss in a row. A leaf that falls closes all of its
                connections: losses while it rests belong to the same fall.
        """
        if self.losses and now_ms < self.suspect_until_ms:
            return
        self.losses += 1
        self.lost_incarnation = self.incarnation
        rest_ms = SUSPECT_BASE_MS * 2 ** min(self.losses - 1, 8)
        self.suspect_until_ms = now_ms + min(rest_ms, SUSPECT_MAX_MS)
        if self.phase is not LeafPhase.DRAINING:
            self.set_phase(LeafPhase.COLD)
