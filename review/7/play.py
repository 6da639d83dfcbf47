"""Case 7: popular requests stay refused after their leafs were dark."""

import asyncio
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))

import stage
from client import Client
from leafs import Leaf, configuration, route
from stage import Stage, host_for

REGIONS = {"scl-a": "santiago", "anf-a": "santiago", "ccp-a": "santiago"}
ZONES = list(REGIONS)
RATE_PER_S = 120.0
PATHS = [f"/receipts/today/{number}" for number in range(2)]
DARK_AT_S = 15.0
DARK_S = 4.4
KILL_AT_S = 18.8
DOWN_S = 0.6
RECOVER_S = 12.0
JUDGED_S = 12.0
DEADLINE_MS = 2000
# For comparison: the final fault alone.
ONLY_KILL = os.environ.get("TROUBLE") == "kill"


async def send_all(run: Stage, client: Client) -> None:
    """Send requests until the run ends: a few popular paths, by many callers."""
    while True:
        if client.rng.random() < 0.9:
            path = client.rng.choice(PATHS)
        else:
            path = f"/audit/{client.rng.getrandbits(40)}"
        run.spawn(client.get(path, DEADLINE_MS))
        await asyncio.sleep(client.rng.expovariate(RATE_PER_S))


def share(client: Client, from_s: float, to_s: float) -> tuple[float, int]:
    """Return which share of the requests of a time was served."""
    served = [e[2] for e in client.requests if from_s <= e[0] < to_s]
    return (sum(served) / len(served) if served else 0.0), len(served)


async def at(run: Stage, second: float, started: float) -> None:
    """Wait until a time after the start of traffic."""
    await asyncio.sleep(max(0.0, started + second - run.record.now()))


async def darken(
    run: Stage, leafs: list[Leaf], started: float, seed: int
) -> None:
    """Let all leafs of a service be down, silently, for some seconds."""
    await at(run, DARK_AT_S, started)
    run.record.add("dark", leafs=len(leafs))
    for leaf in leafs:
        await leaf.go_dark()
    # Three heartbeat intervals of silence.
    await asyncio.sleep(3.6)
    for leaf in leafs:
        run.store.delete("servers", leaf.leaf_id)
    await asyncio.sleep(DARK_S - 3.6)
    for number, leaf in enumerate(leafs):
        await leaf.come_back(f"i-n{number}{seed:06x}")
    run.record.add("back", leafs=len(leafs))


async def kill_all(run: Stage) -> None:
    """Kill all processes, and start them again."""
    run.record.add("kill-all")
    for gateway in run.gateways:
        gateway.signal(signal.SIGKILL)
        await gateway.process.wait()
    await asyncio.sleep(DOWN_S)
    for gateway in run.gateways:
        gateway.write_settings(bootstrap=False)
        await gateway.start()


async def play(folder: pathlib.Path, is_troubled: bool) -> int:
    """Play the case."""
    seed = int(os.environ.get("SEED", time.time_ns() % 1_000_000))
    run = Stage(folder, REGIONS)
    run.record.add("seed", seed=seed)
    try:
        await run.store.start(host_for(1))
        routes = [
            route("receipts", "receipt-service", "idempotent", timeout_ms=2000),
            route("audit", "audit-service", "idempotent", timeout_ms=2000),
        ]
        run.store.put(
            "config",
            "main",
            configuration(7, routes, {"receipt-service": 38, "audit-service": 38}),
        )
        leafs = [
            Leaf(
                run,
                f"i-{service[0]}{number}{seed:06x}",
                service,
                ZONES[number % 3],
                host_for(2 + number),
                slots=3,
                queue=12,
                max_connections=38,
                work_ms=60.0,
                seed=seed + number,
            )
            for service, count in (("receipt-service", 5), ("audit-service", 4))
            for number in range(count)
        ]
        for leaf in leafs:
            await leaf.start()
        receipts = leafs[:5]
        await run.start_gateways(ZONES)
        run.spawn(run.balance())
        await asyncio.sleep(1.0)
        client = Client(run, seed)
        started = run.record.now()
        run.spawn(send_all(run, client))
        if is_troubled and not ONLY_KILL:
            run.spawn(darken(run, receipts, started, seed))
        await at(run, KILL_AT_S, started)
        killed_s = run.record.now()
        if is_troubled or ONLY_KILL:
            await kill_all(run)
        back_s = run.record.now()
        run.record.add("machines-back")
        await asyncio.sleep(RECOVER_S + JUDGED_S)
        until_s = run.record.now()
        await asyncio.sleep(3.0)
        before, before_n = share(client, started, killed_s)
        after, after_n = share(client, back_s + RECOVER_S, until_s)
        summary = (
            f"before={before:.3f} of {before_n}; after={after:.3f} of {after_n}; "
            f"crash-reports={len(run.store.kinds.get('oriolegate-crashes', {}))}"
        )
        run.record.add("summary", text=summary.replace(" ", ","))
        print(summary)
        if before < 0.25:
            raise stage.CannotRunError("too little is served before the fault")
        if after < 0.25:
            run.record.add("BROKEN-RECOVER", served=f"{after:.3f}")
            return 1
        return 0
    finally:
        await run.close()


if __name__ == "__main__":
    # TROUBLE=0 leaves the disruption out.
    stage.run(__file__, play, is_troubled=os.environ.get("TROUBLE") != "0")
