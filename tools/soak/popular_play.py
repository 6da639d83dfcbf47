"""Fail the leafs of popular requests: `python -m tools.soak.popular_play`.

Callers ask for a few popular paths in nine of ten requests, none of which
crashes a leaf. All leafs of their service go down for some seconds, and
meanwhile the gateways, started as processes, are killed or restarted. The exit
status is 1 if too few requests are served some time after all are back.
"""

import argparse
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import random
import signal
import sys
import tempfile

import attrs
from tests.platform import stand_in_documents as documents
from tools.soak import frame
from tools.soak import gateways as gateway_module
from tools.soak.environment import SHARDS
from tools.soak.environment import SoakEnvironment
from tools.soak.environment import SoakLeaf
from tools.soak.gateways import GatewayProcess
from tools.soak.proxy import LinkMode
from tools.soak.run_main import run_until_done
from twisted.internet import defer

from oriolegate import system_reactor
from oriolegate.network.http_connection import Answered
from oriolegate.network.http_connection import HttpCall
from oriolegate.network.http_pool import HttpPool

reactor = system_reactor.get_reactor()

GATEWAY_COUNT = 4
SERVICE = SHARDS[0]
RATE_PER_S = 120.0
POPULAR_FRACTION = 0.9
DEADLINE_MS = 2_000
MAX_ATTEMPTS = 2
# Callers honour a Retry-After up to this fraction of the time that they have.
RETRY_AFTER_FRACTION = 1.0 / 3.0
START_S = 2.0
CALM_S = 4.0
LEAFS_DOWN_S = 4.4
ENTRY_REMOVED_S = 3.6
RESTART_AFTER_S = 3.8
BETWEEN_KILLS_S = 0.8
# Users expect service again so long after all machines are back.
RECOVER_S = 12.0
JUDGED_S = 4.0
MIN_SERVED_AGAIN = 0.9


@attrs.define
class SentRequest:
    """A request of a caller, with all its attempts."""

    sent_ms: float
    is_served: bool = False


@attrs.define(eq=False)
class PopularPlay:
    """One play.

    Attributes:
        environment: Store and leafs.
        gateways: Gateway processes.
        rng: Draws paths, gateways and pauses.
        paths: The popular paths.
        is_silent: Whether leafs that go down leave their connections open.
        requests: All requests so far.
    """

    environment: SoakEnvironment
    gateways: list[GatewayProcess]
    rng: random.Random
    paths: list[str]
    is_silent: bool
    requests: list[SentRequest] = attrs.field(factory=list)
    pools: dict[str, HttpPool] = attrs.field(factory=dict)

    async def send_requests(self) -> None:
        """Send requests until the play ends."""
        while not self.environment.stopped:
            path = f"/one/{self.rng.getrandbits(40)}"
            if self.rng.random() < POPULAR_FRACTION:
                path = self.rng.choice(self.paths)
            defer.ensureDeferred(self._request(path))
            await self.environment.sleep(self.rng.expovariate(RATE_PER_S))

    async def _request(self, path: str) -> None:
        sent = SentRequest(self.environment.clock.now_ms())
        self.requests.append(sent)
        due_ms = sent.sent_ms + DEADLINE_MS
        for _ in range(MAX_ATTEMPTS):
            left_ms = due_ms - self.environment.clock.now_ms()
            if left_ms <= 0.0:
                return
            retry_after_ms = await self._attempt(sent, path, left_ms)
            if sent.is_served:
                return
            left_ms = due_ms - self.environment.clock.now_ms()
            wait_ms = min(retry_after_ms, left_ms * RETRY_AFTER_FRACTION)
            await self.environment.sleep(max(0.0, wait_ms) / 1_000)

    async def _attempt(
        self, sent: SentRequest, path: str, left_ms: float
    ) -> float:
        """Make one attempt; return the Retry-After in ms."""
        process = self.rng.choice(self.gateways)
        pool = self.pools.setdefault(
            process.vm,
            HttpPool(reactor, self.environment.clock, process.caller_address),
        )
        self.environment.attempt_count += 1
        attempt = f"p{self.environment.attempt_count}"
        done: defer.Deferred[object] = defer.Deferred()
        call = HttpCall(
            documents.caller_request("GET", path, attempt, int(left_ms)),
            done.callback,
            accepts=lambda response: True,
        )
        timeout = reactor.callLater(left_ms / 1_000, done.callback, None)
        pool.send(call)
        result = await done
        if timeout.active():
            timeout.cancel()
        else:
            pool.cancel(call)
        if not isinstance(result, Answered):
            return 0.0
        sent.is_served = result.response.status == 200
        return 1_000 * float(result.response.header(b"retry-after") or 0.0)

    def share_served(self, from_ms: float, to_ms: float) -> float:
        """Return which share of the requests of a time was served."""
        served = [
            sent.is_served
            for sent in self.requests
            if from_ms <= sent.sent_ms < to_ms
        ]
        return sum(served) / len(served) if served else 0.0

    # Leafs

    async def fail_leafs(self) -> None:
        """Let all leafs of the service be down for some seconds."""
        leafs = self.environment.leafs
        failed = [leaf for leaf in leafs.values() if leaf.service == SERVICE]
        for soak_leaf in failed:
            self._fail(soak_leaf)
        await self.environment.sleep(LEAFS_DOWN_S)
        for soak_leaf in failed:
            self.environment.add_leaf(SERVICE, soak_leaf.data_centre)

    def _fail(self, soak_leaf: SoakLeaf) -> None:
        name = soak_leaf.leaf.leaf_id
        del self.environment.leafs[name]
        if self.is_silent:
            soak_leaf.link.mode = LinkMode.SILENT
            soak_leaf.link.port.stopListening()
        else:
            soak_leaf.port.stopListening()
            soak_leaf.link.close()
        reactor.callLater(
            ENTRY_REMOVED_S, self.environment.store.delete, "servers", name
        )


Disturb = Callable[[PopularPlay], Awaitable[None]]


async def kill_all(play: PopularPlay) -> None:
    """Kill all gateways at once; each is started again."""
    for process in play.gateways:
        process.signal(signal.SIGKILL)
    await play.environment.sleep(gateway_module.RESTART_DELAY_S)


async def kill_in_turn(play: PopularPlay) -> None:
    """Kill one gateway after the other."""
    for process in play.gateways:
        process.signal(signal.SIGKILL)
        await play.environment.sleep(BETWEEN_KILLS_S)


async def restart_in_turn(play: PopularPlay) -> None:
    """Stop one gateway after the other, as planned."""
    for process in play.gateways:
        process.signal(signal.SIGTERM)
        await play.environment.sleep(
            gateway_module.GRACE_S + gateway_module.RESTART_DELAY_S
        )


async def keep_running(play: PopularPlay) -> None:
    """Disturb no gateway."""


# Name of the play: what happens to gateways, how many paths are popular and
# whether leafs go down silently.
PLAYS: dict[str, tuple[Disturb, int, bool]] = {
    "kill-all": (kill_all, 2, True),
    "kill-in-turn": (kill_in_turn, 2, True),
    "restart-in-turn": (restart_in_turn, 2, True),
    "one-path": (kill_all, 1, True),
    "four-paths": (kill_all, 4, True),
    "reset": (kill_all, 2, False),
    "leafs-alone": (keep_running, 2, True),
}


async def run_play(
    name: str, seed: int, folder: pathlib.Path, arguments: argparse.Namespace
) -> tuple[float, float]:
    """Run one play; return the shares served before and after."""
    disturb, path_count, is_silent = PLAYS[name]
    environment = SoakEnvironment(reactor, random.Random(seed))
    first = arguments.first_vm
    numbers = range(first, first + GATEWAY_COUNT)
    play = PopularPlay(
        environment,
        frame.start_gateways(environment, folder, numbers, arguments.source),
        random.Random(seed),
        [f"/one/popular-{number}" for number in range(path_count)],
        is_silent,
    )
    now_ms = environment.clock.now_ms
    await environment.sleep(START_S)
    sending = defer.ensureDeferred(play.send_requests())
    started_ms = now_ms()
    await environment.sleep(CALM_S)
    failed_ms = now_ms()
    failing = defer.ensureDeferred(play.fail_leafs())
    await environment.sleep(RESTART_AFTER_S)
    await disturb(play)
    await failing
    await environment.sleep(RECOVER_S)
    recovered_ms = now_ms()
    await environment.sleep(JUDGED_S + DEADLINE_MS / 1_000)
    environment.stopped = True
    await sending
    for pool in play.pools.values():
        pool.close()
    environment.close()
    for process in play.gateways:
        process.close()
    return (
        play.share_served(started_ms, failed_ms),
        play.share_served(recovered_ms, recovered_ms + 1_000 * JUDGED_S),
    )


async def run_all(arguments: argparse.Namespace) -> int:
    """Run the plays; return the exit status."""
    names = arguments.plays.split(",") if arguments.plays else list(PLAYS)
    broken = 0
    for name in names:
        for seed in range(1, arguments.seeds + 1):
            with tempfile.TemporaryDirectory() as temporary:
                folder = pathlib.Path(arguments.keep or temporary)
                folder = folder / f"{name}-{seed}"
                folder.mkdir(parents=True, exist_ok=True)
                before, after = await run_play(name, seed, folder, arguments)
            is_broken = after < MIN_SERVED_AGAIN * before
            broken += is_broken
            verdict = "BROKEN" if is_broken else "kept"
            print(
                f"{name} {seed}: {verdict}, served {before:.3f} before and"
                f" {after:.3f} after",
                flush=True,
            )
    print(f"{broken} plays served too few afterwards")
    return 1 if broken else 0


def main() -> int:
    """Parse the arguments and run the plays; return the exit status."""
    parser = argparse.ArgumentParser(prog="python -m tools.soak.popular_play")
    parser.add_argument("--plays", help="such as reset; default: all")
    parser.add_argument("--seeds", type=int, default=1, help="seeds, each play")
    parser.add_argument("--first-vm", type=int, default=160)
    parser.add_argument("--keep", help="folder in which logs are kept")
    parser.add_argument(
        "--source",
        type=pathlib.Path,
        default=gateway_module.ROOT / "src",
        help="folder of the package, such as that of an earlier version",
    )
    options = parser.parse_args()
    return run_until_done(lambda: run_all(options))


if __name__ == "__main__":
    sys.exit(main())
