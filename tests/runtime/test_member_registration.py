"""Tests of removing the entries of VMs that are gone."""

import random
import unittest

from twisted.internet import task

from oriolegate.clock import FakeClock
from oriolegate.models.header_lines import HeaderLines
from oriolegate.models.site import Bounds
from oriolegate.models.site import MemberEntry
from oriolegate.models.site import NodeSettings
from oriolegate.network.http_reader import HttpResponse
from oriolegate.runtime import member_registration
from oriolegate.runtime.member_registration import MemberRegistration

RENEW_S = member_registration.RENEW_INTERVAL_S


class FakeStore:
    """Accepts each call."""

    def __init__(self):
        self.calls = []

    def call(self, call, timeout_ms, done):
        self.calls.append((call.method, call.target.rpartition("/")[2]))
        done(HttpResponse(200, HeaderLines(), b""))


class LostMembersTest(unittest.TestCase):
    def setUp(self):
        self.reactor = task.Clock()
        self.clock = FakeClock()
        self.store = FakeStore()
        settings = NodeSettings(
            vm="vm-1",
            data_centre="dc-a",
            regions={"dc-a": "north"},
            host="10.0.0.1",
            caller_address=("10.0.0.1", 1),
            ready_address=("10.0.0.1", 2),
            internal_ports=(3, 3),
            store_address=("10.0.0.9", 4),
            seeds=(),
            first_start=False,
            bounds=Bounds(),
        )
        self.registration = MemberRegistration(
            self.reactor, self.clock, self.store, settings, random.Random(1)
        )
        self.registration.start()
        self.wall_offset_ms = 0

    def list_members(self, renewals):
        self.registration.on_members_listed(
            tuple(
                MemberEntry(vm, "dc-a", "10.0.0.2", 3, renewed_wall_ms)
                for vm, renewed_wall_ms in renewals.items()
            )
        )

    def run_for(self, seconds, step_s=50.0):
        for _ in range(int(seconds / step_s)):
            self.clock.advance(1_000.0 * step_s)
            self.reactor.advance(step_s)

    def removed(self):
        return {vm for method, vm in self.store.calls if method == "DELETE"}

    def test_a_vm_that_stops_renewing_its_entry_is_removed(self):
        for number in range(12):
            self.list_members({"vm-1": number, "vm-2": number, "vm-3": 0})
            self.run_for(RENEW_S / 2)
        self.assertEqual(self.removed(), {"vm-3"})

    def test_no_vm_is_removed_when_the_time_of_day_jumps(self):
        # With the clock an hour ahead, live VMs seemed to be lost.
        for number in range(8):
            renewed_wall_ms = self.clock.wall_ms() - self.wall_offset_ms
            self.list_members({"vm-1": number, "vm-2": renewed_wall_ms})
            self.run_for(1.2 * RENEW_S)
            self.clock.wall_offset_ms += 3_600_000
            self.wall_offset_ms += 3_600_000
        self.assertEqual(self.removed(), set())
