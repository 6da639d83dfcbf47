"""Tests of a large configuration on slow links, with whole gateways."""

import unittest

from tests.platform import stand_in_documents as documents
from tests.virtual_fleet import VirtualFleet

# A third of a link of 10 Mbit/s; requests use the rest.
VM_RATE_BYTES_PER_S = 0.44e6
# Bound on applying a configuration, from its acknowledgement.
IN_FORCE_S = 6.0
# Bound on coming into contact after a start.
READY_S = 5.0
# How far back the store's history of changes reaches.
HISTORY_S = 20
SHARDS = tuple(f"service{number}" for number in range(36))


def configuration(version, routes):
    gather = documents.gather_fields(SHARDS, 10, 0.9)
    return documents.configuration_spec(
        version,
        [documents.route_spec(f"r{n}", **gather) for n in range(routes)],
        SHARDS,
    )


def start_fleet(vm_count, routes=50):
    fleet = VirtualFleet(configuration(1, routes))
    fleet.start(vm_count, VM_RATE_BYTES_PER_S)
    return fleet


class LargeConfigurationTest(unittest.TestCase):
    def test_it_is_in_force_on_all_vms_of_a_data_centre_in_time(self):
        fleet = start_fleet(12)
        self.assertEqual(set(fleet.versions().values()), {1})
        for version, routes in ((2, 500), (3, 1_000), (4, 1_500)):
            fleet.configure(configuration(version, routes))
            fleet.network.run_for(IN_FORCE_S)
            self.assertEqual(
                fleet.versions(), dict.fromkeys(fleet.gateways, version)
            )

    def test_a_vm_that_starts_while_it_is_in_force_becomes_ready(self):
        fleet = start_fleet(2, routes=1_500)
        fleet.add_gateway("late", VM_RATE_BYTES_PER_S, first_start=False)
        fleet.network.run_for(READY_S)
        self.assertTrue(fleet.gateways["late"].ready)

    def test_a_vm_that_loses_its_peer_does_not_list_it_again(self):
        fleet = start_fleet(2)
        revisions = []
        for second in range(60):
            fleet.store.put("others", f"o{second}", {})
            fleet.network.run_for(1.0)
            revisions.append(fleet.store.revision)
            fleet.store.forgotten = revisions[max(0, second - HISTORY_S)]
        reader, follower = sorted(
            fleet.gateways.values(), key=lambda vm: vm.parts.store.paused
        )
        self.assertTrue(follower.parts.store.paused)
        fleet.store.calls.clear()
        reader.plan_stop()
        fleet.network.run_for(5.0)
        self.assertFalse(follower.parts.store.paused)
        lists = [
            call
            for call in fleet.store.calls
            if call.startswith("GET /objects/config") and "watch" not in call
        ]
        self.assertEqual(lists, [])
