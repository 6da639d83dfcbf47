"""Assigns a leaf's connections to VMs, for leafs with fewer than one per VM.

A leaf accepts a limited number of connections from all VMs. If they are fewer
than one per VM, the VMs of the leaf's region come first, since they use the
leaf most. The other connections are assigned by a hash of VM and leaf, so that
no message is needed and a VM that joins or leaves moves hardly any connection.
The assignment decides only between leafs that are otherwise equal, so that it
limits the connections without adding latency.
"""

import attrs

from oriolegate.membership import rendezvous

# Connections are assigned as if this many times the known members ran; the
# member list is a second behind when machines are added.
MEMBER_FACTOR = 1.2


@attrs.frozen
class ConnectionAssignment:
    """Assignment of the connections of one leaf.

    Attributes:
        per_vm: Connections of each VM that has connections.
        local_fraction: Fraction of the VMs in the leaf's region that have
            connections.
        remote_fraction: Fraction of the other VMs that have connections.
    """

    per_vm: int
    local_fraction: float
    remote_fraction: float


def assign_connections(
    limit: int, local_members: int, remote_members: int
) -> ConnectionAssignment:
    """Assign the connections of a leaf.

    Args:
        limit: Connections that the leaf accepts from all VMs.
        local_members: Number of VMs in the leaf's region.
        remote_members: Number of all other VMs.
    """
    available = limit / MEMBER_FACTOR
    members = max(1, local_members + remote_members)
    if available >= members:
        return ConnectionAssignment(int(available / members), 1.0, 1.0)
    if local_members >= available:
        return ConnectionAssignment(1, available / local_members, 0.0)
    return ConnectionAssignment(
        1, 1.0, (available - local_members) / max(1, remote_members)
    )


def has_connections(vm: str, leaf_id: str, fraction: float) -> bool:
    """Return whether a VM is in the fraction of VMs with connections."""
    if fraction >= 1.0:
        return True
    return rendezvous.hash_fraction(leaf_id, vm) < fraction
