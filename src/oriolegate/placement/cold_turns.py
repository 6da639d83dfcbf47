"""Which VMs may use a cold leaf, and how often.

The bound on a cold leaf's requests in any second holds over all VMs. Half of
it is dealt out, one request a second to each VM that ranks first for the leaf;
two views of the membership that differ then still add up to less than all.
"""

from collections.abc import Iterable

from oriolegate.membership import rendezvous

# A little over the second that the bound is counted in, so that two requests
# of one VM never arrive within it.
SPACING_MS = 1_150.0
DEALT_PART = 0.5


def turns(cold_per_s: float, factor: float, slack: float) -> int:
    """Return how many VMs may each send one request a second.

    Args:
        cold_per_s: Rate that the leaf bears while cold.
        factor: Allowance over that rate.
        slack: Requests in a second beyond it.
    """
    return int((cold_per_s * factor + slack) * DEALT_PART)


def has_turn(
    own: str, members: Iterable[str], leaf_id: str, count: int
) -> bool:
    """Return whether this VM is among those that may use a cold leaf."""
    return own in rendezvous.ranked(leaf_id, members)[:count]
