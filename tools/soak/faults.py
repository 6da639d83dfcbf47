"""Series of faults, drawn from a seed; they overlap."""

from collections.abc import Callable
import random
import signal

import attrs
from tools.soak.gateways import GatewayProcess
from tools.soak.proxy import LinkMode
from tools.soak.world import NEXT_SHARDS
from tools.soak.world import SHARDS
from tools.soak.world import SoakLeaf
from tools.soak.world import World

FOCUS_PART = 0.5


@attrs.define
class Faults:
    """Draws faults and carries them out.

    Attributes:
        world: Store, leafs and callers.
        gateways: The processes.
        chance: Draws them.
        focus: Moves some of them to one service; a source of its own, so
            that seeds keep their faults.
    """

    world: World
    gateways: list[GatewayProcess]
    chance: random.Random
    focus: random.Random

    def draw(self, length_s: float, count: int) -> None:
        """Set `count` faults at random moments of the next seconds."""
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
            at_s = self.chance.uniform(0.0, length_s)
            for_s = self.chance.uniform(0.1, length_s - at_s)
            kind = self.chance.choice(kinds)
            self.world.reactor.callLater(at_s, self._begin, kind, for_s)

    def _begin(self, kind: Callable[[float], None], for_s: float) -> None:
        self.world.record.counts[f"fault {kind.__name__}"] += 1
        kind(for_s)

    def _later(self, after_s: float, call: Callable[[], None]) -> None:
        self.world.reactor.callLater(after_s, call)

    def _touch(self) -> None:
        now_ms = self.world.clock.now_ms()
        self.world.record.faults.append(now_ms)
        self.world.record.faults.sort()

    def _gateway(self) -> GatewayProcess:
        return self.chance.choice(self.gateways)

    def _leaf(self) -> SoakLeaf:
        found = self.chance.choice(list(self.world.leafs.values()))
        if self.focus.random() < FOCUS_PART:
            # One service alone answers what may run once, so it gets more.
            of_one = [
                leaf
                for leaf in self.world.leafs.values()
                if leaf.service == SHARDS[0]
            ]
            # All of them may be down at this moment.
            found = self.focus.choice(of_one or [found])
        return found

    def kill(self, for_s: float) -> None:
        """Kill one process, or several at once."""
        self._touch()
        count = self.chance.choice([1, 1, 2, len(self.gateways)])
        for process in self.chance.sample(self.gateways, count):
            process.signal(signal.SIGKILL)

    def stop_in_turn(self, for_s: float) -> None:
        """Send SIGTERM to the processes, one after the other."""
        self._touch()
        gap_s = self.chance.uniform(0.0, 0.8)
        for index, process in enumerate(self.gateways):
            self._later(
                index * gap_s, lambda p=process: p.signal(signal.SIGTERM)
            )

    def pause(self, for_s: float) -> None:
        """Stop a process for a while, as a suspended machine does."""
        self._touch()
        process = self._gateway()
        process.signal(signal.SIGSTOP)

        def go_on() -> None:
            self._touch()
            process.signal(signal.SIGCONT)

        self._later(min(for_s, 2.5), go_on)

    def reload(self, for_s: float) -> None:
        """Send SIGHUP, alone or in quick succession."""
        for process in self.gateways:
            for index in range(self.chance.randint(1, 4)):
                self._later(
                    0.05 * index, lambda p=process: p.signal(signal.SIGHUP)
                )

    def store_link(self, for_s: float) -> None:
        """Harm the link between one process and the store."""
        self._touch()
        link = self._gateway().store_link
        link.set_mode(self.chance.choice(list(LinkMode)))

        def heal() -> None:
            self._touch()
            link.set_mode(LinkMode.PASS)

        self._later(for_s, heal)

    def store_refuses(self, for_s: float) -> None:
        """Let the store refuse every call."""
        self._touch()
        self.world.store.refuse = self.chance.choice([429, 503])

        def heal() -> None:
            self._touch()
            self.world.store.refuse = None

        self._later(for_s, heal)

    def history_lost(self, for_s: float) -> None:
        """Let the store forget its history while something changes."""
        self._touch()
        self.world.store.forget()

    def leaf_link(self, for_s: float) -> None:
        """Harm the link to one leaf."""
        link = self._leaf().link
        link.set_mode(self.chance.choice(list(LinkMode)))
        self._later(for_s, lambda: link.set_mode(LinkMode.PASS))

    def leaf_crash(self, for_s: float) -> None:
        """Crash a leaf, or all of a service; others start in their place."""
        found = self._leaf()
        leafs = [found]
        if self.chance.random() < 0.3 or self.focus.random() < 0.3:
            leafs = [
                leaf
                for leaf in self.world.leafs.values()
                if leaf.service == found.service
            ]
        for leaf in leafs:
            self.world.crash(leaf)

    def leaf_drain(self, for_s: float) -> None:
        """Let a leaf leave, and another one take its place."""
        found = self._leaf()
        if found.draining_since_ms is None:
            self.world.add_leaf(found.service, found.data_centre)
            self.world.drain(found)

    def leaf_slow(self, for_s: float) -> None:
        """Slow a leaf down."""
        found = self._leaf()
        found.slow_s = self.chance.uniform(0.05, 1.0)
        self._later(for_s, lambda: setattr(found, "slow_s", 0.0))

    def leaf_fails(self, for_s: float) -> None:
        """Let a leaf reset part of its requests after running them."""
        found = self._leaf()
        found.fail_part = self.chance.uniform(0.1, 0.9)
        self._later(for_s, lambda: setattr(found, "fail_part", 0.0))

    def reconfigure(self, for_s: float) -> None:
        """Write configurations in quick succession."""
        for index in range(self.chance.randint(1, 4)):
            shards = self.chance.choice([SHARDS, NEXT_SHARDS])
            self._later(0.1 * index, lambda s=shards: self.world.configure(s))
