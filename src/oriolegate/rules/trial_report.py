"""Compare the sides of each trial: latency, coverage and errors."""

from collections.abc import Iterable
import enum

import attrs
from hdrh.histogram import HdrHistogram

from oriolegate.rules.decision import RoutingDecision

# Latencies are recorded in tenths of a millisecond, up to ten minutes.
_UNITS_PER_MS = 10
_MAX_UNITS = 600_000 * _UNITS_PER_MS
_SIGNIFICANT_DIGITS = 2

MAX_TRIALS = 64
MIN_REQUESTS_TO_COMPARE = 100


class TrialSide(enum.Enum):
    """Whether a request is in the sample of a trial or its control group."""

    TRIAL = "trial"
    CONTROL = "control"


@attrs.define
class SideOutcome:
    """Statistics of the requests of one side.

    Attributes:
        latency: Latencies of answers, in tenths of a millisecond.
        requests: Number of requests, including refused ones.
        errors: Number of requests that were refused or failed.
        shards_total: Shards requested, summed over all answers.
        shards_answered: Shards answered, summed over all answers.
    """

    latency: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, _MAX_UNITS, _SIGNIFICANT_DIGITS)
    )
    requests: int = 0
    errors: int = 0
    shards_total: int = 0
    shards_answered: int = 0

    @property
    def coverage(self) -> float:
        """Fraction of shards answered; 1 if none were requested."""
        if not self.shards_total:
            return 1.0
        return self.shards_answered / self.shards_total

    def latency_ms(self, percentile: float) -> float:
        """Return a percentile (0 to 100) of the latency of answers."""
        units = self.latency.get_value_at_percentile(percentile)
        return float(units) / _UNITS_PER_MS

    def add(self, other: "SideOutcome") -> None:
        """Add the statistics of another process."""
        self.latency.add(other.latency)
        self.requests += other.requests
        self.errors += other.errors
        self.shards_total += other.shards_total
        self.shards_answered += other.shards_answered


def _side_of(decision: RoutingDecision) -> tuple[str, TrialSide] | None:
    if decision.trial is not None:
        return decision.trial, TrialSide.TRIAL
    if decision.trial_control is not None:
        return decision.trial_control, TrialSide.CONTROL
    return None


@attrs.define
class TrialReport:
    """Outcomes of trials by name and side.

    Attributes:
        outcomes: Outcomes of at most `MAX_TRIALS` trials.
        uncounted: Number of requests of trials beyond `MAX_TRIALS`.
    """

    outcomes: dict[str, dict[TrialSide, SideOutcome]] = attrs.field(
        factory=dict
    )
    uncounted: int = 0

    def record_answer(
        self,
        decision: RoutingDecision,
        latency_ms: float,
        shards_total: int,
        shards_answered: int,
    ) -> None:
        """Record a complete or partial answer.

        Args:
            decision: The decision that the request ran with.
            latency_ms: Time from arrival to answer.
            shards_total: Number of shards requested.
            shards_answered: Number of shards whose results are in the answer.
        """
        outcome = self._outcome(decision)
        if outcome is None:
            return
        units = min(max(1, round(latency_ms * _UNITS_PER_MS)), _MAX_UNITS)
        outcome.latency.record_value(units)
        outcome.requests += 1
        outcome.shards_total += shards_total
        outcome.shards_answered += shards_answered

    def record_error(self, decision: RoutingDecision) -> None:
        """Record a request that was refused or failed."""
        outcome = self._outcome(decision)
        if outcome is not None:
            outcome.requests += 1
            outcome.errors += 1

    def add(self, other: "TrialReport") -> None:
        """Add the report of another process."""
        self.uncounted += other.uncounted
        for name, sides in other.outcomes.items():
            own_sides = self._sides(name)
            for side, outcome in sides.items():
                if own_sides is None:
                    self.uncounted += outcome.requests
                else:
                    own_sides[side].add(outcome)

    def keep_only(self, names: Iterable[str]) -> None:
        """Remove the outcomes of trials that are no longer in the rules."""
        names_in_rules = frozenset(names)
        for name in [n for n in self.outcomes if n not in names_in_rules]:
            del self.outcomes[name]

    def _outcome(self, decision: RoutingDecision) -> SideOutcome | None:
        trial_side = _side_of(decision)
        if trial_side is None:
            return None
        name, side = trial_side
        sides = self._sides(name)
        if sides is None:
            self.uncounted += 1
            return None
        return sides[side]

    def _sides(self, name: str) -> dict[TrialSide, SideOutcome] | None:
        sides = self.outcomes.get(name)
        if sides is None and len(self.outcomes) < MAX_TRIALS:
            sides = {side: SideOutcome() for side in TrialSide}
            self.outcomes[name] = sides
        return sides


_HEADINGS = (
    "trial", "side", "requests", "errors", "p50 ms", "p99 ms", "coverage"
)  # fmt: skip


def _row(name: str, side: TrialSide, outcome: SideOutcome) -> tuple[str, ...]:
    answered = outcome.requests > outcome.errors
    return (
        name,
        side.value,
        str(outcome.requests),
        str(outcome.errors),
        f"{outcome.latency_ms(50):.1f}" if answered else "-",
        f"{outcome.latency_ms(99):.1f}" if answered else "-",
        f"{outcome.coverage:.4f}" if answered else "-",
    )


def render_report(report: TrialReport) -> str:
    """Return a text table with a row for each side of each trial."""
    rows: list[tuple[str, ...]] = [_HEADINGS]
    notes: list[str] = []
    for name, sides in sorted(report.outcomes.items()):
        rows += [_row(name, side, sides[side]) for side in TrialSide]
        fewest = min(outcome.requests for outcome in sides.values())
        if fewest < MIN_REQUESTS_TO_COMPARE:
            notes.append(f"{name}: too few requests on a side to compare")
    if report.uncounted:
        notes.append(f"{report.uncounted} requests of more trials not counted")
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = [
        "  ".join(
            cell.ljust(width) if number < 2 else cell.rjust(width)
            for number, (cell, width) in enumerate(
                zip(row, widths, strict=True)
            )
        )
        for row in rows
    ]
    return "".join(f"{line.rstrip()}\n" for line in [*lines, *notes])
