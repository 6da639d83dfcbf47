"""How a side of a scenario runs, and what several scenarios share."""

from collections.abc import Callable

import attrs

from oriolegate.models.topology import Leaf
from oriolegate.standins.layout import Layout
from oriolegate.standins.named_layouts import ANGA_PAMOJA
from oriolegate.upstreams.leaf_state import Grant

ROUTE = "search"
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


# (number of the VM, number of VMs, a leaf of the service) -> grant
GrantPolicy = Callable[[int, int, Leaf], Grant]


def even_split(vm: int, vms: int, leaf: Leaf) -> Grant:
    """Divide slots and connections evenly; the first VM holds the cold share.

    Args:
        vm: Number of the VM, from 0.
        vms: Number of VMs.
        leaf: A leaf of the service.
    """
    cold = leaf.cold_slots if vm == 0 else 0
    return Grant(leaf.slots // vms, leaf.connections // vms, cold)


def without_warm_up(vm: int, vms: int, leaf: Leaf) -> Grant:
    """Divide evenly, and let a cold leaf have as much as a warm one."""
    slots = leaf.slots // vms
    return Grant(slots, leaf.connections // vms, slots)


def without_slots(vm: int, vms: int, leaf: Leaf) -> Grant:
    """Divide connections evenly, and let each carry a request at any time."""
    connections = leaf.connections // vms
    return Grant(connections, connections, connections)


@attrs.frozen
class Side:
    """How one side of a scenario runs: the policy, or the baseline.

    Attributes:
        rules: Text of the rules.
        grants: How the leafs' limits are divided.
        claims: Whether idempotency keys are claimed before a dispatch.
    """

    rules: str
    grants: GrantPolicy = even_split
    claims: bool = True


def policy_side(layout: Layout, grants: GrantPolicy = even_split) -> Side:
    """Return the side on which everything is on."""
    return _side(layout, POLICY_RULES, grants)


def baseline_side(
    layout: Layout, grants: GrantPolicy = even_split, claims: bool = True
) -> Side:
    """Return the side without hedges, retry budget and limit of waiters.

    Args:
        layout: The leafs.
        grants: How their limits are divided.
        claims: Whether idempotency keys are claimed.
    """
    return attrs.evolve(_side(layout, BASELINE_RULES, grants), claims=claims)


def _side(layout: Layout, rules: str, grants: GrantPolicy) -> Side:
    service = layout.services[0].name
    return Side(rules.format(route=ROUTE, service=service), grants)
