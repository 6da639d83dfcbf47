"""Tests of choosing a leaf."""

import unittest

from oriolegate.placement import cold_turns
from oriolegate.placement import leaf_directory
from oriolegate.placement import leaf_record
from oriolegate.placement.leaf_directory import Ask
from oriolegate.placement.leaf_directory import NoLeaf
from tests import site_builders as build

MEMBERS = frozenset({"vm-1", "vm-2", "vm-3", "vm-4"})


def ask(**changes):
    fields = {
        "service": "s",
        "tried": (),
        "home_regions": frozenset(),
        "typical_ms": 20.0,
    }
    return Ask(**(fields | changes))


def chosen(directory, now_ms=0.0, **changes):
    found = directory.choose(now_ms, ask(**changes))
    return found if isinstance(found, NoLeaf) else found.entry.leaf_id


class ChoiceTest(unittest.TestCase):
    def setUp(self):
        self.directory = build.directory(
            [build.leaf("near"), build.leaf("far", data_centre="dc-b")]
        )

    def record(self, leaf_id):
        return self.directory.leafs[leaf_id]

    def test_the_near_leaf_is_preferred(self):
        self.assertEqual(chosen(self.directory), "near")

    def test_a_leaf_that_answers_slowly_loses_to_a_far_one(self):
        for _ in range(20):
            self.record("near").answered(0.0, 200.0, 20.0)
        self.assertEqual(chosen(self.directory), "far")

    def test_slowness_is_forgotten(self):
        for _ in range(20):
            self.record("near").answered(0.0, 200.0, 20.0)
        self.assertEqual(chosen(self.directory, now_ms=15_000.0), "near")

    def test_a_leaf_with_an_overdue_request_loses_to_a_far_one(self):
        self.record("near").outstanding[1] = 0.0
        self.assertEqual(chosen(self.directory, now_ms=10.0), "near")
        self.assertEqual(chosen(self.directory, now_ms=80.0), "far")

    def test_a_leaf_that_turned_a_connection_away_is_left_for_a_moment(self):
        self.record("near").turn_away(0.0)
        self.assertEqual(chosen(self.directory), "far")
        self.assertEqual(chosen(self.directory, leaf_record.CROWDED_MS), "near")

    def test_where_connections_are_short_a_vm_uses_those_dealt_to_it(self):
        many = frozenset(f"vm-{number}" for number in range(90))
        self.directory.members = many
        self.directory.members_by_region = {"west": 90}
        self.directory.refresh_capacities()
        dealt = {name: r.is_dealt for name, r in self.directory.leafs.items()}
        self.assertLess(sum(dealt.values()), 2)
        # A leaf that was not dealt to it is still used.
        self.assertEqual(chosen(self.directory, tried=("far",)), "near")

    def test_between_leafs_as_far_the_dealt_one_goes_first(self):
        self.directory.put(0.0, build.leaf("other", data_centre="dc-b"))
        for undealt, wanted in (("far", "other"), ("other", "far")):
            for leaf_id in ("far", "other"):
                self.record(leaf_id).is_dealt = leaf_id != undealt
            self.assertEqual(chosen(self.directory, tried=("near",)), wanted)

    def test_a_slow_near_leaf_loses_to_a_far_one_that_is_not_dealt(self):
        for _ in range(20):
            self.record("near").answered(0.0, 200.0, 20.0)
        self.record("far").is_dealt = False
        self.assertEqual(chosen(self.directory), "far")

    def test_a_leaf_that_fails_often_loses_to_a_far_one(self):
        for _ in range(3):
            self.record("near").failed(0.0)
        self.assertEqual(chosen(self.directory), "far")

    def test_draining_leafs_get_nothing(self):
        self.directory.put(1.0, build.leaf("near", draining=True))
        self.assertEqual(chosen(self.directory), "far")

    def test_evacuated_data_centres_get_nothing(self):
        self.directory.evacuated.add("dc-a")
        self.assertEqual(chosen(self.directory), "far")

    def test_homes_bind(self):
        homes = frozenset({"south"})
        self.assertEqual(chosen(self.directory, home_regions=homes), "far")
        homes = frozenset({"west"})
        self.assertIs(
            chosen(self.directory, home_regions=homes), NoLeaf.NONE_LEFT
        )

    def test_full_leafs_are_left_out(self):
        for leaf_id in ("near", "far"):
            record = self.record(leaf_id)
            record.outstanding = dict.fromkeys(range(record.capacity), 0.0)
        self.assertIs(chosen(self.directory), NoLeaf.ALL_FULL)

    def test_parts_of_the_connections_add_up_to_less_than_all(self):
        self.directory.members = MEMBERS
        self.directory.refresh_capacities()
        self.assertLessEqual(self.record("near").capacity * len(MEMBERS), 36)

    def test_a_lapsed_entry_is_the_last_resort_and_then_gone(self):
        self.directory.lapse(0.0, "near")
        self.assertEqual(chosen(self.directory, 10.0), "far")
        self.assertEqual(chosen(self.directory, 10.0, tried=("far",)), "near")
        later_ms = leaf_directory.LAPSED_USE_MS
        self.assertEqual(self.directory.drop_lapsed(later_ms), ["near"])
        self.assertIs(
            chosen(self.directory, later_ms, tried=("far",)), NoLeaf.NONE_LEFT
        )

    def test_a_draining_leaf_whose_entry_goes_is_told_as_gone(self):
        self.directory.put(0.0, build.leaf("near", draining=True))
        self.directory.lapse(5.0, "near")
        self.assertEqual(self.directory.drop_lapsed(5.0), ["near"])
        self.assertNotIn("near", self.directory.leafs)

    def test_a_leaf_that_lost_its_address_is_gone_until_it_writes_again(self):
        self.directory.displace("near")
        self.assertEqual(chosen(self.directory), "far")
        self.directory.displace("near")
        self.directory.put(5.0, build.leaf("near", port=8081))
        self.assertEqual(chosen(self.directory, 5.0), "near")

    def test_an_entry_that_comes_back_is_used_again(self):
        self.directory.lapse(0.0, "near")
        self.directory.put(100.0, build.leaf("near"))
        self.assertEqual(self.directory.drop_lapsed(9_000.0), [])
        self.assertEqual(chosen(self.directory, 9_000.0), "near")


class ColdTest(unittest.TestCase):
    def setUp(self):
        self.directories = []
        for vm in sorted(MEMBERS):
            directory = build.directory(
                [build.leaf("cold", cold_left_ms=3_000.0)], vm=vm
            )
            directory.members = MEMBERS
            directory.members_known = True
            self.directories.append(directory)

    def test_a_warm_leaf_is_preferred_however_far(self):
        directory = self.directories[0]
        directory.put(0.0, build.leaf("far", data_centre="dc-b"))
        self.assertEqual(chosen(directory), "far")

    def test_all_vms_together_keep_half_of_the_bound_in_any_second(self):
        sent = []
        for now_ms in range(0, 2_900, 10):
            sent += [
                now_ms
                for directory in self.directories
                if chosen(directory, float(now_ms)) == "cold"
            ]
        bound = build.BOUNDS.cold_slack
        for start_ms in sent:
            count = sum(start_ms <= at < start_ms + 1_000 for at in sent)
            self.assertLessEqual(count, bound / 2)
        self.assertGreater(len(sent), 0)

    def test_without_a_trusted_membership_it_gets_nothing(self):
        for directory in self.directories:
            directory.members_known = False
            self.assertIs(chosen(directory), NoLeaf.ALL_COLD)

    def test_it_is_warm_once_its_time_is_over(self):
        self.assertEqual(chosen(self.directories[0], 3_000.0), "cold")

    def test_it_is_cold_again_when_its_entry_says_so(self):
        directory = build.directory([build.leaf("warm")])
        directory.put(50.0, build.leaf("warm", cold_left_ms=1_000.0))
        self.assertIs(chosen(directory, 60.0), NoLeaf.ALL_COLD)

    def test_leafs_of_a_readmitted_data_centre_are_cold_until_heard_of(self):
        directory = build.directory([build.leaf("back")])
        directory.evacuated.add("dc-a")
        directory.readmit(100.0, "dc-a")
        self.assertIs(chosen(directory, 101.0), NoLeaf.ALL_COLD)
        directory.put(200.0, build.leaf("back"))
        self.assertEqual(chosen(directory, 200.0), "back")

    def test_a_readmitted_leaf_that_tells_nothing_is_warm_in_the_end(self):
        directory = build.directory([build.leaf("back")])
        directory.readmit(100.0, "dc-a")
        later_ms = 100.0 + leaf_directory.READMISSION_MS
        self.assertEqual(chosen(directory, later_ms), "back")

    def test_a_suspect_gets_no_request_until_heard_of(self):
        directory = build.directory([build.leaf("warm")])
        directory.leafs["warm"].suspect = True
        directory.members_known = True
        self.assertIs(chosen(directory), NoLeaf.ALL_COLD)
        directory.put(10.0, build.leaf("warm"))
        self.assertEqual(chosen(directory, 10.0), "warm")

    def test_after_standing_still_nothing_is_sent_until_confirmed(self):
        directory = build.directory([build.leaf("warm")])
        directory.doubt(100.0)
        self.assertIs(chosen(directory, 100.0), NoLeaf.UNSURE)
        directory.trust()
        self.assertEqual(chosen(directory, 101.0), "warm")
        directory.doubt(200.0)
        later_ms = 200.0 + leaf_directory.UNSURE_MS
        self.assertEqual(chosen(directory, later_ms), "warm")

    def test_turns_grow_with_the_bound(self):
        self.assertEqual(cold_turns.turns(0.0, 1.5, 5.0), 2)
        self.assertEqual(cold_turns.turns(10.0, 1.5, 5.0), 10)
