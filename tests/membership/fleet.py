"""A simulated fleet whose messages the test delivers or loses."""

import collections
import random

from oriolegate.membership import effects
from oriolegate.membership import membership
from oriolegate.membership import messages
from oriolegate.network.peer_codec import PeerCodec

CODEC = PeerCodec(messages.PEER_MESSAGES)


class Fleet:
    """Carries out the effects of several VMs' memberships.

    A pair of VMs for which `cut` is true exchanges nothing.

    Attributes:
        links: Open links, each as a sorted pair of VM names.
        wanted: Pairs of a VM and a peer that the VM wants a link to.
        log: Effects that each VM returned, by VM.
        queue: Messages in transit: sender, receiver, message.
        paused: VMs whose processes are paused.
        queued_events: Events for paused VMs, processed at the next `run`.
    """

    def __init__(self):
        self.now_ms = 0.0
        self.nodes = {}
        self.running = set()
        self.links = set()
        self.wanted = set()
        self.cut = lambda vm, peer: False
        self.log = collections.defaultdict(list)
        self.sent_bytes = collections.Counter()
        self.queue = collections.deque()
        self.paused = frozenset()
        self.queued_events = []

    def add(self, vm, data_centre="scl-a", incarnation=1, host=None):
        member = messages.Member(
            vm, host or f"10.0.0.{vm}", 7000, data_centre, incarnation
        )
        self.remove(vm)
        seed = f"{vm}/{incarnation}"
        self.nodes[vm] = membership.Membership(member, random.Random(seed))
        self.running.add(vm)
        return self.nodes[vm]

    def remove(self, vm):
        """Kill a process, which closes the links to it."""
        self.running.discard(vm)
        self.wanted = {pair for pair in self.wanted if pair[0] != vm}
        self.drop_links()

    def list_all(self, gone=()):
        rows = [
            effects.ListedVm(
                vm,
                node.own.host,
                node.own.peer_port,
                node.own.data_centre,
                vm in gone,
            )
            for vm, node in self.nodes.items()
        ]
        for vm in sorted(self.running):
            self.step(vm, effects.VmsListed(tuple(rows)))

    def reachable(self, vm, peer):
        return {vm, peer} <= self.running and not self.cut(vm, peer)

    def drop_links(self):
        for link in list(self.links):
            if not self.reachable(*link):
                self.close_link(*link)

    def close_link(self, first, second):
        link = (min(first, second), max(first, second))
        if link in self.links:
            self.links.discard(link)
            for vm, peer in (link, link[::-1]):
                if vm in self.running:
                    self.step(vm, effects.LinkDown(peer))

    def open_links(self):
        for vm, peer in sorted(self.wanted):
            link = (min(vm, peer), max(vm, peer))
            if link not in self.links and self.reachable(vm, peer):
                self.links.add(link)
                self.step(vm, effects.LinkUp(peer))
                self.step(peer, effects.LinkUp(vm))

    def step(self, vm, event):
        if vm in self.paused:
            self.queued_events.append((vm, event))
            return
        for effect in self.nodes[vm].step(self.now_ms, event):
            self.log[vm].append(effect)
            match effect:
                case effects.Send(vm=peer, message=message):
                    size = len(CODEC.encode(message, 0))
                    self.sent_bytes[vm] += size
                    self.queue.append((vm, peer, message))
                case effects.ConnectTo(vm=peer):
                    self.wanted.add((vm, peer))
                case effects.DropLink(vm=peer):
                    self.wanted.discard((vm, peer))
                    if (peer, vm) not in self.wanted:
                        self.close_link(vm, peer)

    def deliver(self):
        while self.queue:
            sender, receiver, message = self.queue.popleft()
            link = (min(sender, receiver), max(sender, receiver))
            if link in self.links:
                self.step(receiver, effects.Received(sender, message))

    def run(self, interval_ms, without=()):
        """Run all processes; pause those in `without` and queue their input."""
        end_ms = self.now_ms + interval_ms
        self.paused = frozenset(without)
        queued_events, self.queued_events = self.queued_events, []
        for vm, event in queued_events:
            self.step(vm, event)
        while self.now_ms < end_ms:
            self.now_ms += membership.TICK_MS
            self.drop_links()
            self.open_links()
            for vm in sorted(self.running - self.paused):
                self.step(vm, effects.Tick())
            self.deliver()

    def states(self, viewer):
        members = self.nodes[viewer].table.members
        return {vm: member.state.name for vm, member in members.items()}

    def effects_of(self, vm, kind):
        return [effect for effect in self.log[vm] if isinstance(effect, kind)]


def make_fleet(per_data_centre, data_centres=("anf-a", "ccp-a", "scl-a")):
    """Return a fleet of listed VMs that have found each other."""
    fleet = Fleet()
    for data_centre in data_centres:
        for number in range(per_data_centre):
            fleet.add(f"{data_centre}-{number}", data_centre)
    fleet.list_all()
    fleet.run(30_000)
    return fleet
