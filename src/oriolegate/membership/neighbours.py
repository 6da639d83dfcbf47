"""Choose the few peers that a VM keeps links and heartbeats with.

In the own data centre: the next VM in name order, which makes the links
connect all VMs and every VM watched by one, and two by rendezvous hashing,
which make the paths short. Other data centres: one VM in each of two.
"""

from collections.abc import Iterable

from oriolegate.membership.messages import Member
from oriolegate.membership.rendezvous import ranked

LOCAL_RANDOM_NEIGHBOURS = 2
REMOTE_DATA_CENTRES = 2


def _successor(vm: str, names: list[str]) -> str:
    later = [name for name in names if name > vm]
    return min(later) if later else min(names)


def choose_neighbours(
    own: Member, candidates: Iterable[Member], avoided: set[str]
) -> set[str]:
    """Return the names of the peers to keep links with.

    Args:
        own: This VM.
        candidates: Members that live or are suspected, this VM included.
        avoided: VMs that can't be reached from here though others can, and
            data centres where that happened.
    """
    by_data_centre: dict[str, list[str]] = {}
    for member in candidates:
        if member.vm == own.vm or avoided & {member.vm, member.data_centre}:
            continue
        by_data_centre.setdefault(member.data_centre, []).append(member.vm)
    local = by_data_centre.pop(own.data_centre, [])
    chosen: set[str] = set()
    if local:
        chosen.add(_successor(own.vm, local))
        rest = [name for name in local if name not in chosen]
        chosen.update(ranked(own.vm, rest)[:LOCAL_RANDOM_NEIGHBOURS])
    for data_centre in ranked(own.vm, by_data_centre)[:REMOTE_DATA_CENTRES]:
        chosen.add(ranked(own.vm, by_data_centre[data_centre])[0])
    return chosen
