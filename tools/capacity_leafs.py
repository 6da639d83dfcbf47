"""Cost of the leaf table, measured without sockets."""

from tools.capacity_meter import allocated_kib
from tools.capacity_meter import encoded_bytes
from tools.capacity_meter import print_lines
from tools.capacity_meter import processor_ms
from tools.capacity_sizes import INCARNATION
from tools.capacity_sizes import make_topology
from tools.capacity_sizes import SERVICE_LEAFS

from oriolegate.timeline.events import EventBuffer
from oriolegate.upstreams.leaf_state import Grant
from oriolegate.upstreams.leaf_state import ReportedState
from oriolegate.upstreams.leaf_table import LeafTable
from oriolegate.upstreams.messages import LeafUpdate
from oriolegate.upstreams.messages import LeafUpdates

LEAF_COUNTS = (1_000, 4_000, 16_000)


def _build_table(leafs: int) -> LeafTable:
    table = LeafTable("dc-0", EventBuffer("vm-1", 0.0))
    for number in range(leafs // SERVICE_LEAFS):
        table.set_topology(0.0, make_topology(number))
    return table


def measure() -> None:
    """Print the cost of the leaf table."""
    print("leafs        KiB  take-ms  grant-ms  take-outs-ms")
    rows = []
    for count in LEAF_COUNTS:
        table, size_kib = allocated_kib(_build_table, count)
        build_ms = processor_ms(_build_table, count)
        grant = Grant(1, 9, 1)
        grant_ms = processor_ms(table.set_grant, 0.0, "service-0", grant)
        taken_out = frozenset({"dc-1"})
        take_out_ms = processor_ms(table.set_taken_out, taken_out, frozenset())
        rows.append((size_kib, build_ms, grant_ms, take_out_ms))
        print(
            f"{count:6d} {size_kib:9.0f} {build_ms:8.1f} {grant_ms:9.2f}"
            f" {take_out_ms:13.2f}"
        )
    print_lines(LEAF_COUNTS, rows, ("KiB", "take", "grant", "take-outs"))
    leaf_updates = tuple(
        LeafUpdate(f"service-0-leaf-{index}", ReportedState.WARM, INCARNATION)
        for index in range(SERVICE_LEAFS)
    )
    print(
        f"bytes: news of a service {encoded_bytes(LeafUpdates(leaf_updates))}"
    )
