"""All scenarios in virtual time, and the definitions of those without faults.

docs/design/16-measurement.md describes what each does and what its baseline
lacks.
"""

from collections.abc import Mapping

from oriolegate.measurement import scenario_sides
from oriolegate.measurement.fault_scenarios import FAULT_PLANS
from oriolegate.measurement.open_loop import Load
from oriolegate.measurement.random_faults import RANDOM_PLANS
from oriolegate.measurement.scenario import ScenarioPlan
from oriolegate.standins.layout import measurement_layout

STEADY_RATE_PER_S = 100.0
STRAGGLER_SHARDS = 130
STRAGGLER_RATE_PER_S = 60.0
OVERLOAD_SHARDS = 4
OVERLOAD_SLOTS = 2
OVERLOAD_REPLICAS = 2
# Mean run time of the emulated leafs: log-normal, with stragglers.
MEAN_RUN_MS = 4.66
MEASUREMENT_VMS = ("dc-0",)
STRAGGLER_LAYOUT = measurement_layout(STRAGGLER_SHARDS, replicas=2)
OVERLOAD_LAYOUT = measurement_layout(
    OVERLOAD_SHARDS, OVERLOAD_REPLICAS, slots=OVERLOAD_SLOTS
)
CAPACITY_PER_S = OVERLOAD_SLOTS * OVERLOAD_REPLICAS / MEAN_RUN_MS * 1_000.0


def _steady() -> ScenarioPlan:
    return ScenarioPlan(
        name="steady",
        layout=scenario_sides.STUDIO_DESK,
        load=Load(STEADY_RATE_PER_S),
        policy=scenario_sides.policy_side(scenario_sides.STUDIO_DESK),
        baseline=scenario_sides.baseline_side(scenario_sides.STUDIO_DESK),
        vm_data_centres=scenario_sides.ONE_VM,
    )


def _straggler() -> ScenarioPlan:
    return ScenarioPlan(
        name="straggler",
        layout=STRAGGLER_LAYOUT,
        load=Load(STRAGGLER_RATE_PER_S),
        policy=scenario_sides.policy_side(STRAGGLER_LAYOUT),
        baseline=scenario_sides.baseline_side(STRAGGLER_LAYOUT),
        vm_data_centres=MEASUREMENT_VMS,
    )


def _overload(name: str, factor: float) -> ScenarioPlan:
    return ScenarioPlan(
        name=name,
        layout=OVERLOAD_LAYOUT,
        load=Load(factor * CAPACITY_PER_S),
        policy=scenario_sides.policy_side(OVERLOAD_LAYOUT),
        baseline=scenario_sides.baseline_side(
            OVERLOAD_LAYOUT, scenario_sides.without_slots
        ),
        vm_data_centres=MEASUREMENT_VMS,
        time_factor=0.4,
    )


def _all_plans() -> dict[str, ScenarioPlan]:
    plans = [
        _steady(),
        _straggler(),
        _overload("overload-0.5x", 0.5),
        _overload("overload-1x", 1.0),
        _overload("overload-1.5x", 1.5),
        _overload("overload", 2.5),
        *FAULT_PLANS.values(),
        *RANDOM_PLANS,
    ]
    return {plan.name: plan for plan in plans}


PLANS: Mapping[str, ScenarioPlan] = _all_plans()
