"""Run the soak: `python -m tools.soak --seeds 1-50`.

Each seed starts gateways as processes and injects faults into them, the store
and the leafs for some seconds. It then checks that the gateways recover. The
exit status is 1 if a promise was broken.
"""

import argparse
import collections
import pathlib
import random
import sys
import tempfile
from typing import Any

from tests.platform import stand_in_documents as documents
from tools.soak import gateways as gateway_module
from tools.soak import promises
from tools.soak.environment import DATA_CENTRES
from tools.soak.environment import NEXT_SHARDS
from tools.soak.environment import SHARDS
from tools.soak.environment import SoakEnvironment
from tools.soak.faults import FaultInjector
from tools.soak.gateways import GatewayProcess
from tools.soak.run_main import run_until_done
from twisted.internet import defer

from oriolegate import system_reactor
from oriolegate.network.http_client import HttpClient
from oriolegate.network.http_pool import HttpPool

reactor = system_reactor.get_reactor()

REGRESSIONS = pathlib.Path(__file__).with_name("regressions.txt")
GATEWAY_COUNT = 4
CALLER_COUNT = 12
START_S = 2.0
FAULT_COUNT = 8
# A gateway's view of the leafs may still be wrong for this long after the last
# fault; then the strict checks begin.
SETTLE_S = promises.VIEW_SETTLE_MS / 1_000 + 0.5
# All gateways must apply a new configuration within this time.
CONFIGURATION_S = 4.5
DRAIN_S = promises.DRAIN_MS / 1_000 + 1.0


async def run_caller(
    environment: SoakEnvironment, gateways: list[GatewayProcess]
) -> None:
    """Send requests over persistent connections until the run ends."""
    pools = {
        process.vm: HttpPool(reactor, environment.clock, process.caller_address)
        for process in gateways
    }
    while not environment.stopped:
        process = environment.rng.choice(gateways)
        await environment.call_gateway(process, pools[process.vm])
        await environment.sleep(environment.rng.uniform(0.0, 0.06))
    for pool in pools.values():
        pool.close()


async def check_recovered(
    environment: SoakEnvironment, gateways: list[GatewayProcess]
) -> None:
    """Check that gateways answer, apply a new configuration and a drain."""
    shards = (
        SHARDS if environment.shard_sets[-1] != set(SHARDS) else NEXT_SHARDS
    )
    environment.configure(shards)
    leaving = next(
        leaf
        for leaf in environment.leafs.values()
        if leaf.service in shards and leaf.draining_since_ms is None
    )
    environment.drain(leaving)
    await environment.sleep(CONFIGURATION_S)
    for process in gateways:
        attempt, data = environment.make_request(process, "all")
        done: defer.Deferred[Any] = defer.Deferred()
        HttpClient(reactor, environment.clock, process.caller_address).send(
            data, 2_000.0, done.callback
        )
        response = await done
        if isinstance(response, str) or response.status != 200:
            failure = response if isinstance(response, str) else response.status
            environment.checker.record_violation(
                "recovers", f"{process.vm}: {failure}"
            )
            continue
        services = {
            promises.service_of(leaf) for leaf in documents.part_leafs(response)
        }
        if not services <= set(shards):
            environment.checker.record_violation(
                "configuration in force", f"{process.vm}: {services}"
            )
    await environment.sleep(max(0.0, DRAIN_S - CONFIGURATION_S))


async def run_seed(
    seed: int,
    faulty_s: float,
    folder: pathlib.Path,
    restore_count: int = 0,
    limit_count: int = 0,
    silence_count: int = 0,
    first_vm: int = 0,
) -> promises.PromiseChecker:
    """Run one seed; return its checker.

    Args:
        seed: Seed of all draws.
        faulty_s: Time with faults.
        folder: For settings and logs.
        restore_count: How often the store comes back from an older copy.
        limit_count: How often leafs limit their requests for a time.
        silence_count: How often open connections to the store go silent.
        first_vm: Number of the first gateway, which decides its address.
    """
    rng = random.Random(seed)
    environment = SoakEnvironment(reactor, rng)
    numbers = range(first_vm, first_vm + GATEWAY_COUNT)
    hosts = [gateway_module.host_for(number) for number in numbers]
    # The internal port is the same on all VMs.
    (internal_port,) = gateway_module.free_ports("0.0.0.0", 1)
    gateways = [
        GatewayProcess(
            reactor,
            number,
            DATA_CENTRES[number % 2],
            environment.store_address,
            folder,
            hosts[:3],
            internal_port,
        )
        for number in numbers
    ]
    for process in gateways:
        # The processes must also end when the soak itself is stopped.
        reactor.addSystemEventTrigger("before", "shutdown", process.close)
        process.start()
        process.restart_when_ended()
    await environment.sleep(START_S)
    callers = [
        defer.ensureDeferred(run_caller(environment, gateways))
        for _ in range(CALLER_COUNT)
    ]
    # For the leaf faults that are directed at one service; see `FaultInjector`.
    focus_rng = random.Random(f"focus {seed}")
    injector = FaultInjector(environment, gateways, rng, focus_rng)
    injector.schedule(faulty_s, FAULT_COUNT)
    injector.schedule_restores(faulty_s, restore_count)
    injector.schedule_limits(faulty_s, limit_count)
    injector.schedule_silences(faulty_s, silence_count)
    await environment.sleep(faulty_s + SETTLE_S)
    await check_recovered(environment, gateways)
    environment.stopped = True
    await defer.DeferredList(callers)
    for process in gateways:
        environment.checker.configurations.starts_ms[process.vm] = (
            process.starts_ms
        )
    environment.checker.judge_configurations()
    environment.close()
    for process in gateways:
        process.close()
    await environment.sleep(0.1)
    return environment.checker


def parse_seeds(text: str) -> list[int]:
    """Parse seeds such as `3,7,10-20`."""
    seeds: list[int] = []
    for part in text.split(","):
        first, dash, last = part.partition("-")
        seeds += range(int(first), int(last if dash else first) + 1)
    return seeds


def regression_seeds() -> list[int]:
    """Return the seeds that have failed before."""
    lines = REGRESSIONS.read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line[:1].isdigit()]


async def run_all(arguments: argparse.Namespace) -> int:
    """Run all seeds; return the exit status."""
    broken_seeds = 0
    totals: collections.Counter[str] = collections.Counter()
    seeds = parse_seeds(arguments.seeds)
    if arguments.regressions:
        seeds = [*regression_seeds(), *seeds]
    for seed in seeds:
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(arguments.keep or name) / f"seed-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
            checker = await run_seed(
                seed,
                arguments.seconds,
                folder,
                arguments.restores,
                arguments.limits,
                arguments.silences,
                arguments.first_vm,
            )
        totals += checker.counts
        broken_seeds += bool(checker.violations)
        print(f"seed {seed}: {len(checker.violations)} broken", flush=True)
        for promise, detail in checker.violations[:10]:
            print(f"  {promise}: {detail}", flush=True)
    for name, count in sorted(totals.items()):
        print(f"{name}: {count}")
    print(f"{broken_seeds} of {len(seeds)} seeds broke a promise")
    return 1 if broken_seeds else 0


def main() -> int:
    """Parse the arguments and run the soak; return the exit status."""
    parser = argparse.ArgumentParser(prog="python -m tools.soak")
    parser.add_argument("--seeds", default="1-3", help="such as 3,7,10-20")
    parser.add_argument(
        "--seconds", type=float, default=6.0, help="time with faults, each seed"
    )
    parser.add_argument(
        "--regressions",
        action="store_true",
        help="first run the seeds that have failed before",
    )
    parser.add_argument(
        "--restores",
        type=int,
        default=0,
        help="how often the store comes back from an older copy",
    )
    parser.add_argument(
        "--limits",
        type=int,
        default=0,
        help="how often leafs limit their requests for a time",
    )
    parser.add_argument(
        "--silences",
        type=int,
        default=0,
        help="how often connections to the store go silent for good",
    )
    parser.add_argument(
        "--first-vm",
        type=int,
        default=0,
        help="number of the first gateway, to run soaks beside each other",
    )
    parser.add_argument(
        "--keep", help="folder in which settings and logs are kept"
    )
    options = parser.parse_args()
    return run_until_done(lambda: run_all(options))


if __name__ == "__main__":
    sys.exit(main())
