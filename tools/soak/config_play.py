"""Plays faults of the store and its links against real gateways; judges CONFIG.

    python -m tools.soak.config_play --seeds 3 --vms 8 --seconds 50

The operator changes the configuration all the time. After each fault there is
time in which all VMs count as in touch.
"""

import argparse
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import random
import signal
import sys
from typing import Any

from tests.platform import stand_in_documents as documents
from tools.soak import frame
from tools.soak.config_judge import STATUS_NOT_FOUND
from tools.soak.config_judge import WrittenVersion
from tools.soak.environment import NEXT_SHARDS
from tools.soak.environment import SHARDS
from tools.soak.environment import SoakEnvironment
from tools.soak.gateways import GatewayProcess
from tools.soak.promises import VIEW_SETTLE_MS
from tools.soak.proxy import LinkMode
from tools.soak.run_main import run_until_done
from twisted.internet import defer

from oriolegate import system_reactor
from oriolegate.network.http_client import HttpClient
from oriolegate.network.http_reader import HttpResponse

reactor = system_reactor.get_reactor()

SERVICES = ("s1", "n1", "s2", "n2", "s3", "n3", "s4")
START_S = 6.0
CALL_INTERVAL_S = 0.12
TIMEOUT_MS = 1_500
CHANGE_INTERVALS_S = (0.3, 0.5, 0.9, 2.0, 3.5, 6.5)
FAULT_LENGTHS_S = (0.2, 0.6, 1.2, 2.0, 4.5)
# The last changes come in force, and answers arrive, within this time.
END_S = 3.0


class ConfigEnvironment(SoakEnvironment):
    """An operator that moves a route again and again, and adds one."""

    change_count = 0

    def change(self) -> None:
        """Write the next configuration."""
        service = SERVICES[self.change_count % len(SERVICES)]
        names = ["one"]
        if (self.change_count // 3) % 2:
            names.append("added")
        self.change_count += 1
        self.version += self.rng.randint(1, 3)
        routes = [
            documents.route_spec(
                name, type=documents.IDEMPOTENT, service=service
            )
            for name in names
        ]
        self.configuration = documents.configuration_spec(
            self.version, routes, (*SHARDS, *NEXT_SHARDS)
        )
        self.store.put("config", "main", self.configuration)
        self.checker.configurations.versions.append(
            WrittenVersion(
                self.clock.now_ms(),
                dict.fromkeys(names, frozenset({service})),
            )
        )

    async def change_until(self, end_ms: float) -> None:
        """Change the configuration at random intervals."""
        while self.clock.now_ms() < end_ms:
            self.change()
            await self.sleep(self.rng.choice(CHANGE_INTERVALS_S))

    async def call_until_stopped(self, process: GatewayProcess) -> None:
        """Send requests over new and kept connections."""
        client = HttpClient(reactor, self.clock, process.caller_address)
        judge = self.checker.configurations
        while not self.stopped:
            name = self.rng.choice(("one", "one", "added"))
            attempt, data = self.make_request(process, name)

            def done(
                outcome: HttpResponse | str, attempt: str = attempt
            ) -> None:
                status = getattr(outcome, "status", None)
                self.checker.counts[f"answered {status}"] += 1
                if status == STATUS_NOT_FOUND:
                    judge.not_found.append(attempt)

            client.send(data, TIMEOUT_MS + 300.0, done)
            await self.sleep(CALL_INTERVAL_S)


class ConfigPlay:
    """One play.

    Attributes:
        spans_ms: Start and end of each fault, by the VM that it excuses; those
            that excuse all VMs are under the empty name.
        events: What happened when, for the report.
    """

    def __init__(
        self,
        environment: ConfigEnvironment,
        gateways: list[GatewayProcess],
        rng: random.Random,
    ) -> None:
        self.environment = environment
        self.gateways = gateways
        self.rng = rng
        self.spans_ms: dict[str, list[tuple[float, float]]] = {"": []}
        self.events: list[str] = []
        environment.checker.configurations.is_in_touch = self.is_in_touch
        self.faults: dict[str, Callable[[], Awaitable[None]]] = {
            "watch": self._silence_open,
            "silent": lambda: self._disturb_links(LinkMode.SILENT, 1),
            "cut": lambda: self._disturb_links(LinkMode.CUT_TO_CLIENT, 1),
            "reset": lambda: self._disturb_links(LinkMode.RESET, 1),
            "all": lambda: self._disturb_links(LinkMode.SILENT, len(gateways)),
            "history": self._drop_history,
            "restore": self._restore,
            "lagging": self._lag,
            "odd": self._write_odd_object,
            "kill": self._kill,
        }

    def is_in_touch(self, vm: str, at_ms: float) -> bool:
        """Return whether a VM must have due versions in force."""
        spans_ms = [*self.spans_ms[""], *self.spans_ms.get(vm, ())]
        return not any(
            start_ms <= at_ms <= end_ms + VIEW_SETTLE_MS
            for start_ms, end_ms in spans_ms
        )

    def _excuse(self, vm: str, for_s: float, what: str) -> None:
        now_ms = self.environment.clock.now_ms()
        self.events.append(f"{now_ms:.0f} ms {vm or 'all'}: {what} {for_s} s")
        self.spans_ms.setdefault(vm, []).append((now_ms, now_ms + for_s * 1e3))

    def _sleep(self, seconds: float) -> Any:
        return self.environment.sleep(seconds)

    async def _silence_open(self) -> None:
        process = self.rng.choice(self.gateways)
        self._excuse("", 0.0, f"connections of {process.vm} are silent")
        process.store_link.silence_open()

    async def _disturb_links(self, mode: LinkMode, count: int) -> None:
        chosen = self.rng.sample(self.gateways, count)
        for_s = self.rng.choice(FAULT_LENGTHS_S)
        for process in chosen:
            # Lost bytes leave connections that are silent for good, which
            # counts as a reset of the connections of all VMs.
            vm = process.vm if mode is LinkMode.RESET else ""
            self._excuse(vm, for_s, f"link of {process.vm} is {mode.value}")
            process.store_link.set_mode(mode)
        await self._sleep(for_s)
        for process in chosen:
            self._excuse("" if count > 1 else process.vm, 0.0, "link is back")
            process.store_link.set_mode(LinkMode.PASS)

    async def _drop_history(self) -> None:
        self._excuse("", 0.0, "the store drops its history and all connections")
        self.environment.store.forget()
        for process in self.gateways:
            process.store_link.reset_all()

    async def _restore(self) -> None:
        age_s = self.rng.choice(FAULT_LENGTHS_S)
        self._excuse("", age_s + 1.3, "the store is restored from a copy")
        await self.environment.restore_store(age_s, rewrite_s=0.8)

    async def _lag(self) -> None:
        """Let lists that may lag be older; that excuses nobody."""
        store = self.environment.store
        store.lagging = store.make_copy()
        await self._sleep(self.rng.choice(FAULT_LENGTHS_S))
        store.lagging = None

    async def _write_odd_object(self) -> None:
        """Let another writer leave a configuration of its own."""
        environment = self.environment
        version = environment.version + 1_000
        routes = [documents.route_spec("one", service="s3")]
        spec = documents.configuration_spec(version, routes, SHARDS)
        environment.store.put("config", "other", spec)
        environment.store.put("config", "odd", {"version": "x"})

    async def _kill(self) -> None:
        process = self.rng.choice(self.gateways)
        self._excuse(process.vm, 1.0, "killed")
        process.signal(signal.SIGKILL)

    async def disturb_until(self, end_ms: float, kinds: list[str]) -> None:
        """Inject faults one after the other, with calm times between them."""
        while self.environment.clock.now_ms() < end_ms:
            await self._sleep(self.rng.uniform(0.3, 2.0))
            if kinds:
                await self.faults[self.rng.choice(kinds)]()
            await self._sleep(self.rng.uniform(6.0, 10.0))


async def run_seed(
    seed: int, options: argparse.Namespace, folder: pathlib.Path
) -> list[str]:
    """Run one play; print its report and return the violations."""
    environment = ConfigEnvironment(reactor, random.Random(seed))
    gateways = frame.start_gateways(
        environment, folder, range(options.vms), options.source
    )
    play = ConfigPlay(environment, gateways, random.Random(f"faults {seed}"))
    environment.change()
    await environment.sleep(START_S)
    callers = [
        defer.ensureDeferred(environment.call_until_stopped(process))
        for process in gateways
    ]
    end_ms = environment.clock.now_ms() + options.seconds * 1e3
    changes = defer.ensureDeferred(environment.change_until(end_ms))
    await play.disturb_until(end_ms, options.kinds or list(play.faults))
    await changes
    environment.stopped = True
    await defer.DeferredList(callers)
    await environment.sleep(END_S)
    judge = environment.checker.configurations
    for process in gateways:
        judge.starts_ms[process.vm] = process.starts_ms
    environment.close()
    for process in gateways:
        process.close()
    await environment.sleep(0.1)
    violations = judge.judge()
    print(
        f"seed {seed}: {len(violations)} broken; {len(judge.versions)}"
        f" versions, {len(judge.runs)} runs,"
        f" {dict(sorted(environment.checker.counts.items()))}"
    )
    for text in (*violations[:8], *(play.events if violations else ())):
        print(f"  {text}")
    sys.stdout.flush()
    return violations


def parse_options(arguments: list[str]) -> argparse.Namespace:
    """Parse the arguments."""
    parser = argparse.ArgumentParser(prog="python -m tools.soak.config_play")
    frame.add_options(parser)
    parser.add_argument(
        "--kinds", nargs="*", default=(), help="kinds of faults; default: all"
    )
    return parser.parse_args(arguments)


def main() -> int:
    """Parse the arguments and run the plays; return the exit status."""
    options = parse_options(sys.argv[1:])
    return run_until_done(lambda: frame.run_seeds(options, run_seed, "CONFIG"))


if __name__ == "__main__":
    sys.exit(main())
