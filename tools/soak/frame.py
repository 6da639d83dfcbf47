"""What plays with real gateways share: starting them, and playing seeds."""

import argparse
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
import pathlib
import tempfile
from typing import Any

from tools.soak import gateways as gateway_module
from tools.soak.environment import DATA_CENTRES
from tools.soak.environment import SoakEnvironment
from tools.soak.gateways import GatewayProcess

RunSeed = Callable[
    [int, argparse.Namespace, pathlib.Path], Coroutine[Any, Any, list[str]]
]


def start_gateways(
    environment: SoakEnvironment,
    folder: pathlib.Path,
    numbers: Sequence[int],
    source: pathlib.Path,
    *,
    odd_source: pathlib.Path | None = None,
    grace_s: float = gateway_module.GRACE_S,
) -> list[GatewayProcess]:
    """Start gateways that are started again when they end.

    Args:
        environment: Store and leafs of the gateways.
        folder: Folder of their settings and logs.
        numbers: Numbers of the gateways, which decide their addresses.
        source: Folder of the package to run.
        odd_source: Folder of the package for those with odd numbers, or None.
        grace_s: Time between SIGTERM and SIGKILL.
    """
    reactor = environment.reactor
    hosts = [gateway_module.host_for(number) for number in numbers]
    (internal_port,) = gateway_module.free_ports("0.0.0.0", 1)
    gateways = [
        GatewayProcess(
            reactor,
            number,
            DATA_CENTRES[number % len(DATA_CENTRES)],
            environment.store_address,
            folder,
            hosts[:3],
            internal_port,
            (odd_source if number % 2 else None) or source,
            grace_s=grace_s,
        )
        for number in numbers
    ]
    for process in gateways:
        reactor.addSystemEventTrigger("before", "shutdown", process.close)
        process.start()
        process.restart_when_ended()
    return gateways


async def run_seeds(
    options: argparse.Namespace, run_seed: RunSeed, rule: str
) -> int:
    """Play all seeds; return the exit status, 1 if any broke the rule."""
    broken_count = 0
    for seed in range(options.first_seed, options.first_seed + options.seeds):
        with tempfile.TemporaryDirectory() as temporary:
            folder = pathlib.Path(options.keep or temporary) / f"seed-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
            broken_count += bool(await run_seed(seed, options, folder))
    print(f"{broken_count} of {options.seeds} seeds broke {rule}")
    return 1 if broken_count else 0


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of all plays."""
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--vms", type=int, default=8)
    parser.add_argument("--seconds", type=float, default=50.0)
    parser.add_argument("--keep", help="folder in which logs are kept")
    parser.add_argument(
        "--source",
        type=pathlib.Path,
        default=gateway_module.ROOT / "src",
        help="folder of the package, such as that of an earlier version",
    )
