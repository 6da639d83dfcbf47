"""Integration test of membership, gossip and shares over a peer mesh."""

import random
import unittest

import attrs

from oriolegate.clock import FakeClock
from oriolegate.configuration import effects as gossip
from oriolegate.configuration import messages as documents
from oriolegate.configuration.document_gossip import DocumentGossip
from oriolegate.membership import effects as members
from oriolegate.membership import messages as membership
from oriolegate.membership.membership import Membership
from oriolegate.network.peer_codec import PeerCodec
from oriolegate.network.peer_handshake import PeerIdentity
from oriolegate.network.peer_mesh import PeerMesh
from oriolegate.shares import effects as sharing
from oriolegate.shares import messages as shares
from oriolegate.shares.homes import choose_homes
from oriolegate.shares.service_share import ShareOwner
from oriolegate.shares.share_object import Amounts
from oriolegate.shares.share_object import NOTHING
from oriolegate.shares.share_object import total
from oriolegate.shares.shares import Shares
from oriolegate.timeline.events import EventBuffer
from tests.network.test_peer_mesh import KEY
from tests.network.test_peer_mesh import Network
from tests.network.test_peer_mesh import Reactor

LIMITS = Amounts(4, 35, 1)
TICK_MS = 250.0


class Store:
    """Store of one share object, without failures."""

    def __init__(self):
        self.share_object = None

    def answer(self, call):
        present = self.share_object.version if self.share_object else 0
        match call:
            case sharing.ReadShares():
                return sharing.SharesRead("s", call.ticket, self.share_object)
            case _ if call.expected_version != present:
                return sharing.WriteRefused("s", call.ticket)
        self.share_object = attrs.evolve(call.share_object, version=present + 1)
        return sharing.SharesWritten("s", call.ticket, present + 1)


class Vm:
    """One process: its state machines and mesh, connected as in the runtime."""

    def __init__(self, network, store, clock, vm, incarnation):
        codec = PeerCodec(
            membership.PEER_MESSAGES,
            documents.PEER_MESSAGES,
            shares.PEER_MESSAGES,
        )
        port = int(vm[2:])
        self.clock = clock
        self.store = store
        self.vm = vm
        self.own = membership.Member(
            vm, "127.0.0.1", port, "scl-a", incarnation
        )
        rng = random.Random(vm)
        self.mesh = PeerMesh(
            PeerIdentity(vm, incarnation, KEY),
            codec,
            clock,
            Reactor(network),
            rng,
            EventBuffer(vm, 0.0),
        )
        self.membership = Membership(self.own, rng)
        self.document_gossip = DocumentGossip(vm, incarnation, "scl-a")
        self.shares = Shares(
            ShareOwner(vm, incarnation, f"127.0.0.1:{port}"), rng
        )
        self.grant = NOTHING
        self.mesh.on_message = self.on_message
        self.mesh.on_linked = self.on_linked
        self.mesh.on_lost = self.on_lost
        self.mesh.listen("127.0.0.1", port)

    def on_message(self, vm, message):
        self.step_members(members.Received(vm, message))
        self.step_documents(gossip.Received(vm, message))
        self.step_shares(sharing.Received(vm, message))

    def on_linked(self, vm):
        self.step_members(members.LinkUp(vm))
        self.step_documents(gossip.PeerLinked(vm))

    def on_lost(self, vm):
        self.step_members(members.LinkDown(vm))
        self.step_documents(gossip.PeerLost(vm))

    def tick(self):
        self.mesh.check()
        self.step_members(members.Tick())
        self.step_documents(gossip.Tick())
        self.step_shares(sharing.Tick())

    def step_members(self, event):
        for effect in self.membership.step(self.clock.now_ms(), event):
            match effect:
                case members.ConnectTo():
                    self.mesh.connect_to(effect.vm, effect.host, effect.port)
                case members.DropLink():
                    self.mesh.drop_link(effect.vm)
                case members.Send():
                    self.mesh.send(effect.vm, effect.message)
                case members.PeerDigests():
                    self.step_documents(
                        gossip.PeerDigest(effect.vm, effect.digests)
                    )
                case members.IncarnationEnded():
                    self.step_shares(
                        sharing.ProcessEnded(effect.vm, effect.incarnation)
                    )
                case members.MemberChanged():
                    self.update_members()

    def update_members(self):
        entries = tuple(
            gossip.PossibleMember(
                member.vm,
                member.data_centre,
                member.incarnation,
                member.state is not membership.MemberState.DEAD,
            )
            for member in self.membership.possible_members()
        )
        self.step_documents(gossip.MembersUpdated(entries))
        placeable = self.membership.table.placeable()
        homes = choose_homes("s", LIMITS, placeable)
        wanted = sharing.ServiceWanted("s", self.vm in homes, LIMITS, 1)
        self.step_shares(wanted)

    def step_documents(self, event):
        for effect in self.document_gossip.step(self.clock.now_ms(), event):
            match effect:
                case members.Send():
                    self.mesh.send(effect.vm, effect.message)
                case gossip.DigestsChanged():
                    self.step_members(members.DigestsSet(effect.digests))

    def step_shares(self, event):
        for effect in self.shares.step(self.clock.now_ms(), event):
            match effect:
                case members.Send():
                    self.mesh.send(effect.vm, effect.message)
                case sharing.GrantChanged():
                    self.grant = effect.amounts
                    self.step_shares(sharing.GrantApplied("s", effect.amounts))
                case sharing.ReadShares() | sharing.WriteShares():
                    self.step_shares(self.store.answer(effect))


class PeerPartsTest(unittest.TestCase):
    def setUp(self):
        self.network = Network()
        self.store = Store()
        self.clock = FakeClock()
        self.running = {}
        for vm in ("vm1", "vm2", "vm3"):
            self.start(vm, 1)
        self.set_vm_list()
        self.run_for(15_000)

    def start(self, vm, incarnation):
        self.running[vm] = Vm(
            self.network, self.store, self.clock, vm, incarnation
        )

    def stop(self, vm):
        self.running.pop(vm).mesh.stop()
        del self.network.listeners[int(vm[2:])]
        self.network.deliver()

    def set_vm_list(self, *gone):
        rows = tuple(
            members.ListedVm(
                f"vm{number}", "127.0.0.1", number, "scl-a", number in gone
            )
            for number in (1, 2, 3)
        )
        for vm in self.running.values():
            vm.step_members(members.VmsListed(rows))

    def run_for(self, interval_ms):
        end_ms = self.clock.now_ms() + interval_ms
        while self.clock.now_ms() < end_ms:
            self.clock.advance(TICK_MS)
            for vm in self.running.values():
                vm.tick()
            self.network.deliver()
            granted = total(vm.grant for vm in self.running.values())
            self.assertTrue(granted.fits_in(LIMITS), granted)

    def total_grants(self):
        return total(vm.grant for vm in self.running.values())

    def test_three_vms_share_the_whole_limit(self):
        self.assertEqual(self.total_grants(), LIMITS)
        slots = [vm.grant.slots for vm in self.running.values()]
        self.assertEqual(sorted(slots), [1, 1, 2])

    def test_an_edit_is_in_force_everywhere_within_a_second(self):
        accepted = documents.AcceptedRules(5, "text", "edit-1")
        document = documents.rules_document(accepted)
        self.running["vm1"].step_documents(gossip.DocumentWritten(document))
        self.run_for(1_000)
        for vm in self.running.values():
            answer = vm.document_gossip.confirmations.in_force(5)
            self.assertTrue(answer.everywhere, (vm.vm, answer))

    def test_the_share_of_a_dead_vm_is_reassigned_once_it_is_listed_as_gone(
        self,
    ):
        self.stop("vm3")
        self.run_for(20_000)
        self.assertNotEqual(self.total_grants(), LIMITS)
        self.set_vm_list(3)
        self.run_for(20_000)
        self.assertEqual(self.total_grants(), LIMITS)

    def test_a_restarted_vm_gets_a_share_again(self):
        self.stop("vm3")
        self.start("vm3", 2)
        self.set_vm_list()
        self.run_for(20_000)
        self.assertEqual(self.total_grants(), LIMITS)
        self.assertGreater(self.running["vm3"].grant.slots, 0)
