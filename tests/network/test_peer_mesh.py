"""Tests of links and meshes over in-memory transports and a fake clock."""

import random
import unittest

from twisted.internet import error
from twisted.internet import task
from twisted.python import failure

from oriolegate.clock import FakeClock
from oriolegate.membership import messages
from oriolegate.network import peer_codec
from oriolegate.network import peer_handshake
from oriolegate.network import peer_link
from oriolegate.network import peer_mesh
from oriolegate.network import peer_state
from oriolegate.timeline.events import EventBuffer

KEY = b"k" * 32
OTHER_KEY = b"o" * 32
HEARTBEAT = messages.Heartbeat(1, ())


class Transport:
    """Buffers written bytes; `Network` delivers them and closes connections.

    Twisted's own fake transport is not used, because importing it changes
    `unittest.TestCase` in a way that nose2's loader does not support.
    """

    def __init__(self):
        self.written = b""
        self.disconnecting = False

    def write(self, data):
        self.written += data

    def take_written(self):
        data, self.written = self.written, b""
        return data

    def registerProducer(self, producer, streaming):  # noqa: N802
        pass

    def unregisterProducer(self):  # noqa: N802
        pass

    def abortConnection(self):  # noqa: N802
        self.disconnecting = True

    def loseConnection(self):  # noqa: N802
        self.disconnecting = True


class Network:
    """Connects meshes by port; bytes move when the test calls `deliver`."""

    def __init__(self):
        self.listeners = {}
        self.connections = []

    def connect(self, port, factory):
        listener = self.listeners.get(port)
        server = listener.buildProtocol(None) if listener else None
        if server is None:
            factory.clientConnectionFailed(None, None)
            return
        pair = [factory.buildProtocol(None), server]
        transports = [Transport(), Transport()]
        for link, transport in zip(pair, transports, strict=True):
            link.makeConnection(transport)
        self.connections.append((pair, transports))

    def deliver(self):
        """Deliver bytes and closed connections until none are left."""
        moved = True
        while moved:
            moved = False
            for connection in list(self.connections):
                moved = self._deliver_connection(connection) or moved

    def _deliver_connection(self, connection):
        moved = False
        links, transports = connection
        for sender, receiver in ((0, 1), (1, 0)):
            data = transports[sender].take_written()
            if data:
                links[receiver].dataReceived(data)
                moved = True
        if any(transport.disconnecting for transport in transports):
            self.connections.remove(connection)
            reason = failure.Failure(error.ConnectionDone())
            for link in links:
                link.connectionLost(reason)
            moved = True
        return moved


class Reactor(task.Clock):
    """Twisted's fake clock with this test's network."""

    def __init__(self, network):
        super().__init__()
        self.network = network

    def connectTCP(self, host, port, factory, timeout):  # noqa: N802
        self.network.connect(port, factory)

    def listenTCP(self, port, factory, interface):  # noqa: N802
        self.network.listeners[port] = factory


def make_mesh(network, vm, key=KEY, incarnation=1, other_keys=()):
    mesh = peer_mesh.PeerMesh(
        peer_handshake.PeerIdentity(vm, incarnation, key, other_keys),
        peer_codec.PeerCodec(messages.PEER_MESSAGES),
        FakeClock(),
        Reactor(network),
        random.Random(1),
        EventBuffer(vm, 0.0),
    )
    mesh.events = []
    mesh.on_message = lambda peer, message: mesh.events.append((peer, message))
    mesh.on_linked = lambda peer: mesh.events.append(("linked", peer))
    mesh.on_lost = lambda peer: mesh.events.append(("lost", peer))
    mesh.listen("127.0.0.1", int(vm[2:]))
    return mesh


class PeerMeshTest(unittest.TestCase):
    def setUp(self):
        self.network = Network()
        self.mesh1 = make_mesh(self.network, "vm1")
        self.mesh2 = make_mesh(self.network, "vm2")

    def link_both(self):
        self.mesh1.connect_to("vm2", "127.0.0.1", 2)
        self.network.deliver()

    def advance(self, interval_ms):
        for mesh in (self.mesh1, self.mesh2):
            mesh.clock.advance(interval_ms)
            mesh.check()
        self.network.deliver()

    def test_one_link_carries_messages_in_both_directions(self):
        self.link_both()
        self.mesh1.buffer.observe(41)
        self.assertTrue(self.mesh1.send("vm2", HEARTBEAT))
        self.assertTrue(self.mesh2.send("vm1", HEARTBEAT))
        self.network.deliver()
        self.assertEqual(
            self.mesh2.events, [("linked", "vm1"), ("vm1", HEARTBEAT)]
        )
        self.assertIn(("vm2", HEARTBEAT), self.mesh1.events)
        self.assertEqual(self.mesh2.buffer.logical_time, 41)
        self.assertEqual(self.mesh1.counters.sent[3].messages, 1)
        self.assertEqual(self.mesh2.counters.received[3].messages, 1)

    def test_a_connecting_peer_without_the_key_is_refused(self):
        outsider = make_mesh(self.network, "vm3", key=OTHER_KEY)
        outsider.connect_to("vm1", "127.0.0.1", 1)
        self.network.deliver()
        self.assertEqual(self.mesh1.counters.unauthorized, 1)
        self.assertEqual(self.mesh1.events, [])
        self.assertEqual(outsider.linked_vms(), [])

    def test_peers_with_old_and_new_keys_link_during_key_rotation(self):
        old = make_mesh(self.network, "vm3", KEY, other_keys=(OTHER_KEY,))
        make_mesh(self.network, "vm4", OTHER_KEY, other_keys=(KEY,))
        old.connect_to("vm4", "127.0.0.1", 4)
        old.connect_to("vm1", "127.0.0.1", 1)
        self.network.deliver()
        self.assertEqual(old.linked_vms(), ["vm4", "vm1"])

    def test_a_short_key_is_refused(self):
        for key, others in ((b"short", ()), (KEY, (b"short",))):
            with self.assertRaises(ValueError):
                peer_handshake.PeerIdentity("vm1", 1, key, others)

    def test_an_accepting_peer_without_the_key_is_refused(self):
        make_mesh(self.network, "vm3", key=OTHER_KEY)
        self.mesh1.connect_to("vm3", "127.0.0.1", 3)
        self.network.deliver()
        self.assertEqual(self.mesh1.linked_vms(), [])

    def test_a_vm_with_another_name_than_the_dialed_one_is_refused(self):
        self.mesh1.connect_to("vm3", "127.0.0.1", 2)
        self.network.deliver()
        self.assertEqual(self.mesh1.linked_vms(), [])
        self.assertEqual(self.mesh1.counters.unauthorized, 1)

    def test_invalid_bytes_close_only_their_link(self):
        self.link_both()
        for garbage in (b"\x00" * 40, b"GET / HTTP/1.1\r\n\r\n", b"x" * 9_000):
            link = self.mesh2.accept_link()
            transport = Transport()
            link.makeConnection(transport)
            link.dataReceived(garbage)
            link.connectionLost()
            self.assertEqual(link.state, peer_link.LinkState.CLOSED)
        self.assertEqual(self.mesh2.unauthenticated, {})
        self.assertTrue(self.mesh2.send("vm1", HEARTBEAT))

    def test_an_invalid_message_closes_its_link_and_is_counted(self):
        self.link_both()
        link = self.mesh1.peers["vm2"].link
        link.send(b"\xff\xff")
        self.network.deliver()
        self.assertEqual(self.mesh2.counters.bad_messages, 1)
        self.assertEqual(self.mesh2.linked_vms(), [])
        self.advance(peer_mesh.CHECK_INTERVAL_MS)
        self.assertEqual(self.mesh2.linked_vms(), ["vm1"])

    def test_unauthenticated_links_are_bounded_and_time_out(self):
        links = []
        for _ in range(peer_mesh.MAX_UNAUTHENTICATED_LINKS):
            link = self.mesh1.accept_link()
            link.makeConnection(Transport())
            links.append(link)
        self.assertIsNotNone(self.mesh1.accept_link())
        self.assertEqual(self.mesh1.counters.refused_links, 1)
        self.assertEqual(
            [link.state is peer_link.LinkState.CLOSED for link in links],
            [True] + [False] * (len(links) - 1),
        )
        self.assertEqual(
            len(self.mesh1.unauthenticated),
            peer_mesh.MAX_UNAUTHENTICATED_LINKS,
        )
        newest = list(self.mesh1.unauthenticated)[-1]
        newest.makeConnection(Transport())
        self.mesh1.reactor.advance(peer_link.HANDSHAKE_TIMEOUT_MS / 1_000)
        self.assertEqual(self.mesh1.unauthenticated, {})
        self.assertIsNotNone(self.mesh1.accept_link())

    def test_a_peer_links_beside_a_crowd_without_the_key(self):
        for _ in range(3 * peer_mesh.MAX_UNAUTHENTICATED_LINKS):
            link = self.mesh1.accept_link()
            if link is not None:
                link.makeConnection(Transport())
        self.mesh2.connect_to("vm1", "127.0.0.1", 1)
        self.network.deliver()
        self.assertEqual(self.mesh1.linked_vms(), ["vm2"])

    def test_both_sides_keep_the_same_link_when_both_dial(self):
        self.mesh1.connect_to("vm2", "127.0.0.1", 2)
        self.mesh2.connect_to("vm1", "127.0.0.1", 1)
        self.network.deliver()
        self.assertEqual(len(self.network.connections), 1)
        self.assertEqual(self.mesh1.peers["vm2"].link.dialed_vm, "vm2")
        self.assertIsNone(self.mesh2.peers["vm1"].link.dialed_vm)
        self.assertNotIn(("lost", "vm2"), self.mesh1.events)

    def test_a_new_incarnation_replaces_the_old_link(self):
        self.link_both()
        restarted = make_mesh(self.network, "vm2", incarnation=2)
        restarted.connect_to("vm1", "127.0.0.1", 1)
        self.network.deliver()
        self.assertEqual(self.mesh1.peers["vm2"].link.peer_incarnation, 2)
        self.assertEqual(
            self.mesh1.events,
            [("linked", "vm2"), ("lost", "vm2"), ("linked", "vm2")],
        )

    def test_a_persistent_link_is_redialed_with_growing_backoff(self):
        del self.network.listeners[2]
        self.mesh1.connect_to("vm2", "127.0.0.1", 2)
        waits = []
        for _ in range(8):
            peer = self.mesh1.peers["vm2"]
            waits.append(peer.backoff_ms)
            self.mesh1.clock.current_ms = peer.dial_at_ms
            self.mesh1.check()
        self.assertEqual(waits, sorted(waits))
        self.assertLessEqual(waits[-1], 10_000.0)
        self.network.listeners[2] = peer_mesh.ListenFactory(
            self.mesh2.accept_link
        )
        self.mesh1.clock.advance(20_000)
        self.mesh1.check()
        self.network.deliver()
        self.assertEqual(self.mesh1.linked_vms(), ["vm2"])

    def test_the_first_redial_has_jitter(self):
        rng = random.Random(1)
        waits = set()
        for _ in range(10):
            peer = peer_state.PeerState()
            peer.schedule_redial(0.0, rng)
            waits.add(peer.dial_at_ms)
        self.assertEqual(len(waits), 10)
        self.assertGreaterEqual(min(waits), peer_state.BACKOFF_MIN_MS)
        self.assertLessEqual(max(waits), 2 * peer_state.BACKOFF_MIN_MS)

    def test_an_unreachable_peer_is_removed_after_drop_link(self):
        del self.network.listeners[2]
        self.mesh1.connect_to("vm2", "127.0.0.1", 2)
        self.mesh1.drop_link("vm2")
        self.assertEqual(self.mesh1.peers, {})

    def test_a_link_on_demand_is_closed_when_idle(self):
        self.mesh1.learn_address("vm2", "127.0.0.1", 2)
        self.assertTrue(self.mesh1.send("vm2", HEARTBEAT))
        self.network.deliver()
        self.assertIn(("vm1", HEARTBEAT), self.mesh2.events)
        for _ in range(40):
            self.mesh2.send("vm1", HEARTBEAT)
            self.advance(peer_mesh.CHECK_INTERVAL_MS)
        self.assertEqual(self.mesh1.linked_vms(), [])
        self.assertIn(("lost", "vm2"), self.mesh1.events)
        self.assertEqual(self.mesh1.peers, {})

    def test_a_message_to_an_unreachable_peer_reports_it_lost(self):
        self.mesh1.learn_address("vm9", "127.0.0.1", 9)
        self.mesh1.send("vm9", HEARTBEAT)
        self.assertIn(("lost", "vm9"), self.mesh1.events)
        self.assertFalse(self.mesh1.send("vm8", HEARTBEAT))

    def test_an_unresponsive_peer_is_reported_lost(self):
        self.link_both()
        self.network.connections.clear()
        for _ in range(11):
            self.mesh1.clock.advance(1_000)
            self.mesh1.check()
        self.assertIn(("lost", "vm2"), self.mesh1.events)

    def test_pongs_keep_a_persistent_link_without_messages(self):
        self.link_both()
        for _ in range(60):
            self.advance(peer_mesh.CHECK_INTERVAL_MS)
        self.assertEqual(self.mesh1.linked_vms(), ["vm2"])
        self.assertNotIn(("lost", "vm2"), self.mesh1.events)

    def test_messages_to_a_slow_peer_are_queued_up_to_a_bound(self):
        self.link_both()
        link = self.mesh1.peers["vm2"].link
        link.pauseProducing()
        big = messages.PeerHello("x", 1, b"z" * 1_000_000)
        results = [self.mesh1.send("vm2", big) for _ in range(12)]
        self.assertEqual(results.count(True), 8)
        self.assertEqual(self.mesh1.counters.refused_sends, 4)
        link.resumeProducing()
        self.network.deliver()
        received = [event for event in self.mesh2.events if event[1] == big]
        self.assertEqual(len(received), 8)

    def test_stop_closes_all_links(self):
        self.link_both()
        self.mesh1.stop()
        self.network.deliver()
        self.assertEqual(self.mesh2.linked_vms(), [])
        self.assertFalse(self.mesh1.send("vm2", HEARTBEAT))
