"""Stateful property test of document gossip under message and store faults.

The state machine delivers, loses, duplicates and reorders messages and store
responses, pauses and restarts processes and cuts links.
"""

import unittest

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from oriolegate.configuration import effects
from oriolegate.configuration import messages
from oriolegate.configuration.document_gossip import DocumentGossip
from oriolegate.membership.effects import Send

VMS = {"vm-1": "scl-a", "vm-2": "scl-a", "vm-3": "anf-a", "vm-4": "anf-a"}
KEYS = (
    messages.DocumentKey("rules", "accepted"),
    messages.DocumentKey("topology", "cobro-core"),
)
RULES = KEYS[0]
HEAL_TICKS = 40
TICK_MS = 500.0

vms = strategies.sampled_from(sorted(VMS))
positions = strategies.integers(min_value=0, max_value=10_000)


class GossipMachine(stateful.RuleBasedStateMachine):
    """Four processes, the store, and messages and reads in transit."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.incarnations = dict.fromkeys(VMS, 1)
        self.store = {}
        self.store_up = True
        self.history = {}
        self.messages = []
        self.reads = []
        self.digests = {}
        self.seen = {}
        self.everywhere = 0
        self.asked = []
        self.cut = set()
        self.nodes = {vm: self.make_node(vm) for vm in VMS}
        self.take_census()
        for vm in VMS:
            self.link_all(vm)

    def make_node(self, vm):
        self.digests[vm] = ()
        for key in KEYS:
            self.seen[vm, key] = 0
        return DocumentGossip(vm, self.incarnations[vm], VMS[vm])

    def take_census(self):
        entries = tuple(
            effects.PossibleMember(vm, VMS[vm], self.incarnations[vm], True)
            for vm in VMS
        )
        for vm in VMS:
            self.step(vm, effects.MembersUpdated(entries))

    def step(self, vm, event):
        for effect in self.nodes[vm].step(self.now_ms, event):
            match effect:
                case Send(vm=peer, message=message):
                    self.messages.append((vm, peer, message))
                case effects.DigestsChanged(digests=digests):
                    self.digests[vm] = digests
                case effects.ReadStore(kind=kind):
                    self.asked.append((vm, kind))
                case effects.DocumentAccepted(document=document):
                    self.check_accepted(vm, document)

    def check_accepted(self, vm, document):
        key = document.key
        assert document.version > self.seen[vm, key], "a version fell"
        self.seen[vm, key] = document.version
        written = self.history[key, document.version]
        assert document.payload == written, "a version was never accepted"

    def link_all(self, vm):
        for peer in VMS:
            if peer != vm and frozenset((vm, peer)) not in self.cut:
                self.step(vm, effects.PeerLinked(peer))

    def deliver_at(self, index):
        sender, receiver, message = self.messages[index]
        if frozenset((sender, receiver)) not in self.cut:
            self.step(receiver, effects.Received(sender, message))

    @stateful.rule(
        vm=vms,
        key=strategies.sampled_from(KEYS),
        answer_lost=strategies.booleans(),
    )
    def write(self, vm, key, answer_lost):
        if not self.store_up:
            return
        version = self.store.get(key, (0, b""))[0] + 1
        payload = f"{key.name} {version} by {vm}".encode()
        self.store[key] = (version, payload)
        self.history[key, version] = payload
        if not answer_lost:
            document = messages.VersionedDocument(key, version, payload)
            self.step(vm, effects.DocumentWritten(document))

    @stateful.rule(vm=vms)
    def start_store_read(self, vm):
        if self.store_up:
            self.reads.append((vm, self.incarnations[vm], self.snapshot()))

    def snapshot(self):
        return [
            effects.StoreRead(
                kind,
                tuple(
                    messages.VersionedDocument(key, *held)
                    for key, held in self.store.items()
                    if key.kind == kind
                ),
                complete=True,
            )
            for kind in ("rules", "topology")
        ]

    @stateful.precondition(lambda self: self.reads)
    @stateful.rule(position=positions)
    def finish_store_read(self, position):
        index = position % len(self.reads)
        vm, incarnation, events = self.reads.pop(index)
        if self.incarnations[vm] == incarnation:
            for event in events:
                self.step(vm, event)

    @stateful.precondition(lambda self: self.messages)
    @stateful.rule(position=positions, doubled=strategies.booleans())
    def deliver(self, position, doubled):
        index = position % len(self.messages)
        self.deliver_at(index)
        if not doubled:
            del self.messages[index]

    @stateful.precondition(lambda self: self.messages)
    @stateful.rule()
    def deliver_all(self):
        self.deliver_waiting()

    def deliver_waiting(self):
        waiting = len(self.messages)
        for index in range(waiting):
            self.deliver_at(index)
        del self.messages[:waiting]

    @stateful.precondition(lambda self: self.messages)
    @stateful.rule(position=positions)
    def lose(self, position):
        del self.messages[position % len(self.messages)]

    @stateful.rule()
    def lose_all(self):
        self.messages.clear()

    @stateful.rule(vm=vms, interval_ms=strategies.integers(1, 20_000))
    def tick(self, vm, interval_ms):
        self.now_ms += interval_ms
        self.step(vm, effects.Tick())

    @stateful.rule(vm=vms, peer=vms)
    def heartbeat(self, vm, peer):
        self.beat(vm, peer)

    @stateful.rule(vm=vms)
    def resume(self, vm):
        self.step(vm, effects.ProcessPaused())

    @stateful.rule(vm=vms, peer=vms)
    def cut_link(self, vm, peer):
        pair = frozenset((vm, peer))
        if vm != peer and pair not in self.cut:
            self.cut.add(pair)
            self.step(vm, effects.PeerLost(peer))
            self.step(peer, effects.PeerLost(vm))

    @stateful.rule(up=strategies.booleans())
    def switch_store(self, up):
        self.store_up = up

    @stateful.rule(vm=vms)
    def restart(self, vm):
        self.incarnations[vm] += 1
        self.messages = [item for item in self.messages if vm not in item[:2]]
        self.nodes[vm] = self.make_node(vm)
        self.take_census()
        self.link_all(vm)
        for peer in VMS:
            if peer != vm and frozenset((vm, peer)) not in self.cut:
                self.step(peer, effects.PeerLinked(vm))

    @stateful.invariant()
    def in_force_is_honest_and_lasts(self):
        self.check_in_force()

    def check_in_force(self):
        for viewer in self.nodes.values():
            newest = viewer.table.version_of(RULES)
            if newest and viewer.confirmations.in_force(newest).everywhere:
                self.everywhere = max(self.everywhere, newest)
        for vm, node in self.nodes.items():
            if node.gate.opened:
                version = node.table.version_of(RULES)
                assert version >= self.everywhere, f"{vm} went back"

    def heal(self):
        """Restore all links and the store, then run some rounds."""
        healed, self.cut = self.cut, set()
        for vm, peer in map(sorted, healed):
            self.step(vm, effects.PeerLinked(peer))
            self.step(peer, effects.PeerLinked(vm))
        self.asked.clear()
        self.store_up = True
        for _ in range(HEAL_TICKS):
            self.run_round()

    @stateful.rule(rounds=strategies.integers(1, 6))
    def run_on(self, rounds):
        for _ in range(rounds):
            self.run_round()
            self.check_in_force()

    def run_round(self):
        """Tick, send heartbeats, answer reads and deliver messages once."""
        self.now_ms += TICK_MS
        for vm, node in self.nodes.items():
            self.step(vm, effects.Tick())
            # One VM's watch of the store must be enough for all VMs.
            if vm == "vm-1" and node.watching and self.store_up:
                for event in self.snapshot():
                    self.step(vm, event)
            for peer in VMS:
                self.beat(vm, peer)
        self.answer_reads()
        self.deliver_waiting()

    def beat(self, vm, peer):
        if vm != peer and frozenset((vm, peer)) not in self.cut:
            self.step(peer, effects.PeerDigest(vm, self.digests[vm]))

    def answer_reads(self):
        asked, self.asked = self.asked, []
        for vm, kind in asked if self.store_up else ():
            for event in self.snapshot():
                if event.kind == kind:
                    self.step(vm, event)

    def teardown(self):
        self.heal()
        for key, (version, _) in self.store.items():
            for vm, node in self.nodes.items():
                assert node.table.version_of(key) == version, (vm, key)
                assert node.gate.opened, vm
        if RULES in self.store:
            version = self.store[RULES][0]
            for vm, node in self.nodes.items():
                answer = node.confirmations.in_force(version)
                assert answer.everywhere, (vm, answer)


class GossipPropertiesTest(unittest.TestCase):
    def test_versions_never_decrease_and_edits_reach_all_vms(self):
        stateful.run_state_machine_as_test(
            GossipMachine,
            settings=settings(
                max_examples=200,
                stateful_step_count=50,
                deadline=None,
                derandomize=True,
                database=None,
            ),
        )
