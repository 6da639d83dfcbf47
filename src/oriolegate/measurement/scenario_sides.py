"""The two sides of a scenario, and rules and grants that scenarios share.

Each scenario runs twice: the policy's side has the product's protections, and
the baseline's side runs without some of them.
"""

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
# No hedging; each failed attempt is retried immediately, without a budget.
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

# Returns a VM's grant for a leaf; see `even_split` for the arguments.
GrantPolicy = Callable[[int, int, Leaf], Grant]


def even_split(vm: int, vms: int, leaf: Leaf) -> Grant:
    """Divide slots and connections evenly; the first VM gets the cold share.

    Args:
        vm: Index of the VM, from 0.
        vms: Number of VMs.
        leaf: Leaf whose limits are divided.
    """
    cold = leaf.cold_slots if vm == 0 else 0
    return Grant(leaf.slots // vms, leaf.connections // vms, cold)


def without_warm_up(vm: int, vms: int, leaf: Leaf) -> Grant:
    """Divide evenly, with the same limit for cold leafs as for warm ones."""
    slots = leaf.slots // vms
    return Grant(slots, leaf.connections // vms, slots)


def without_slots(vm: int, vms: int, leaf: Leaf) -> Grant:
    """Divide connections evenly; only the connection count limits requests."""
    connections = leaf.connections // vms
    return Grant(connections, connections, connections)


@attrs.frozen
class ScenarioSide:
    """Settings of one side of a scenario: the policy or the baseline.

    Attributes:
        rules: Text of the rules.
        grants: Divides the leafs' limits among the VMs.
        claims: Whether idempotency keys are claimed before dispatch.
    """

    rules: str
    grants: GrantPolicy = even_split
    claims: bool = True


def policy_side(
    layout: Layout, grants: GrantPolicy = even_split
) -> ScenarioSide:
    """Return the side on which all protections are on."""
    return _side(layout, POLICY_RULES, grants)


def baseline_side(
    layout: Layout, grants: GrantPolicy = even_split, claims: bool = True
) -> ScenarioSide:
    """Return the side without hedges, retry budget and limit on waiting.

    Args:
        layout: Layout of the leafs.
        grants: Divides the leafs' limits among the VMs.
        claims: Whether idempotency keys are claimed before dispatch.
    """
    return attrs.evolve(_side(layout, BASELINE_RULES, grants), claims=claims)


def _side(layout: Layout, rules: str, grants: GrantPolicy) -> ScenarioSide:
    service = layout.services[0].name
    return ScenarioSide(rules.format(route=ROUTE, service=service), grants)
