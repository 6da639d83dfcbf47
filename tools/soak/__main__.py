"""Run the soak: `python -m tools.soak --seeds 1-50`.

Each seed starts gateways as processes, disturbs them and their surroundings
for some seconds, then leaves them in peace and checks that they are right
again. The exit status is 1 if a promise was broken.
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
from tools.soak.faults import Faults
from tools.soak.gateways import GatewayProcess
from tools.soak.world import DATA_CENTRES
from tools.soak.world import NEXT_SHARDS
from tools.soak.world import SHARDS
from tools.soak.world import World
from twisted.internet import defer
from twisted.internet import reactor as default_reactor

from oriolegate.network.http_client import HttpClient
from oriolegate.network.http_pool import HttpPool

reactor: Any = default_reactor

REGRESSIONS = pathlib.Path(__file__).with_name("regressions.txt")
GATEWAYS = 4
CALLERS = 12
START_S = 2.0
FAULTS = 8
# After the last fault: the time in which views may still be wrong, then the
# strict checks.
SETTLE_S = promises.CONTACT_MS / 1_000 + 0.5
CONFIGURE_S = 4.5
DRAIN_S = promises.DRAIN_MS / 1_000 + 1.0


async def caller(world: World, gateways: list[GatewayProcess]) -> None:
    """Call again and again, over kept connections, until the world ends."""
    pools = {
        process.vm: HttpPool(reactor, world.clock, process.front)
        for process in gateways
    }
    while not world.stopped:
        process = world.chance.choice(gateways)
        await world.call(process, pools[process.vm])
        await world.sleep(world.chance.uniform(0.0, 0.06))
    for pool in pools.values():
        pool.close()


async def check_recovered(world: World, gateways: list[GatewayProcess]) -> None:
    """Check that all gateways serve, and follow a change and a drain."""
    shards = SHARDS if world.shard_sets[-1] != set(SHARDS) else NEXT_SHARDS
    world.configure(shards)
    leaving = next(
        leaf
        for leaf in world.leafs.values()
        if leaf.service in shards and leaf.draining_since_ms is None
    )
    world.drain(leaving)
    await world.sleep(CONFIGURE_S)
    for process in gateways:
        attempt, data = world.request("all")
        done: defer.Deferred[Any] = defer.Deferred()
        HttpClient(reactor, world.clock, process.front).send(
            data, 2_000.0, done.callback
        )
        response = await done
        if isinstance(response, str) or response.status != 200:
            text = response if isinstance(response, str) else response.status
            world.record.breach("recovers", f"{process.vm}: {text}")
            continue
        services = {
            promises.service_of(leaf) for leaf in documents.part_leafs(response)
        }
        if not services <= set(shards):
            world.record.breach(
                "configuration in force", f"{process.vm}: {services}"
            )
    await world.sleep(max(0.0, DRAIN_S - CONFIGURE_S))


async def run_seed(
    seed: int, faulty_s: float, folder: pathlib.Path
) -> promises.Record:
    """Run one seed; return what was seen."""
    chance = random.Random(seed)
    world = World(reactor, chance)
    hosts = [gateway_module.host_of(number) for number in range(GATEWAYS)]
    # The internal port is the same on all VMs.
    (inside,) = gateway_module.free_ports("0.0.0.0", 1)
    gateways = [
        GatewayProcess(
            reactor,
            number,
            DATA_CENTRES[number % 2],
            world.store_address,
            folder,
            hosts[:3],
            inside,
        )
        for number in range(GATEWAYS)
    ]
    for process in gateways:
        # Also when the soak itself is stopped: it ends what it started.
        reactor.addSystemEventTrigger("before", "shutdown", process.close)
        process.start()
        process.watch()
    await world.sleep(START_S)
    callers = [
        defer.ensureDeferred(caller(world, gateways)) for _ in range(CALLERS)
    ]
    focus = random.Random(f"focus {seed}")
    Faults(world, gateways, chance, focus).draw(faulty_s, FAULTS)
    await world.sleep(faulty_s + SETTLE_S)
    await check_recovered(world, gateways)
    world.stopped = True
    await defer.DeferredList(callers)
    world.close()
    for process in gateways:
        process.close()
    await world.sleep(0.1)
    return world.record


def seeds_of(text: str) -> list[int]:
    """Read seeds such as `3,7,10-20`."""
    seeds: list[int] = []
    for part in text.split(","):
        first, dash, last = part.partition("-")
        seeds += range(int(first), int(last if dash else first) + 1)
    return seeds


def regressions() -> list[int]:
    """Return the seeds that ever failed."""
    lines = REGRESSIONS.read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line[:1].isdigit()]


async def run_all(arguments: argparse.Namespace) -> int:
    """Run all seeds; return the exit status."""
    broken = 0
    totals: collections.Counter[str] = collections.Counter()
    seeds = seeds_of(arguments.seeds)
    if arguments.regressions:
        seeds = [*regressions(), *seeds]
    for seed in seeds:
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(arguments.keep or name) / f"seed-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
            record = await run_seed(seed, arguments.seconds, folder)
        totals += record.counts
        broken += bool(record.broken)
        print(f"seed {seed}: {len(record.broken)} broken", flush=True)
        for promise, detail in record.broken[:10]:
            print(f"  {promise}: {detail}", flush=True)
    for name, count in sorted(totals.items()):
        print(f"{name}: {count}")
    print(f"{broken} of {len(seeds)} seeds broke a promise")
    return 1 if broken else 0


def main() -> int:
    """Read the arguments and run; return the exit status."""
    parser = argparse.ArgumentParser(prog="python -m tools.soak")
    parser.add_argument("--seeds", default="1-3", help="such as 3,7,10-20")
    parser.add_argument(
        "--seconds", type=float, default=6.0, help="time with faults, each seed"
    )
    parser.add_argument(
        "--regressions",
        action="store_true",
        help="run the seeds that ever failed first",
    )
    parser.add_argument("--keep", help="folder that keeps settings and logs")
    statuses: list[int] = []
    running = defer.ensureDeferred(run_all(parser.parse_args()))

    def ended(outcome: Any) -> None:
        if isinstance(outcome, int):
            statuses.append(outcome)
        else:
            outcome.printTraceback()
            statuses.append(2)
        reactor.stop()

    reactor.callWhenRunning(lambda: running.addBoth(ended))
    reactor.run()
    # Without one the soak was stopped.
    return statuses[0] if statuses else 2


if __name__ == "__main__":
    sys.exit(main())
