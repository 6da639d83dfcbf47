"""Tests of the choice of a leaf."""

import unittest

from oriolegate.models.leaf_notice import LeafNotice
from oriolegate.placement import cold_leaf_quota
from oriolegate.placement import leaf_directory
from oriolegate.placement import leaf_record
from oriolegate.placement.leaf_directory import LeafChange
from oriolegate.placement.leaf_directory import LeafCriteria
from oriolegate.placement.leaf_directory import NoLeaf
from tests import site_builders as build

MEMBERS = frozenset({"vm-1", "vm-2", "vm-3", "vm-4"})


def criteria(**changes):
    fields = {
        "service": "s",
        "tried": (),
        "home_regions": frozenset(),
        "typical_ms": 20.0,
    }
    return LeafCriteria(**(fields | changes))


def chosen(directory, now_ms=0.0, **changes):
    choice = directory.choose(now_ms, criteria(**changes))
    return choice if isinstance(choice, NoLeaf) else choice.entry.leaf_id


class RestoredEntriesTest(unittest.TestCase):
    def setUp(self):
        self.directory = build.directory(
            [build.leaf("a", born_ms=5, cold_left_ms=1_000.0)]
        )

    def restore(self, **changes):
        entry = build.leaf("a", **{"born_ms": 5} | changes)
        return self.directory.put_restored(0.0, entry)

    def test_a_leaf_stays_cold_until_it_writes_its_entry_again(self):
        self.assertTrue(self.restore().is_cold(999.0))
        self.directory.put(0.0, build.leaf("a", born_ms=5))
        self.assertFalse(self.directory.leafs["a"].is_cold(999.0))

    def test_a_leaf_stays_in_its_incarnation(self):
        self.assertEqual(self.restore(born_ms=4).entry.born_ms, 5)
        self.assertEqual(self.restore(born_ms=6).entry.born_ms, 6)

    def test_a_draining_leaf_does_not_return(self):
        self.directory.put(0.0, build.leaf("a", born_ms=5, draining=True))
        self.assertTrue(self.restore().entry.draining)
        self.directory.on_entry_removed(0.0, "a")
        self.assertEqual(self.directory.drop_expired(0.0), ["a"])
        self.assertTrue(self.restore().entry.draining)
        self.assertFalse(self.restore(born_ms=6).entry.draining)


class ChoiceTest(unittest.TestCase):
    def setUp(self):
        self.directory = build.directory(
            [build.leaf("near"), build.leaf("far", data_centre="dc-b")]
        )

    def record(self, leaf_id):
        return self.directory.leafs[leaf_id]

    def test_the_nearest_leaf_is_preferred(self):
        self.assertEqual(chosen(self.directory), "near")

    def test_a_slow_local_leaf_loses_to_a_remote_one(self):
        for _ in range(20):
            self.record("near").record_success(0.0, 200.0, 20.0)
        self.assertEqual(chosen(self.directory), "far")

    def test_slowness_decays(self):
        for _ in range(20):
            self.record("near").record_success(0.0, 200.0, 20.0)
        self.assertEqual(chosen(self.directory, now_ms=15_000.0), "near")

    def test_a_local_leaf_with_an_overdue_request_loses_to_a_remote_one(self):
        self.record("near").outstanding[1] = 0.0
        self.assertEqual(chosen(self.directory, now_ms=10.0), "near")
        self.assertEqual(chosen(self.directory, now_ms=80.0), "far")

    def test_a_leaf_that_rejected_a_connection_is_skipped_for_a_while(self):
        self.record("near").record_rejection(0.0)
        self.assertEqual(chosen(self.directory), "far")
        self.assertEqual(
            chosen(self.directory, leaf_record.REJECTION_PAUSE_MS), "near"
        )

    def test_with_few_connections_a_vm_is_assigned_few_leafs(self):
        many = frozenset(f"vm-{number}" for number in range(90))
        self.directory.members = many
        self.directory.members_by_region = {"west": 90}
        self.directory.refresh_capacities()
        assigned = {
            name: r.is_assigned for name, r in self.directory.leafs.items()
        }
        self.assertLess(sum(assigned.values()), 2)
        # A leaf that is not assigned to this VM is still used.
        self.assertEqual(chosen(self.directory, tried=("far",)), "near")

    def test_at_the_same_distance_the_assigned_leaf_is_preferred(self):
        self.directory.put(0.0, build.leaf("other", data_centre="dc-b"))
        for unassigned, expected in (("far", "other"), ("other", "far")):
            for leaf_id in ("far", "other"):
                self.record(leaf_id).is_assigned = leaf_id != unassigned
            self.assertEqual(chosen(self.directory, tried=("near",)), expected)

    def test_a_slow_local_leaf_loses_to_an_unassigned_remote_one(self):
        for _ in range(20):
            self.record("near").record_success(0.0, 200.0, 20.0)
        self.record("far").is_assigned = False
        self.assertEqual(chosen(self.directory), "far")

    def test_a_local_leaf_that_fails_often_loses_to_a_remote_one(self):
        for _ in range(3):
            self.record("near").record_failure(0.0)
        self.assertEqual(chosen(self.directory), "far")

    def test_draining_leafs_get_no_requests(self):
        self.directory.put(1.0, build.leaf("near", draining=True))
        self.assertEqual(chosen(self.directory), "far")

    def test_evacuated_data_centres_get_no_requests(self):
        self.directory.evacuated.add("dc-a")
        self.assertEqual(chosen(self.directory), "far")

    def test_only_leafs_in_home_regions_are_chosen(self):
        homes = frozenset({"south"})
        self.assertEqual(chosen(self.directory, home_regions=homes), "far")
        homes = frozenset({"west"})
        self.assertIs(
            chosen(self.directory, home_regions=homes), NoLeaf.NONE_LEFT
        )

    def test_full_leafs_are_skipped(self):
        for leaf_id in ("near", "far"):
            record = self.record(leaf_id)
            record.outstanding = dict.fromkeys(range(record.capacity), 0.0)
        self.assertIs(chosen(self.directory), NoLeaf.ALL_FULL)

    def test_capacities_of_all_vms_stay_within_the_connection_limit(self):
        self.directory.members = MEMBERS
        self.directory.refresh_capacities()
        self.assertLessEqual(self.record("near").capacity * len(MEMBERS), 36)

    def test_a_leaf_without_entry_is_the_last_resort_until_it_is_dropped(self):
        self.directory.on_entry_removed(0.0, "near")
        self.assertEqual(chosen(self.directory, 10.0), "far")
        self.assertEqual(chosen(self.directory, 10.0, tried=("far",)), "near")
        later_ms = leaf_directory.REMOVED_USE_MS
        self.assertEqual(self.directory.drop_expired(later_ms), ["near"])
        self.assertIs(
            chosen(self.directory, later_ms, tried=("far",)), NoLeaf.NONE_LEFT
        )

    def test_a_draining_leaf_is_dropped_once_its_entry_is_removed(self):
        self.directory.put(0.0, build.leaf("near", draining=True))
        self.directory.on_entry_removed(5.0, "near")
        self.assertEqual(self.directory.drop_expired(5.0), ["near"])
        self.assertNotIn("near", self.directory.leafs)

    def test_a_leaf_that_lost_its_address_is_dropped_until_its_next_entry(self):
        self.directory.on_address_taken("near")
        self.assertEqual(chosen(self.directory), "far")
        self.directory.on_address_taken("near")
        self.directory.put(5.0, build.leaf("near", port=8081))
        self.assertEqual(chosen(self.directory, 5.0), "near")

    def test_a_leaf_whose_entry_is_written_again_is_kept(self):
        self.directory.on_entry_removed(0.0, "near")
        self.directory.put(100.0, build.leaf("near"))
        self.assertEqual(self.directory.drop_expired(9_000.0), [])
        self.assertEqual(chosen(self.directory, 9_000.0), "near")


class LimitTest(unittest.TestCase):
    def setUp(self):
        self.directory = build.directory(
            [build.leaf("near"), build.leaf("far", data_centre="dc-b")]
        )

    def use_up(self, leaf_id):
        notice = LeafNotice(limit_per_s=0.0)
        self.directory.apply_notice(0.0, leaf_id, notice)
        self.assertTrue(self.directory.leafs[leaf_id].is_declining(0.0))

    def test_a_leaf_whose_limit_is_used_up_is_not_chosen(self):
        self.use_up("near")
        self.assertEqual(chosen(self.directory), "far")
        self.use_up("far")
        self.assertIs(chosen(self.directory), NoLeaf.ALL_LIMITED)

    def test_requests_wait_for_a_full_leaf_only_if_it_accepts_more(self):
        self.use_up("near")
        far = self.directory.leafs["far"]
        far.outstanding = dict.fromkeys(range(far.capacity), 0.0)
        self.assertIs(chosen(self.directory), NoLeaf.ALL_FULL)

    def test_a_cold_leaf_may_serve_if_the_warm_ones_accept_no_more(self):
        self.directory.members_known = True
        self.directory.services = {"s": build.service(cold_per_s=8.0)}
        self.directory.put(
            0.0, build.leaf("far", data_centre="dc-b", cold_left_ms=9_000.0)
        )
        self.use_up("near")
        self.assertEqual(chosen(self.directory), "far")
        self.assertIs(chosen(self.directory), NoLeaf.ALL_LIMITED)

    def test_the_beginning_and_the_end_of_a_limit_are_reported(self):
        changes = [
            self.directory.apply_notice(
                0.0, "near", LeafNotice(limit_per_s=limit)
            )
            for limit in (None, 5.0, 6.0, None, None)
        ]
        self.assertEqual(
            changes, [[], [LeafChange.LIMITED], [], [LeafChange.UNLIMITED], []]
        )

    def test_a_leaf_that_restarted_under_its_id_has_no_limit(self):
        self.use_up("near")
        self.directory.put(0.0, build.leaf("near", born_ms=7))
        self.assertFalse(self.directory.leafs["near"].is_declining(0.0))


class QuietTest(unittest.TestCase):
    def setUp(self):
        self.directory = build.directory(
            [build.leaf("near"), build.leaf("far", data_centre="dc-b")]
        )

    def ask_for_quiet(self, leaf_id, quiet_ms=1_000.0):
        return self.directory.apply_notice(
            0.0, leaf_id, LeafNotice(quiet_ms=quiet_ms)
        )

    def test_a_leaf_is_not_chosen_in_its_quiet_time(self):
        self.assertEqual(self.ask_for_quiet("near"), [LeafChange.QUIET])
        self.assertEqual(self.ask_for_quiet("near"), [])
        self.assertEqual(chosen(self.directory, 999.0), "far")
        self.ask_for_quiet("far", 500.0)
        self.assertIs(chosen(self.directory, 400.0), NoLeaf.ALL_QUIET)

    def test_an_answer_to_an_earlier_request_does_not_end_it(self):
        self.ask_for_quiet("near")
        self.directory.apply_notice(10.0, "near", LeafNotice())
        self.assertEqual(chosen(self.directory, 999.0), "far")

    def test_the_first_answer_after_it_ends_the_return_one_by_one(self):
        self.ask_for_quiet("near")
        later_ms = 1_000.0 * (1.0 + leaf_directory.RETURN_SPREAD)
        self.assertEqual(chosen(self.directory, later_ms), "near")
        near = self.directory.leafs["near"]
        near.outstanding = {1: later_ms}
        self.assertEqual(chosen(self.directory, later_ms), "far")
        self.directory.apply_notice(later_ms, "near", LeafNotice())
        self.assertFalse(near.is_declining(later_ms))

    def test_the_first_use_of_a_quiet_service_is_known(self):
        self.assertIsNone(self.directory.earliest_use_ms(criteria()))
        self.ask_for_quiet("near", 4_000.0)
        self.ask_for_quiet("far", 1_000.0)
        at_ms = self.directory.earliest_use_ms(criteria())
        self.assertTrue(1_000.0 <= at_ms <= 1_250.0, at_ms)


class LeavingTest(unittest.TestCase):
    def setUp(self):
        self.directory = build.directory(
            [
                build.leaf("near", born_ms=5),
                build.leaf("far", data_centre="dc-b"),
            ]
        )

    def leave(self):
        notice = LeafNotice(is_leaving=True)
        return self.directory.apply_notice(0.0, "near", notice)

    def test_a_leaf_that_announces_its_leaving_is_not_chosen(self):
        self.assertEqual(self.leave(), [LeafChange.LEAVING])
        self.assertEqual(self.leave(), [])
        self.assertEqual(chosen(self.directory), "far")
        self.assertIs(chosen(self.directory, tried=("far",)), NoLeaf.NONE_LEFT)

    def test_a_later_entry_or_answer_does_not_bring_it_back(self):
        self.leave()
        self.directory.put(1.0, build.leaf("near", born_ms=5))
        self.directory.apply_notice(1.0, "near", LeafNotice())
        self.assertEqual(chosen(self.directory, 1.0), "far")
        self.directory.on_entry_removed(2.0, "near")
        self.assertEqual(self.directory.drop_expired(2.0), ["near"])
        self.directory.put(3.0, build.leaf("near", born_ms=5))
        self.assertEqual(chosen(self.directory, 3.0), "far")

    def test_its_next_incarnation_is_used(self):
        self.leave()
        self.directory.put(1.0, build.leaf("near", born_ms=6))
        self.assertEqual(chosen(self.directory, 1.0), "near")


class LapsedEntryTest(unittest.TestCase):
    """An entry lapses with the store and is back later than its last use."""

    QUIET_MS = 20_000.0

    def setUp(self):
        self.directory = build.directory(
            [build.leaf("a", born_ms=5), build.leaf("b", born_ms=5)]
        )

    def lapse(self):
        self.directory.on_entry_removed(0.0, "a")
        removed_at_ms = leaf_directory.REMOVED_USE_MS
        self.assertEqual(self.directory.drop_expired(removed_at_ms), ["a"])

    def put_again(self, **changes):
        entry = build.leaf("a", **{"born_ms": 5} | changes)
        return self.directory.put(3_000.0, entry)

    def notify(self, **fields):
        self.directory.apply_notice(0.0, "a", LeafNotice(**fields))

    def test_the_quiet_time_of_a_leaf_outlives_its_entry(self):
        self.notify(quiet_ms=self.QUIET_MS)
        self.lapse()
        self.assertTrue(self.put_again().is_declining(self.QUIET_MS - 1.0))
        self.assertEqual(chosen(self.directory, 3_000.0), "b")

    def test_the_limit_of_a_leaf_outlives_its_entry(self):
        self.notify(limit_per_s=0.0)
        self.lapse()
        self.assertTrue(self.put_again().is_declining(3_000.0))

    def test_a_notice_of_a_leaf_whose_entry_has_lapsed_holds(self):
        self.lapse()
        self.notify(quiet_ms=self.QUIET_MS)
        self.assertTrue(self.put_again().is_declining(self.QUIET_MS - 1.0))

    def test_a_new_incarnation_has_neither(self):
        self.notify(quiet_ms=self.QUIET_MS, limit_per_s=0.0)
        self.lapse()
        self.assertFalse(self.put_again(born_ms=6).is_declining(3_000.0))

    def test_records_of_gone_leafs_are_bounded(self):
        for number in range(leaf_directory.MAX_DROPPED + 10):
            leaf_id = f"leaf-{number}"
            self.directory.put(0.0, build.leaf(leaf_id, born_ms=5))
            self.directory.on_address_taken(leaf_id)
        count = len(self.directory.dropped)
        self.assertEqual(count, leaf_directory.MAX_DROPPED)


class OutdatedViewTest(unittest.TestCase):
    """Changes of entries don't reach this VM."""

    def setUp(self):
        self.directory = build.directory(
            [build.leaf("near"), build.leaf("far", data_centre="dc-b")]
        )
        self.connected = set()
        self.unverified = []
        self.directory.has_connection = self.connected.__contains__
        self.directory.is_view_current = lambda: False
        self.directory.on_unverified = lambda record: self.unverified.append(
            record.entry.leaf_id
        )

    def test_a_leaf_without_a_connection_is_checked_before_its_use(self):
        self.assertIs(chosen(self.directory), NoLeaf.UNSURE)
        self.assertEqual(self.unverified, ["near"])
        self.directory.leafs["near"].verified_at_ms = 0.0
        self.assertEqual(chosen(self.directory, 10.0), "near")
        later_ms = leaf_directory.VERIFIED_MS
        self.assertIs(chosen(self.directory, later_ms), NoLeaf.UNSURE)

    def test_a_connected_leaf_serves_while_a_faster_one_is_checked(self):
        self.connected.add("far")
        self.assertEqual(chosen(self.directory), "far")
        self.assertEqual(self.unverified, ["near"])

    def test_a_connected_leaf_needs_no_check(self):
        self.connected.add("near")
        self.assertEqual(chosen(self.directory), "near")
        self.assertEqual(self.unverified, [])

    def test_no_leaf_is_checked_while_the_view_is_current(self):
        self.directory.is_view_current = lambda: True
        self.assertEqual(chosen(self.directory), "near")
        self.assertEqual(self.unverified, [])


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

    def test_a_remote_warm_leaf_is_preferred_to_a_local_cold_one(self):
        directory = self.directories[0]
        directory.put(0.0, build.leaf("far", data_centre="dc-b"))
        self.assertEqual(chosen(directory), "far")

    def test_all_vms_together_use_at_most_half_of_the_limit_in_any_second(self):
        sent = []
        for now_ms in range(0, 2_900, 10):
            sent += [
                now_ms
                for directory in self.directories
                if chosen(directory, float(now_ms)) == "cold"
            ]
        limit = build.BOUNDS.cold_slack
        for start_ms in sent:
            count = sum(start_ms <= at < start_ms + 1_000 for at in sent)
            self.assertLessEqual(count, limit / 2)
        self.assertGreater(len(sent), 0)

    def test_without_a_current_member_list_a_cold_leaf_gets_no_requests(self):
        for directory in self.directories:
            directory.members_known = False
            self.assertIs(chosen(directory), NoLeaf.ALL_COLD)

    def test_a_leaf_is_warm_once_its_cold_time_is_over(self):
        self.assertEqual(chosen(self.directories[0], 3_000.0), "cold")

    def test_a_leaf_is_cold_again_if_its_new_entry_says_so(self):
        directory = build.directory([build.leaf("warm")])
        directory.put(50.0, build.leaf("warm", cold_left_ms=1_000.0))
        self.assertIs(chosen(directory, 60.0), NoLeaf.ALL_COLD)

    def test_leafs_of_a_readmitted_data_centre_are_cold_until_an_update(self):
        directory = build.directory([build.leaf("back")])
        directory.evacuated.add("dc-a")
        directory.readmit(100.0, "dc-a")
        self.assertIs(chosen(directory, 101.0), NoLeaf.ALL_COLD)
        directory.put(200.0, build.leaf("back"))
        self.assertEqual(chosen(directory, 200.0), "back")

    def test_a_readmitted_leaf_without_an_update_is_warm_after_a_while(self):
        directory = build.directory([build.leaf("back")])
        directory.readmit(100.0, "dc-a")
        later_ms = 100.0 + leaf_directory.READMISSION_MS
        self.assertEqual(chosen(directory, later_ms), "back")

    def test_a_suspect_leaf_gets_no_request_until_an_update(self):
        directory = build.directory([build.leaf("warm")])
        directory.leafs["warm"].suspect = True
        directory.members_known = True
        self.assertIs(chosen(directory), NoLeaf.UNREACHABLE)
        directory.put(10.0, build.leaf("warm"))
        self.assertEqual(chosen(directory, 10.0), "warm")

    def test_after_a_process_pause_no_leaf_is_chosen_until_confirmation(self):
        directory = build.directory([build.leaf("warm")])
        directory.on_process_paused(100.0)
        self.assertIs(chosen(directory, 100.0), NoLeaf.UNSURE)
        directory.on_store_confirmed()
        self.assertEqual(chosen(directory, 101.0), "warm")
        directory.on_process_paused(200.0)
        later_ms = 200.0 + leaf_directory.CONFIRMATION_WAIT_MS
        self.assertEqual(chosen(directory, later_ms), "warm")

    def test_the_number_of_allowed_vms_grows_with_the_limit(self):
        self.assertEqual(cold_leaf_quota.allowed_vm_count(0.0, 1.5, 5.0), 2)
        self.assertEqual(cold_leaf_quota.allowed_vm_count(10.0, 1.5, 5.0), 10)
