"""How much of its machine a process gives to the connections of clients."""

import enum

from oriolegate.models.machine import MachineLimits

BYTES_PER_MB = 1024 * 1024
# Memory that the process needs without connections of clients.
CONTROL_BYTES = 64 * BYTES_PER_MB
# Part of the other memory that counted bytes may use. Neither short-lived
# copies are counted nor freed blocks that the allocator can't return.
COUNTED_FRACTION = 0.5
# The same as a part of all memory, for machines with little of it.
MIN_COUNTED_FRACTION = 0.1
# Descriptors for files, and their greatest part of all descriptors.
FILE_DESCRIPTORS = 200
MAX_FILES_FRACTION = 0.25


class ConnectionGroup(enum.Enum):
    """Connections that share a part of the limits.

    Attributes:
        CALLERS: Connections of callers.
        INTERNAL: Connections of other VMs, operators and health checks.
    """

    CALLERS = "callers"
    INTERNAL = "internal"


# Each group's part of the counted bytes and of the sockets. The other sockets
# are for connections that this process opens: to leafs, the store and VMs.
BYTES_FRACTIONS = {
    ConnectionGroup.CALLERS: 0.7,
    ConnectionGroup.INTERNAL: 0.3,
}
# Most of a group's bytes that connections with long requests or responses may
# hold; the others may hold whatever these don't. Other VMs read whole views at
# the same time, of up to 1 MB each.
LONG_FRACTIONS = {
    ConnectionGroup.CALLERS: 0.5,
    ConnectionGroup.INTERNAL: 0.9,
}
SOCKET_FRACTIONS = {
    ConnectionGroup.CALLERS: 0.5,
    ConnectionGroup.INTERNAL: 0.15,
}


def bytes_for(limits: MachineLimits, group: ConnectionGroup) -> float:
    """Return how many bytes the connections of a group may hold."""
    memory_bytes = limits.memory_mb * BYTES_PER_MB
    counted_bytes = max(
        COUNTED_FRACTION * (memory_bytes - CONTROL_BYTES),
        MIN_COUNTED_FRACTION * memory_bytes,
    )
    return BYTES_FRACTIONS[group] * counted_bytes


def connections_for(limits: MachineLimits, group: ConnectionGroup) -> int:
    """Return how many connections a group may have."""
    files = min(FILE_DESCRIPTORS, MAX_FILES_FRACTION * limits.descriptors)
    sockets = limits.descriptors - files
    return max(1, int(SOCKET_FRACTIONS[group] * sockets))
