"""Stops real gateways again and again while callers send; judges LOST.

    python -m tools.soak.stop_play --seeds 3 --vms 8 --seconds 50

Nothing else disturbs the site. Callers use connections until they end, and open
new ones at any moment. Signals come in series: SIGTERM again, and SIGHUP after
the grace time in the settings file has changed.
"""

import argparse
import pathlib
import random
import signal
import sys
from typing import Any

import attrs
from tools.soak import frame
from tools.soak.environment import SoakEnvironment
from tools.soak.gateways import GatewayProcess
from tools.soak.run_main import run_until_done
from twisted.internet import defer

from oriolegate import system_reactor
from oriolegate.network.http_pool import HttpPool

reactor = system_reactor.get_reactor()

START_S = 4.0
UP_S = (0.8, 2.0)
# The work of leafs outlasts the time in which a process writes its last bytes.
WORK_S = 0.06
GAP_S = 0.05
KEPT_CALLERS = 1
NEW_CALLERS = 2
# As on the users' machines.
GRACE_S = 6.0
OTHER_GRACES_S = (0.6, 3.0, 12.0)
AGAIN_FRACTION = 0.3
RELOAD_FRACTION = 0.4
STATUS_BAD_GATEWAY = 502
# The last answers arrive within this time.
END_S = 2.0


@attrs.frozen
class PlannedStop:
    """When a process got SIGTERM, and when it ended."""

    vm: str
    started_ms: float
    ended_ms: float


class StopEnvironment(SoakEnvironment):
    """Callers that judge what a stopping process does with their requests.

    Attributes:
        failed: VM and time of requests that ended with 502, by attempt.
    """

    def __init__(self, reactor: Any, rng: random.Random) -> None:
        super().__init__(reactor, rng)
        self.failed: dict[str, tuple[str, float]] = {}
        for soak_leaf in self.leafs.values():
            soak_leaf.slow_s = WORK_S

    def check_result(
        self,
        process: GatewayProcess,
        name: str,
        attempt: str,
        start_ms: float,
        result: Any,
    ) -> None:
        """Check a result, and keep what failed for the judge."""
        super().check_result(process, name, attempt, start_ms, result)
        response = getattr(result, "response", None)
        if response is not None and response.status == STATUS_BAD_GATEWAY:
            self.failed[attempt] = (process.vm, start_ms)

    async def call_until_stopped(
        self, process: GatewayProcess, *, is_kept: bool
    ) -> None:
        """Send requests on a kept connection, or each on a new one."""
        pool = HttpPool(self.reactor, self.clock, process.caller_address)
        while not self.stopped:
            await self.call_gateway(process, pool)
            if not is_kept:
                pool.close()
                pool = HttpPool(
                    self.reactor, self.clock, process.caller_address
                )
            # Idle moments count: a process may end at any of them.
            await self.sleep(self.rng.expovariate(1.0 / GAP_S))
        pool.close()


class StopPlay:
    """One play.

    Attributes:
        stops: The planned stops so far.
    """

    def __init__(
        self, environment: StopEnvironment, rng: random.Random
    ) -> None:
        self.environment = environment
        self.rng = rng
        self.stops: list[PlannedStop] = []

    async def stop_until(self, process: GatewayProcess, end_ms: float) -> None:
        """Stop a process again and again; it starts by itself."""
        environment = self.environment
        while environment.clock.now_ms() < end_ms:
            await environment.sleep(self.rng.uniform(*UP_S))
            if process.process is not None and process.process.poll() is None:
                await self._stop(process)
            while process.process is None:
                await environment.sleep(0.05)

    async def _stop(self, process: GatewayProcess) -> None:
        environment = self.environment
        child = process.process
        assert child is not None
        settings = process.settings_path.read_text()
        started_ms = environment.clock.now_ms()
        process.signal(signal.SIGTERM)
        if self.rng.random() < AGAIN_FRACTION:
            self._signal_later(process, signal.SIGTERM)
        if self.rng.random() < RELOAD_FRACTION:
            grace_s = self.rng.choice(OTHER_GRACES_S)
            process.settings_path.write_text(
                settings.replace(
                    f"bounds.grace_s={GRACE_S}", f"bounds.grace_s={grace_s}"
                )
            )
            self._signal_later(process, signal.SIGHUP)
        while child.poll() is None:
            waited_ms = environment.clock.now_ms() - started_ms
            if waited_ms > 1_000.0 * GRACE_S:
                environment.checker.record_violation(
                    "a stop ends in its grace time", process.vm
                )
                process.signal(signal.SIGKILL)
                child.wait()
            await environment.sleep(0.02)
        process.settings_path.write_text(settings)
        ended_ms = environment.clock.now_ms()
        self.stops.append(PlannedStop(process.vm, started_ms, ended_ms))

    def _signal_later(
        self, process: GatewayProcess, number: signal.Signals
    ) -> None:
        delay_s = self.rng.uniform(0.0, GRACE_S / 2)
        self.environment.reactor.callLater(delay_s, process.signal, number)

    def judge_failed(self) -> None:
        """Record requests that a stopping process took and failed."""
        for attempt, (vm, sent_ms) in self.environment.failed.items():
            was_stopping = any(
                stop.vm == vm and stop.started_ms <= sent_ms <= stop.ended_ms
                for stop in self.stops
            )
            if was_stopping:
                self.environment.checker.record_violation(
                    "what is taken ends", f"{attempt} by {vm}"
                )


async def run_seed(
    seed: int, options: argparse.Namespace, folder: pathlib.Path
) -> list[str]:
    """Run one play; print its report and return the violations."""
    environment = StopEnvironment(reactor, random.Random(seed))
    gateways = frame.start_gateways(
        environment,
        folder,
        range(options.vms),
        options.source,
        grace_s=GRACE_S,
    )
    play = StopPlay(environment, random.Random(f"stops {seed}"))
    await environment.sleep(START_S)
    kinds = [True] * KEPT_CALLERS + [False] * NEW_CALLERS
    callers = [
        defer.ensureDeferred(
            environment.call_until_stopped(process, is_kept=is_kept)
        )
        for process in gateways
        for is_kept in kinds
    ]
    end_ms = environment.clock.now_ms() + options.seconds * 1e3
    await defer.gatherResults(
        [
            defer.ensureDeferred(play.stop_until(process, end_ms))
            for process in gateways
        ]
    )
    await environment.sleep(END_S)
    environment.stopped = True
    await defer.DeferredList(callers)
    for process in gateways:
        process.close()
    environment.close()
    await environment.sleep(0.1)
    play.judge_failed()
    checker = environment.checker
    violations = [f"{name}: {text}" for name, text in checker.violations]
    print(
        f"seed {seed}: {len(violations)} broken; {len(play.stops)} stops,"
        f" {len(checker.runs)} requests run,"
        f" {dict(sorted(checker.counts.items()))}"
    )
    for text in violations[:8]:
        print(f"  {text}")
    sys.stdout.flush()
    return violations


def main() -> int:
    """Parse the arguments and run the plays; return the exit status."""
    parser = argparse.ArgumentParser(prog="python -m tools.soak.stop_play")
    frame.add_options(parser)
    options = parser.parse_args()
    return run_until_done(lambda: frame.run_seeds(options, run_seed, "LOST"))


if __name__ == "__main__":
    sys.exit(main())
