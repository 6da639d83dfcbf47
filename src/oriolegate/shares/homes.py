"""Choose the homes of a service and divide its limits among claimants.

The homes of a service are the VMs that hold connections to its leafs.
"""

from collections.abc import Iterable

from oriolegate.membership.messages import Member
from oriolegate.membership.rendezvous import rank_across_groups
from oriolegate.membership.rendezvous import ranked
from oriolegate.shares.share_object import Amounts

MAX_HOMES = 16  # each change of a share object is sent to all its holders


def home_key(service: str) -> str:
    """Return the key for ranking a service's homes."""
    return f"home/{service}"


def choose_homes(
    service: str, limits: Amounts, members: Iterable[Member]
) -> list[str]:
    """Return the homes of a service, taken from the data centres in turn.

    Args:
        service: Name of the service.
        limits: Limits of each leaf; a service has no more homes than slots
            or connections.
        members: VMs that may get work.
    """
    groups: dict[str, list[str]] = {}
    for member in members:
        groups.setdefault(member.data_centre, []).append(member.vm)
    count = min(limits.slots, limits.connections, MAX_HOMES)
    return rank_across_groups(home_key(service), groups, count)


def forwarding_order(
    homes: Iterable[str], members: Iterable[Member], data_centre: str
) -> list[str]:
    """Return homes in the order to try: those of a data centre first."""
    local = {
        member.vm for member in members if member.data_centre == data_centre
    }
    return sorted(homes, key=lambda vm: vm not in local)


def _divide(key: str, limit: int, claimants: set[str]) -> dict[str, int]:
    names = ranked(key, claimants)
    if not names:
        return {}
    share, remainder = divmod(limit, len(names))
    return {
        name: share + (1 if position < remainder else 0)
        for position, name in enumerate(names)
    }


def fair_share(
    service: str, limits: Amounts, claimants: set[str], vm: str
) -> Amounts:
    """Return one claimant's share once all have adjusted theirs.

    Args:
        service: Name of the service; decides which VMs get the remainders.
        limits: Amounts to divide.
        claimants: VMs that have or request a grant.
        vm: One of the claimants.
    """
    slots = _divide(f"slots/{service}", limits.slots, claimants)
    # Divided in the same order as the slots, so that a VM with a slot also
    # has a connection.
    connections = _divide(f"slots/{service}", limits.connections, claimants)
    # A leaf often supports a single request while cold (one cold slot). The
    # service in the key spreads these slots over different VMs.
    slot_holders = {name for name in claimants if slots[name] > 0}
    cold = _divide(f"cold/{service}", limits.cold, slot_holders)
    return Amounts(slots[vm], connections[vm], min(cold.get(vm, 0), slots[vm]))
