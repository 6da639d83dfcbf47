"""Choose the few peers that a VM exchanges heartbeats with.

In the local data centre, a VM chooses the next VM in name order, so that the
links form a ring and every VM is monitored, and two VMs by rendezvous
hashing, which shorten the paths. In each of two other data centres, it
chooses one VM.
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
        candidates: Live and suspected members; may include this VM.
        avoided: VMs that others can reach and this VM can't, and other data
            centres with such VMs.
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
        remaining = [name for name in local if name not in chosen]
        chosen.update(ranked(own.vm, remaining)[:LOCAL_RANDOM_NEIGHBOURS])
    for data_centre in ranked(own.vm, by_data_centre)[:REMOTE_DATA_CENTRES]:
        chosen.add(ranked(own.vm, by_data_centre[data_centre])[0])
    return chosen
