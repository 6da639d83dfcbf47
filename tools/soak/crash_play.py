"""Send a request that crashes leafs: `python -m tools.soak.crash_play`.

Each play starts gateways as processes and sends one crashing request again and
again to any of them, beside harmless ones, while something is disturbed. The
exit status is 1 if the request reached leafs in more retries than may be.
"""

import argparse
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import random
import sys
import tempfile
from typing import Any

import attrs
from tests.platform import stand_in_documents as documents
from tests.platform.stand_in_leaf import LeafFactory
from tests.platform.stand_in_leaf import LeafRequest
from tools.soak import frame
from tools.soak.crash_judge import Arrival
from tools.soak.crash_judge import CrashJudge
from tools.soak.crash_judge import Disturbance
from tools.soak.environment import DATA_CENTRES
from tools.soak.environment import SHARDS
from tools.soak.environment import SoakEnvironment
from tools.soak.environment import SoakLeaf
from tools.soak.gateways import GatewayProcess
from tools.soak.gateways import ROOT
from tools.soak.proxy import LinkMode
from tools.soak.run_main import run_until_done
from twisted.internet import defer

from oriolegate import system_reactor
from oriolegate.network.http_connection import Answered
from oriolegate.network.http_connection import HttpCall
from oriolegate.network.http_pool import HttpPool

reactor = system_reactor.get_reactor()

GATEWAY_COUNT = 6
CALLER_COUNT = 6
MORE_LEAFS = 2
START_S = 2.0
DOWN_S = 2.0
ENTRY_REMOVED_S = 3.6
SAME_ID_DOWN_S = 0.05
# Age of the copy that the store comes back from, and how long it is away.
COPY_AGE_S = 5.0
AWAY_S = 0.8
REWRITE_S = 1.0
STATUS_REFUSED = 503


@attrs.define(eq=False)
class CrashPlay:
    """One play of a crashing request.

    Attributes:
        environment: Store, leafs and harmless callers.
        gateways: Gateway processes.
        judge: Records where the crashing request goes.
        rng: Draws gateways.
        path: Path of the crashing request.
        gap_s: Time between two of its attempts.
        error_fraction: How often a leaf answers it with 500 and lives on.
        keeps_id: Whether a crashed leaf comes back at once under its id.
        is_silent: Whether a crashed leaf's connections stay open.
        patience_ms: How long its caller waits.
        crash_after_s: How long a leaf runs it before the crash.
        attempt_vms: Gateway that each attempt was sent to.
        events: What happened, with the time since the first crash.
    """

    environment: SoakEnvironment
    gateways: list[GatewayProcess]
    judge: CrashJudge
    rng: random.Random
    path: str = "/one/crash"
    gap_s: float = 0.4
    error_fraction: float = 0.0
    keeps_id: bool = False
    is_silent: bool = False
    patience_ms: float = 1_700.0
    crash_after_s: float = 0.015
    attempt_vms: dict[str, str] = attrs.field(factory=dict)
    events: list[str] = attrs.field(factory=list)

    def now_ms(self) -> float:
        """Return the time of the play."""
        return self.environment.clock.now_ms()

    def note(self, text: str) -> None:
        """Add an event."""
        first_ms = next(iter(self.judge.crashes_ms), self.now_ms())
        self.events.append(f"{(self.now_ms() - first_ms) / 1_000:+7.2f} {text}")

    def disturb(self, seconds: float, vm: str = "") -> None:
        """Record a disturbance that begins now."""
        now_ms = self.now_ms()
        self.judge.disturbances.append(
            Disturbance(now_ms, now_ms + seconds * 1_000, vm)
        )

    async def wait_for_crashes(self, count: int) -> None:
        """Wait until leafs have crashed that often."""
        while len(self.judge.crashes_ms) < count:
            await self.environment.sleep(0.02)

    # Leafs

    def take_over(self, soak_leaf: SoakLeaf) -> None:
        """Make a leaf crash under the crashing request."""
        run = soak_leaf.leaf.behave

        def behave(request: LeafRequest) -> None:
            if request.path.decode() == self.path:
                self._run_crashing(soak_leaf, request)
            else:
                run(request)

        soak_leaf.leaf.behave = behave

    def _run_crashing(self, soak_leaf: SoakLeaf, request: LeafRequest) -> None:
        attempt = request.attempt_id.decode()
        vm = self.attempt_vms[attempt]
        self.judge.arrivals.append(Arrival(self.now_ms(), attempt, vm))
        if self.rng.random() < self.error_fraction:
            request.answer(b"", 500)
            return
        reactor.callLater(
            self.crash_after_s, self._crash, soak_leaf, attempt, vm
        )

    def _crash(self, soak_leaf: SoakLeaf, attempt: str, vm: str) -> None:
        leafs = self.environment.leafs
        name = soak_leaf.leaf.leaf_id
        if leafs.pop(name, None) is None:
            return
        self.judge.crashes_ms.append(self.now_ms())
        self.note(f"{name} crashes under {attempt} by {vm}")
        port_number = soak_leaf.port.getHost().port
        soak_leaf.port.stopListening()
        if self.is_silent:
            soak_leaf.link.mode = LinkMode.SILENT
            soak_leaf.link.port.stopListening()
        else:
            soak_leaf.link.close()
            soak_leaf.leaf.crash()
        if self.keeps_id:
            reactor.callLater(
                SAME_ID_DOWN_S, self._start_again, soak_leaf, port_number
            )
            return
        reactor.callLater(ENTRY_REMOVED_S, self._remove_entry, name)
        reactor.callLater(DOWN_S, self._replace, soak_leaf)

    def _remove_entry(self, name: str) -> None:
        if name in self.environment.store.objects["servers"]:
            self.environment.store.delete("servers", name)

    def _replace(self, soak_leaf: SoakLeaf) -> None:
        if not self.environment.stopped:
            self.add_leaf(soak_leaf.service, soak_leaf.data_centre)

    def add_leaf(self, service: str, data_centre: str) -> None:
        """Start a leaf that the crashing request crashes."""
        self.take_over(self.environment.add_leaf(service, data_centre))

    def _start_again(self, soak_leaf: SoakLeaf, port_number: int) -> None:
        """Start a leaf under its id and address."""
        if self.environment.stopped:
            return
        soak_leaf.born_ms = self.environment.clock.wall_ms()
        soak_leaf.port = reactor.listenTCP(
            port_number, LeafFactory(soak_leaf.leaf), interface="127.0.0.1"
        )
        soak_leaf.link.reopen()
        self.environment.leafs[soak_leaf.leaf.leaf_id] = soak_leaf
        self.environment.write_entry(soak_leaf)

    # The caller

    async def run_crashing_caller(self) -> None:
        """Send the crashing request until the run ends."""
        environment = self.environment
        while not environment.stopped:
            process = self.rng.choice(self.gateways)
            environment.attempt_count += 1
            attempt = f"x{environment.attempt_count}"
            self.attempt_vms[attempt] = process.vm
            status = await self._send(process, attempt)
            has_run = any(a.attempt == attempt for a in self.judge.arrivals)
            if status == STATUS_REFUSED and not has_run:
                self.judge.refused.append((self.now_ms(), process.vm))
            await environment.sleep(self.gap_s)

    async def _send(self, process: GatewayProcess, attempt: str) -> int:
        method = "POST" if self.path.startswith("/once") else "GET"
        data = documents.caller_request(method, self.path, attempt, 1_500)
        pool = HttpPool(reactor, self.environment.clock, process.caller_address)
        done: defer.Deferred[Any] = defer.Deferred()
        call = HttpCall(data, done.callback, accepts=lambda response: True)
        pool.send(call)
        timer = reactor.callLater(self.patience_ms / 1_000, done.callback, None)
        result = await done
        if timer.active():
            timer.cancel()
        if result is None:
            pool.cancel(call)
        pool.close()
        return result.response.status if isinstance(result, Answered) else 0

    # Disturbances

    async def restore_store(self) -> None:
        """Bring the store back from a copy that is some seconds old."""
        now_ms = self.now_ms()
        away_ms = now_ms + COPY_AGE_S * 1_000
        self.judge.disturbances.append(
            Disturbance(away_ms, away_ms + AWAY_S * 1_000)
        )
        await self.environment.restore_store(COPY_AGE_S, AWAY_S, REWRITE_S)
        self.note(f"store restored, era {self.environment.store.era}")

    async def set_links(
        self, gateways: list[GatewayProcess], mode: LinkMode, seconds: float
    ) -> None:
        """Disturb the links of gateways to the store."""
        for process in gateways:
            self.disturb(seconds, process.vm)
            process.store_link.set_mode(mode)
        self.note(f"links of {len(gateways)} gateways: {mode.value}")
        await self.environment.sleep(seconds)
        for process in gateways:
            process.store_link.set_mode(LinkMode.PASS)
        self.note("links pass")


Disturb = Callable[[CrashPlay], Awaitable[None]]


async def calm(play: CrashPlay) -> None:
    """Disturb nothing."""
    play.environment.store.era = 1


async def without_eras(play: CrashPlay) -> None:
    """Disturb nothing, with a store that sends no era."""
    play.environment.store.era = None


async def store_restored(play: CrashPlay) -> None:
    """Restore the store again and again from copies without the reports."""
    play.environment.store.era = 1
    for _ in range(4):
        await play.restore_store()
        await play.environment.sleep(6.0)


async def store_refuses(play: CrashPlay) -> None:
    """Let the store refuse all calls from the first crash on."""
    await play.wait_for_crashes(1)
    play.environment.store.refuse = 503
    play.disturb(9.0)
    play.note("store refuses")
    await play.environment.sleep(9.0)
    play.environment.store.refuse = None
    play.note("store serves")


async def store_silent(play: CrashPlay) -> None:
    """Let no call reach the store from the first crash on."""
    await play.wait_for_crashes(1)
    await play.set_links(play.gateways, LinkMode.SILENT, 9.0)


async def one_cut_off(play: CrashPlay) -> None:
    """Cut gateways off that were sent the first crashing requests."""
    await play.set_links(play.gateways[:3], LinkMode.SILENT, 9.0)


async def watches_dead(play: CrashPlay) -> None:
    """Lose the answers of the store for half a second at the first crash."""
    await play.wait_for_crashes(1)
    await play.set_links(play.gateways, LinkMode.CUT_TO_CLIENT, 0.5)


async def errors(play: CrashPlay) -> None:
    """Let leafs fail some of the requests, the crashing one included."""
    play.error_fraction = 0.4


async def many_shards(play: CrashPlay) -> None:
    """Crash a leaf of each shard."""
    play.path = "/all/crash"


async def same_id(play: CrashPlay) -> None:
    """Let crashed leafs come back at once under their ids."""
    play.keeps_id = True


async def impatient(play: CrashPlay) -> None:
    """Let the caller leave before the leaf crashes."""
    play.patience_ms = 60.0
    play.crash_after_s = 0.1


async def silent(play: CrashPlay) -> None:
    """Let leafs crash without a reset, as behind a one-way cut."""
    play.is_silent = True


async def slow_crash(play: CrashPlay) -> None:
    """Let leafs crash after the request was sent to a second one."""
    play.crash_after_s = 0.4


async def seldom(play: CrashPlay) -> None:
    """Send the request only now and then."""
    play.gap_s = 16.0


PLAYS: dict[str, tuple[Disturb, float]] = {
    "calm": (calm, 15.0),
    "without-eras": (without_eras, 15.0),
    "store-restored": (store_restored, 50.0),
    "store-refuses": (store_refuses, 28.0),
    "store-silent": (store_silent, 28.0),
    "one-cut-off": (one_cut_off, 28.0),
    "watches-dead": (watches_dead, 20.0),
    "errors": (errors, 25.0),
    "many-shards": (many_shards, 20.0),
    "same-id": (same_id, 20.0),
    "impatient": (impatient, 20.0),
    "silent": (silent, 25.0),
    "slow-crash": (slow_crash, 20.0),
    "seldom": (seldom, 110.0),
}


async def run_play(
    name: str, seed: int, arguments: argparse.Namespace, folder: pathlib.Path
) -> CrashPlay:
    """Run one play; return it with its judge."""
    disturb, seconds = PLAYS[name]
    seconds = arguments.seconds or seconds
    environment = SoakEnvironment(reactor, random.Random(seed))
    first = arguments.first_vm
    numbers = range(first, first + GATEWAY_COUNT)
    gateways = frame.start_gateways(
        environment,
        folder,
        numbers,
        arguments.source,
        odd_source=arguments.mixed,
    )
    play = CrashPlay(environment, gateways, CrashJudge(), random.Random(seed))
    play.gap_s = arguments.gap or play.gap_s
    if arguments.once:
        play.path = "/once/crash"
    for soak_leaf in environment.leafs.values():
        play.take_over(soak_leaf)
    for data_centre in DATA_CENTRES[:MORE_LEAFS]:
        play.add_leaf(SHARDS[0], data_centre)
    await environment.sleep(START_S)
    callers = [
        defer.ensureDeferred(run_harmless_caller(environment, gateways))
        for _ in range(CALLER_COUNT)
    ]
    disturbing = defer.ensureDeferred(disturb(play))
    await environment.sleep(0.2)
    callers.append(defer.ensureDeferred(play.run_crashing_caller()))
    await environment.sleep(seconds)
    environment.stopped = True
    disturbing.cancel()
    disturbing.addErrback(lambda _: None)
    await defer.DeferredList(callers)
    environment.close()
    for process in gateways:
        process.close()
    return play


async def run_harmless_caller(
    environment: SoakEnvironment, gateways: list[GatewayProcess]
) -> None:
    """Send harmless requests over persistent connections."""
    pools = {
        process.vm: HttpPool(reactor, environment.clock, process.caller_address)
        for process in gateways
    }
    while not environment.stopped:
        process = environment.rng.choice(gateways)
        await environment.call_gateway(process, pools[process.vm])
        await environment.sleep(environment.rng.uniform(0.02, 0.1))
    for pool in pools.values():
        pool.close()


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
                play = await run_play(name, seed, arguments, folder)
            broken += play.judge.is_broken
            verdict = "BROKEN" if play.judge.is_broken else "kept"
            print(f"{name} {seed}: {verdict}, {play.judge.summary()}")
            if arguments.events:
                print("\n".join(f"  {event}" for event in play.events))
            sys.stdout.flush()
    print(f"{broken} plays broke the bound")
    return 1 if broken else 0


def main() -> int:
    """Parse the arguments and run the plays; return the exit status."""
    parser = argparse.ArgumentParser(prog="python -m tools.soak.crash_play")
    parser.add_argument("--plays", help="such as calm,errors; default: all")
    parser.add_argument("--seeds", type=int, default=1, help="seeds, each play")
    parser.add_argument("--first-vm", type=int, default=60)
    parser.add_argument("--seconds", type=float, help="length of each play")
    parser.add_argument("--gap", type=float, help="seconds between attempts")
    parser.add_argument(
        "--once", action="store_true", help="send it on a route run once"
    )
    parser.add_argument("--events", action="store_true", help="print events")
    parser.add_argument("--keep", help="folder in which logs are kept")
    parser.add_argument(
        "--source",
        type=pathlib.Path,
        default=ROOT / "src",
        help="folder of the package, such as that of an earlier version",
    )
    parser.add_argument(
        "--mixed",
        type=pathlib.Path,
        help="folder of the package for every other gateway",
    )
    options = parser.parse_args()
    return run_until_done(lambda: run_all(options))


if __name__ == "__main__":
    sys.exit(main())
