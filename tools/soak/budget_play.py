"""Play repeats at the size of a deployment: `python -m tools.soak.budget_play`.

Starts gateways as processes, as many as a deployment has machines, and leafs of
two sets of shards and of one service without shards. Leafs turn slow, reject,
hang, want quiet or crash; gateways are killed, stopped, frozen, or cut off from
all leafs. A judge counts all that leafs receive.
"""

import argparse
from collections.abc import Callable
from collections.abc import Sequence
import pathlib
import random
import signal
import sys
import tempfile
from typing import Any

import attrs
from tests.platform import stand_in_documents as documents
from tests.platform import stand_in_store
from tests.platform.stand_in_leaf import LeafFactory
from tests.platform.stand_in_leaf import LeafRequest
from tests.platform.stand_in_leaf import StandInLeaf
from tools.soak import gateways as gateway_module
from tools.soak.budget_judge import Arrival
from tools.soak.budget_judge import BudgetBounds
from tools.soak.budget_judge import BudgetJudge
from tools.soak.budget_judge import QuietTime
from tools.soak.budget_judge import SentRequest
from tools.soak.gateways import GatewayProcess
from tools.soak.run_main import run_until_done
from twisted.internet import task

from oriolegate import system_reactor
from oriolegate.clock import SystemClock
from oriolegate.network.http_connection import Answered
from oriolegate.network.http_connection import HttpCall
from oriolegate.network.http_pool import HttpPool

reactor = system_reactor.get_reactor()

HOST = "127.0.0.1"
DATA_CENTRES = ("dca", "dcb", "dcc")
SINGLE_SERVICE = "single"
COPIES = 3
# Objects in a page of the store, as on the platform.
PAGE_ITEMS = 500
QUIET_S = 3
CONNECTIONS = 77
START_S_PER_VM = 0.35
STORE_LISTED_S = 6.0
SPARE_S = 3.0
ANSWER_WAIT_MS = 300.0
# Arrivals are recorded so much too late at most, or the report says so.
LAG_INTERVAL_MS = 20.0
MAX_LAG_MS = 100.0
# Timers on time after which no request waits at the leafs any more.
CALM_TICKS = 10


@attrs.frozen
class RoutePlan:
    """A kind of request, as the users' sheet has it.

    Attributes:
        name: Name of the route.
        is_gathered: Whether all shards have to answer.
        coverage: Least fraction of the shards.
        per_s: Requests in a second, over all VMs.
        work_ms: Mean time of work at a leaf.
        target_ms: Target latency.
        timeout_ms: Timeout of the callers.
    """

    name: str
    is_gathered: bool
    coverage: float
    per_s: float
    work_ms: float
    target_ms: int
    timeout_ms: int


ROUTES = (
    RoutePlan("fill", True, 0.95, 28.2, 30.0, 286, 2_526),
    RoutePlan("peek", True, 0.85, 9.4, 10.1, 163, 1_518),
    RoutePlan("pull", False, 0.0, 9.4, 171.0, 840, 8_052),
)
ATTEMPTS = 2


@attrs.define(eq=False)
class PlayLeaf:
    """A leaf with its state.

    Attributes:
        leaf: The stand-in.
        service: Its service.
        slow_factor: By which its work takes longer.
        mode: What becomes of requests: work, reject, quiet, hang or down.
    """

    leaf: StandInLeaf
    service: str
    slow_factor: float = 1.0
    mode: str = "work"


@attrs.define(eq=False)
class BudgetPlay:
    """One play with its site and its judge.

    All times in ms are of the process's clock; `started_ms` is the start of the
    callers' requests.

    Attributes:
        rng: Draws callers and work.
        fault_rng: Draws faults, so that they follow from the seed alone.
        judge: Records what is seen.
        shards: Services that answer a gather.
        gateways: The VMs by their address.
        leafs: All leafs by id.
        cut_hosts: Addresses of VMs that are cut off from all leafs, with
            whether their connections are reset.
        events: What happened, for the report.
        statuses: Number of answers by status.
        lags_ms: When and by how much this process ran late.
        late_since_ms: Since when it runs late, or None; requests may have
            waited at the leafs since.
        calm_ticks: Timers in a row that were handled on time.
    """

    rng: random.Random
    fault_rng: random.Random
    judge: BudgetJudge
    clock: SystemClock
    shards: tuple[str, ...]
    gateways: dict[str, GatewayProcess] = attrs.field(factory=dict)
    leafs: dict[str, PlayLeaf] = attrs.field(factory=dict)
    cut_hosts: dict[str, bool] = attrs.field(factory=dict)
    events: list[str] = attrs.field(factory=list)
    statuses: dict[str, int] = attrs.field(factory=dict)
    lags_ms: list[tuple[float, float]] = attrs.field(factory=list)
    late_since_ms: float | None = None
    calm_ticks: int = 0
    started_ms: float = 0.0
    sent_count: int = 0
    is_over: bool = False

    def watch_lag(self) -> None:
        """Record when this process, which has all leafs, runs late."""
        due_ms = self.clock.now_ms() + LAG_INTERVAL_MS

        def check() -> None:
            lag_ms = self.clock.now_ms() - due_ms
            self._record_lag(due_ms, lag_ms)
            if lag_ms > MAX_LAG_MS:
                self.lags_ms.append((due_ms - self.started_ms, lag_ms))
            if not self.is_over:
                self.watch_lag()

        reactor.callLater(LAG_INTERVAL_MS / 1_000.0, check)

    def _record_lag(self, due_ms: float, lag_ms: float) -> None:
        self.calm_ticks = 0 if lag_ms > LAG_INTERVAL_MS else self.calm_ticks + 1
        if lag_ms > LAG_INTERVAL_MS and self.late_since_ms is None:
            self.late_since_ms = due_ms - LAG_INTERVAL_MS
        elif self.calm_ticks >= CALM_TICKS:
            self.late_since_ms = None

    def _waited_ms(self, now_ms: float) -> float:
        if self.late_since_ms is None:
            return 0.0
        return now_ms - self.late_since_ms

    # Leafs

    def add_leaf(self, store: Any, service: str, number: int) -> None:
        """Start a leaf and write its entry."""
        leaf = StandInLeaf(f"{service}-{number}")
        play_leaf = PlayLeaf(leaf, service)
        leaf.behave = lambda request: self.receive(play_leaf, request)
        factory = LeafFactory(leaf)
        build = factory.buildProtocol
        factory.buildProtocol = lambda addr: (  # type: ignore[method-assign]
            None if self._is_refused(play_leaf, addr.host) else build(addr)
        )
        port = reactor.listenTCP(0, factory, interface=HOST, backlog=512)
        self.leafs[leaf.leaf_id] = play_leaf
        spec = documents.leaf_spec(
            service,
            (HOST, port.getHost().port),
            DATA_CENTRES[number % len(DATA_CENTRES)],
            born_ms=1,
        )
        store.put("servers", leaf.leaf_id, spec)

    def _is_refused(self, play_leaf: PlayLeaf, host: str) -> bool:
        return play_leaf.mode == "down" or self.cut_hosts.get(host, False)

    def receive(self, play_leaf: PlayLeaf, request: LeafRequest) -> None:
        """Run, reject or ignore a request."""
        host = request.connection.transport.getPeer().host
        if host in self.cut_hosts:
            return
        process = self.gateways[host]
        mode = play_leaf.mode
        leaf_id = play_leaf.leaf.leaf_id
        now_ms = self.clock.now_ms()
        attempt = request.attempt_id.decode()
        left = request.headers.get(b"deadline-ms")
        runs = mode in ("work", "hang")
        self.judge.arrivals.append(
            Arrival(
                now_ms,
                attempt,
                play_leaf.service,
                leaf_id,
                process.vm,
                None if left is None else float(left),
                runs,
                self._waited_ms(now_ms),
            )
        )
        if mode == "reject":
            request.answer(b"", 503, Server_Seal=None, Not_Executed="1")
        elif mode == "quiet":
            self._ask_for_quiet(process.vm, leaf_id, request)
        elif mode == "work":
            self._work(play_leaf, request)

    def _ask_for_quiet(
        self, vm: str, leaf_id: str, request: LeafRequest
    ) -> None:
        now_ms = self.clock.now_ms()
        until_ms = now_ms + 1_000.0 * QUIET_S
        self.judge.quiet_times.append(QuietTime(leaf_id, vm, now_ms, until_ms))
        request.answer(
            b"",
            503,
            Server_Seal=None,
            Not_Executed="1",
            Retry_After=str(QUIET_S),
        )

    def _work(self, play_leaf: PlayLeaf, request: LeafRequest) -> None:
        name = request.path.split(b"/")[1].decode()
        plan = next(plan for plan in ROUTES if plan.name == name)
        work_s = plan.work_ms / 1_000.0 * play_leaf.slow_factor
        work_s *= self.rng.uniform(0.7, 1.4)

        def finish() -> None:
            if request.connection in play_leaf.leaf.connections:
                request.answer(self.rng.randbytes(16))

        reactor.callLater(work_s, finish)

    # Callers

    def send_request(self, plan: RoutePlan, pools: dict[str, HttpPool]) -> None:
        """Send one request to a random VM."""
        process = self.rng.choice(list(self.gateways.values()))
        self.sent_count += 1
        attempt = f"a{self.sent_count}"
        services = self.shards if plan.is_gathered else (SINGLE_SERVICE,)
        self.judge.requests[attempt] = SentRequest(
            self.clock.now_ms(),
            services,
            ATTEMPTS,
            float(plan.timeout_ms),
        )

        def done(result: Any) -> None:
            timer.cancel()
            text = type(result).__name__
            if isinstance(result, Answered):
                text = str(result.response.status)
            self.statuses[text] = self.statuses.get(text, 0) + 1

        def leave() -> None:
            self.statuses["late"] = self.statuses.get("late", 0) + 1
            pools[process.vm].cancel(call)

        call = HttpCall(
            documents.caller_request(
                "GET", f"/{plan.name}/x", attempt, plan.timeout_ms
            ),
            done,
            accepts=lambda response: True,
        )
        timer = reactor.callLater(
            (plan.timeout_ms + ANSWER_WAIT_MS) / 1_000.0, leave
        )
        pools[process.vm].send(call)

    # Faults

    def _note(self, text: str) -> None:
        at_s = (self.clock.now_ms() - self.started_ms) / 1_000.0
        self.events.append(f"{at_s:6.2f} s {text}")

    def _pick_leafs(self, share: float) -> list[PlayLeaf]:
        leafs = list(self.leafs.values())
        return self.fault_rng.sample(leafs, max(1, round(share * len(leafs))))

    def _pick_vms(self, share: float) -> list[GatewayProcess]:
        vms = list(self.gateways.values())
        return self.fault_rng.sample(vms, max(1, round(share * len(vms))))

    def set_mode(self, mode: str, share: float, for_s: float) -> None:
        """Let some leafs treat requests in another way for a time."""
        leafs = self._pick_leafs(share)
        self._note(f"{len(leafs)} leafs: {mode} for {for_s:.1f} s")
        for play_leaf in leafs:
            play_leaf.mode = mode
            if mode == "down":
                self.judge.leaf_ends_ms[play_leaf.leaf.leaf_id].append(
                    self.clock.now_ms()
                )
                play_leaf.leaf.crash()
            reactor.callLater(for_s, setattr, play_leaf, "mode", "work")

    def slow_leafs(self, factor: float, share: float, for_s: float) -> None:
        """Let some leafs work slowly for a time."""
        leafs = self._pick_leafs(share)
        self._note(f"{len(leafs)} leafs: {factor:.0f} times slower, {for_s} s")
        for play_leaf in leafs:
            play_leaf.slow_factor = factor
            reactor.callLater(for_s, setattr, play_leaf, "slow_factor", 1.0)

    def cut_vms(self, share: float, for_s: float, *, resets: bool) -> None:
        """Cut some VMs off from all leafs for a time."""
        vms = self._pick_vms(share)
        self._note(f"{len(vms)} VMs: cut off, resets {resets}, {for_s:.1f} s")
        for process in vms:
            self.cut_hosts[process.host] = resets
            self.judge.vm_cuts_ms[process.vm].append(self.clock.now_ms())
            self._reset_connections(process.host)
            reactor.callLater(for_s, self._heal, process)

    def _reset_connections(self, host: str) -> None:
        if not self.cut_hosts.get(host):
            return
        for play_leaf in self.leafs.values():
            for connection in list(play_leaf.leaf.connections):
                if connection.transport.getPeer().host == host:
                    connection.transport.abortConnection()

    def _heal(self, process: GatewayProcess) -> None:
        # What the cut swallowed is lost with its connection.
        self.cut_hosts[process.host] = True
        self._reset_connections(process.host)
        del self.cut_hosts[process.host]

    def signal_vms(
        self, number: signal.Signals, share: float, for_s: float = 0.0
    ) -> None:
        """Send a signal to some VMs; frozen ones wake after a time."""
        vms = self._pick_vms(share)
        self._note(f"{len(vms)} VMs: {number.name} {for_s:.1f} s")
        for process in vms:
            self._disturb(process)
            process.signal(number)
            if number is signal.SIGSTOP:
                reactor.callLater(for_s, self._disturb, process)
                reactor.callLater(for_s, process.signal, signal.SIGCONT)
            else:
                # It is started again.
                reactor.callLater(1.0, self._disturb, process)

    def _disturb(self, process: GatewayProcess) -> None:
        self.judge.vm_disturbances_ms[process.vm].append(self.clock.now_ms())

    def schedule(
        self, seconds: float, count: int, kinds: Sequence[str] = ()
    ) -> None:
        """Schedule faults at random times, half of them close together.

        Args:
            seconds: Length of the play.
            count: Number of faults.
            kinds: Names of the kinds of faults; empty for all.
        """
        rng = self.fault_rng
        faults: dict[str, Callable[[], None]] = {
            "reject": lambda: self.set_mode(
                "reject", rng.uniform(0.1, 0.9), 4.0
            ),
            "quiet": lambda: self.set_mode("quiet", rng.uniform(0.1, 0.9), 4.0),
            "hang": lambda: self.set_mode("hang", rng.uniform(0.1, 0.5), 4.0),
            "down": lambda: self.set_mode("down", rng.uniform(0.1, 0.5), 1.5),
            "slow": lambda: self.slow_leafs(12.0, rng.uniform(0.2, 0.8), 10.0),
            "lose": lambda: self.cut_vms(
                rng.uniform(0.3, 0.8), 10.0, resets=False
            ),
            "reset": lambda: self.cut_vms(
                rng.uniform(0.3, 0.8), 10.0, resets=True
            ),
            "kill": lambda: self.signal_vms(
                signal.SIGKILL, rng.uniform(0.1, 0.6)
            ),
            "stop": lambda: self.signal_vms(
                signal.SIGTERM, rng.uniform(0.05, 0.3)
            ),
            "freeze": lambda: self.signal_vms(
                signal.SIGSTOP, rng.uniform(0.05, 0.3), 2.0
            ),
        }
        chosen = [faults[kind] for kind in kinds or faults]
        at_s = 1.0
        for _ in range(count):
            reactor.callLater(at_s, rng.choice(chosen))
            is_close = rng.random() < 0.5
            at_s += rng.uniform(0.1, 1.0 if is_close else 6.0)
            at_s = min(at_s, seconds - 1.0)


def sleep(seconds: float) -> Any:
    """Return a deferred that fires after a delay."""
    return task.deferLater(reactor, seconds, lambda: None)


def _configuration(shards: tuple[str, ...]) -> dict[str, Any]:
    routes = []
    for plan in ROUTES:
        fields: dict[str, Any] = {"service": SINGLE_SERVICE}
        if plan.is_gathered:
            fields = documents.gather_fields(shards, 50, plan.coverage)
        routes.append(
            documents.route_spec(
                plan.name,
                timeout_ms=plan.timeout_ms,
                target_latency_ms=plan.target_ms,
                attempts=ATTEMPTS,
                **fields,
            )
        )
    services = (*shards, SINGLE_SERVICE)
    spec = documents.configuration_spec(1, routes, services)
    for service in spec["services"]:
        is_single = service["name"] == SINGLE_SERVICE
        service["max_connections"] = 600 if is_single else CONNECTIONS
    return spec


def _start_gateways(
    play: BudgetPlay,
    count: int,
    store: tuple[str, int],
    folder: pathlib.Path,
    source: pathlib.Path,
) -> None:
    bounds = play.judge.bounds
    settings = (
        f"bounds.retry_budget_ratio={bounds.ratio}",
        f"bounds.budget_window_s={bounds.window_ms / 1_000.0}",
        f"bounds.retry_budget_slack={bounds.slack}",
    )
    hosts = [gateway_module.host_for(number) for number in range(count)]
    (internal_port,) = gateway_module.free_ports("0.0.0.0", 1)
    for number, host in enumerate(hosts):
        process = GatewayProcess(
            reactor,
            number,
            DATA_CENTRES[number % len(DATA_CENTRES)],
            store,
            folder,
            hosts[:3],
            internal_port,
            source,
            settings,
        )
        play.gateways[host] = process
        reactor.addSystemEventTrigger("before", "shutdown", process.close)
        process.start()
        process.restart_when_ended()


async def run_seed(
    seed: int, options: argparse.Namespace, folder: pathlib.Path
) -> BudgetPlay:
    """Run one play; return it with its judge."""
    bounds = BudgetBounds(slack=options.slack)
    clock = SystemClock()
    play = BudgetPlay(
        random.Random(seed),
        random.Random(f"faults {seed}"),
        BudgetJudge(bounds),
        clock,
        tuple(f"s{number}" for number in range(options.shards)),
    )
    stand_in_store.PAGE_ITEMS = PAGE_ITEMS
    store = stand_in_store.StandInStore()
    store_port = reactor.listenTCP(
        0, stand_in_store.StoreFactory(store), interface=HOST, backlog=512
    )
    store.put("config", "main", _configuration(play.shards))
    for number in range(COPIES):
        for service in (*play.shards, SINGLE_SERVICE):
            play.add_leaf(store, service, number)
    address = (HOST, store_port.getHost().port)
    _start_gateways(play, options.vms, address, folder, options.source)
    await sleep(STORE_LISTED_S + START_S_PER_VM * options.vms)
    pools = {
        process.vm: HttpPool(reactor, clock, process.caller_address)
        for process in play.gateways.values()
    }
    play.started_ms = clock.now_ms()
    play.watch_lag()
    play.schedule(options.seconds, options.faults, options.kinds)
    loops = []
    for plan in ROUTES:
        loop = task.LoopingCall(play.send_request, plan, pools)
        loop.start(1.0 / (plan.per_s * options.load), now=False)
        loops.append(loop)
    await sleep(options.seconds)
    for loop in loops:
        loop.stop()
    await sleep(SPARE_S)
    play.is_over = True
    for process in play.gateways.values():
        process.close()
    store_port.stopListening()
    return play


def report(seed: int, play: BudgetPlay, broken: list[str]) -> str:
    """Return what is printed about a play."""
    judge = play.judge
    first = len({(a.attempt, a.service) for a in judge.arrivals})
    lines = [
        f"seed {seed}: {len(broken)} clauses broken;"
        f" {len(judge.requests)} requests, {len(judge.arrivals)} arrivals,"
        f" {len(judge.arrivals) - first} of them repeats;"
        f" {len(judge.quiet_times)} quiet times;"
        f" answers {dict(sorted(play.statuses.items()))}",
        *(f"  {text}" for text in broken[:8]),
        f"  leafs ran late {len(play.lags_ms)} times, by up to"
        f" {max((lag_ms for _, lag_ms in play.lags_ms), default=0.0):.0f} ms",
    ]
    return "\n".join(lines)


async def run_all(options: argparse.Namespace) -> int:
    """Run all seeds; return the exit status."""
    broken_count = 0
    for seed in range(options.first_seed, options.first_seed + options.seeds):
        with tempfile.TemporaryDirectory() as temporary:
            folder = pathlib.Path(options.keep or temporary) / f"seed-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
            play = await run_seed(seed, options, folder)
        broken = play.judge.judge()
        broken_count += bool(broken)
        print(report(seed, play, broken))
        if options.events:
            print("\n".join(f"  {event}" for event in play.events))
        sys.stdout.flush()
    print(f"{broken_count} of {options.seeds} seeds broke the budget")
    return 1 if broken_count else 0


def parse_options(arguments: list[str]) -> argparse.Namespace:
    """Parse the arguments."""
    parser = argparse.ArgumentParser(prog="python -m tools.soak.budget_play")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--vms", type=int, default=90)
    parser.add_argument("--shards", type=int, default=36)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--faults", type=int, default=12)
    parser.add_argument(
        "--kinds", nargs="*", default=(), help="kinds of faults; default: all"
    )
    parser.add_argument("--slack", type=float, default=220.0)
    parser.add_argument("--load", type=float, default=1.0, help="factor")
    parser.add_argument("--events", action="store_true", help="print events")
    parser.add_argument("--keep", help="folder in which logs are kept")
    parser.add_argument(
        "--source",
        type=pathlib.Path,
        default=gateway_module.ROOT / "src",
        help="folder of the package, such as that of an earlier version",
    )
    return parser.parse_args(arguments)


def main() -> int:
    """Parse the arguments and run the plays; return the exit status."""
    options = parse_options(sys.argv[1:])
    return run_until_done(lambda: run_all(options))


if __name__ == "__main__":
    sys.exit(main())
