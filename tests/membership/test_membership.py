"""Tests of membership: joins, losses, partitions, pauses, leaving."""

import random
import unittest

from oriolegate.membership import effects
from oriolegate.membership import membership
from oriolegate.membership import messages
from oriolegate.timeline.events import EventBuffer
from tests.membership.fleet import Fleet
from tests.membership.fleet import make_fleet


class MembershipTest(unittest.TestCase):
    def assert_all_live(self, fleet):
        for viewer in fleet.running:
            live = {
                vm
                for vm, state in fleet.states(viewer).items()
                if state == "LIVE"
            }
            self.assertEqual(live, fleet.running, viewer)

    def test_listed_vms_find_each_other(self):
        fleet = make_fleet(4)
        self.assert_all_live(fleet)
        hashes = {node.table.table_hash() for node in fleet.nodes.values()}
        self.assertEqual(len(hashes), 1)

    def test_a_vm_missing_from_the_list_joins_through_its_peers(self):
        fleet = make_fleet(2)
        fleet.add("new", "scl-a")
        rows = fleet.nodes["anf-a-0"].listing.rows.values()
        fleet.step("new", effects.VmsListed(tuple(rows)))
        fleet.run(15_000)
        self.assert_all_live(fleet)

    def test_a_lost_vm_is_suspected_and_then_dead(self):
        fleet = make_fleet(3)
        fleet.remove("scl-a-1")
        fleet.run(5_000)
        self.assertEqual(fleet.states("anf-a-0")["scl-a-1"], "SUSPECT")
        fleet.run(7_000)
        for viewer in fleet.running:
            self.assertEqual(fleet.states(viewer)["scl-a-1"], "DEAD")

    def test_all_vms_of_a_lost_data_centre_are_declared_dead(self):
        fleet = make_fleet(4)
        for number in range(4):
            fleet.remove(f"scl-a-{number}")
        fleet.run(90_000)
        states = fleet.states("anf-a-0")
        dead = [vm for vm, state in states.items() if state == "DEAD"]
        self.assertEqual(len(dead), 4, states)

    def test_a_paused_vm_reports_the_pause_and_refutes_its_death(self):
        fleet = make_fleet(2)
        fleet.run(20_000, without={"scl-a-0"})
        self.assertEqual(fleet.states("anf-a-0")["scl-a-0"], "DEAD")
        fleet.log.clear()
        fleet.run(15_000)
        paused = fleet.effects_of("scl-a-0", effects.ProcessPaused)
        self.assertEqual(len(paused), 1)
        self.assertGreaterEqual(paused[0].gap_ms, 20_000)
        self.assert_all_live(fleet)
        self.assertEqual(fleet.nodes["scl-a-0"].own.incarnation, 1)

    def test_a_resumed_vm_does_not_suspect_peers_after_its_own_pause(self):
        fleet = make_fleet(2)
        node = fleet.nodes["scl-a-0"]
        out = node.step(fleet.now_ms + 60_000, effects.Tick())
        self.assertIn(effects.ProcessPaused, [type(effect) for effect in out])
        changes = [
            effect
            for effect in out
            if isinstance(effect, effects.MemberChanged)
        ]
        self.assertEqual(changes, [])

    def test_a_wall_clock_jump_alone_counts_as_a_pause(self):
        node = Fleet().add("vm-1")
        node.step(0.0, effects.Tick(wall_ms=1_000))
        quiet = node.step(250.0, effects.Tick(wall_ms=1_250))
        jumped = node.step(500.0, effects.Tick(wall_ms=99_000))
        self.assertNotIn(
            effects.ProcessPaused, [type(effect) for effect in quiet]
        )
        self.assertEqual(jumped[0], effects.ProcessPaused(97_750))

    def test_a_leaving_vm_is_soon_known_everywhere(self):
        fleet = make_fleet(4)
        fleet.step("scl-a-0", effects.Leave())
        fleet.run(1_500)
        for viewer in fleet.running:
            self.assertEqual(fleet.states(viewer)["scl-a-0"], "LEAVING")
            placeable = fleet.nodes[viewer].table.placeable()
            self.assertNotIn("scl-a-0", [member.vm for member in placeable])

    def test_a_vm_that_others_reach_stays_live_despite_one_broken_link(self):
        fleet = make_fleet(3)
        fleet.cut = lambda vm, peer: {vm, peer} == {"scl-a-0", "scl-a-1"}
        fleet.run(60_000)
        self.assert_all_live(fleet)
        fleet.log.clear()
        fleet.run(60_000)
        changes = fleet.effects_of("anf-a-0", effects.MemberChanged)
        self.assertEqual(changes, [])

    def test_data_centres_reconnect_after_a_long_partition(self):
        fleet = make_fleet(3)
        fleet.cut = lambda vm, peer: vm[:3] != peer[:3]
        fleet.run(60_000)
        self.assertEqual(fleet.states("scl-a-0")["anf-a-0"], "DEAD")
        fleet.run(600_000)
        fleet.cut = lambda vm, peer: False
        fleet.run(60_000)
        self.assert_all_live(fleet)

    def test_a_restart_at_the_same_address_ends_the_previous_incarnation(self):
        fleet = make_fleet(2)
        fleet.add("scl-a-0", "scl-a", incarnation=2)
        fleet.list_all()
        fleet.run(15_000)
        ended = fleet.effects_of("anf-a-0", effects.IncarnationEnded)
        self.assertEqual(ended, [effects.IncarnationEnded("scl-a-0", 1)])

    def test_a_new_host_under_the_same_name_does_not_end_the_previous_one(self):
        fleet = make_fleet(2)
        fleet.add("scl-a-0", "scl-a", incarnation=2, host="10.9.9.9")
        fleet.list_all()
        fleet.run(15_000)
        self.assertEqual(
            fleet.effects_of("anf-a-0", effects.IncarnationEnded), []
        )

    def test_a_vm_listed_as_gone_has_ended_only_if_peers_declared_it_dead(self):
        fleet = make_fleet(2)
        fleet.list_all(gone={"scl-a-0"})
        self.assertEqual(
            fleet.effects_of("anf-a-0", effects.IncarnationEnded), []
        )
        fleet.remove("scl-a-0")
        fleet.run(15_000)
        fleet.list_all(gone={"scl-a-0"})
        self.assertEqual(
            fleet.effects_of("anf-a-0", effects.IncarnationEnded),
            [effects.IncarnationEnded("scl-a-0", 1)],
        )

    def test_an_unknown_vm_listed_as_gone_has_ended_up_to_the_current_time(
        self,
    ):
        node = Fleet().add("vm-1")
        row = effects.ListedVm("old", "h", 1, "scl-a", gone=True)
        listed = effects.VmsListed((row,))
        node.step(0.0, effects.Tick(wall_ms=5_000))
        out = node.step(1.0, listed)
        self.assertIn(effects.IncarnationEnded("old", 5_000), out)
        node.step(250.0, effects.Tick(wall_ms=5_250))
        self.assertEqual(node.step(251.0, listed), [])

    def test_changes_are_recorded_for_the_timeline(self):
        buffer = EventBuffer("vm-1", 0.0)
        own = messages.Member("vm-1", "h", 1, "scl-a", 1)
        node = membership.Membership(own, random.Random(1), buffer)
        other = messages.Member("vm-2", "h", 2, "scl-a", 7)
        delta = messages.MemberDelta((other,))
        node.step(0.0, effects.Received("vm-2", delta))
        details = [event.detail for event in buffer.events()]
        self.assertEqual(details, [("vm-2", 7, "LIVE")])

    def test_a_process_with_a_newer_incarnation_known_is_superseded(self):
        fleet = make_fleet(2)
        newer = messages.Member("scl-a-0", "h", 1, "scl-a", 9)
        fleet.step(
            "scl-a-0",
            effects.Received("anf-a-0", messages.MemberDelta((newer,))),
        )
        self.assertEqual(
            fleet.effects_of("scl-a-0", effects.Superseded),
            [effects.Superseded(9)],
        )

    def test_links_and_traffic_stay_bounded_in_a_larger_fleet(self):
        fleet = make_fleet(20)
        for node in fleet.nodes.values():
            self.assertLessEqual(len(node.neighbours), 5)
        fleet.sent_bytes.clear()
        fleet.run(10_000)
        self.assertLess(max(fleet.sent_bytes.values()) / 10, 2_000)

    def test_dead_members_are_forgotten_eventually(self):
        fleet = make_fleet(2)
        fleet.remove("scl-a-0")
        fleet.run(15_000)
        fleet.list_all(gone={"scl-a-0"})
        fleet.run(membership.CONNECT_MISSING_INTERVAL_MS + 620_000)
        self.assertNotIn("scl-a-0", fleet.states("anf-a-0"))

    def test_possible_members_include_unreachable_vms_that_may_still_run(self):
        fleet = make_fleet(2)
        fleet.remove("scl-a-0")
        fleet.add("silent", "scl-a")
        fleet.list_all()
        fleet.running.discard("silent")
        fleet.run(membership.CONNECT_MISSING_INTERVAL_MS + 620_000)
        node = fleet.nodes["anf-a-0"]
        possible_members = {
            member.vm: member.state.name for member in node.possible_members()
        }
        self.assertEqual(possible_members["scl-a-0"], "DEAD")
        self.assertEqual(possible_members["silent"], "DEAD")
        fleet.list_all(gone={"scl-a-0", "silent"})
        names = {member.vm for member in node.possible_members()}
        self.assertEqual(names, fleet.running)
