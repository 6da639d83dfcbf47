"""Measure the slopes from which docs/CAPACITY.md is calculated.

    python tools/measure_capacity.py vms
    python tools/measure_capacity.py leafs
    python tools/measure_capacity.py held
    python tools/measure_capacity.py changes
    python tools/measure_capacity.py cores
    python tools/measure_capacity.py homes
    python tools/measure_capacity.py profile

Processor time is measured instead of wall time, since other work on the
machine affects it little. `--network` sets the third octet of the loopback
addresses, so that two fleets can run at once.
"""

import argparse
from collections.abc import Sequence
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))
sys.path.insert(0, str(ROOT / "src"))

from tools.capacity_fit import fit  # noqa: E402

from tools import capacity_cores  # noqa: E402
from tools import capacity_fleet  # noqa: E402
from tools import capacity_homes  # noqa: E402
from tools import capacity_profile  # noqa: E402

VM_COUNTS = (3, 8, 16, 24, 48)
LEAF_COUNTS = (30, 300, 1_200, 3_000)
CHANGE_COUNTS = (0, 5, 20)
HOME_VM_COUNTS = (8, 24)
FEW_VMS = 8
CHANGE_VMS = 24
FEW_LEAFS = 30
HEADER = (
    "     size  start-s  core%  busiest  rss-MiB  links  sent-B/s  sent-msg/s"
    "  platform calls/s of the fleet; sent B/s by message number"
)


def _print_cost(size: int, cost: capacity_fleet.Cost) -> None:
    calls = {name: round(rate, 3) for name, rate in cost.calls_per_s.items()}
    sizes = {name: round(rate) for name, rate in cost.bytes_by_number.items()}
    print(
        f"{size:9d} {cost.start_s:8.2f} {cost.core_percent:6.2f}"
        f" {cost.largest_core_percent:8.2f}"
        f" {cost.rss_mib:8.1f} {cost.links:6.1f} {cost.sent_bytes_per_s:9.0f}"
        f" {cost.sent_messages_per_s:11.1f}  {calls} {sizes}",
        flush=True,
    )


def _print_lines(
    sizes: Sequence[float], costs: list[capacity_fleet.Cost]
) -> None:
    for name in ("core_percent", "rss_mib", "sent_bytes_per_s"):
        line = fit(sizes, [getattr(cost, name) for cost in costs])
        print(f"{name}: {line.intercept:.4g} + {line.slope:.4g} x size")


def measure_vms(network: int) -> None:
    """Print the cost against the number of serving processes."""
    print(HEADER)
    costs = []
    for count in VM_COUNTS:
        cost, _ = capacity_fleet.measure(count, FEW_LEAFS, network)
        costs.append(cost)
        _print_cost(count, cost)
    _print_lines(VM_COUNTS, costs)
    # The cost depends on the links between VMs. Each link carries one
    # heartbeat per second; the number of links at the end of the run excludes
    # links that were closed when idle.
    print("against messages a second, which is links, instead of VMs:")
    _print_lines([cost.sent_messages_per_s for cost in costs], costs)


def measure_leafs(network: int) -> None:
    """Print the cost against the number of leafs."""
    print(HEADER)
    costs = []
    for leafs in LEAF_COUNTS:
        cost, _ = capacity_fleet.measure(FEW_VMS, leafs, network)
        costs.append(cost)
        _print_cost(leafs, cost)
    _print_lines(LEAF_COUNTS, costs)


def measure_held(network: int) -> None:
    """Print the cost of 3,000 leafs against the number of processes.

    A service has 4 homes, the VMs that hold connections to its leafs. With
    more processes each is a home of fewer services.
    """
    print(HEADER)
    for count in HOME_VM_COUNTS:
        cost, _ = capacity_fleet.measure(count, LEAF_COUNTS[-1], network)
        _print_cost(count, cost)


def measure_changes(network: int) -> None:
    """Print the cost against the number of rules versions written in 20 s."""
    print(HEADER)
    costs = []
    for changes in CHANGE_COUNTS:
        cost, versions = capacity_fleet.measure(
            CHANGE_VMS, FEW_LEAFS, network, changes
        )
        costs.append(cost)
        _print_cost(changes, cost)
        print(f"versions at the end: {min(versions)} to {max(versions)}")
    _print_lines(CHANGE_COUNTS, costs)


def main() -> None:
    """Run the selected measurement."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    measurements = {
        "vms": measure_vms,
        "leafs": measure_leafs,
        "held": measure_held,
        "changes": measure_changes,
        "cores": lambda _: capacity_cores.measure(),
        "homes": lambda _: capacity_homes.measure(),
        "profile": lambda _: capacity_profile.measure(),
    }
    parser.add_argument("part", choices=measurements)
    parser.add_argument("--network", type=int, default=2)
    arguments = parser.parse_args()
    measurements[arguments.part](arguments.network)


if __name__ == "__main__":
    main()
