"""Which VMs may send requests to a cold leaf, and how often.

A cold leaf, such as one that has just restarted, supports few requests. Its
limit of requests in any second applies to all VMs together. Half of the limit
is assigned: the VMs that rank highest for the leaf may each send it one
request per second. So VMs with two different views of the membership together
still stay below the limit.
"""

from collections.abc import Iterable

from oriolegate.membership import rendezvous

# Slightly longer than the second over which the limit is counted, so that two
# requests of one VM never arrive within it.
SPACING_MS = 1_150.0
# Fraction of the limit that is assigned to VMs.
ASSIGNED_FRACTION = 0.5


def allowed_vm_count(cold_per_s: float, factor: float, slack: float) -> int:
    """Return how many VMs may each send one request per second.

    Args:
        cold_per_s: Requests per second that the leaf supports while cold.
        factor: Allowed factor on that rate.
        slack: Requests in a second that are allowed beyond that rate.
    """
    return int((cold_per_s * factor + slack) * ASSIGNED_FRACTION)


def is_allowed(
    vm: str, members: Iterable[str], leaf_id: str, count: int
) -> bool:
    """Return whether this VM is among those that may use a cold leaf."""
    return vm in rendezvous.ranked(leaf_id, members)[:count]
