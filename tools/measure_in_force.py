"""Measure how soon accepted edits are in force on every VM of a fleet.

    python tools/measure_in_force.py --layout anga-pamoja --vms 8

Edits of the rules are sent to the VMs in turn. Each time is an upper bound,
since it starts when the edit is sent, before a VM accepts the edit. The time
`held` ends once each VM has reported the edit's rules version or a newer
version; `confirmed` ends once the VM that received the edit has reported that
all VMs confirmed the version. With outages, the store's outage starts as soon
as a read of the store returns the version.
"""

import argparse
from collections.abc import Callable
import contextlib
import math
import pathlib
import sys
import threading
import time
from typing import Any

import attrs

import fleet

DEFAULT_EDIT_COUNT = 100
OUTAGE_EDITS = 20
POLL_S = 0.005
EDIT_TIMEOUT_S = 30.0
SETTLE_S = 2.0
MAX_P99_MS = 2_000.0
ROUTES = {
    "anga-pamoja": "route forecast to studio-desk",
    "consortium": "route levies to cobro-core",
}
ADDRESSES = fleet.FleetAddresses(
    platform_port=7900, first_leaf_port=8500, vm_network="127.0.1"
)


@attrs.frozen
class EditTimes:
    """Times of one edit, in milliseconds since the edit was sent."""

    answered_ms: float
    held_ms: float
    confirmed_ms: float


class EditCall:
    """One `POST /rules` on a thread of its own.

    Attributes:
        status: HTTP status, or 0 while there is no answer.
        body: Decoded answer.
        answered_ms: Time from sending until the answer.
    """

    def __init__(
        self, site: fleet.Fleet, vm: fleet.Vm, base: int, text: str
    ) -> None:
        self.site = site
        self.vm = vm
        self.fields = {"base": base, "text": text}
        self.status = 0
        self.body: Any = None
        self.answered_ms = math.inf
        self.started_s = time.monotonic()
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def elapsed_ms(self) -> float:
        """Return the time since the edit was sent."""
        return (time.monotonic() - self.started_s) * 1_000.0

    def _run(self) -> None:
        self.status, self.body = self.site.call_admin(
            self.vm, "/rules", "POST", self.fields
        )
        self.answered_ms = self.elapsed_ms()


def make_rules(layout: str, number: int) -> str:
    """Return the rules of an edit, which differ from the previous ones."""
    lines = [f"{ROUTES[layout]}  # asked-by: measurement\n"]
    if number:
        name = f"caller-{number}-*"
        lines.append(
            f'priority caller "{name}" bulk  # asked-by: measurement\n'
        )
    return "".join(lines)


def wait_until(condition: Callable[[], bool], call: EditCall) -> float:
    """Return the time from sending the edit until a condition is true."""
    while not condition():
        if call.elapsed_ms() > EDIT_TIMEOUT_S * 1_000.0:
            raise TimeoutError(f"edit of base {call.fields['base']} timed out")
        time.sleep(POLL_S)
    return call.elapsed_ms()


def fetch_in_force(site: fleet.Fleet, vm: fleet.Vm, version: int) -> Any:
    """Return a VM's report on a rules version."""
    return site.call_admin(vm, f"/rules/in-force?version={version}")[1]


def start_outage(site: fleet.Fleet, call: EditCall, version: int) -> None:
    """Start an outage as soon as the store has the version."""

    def is_stored() -> bool:
        stored = site.call_platform("GET", "/objects/rules/accepted")[1]
        return bool(stored["version"] >= version)

    wait_until(is_stored, call)
    site.call_platform("POST", "/control", {"outage": True})


def wait_until_present(
    site: fleet.Fleet, call: EditCall, version: int
) -> float:
    """Return the time until every VM has reported the version."""
    pending = list(site.vms)

    def is_present_everywhere() -> bool:
        while pending:
            answer = fetch_in_force(site, pending[0], version)
            if answer["present_version"] < version:
                return False
            pending.pop(0)
        return True

    return wait_until(is_present_everywhere, call)


def apply_edit(
    site: fleet.Fleet, number: int, base: int, outage: bool
) -> EditTimes:
    """Make one edit and wait until it is in force on all VMs."""
    version = base + 1
    vm = site.vms[number % len(site.vms)]
    call = EditCall(site, vm, base, make_rules(site.layout, number))
    if outage:
        start_outage(site, call, version)
    held_ms = wait_until_present(site, call, version)
    confirmed_ms = wait_until(
        lambda: fetch_in_force(site, vm, version)["everywhere"], call
    )
    call.thread.join()
    if outage:
        site.call_platform("POST", "/control", {"outage": False})
        time.sleep(SETTLE_S)
    if call.status != 200 or call.body["version"] != version:
        raise RuntimeError(f"edit {number}: {call.status} {call.body}")
    return EditTimes(call.answered_ms, held_ms, confirmed_ms)


def percentile(values: list[float], fraction: float) -> float:
    """Return the smallest value that the given fraction of values is within."""
    ranked = sorted(values)
    return ranked[max(0, math.ceil(fraction * len(ranked)) - 1)]


def report(title: str, rows: list[EditTimes]) -> float:
    """Print the figures; return the 99th percentile of `held` in ms."""
    print(f"{title}: {len(rows)} edits, ms from sending")
    for name in ("held", "confirmed", "answered"):
        values = [getattr(row, f"{name}_ms") for row in rows]
        print(
            f"  {name:<10} p50 {percentile(values, 0.5):8.1f}  "
            f"p99 {percentile(values, 0.99):8.1f}  max {max(values):8.1f}"
        )
    return percentile([row.held_ms for row in rows], 0.99)


def wait_until_confirmed(site: fleet.Fleet) -> None:
    """Wait until the first VM reports the first rules in force on all VMs."""
    deadline_s = time.monotonic() + EDIT_TIMEOUT_S
    while time.monotonic() < deadline_s:
        answer = fetch_in_force(site, site.vms[0], 1)
        if len(answer["in_force_on"]) == len(site.vms):
            return
        time.sleep(POLL_S)
    raise TimeoutError("the VMs did not all confirm the first rules")


def measure(site: fleet.Fleet, edits: int, outage_edits: int) -> bool:
    """Make all edits; return whether both p99 times are within the limit."""
    site.start(make_rules(site.layout, 0))
    wait_until_confirmed(site)
    rows = [
        apply_edit(site, number, number, outage=False)
        for number in range(1, edits + 1)
    ]
    is_met = report("store up", rows) <= MAX_P99_MS
    rows = [
        apply_edit(site, number, number, outage=True)
        for number in range(edits + 1, edits + outage_edits + 1)
    ]
    return report("store down after the write", rows) <= MAX_P99_MS and is_met


def main() -> int:
    """Run the measurement; return 1 if a time exceeds the limit."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--layout", choices=sorted(ROUTES), default="anga-pamoja"
    )
    parser.add_argument("--vms", type=int, default=8)
    parser.add_argument("--edits", type=int, default=DEFAULT_EDIT_COUNT)
    parser.add_argument("--outage-edits", type=int, default=OUTAGE_EDITS)
    parser.add_argument("--logs", type=pathlib.Path, required=True)
    options = parser.parse_args()
    site = fleet.Fleet(
        options.layout, options.vms, options.logs, addresses=ADDRESSES
    )
    with contextlib.closing(site):
        is_met = measure(site, options.edits, options.outage_edits)
    print(
        f"p99 of held at most {MAX_P99_MS:.0f} ms: {'yes' if is_met else 'NO'}"
    )
    return 0 if is_met else 1


if __name__ == "__main__":
    sys.exit(main())
