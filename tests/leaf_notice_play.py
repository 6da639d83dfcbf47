"""Random plays of leafs that name limits, ask for quiet and leave.

Run many by hand: `python -m tests.leaf_notice_play FIRST LAST`.
"""

import bisect
import collections
import random
import sys
from typing import Any

from tests.platform import stand_in_documents as documents
from tests.virtual_fleet import CallerLoad
from tests.virtual_fleet import FAST_BYTES_PER_S
from tests.virtual_fleet import VirtualFleet

VM_COUNT = 5
LEAF_COUNT = 4
PLAY_S = 20.0
LOAD_PER_S = 50.0
EVENT_COUNT = 8
CONTACT_S = 5.0
# Bounds of the users' rules.
DRAIN_S = 4.0
LEARNED_S = 0.5
LIMIT_WINDOW_S = 4.0
MAX_QUIET_REQUESTS = 2


class NoticeLeaf:
    """A leaf that says of itself what the play decides, and judges its VMs.

    Attributes:
        limit_per_s: Limit that its answers name, or None.
        quiet_s: Time that it asks for when it turns requests away, or None.
        is_leaving: Whether its answers announce that it leaves.
        violations: Broken rules, each with a detail.
    """

    def __init__(self, fleet: VirtualFleet, leaf_id: str, rng: Any) -> None:
        self.reactor = fleet.network.reactor
        self.leaf_id = leaf_id
        self.rng = rng
        self.limit_per_s: float | None = None
        self.limited_since_s = 0.0
        self.quiet_s: float | None = None
        self.is_leaving = False
        self.violations: list[str] = []
        self.told_limit_s: dict[str, float] = {}
        self.told_leaving_s: dict[str, float] = {}
        self.quiet_answers: dict[str, list[list[float]]] = (
            collections.defaultdict(list)
        )
        self.limited_arrivals_s: list[float] = []
        leaf = fleet.add_leaf(leaf_id, "s1")
        leaf.behave = self.on_request
        answer_health = leaf.handle

        def handle(request: Any) -> None:
            if request.path == b"/health":
                self.judge(request)
            answer_health(request)

        leaf.handle = handle

    def set_limit(self, limit_per_s: float | None) -> None:
        """Name a limit from now on, or none."""
        self.limit_per_s = limit_per_s
        self.limited_since_s = self.reactor.seconds()
        self.told_limit_s.clear()
        self.limited_arrivals_s.clear()

    def judge(self, request: Any) -> str:
        """Judge an arrival; return the VM that sent it."""
        vm = request.connection.transport.other.host.name
        now_s = self.reactor.seconds()
        told_s = self.told_leaving_s.get(vm, now_s)
        if now_s - told_s > DRAIN_S and request.path != b"/health":
            self.violations.append(f"DRAIN {self.leaf_id} {vm} {now_s:.2f}")
        for answer in self.quiet_answers[vm]:
            at_s, quiet_s, _ = answer
            if LEARNED_S < now_s - at_s < quiet_s:
                answer[2] += 1
                if answer[2] > MAX_QUIET_REQUESTS:
                    self.violations.append(
                        f"BUDGET {self.leaf_id} {vm} {now_s:.2f}"
                    )
        if self.limit_per_s is not None:
            self._judge_limit(now_s, vm)
        return vm

    def _judge_limit(self, now_s: float, vm: str) -> None:
        if now_s - self.told_limit_s.get(vm, now_s) < LEARNED_S:
            return
        times = self.limited_arrivals_s
        times.append(now_s)
        from_s = max(now_s - LIMIT_WINDOW_S, self.limited_since_s + CONTACT_S)
        count = len(times) - bisect.bisect_left(times, from_s)
        bound = 1.5 * self.limit_per_s * LIMIT_WINDOW_S + 5
        if count > bound:
            self.violations.append(
                f"LIMIT {self.leaf_id} {now_s:.2f}: {count} of {bound:.0f}"
            )

    def on_request(self, request: Any) -> None:
        """Judge a request and answer it after its work."""
        vm = self.judge(request)
        work_s = self.rng.uniform(0.005, 0.06)
        self.reactor.callLater(work_s, self._answer, request, vm)

    def _answer(self, request: Any, vm: str) -> None:
        if not request.connection.transport.connected:
            return
        now_s = self.reactor.seconds()
        headers: dict[str, str] = {}
        if self.limit_per_s is not None:
            headers["Server_Limit"] = f"{self.limit_per_s:.2f}"
            self.told_limit_s.setdefault(vm, now_s)
        if self.is_leaving:
            headers["Server_Leaving"] = "1"
            self.told_leaving_s.setdefault(vm, now_s)
        if self.quiet_s is None:
            request.answer(bytes(16), **headers)
            return
        headers |= {"Not_Executed": "1", "Retry_After": f"{self.quiet_s:.2f}"}
        self.quiet_answers[vm].append([now_s, self.quiet_s, 0])
        request.answer(b"", 503, **headers)


class NoticePlay:
    """One play, drawn from a seed.

    Attributes:
        leafs: The leafs, in the order of their starts.
        load: The callers.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        routes = [documents.route_spec("one", service="s1", attempts=3)]
        self.fleet = VirtualFleet(
            documents.configuration_spec(1, routes, ["s1"])
        )
        self.leafs: list[NoticeLeaf] = []
        for _ in range(LEAF_COUNT):
            self.add_leaf()
        self.fleet.start(VM_COUNT, FAST_BYTES_PER_S)
        self.load = CallerLoad(self.fleet, "/one/x")

    def add_leaf(self) -> None:
        """Start one more leaf."""
        leaf_id = f"l{len(self.leafs)}"
        self.leafs.append(NoticeLeaf(self.fleet, leaf_id, self.rng))

    def run(self) -> list[str]:
        """Run the play; return the violations."""
        events = [self.limit, self.quiet, self.leave, self.store_away]
        call_later = self.fleet.network.reactor.callLater
        for _ in range(EVENT_COUNT):
            start_s = self.rng.uniform(0.0, 0.7 * PLAY_S)
            duration_s = self.rng.uniform(0.5, PLAY_S - start_s)
            call_later(start_s, self.rng.choice(events), duration_s)
        self.load.run(LOAD_PER_S, PLAY_S)
        return [v for leaf in self.leafs for v in leaf.violations]

    def _end(self, duration_s: float, end: Any, *args: Any) -> None:
        self.fleet.network.reactor.callLater(duration_s, end, *args)

    def limit(self, duration_s: float) -> None:
        """Let one leaf, or all, name a limit."""
        limit_per_s = self.rng.uniform(0.3, 15.0)
        for leaf in self._one_or_all():
            leaf.set_limit(limit_per_s)
            self._end(duration_s, leaf.set_limit, None)

    def quiet(self, duration_s: float) -> None:
        """Let one leaf, or all, turn requests away for a time."""
        quiet_s = self.rng.uniform(0.2, 4.0)
        for leaf in self._one_or_all():
            leaf.quiet_s = quiet_s
            self._end(min(duration_s, 2.0), setattr, leaf, "quiet_s", None)

    def leave(self, duration_s: float) -> None:
        """Let a leaf announce that it leaves; another one starts first."""
        self.add_leaf()
        self.rng.choice(self.leafs[:-1]).is_leaving = True

    def store_away(self, duration_s: float) -> None:
        """Let the store refuse all calls for a time."""
        self.fleet.store.refuse = 503
        self._end(
            min(duration_s, 4.0), setattr, self.fleet.store, "refuse", None
        )

    def _one_or_all(self) -> list[NoticeLeaf]:
        if self.rng.random() < 0.25:
            return self.leafs
        return [self.rng.choice(self.leafs)]


def main() -> int:
    """Run the plays of the seeds given; return the exit status."""
    broken = 0
    for seed in range(int(sys.argv[1]), int(sys.argv[2]) + 1):
        play = NoticePlay(seed)
        violations = play.run()
        broken += bool(violations)
        statuses = collections.Counter(
            outcome.status for outcome in play.load.outcomes
        )
        print(seed, dict(statuses), violations[:4], flush=True)
    print(f"{broken} plays with a violation")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
