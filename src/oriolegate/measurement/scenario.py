"""A scenario in virtual time: its load and faults, run for both sides."""

from collections.abc import Callable
from typing import Any

import attrs

from oriolegate.measurement import open_loop
from oriolegate.measurement.judging import Judge
from oriolegate.measurement.judging import SentRequest
from oriolegate.measurement.open_loop import Load
from oriolegate.measurement.open_loop import OpenLoop
from oriolegate.measurement.report import ScenarioResult
from oriolegate.measurement.sides import Side
from oriolegate.measurement.virtual_site import VirtualSite
from oriolegate.measurement.virtual_time import MS_PER_S
from oriolegate.standins.layout import Layout

SETTLE_MS = 50.0
WARM_UP_MS = 1_500.0
# Longer than any deadline and any pause of a scenario.
AFTERMATH_MS = 8_000.0
TIMELINE_STEP_MS = 100.0


@attrs.define
class Stage:
    """What a scenario's faults are brought about on.

    Attributes:
        site: The site.
        rules: Text of the rules of this side.
        seed: Seed of the run.
        start_ms: When measuring starts.
        end_ms: When the last request is sent.
        new_work_after_ms: How long after the sign new work still came, where
            the scenario has such a sign.
    """

    site: VirtualSite
    rules: str
    seed: int
    start_ms: float
    end_ms: float
    new_work_after_ms: float | None = None

    def at(self, share: float, call: Callable[..., Any], *args: Any) -> None:
        """Make a call when a share of the measured time is over."""
        length_ms = self.end_ms - self.start_ms
        self.site.later(self.start_ms + share * length_ms, call, *args)

    def order_at(self, share: float, action: str, **fields: Any) -> None:
        """Carry out an action on leafs when a share of the time is over."""
        self.at(share, lambda: self.site.order(action, **fields))


@attrs.frozen
class ScenarioPlan:
    """One scenario.

    Attributes:
        name: As given to `oriolegate measure --scenario`.
        layout: The leafs.
        load: What is sent.
        policy: How the policy's side runs.
        baseline: How the other side runs.
        vm_data_centres: Data centre of each VM.
        faults: Schedules faults on a stage.
        time_factor: Multiplies the asked time.
    """

    name: str
    layout: Layout
    load: Load
    policy: Side
    baseline: Side
    vm_data_centres: tuple[str, ...]
    faults: Callable[[Stage], None] = lambda stage: None
    time_factor: float = 1.0


@attrs.frozen
class TimelinePoint:
    """Requests sent within one step of a run.

    Attributes:
        at_ms: Start of the step, from the start of measuring.
        coverage: Mean coverage, refusals as 0.
        p99_ms: Latency of those answered, or None.
    """

    at_ms: float
    coverage: float
    p99_ms: float | None


@attrs.define
class Timeline:
    """Collects requests by the step in which they were sent."""

    start_ms: float
    steps: dict[int, list[tuple[float, float]]] = attrs.field(factory=dict)

    def add(self, sent: SentRequest, coverage: float) -> None:
        """Add one measured request."""
        step = int((sent.sent_ms - self.start_ms) // TIMELINE_STEP_MS)
        row = (sent.done_ms - sent.sent_ms, coverage)
        self.steps.setdefault(step, []).append(row)

    def points(self) -> list[TimelinePoint]:
        """Return the steps in order."""
        points = []
        for step, rows in sorted(self.steps.items()):
            latencies = open_loop.new_histogram()
            for latency_ms, coverage in rows:
                if coverage > 0:
                    latency_us = latency_ms * open_loop.US_PER_MS
                    latencies.record_value(max(1, int(latency_us)))
            p99_ms = None
            if latencies.get_total_count():
                p99_ms = open_loop.quantile_ms(latencies, 0.99)
            covered = sum(coverage for _, coverage in rows) / len(rows)
            points.append(
                TimelinePoint(step * TIMELINE_STEP_MS, covered, p99_ms)
            )
        return points


@attrs.frozen
class SideRun:
    """One side of a scenario as it was measured."""

    figures: dict[str, Any]
    timeline: list[TimelinePoint]


def run_side(
    plan: ScenarioPlan, side: Side, seconds: float, seed: int
) -> SideRun:
    """Run one side of a scenario.

    Args:
        plan: The scenario.
        side: The policy's side or the baseline's.
        seconds: Virtual time that is measured.
        seed: Seed of all randomness.
    """
    site = VirtualSite(plan.layout, plan.vm_data_centres, side, seed)
    reactor = site.reactor
    site.start()
    reactor.run_until(SETTLE_MS)
    start_ms = SETTLE_MS + WARM_UP_MS
    end_ms = start_ms + seconds * plan.time_factor * MS_PER_S
    loop = OpenLoop(site, plan.load, seed)
    loop.start(start_ms, end_ms)
    stage = Stage(site, side.rules, seed, start_ms, end_ms)
    plan.faults(stage)
    reactor.run_until(end_ms + AFTERMATH_MS)
    timeline = Timeline(start_ms)
    figures = open_loop.figures(
        Judge(site.far_side, site.shards_of_version),
        loop,
        stage.new_work_after_ms,
        timeline.add,
    )
    return SideRun(figures, timeline.points())


def run_plan(plan: ScenarioPlan, seconds: float, seed: int) -> ScenarioResult:
    """Run both sides of a scenario."""
    return ScenarioResult(
        plan.name,
        run_side(plan, plan.policy, seconds, seed).figures,
        run_side(plan, plan.baseline, seconds, seed).figures,
    )
