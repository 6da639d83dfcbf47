"""All scenarios that `oriolegate measure` can run."""

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
class ScenarioOptions:
    """Options of the run of a scenario.

    Attributes:
        reactor: Twisted's reactor, for scenarios on real sockets.
        seconds: Duration of the scenario, in real or virtual time.
        seed: Seed of all randomness.
    """

    reactor: Any
    seconds: float
    seed: int


Scenario = Callable[[ScenarioOptions], Awaitable[ScenarioResult]]


def _in_virtual_time(plan: ScenarioPlan) -> Scenario:
    async def measure(options: ScenarioOptions) -> ScenarioResult:
        return run_plan(plan, options.seconds, options.seed)

    return measure


SCENARIOS: dict[str, Scenario] = {
    **{name: _in_virtual_time(plan) for name, plan in PLANS.items()},
    "cost": lambda options: cost_scenario(
        options.reactor, options.seconds, options.seed
    ),
}
