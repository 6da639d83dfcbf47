"""Measure claims per platform write, and look for double runs under faults.

Runs the claims cores of several VMs over a store in this script that has a
latency and limits on its rates. Time is simulated and the seed is fixed, so
that the same figures come out of each run.

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
class World:
    """Simulated time, links and store.

    Attributes:
        writes_per_s: Writes beyond this are refused.
        reads_per_s: Reads beyond this are refused.
        lost_ratio: Calls whose answer is lost.
        late_ratio: Calls that take effect a second late.
    """

    seed: int
    vm_count: int
    settings: ClaimsSettings
    writes_per_s: int = 400
    reads_per_s: int = 2_000
    lost_ratio: float = 0.0
    late_ratio: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Make the VMs and an empty store."""
        self.random = random.Random(self.seed)
        self.now_ms = 0.0
        self.heap: list[Any] = []
        self.order = itertools.count()
        self.vms = tuple(f"vm-{n}" for n in range(self.vm_count))
        self.cores = {
            vm: ClaimManager(vm, "1", self.settings) for vm in self.vms
        }
        self.objects: dict[str, tuple[int, Any]] = {}
        self.rates: collections.Counter[tuple[str, int]] = collections.Counter()
        self.down_until_ms = 0.0
        self.paused_until_ms = dict.fromkeys(self.vms, 0.0)
        self.timers = dict.fromkeys(self.vms, -1.0)
        self.written_bytes = 0
        self.refused_calls = 0
        self.on_end: Callable[[str, str, Any], None] = lambda *_: None
        for vm in self.vms:
            self.step(vm, events.OwnersChanged(self.vms))

    def at(
        self, delay_ms: float, function: Callable[..., None], *args: Any
    ) -> None:
        """Call a function later."""
        entry = (self.now_ms + delay_ms, next(self.order), function, args)
        heapq.heappush(self.heap, entry)

    def run(self) -> None:
        """Run until nothing is left to happen."""
        while self.heap:
            self.now_ms, _, function, args = heapq.heappop(self.heap)
            function(*args)

    def step(self, vm: str, event: events.ClaimsEvent) -> None:
        """Give a core an event, once its VM runs."""
        pause_ms = self.paused_until_ms[vm] - self.now_ms
        if pause_ms > 0:
            self.at(pause_ms, self.step, vm, event)
            return
        for effect in self.cores[vm].step(self.now_ms, event):
            match effect:
                case ClaimGranted(request_id) | ClaimRefused(request_id):
                    self.on_end(vm, request_id, effect)
                case SetTimer(at_ms):
                    self.timers[vm] = at_ms
                    delay_ms = max(0.0, at_ms - self.now_ms)
                    self.at(delay_ms, self.fire_timer, vm, at_ms)
                case SendToPeer(receiver, message):
                    delay_ms = self.random.uniform(0.5, 2.0)
                    received = events.PeerMessageReceived(vm, message)
                    self.at(delay_ms, self.step, receiver, received)
                case ReadClass() | WriteClass():
                    self.call(vm, effect)

    def fire_timer(self, vm: str, at_ms: float) -> None:
        """Tell a core of its timer, unless it set another one since."""
        if self.timers[vm] == at_ms:
            self.timers[vm] = -1.0
            self.step(vm, events.TimerFired())

    def call(self, vm: str, call: ReadClass | WriteClass) -> None:
        """Start a platform call."""
        delay_ms = self.random.uniform(2.0, 6.0)
        if self.random.random() < self.late_ratio:
            delay_ms += 1_000.0
        self.at(delay_ms, self.arrive, vm, call)

    def arrive(self, vm: str, call: ReadClass | WriteClass) -> None:
        """Let a call take effect and answer it."""
        event = self.apply(call)
        if self.random.random() < self.lost_ratio:
            if self.random.random() < 0.5:
                return  # the core's own timeout ends it
            event = self.failure(call)
        self.at(self.random.uniform(2.0, 6.0), self.step, vm, event)

    @staticmethod
    def failure(call: ReadClass | WriteClass) -> events.ClaimsEvent:
        """Return the event of a call that failed."""
        if isinstance(call, ReadClass):
            return events.ReadFailed(call.operation)
        return events.WriteFailed(call.operation)

    def apply(self, call: ReadClass | WriteClass) -> events.ClaimsEvent:
        """Carry a call out on the store."""
        kind = type(call).__name__
        limit = self.reads_per_s
        if isinstance(call, WriteClass):
            limit = self.writes_per_s
        second = (kind, int(self.now_ms // 1_000))
        self.rates[second] += 1
        if self.rates[second] > limit or self.now_ms < self.down_until_ms:
            self.refused_calls += 1
            return self.failure(call)
        version, value = self.objects.get(call.name, (0, None))
        if isinstance(call, ReadClass):
            return events.ReadDone(call.operation, version, value)
        self.written_bytes += len(json.dumps(call.value))
        if version != call.expected_version:
            return events.WriteConflict(call.operation)
        self.objects[call.name] = (version + 1, call.value)
        return events.WriteDone(call.operation, version + 1)

    def key(self, number: int) -> str:
        """Return a key made now."""
        return f"{int(self.now_ms) + WALL_OFFSET_MS}-{number:016d}"

    def request(self, vm: str, key: str, request_id: str) -> None:
        """Ask a core for a claim."""
        wall_ms = int(self.now_ms) + WALL_OFFSET_MS
        event = events.ClaimRequested(
            key, request_id, self.now_ms + TIMEOUT_MS, wall_ms
        )
        self.step(vm, event)

    def total(self, name: str) -> int:
        """Return the sum of a count over all cores."""
        return sum(getattr(c.counts, name) for c in self.cores.values())


def measure_load(
    settings: ClaimsSettings, rate_per_s: int, seconds: int
) -> str:
    """Return one row of figures for a steady load over 8 VMs."""
    world = World(seed=7, vm_count=8, settings=settings)
    began: dict[str, float] = {}
    latencies: list[float] = []

    def ended(vm: str, request_id: str, effect: Any) -> None:
        if isinstance(effect, ClaimGranted):
            latencies.append(world.now_ms - began[request_id])

    def send(number: int) -> None:
        began[f"r{number}"] = world.now_ms
        vm = world.random.choice(world.vms)
        world.request(vm, world.key(number), f"r{number}")

    world.on_end = ended
    for number in range(rate_per_s * seconds):
        world.at(world.random.uniform(0, seconds * 1_000.0), send, number)
    world.run()
    latencies.sort()
    writes = world.total("writes")
    granted = len(latencies)
    return (
        f"{rate_per_s:5d} {settings.bucket_count:4d}"
        f" {settings.group_commit!s:>5} {settings.forward!s:>5}"
        f" {100 * granted / (rate_per_s * seconds):7.1f}"
        f" {granted / writes:7.2f} {writes / seconds:7.0f}"
        f" {100 * world.total('conflicts') / writes:7.1f}"
        f" {world.total('reads') / seconds:7.0f}"
        f" {latencies[granted // 2]:7.1f} {latencies[granted * 99 // 100]:7.1f}"
        f" {world.written_bytes / seconds / 1_000:8.0f}"
    )


def load() -> None:
    """Print figures against load, classes, group commit and owners."""
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
    """Callers that resend, VMs that pause and a store that fails.

    Attributes:
        runs: Request ids that ran, by key.
        ends: Ends counted by code and run state.
    """

    def __init__(self, seed: int, request_count: int) -> None:
        settings = ClaimsSettings(bucket_count=4)
        self.world = World(seed, 8, settings, lost_ratio=0.04, late_ratio=0.02)
        self.world.on_end = self.ended
        self.random = self.world.random
        self.keys: dict[str, str] = {}
        self.ended_ids: set[str] = set()
        self.runs: collections.defaultdict[str, list[str]] = (
            collections.defaultdict(list)
        )
        self.ends: collections.Counter[str] = collections.Counter()
        self.resends: collections.Counter[str] = collections.Counter()
        self.errors: list[str] = []
        self.request_count = request_count
        duration_ms = request_count / 200 * 1_000.0
        for number in range(request_count):
            self.world.at(
                self.random.uniform(0, duration_ms), self.first, number
            )
        for start_ms in range(5_000, int(duration_ms), 9_000):
            self.world.at(start_ms, self.outage)
        for start_ms in range(1_000, int(duration_ms), 700):
            self.world.at(start_ms, self.pause)

    def outage(self) -> None:
        """Take the store down for a while."""
        length_ms = self.random.uniform(100.0, 2_500.0)
        self.world.down_until_ms = self.world.now_ms + length_ms

    def pause(self) -> None:
        """Stop one VM for a while."""
        vm = self.random.choice(self.world.vms)
        length_ms = self.random.uniform(20.0, 2_000.0)
        self.world.paused_until_ms[vm] = self.world.now_ms + length_ms
        self.world.step(vm, events.ProcessPaused())

    def first(self, number: int) -> None:
        """Send a request, at times through several VMs at once."""
        key = self.world.key(number)
        for vm in self.random.sample(
            self.world.vms, self.random.choice((1, 1, 1, 2, 3))
        ):
            self.send(vm, key)

    def send(self, vm: str, key: str) -> None:
        """Send a key through one VM."""
        request_id = f"r{len(self.keys)}"
        self.keys[request_id] = key
        self.world.request(vm, key, request_id)

    def ended(self, vm: str, request_id: str, effect: Any) -> None:
        """Check an end, and run or resend the request."""
        key = self.keys[request_id]
        if request_id in self.ended_ids:
            self.errors.append(f"{request_id} ended twice")
        self.ended_ids.add(request_id)
        if isinstance(effect, ClaimGranted):
            self.ends["granted"] += 1
            self.granted(vm, key, request_id)
            return
        self.ends[f"{effect.code.name} {effect.run_state.value}"] += 1
        retry = effect.run_state is RunState.NOT_RUN
        if retry and self.resends[key] < 6:
            self.resends[key] += 1
            vm = self.random.choice(self.world.vms)
            self.world.at(self.random.uniform(0.0, 800.0), self.send, vm, key)

    def granted(self, vm: str, key: str, request_id: str) -> None:
        """Run the request, or report that it was not run and resend it."""
        run_state = RunState.RAN
        if self.random.random() < 0.05:
            run_state = RunState.NOT_RUN
            self.world.at(
                self.random.uniform(0.0, 800.0),
                self.send,
                self.random.choice(self.world.vms),
                key,
            )
        else:
            self.runs[key].append(request_id)
        outcome = events.OutcomeKnown(key, request_id, run_state, ResultCode.OK)
        self.world.at(10.0, self.world.step, vm, outcome)


def faults() -> None:
    """Print what came of requests under faults."""
    for seed in range(3):
        run = FaultRun(seed, request_count=12_000)
        run.world.run()
        doubles = [key for key, runs in run.runs.items() if len(runs) > 1]
        print(f"seed {seed}: {run.request_count} keys, {len(run.keys)} sends")
        print(f"  ran {len(run.runs)}, double runs {len(doubles)}")
        print(f"  not ended {len(run.keys) - len(run.ended_ids)}")
        print(f"  errors {run.errors}")
        for end, count in sorted(run.ends.items()):
            print(f"  {end}: {count}")
        world = run.world
        names = ("reads", "writes", "conflicts", "failures", "forwarded")
        print("  " + ", ".join(f"{n} {world.total(n)}" for n in names))


def main() -> None:
    """Run the part that is named."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("part", choices=("load", "faults"))
    match parser.parse_args().part:
        case "load":
            load()
        case "faults":
            faults()


if __name__ == "__main__":
    main()
