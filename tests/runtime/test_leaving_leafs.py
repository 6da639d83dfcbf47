"""Tests of leafs that announce that they leave, with whole gateways."""

import unittest

from tests.platform import stand_in_documents as documents
from tests.virtual_fleet import CallerLoad
from tests.virtual_fleet import FAST_BYTES_PER_S
from tests.virtual_fleet import VirtualFleet

IN_FLIGHT_S = 0.1


class LeavingLeafTest(unittest.TestCase):
    def test_a_vm_that_got_the_announcement_sends_no_more_requests(self):
        routes = [documents.route_spec("one", service="s1")]
        fleet = VirtualFleet(documents.configuration_spec(1, routes, ["s1"]))
        leaving = fleet.add_leaf("l0", "s1")
        fleet.add_leaf("l1", "s1")
        fleet.start(3, FAST_BYTES_PER_S)
        load = CallerLoad(fleet, "/one/x")
        load.run(40.0, 2.0)
        announced_s = {}
        late = []

        def announce(request):
            vm = request.connection.transport.other.host.name
            if (
                load.now_s
                > announced_s.setdefault(vm, load.now_s) + IN_FLIGHT_S
            ):
                late.append(vm)
            request.answer(bytes(16), Server_Leaving="1")

        leaving.behave = announce
        start_s = load.now_s
        load.run(40.0, 4.0)
        # Its entry, written again, calls it ready.
        fleet.store.put("servers", "l0", fleet.leaf_spec("l0", "s1", cold_ms=1))
        load.run(40.0, 4.0)
        self.assertEqual(len(announced_s), 3)
        self.assertEqual(late, [])
        self.assertEqual(load.served_fraction(start_s), 1.0)
