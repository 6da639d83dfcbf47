"""Tests of choosing homes and of dividing limits among them."""

import unittest

from hypothesis import assume
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from oriolegate.membership.messages import Member
from oriolegate.shares import homes
from oriolegate.shares.home_directory import HomeDirectory
from oriolegate.shares.share_object import Amounts
from oriolegate.shares.share_object import total


def members(per_data_centre):
    return [
        Member(f"{data_centre}-{number}", "h", 1, data_centre, 1)
        for data_centre in ("anf-a", "ccp-a", "scl-a")
        for number in range(per_data_centre)
    ]


class HomesTest(unittest.TestCase):
    def test_homes_are_bounded_by_slots_and_spread_over_data_centres(self):
        chosen = homes.choose_homes("s", Amounts(4, 35, 1), members(20))
        self.assertEqual(len(chosen), 4)
        self.assertEqual(len({name[:3] for name in chosen}), 3)

    def test_all_vms_of_a_small_fleet_are_homes(self):
        chosen = homes.choose_homes("s", Amounts(16, 110, 1), members(2))
        self.assertEqual(len(chosen), 6)

    def test_the_loss_of_a_vm_changes_few_homes(self):
        fleet = members(40)
        moved = 0
        for number in range(100):
            service = f"s-{number}"
            before = homes.choose_homes(service, Amounts(4, 35, 1), fleet)
            after = homes.choose_homes(service, Amounts(4, 35, 1), fleet[1:])
            self.assertLessEqual(len(set(before) - set(after)), 1)
            moved += before != after
        self.assertLess(moved, 15)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        count=strategies.integers(0, 16),
        was=strategies.sets(strategies.integers(0, 59)),
        joined=strategies.sets(strategies.integers(0, 59)),
        left=strategies.sets(strategies.integers(0, 59)),
    )
    def test_only_joined_members_compete_while_all_homes_stay(
        self, count, was, joined, left
    ):
        fleet = [
            Member(f"vm-{number}", "h", 1, f"dc-{number % 7}", 1)
            for number in range(60)
        ]
        limits = Amounts(count, 35, 1)
        held = homes.choose_homes("s", limits, [fleet[n] for n in was])
        stay = was - left
        kept = {f"vm-{n}" for n in stay}
        assume(kept.issuperset(held))
        rivals = [fleet[n] for n in stay if f"vm-{n}" in held]
        rivals += [fleet[n] for n in joined - was]
        everyone = [fleet[n] for n in stay | (joined - was)]
        self.assertEqual(
            homes.choose_homes("s", limits, rivals),
            homes.choose_homes("s", limits, everyone),
        )

    def test_homes_of_the_local_data_centre_are_tried_first(self):
        fleet = members(2)
        chosen = homes.choose_homes("s", Amounts(4, 35, 1), fleet)
        order = homes.forwarding_order(chosen, fleet, "ccp-a")
        self.assertTrue(order[0].startswith("ccp-a"))
        self.assertEqual(set(order), set(chosen))

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        slots=strategies.integers(0, 40),
        connections=strategies.integers(0, 200),
        cold=strategies.integers(0, 3),
        count=strategies.integers(1, 12),
    )
    def test_parts_never_exceed_the_whole(
        self, slots, connections, cold, count
    ):
        limits = Amounts(slots, connections, cold)
        names = {f"vm-{number}" for number in range(count)}
        parts = [homes.fair_share("s", limits, names, name) for name in names]
        whole = total(parts)
        self.assertTrue(whole.fits_in(limits))
        self.assertEqual((whole.slots, whole.connections), (slots, connections))
        self.assertGreaterEqual(whole.cold, min(cold, slots, 1))
        self.assertTrue(all(part.cold <= part.slots for part in parts))

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        changes=strategies.lists(
            strategies.tuples(
                strategies.booleans(), strategies.integers(0, 14)
            ),
            max_size=60,
        )
    )
    def test_the_directory_holds_what_a_fresh_choice_would(self, changes):
        fleet = members(5)
        limits = {f"s-{slots}": Amounts(slots, 9, 1) for slots in range(1, 9)}
        directory = HomeDirectory()
        for service, amounts in limits.items():
            directory.set_service(service, amounts)
        present = {}
        for joins, number in changes:
            member = fleet[number]
            before = {
                service: home_set.homes
                for service, home_set in directory.services.items()
            }
            if joins:
                present[member.vm] = member
                changed = directory.add(member)
            else:
                present.pop(member.vm, None)
                changed = directory.remove(member)
            for service, amounts in limits.items():
                fresh = homes.choose_homes(service, amounts, present.values())
                self.assertEqual(directory.services[service].homes, fresh)
                self.assertEqual(service in changed, before[service] != fresh)
