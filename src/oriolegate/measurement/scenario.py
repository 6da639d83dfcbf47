"""Runs scenarios in virtual time, each for the policy and the baseline."""

from collections.abc import Callable
from typing import Any

import attrs

from oriolegate.measurement import open_loop
from oriolegate.measurement.open_loop import Load
from oriolegate.measurement.open_loop import OpenLoop
from oriolegate.measurement.outcome_checker import OutcomeChecker
from oriolegate.measurement.outcome_checker import SentRequest
from oriolegate.measurement.report import ScenarioResult
from oriolegate.measurement.scenario_sides import ScenarioSide
from oriolegate.measurement.virtual_site import VirtualSite
from oriolegate.measurement.virtual_time import MS_PER_S
from oriolegate.standins.layout import Layout

# Time for the VMs to load rules and topology before the load starts.
SETTLE_MS = 50.0
# Time under load before the measured time starts.
WARM_UP_MS = 1_500.0
# Longer than any deadline and any pause of a scenario, so that each request
# has had time to finish.
COOL_DOWN_MS = 8_000.0
TIMELINE_STEP_MS = 100.0


@attrs.define
class FaultScheduler:
    """Schedules the faults of a scenario on a site.

    Times are fractions of the measured time, 0 to 1.

    Attributes:
        site: Site on which the faults occur.
        rules: Text of the rules of this side.
        seed: Seed of the run.
        start_ms: Start of the measured time.
        end_ms: End of the measured time and of the load.
        new_work_after_ms: Time from a drain or take-out of an upstream to the
            last sub-request that its leafs still received; None in scenarios
            that do not measure it.
    """

    site: VirtualSite
    rules: str
    seed: int
    start_ms: float
    end_ms: float
    new_work_after_ms: float | None = None

    def call_at(
        self, fraction: float, call: Callable[..., Any], *args: Any
    ) -> None:
        """Schedule a call at a fraction of the measured time."""
        length_ms = self.end_ms - self.start_ms
        self.site.call_at(self.start_ms + fraction * length_ms, call, *args)

    def act_on_leafs_at(
        self, fraction: float, action: str, **fields: Any
    ) -> None:
        """Schedule an action of `SiteControl` on leafs."""
        self.call_at(fraction, lambda: self.site.act_on_leafs(action, **fields))


@attrs.frozen
class ScenarioPlan:
    """Definition of one scenario.

    Attributes:
        name: Name as given to `oriolegate measure --scenario`.
        layout: Layout of the leafs.
        load: Load that is sent to the VMs.
        policy: Settings of the policy's side.
        baseline: Settings of the baseline's side.
        vm_data_centres: Data centre of each VM.
        faults: Schedules the faults of a run.
        time_factor: Multiplies the requested duration.
    """

    name: str
    layout: Layout
    load: Load
    policy: ScenarioSide
    baseline: ScenarioSide
    vm_data_centres: tuple[str, ...]
    faults: Callable[[FaultScheduler], None] = lambda scheduler: None
    time_factor: float = 1.0


@attrs.frozen
class TimelinePoint:
    """Requests sent within one step of a run.

    Attributes:
        at_ms: Start of the step, relative to the start of the measured time.
        coverage: Mean coverage; refusals count as 0.
        p99_ms: p99 latency of the answered requests; None without any.
    """

    at_ms: float
    coverage: float
    p99_ms: float | None


@attrs.define
class Timeline:
    """Groups measured requests by the step in which they were sent.

    Attributes:
        start_ms: Start of the measured time.
        steps: (latency in ms, coverage) of each request, by step number.
    """

    start_ms: float
    steps: dict[int, list[tuple[float, float]]] = attrs.field(factory=dict)

    def add(self, sent: SentRequest, coverage: float) -> None:
        """Add one measured request."""
        step = int((sent.sent_ms - self.start_ms) // TIMELINE_STEP_MS)
        row = (sent.done_ms - sent.sent_ms, coverage)
        self.steps.setdefault(step, []).append(row)

    def points(self) -> list[TimelinePoint]:
        """Return a point for each step that has requests, in order."""
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
            mean_coverage = sum(coverage for _, coverage in rows) / len(rows)
            points.append(
                TimelinePoint(step * TIMELINE_STEP_MS, mean_coverage, p99_ms)
            )
        return points


@attrs.frozen
class SideRun:
    """Measured figures and timeline of one side of a scenario."""

    figures: dict[str, Any]
    timeline: list[TimelinePoint]


def run_side(
    plan: ScenarioPlan, side: ScenarioSide, seconds: float, seed: int
) -> SideRun:
    """Run one side of a scenario.

    Args:
        plan: Scenario to run.
        side: The plan's policy or its baseline.
        seconds: Measured virtual time, before the plan's `time_factor`.
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
    scheduler = FaultScheduler(site, side.rules, seed, start_ms, end_ms)
    plan.faults(scheduler)
    reactor.run_until(end_ms + COOL_DOWN_MS)
    timeline = Timeline(start_ms)
    figures = open_loop.compute_figures(
        OutcomeChecker(site.ledger, site.shards_of_version),
        loop,
        scheduler.new_work_after_ms,
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
