"""Measure a fleet of 8 processes under load and faults.

    python -m tools.measure_fleet [--layout L] [--scenario S] [--json FILE]

Runs are counted from the emulator's records, not from the processes.
"""

import argparse
import collections
from collections.abc import Callable
import json
import pathlib
import statistics
import sys
import tempfile
import time
from typing import Any

from tools.fleet import call
from tools.fleet import CALLER_PORT
from tools.fleet import Fleet
from tools.fleet import ROOT
from tools.fleet_load import Load
from tools.fleet_load import Outcome

VMS = 8
CALLERS = 16
PAUSE_S = 0.15
SUBMIT_FRACTION = 0.1
WARM_UP_S = 6.0
POLL_S = 0.1
CRASH_REQUEST_COUNT = 50
# Emulated leafs crash when they run a request whose body contains this text.
CRASH_MARKER = "crash-upstream"
ROUTES = {
    "anga-pamoja": ["forecast", "observations", "archive", "members"],
    "consortium": ["charges", "fleets", "receipts", "audit"],
}


def steady(fleet: Fleet, seconds: float) -> dict[str, Any]:
    """Wait without any fault."""
    time.sleep(seconds)
    return {}


def rolling(fleet: Fleet, seconds: float) -> dict[str, Any]:
    """Restart every VM's process, one after the other."""
    statuses = []
    for vm in fleet.vms:
        statuses.append(fleet.stop_vm(vm))
        fleet.start_vm(vm)
        fleet.wait_ready(vm)
    return {"exit_statuses": statuses}


def kill(fleet: Fleet, seconds: float) -> dict[str, Any]:
    """Kill one VM's process and start it again later."""
    vm = fleet.vms[0]
    time.sleep(seconds / 4)
    fleet.kill_vm(vm)
    time.sleep(seconds / 2)
    fleet.start_vm(vm)
    fleet.wait_ready(vm)
    time.sleep(seconds / 4)
    return {"killed": vm.name}


def store_down(fleet: Fleet, seconds: float) -> dict[str, Any]:
    """Start a process during an outage of the platform's store."""
    fleet.call_platform("POST", "/control", {"outage": True})
    time.sleep(seconds / 3)
    vm = fleet.vms[-1]
    status = fleet.stop_vm(vm)
    fleet.start_vm(vm)
    fleet.wait_ready(vm)
    body = {"place": 1}
    host = vm.host
    new_vm_status = call(
        host, CALLER_PORT, "POST", "/v1/query/" + ROUTES[fleet.layout][0], body
    )[0]
    time.sleep(seconds * 2 / 3)
    fleet.call_platform("POST", "/control", {"outage": False})
    time.sleep(3.0)
    return {"new_vm_answered": new_vm_status, "stop_status": status}


def data_centre_out(fleet: Fleet, seconds: float) -> dict[str, Any]:
    """Take a data centre out with a rule, then remove the rule."""
    name = fleet.vms[0].data_centre
    rules = fleet.call_admin(fleet.vms[0], "/rules")[1]
    line = f"take-out data-centre {name}  # asked-by: operations: works\n"
    result: dict[str, Any] = {"data_centre": name}
    for direction, text in (
        ("out", rules["text"] + line),
        ("back", rules["text"]),
    ):
        time.sleep(seconds / 4)
        edit = {"base": rules["version"], "text": text, "dry_run": False}
        accepted = fleet.call_admin(fleet.vms[0], "/rules", "POST", edit)[1]
        result[f"{direction}_state"] = accepted["state"]
        rules["version"] = accepted["version"]
        started_s = time.monotonic()
        if direction == "out":
            result["new_work_after_s"] = _last_new_work_s(
                fleet, name, started_s, seconds / 4
            )
    time.sleep(seconds / 4)
    return result


def _count_queries(fleet: Fleet, data_centre: str) -> int:
    records = fleet.call_platform("GET", "/control/records")[1]
    leafs = _find_leafs(fleet, data_centre)
    return sum(
        row["queries"]
        for leaf, row in records["leafs"].items()
        if leaf in leafs
    )


def _find_leafs(fleet: Fleet, data_centre: str) -> set[str]:
    topologies = fleet.call_platform("GET", "/objects/topology")[1]["items"]
    return {
        name
        for topology in topologies
        for name, leaf in topology["value"]["leafs"].items()
        if leaf["data_centre"] == data_centre
    }


def _last_new_work_s(
    fleet: Fleet, data_centre: str, started_s: float, seconds: float
) -> float:
    """Return the time until the data centre's leafs got their last query."""
    last_s = 0.0
    query_count = _count_queries(fleet, data_centre)
    while time.monotonic() - started_s < seconds:
        time.sleep(POLL_S)
        new_count = _count_queries(fleet, data_centre)
        if new_count != query_count:
            query_count = new_count
            last_s = time.monotonic() - started_s
    return last_s


def crashing_request(fleet: Fleet, seconds: float) -> dict[str, Any]:
    """Send a request that crashes leafs, 50 times, to all VMs in turn."""
    codes: collections.Counter[int] = collections.Counter()
    path = "/v1/query/" + ROUTES[fleet.layout][0]
    for number in range(CRASH_REQUEST_COUNT):
        vm = fleet.vms[number % len(fleet.vms)]
        answer = call(vm.host, CALLER_PORT, "POST", path, CRASH_MARKER, 15.0)
        codes[answer[1]["code"]] += 1
        time.sleep(seconds / CRASH_REQUEST_COUNT)
    records = fleet.call_platform("GET", "/control/records")[1]
    crashed = {
        name.rpartition("-")[0]
        for name, row in records["leafs"].items()
        if row["incarnation"] > 1
    }
    return {
        "crash_codes": dict(sorted(codes.items())),
        "upstreams_lost": sorted(crashed),
    }


SCENARIOS: dict[str, Callable[[Fleet, float], dict[str, Any]]] = {
    "steady": steady,
    "rolling": rolling,
    "kill": kill,
    "store-down": store_down,
    "data-centre-out": data_centre_out,
    "crashing-request": crashing_request,
}


def _percentile(values: list[float], quantile: float) -> float | None:
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def calculate_figures(
    outcomes: list[Outcome], records: dict[str, Any]
) -> dict[str, Any]:
    """Calculate figures from outcomes of callers and records of leafs."""
    queries = [row for row in outcomes if not row.submit]
    submits = [row for row in outcomes if row.submit]
    answered = [row for row in queries if row.status == 200]
    latencies = [row.latency_ms for row in answered]
    violations = collections.Counter(
        violation for row in outcomes for violation in row.violations
    )
    codes = collections.Counter(
        row.code for row in outcomes if row.status != 200
    )
    totals = records["totals"]
    return {
        "queries": len(queries),
        "answered": len(answered),
        "whole": sum(row.coverage == 1.0 for row in answered),
        "submits": len(submits),
        "submits_ran": sum(row.status == 200 for row in submits),
        "refusals_by_code": dict(sorted(codes.items())),
        "p50_ms": _percentile(latencies, 0.5),
        "p99_ms": _percentile(latencies, 0.99),
        "coverage": statistics.fmean(row.coverage for row in answered)
        if answered
        else None,
        "violations": {
            "cut": sum(row.status == 0 for row in outcomes),
            "doubled": violations["doubled"] + records["doubled_runs"],
            "mixed_snapshots": violations["mixed_snapshots"],
            "false_not_run": _false_not_run(submits, records),
            "cold_over_limit": totals.get("cold_over_limit", 0),
            "connections_over_limit": totals["connections_over_limit"],
        },
    }


def _false_not_run(submits: list[Outcome], records: dict[str, Any]) -> int:
    run_keys = {row["idempotency_key"] for row in records["records"]}
    return sum(
        row.run_state == "not_run" and row.key in run_keys for row in submits
    )


def measure(
    layout: str, scenario: str, seconds: float, seed: int, program: list[str]
) -> dict[str, Any]:
    """Run one scenario on a fresh fleet."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="fleet-"))
    fleet = Fleet(layout, VMS, folder, program)
    rules = (ROOT / "examples" / layout / "rules.txt").read_text()
    try:
        fleet.start(rules)
        load = Load(
            fleet, ROUTES[layout], CALLERS, SUBMIT_FRACTION, PAUSE_S, seed
        )
        load.start()
        time.sleep(WARM_UP_S)
        extra = SCENARIOS[scenario](fleet, seconds)
        load.stop()
        records = fleet.call_platform("GET", "/control/records?runs=1")[1]
        figures = calculate_figures(list(load.outcomes), records)
    finally:
        fleet.close()
    return {"layout": layout, "scenario": scenario, **figures, **extra}


def main() -> int:
    """Measure the selected scenarios and print their figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--layout", default="anga-pamoja")
    parser.add_argument("--scenario", choices=SCENARIOS, action="append")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--program", help="such as dist/oriolegate")
    parser.add_argument("--json")
    options = parser.parse_args()
    program = [sys.executable, "-m", "oriolegate"]
    if options.program:
        program = [options.program]
    results = []
    for scenario in options.scenario or SCENARIOS:
        result = measure(
            options.layout, scenario, options.seconds, options.seed, program
        )
        print(json.dumps(result, indent=2), flush=True)
        results.append(result)
    if options.json:
        pathlib.Path(options.json).write_text(json.dumps(results, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
