"""The scenarios that `oriolegate measure` knows."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import attrs

from oriolegate.measurement.cost import cost_scenario
from oriolegate.measurement.report import ScenarioResult


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

SCENARIOS: dict[str, Scenario] = {
    "cost": lambda run: cost_scenario(run.reactor, run.seconds, run.seed),
}
