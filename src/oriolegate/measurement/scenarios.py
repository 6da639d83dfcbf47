"""The scenarios in virtual time; docs/design/15-measurement.md tells of them.

Each names its load, its faults, and what is off in its baseline.
"""

from collections.abc import Callable
import functools

import attrs

from oriolegate.measurement import virtual_site
from oriolegate.measurement.open_loop import Load
from oriolegate.measurement.open_loop import ROUTE
from oriolegate.measurement.scenario import ScenarioPlan
from oriolegate.measurement.virtual_site import Side
from oriolegate.standins.layout import Layout
from oriolegate.standins.layout import measurement_layout
from oriolegate.standins.named_layouts import ANGA_PAMOJA

POLICY_RULES = """\
route {route} to {service}  # asked-by: Otieno: measurement
service {service} deadline 1s result-limit 10000  # asked-by: Otieno
"""
# Hedging is off; each failed attempt is sent again at once, without a budget.
BASELINE_RULES = (
    POLICY_RULES
    + """\
service {service} hedge off  # asked-by: Otieno: baseline
service {service} retry 100% attempts 3  # asked-by: Otieno: baseline
service {service} limit waiting 1000000  # asked-by: Otieno: baseline
"""
)

STUDIO_DESK = attrs.evolve(ANGA_PAMOJA, services=ANGA_PAMOJA.services[:1])
ONE_VM = ("nairobi-a",)
STRAGGLER_SHARDS = 130


def _side(
    layout: Layout,
    rules: str,
    grants: virtual_site.GrantPolicy = virtual_site.even_split,
) -> Side:
    service = layout.services[0].name
    return Side(rules.format(route=ROUTE, service=service), grants)


def _steady() -> ScenarioPlan:
    return ScenarioPlan(
        name="steady",
        layout=STUDIO_DESK,
        load=Load(100.0),
        policy=_side(STUDIO_DESK, POLICY_RULES),
        baseline=_side(STUDIO_DESK, BASELINE_RULES),
        vm_data_centres=ONE_VM,
    )


def _straggler() -> ScenarioPlan:
    layout = measurement_layout(STRAGGLER_SHARDS, replicas=2)
    return ScenarioPlan(
        name="straggler",
        layout=layout,
        load=Load(60.0),
        policy=_side(layout, POLICY_RULES),
        baseline=_side(layout, BASELINE_RULES),
        vm_data_centres=("dc-0",),
    )


OVERLOAD_SHARDS = 4
OVERLOAD_SLOTS = 2
OVERLOAD_REPLICAS = 2
MEAN_RUN_MS = 4.66


def _overload(name: str, factor: float) -> ScenarioPlan:
    layout = measurement_layout(
        OVERLOAD_SHARDS, OVERLOAD_REPLICAS, slots=OVERLOAD_SLOTS
    )
    slots = OVERLOAD_SLOTS * OVERLOAD_REPLICAS
    capacity_per_s = slots / MEAN_RUN_MS * 1_000.0
    return ScenarioPlan(
        name=name,
        layout=layout,
        load=Load(factor * capacity_per_s),
        policy=_side(layout, POLICY_RULES),
        baseline=_side(layout, BASELINE_RULES, virtual_site.without_slots),
        vm_data_centres=("dc-0",),
        time_factor=0.4,
    )


PLANS: dict[str, Callable[[], ScenarioPlan]] = {
    "steady": _steady,
    "straggler": _straggler,
    "overload-0.5x": functools.partial(_overload, "overload-0.5x", 0.5),
    "overload-1x": functools.partial(_overload, "overload-1x", 1.0),
    "overload-1.5x": functools.partial(_overload, "overload-1.5x", 1.5),
    "overload": functools.partial(_overload, "overload", 2.5),
}
