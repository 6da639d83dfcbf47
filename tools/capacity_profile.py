"""Profile of the processor time of a sub-request, by module."""

import cProfile
import pathlib
import pstats
from typing import Any

from twisted.internet import defer
from twisted.internet import task

from oriolegate.measurement import cost
from oriolegate.measurement.canned_leafs import CannedLeafs
from oriolegate.models.request import CallerRequest
from oriolegate.network import caller_wire

SHARDS = 130
QUERIES = 60
ROWS = 24


async def _run(tier: Any, queries: int) -> None:
    for _ in range(queries):
        request = CallerRequest(
            tier.flow.fresh_request_id(), "caller", "cost", b""
        )
        caller_wire.response(await tier.flow.handle(request))


async def _profile(reactor: Any) -> None:
    leafs = CannedLeafs(SHARDS)
    leafs.start()
    tier = cost.build_tier(reactor, leafs.ports)
    await _run(tier, cost.WARM_UP_QUERIES)
    profile = cProfile.Profile()
    profile.enable()
    await _run(tier, QUERIES)
    profile.disable()
    for pool in tier.client.pools.values():
        pool.close()
    leafs.stop()
    print_modules(pstats.Stats(profile))


def module_of(path: str) -> str:
    """Return the dotted name of the module at a path."""
    parts = pathlib.Path(path).with_suffix("").parts
    for root in ("src", "site-packages"):
        if root in parts:
            return ".".join(parts[parts.index(root) + 1 :])
    return "builtins" if path == "~" else parts[-1]


def print_modules(stats: Any) -> None:
    """Print the time spent in each module, without waits for sockets."""
    totals: dict[str, float] = {}
    for (path, _, function), row in stats.stats.items():
        # Time in these functions is spent waiting.
        if "poll" in function and path == "~":
            continue
        name = module_of(path)
        if name == "builtins":
            name = f"builtin {function}"
        totals[name] = totals.get(name, 0.0) + row[2]
    total_s = sum(totals.values())
    rows = sorted(totals.items(), key=lambda row: -row[1])
    for name, used_s in rows[:ROWS]:
        time_us = used_s * 1e6 / (QUERIES * SHARDS)
        print(f"{100 * used_s / total_s:5.1f}% {time_us:7.1f} us  {name}")


def measure() -> None:
    """Print the profile of the query path."""

    def run(reactor: Any) -> Any:
        return defer.Deferred.fromCoroutine(_profile(reactor))

    try:
        task.react(run)
    except SystemExit as error:
        if error.code:
            raise
