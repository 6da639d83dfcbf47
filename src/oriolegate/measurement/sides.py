"""Layouts, rules and sides that several scenarios share."""

import attrs

from oriolegate.measurement import virtual_site
from oriolegate.measurement.open_loop import ROUTE
from oriolegate.measurement.virtual_site import GrantPolicy
from oriolegate.measurement.virtual_site import Side
from oriolegate.standins.layout import Layout
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
TWO_VMS = ("nairobi-a", "mombasa-a")


def policy_side(
    layout: Layout, grants: GrantPolicy = virtual_site.even_split
) -> Side:
    """Return the side on which everything is on."""
    return _side(layout, POLICY_RULES, grants)


def baseline_side(
    layout: Layout, grants: GrantPolicy = virtual_site.even_split
) -> Side:
    """Return the side without hedges, retry budget and limit of waiters."""
    return _side(layout, BASELINE_RULES, grants)


def _side(layout: Layout, rules: str, grants: GrantPolicy) -> Side:
    service = layout.services[0].name
    return Side(rules.format(route=ROUTE, service=service), grants)
