"""Tests of the choice of VMs to which a gateway forwards requests."""

import random
import unittest

from oriolegate.forwarding import target_choice
from oriolegate.forwarding.target_choice import TargetChoice
from oriolegate.models.site import MemberEntry

REGIONS = {"dc-a": "north", "dc-b": "north", "dc-c": "south"}


def member(vm, data_centre, *, accepts=True, link_mbps=100.0):
    return MemberEntry(vm, data_centre, vm, 1, 0, link_mbps, accepts)


class TargetChoiceTest(unittest.TestCase):
    def setUp(self):
        self.choice = TargetChoice("own", "dc-a", REGIONS, random.Random(1))
        self.choice.set_members(
            0.0,
            [
                member("own", "dc-a"),
                *(member(f"a{n}", "dc-a") for n in range(4)),
                *(member(f"b{n}", "dc-b") for n in range(4)),
                *(member(f"c{n}", "dc-c") for n in range(4)),
                member("a-old", "dc-a", accepts=False),
            ],
        )

    def choose(self, now_ms=0.0, home_regions=()):
        return self.choice.choose(now_ms, "route", home_regions)

    def test_near_vms_come_first_and_far_ones_are_reached(self):
        places = [vm[0] for vm in self.choose()]
        self.assertEqual(places, ["a", "a", "b", "b", "c"])

    def test_neither_this_vm_nor_earlier_versions_are_chosen(self):
        chosen = {vm for _ in range(200) for vm in self.choose()}
        self.assertTrue(chosen.isdisjoint({"own", "a-old"}))

    def test_a_vm_that_served_is_preferred_to_untested_ones(self):
        self.choice.record_served(0.0, "b2")
        third = [self.choose()[2] for _ in range(200)]
        self.assertGreater(third.count("b2"), 120)
        self.choice.record_served(0.0, "a3")
        first = [self.choose()[0] for _ in range(200)]
        self.assertGreater(first.count("a3"), 120)

    def test_load_spreads_to_vms_that_did_not_serve_yet(self):
        self.choice.record_served(0.0, "a3")
        first = {self.choose()[0] for _ in range(200)}
        self.assertEqual(first, {"a0", "a1", "a2", "a3"})

    def test_a_vm_that_is_cut_off_as_well_is_left_out_for_a_while(self):
        for vm in ("a0", "a1", "a2", "a3"):
            self.choice.record_cut_off(0.0, vm)
        self.assertNotIn("a", {vm[0] for vm in self.choose()})
        later_ms = target_choice.CUT_OFF_PAUSE_MS
        self.assertEqual(self.choose(later_ms)[0][0], "a")

    def test_pauses_of_a_silent_vm_grow_up_to_a_limit(self):
        now_ms = 0.0
        pauses = []
        for _ in range(8):
            self.choice.record_failure(now_ms, "a0")
            state = self.choice.states["a0"]
            pauses.append(state.pause_until_ms - now_ms)
            now_ms = state.pause_until_ms
        self.assertEqual(pauses[0], target_choice.FIRST_FAILURE_PAUSE_MS)
        self.assertEqual(pauses[-1], target_choice.MAX_FAILURE_PAUSE_MS)
        self.assertEqual(pauses, sorted(pauses))

    def test_requests_lost_together_pause_a_vm_once(self):
        for lost_ms in range(10):
            self.choice.record_failure(float(lost_ms), "a1")
        pause_ms = target_choice.FIRST_FAILURE_PAUSE_MS
        chosen = {vm for _ in range(200) for vm in self.choose(pause_ms + 1.0)}
        self.assertIn("a1", chosen)

    def test_any_answer_of_a_vm_ends_the_growth_of_its_pauses(self):
        pause_ms = target_choice.FIRST_FAILURE_PAUSE_MS
        self.choice.record_failure(0.0, "a1")
        self.choice.record_declined(pause_ms, "a1")
        later_ms = 2.0 * pause_ms
        self.choice.record_failure(later_ms, "a1")
        chosen = {
            vm
            for _ in range(200)
            for vm in self.choose(later_ms + pause_ms + 1.0)
        }
        self.assertIn("a1", chosen)

    def test_a_request_stays_in_its_home_regions(self):
        for _ in range(50):
            chosen = self.choose(home_regions={"south"})
            self.assertEqual({vm[0] for vm in chosen}, {"c"})

    def test_a_route_that_no_vm_serves_is_not_forwarded_for_a_while(self):
        self.choice.record_none_served(0.0, "route")
        self.assertEqual(self.choose(target_choice.ROUTE_PAUSE_MS - 1.0), ())
        self.assertNotEqual(self.choose(target_choice.ROUTE_PAUSE_MS), ())
        self.assertNotEqual(self.choice.choose(0.0, "other", ()), ())

    def test_load_spreads_by_the_rates_of_links(self):
        self.choice.set_members(
            0.0,
            [
                member("fast", "dc-a", link_mbps=100.0),
                member("slow", "dc-a", link_mbps=10.0),
            ],
        )
        first = [self.choose()[0] for _ in range(1_100)]
        self.assertTrue(50 <= first.count("slow") <= 200, first.count("slow"))

    def test_a_vm_is_isolated_once_no_other_answers(self):
        self.choice.record_failure(0.0, "a0")
        later_ms = target_choice.ISOLATED_AFTER_MS
        self.assertFalse(self.choice.is_isolated(later_ms - 1.0))
        self.assertTrue(self.choice.is_isolated(later_ms))
        self.choice.record_cut_off(later_ms, "a1")
        self.assertFalse(self.choice.is_isolated(later_ms + 1.0))

    def test_a_vm_that_left_is_the_last_resort_for_a_while(self):
        self.choice.set_members(0.0, [member("b0", "dc-b")])
        chosen = self.choose(1.0)
        self.assertEqual(chosen[0], "b0")
        self.assertEqual(len(chosen), 1 + target_choice.MAX_STOPPING)
        self.choice.record_failure(1.0, chosen[1])
        self.assertNotIn(chosen[1], self.choose(2.0))
        self.assertEqual(self.choose(target_choice.FORMER_USE_MS), ("b0",))
