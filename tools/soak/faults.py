"""Faults that are drawn from a seed and may overlap."""

from collections.abc import Callable
import random
import signal

import attrs
from tools.soak.environment import NEXT_SHARDS
from tools.soak.environment import SHARDS
from tools.soak.environment import SoakEnvironment
from tools.soak.environment import SoakLeaf
from tools.soak.gateways import GatewayProcess
from tools.soak.proxy import LinkMode
from twisted.internet import defer

FOCUS_FRACTION = 0.5


@attrs.define
class FaultInjector:
    """Schedules random faults and injects them.

    Printed counts of faults are named after the methods that inject them.

    Attributes:
        environment: Store, leafs and callers.
        gateways: Gateway processes.
        rng: Draws the faults.
        focus_rng: Directs some of the leaf faults at one service. A separate
            generator, so that its draws don't change those of `rng`.
    """

    environment: SoakEnvironment
    gateways: list[GatewayProcess]
    rng: random.Random
    focus_rng: random.Random

    def schedule(self, period_s: float, count: int) -> None:
        """Schedule `count` faults at random times of the next seconds."""
        kinds: list[Callable[[float], None]] = [
            self.kill,
            self.stop_in_turn,
            self.pause,
            self.reload,
            self.store_link,
            self.store_refuses,
            self.history_lost,
            self.leaf_link,
            self.leaf_crash,
            self.leaf_drain,
            self.leaf_slow,
            self.leaf_fails,
            self.reconfigure,
        ]
        for _ in range(count):
            start_s = self.rng.uniform(0.0, period_s)
            duration_s = self.rng.uniform(0.1, period_s - start_s)
            kind = self.rng.choice(kinds)
            self.environment.reactor.callLater(
                start_s, self._start_fault, kind, duration_s
            )

    def schedule_restores(self, period_s: float, count: int) -> None:
        """Restore the store from copies, again and again within a time."""
        for index in range(count):
            start_s = period_s * index / count
            age_s = self.focus_rng.uniform(0.0, 0.6 * period_s / count)
            self._call_later(
                start_s, lambda age_s=age_s: self.store_restored(age_s)
            )

    def schedule_silences(self, period_s: float, count: int) -> None:
        """Let open connections go silent, at random times."""
        for _ in range(count):
            at_s = self.focus_rng.uniform(0.0, period_s)
            self._call_later(at_s, self.silent_connections)

    def schedule_limits(self, period_s: float, count: int) -> None:
        """Let leafs, or all of a service, limit their requests for a time."""
        for _ in range(count):
            start_s = self.focus_rng.uniform(0.0, 0.4 * period_s)
            duration_s = self.focus_rng.uniform(
                0.4 * period_s, period_s - start_s
            )
            self._call_later(
                start_s,
                lambda duration_s=duration_s: self.leaf_limit(duration_s),
            )

    def _start_fault(
        self, kind: Callable[[float], None], duration_s: float
    ) -> None:
        self.environment.checker.counts[f"fault {kind.__name__}"] += 1
        kind(duration_s)

    def _call_later(self, after_s: float, call: Callable[[], None]) -> None:
        self.environment.reactor.callLater(after_s, call)

    def _record_view_fault(self, for_s: float = 0.0) -> None:
        """Record a fault of views; those that end later are recorded twice."""
        now_ms = self.environment.clock.now_ms()
        checker = self.environment.checker
        checker.view_faults_ms.append(now_ms)
        checker.view_faults_ms.sort()
        checker.view_fault_spans_ms.append((now_ms, now_ms + for_s * 1_000.0))

    def _choose_gateway(self) -> GatewayProcess:
        return self.rng.choice(self.gateways)

    def _choose_leaf(self) -> SoakLeaf:
        soak_leaf = self.rng.choice(list(self.environment.leafs.values()))
        if self.focus_rng.random() < FOCUS_FRACTION:
            # Only this service runs non-idempotent requests, so it gets
            # more faults.
            focused = [
                leaf
                for leaf in self.environment.leafs.values()
                if leaf.service == SHARDS[0]
            ]
            # All leafs of the service may be down now.
            soak_leaf = self.focus_rng.choice(focused or [soak_leaf])
        return soak_leaf

    def kill(self, duration_s: float) -> None:
        """Kill one or several processes at once."""
        self._record_view_fault()
        count = self.rng.choice([1, 1, 2, len(self.gateways)])
        for process in self.rng.sample(self.gateways, count):
            process.signal(signal.SIGKILL)

    def stop_in_turn(self, duration_s: float) -> None:
        """Send SIGTERM to the processes, one after the other."""
        self._record_view_fault()
        gap_s = self.rng.uniform(0.0, 0.8)
        for index, process in enumerate(self.gateways):
            self._call_later(
                index * gap_s, lambda p=process: p.signal(signal.SIGTERM)
            )

    def pause(self, duration_s: float) -> None:
        """Pause a process, as on a suspended machine."""
        pause_s = min(duration_s, 2.5)
        self._record_view_fault(pause_s)
        process = self._choose_gateway()
        process.signal(signal.SIGSTOP)

        def resume() -> None:
            self._record_view_fault()
            process.signal(signal.SIGCONT)

        self._call_later(pause_s, resume)

    def reload(self, duration_s: float) -> None:
        """Send SIGHUP to all processes, up to four times in succession."""
        for process in self.gateways:
            for index in range(self.rng.randint(1, 4)):
                self._call_later(
                    0.05 * index, lambda p=process: p.signal(signal.SIGHUP)
                )

    def store_link(self, duration_s: float) -> None:
        """Disturb the link between one process and the store."""
        self._record_view_fault(duration_s)
        link = self._choose_gateway().store_link
        link.set_mode(self.rng.choice(list(LinkMode)))

        def heal() -> None:
            self._record_view_fault()
            link.set_mode(LinkMode.PASS)

        self._call_later(duration_s, heal)

    def silent_connections(self) -> None:
        """Let connections of some processes to the store go silent for good."""
        self.environment.checker.counts["fault silent_connections"] += 1
        self._record_view_fault()
        count = self.focus_rng.choice([1, 1, 2, len(self.gateways)])
        for process in self.focus_rng.sample(self.gateways, count):
            process.store_link.silence_open()

    def store_refuses(self, duration_s: float) -> None:
        """Make the store refuse every call."""
        self._record_view_fault(duration_s)
        self.environment.store.refuse = self.rng.choice([429, 503])

        def heal() -> None:
            self._record_view_fault()
            self.environment.store.refuse = None

        self._call_later(duration_s, heal)

    def history_lost(self, duration_s: float) -> None:
        """Make the store lose its history of changes."""
        self._record_view_fault()
        self.environment.store.forget()

    def store_restored(self, duration_s: float) -> None:
        """Bring the store back from a copy that is `duration_s` old."""
        environment = self.environment
        environment.checker.counts["fault store_restored"] += 1
        self._record_view_fault(duration_s)
        restoring = defer.ensureDeferred(
            environment.restore_store(duration_s, rewrite_s=0.8)
        )
        restoring.addCallback(lambda _: self._record_view_fault())

    def leaf_link(self, duration_s: float) -> None:
        """Disturb the link to one leaf."""
        soak_leaf = self._choose_leaf()
        link = soak_leaf.link
        link.set_mode(self.rng.choice(list(LinkMode)))

        def heal() -> None:
            soak_leaf.link_disturbed_ms = self.environment.clock.now_ms()
            link.set_mode(LinkMode.PASS)

        self._call_later(duration_s, heal)

    def leaf_crash(self, duration_s: float) -> None:
        """Crash one leaf, or all of a service; replacements start."""
        soak_leaf = self._choose_leaf()
        leafs = [soak_leaf]
        if self.rng.random() < 0.3 or self.focus_rng.random() < 0.3:
            leafs = [
                leaf
                for leaf in self.environment.leafs.values()
                if leaf.service == soak_leaf.service
            ]
        for leaf in leafs:
            self.environment.crash(leaf)

    def leaf_drain(self, duration_s: float) -> None:
        """Drain a leaf after its replacement has started."""
        soak_leaf = self._choose_leaf()
        if soak_leaf.draining_since_ms is None:
            self.environment.add_leaf(soak_leaf.service, soak_leaf.data_centre)
            self.environment.drain(soak_leaf)

    def leaf_slow(self, duration_s: float) -> None:
        """Slow down the answers of a leaf."""
        soak_leaf = self._choose_leaf()
        soak_leaf.slow_s = self.rng.uniform(0.05, 1.0)
        self._call_later(duration_s, lambda: setattr(soak_leaf, "slow_s", 0.0))

    def leaf_limit(self, duration_s: float) -> None:
        """Let one leaf, or all of a service, limit their requests."""
        environment = self.environment
        environment.checker.counts["fault leaf_limit"] += 1
        leafs = list(environment.leafs.values())
        chosen = self.focus_rng.choice(leafs)
        limit_per_s = self.focus_rng.uniform(0.5, 20.0)
        if self.focus_rng.random() < FOCUS_FRACTION:
            limited = [leaf for leaf in leafs if leaf.service == chosen.service]
        else:
            limited = [chosen]

        def end() -> None:
            for leaf in limited:
                environment.limit_requests(leaf, None)

        for leaf in limited:
            environment.limit_requests(leaf, limit_per_s)
        self._call_later(duration_s, end)

    def leaf_fails(self, duration_s: float) -> None:
        """Make a leaf reset a fraction of its requests after running them."""
        soak_leaf = self._choose_leaf()
        soak_leaf.fail_fraction = self.rng.uniform(0.1, 0.9)
        self._call_later(
            duration_s, lambda: setattr(soak_leaf, "fail_fraction", 0.0)
        )

    def reconfigure(self, duration_s: float) -> None:
        """Write configurations in quick succession."""
        for index in range(self.rng.randint(1, 4)):
            shards = self.rng.choice([SHARDS, NEXT_SHARDS])
            self._call_later(
                0.1 * index, lambda s=shards: self.environment.configure(s)
            )
