"""Measure what a large configuration costs the reader of a data centre.

Whole gateways on a virtual network, in virtual time: bytes sent and received
for one change, and the time until it is in force on all VMs.

    python -m tools.measure_configuration_fanout
"""

import attrs
import orjson
from tests.runtime import test_large_configuration
from tests.virtual_fleet import VirtualFleet

# 10 Mbit a second.
LINK_BYTES_PER_S = 1.25e6
VM_COUNTS = (4, 8, 16, 32)
ROUTE_COUNTS = (400, 1_400)
MORE_ROUTES = 100
STEP_S = 0.05
MAX_S = 20.0


@attrs.frozen
class Fanout:
    """What one change costs.

    Attributes:
        vm_count: Number of VMs of the data centre.
        size_bytes: Size of the configuration.
        reader_sent_bytes: Bytes that the busiest VM sends for the change.
        follower_received_bytes: Bytes that a middle VM receives.
        in_force_s: Time until the last VM has the change in force.
    """

    vm_count: int
    size_bytes: int
    reader_sent_bytes: int
    follower_received_bytes: int
    in_force_s: float


def measure(vm_count: int, route_count: int) -> Fanout:
    """Measure one change of one configuration."""
    build = test_large_configuration.configuration
    fleet = VirtualFleet(build(1, route_count))
    fleet.start(vm_count, LINK_BYTES_PER_S)
    hosts = fleet.hosts.values()
    sent_before = [host.outgoing.sent_bytes for host in hosts]
    received_before = [host.incoming.sent_bytes for host in hosts]
    changed = build(2, route_count + MORE_ROUTES)
    fleet.configure(changed)
    in_force_s = 0.0
    while set(fleet.versions().values()) != {2} and in_force_s < MAX_S:
        fleet.network.run_for(STEP_S)
        in_force_s += STEP_S
    sent = [
        host.outgoing.sent_bytes - before
        for host, before in zip(hosts, sent_before, strict=True)
    ]
    received = [
        host.incoming.sent_bytes - before
        for host, before in zip(hosts, received_before, strict=True)
    ]
    return Fanout(
        vm_count,
        len(orjson.dumps(changed)),
        max(sent),
        sorted(received)[vm_count // 2],
        in_force_s,
    )


def main() -> None:
    """Print one line for each number of VMs and routes."""
    for route_count in ROUTE_COUNTS:
        for vm_count in VM_COUNTS:
            fanout = measure(vm_count, route_count)
            print(
                f"{fanout.size_bytes / 1e3:.0f} KB, {fanout.vm_count} VMs:"
                f" reader sends {fanout.reader_sent_bytes / 1e3:.1f} KB,"
                f" a follower gets {fanout.follower_received_bytes / 1e3:.1f}"
                f" KB, in force after {fanout.in_force_s:.2f} s"
            )


if __name__ == "__main__":
    main()
