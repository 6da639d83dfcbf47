"""Which VMs may keep connections to a leaf that bears fewer than there are VMs.

A leaf bears so many connections from all VMs. Where that is less than one for
each VM, those of its own region come first, since they use it most; the rest
is dealt out by a hash of VM and leaf, so that no message is needed and a VM
that joins or leaves moves hardly any connection. It is a preference between
leafs that are as good, so that the sum stays low without costing latency.
"""

import attrs

from oriolegate.membership import rendezvous

# Connections are dealt out as if this many times the known members ran; the
# list is behind by a second when machines are added.
MEMBER_FACTOR = 1.2
HASH_RANGE = 2.0**64


@attrs.frozen
class Deal:
    """How the connections of one leaf are dealt out.

    Attributes:
        each: Connections of a VM that has any.
        near_part: Part of the VMs in its region that have any.
        far_part: Part of the other VMs that have any.
    """

    each: int
    near_part: float
    far_part: float


def deal(limit: int, near_members: int, far_members: int) -> Deal:
    """Deal out the connections of a leaf.

    Args:
        limit: Connections that it bears from all VMs.
        near_members: VMs in its region.
        far_members: All other VMs.
    """
    room = limit / MEMBER_FACTOR
    members = max(1, near_members + far_members)
    if room >= members:
        return Deal(int(room / members), 1.0, 1.0)
    if near_members >= room:
        return Deal(1, room / near_members, 0.0)
    return Deal(1, 1.0, (room - near_members) / max(1, far_members))


def has_part(vm: str, leaf_id: str, part: float) -> bool:
    """Return whether a VM is among this part of all VMs, for a leaf."""
    if part >= 1.0:
        return True
    return rendezvous.stable_hash(leaf_id, vm) / HASH_RANGE < part
