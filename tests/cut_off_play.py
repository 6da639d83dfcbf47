"""Random plays of VMs that lose all leafs, beside other disruptions.

Run many by hand: `python -m tests.cut_off_play FIRST LAST`.
"""

import collections
import random
import sys
from typing import Any

import attrs

from tests.platform import stand_in_documents as documents
from tests.virtual_fleet import FAST_BYTES_PER_S
from tests.virtual_fleet import VirtualFleet

SHARDS = ("s0", "s1", "s2", "s3")
COPIES = 2
DATA_CENTRES = ("dc-a", "dc-b")
VM_COUNT = 7
LOAD_PER_S = 80.0
PLAY_S = 30.0
CALM_S = 5.0
WORK_S = 0.02
SLOW_FACTOR = 6.0
CUT_COUNT = 3
OTHER_COUNT = 4
TIMEOUT_MS = 1_500
# How a VM loses leafs: hangs, resets, or keeps open connections only.
MODES = ("silent", "reset", "refuse")
ONCE_FRACTION = 0.2
# Bounds of the users' rule.
CONTACT_S = 5.0
MIN_SERVED_RATIO = 2.0 / 3.0
ALLOWED_FAILURES = 10
ALLOWED_FAILURE_FRACTION = 1.0 / 50.0
NOT_RUN_STATUSES = (408, 421, 429, 503)


@attrs.define
class Sent:
    """A caller's first try.

    Attributes:
        route: Name of the route.
        sent_s: When it was sent.
        is_cut: Whether its VM had been cut off from all leafs for the time
            from which the rule counts; None if it doesn't count at all.
        status: HTTP status, or None without a response.
    """

    route: str
    sent_s: float
    is_cut: bool | None
    status: int | None = None


class CutOffPlay:
    """One play.

    Attributes:
        cut_since_s: When each VM that is cut off now lost all leafs.
        disturbed: VMs that are stopping.
        sent: First tries by attempt.
        runs: Runs by attempt.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.version = 1
        self.fleet = VirtualFleet(self._configuration())
        self.network = self.fleet.network
        self.cut_since_s: dict[str, float] = {}
        self.disturbed: set[str] = set()
        self.blocked: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self.sent: dict[str, Sent] = {}
        self.runs: collections.Counter[str] = collections.Counter()
        self.work_s = WORK_S
        self.leaf_count = 0
        self.vm_count = 0
        for shard in SHARDS:
            for data_centre in DATA_CENTRES:
                for _ in range(COPIES):
                    self._add_leaf(shard, data_centre)
        for _ in range(VM_COUNT):
            self._add_vm(first_start=True)
        self.network.run_for(5.0)

    def _configuration(self) -> dict[str, Any]:
        gather = documents.gather_fields(SHARDS, 10, 0.9)
        routes = [
            documents.route_spec("all", **gather),
            documents.route_spec("one", service=SHARDS[0]),
            documents.route_spec(
                "once", service=SHARDS[0], type=documents.NON_IDEMPOTENT
            ),
        ]
        return documents.configuration_spec(self.version, routes, SHARDS)

    @property
    def now_s(self) -> float:
        """The virtual time."""
        return self.network.reactor.seconds()

    # Machines

    def _add_vm(self, *, first_start: bool = False) -> None:
        data_centre = DATA_CENTRES[self.vm_count % len(DATA_CENTRES)]
        self.fleet.add_gateway(
            f"vm{self.vm_count}",
            FAST_BYTES_PER_S,
            first_start=first_start,
            data_centre=data_centre,
        )
        self.vm_count += 1

    def _add_leaf(self, shard: str, data_centre: str) -> None:
        leaf_id = f"{shard}-{self.leaf_count}"
        self.leaf_count += 1
        leaf = self.fleet.add_leaf(leaf_id, shard, data_centre)
        leaf.behave = self._run_request
        for vm, mode in [(vm, m) for vm, leaf, m in self.blocked if not leaf]:
            self._block(vm, leaf_id, mode)

    def _run_request(self, request: Any) -> None:
        self.runs[request.attempt_id.decode()] += 1
        self.network.reactor.callLater(self.work_s, request.answer, bytes(16))

    # Cuts

    def _block(self, vm: str, leaf_id: str, mode: str) -> None:
        self.blocked[vm, leaf_id, mode] += 1
        if mode == "silent":
            self.network.cut(vm, leaf_id)
            self.network.cut(leaf_id, vm)
        else:
            self.network.refuse(vm, leaf_id)
        if mode == "reset":
            self.network.reset_connections(vm, leaf_id)

    def _unblock(self, vm: str, leaf_id: str, mode: str) -> None:
        self.blocked[vm, leaf_id, mode] -= 1
        if self.blocked[vm, leaf_id, mode] > 0:
            return
        del self.blocked[vm, leaf_id, mode]
        if mode == "silent":
            self.network.heal(vm, leaf_id)
            self.network.heal(leaf_id, vm)
        elif not any((vm, leaf_id, m) in self.blocked for m in MODES):
            self.network.accept(vm, leaf_id)

    def cut_off(self, duration_s: float) -> None:
        """Cut VMs of one data centre, or of all, off from all leafs."""
        vms = [vm for vm in self.fleet.gateways if vm not in self.cut_since_s]
        if self.rng.random() < 0.5:
            place = self.rng.choice(DATA_CENTRES)
            vms = [
                vm
                for vm in vms
                if self.fleet.gateways[vm].settings.data_centre == place
            ]
        share = self.rng.choice((0.3, 0.6, 1.0))
        vms = self.rng.sample(vms, round(share * len(vms)))
        mode = self.rng.choice(MODES)
        for vm in vms:
            self.cut_since_s[vm] = self.now_s
            # Also for leafs that start meanwhile.
            self.blocked[vm, "", mode] += 1
            for leaf_id in list(self.fleet.leafs):
                self._block(vm, leaf_id, mode)
        self._later(max(duration_s, CONTACT_S + 2.0), self._heal, vms, mode)

    def _heal(self, vms: list[str], mode: str) -> None:
        for vm in vms:
            self.cut_since_s.pop(vm, None)
            del self.blocked[vm, "", mode]
            pairs = [key for key in self.blocked if key[0] == vm]
            for _, leaf_id, its_mode in pairs:
                if its_mode == mode:
                    self._unblock(vm, leaf_id, mode)

    # Other disruptions

    def stop(self, duration_s: float) -> None:
        """Stop a VM as planned; another one starts."""
        vm = self._choose_vm()
        process = self.fleet.gateways[vm]
        self.disturbed.add(vm)

        def exit_process() -> None:
            if vm in self.fleet.gateways:
                self._end_vm(vm)

        process.on_exit = exit_process
        process.plan_stop()

    def kill(self, duration_s: float) -> None:
        """Let a VM lose its power; another one starts."""
        self._end_vm(self._choose_vm())

    def _end_vm(self, vm: str) -> None:
        self.cut_since_s.pop(vm, None)
        self.disturbed.discard(vm)
        self.fleet.kill(vm)
        self._add_vm()

    def _choose_vm(self) -> str:
        vms = [vm for vm in self.fleet.gateways if vm not in self.disturbed]
        return self.rng.choice(vms)

    def store_away(self, duration_s: float) -> None:
        """Let the store refuse all calls for a time."""
        self.fleet.store.refuse = 503
        self._later(
            min(duration_s, 5.0), setattr, self.fleet.store, "refuse", None
        )

    def slow_leafs(self, duration_s: float) -> None:
        """Let all leafs work slowly for a time."""
        self.work_s = SLOW_FACTOR * WORK_S
        self._later(duration_s, setattr, self, "work_s", WORK_S)

    def replace_leaf(self, duration_s: float) -> None:
        """Start a leaf and let one of its service leave."""
        leaf_id = self.rng.choice(list(self.fleet.store.objects["servers"]))
        shard = leaf_id.partition("-")[0]
        self._add_leaf(shard, self.rng.choice(DATA_CENTRES))
        self.fleet.store.delete("servers", leaf_id)

    def reconfigure(self, duration_s: float) -> None:
        """Write the configuration as a new version."""
        self.version += 1
        self.fleet.configure(self._configuration())

    # The play

    def _later(self, delay_s: float, call: Any, *args: Any) -> None:
        self.network.reactor.callLater(delay_s, call, *args)

    def run(self) -> list[str]:
        """Run the play; return the violations."""
        others = [
            self.stop,
            self.kill,
            self.store_away,
            self.slow_leafs,
            self.replace_leaf,
            self.reconfigure,
        ]
        for _ in range(CUT_COUNT):
            self._schedule(self.cut_off)
        for _ in range(OTHER_COUNT):
            self._schedule(self.rng.choice(others))
        self._load(PLAY_S)
        # The last cuts end, then all must be well.
        self._load(CALM_S + 2.0 * CONTACT_S)
        calm_from_s = self.now_s
        self._load(CALM_S)
        self.network.run_for(TIMEOUT_MS / 1_000.0 + 1.0)
        return [
            *self._judge_recover(),
            *self._judge_runs(),
            *self._judge_calm(calm_from_s),
        ]

    def _schedule(self, event: Any) -> None:
        start_s = self.rng.uniform(0.0, 0.6 * PLAY_S)
        self._later(start_s, event, self.rng.uniform(2.0, PLAY_S - start_s))

    def _load(self, seconds: float) -> None:
        for _ in range(round(LOAD_PER_S * seconds)):
            self._send()
            self.network.run_for(1.0 / LOAD_PER_S)

    def _send(self) -> None:
        attempt = f"a{len(self.sent)}"
        route = self.rng.choice(("all", "one"))
        if self.rng.random() < ONCE_FRACTION:
            route = "once"
        vm = self._choose_vm()
        sent = Sent(route, self.now_s, self._classify(vm))
        self.sent[attempt] = sent

        def done(response: Any) -> None:
            sent.status = getattr(response, "status", None)

        method = "POST" if route == "once" else "GET"
        path = f"/{route}/{attempt}"
        data = documents.caller_request(method, path, attempt, TIMEOUT_MS)
        self.fleet.client(vm).send(data, TIMEOUT_MS + 500.0, done)

    def _classify(self, vm: str) -> bool | None:
        """Return whether a VM is one of those that the rule compares."""
        since = self.cut_since_s
        if not any(self.now_s - at_s >= CONTACT_S for at_s in since.values()):
            return None
        # While all VMs are cut off, none can serve.
        if not any(
            process.ready and other not in since
            for other, process in self.fleet.gateways.items()
        ):
            return None
        if vm not in since:
            return False
        return True if self.now_s - since[vm] >= CONTACT_S else None

    def _judge_recover(self) -> list[str]:
        served = {True: 0, False: 0}
        counts = {True: 0, False: 0}
        for sent in self.sent.values():
            if sent.is_cut is not None:
                counts[sent.is_cut] += 1
                served[sent.is_cut] += sent.status == 200
        if not counts[True] or not counts[False]:
            return []
        ratio_cut = served[True] / counts[True]
        ratio_others = served[False] / counts[False]
        failed = counts[True] - served[True]
        allowed = ALLOWED_FAILURES + ALLOWED_FAILURE_FRACTION * sum(
            counts.values()
        )
        if ratio_cut < MIN_SERVED_RATIO * ratio_others and failed > allowed:
            return [f"cut off VMs served {served} of {counts}"]
        return []

    def _judge_runs(self) -> list[str]:
        violations = []
        for attempt, sent in self.sent.items():
            runs = self.runs[attempt]
            if sent.route == "once" and runs > 1:
                violations.append(f"{attempt} ran {runs} times")
            if sent.route != "all" and sent.status in NOT_RUN_STATUSES and runs:
                violations.append(f"{attempt} was called unrun and had run")
        return violations

    def _judge_calm(self, from_s: float) -> list[str]:
        return [
            f"{attempt} {sent.route} got {sent.status} after all cuts"
            for attempt, sent in self.sent.items()
            if sent.sent_s >= from_s and sent.status != 200
        ]


def main() -> int:
    """Run the plays of the seeds given; return the exit status."""
    broken = 0
    for seed in range(int(sys.argv[1]), int(sys.argv[2]) + 1):
        play = CutOffPlay(seed)
        violations = play.run()
        broken += bool(violations)
        groups = collections.Counter(
            (sent.is_cut, sent.status) for sent in play.sent.values()
        )
        print(seed, dict(groups), violations[:4], flush=True)
    print(f"{broken} plays with a violation")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
