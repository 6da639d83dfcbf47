"""The scenarios that `oriolegate measure` knows."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import attrs

from oriolegate.measurement.cost import cost_scenario
from oriolegate.measurement.report import ScenarioResult
from oriolegate.measurement.scenario import run_plan
from oriolegate.measurement.scenario import ScenarioPlan
from oriolegate.measurement.scenarios import PLANS


@attrs.frozen
class ScenarioRun:
    """How a scenario is to be run.

    Attributes:
        reactor: Twisted's reactor, for scenarios on real sockets.
        seconds: Time for the scenario; real or emulated.
        seed: Seed of all randomness.
    """

    reactor: Any
    seconds: float
    seed: int


Scenario = Callable[[ScenarioRun], Awaitable[ScenarioResult]]


def _in_virtual_time(plan: ScenarioPlan) -> Scenario:
    async def measure(run: ScenarioRun) -> ScenarioResult:
        return run_plan(plan, run.seconds, run.seed)

    return measure


SCENARIOS: dict[str, Scenario] = {
    **{name: _in_virtual_time(plan) for name, plan in PLANS.items()},
    "cost": lambda run: cost_scenario(run.reactor, run.seconds, run.seed),
}
