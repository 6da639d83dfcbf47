"""Tests of the conditions under which a process requests shares."""

import types
import unittest

from oriolegate.membership.effects import ListedVm
from oriolegate.membership.membership import Membership
from oriolegate.membership.messages import Member
from oriolegate.membership.messages import MemberState
from oriolegate.models.topology import IndexVersion
from oriolegate.models.topology import Leaf
from oriolegate.models.topology import ServiceTopology
from oriolegate.runtime import share_runner
from oriolegate.shares import effects


def member(number):
    return Member(f"vm-{number}", f"10.0.0.{number}", 8082, "scl-a", 1)


class RecordingShares:
    """Records which shares the runner requests."""

    def __init__(self):
        self.services = {}
        self.wanted = []

    def step(self, now_ms, event):
        if isinstance(event, effects.ServiceWanted):
            self.wanted.append(event)
        return []


class ShareRunnerTest(unittest.TestCase):
    def setUp(self):
        membership = Membership(member(1), None)
        self.table = membership.table
        self.listing = membership.listing
        peers = types.SimpleNamespace(
            membership=membership,
            members=self.table.placeable,
            handlers={},
            on_members=[],
            on_listed=[],
            on_paused=[],
        )
        leaf = Leaf("leaf", "10.1.0.1", 7500, "scl-a", "upstream", 4, 25)
        version = IndexVersion(1, (("leaf",),))
        topology = ServiceTopology("cobro", 1, {"leaf": leaf}, {1: version}, 1)
        tier = types.SimpleNamespace(
            table=types.SimpleNamespace(topologies={"cobro": topology})
        )
        self.clock = types.SimpleNamespace(now_ms=lambda: self.now_ms)
        self.now_ms = 0.0
        self.shares = RecordingShares()
        self.runner = share_runner.ShareRunner(
            self.shares, peers, None, tier, self.clock, lambda *_: None
        )

    def list_vms(self, count):
        self.listing.replace(
            tuple(
                ListedVm(row.vm, row.host, row.peer_port, row.data_centre)
                for row in (member(n + 1) for n in range(count))
            )
        )
        self.runner._on_list_read()

    def test_a_single_vm_requests_shares_once_the_list_has_no_other_vm(self):
        self.runner.choose_homes()
        self.runner.start()
        self.assertEqual(self.shares.wanted, [])
        self.list_vms(1)
        self.assertTrue(self.shares.wanted[0].wanted)

    def test_an_empty_list_does_not_delay_the_request(self):
        self.runner.choose_homes()
        self.list_vms(0)
        self.assertTrue(self.shares.wanted[0].wanted)

    def test_listed_members_must_be_known_before_shares_are_requested(self):
        self.list_vms(9)
        self.runner.choose_homes()
        self.runner.start()
        self.assertEqual(self.shares.wanted, [])
        for number in range(2, 10):
            self.table.merge(0.0, member(number))
        self.runner.choose_homes()
        home = "vm-1" in self.runner.homes["cobro"]
        self.assertEqual(
            [row.wanted for row in self.shares.wanted], [True] * home
        )

    def test_an_unavailable_list_delays_shares_for_a_limited_time(self):
        self.runner.choose_homes()
        self.runner.start()
        self.now_ms = share_runner.MAX_MEMBERSHIP_WAIT_MS - 1
        self.runner.start()
        self.assertEqual(self.shares.wanted, [])
        self.now_ms = share_runner.MAX_MEMBERSHIP_WAIT_MS
        self.runner.start()
        self.assertTrue(self.shares.wanted[0].wanted)

    def test_a_dead_home_is_replaced_by_another_member(self):
        for number in range(2, 10):
            self.table.merge(0.0, member(number))
        self.runner.choose_homes()
        replaced = self.runner.homes["cobro"][0]
        if replaced == "vm-1":
            replaced = self.runner.homes["cobro"][1]
        state = self.table.with_state(replaced, MemberState.DEAD)
        self.table.merge(1.0, state)
        self.runner.choose_homes()
        self.assertNotIn(replaced, self.runner.homes["cobro"])
        self.assertEqual(len(self.runner.homes["cobro"]), 4)
        self.assertNotIn(replaced, self.runner.forwarding_order("cobro"))
