"""Coordinators and quarantine gates of several VMs, in virtual time.

Leaf models stand in for the leafs; `CRASHING_BODY` crashes a leaf model.
"""

import itertools
import random

from twisted.internet import task

from oriolegate.coordinator import messages
from oriolegate.coordinator.coordinator import Coordinator
from oriolegate.models.policy import ServicePolicy
from oriolegate.models.request import CallerRequest
from oriolegate.models.topology import IndexVersion
from oriolegate.models.topology import Leaf
from oriolegate.models.topology import ServiceTopology
from oriolegate.quarantine.quarantine import Quarantine
from oriolegate.quarantine.settings import QuarantineSettings
from oriolegate.runtime.quarantine_gate import QuarantineGate
from oriolegate.runtime.query_runner import QueryRunner
from oriolegate.standins.leaf_messages import CloseConnections
from oriolegate.standins.leaf_messages import LeafSettings
from oriolegate.standins.leaf_messages import Respond
from oriolegate.standins.leaf_messages import RunUntil
from oriolegate.standins.leaf_model import LeafModel
from oriolegate.standins.leaf_model import Query
from oriolegate.standins.run_ledger import RunLedger
from oriolegate.timeline.events import EventBuffer
from oriolegate.upstreams.leaf_state import Grant
from oriolegate.upstreams.leaf_state import LeafPhase
from oriolegate.upstreams.leaf_state import ReportedState
from oriolegate.upstreams.leaf_table import LeafTable

SERVICE = "desk"
LEAF_LATENCY_MS = 0.5
PEER_LATENCY_MS = (0.5, 20.0)  # shortest and longest
CRASHING_BODY = b"crash-upstream"


class Vm:
    """One VM: a query runner, its quarantine gate, and leaf connections."""

    def __init__(self, site, name, topology, grant):
        self.site = site
        events = EventBuffer(name, 0.0)
        self.table = LeafTable("dc", events)
        self.table.set_topology(0.0, topology)
        self.table.set_grant(0.0, SERVICE, grant)
        for state in self.table.leafs.values():
            state.incarnation = 1
            state.set_phase(LeafPhase.WARM)
        coordinator = Coordinator(self.table, events)
        self.runner = QueryRunner(coordinator, site, site.reactor.callLater)
        self.runner.sender = self
        self.gate = self.runner.quarantine = QuarantineGate(
            Quarantine(name, QuarantineSettings()),
            site,
            site.reactor.callLater,
            events,
            self.runner.feed,
        )
        self.idle = {leaf: [] for leaf in topology.leafs}
        self.busy = {}

    def submit(self, request, policy=None):
        outcomes = []
        self.runner.receivers[request.request_id] = outcomes.append
        policy = policy or ServicePolicy()
        self.runner.submit_query(
            messages.QueryArrived(request, SERVICE, policy)
        )
        return outcomes

    def send(self, effect):
        idle = self.idle[effect.leaf]
        opened = not idle
        number = next(self.site.numbers) if opened else idle.pop()
        self.busy[number] = effect
        self.site.connections[number] = (self, effect.leaf)
        self.site.schedule(
            LEAF_LATENCY_MS, self.site.deliver, number, opened, effect
        )

    def cancel(self, effect):
        sub = effect.sub
        model = self.site.models[effect.leaf]
        key = (str((id(self), sub.query)), sub.shard, sub.attempt)
        self.site.carry_out(model, model.on_cancel_arrived, *key)

    def on_answer(self, number, effect):
        in_flight = self.busy.pop(number, None)
        if in_flight is None:
            return
        self.idle[in_flight.leaf].append(number)
        state = ReportedState(effect.state.value)
        report = messages.LeafReport(in_flight.leaf, state, effect.incarnation)
        if effect.status == 200:
            event = messages.SubAnswered(in_flight.sub, report, 1, [])
        elif effect.not_run:
            event = messages.SubNotRun(in_flight.sub, report, effect.not_run)
        else:
            event = messages.SubFailed(in_flight.sub, report)
        self.runner.sub_request_finished(event)

    def on_connection_lost(self, number, leaf):
        in_flight = self.busy.pop(number, None)
        if number in self.idle[leaf]:
            self.idle[leaf].remove(number)
        self.runner.connection_lost(leaf)
        if in_flight is not None:
            self.runner.sub_request_finished(
                messages.SubLost(in_flight.sub, leaf)
            )

    def on_connection_rejected(self, number, leaf):
        in_flight = self.busy.pop(number)
        self.runner.connect_failed(leaf)
        self.runner.sub_request_finished(
            messages.SubUnsent(in_flight.sub, leaf)
        )


class CrashingSite:
    """VMs, and upstreams of one leaf each, on one virtual clock."""

    def __init__(self, vms, upstreams, seed=1):
        self.reactor = task.Clock()
        self.random = random.Random(seed)
        self.numbers = itertools.count(1)
        self.connections = {}
        names = [f"up-{number}" for number in range(upstreams)]
        ledger = RunLedger()
        self.models = {}
        for name in names:
            settings = LeafSettings(name, slots=2 * vms, cold_slots=vms)
            self.models[name] = LeafModel(settings, ledger, self.random)
            self.models[name].serve(1, range(upstreams))
        shards = tuple(
            (name, names[(number + 1) % upstreams])
            for number, name in enumerate(names)
        )
        leafs = {
            name: Leaf(name, "127.0.0.1", 1, "dc", name, 2 * vms, 35, vms)
            for name in names
        }
        versions = {1: IndexVersion(1, shards)}
        topology = ServiceTopology(SERVICE, 1, leafs, versions, 1)
        vm_names = tuple(f"vm-{number}" for number in range(vms))
        self.vms = {
            name: Vm(self, name, topology, Grant(2, 35 // vms, 1))
            for name in vm_names
        }
        for name, vm in self.vms.items():
            vm.gate.on_members_changed(vm_names)
            self.connect_peers(name, vm.gate)

    def connect_peers(self, sender, gate):
        arrivals_ms = dict.fromkeys(self.vms, 0.0)

        def send_to_peer(receiver, message):
            target = self.vms[receiver].gate
            due_ms = self.now_ms() + self.random.uniform(*PEER_LATENCY_MS)
            # A link delivers its messages in the order of sending.
            due_ms = max(due_ms, arrivals_ms[receiver] + 0.001)
            arrivals_ms[receiver] = due_ms
            delay_ms = due_ms - self.now_ms()
            self.schedule(delay_ms, target.on_peer_message, sender, message)

        def broadcast(message):
            for receiver in self.vms:
                if receiver != sender:
                    send_to_peer(receiver, message)

        gate.send_to_peer = send_to_peer
        gate.broadcast = broadcast

    def now_ms(self):
        return self.reactor.seconds() * 1_000.0

    def schedule(self, delay_ms, call, *arguments):
        self.reactor.callLater(delay_ms / 1_000.0, call, *arguments)

    def run(self, until_ms):
        while self.reactor.calls:
            due_s = self.reactor.calls[0].getTime()
            if due_s * 1_000.0 > until_ms:
                break
            self.reactor.advance(max(0.0, due_s - self.reactor.seconds()))

    def carry_out(self, model, call, *arguments):
        for effect in call(self.now_ms(), *arguments):
            match effect:
                case Respond(query):
                    vm, _ = self.connections[query.connection]
                    self.schedule(
                        LEAF_LATENCY_MS, vm.on_answer, query.connection, effect
                    )
                case RunUntil(query, due_ms):
                    delay_ms = max(0.0, due_ms - self.now_ms())
                    self.schedule(
                        delay_ms,
                        self.carry_out,
                        model,
                        model.on_run_done,
                        query,
                    )
                case CloseConnections(numbers):
                    for number in numbers:
                        vm, leaf = self.connections[number]
                        self.schedule(
                            LEAF_LATENCY_MS, vm.on_connection_lost, number, leaf
                        )

    def deliver(self, number, opened, effect):
        vm, leaf = self.connections[number]
        model = self.models[leaf]
        if opened and model.on_connection_opened(self.now_ms(), number):
            self.schedule(
                LEAF_LATENCY_MS, vm.on_connection_rejected, number, leaf
            )
            return
        if number not in model.connections:
            return
        query = Query(
            number,
            str((id(vm), effect.sub.query)),
            effect.sub.shard,
            effect.sub.attempt,
            effect.index_version,
            self.now_ms() + effect.deadline_ms,
            self.now_ms(),
            effect.idempotency_key,
            effect.body,
        )
        self.carry_out(model, model.on_query_arrived, query)

    def submit(self, vm, body, **fields):
        request_id = f"r{next(self.numbers)}"
        request = CallerRequest(request_id, "caller", "route", body, **fields)
        return self.vms[vm].submit(request)

    def crash_counts(self):
        """Return the number of crashes of each upstream that crashed."""
        crashes = {n: m.counts.crashes for n, m in self.models.items()}
        return {name: count for name, count in crashes.items() if count}
