"""Judges how far a request that crashes leafs is sent on."""

import attrs

# Crashes after which the request has to be stopped, how long that may take, and
# how many of the caller's retries may still reach leafs afterwards.
CRASH_LIMIT = 3
CONTACT_MS = 5_000.0
RETRY_LIMIT = 3


@attrs.frozen
class Disturbance:
    """A time in which one gateway, or all of them, are disturbed.

    Attributes:
        start_ms: Beginning.
        end_ms: End; infinite while it lasts.
        vm: The disturbed gateway; empty for all.
    """

    start_ms: float
    end_ms: float
    vm: str = ""


@attrs.frozen
class Arrival:
    """The crashing request reached a leaf."""

    at_ms: float
    attempt: str
    vm: str


@attrs.define
class CrashJudge:
    """Records where a crashing request went.

    Attributes:
        arrivals: Arrivals at leafs, in order.
        crashes_ms: Times of the crashes.
        disturbances: Disturbances of gateways and of the store.
        refused: Attempts that were refused with no leaf having run them.
    """

    arrivals: list[Arrival] = attrs.field(factory=list)
    crashes_ms: list[float] = attrs.field(factory=list)
    disturbances: list[Disturbance] = attrs.field(factory=list)
    refused: list[tuple[float, str]] = attrs.field(factory=list)

    def is_in_touch(self, now_ms: float, vm: str) -> bool:
        """Return whether a gateway ran undisturbed for `CONTACT_MS`."""
        return not any(
            disturbance.vm in ("", vm)
            and disturbance.start_ms <= now_ms
            and disturbance.end_ms > now_ms - CONTACT_MS
            for disturbance in self.disturbances
        )

    @property
    def due_ms(self) -> float:
        """When the request has to be stopped, infinite before the crashes."""
        if len(self.crashes_ms) < CRASH_LIMIT:
            return float("inf")
        return self.crashes_ms[CRASH_LIMIT - 1] + CONTACT_MS

    @property
    def late_attempts(self) -> list[str]:
        """Attempts that reached leafs although all gateways had to know."""
        return list(
            dict.fromkeys(
                arrival.attempt
                for arrival in self.arrivals
                if arrival.at_ms > self.due_ms
                and self.is_in_touch(arrival.at_ms, arrival.vm)
            )
        )

    @property
    def is_broken(self) -> bool:
        """Whether more retries reached leafs than may."""
        return len(self.late_attempts) > RETRY_LIMIT

    def summary(self) -> str:
        """Return the outcome in one line."""
        attempts = len({arrival.attempt for arrival in self.arrivals})
        return (
            f"{len(self.crashes_ms)} leafs crashed, {attempts} attempts reached"
            f" leafs, {len(self.late_attempts)} of them late,"
            f" {len(self.refused)} refused"
        )
