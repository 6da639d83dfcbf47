"""Plays a history on whole gateways in virtual time."""

from collections.abc import Callable
import itertools
import random
from typing import Any

import attrs
import orjson

from tests.fleet_model import history as model
from tests.fleet_model import judge
from tests.fleet_model.record import Acknowledged
from tests.fleet_model.record import Attempt
from tests.fleet_model.record import Record
from tests.fleet_model.record import Run
from tests.fleet_model.record import Span
from tests.platform import stand_in_documents as documents
from tests.platform.stand_in_leaf import StandInLeaf
from tests.virtual_fleet import FAST_BYTES_PER_S
from tests.virtual_fleet import STORE_ADDRESS
from tests.virtual_fleet import VirtualFleet

STORE = STORE_ADDRESS[0]
SERVICES = ("s0", "s1", "s2")
COPIES = 2
LOAD_PER_S = 40.0
START_S = 8.0
# All disturbances have ended, and all VMs are in touch, so long after the play.
SETTLED_S = 16.0
CALM_S = 3.0
TIMEOUT_MS = 1_500
ATTEMPTS = 3
WORK_S = 0.02
COLD_S = 3.0
# A leaf that leaves goes on serving for the time that the users allow.
SERVES_ON_S = 12.0
# Entries are written again within this time after the store is back.
REWRITE_S = 2.0
ONCE_FRACTION = 0.25


@attrs.define
class ModelLeaf:
    """A leaf of the play.

    Attributes:
        leaf: The stand-in.
        service: Its service.
        data_centre: Its data centre.
        born_ms: Start of its incarnation.
        state: State that its entry names.
        is_gone: Whether it has left, with its entry.
        is_down: Whether no VM can connect to it.
        quiet_until_s: Until when it turns requests away.
        cold_until_s: Until when it is cold.
        rejecting_until_s: Until when it turns requests away without a time for
            which it wants none.
        slow_until_s: Until when it takes `slow_s` for a request.
    """

    leaf: StandInLeaf
    service: str
    data_centre: str
    born_ms: int = 1
    state: str = "ready"
    is_gone: bool = False
    is_down: bool = False
    quiet_until_s: float = 0.0
    cold_until_s: float = 0.0
    rejecting_until_s: float = 0.0
    slow_until_s: float = 0.0
    slow_s: float = 0.0


class FleetPlayer:
    """One play.

    Attributes:
        record: What was seen.
        store_back_s: When a store that is away is back.
        refusing_until_s: Until when the store refuses all calls.
        evacuated: Data centres that are evacuated now.
        written_count: Number of entries that leafs have written.
    """

    def __init__(self, history: model.History) -> None:
        self.history = history
        self.rng = random.Random(history.seed)
        self.record = Record()
        self.version = 0
        self.evacuated: set[str] = set()
        self.store_back_s = 0.0
        self.refusing_until_s = 0.0
        self.fleet = VirtualFleet(self._configuration())
        self.network = self.fleet.network
        self.store = self.fleet.store
        self.store.era = 1
        self.vm_count = 0
        self.written_count = 1
        self.leafs: dict[str, ModelLeaf] = {}
        for service in SERVICES:
            for data_centre in model.DATA_CENTRES:
                for _ in range(COPIES):
                    self._add_leaf(service, data_centre)
        for _ in range(history.vm_count):
            self._add_vm(first_start=True)
        self.record.versions.append(self._acknowledged(self._service()))

    @property
    def now_s(self) -> float:
        """The virtual time."""
        return self.network.reactor.seconds()

    def _later(self, delay_s: float, call: Callable, *args: Any) -> None:
        self.network.reactor.callLater(delay_s, call, *args)

    def _acknowledged(
        self, subject: str, until_s: float = float("inf")
    ) -> Acknowledged:
        return Acknowledged(self.now_s, until_s, subject)

    # VMs

    def _add_vm(self, *, first_start: bool = False) -> None:
        data_centre = model.DATA_CENTRES[self.vm_count % 2]
        vm = f"vm{self.vm_count}"
        self.vm_count += 1
        self.record.vm_trouble[vm].append(Span(self.now_s, self.now_s))
        self.fleet.add_gateway(
            vm,
            FAST_BYTES_PER_S,
            first_start=first_start,
            data_centre=data_centre,
        )

    def _vm(self, number: int) -> str:
        names = list(self.fleet.gateways)
        return names[number % len(names)]

    def _end_vm(self, vm: str) -> None:
        if vm in self.fleet.gateways:
            self.fleet.kill(vm)
            self._add_vm()

    # Leafs

    def _add_leaf(self, service: str, data_centre: str) -> None:
        leaf_id = f"{service}-{len(self.leafs)}"
        stand_in = self.fleet.add_leaf(leaf_id, service, data_centre)
        leaf = ModelLeaf(stand_in, service, data_centre)
        self.leafs[leaf_id] = leaf
        stand_in.behave = lambda request: self._run_request(leaf, request)

    def _run_request(self, leaf: ModelLeaf, request: Any) -> None:
        vm = request.connection.transport.other.host.name
        attempt = request.attempt_id.decode()
        now_s = self.now_s
        left = request.headers.get(b"deadline-ms")
        arrival = Run(
            now_s,
            attempt,
            leaf.leaf.leaf_id,
            leaf.service,
            leaf.data_centre,
            vm,
            None if left is None else float(left),
        )
        if now_s < leaf.quiet_until_s:
            self.record.rejected.append(arrival)
            left_s = leaf.quiet_until_s - now_s
            pair = (leaf.leaf.leaf_id, vm)
            self.record.quiet[pair].append(Span(now_s, leaf.quiet_until_s))
            request.answer(
                b"", 503, Not_Executed="1", Retry_After=f"{left_s:.2f}"
            )
            return
        if now_s < leaf.rejecting_until_s:
            self.record.rejected.append(arrival)
            request.answer(b"", 503, Server_Seal=None, Not_Executed="1")
            return
        self.record.runs.append(arrival)
        is_slow = now_s < leaf.slow_until_s
        self._later(leaf.slow_s if is_slow else WORK_S, self._answer, request)

    def _answer(self, request: Any) -> None:
        if request.connection.transport.connected:
            request.answer(bytes(16))

    def _live_leafs(self) -> list[ModelLeaf]:
        return [
            leaf
            for leaf in self.leafs.values()
            if leaf.state == "ready" and not leaf.is_gone
        ]

    def _leaf(self, number: int) -> ModelLeaf:
        """Return a leaf of the service in use, which gets requests."""
        leafs = [
            leaf
            for leaf in self._live_leafs()
            if leaf.service == self._service()
        ]
        return leafs[number % len(leafs)]

    def _entry(self, leaf: ModelLeaf) -> dict[str, Any]:
        spec = self.fleet.leaf_spec(
            leaf.leaf.leaf_id,
            leaf.service,
            data_centre=leaf.data_centre,
            cold_ms=max(0, round((leaf.cold_until_s - self.now_s) * 1_000)),
        )
        self.written_count += 1
        return spec | {
            "state": leaf.state,
            "born": leaf.born_ms,
            "sequence": self.written_count,
        }

    def _write_entry(self, leaf: ModelLeaf) -> None:
        """Write a leaf's entry once the store is there."""
        if self._retry_when_back(self._write_entry, leaf):
            return
        leaf_id = leaf.leaf.leaf_id
        if leaf.is_gone:
            if leaf_id in self.store.objects.get("servers", {}):
                self.store.delete("servers", leaf_id)
            return
        self.store.put("servers", leaf_id, self._entry(leaf))

    def _retry_when_back(self, call: Callable, *args: Any) -> bool:
        wait_s = self.store_back_s - self.now_s
        if wait_s > 0.0:
            self._later(wait_s + 0.1, call, *args)
            return True
        return False

    def _make_cold(self, leaf: ModelLeaf) -> None:
        leaf.cold_until_s = self.now_s + COLD_S
        leaf.leaf.health_cold_ms = round(COLD_S * 1_000)
        span = Span(self.now_s, leaf.cold_until_s)
        self.record.cold[leaf.leaf.leaf_id].append(span)
        self._later(COLD_S, self._warm_up, leaf)

    def _warm_up(self, leaf: ModelLeaf) -> None:
        if self.now_s >= leaf.cold_until_s:
            leaf.leaf.health_cold_ms = 0
            self._write_entry(leaf)

    def _set_reachable(self, leaf: ModelLeaf, *, is_reachable: bool) -> None:
        leaf_id = leaf.leaf.leaf_id
        leaf.is_down = not is_reachable
        if not is_reachable:
            self.record.leaf_ends[leaf_id].append(self.now_s)
        for vm in self.fleet.hosts:
            is_cut = any(
                self.now_s < span.end_s for span in self.record.vm_cuts[vm]
            )
            if is_reachable and not is_cut:
                self.network.accept(vm, leaf_id)
            elif is_reachable:
                continue
            else:
                self.network.refuse(vm, leaf_id)
                self.network.reset_connections(vm, leaf_id)

    # The operator

    def _service(self) -> str:
        return SERVICES[self.version % len(SERVICES)]

    def _configuration(self) -> dict[str, Any]:
        routes = [
            documents.route_spec(
                "one", service=self._service(), attempts=ATTEMPTS
            ),
            documents.route_spec(
                "once", service=self._service(), type=documents.NON_IDEMPOTENT
            ),
        ]
        return documents.configuration_spec(self.version + 1, routes, SERVICES)

    def _configure(self) -> None:
        if self._retry_when_back(self._configure):
            return
        self.version += 1
        self.fleet.configure(self._configuration())
        self.record.versions.append(self._acknowledged(self._service()))

    def _evacuate(self, event: model.Evacuate) -> None:
        if self._retry_when_back(self._evacuate, event):
            return
        data_centre = model.DATA_CENTRES[event.data_centre]
        if self.evacuated:
            return
        self.evacuated.add(data_centre)
        self.store.put("evacuations", data_centre, {})
        self._later(event.for_s, self._readmit, event, self.now_s)

    def _readmit(self, event: model.Evacuate, since_s: float) -> None:
        if self._retry_when_back(self._readmit, event, since_s):
            return
        data_centre = model.DATA_CENTRES[event.data_centre]
        if event.is_cold_after:
            for leaf in self._live_leafs():
                if leaf.data_centre == data_centre:
                    self._make_cold(leaf)
                    self._write_entry(leaf)
        self.evacuated.remove(data_centre)
        if data_centre in self.store.objects.get("evacuations", {}):
            self.store.delete("evacuations", data_centre)
        self.record.evacuations.append(
            Acknowledged(since_s, self.now_s, data_centre)
        )

    # Events

    def _apply(self, event: model.Event) -> None:
        match event:
            case model.CutFromStore(number, for_s, way):
                self._cut_from_store(self._vm(number), for_s, way)
            case model.CutFromVm(sender, receiver, for_s):
                pair = (self._vm(sender), self._vm(receiver))
                if pair[0] != pair[1]:
                    self.network.cut(*pair)
                    self._later(for_s, self._heal, *pair)
            case model.CutFromLeafs(numbers, for_s, way):
                for vm in {self._vm(number) for number in numbers}:
                    self._cut_from_leafs(vm, for_s, way)
            case model.SlowLeafs(every, work_s, for_s):
                for leaf in self._live_leafs()[::every]:
                    leaf.slow_s = work_s
                    leaf.slow_until_s = self.now_s + for_s
            case model.RejectingLeafs(every, for_s):
                for leaf in self._live_leafs()[::every]:
                    leaf.rejecting_until_s = self.now_s + for_s
            case model.ResetStoreConnections(numbers):
                for vm in {self._vm(number) for number in numbers}:
                    self._reset_store_connections(vm)
            case model.SilenceConnections(numbers, target, every):
                vms = sorted({self._vm(number) for number in numbers})
                self._silence_connections(vms, target, every)
            case model.DropHistory():
                self.record.store_trouble.append(Span(self.now_s, self.now_s))
                self.store.forget()
                self.network.reset_connections(STORE, STORE)
                for vm in self.fleet.gateways:
                    self.network.reset_connections(vm, STORE)
            case model.StoreAway(for_s, is_silent):
                self._let_store_away(for_s, is_silent=is_silent)
            case model.StoreRefuses(number, for_s, status):
                self._refuse_vm(self._vm(number), for_s, status)
            case model.RestoreStore(age_s):
                copy = self.store.make_copy()
                self._later(age_s, self._restore, copy)
            case model.Configure():
                self._configure()
            case model.Evacuate():
                self._evacuate(event)
            case model.DrainLeaf(number):
                self._drain(self._leaf(number))
            case model.RestartLeaf(number, down_s):
                leaf = self._leaf(number)
                self._set_reachable(leaf, is_reachable=False)
                self._later(down_s, self._restart_leaf, leaf)
            case model.AskForQuiet(number, quiet_s):
                self._leaf(number).quiet_until_s = self.now_s + quiet_s
            case model.WriteOddEntry(number):
                content = orjson.Fragment(model.ODD_CONTENTS[number])
                self.store.put("servers", f"odd-{number}", content)
            case model.KillVm(number):
                self._end_vm(self._vm(number))
            case model.StopVm(number):
                self._stop(self._vm(number))

    def _cut_from_store(self, vm: str, for_s: float, way: str) -> None:
        trouble = Span(self.now_s, self.now_s + for_s)
        self.record.vm_trouble[vm].append(trouble)
        pairs = {"to": [(vm, STORE)], "from": [(STORE, vm)]}
        for pair in pairs.get(way, [(vm, STORE), (STORE, vm)]):
            self.network.cut(*pair)
            self._later(for_s, self._heal, *pair)

    def _cut_from_leafs(self, vm: str, for_s: float, way: str) -> None:
        end_s = self.now_s + for_s
        self.record.vm_cuts[vm].append(Span(self.now_s, end_s))
        for leaf_id in self.leafs:
            if way == "lose":
                self.network.cut(vm, leaf_id)
                self.network.cut(leaf_id, vm)
            else:
                self.network.refuse(vm, leaf_id)
            if way == "reset":
                self.network.reset_connections(vm, leaf_id)
        self._later(for_s, self._end_cut_from_leafs, vm)

    def _end_cut_from_leafs(self, vm: str) -> None:
        if any(self.now_s < span.end_s for span in self.record.vm_cuts[vm]):
            return
        for leaf_id, leaf in self.leafs.items():
            if self.network.is_cut(vm, leaf_id):
                # What the cut held is lost with its connection.
                self.network.reset_connections(vm, leaf_id)
            self._heal(vm, leaf_id)
            self._heal(leaf_id, vm)
            if not leaf.is_gone and not leaf.is_down:
                self.network.accept(vm, leaf_id)

    def _heal(self, sender: str, receiver: str) -> None:
        if self.network.is_cut(sender, receiver):
            self.network.heal(sender, receiver)

    def _reset_store_connections(self, vm: str) -> None:
        self.record.vm_trouble[vm].append(Span(self.now_s, self.now_s))
        self.network.reset_connections(vm, STORE)

    def _silence_connections(
        self, vms: list[str], target: str, every: int
    ) -> None:
        """Count as a reset of the connections of all VMs, as the rules do."""
        for vm in self.fleet.gateways:
            self.record.vm_trouble[vm].append(Span(self.now_s, self.now_s))
        others = {
            "store": [STORE],
            "vms": list(self.fleet.gateways),
            "leafs": list(self.leafs),
        }[target]
        count = itertools.count()
        for vm in vms:
            for other in others:
                self.network.silence_connections(
                    vm, other, lambda transport: next(count) % every == 0
                )

    def _let_store_away(self, for_s: float, *, is_silent: bool) -> None:
        end_s = self.now_s + for_s
        self.record.store_trouble.append(Span(self.now_s, end_s))
        self.store_back_s = max(self.store_back_s, end_s)
        if not is_silent:
            self.store.refuse = 503
            self.refusing_until_s = max(self.refusing_until_s, end_s)
            self._later(for_s, self._serve_again)
            return
        for vm in list(self.fleet.gateways):
            for pair in ((vm, STORE), (STORE, vm)):
                self.network.cut(*pair)
                self._later(for_s, self._heal, *pair)

    def _serve_again(self) -> None:
        if self.now_s >= self.refusing_until_s:
            self.store.refuse = None

    def _refuse_vm(self, vm: str, for_s: float, status: int) -> None:
        self.record.store_trouble.append(Span(self.now_s, self.now_s + for_s))
        handle = self.store.handle

        def refuse(request: Any) -> None:
            if request.transport.other.host.name == vm:
                request.send(status, {})
            else:
                handle(request)

        self.store.handle = refuse

        def end() -> None:
            if self.store.handle is refuse:
                self.store.handle = handle
            else:
                nonlocal vm
                vm = ""

        self._later(for_s, end)

    def _restore(self, copy: Any) -> None:
        if self._retry_when_back(self._restore, copy):
            return
        span = Span(self.now_s, self.now_s + REWRITE_S)
        self.record.store_trouble.append(span)
        self.store.restore(copy)
        for leaf in self.leafs.values():
            self._later(
                self.rng.uniform(0.2, REWRITE_S), self._write_entry, leaf
            )
        self._later(self.rng.uniform(0.2, REWRITE_S), self._write_again)

    def _write_again(self) -> None:
        if self._retry_when_back(self._write_again):
            return
        self.fleet.configure(self._configuration())
        stored = self.store.objects.get("evacuations", {})
        for data_centre in model.DATA_CENTRES:
            if data_centre in self.evacuated:
                self.store.put("evacuations", data_centre, {})
            elif data_centre in stored:
                self.store.delete("evacuations", data_centre)

    def _drain(self, leaf: ModelLeaf) -> None:
        if self._retry_when_back(self._drain, leaf):
            return
        self._add_leaf(leaf.service, leaf.data_centre)
        leaf.state = "draining"
        self._write_entry(leaf)
        leaf_id = leaf.leaf.leaf_id
        self.record.drained.append(self._acknowledged(leaf_id))
        self._later(SERVES_ON_S, self._end_leaf, leaf)

    def _end_leaf(self, leaf: ModelLeaf) -> None:
        leaf.is_gone = True
        self._set_reachable(leaf, is_reachable=False)
        self._write_entry(leaf)

    def _restart_leaf(self, leaf: ModelLeaf) -> None:
        if leaf.is_gone:
            return
        leaf.born_ms += 1
        leaf.quiet_until_s = 0.0
        self.record.restarts[leaf.leaf.leaf_id].append(self.now_s)
        self._make_cold(leaf)
        self._set_reachable(leaf, is_reachable=True)
        self._write_entry(leaf)

    def _stop(self, vm: str) -> None:
        process = self.fleet.gateways[vm]
        if process.parts.stop.is_stopping:
            return
        self.record.vm_trouble[vm].append(Span(self.now_s))
        process.on_exit = lambda: self._end_vm(vm)
        process.plan_stop()

    # The play

    def run(self) -> list[str]:
        """Run the play; return the violations."""
        self.network.run_for(START_S)
        for timed in self.history.events:
            self._later(timed.at_s, self._apply, timed.event)
        self._load(model.PLAY_S + SETTLED_S)
        calm_from_s = self.now_s
        self._load(CALM_S)
        self.network.run_for(TIMEOUT_MS / 1_000.0 + 1.0)
        return judge.judge(self.record, calm_from_s)

    def _load(self, seconds: float) -> None:
        for _ in range(round(LOAD_PER_S * seconds)):
            self._send()
            self.network.run_for(1.0 / LOAD_PER_S)

    def _send(self) -> None:
        name = f"a{len(self.record.attempts)}"
        is_once = self.rng.random() < ONCE_FRACTION
        vm = self.rng.choice(list(self.fleet.gateways))
        attempt = Attempt(
            "once" if is_once else "one",
            self.now_s,
            vm,
            service=self._service(),
            attempts=1 if is_once else ATTEMPTS,
            timeout_ms=TIMEOUT_MS,
        )
        self.record.attempts[name] = attempt

        def done(response: Any) -> None:
            attempt.status = getattr(response, "status", None)

        data = documents.caller_request(
            "POST" if is_once else "GET",
            f"/{attempt.route}/x{name}",
            name,
            TIMEOUT_MS,
        )
        self.fleet.client(vm).send(data, TIMEOUT_MS + 500.0, done)


def play(history: model.History) -> list[str]:
    """Play a history; return the violations of the users' rules."""
    return FleetPlayer(history).run()
