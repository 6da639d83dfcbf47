"""Cost of idle serving processes, measured on a fleet."""

import os
import pathlib
import tempfile
import time
from typing import Any

import attrs

from tools import fleet

SETTLE_S = 10.0
MEASURE_S = 20.0
PLATFORM_PORT = 7800
FIRST_LEAF_PORT = 9500
EMULATOR_HOST_OCTET = 250
DATA_CENTRES = 10
REGIONS = 4
LEAFS_PER_INSTANCE = 3
INSTANCES = 10
SERVICE_LEAFS = LEAFS_PER_INSTANCE * INSTANCES
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KIB = 1024
MIB = 1024 * KIB
RULES = "route {number} to service-0  # asked-by: capacity\n"


@attrs.frozen
class Cost:
    """Means over the processes of a fleet.

    Attributes:
        start_s: Processor time until the measurement starts.
        core_percent: Processor time relative to wall time.
        rss_mib: Resident memory at the end.
        sent_bytes_per_s: Payload of peer messages, without framing.
        sent_messages_per_s: Sent peer messages.
        links: Links to peers.
        largest_core_percent: Core percentage of the busiest process.
        calls_per_s: Platform calls of the whole fleet, by kind.
        bytes_by_number: Sent bytes per second, by message number.
    """

    start_s: float
    core_percent: float
    rss_mib: float
    sent_bytes_per_s: float
    sent_messages_per_s: float
    links: float
    largest_core_percent: float
    calls_per_s: dict[str, float]
    bytes_by_number: dict[str, float]


@attrs.frozen
class Reading:
    """Counters of one process at one time."""

    processor_s: float
    status: dict[str, Any]


def data_centre_names() -> list[str]:
    """Return the data centres of the measured fleet."""
    return [f"dc-{number}" for number in range(DATA_CENTRES)]


def layout_text(leafs: int) -> str:
    """Return a layout file with services of 30 leafs."""
    rows = ['name = "capacity"', "[regions]"]
    for number, name in enumerate(data_centre_names()):
        rows.append(f'{name} = "region-{number % REGIONS}"')
    for number in range(leafs // SERVICE_LEAFS):
        rows += [
            "[[services]]",
            f'name = "service-{number}"',
            f"instances = {INSTANCES}",
            f"leafs_per_instance = {LEAFS_PER_INSTANCE}",
            "slots = 4",
            "connections = 35",
            "connection_ms = 6.0",
            f"shards = {INSTANCES}",
            "replicas = 3",
        ]
    return "\n".join(rows) + "\n"


def make_fleet(
    count: int, leafs: int, network: int, folder: pathlib.Path
) -> fleet.Fleet:
    """Return a fleet with its own addresses, without starting it."""
    layout = folder / "layout.toml"
    layout.write_text(layout_text(leafs))
    names = data_centre_names()
    rows = [
        fleet.Vm(
            f"vm-{number + 1}",
            f"127.0.{network}.{number + 1}",
            names[number % DATA_CENTRES],
        )
        for number in range(count)
    ]
    return fleet.Fleet(
        str(layout),
        count,
        folder / "logs",
        vm_list=rows,
        addresses=fleet.FleetAddresses(
            platform_host=f"127.0.{network}.{EMULATOR_HOST_OCTET}",
            platform_port=PLATFORM_PORT,
            first_leaf_port=FIRST_LEAF_PORT,
        ),
    )


def processor_s(pid: int) -> float:
    """Return the processor time of a process so far."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def rss_mib(pid: int) -> float:
    """Return the resident memory of a process."""
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE") / MIB


def _read_processes(measured: fleet.Fleet, after_status: bool) -> list[Reading]:
    """Read all processes.

    Args:
        measured: Fleet whose processes are read.
        after_status: Whether the processor time is read after the status call
            instead of before it. If it is read after the call in the first of
            two readings and before it in the second, the difference of the
            readings excludes the cost of both status calls.
    """
    readings = []
    for vm in measured.vms:
        pid = measured.processes[vm.name].pid
        before_status_s = processor_s(pid)
        status = measured.call_admin(vm, "/status")[1]
        used_s = processor_s(pid) if after_status else before_status_s
        readings.append(Reading(used_s, status))
    return readings


def _sent_by_number(reading: Reading, field: str) -> dict[str, int]:
    sent = reading.status["peer_messages"]["sent"]
    return {number: row[field] for number, row in sent.items()}


def _growth_rates(
    before: list[dict[str, int]], after: list[dict[str, int]], elapsed_s: float
) -> dict[str, float]:
    """Return the growth of counters per second, summed over processes."""
    rates: dict[str, float] = {}
    for old, new in zip(before, after, strict=True):
        for name, value in new.items():
            growth = (value - old.get(name, 0)) / elapsed_s
            rates[name] = rates.get(name, 0.0) + growth
    return rates


def _calculate_cost(
    measured: fleet.Fleet,
    before: list[Reading],
    after: list[Reading],
    elapsed_s: float,
) -> Cost:
    count = len(before)
    cores = [
        100.0 * (new.processor_s - old.processor_s) / elapsed_s
        for old, new in zip(before, after, strict=True)
    ]

    def rates(field: str) -> dict[str, float]:
        return _growth_rates(
            [_sent_by_number(row, field) for row in before],
            [_sent_by_number(row, field) for row in after],
            elapsed_s,
        )

    size_rates = rates("size_bytes")
    pids = [process.pid for process in measured.processes.values()]
    return Cost(
        start_s=sum(row.processor_s for row in before) / count,
        core_percent=sum(cores) / count,
        rss_mib=sum(rss_mib(pid) for pid in pids) / count,
        sent_bytes_per_s=sum(size_rates.values()) / count,
        sent_messages_per_s=sum(rates("messages").values()) / count,
        links=sum(len(row.status["links"]) for row in after) / count,
        largest_core_percent=max(cores),
        calls_per_s=_growth_rates(
            [row.status["platform_calls"] for row in before],
            [row.status["platform_calls"] for row in after],
            elapsed_s,
        ),
        bytes_by_number={
            number: rate / count for number, rate in size_rates.items()
        },
    )


def _write_rules(
    measured: fleet.Fleet, changes: int, interval_s: float
) -> None:
    version = measured.call_platform("GET", "/objects/rules/accepted")[1][
        "version"
    ]
    for number in range(changes):
        value = {
            "text": RULES.format(number=number),
            "edit_id": f"capacity-{number}",
        }
        path = "/objects/rules/accepted"
        status, answer = measured.call_platform("PUT", path, value, version)
        if answer is None or "version" not in answer:
            raise RuntimeError(f"writing rules failed with status {status}")
        version = answer["version"]
        time.sleep(interval_s)


def measure(
    count: int, leafs: int, network: int, changes: int = 0
) -> tuple[Cost, list[int]]:
    """Start a fleet, wait `SETTLE_S`, measure the fleet and stop it.

    Args:
        count: Number of serving processes.
        leafs: Number of leafs, in services of 30.
        network: Third octet of the loopback addresses.
        changes: Number of rules versions written during the measurement.

    Returns:
        The cost, and the rules version of each process at the end.
    """
    with tempfile.TemporaryDirectory() as name:
        measured = make_fleet(count, leafs, network, pathlib.Path(name))
        try:
            measured.start(RULES.format(number="first"))
            time.sleep(SETTLE_S)
            before = _read_processes(measured, after_status=True)
            started_s = time.monotonic()
            if changes:
                _write_rules(measured, changes, MEASURE_S / changes)
            else:
                time.sleep(MEASURE_S)
            after = _read_processes(measured, after_status=False)
            elapsed_s = time.monotonic() - started_s
            cost = _calculate_cost(measured, before, after, elapsed_s)
        finally:
            measured.close()
    return cost, [row.status["rules_version"] for row in after]
