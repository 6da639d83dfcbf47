"""Measure claims per platform write, and search for double runs under faults.

Runs the claims of several VMs on a simulated store that has a latency and rate
limits. Time is simulated and the seed is fixed, so that each run gives the same
figures.

    python tools/measure_claims.py load
    python tools/measure_claims.py faults
"""

import argparse
import collections
from collections.abc import Callable
import heapq
import itertools
import json
import random
from typing import Any

import attrs

from oriolegate.claims import events
from oriolegate.claims.claim_manager import ClaimManager
from oriolegate.claims.effects import ClaimGranted
from oriolegate.claims.effects import ClaimRefused
from oriolegate.claims.effects import ReadClass
from oriolegate.claims.effects import SendToPeer
from oriolegate.claims.effects import SetTimer
from oriolegate.claims.effects import WriteClass
from oriolegate.claims.settings import ClaimsSettings
from oriolegate.result_codes import ResultCode
from oriolegate.result_codes import RunState

WALL_OFFSET_MS = 1_700_000_000_000
TIMEOUT_MS = 1_000.0
MIN_INTERVAL_MS = ClaimsSettings().min_write_interval_ms


@attrs.define(slots=False)
class ClaimsSimulation:
    """Simulation of time, links, store and the claims of several VMs.

    Attributes:
        writes_per_s: Limit of writes; further writes are refused.
        reads_per_s: Limit of reads; further reads are refused.
        lost_ratio: Fraction of calls whose answer is lost.
        late_ratio: Fraction of calls that take effect a second late.
    """

    seed: int
    vm_count: int
    settings: ClaimsSettings
    writes_per_s: int = 400
    reads_per_s: int = 2_000
    lost_ratio: float = 0.0
    late_ratio: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Create the VMs and an empty store."""
        self.rng = random.Random(self.seed)
        self.now_ms = 0.0
        self.event_queue: list[Any] = []
        self.sequence = itertools.count()
        self.vms = tuple(f"vm-{n}" for n in range(self.vm_count))
        self.claims = {
            vm: ClaimManager(vm, "1", self.settings) for vm in self.vms
        }
        self.objects: dict[str, tuple[int, Any]] = {}
        self.rates: collections.Counter[tuple[str, int]] = collections.Counter()
        self.down_until_ms = 0.0
        self.paused_until_ms = dict.fromkeys(self.vms, 0.0)
        self.timers = dict.fromkeys(self.vms, -1.0)
        self.written_bytes = 0
        self.refused_calls = 0
        self.on_result: Callable[[str, str, Any], None] = lambda *_: None
        for vm in self.vms:
            self.step(vm, events.OwnersChanged(self.vms))

    def call_later(
        self, delay_ms: float, function: Callable[..., None], *args: Any
    ) -> None:
        """Call a function after a delay."""
        entry = (self.now_ms + delay_ms, next(self.sequence), function, args)
        heapq.heappush(self.event_queue, entry)

    def run(self) -> None:
        """Run until no call is scheduled any more."""
        while self.event_queue:
            self.now_ms, _, function, args = heapq.heappop(self.event_queue)
            function(*args)

    def step(self, vm: str, event: events.ClaimsEvent) -> None:
        """Pass an event to a VM's claims, after any pause of the VM."""
        pause_ms = self.paused_until_ms[vm] - self.now_ms
        if pause_ms > 0:
            self.call_later(pause_ms, self.step, vm, event)
            return
        for effect in self.claims[vm].step(self.now_ms, event):
            match effect:
                case ClaimGranted(request_id) | ClaimRefused(request_id):
                    self.on_result(vm, request_id, effect)
                case SetTimer(at_ms):
                    self.timers[vm] = at_ms
                    delay_ms = max(0.0, at_ms - self.now_ms)
                    self.call_later(delay_ms, self.fire_timer, vm, at_ms)
                case SendToPeer(receiver, message):
                    delay_ms = self.rng.uniform(0.5, 2.0)
                    received = events.PeerMessageReceived(vm, message)
                    self.call_later(delay_ms, self.step, receiver, received)
                case ReadClass() | WriteClass():
                    self.call(vm, effect)

    def fire_timer(self, vm: str, at_ms: float) -> None:
        """Fire a VM's timer unless the timer has been set again."""
        if self.timers[vm] == at_ms:
            self.timers[vm] = -1.0
            self.step(vm, events.TimerFired())

    def call(self, vm: str, call: ReadClass | WriteClass) -> None:
        """Start a platform call."""
        delay_ms = self.rng.uniform(2.0, 6.0)
        if self.rng.random() < self.late_ratio:
            delay_ms += 1_000.0
        self.call_later(delay_ms, self.execute_call, vm, call)

    def execute_call(self, vm: str, call: ReadClass | WriteClass) -> None:
        """Execute a store call and answer it, unless the answer is lost."""
        event = self.apply_call(call)
        if self.rng.random() < self.lost_ratio:
            if self.rng.random() < 0.5:
                return  # the claims' own timeout ends the call
            event = self.make_failure(call)
        self.call_later(self.rng.uniform(2.0, 6.0), self.step, vm, event)

    @staticmethod
    def make_failure(call: ReadClass | WriteClass) -> events.ClaimsEvent:
        """Return the event for a failed call."""
        if isinstance(call, ReadClass):
            return events.ReadFailed(call.operation)
        return events.WriteFailed(call.operation)

    def apply_call(self, call: ReadClass | WriteClass) -> events.ClaimsEvent:
        """Execute a call on the store."""
        kind = type(call).__name__
        limit = self.reads_per_s
        if isinstance(call, WriteClass):
            limit = self.writes_per_s
        second = (kind, int(self.now_ms // 1_000))
        self.rates[second] += 1
        if self.rates[second] > limit or self.now_ms < self.down_until_ms:
            self.refused_calls += 1
            return self.make_failure(call)
        version, value = self.objects.get(call.name, (0, None))
        if isinstance(call, ReadClass):
            return events.ReadDone(call.operation, version, value)
        self.written_bytes += len(json.dumps(call.value))
        if version != call.expected_version:
            return events.WriteConflict(call.operation)
        self.objects[call.name] = (version + 1, call.value)
        return events.WriteDone(call.operation, version + 1)

    def make_key(self, number: int) -> str:
        """Return an idempotency key with the current time."""
        return f"{int(self.now_ms) + WALL_OFFSET_MS}-{number:016d}"

    def request_claim(self, vm: str, key: str, request_id: str) -> None:
        """Request a claim at a VM."""
        wall_ms = int(self.now_ms) + WALL_OFFSET_MS
        event = events.ClaimRequested(
            key, request_id, self.now_ms + TIMEOUT_MS, wall_ms
        )
        self.step(vm, event)

    def sum_counts(self, name: str) -> int:
        """Return the sum of a count over all VMs."""
        return sum(getattr(c.counts, name) for c in self.claims.values())


def measure_load(
    settings: ClaimsSettings, rate_per_s: int, seconds: int
) -> str:
    """Return one row of figures for a steady load on 8 VMs."""
    simulation = ClaimsSimulation(seed=7, vm_count=8, settings=settings)
    started_ms: dict[str, float] = {}
    latencies: list[float] = []

    def on_result(vm: str, request_id: str, effect: Any) -> None:
        if isinstance(effect, ClaimGranted):
            latencies.append(simulation.now_ms - started_ms[request_id])

    def send(number: int) -> None:
        started_ms[f"r{number}"] = simulation.now_ms
        vm = simulation.rng.choice(simulation.vms)
        simulation.request_claim(vm, simulation.make_key(number), f"r{number}")

    simulation.on_result = on_result
    for number in range(rate_per_s * seconds):
        simulation.call_later(
            simulation.rng.uniform(0, seconds * 1_000.0), send, number
        )
    simulation.run()
    latencies.sort()
    writes = simulation.sum_counts("writes")
    granted = len(latencies)
    return (
        f"{rate_per_s:5d} {settings.bucket_count:4d}"
        f" {settings.group_commit!s:>5} {settings.forward!s:>5}"
        f" {100 * granted / (rate_per_s * seconds):7.1f}"
        f" {granted / writes:7.2f} {writes / seconds:7.0f}"
        f" {100 * simulation.sum_counts('conflicts') / writes:7.1f}"
        f" {simulation.sum_counts('reads') / seconds:7.0f}"
        f" {latencies[granted // 2]:7.1f} {latencies[granted * 99 // 100]:7.1f}"
        f" {simulation.written_bytes / seconds / 1_000:8.0f}"
    )


def run_load() -> None:
    """Print figures against load, key buckets, group commit and owners."""
    print(
        "rate/s cls group owner granted% cl/write writes/s confl% reads/s"
        "   p50ms   p99ms  kB/s written"
    )
    for rate_per_s, bucket_count, group_commit, forward in itertools.product(
        (100, 1_000), (1, 4, 16), (False, True), (False, True)
    ):
        settings = ClaimsSettings(
            bucket_count=bucket_count,
            group_commit=group_commit,
            forward=forward,
            min_write_interval_ms=MIN_INTERVAL_MS if group_commit else 0.0,
        )
        print(measure_load(settings, rate_per_s, 6), flush=True)
    for rate_per_s, width_ms in ((1_000, 15_000), (3_000, 2_000)):
        settings = ClaimsSettings(slot_width_ms=width_ms)
        print(f"slots of {width_ms} ms")
        print(measure_load(settings, rate_per_s, 6), flush=True)


class FaultRun:
    """Run with callers that resend, VMs that pause and a store that fails.

    Attributes:
        runs: Ids of requests that ran, by key.
        result_counts: Number of results by code and run state.
    """

    def __init__(self, seed: int, request_count: int) -> None:
        settings = ClaimsSettings(bucket_count=4)
        self.simulation = ClaimsSimulation(
            seed, 8, settings, lost_ratio=0.04, late_ratio=0.02
        )
        self.simulation.on_result = self.on_result
        self.rng = self.simulation.rng
        self.keys: dict[str, str] = {}
        self.ended_ids: set[str] = set()
        self.runs: collections.defaultdict[str, list[str]] = (
            collections.defaultdict(list)
        )
        self.result_counts: collections.Counter[str] = collections.Counter()
        self.resends: collections.Counter[str] = collections.Counter()
        self.errors: list[str] = []
        self.request_count = request_count
        duration_ms = request_count / 200 * 1_000.0
        for number in range(request_count):
            self.simulation.call_later(
                self.rng.uniform(0, duration_ms), self.send_first, number
            )
        for start_ms in range(5_000, int(duration_ms), 9_000):
            self.simulation.call_later(start_ms, self.outage)
        for start_ms in range(1_000, int(duration_ms), 700):
            self.simulation.call_later(start_ms, self.pause)

    def outage(self) -> None:
        """Make the store unavailable for a random time."""
        outage_ms = self.rng.uniform(100.0, 2_500.0)
        self.simulation.down_until_ms = self.simulation.now_ms + outage_ms

    def pause(self) -> None:
        """Pause one VM for a random time."""
        vm = self.rng.choice(self.simulation.vms)
        pause_ms = self.rng.uniform(20.0, 2_000.0)
        self.simulation.paused_until_ms[vm] = self.simulation.now_ms + pause_ms
        self.simulation.step(vm, events.ProcessPaused())

    def send_first(self, number: int) -> None:
        """Send a new request, sometimes to several VMs at once."""
        key = self.simulation.make_key(number)
        for vm in self.rng.sample(
            self.simulation.vms, self.rng.choice((1, 1, 1, 2, 3))
        ):
            self.send(vm, key)

    def send(self, vm: str, key: str) -> None:
        """Send a request with a key to one VM."""
        request_id = f"r{len(self.keys)}"
        self.keys[request_id] = key
        self.simulation.request_claim(vm, key, request_id)

    def on_result(self, vm: str, request_id: str, effect: Any) -> None:
        """Check a result, and run or resend the request."""
        key = self.keys[request_id]
        if request_id in self.ended_ids:
            self.errors.append(f"{request_id} ended twice")
        self.ended_ids.add(request_id)
        if isinstance(effect, ClaimGranted):
            self.result_counts["granted"] += 1
            self.on_granted(vm, key, request_id)
            return
        self.result_counts[f"{effect.code.name} {effect.run_state.value}"] += 1
        can_retry = effect.run_state is RunState.NOT_RUN
        if can_retry and self.resends[key] < 6:
            self.resends[key] += 1
            vm = self.rng.choice(self.simulation.vms)
            self.simulation.call_later(
                self.rng.uniform(0.0, 800.0), self.send, vm, key
            )

    def on_granted(self, vm: str, key: str, request_id: str) -> None:
        """Run the request, or report it as not run and resend it."""
        run_state = RunState.RAN
        if self.rng.random() < 0.05:
            run_state = RunState.NOT_RUN
            self.simulation.call_later(
                self.rng.uniform(0.0, 800.0),
                self.send,
                self.rng.choice(self.simulation.vms),
                key,
            )
        else:
            self.runs[key].append(request_id)
        outcome = events.OutcomeKnown(key, request_id, run_state, ResultCode.OK)
        self.simulation.call_later(10.0, self.simulation.step, vm, outcome)


def run_faults() -> None:
    """Print the results of requests under faults."""
    for seed in range(3):
        run = FaultRun(seed, request_count=12_000)
        run.simulation.run()
        double_runs = [key for key, runs in run.runs.items() if len(runs) > 1]
        print(f"seed {seed}: {run.request_count} keys, {len(run.keys)} sends")
        print(f"  ran {len(run.runs)}, double runs {len(double_runs)}")
        print(f"  not ended {len(run.keys) - len(run.ended_ids)}")
        print(f"  errors {run.errors}")
        for result, count in sorted(run.result_counts.items()):
            print(f"  {result}: {count}")
        simulation = run.simulation
        names = ("reads", "writes", "conflicts", "failures", "forwarded")
        print(
            "  " + ", ".join(f"{n} {simulation.sum_counts(n)}" for n in names)
        )


def main() -> None:
    """Run the selected measurement."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("part", choices=("load", "faults"))
    match parser.parse_args().part:
        case "load":
            run_load()
        case "faults":
            run_faults()


if __name__ == "__main__":
    main()
