"""Name the homes of a service and divide its limits among claimants."""

from collections.abc import Iterable

from oriolegate.membership.messages import Member
from oriolegate.membership.rendezvous import ranked
from oriolegate.membership.rendezvous import spread
from oriolegate.shares.share_object import Amounts

MAX_HOMES = 16  # holders of one share object; each change touches them all


def home_key(service: str) -> str:
    """Return the key by which a service's homes are ranked."""
    return f"home/{service}"


def choose_homes(
    service: str, limits: Amounts, members: Iterable[Member]
) -> list[str]:
    """Return the homes of a service, taken from data centres in turn.

    Args:
        service: Name.
        limits: Of each leaf; no more homes than slots or connections.
        members: VMs that may get work.
    """
    groups: dict[str, list[str]] = {}
    for member in members:
        groups.setdefault(member.data_centre, []).append(member.vm)
    count = min(limits.slots, limits.connections, MAX_HOMES)
    return spread(home_key(service), groups, count)


def forwarding_order(
    homes: Iterable[str], members: Iterable[Member], data_centre: str
) -> list[str]:
    """Return homes in the order to try: those of a data centre first."""
    local = {item.vm for item in members if item.data_centre == data_centre}
    return sorted(homes, key=lambda vm: vm not in local)


def _parts(key: str, limit: int, claimants: set[str]) -> dict[str, int]:
    names = ranked(key, claimants)
    if not names:
        return {}
    share, rest = divmod(limit, len(names))
    return {
        name: share + (1 if position < rest else 0)
        for position, name in enumerate(names)
    }


def fair_share(
    service: str, limits: Amounts, claimants: set[str], vm: str
) -> Amounts:
    """Return what one claimant should have once all have moved.

    Args:
        service: Name; spreads the remainders over VMs.
        limits: What is divided.
        claimants: VMs with a grant, and those that ask for one.
        vm: One of the claimants.
    """
    slots = _parts(f"slots/{service}", limits.slots, claimants)
    # The same order, so that whoever has a slot has a connection too.
    connections = _parts(f"slots/{service}", limits.connections, claimants)
    # Often there is one cold slot: it goes to one VM for each service, and
    # to other VMs for other services.
    able = {name for name in claimants if slots[name] > 0}
    cold = _parts(f"cold/{service}", limits.cold, able)
    return Amounts(slots[vm], connections[vm], min(cold.get(vm, 0), slots[vm]))
