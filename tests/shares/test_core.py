"""Tests of the shares core: joining, pausing, limits, stopping, goodbyes."""

import random
import unittest

from oriolegate.membership.effects import Send
from oriolegate.shares import effects
from oriolegate.shares import messages
from oriolegate.shares.core import Shares
from oriolegate.shares.service_share import LINGER_MS
from oriolegate.shares.service_share import ShareOwner
from oriolegate.shares.share_object import Amounts
from oriolegate.shares.share_object import from_value
from oriolegate.shares.share_object import Grant
from oriolegate.shares.share_object import NOTHING
from oriolegate.shares.share_object import ShareObject
from oriolegate.shares.share_object import to_value
from oriolegate.timeline.events import EventBuffer

LIMITS = Amounts(4, 35, 1)
WANTED = effects.ServiceWanted("s", True, LIMITS, 1)


def grant(vm, amounts, incarnation=1):
    return Grant(incarnation, f"{vm}:1", amounts)


class SharesTest(unittest.TestCase):
    def setUp(self):
        self.now_ms = 0.0
        self.stored = None
        self.core = Shares(ShareOwner("vm-1", 1, "vm-1:1"), random.Random(1))
        self.grants = []
        self.sent = []
        self.finished = False
        self.store_up = True

    def step(self, event):
        """Run an event and what follows, with a store that answers."""
        waiting = [event]
        while waiting:
            for effect in self.core.step(self.now_ms, waiting.pop(0)):
                waiting += self.follow(effect)

    def follow(self, effect):
        match effect:
            case effects.GrantChanged():
                self.grants.append(effect.amounts)
                return [effects.GrantApplied("s", effect.amounts)]
            case effects.ReadShares(ticket=ticket):
                if not self.store_up:
                    return [effects.ReadFailed("s", ticket)]
                return [effects.SharesRead("s", ticket, self.stored)]
            case effects.WriteShares():
                return [self.write(effect)]
            case Send():
                self.sent.append(effect)
            case effects.SharesReturned():
                self.finished = True
        return []

    def write(self, call):
        present = self.stored.version if self.stored else 0
        if not self.store_up:
            return effects.WriteUnknown("s", call.ticket)
        if call.expected_version != present:
            return effects.WriteRefused("s", call.ticket)
        self.store(present + 1, dict(call.share_object.grants))
        return effects.SharesWritten("s", call.ticket, present + 1)

    def store(self, version, grants, limits=LIMITS, generation=1):
        self.stored = ShareObject(version, generation, limits, grants)

    def after(self, interval_ms):
        self.now_ms += interval_ms
        self.step(effects.Tick())

    def assert_granted_once_requests_have_run_out(self):
        self.after(LINGER_MS - 1)
        self.assertEqual(self.grants, [])
        self.after(1)
        self.assertEqual(self.grants, [LIMITS])

    def later(self):
        self.now_ms += 200_000
        self.step(effects.Tick())

    def test_the_first_home_gets_everything(self):
        self.step(WANTED)
        self.assertEqual(self.grants, [LIMITS])
        self.assertEqual(self.stored.grants["vm-1"].amounts, LIMITS)

    def test_changed_grants_are_recorded_for_the_time_line(self):
        buffer = EventBuffer("vm-1", 0.0)
        self.core = Shares(self.core.owner, random.Random(1), buffer)
        self.step(WANTED)
        details = [event.detail for event in buffer.events()]
        self.assertEqual(details, [("s", 4, 35, 1)])

    def test_a_joining_home_asks_and_waits_until_others_have_lowered(self):
        self.store(1, {"vm-2": grant("vm-2", LIMITS)})
        self.step(WANTED)
        self.assertEqual(self.grants, [])
        self.assertEqual(self.stored.grants["vm-1"].amounts, NOTHING)
        moved = messages.SharesMoved("s", 2)
        self.assertIn(Send("vm-2", moved), self.sent)
        lowered = grant("vm-2", Amounts(2, 18, 0))
        self.store(3, {**self.stored.grants, "vm-2": lowered})
        moved = messages.SharesMoved("s", 3)
        self.step(effects.Received("vm-2", moved))
        self.assertEqual(self.grants[-1].slots, 2)

    def test_an_over_provisioned_home_lowers_its_use_before_it_writes(self):
        self.step(WANTED)
        newcomer = grant("vm-2", NOTHING)
        self.store(2, {**self.stored.grants, "vm-2": newcomer})
        self.core.step(0.0, effects.Received("vm-2", self.moved(2)))
        share = self.core.services["s"]
        read = effects.SharesRead("s", share.reading, self.stored)
        out = self.core.step(0.0, read)
        self.assertEqual([type(item) for item in out], [effects.GrantChanged])
        self.assertEqual(out[0].slots, 2)
        applied = effects.GrantApplied("s", out[0].amounts)
        out = self.core.step(0.0, applied)
        self.assertEqual([type(item) for item in out], [effects.WriteShares])

    def drive(self, *events):
        """Run events without a store; return the last one's effects."""
        out = []
        for event in events:
            self.now_ms += 10_000
            out = self.core.step(self.now_ms, event)
        return out

    def drive_without_grant(self, *events):
        """Run events, none of which may change the grant."""
        out = []
        for event in events:
            out = self.drive(event)
            kinds = [type(effect) for effect in out]
            self.assertNotIn(effects.GrantChanged, kinds)
        return out

    def test_a_write_of_open_fate_keeps_its_lower_share_in_force(self):
        held = {"vm-1": grant("vm-1", LIMITS)}
        both = {**held, "vm-2": grant("vm-2", NOTHING)}
        asked = ShareObject(2, 1, LIMITS, both)
        first = self.drive(WANTED, effects.SharesRead("s", 1, asked))
        self.assertEqual(first[0].slots, 2)
        self.assertEqual(first[1].ticket, 2)
        # The newcomer ends, so that all is due to this process again; but
        # the lost write may still land and let others raise their shares.
        ended = effects.ProcessEnded("vm-2", 1)
        self.drive_without_grant(effects.WriteUnknown("s", 2), ended)
        read = effects.SharesRead("s", 3, asked)
        write = self.drive_without_grant(effects.Tick(), read)
        self.assertEqual(write[-1].expected_version, 2)
        raised = self.drive(effects.SharesWritten("s", write[-1].ticket, 3))
        self.assertEqual(raised[-1].amounts, LIMITS)

    def test_an_equal_write_is_the_fence_against_one_of_open_fate(self):
        held = {"vm-1": grant("vm-1", LIMITS)}
        stored = ShareObject(2, 1, LIMITS, held)
        unwanted = effects.ServiceWanted("s", False, LIMITS, 1)
        self.drive(WANTED, effects.SharesRead("s", 1, stored), unwanted)
        removal = self.drive(effects.GrantApplied("s", NOTHING))[-1]
        self.assertEqual(removal.share_object.grants, {})
        self.drive(effects.WriteUnknown("s", removal.ticket), WANTED)
        read = effects.SharesRead("s", 3, stored)
        again = self.drive_without_grant(effects.Tick(), read)
        self.assertEqual(again[-1].share_object, stored)
        done = self.drive(effects.SharesWritten("s", again[-1].ticket, 3))
        self.assertEqual(done[-1].amounts, LIMITS)

    def test_a_late_answer_of_an_older_version_raises_nothing(self):
        self.core.step(0.0, WANTED)
        held = {"vm-1": grant("vm-1", LIMITS)}
        older = effects.SharesRead("s", 1, ShareObject(4, 1, LIMITS, held))
        self.core.step(0.0, effects.ReadFailed("s", 1))
        self.core.step(200_000.0, effects.Tick())
        held = {
            "vm-1": grant("vm-1", Amounts(2, 17, 1)),
            "vm-2": grant("vm-2", Amounts(2, 18, 0)),
        }
        newer = effects.SharesRead("s", 2, ShareObject(5, 1, LIMITS, held))
        self.core.step(200_000.0, newer)
        share = self.core.services["s"]
        before = share.held
        self.assertEqual(before.slots, 2)
        out = self.core.step(200_000.0, older)
        kinds = [type(item) for item in out]
        self.assertNotIn(effects.GrantChanged, kinds)
        self.assertEqual(share.known.version, 5)

    def moved(self, version):
        return messages.SharesMoved("s", version)

    def test_a_paused_process_holds_nothing_until_it_has_read_again(self):
        self.step(WANTED)
        self.store_up = False
        self.step(effects.ProcessPaused())
        self.assertEqual(self.grants[-1], NOTHING)
        self.later()
        self.assertEqual(self.grants[-1], NOTHING)
        self.store_up = True
        self.later()
        self.assertEqual(self.grants[-1], LIMITS)

    def test_an_answer_from_before_the_pause_confirms_nothing(self):
        self.core.step(0.0, WANTED)
        ticket = self.core.services["s"].reading
        held = {"vm-1": grant("vm-1", LIMITS)}
        self.core.step(0.0, effects.ProcessPaused())
        out = self.core.step(
            0.0,
            effects.SharesRead("s", ticket, ShareObject(5, 1, LIMITS, held)),
        )
        self.assertEqual(out, [])

    def test_a_reclaimed_grant_is_not_used_after_a_pause(self):
        self.step(WANTED)
        self.store(2, {"vm-2": grant("vm-2", LIMITS)})
        self.grants.clear()
        self.step(effects.ProcessPaused())
        self.assertEqual(self.grants, [NOTHING])

    def test_a_store_outage_takes_nothing_away(self):
        self.step(WANTED)
        self.store_up = False
        for _ in range(30):
            self.later()
        self.assertEqual(self.grants, [LIMITS])

    def test_a_dead_vm_keeps_its_share_until_its_end_is_proven(self):
        self.store(1, {"vm-2": grant("vm-2", LIMITS)})
        self.step(WANTED)
        self.later()
        self.assertEqual(self.grants, [])
        self.step(effects.ProcessEnded("vm-2", 1))
        self.assert_granted_once_requests_have_run_out()
        self.assertNotIn("vm-2", self.stored.grants)

    def test_the_end_of_a_former_process_spares_the_present_one(self):
        self.store(1, {"vm-2": grant("vm-2", LIMITS, incarnation=2)})
        self.step(WANTED)
        self.step(effects.ProcessEnded("vm-2", 1))
        self.later()
        self.assertIn("vm-2", self.stored.grants)

    def test_a_goodbye_counts_only_for_its_sender(self):
        self.store(1, {"vm-2": grant("vm-2", LIMITS)})
        self.step(WANTED)
        stopped = messages.HolderStopped("vm-2", 1)
        self.step(effects.Received("vm-3", stopped))
        self.assertEqual(self.grants, [])
        self.step(effects.Received("vm-2", stopped))
        self.assertEqual(self.grants, [LIMITS])

    def test_a_restart_in_place_takes_its_former_share_over(self):
        self.store(1, {"vm-1": grant("vm-1", LIMITS, incarnation=0)})
        self.step(WANTED)
        self.assert_granted_once_requests_have_run_out()
        self.assertEqual(self.stored.grants["vm-1"].incarnation, 1)

    def test_a_vm_at_a_new_address_waits_for_the_end_of_the_former(self):
        former = Grant(0, "elsewhere:1", LIMITS)
        self.store(1, {"vm-1": former})
        self.step(WANTED)
        self.assertEqual(self.grants, [])
        self.later()
        self.assertEqual(self.grants, [])
        self.step(effects.ProcessEnded("vm-1", 0))
        self.assert_granted_once_requests_have_run_out()

    def test_lowered_limits_are_followed(self):
        self.step(WANTED)
        lower = Amounts(2, 20, 1)
        self.step(effects.ServiceWanted("s", True, lower, 2))
        self.assertEqual(self.grants[-1], lower)
        older = effects.ServiceWanted("s", True, LIMITS, 1)
        self.step(older)
        self.assertEqual(self.grants[-1], lower)

    def test_a_stop_returns_everything_and_says_so_once(self):
        self.step(WANTED)
        self.step(effects.StopSharing())
        self.assertEqual(self.grants[-1], NOTHING)
        self.assertTrue(self.finished)
        self.assertEqual(self.stored.grants, {})

    def test_a_stop_with_the_store_down_says_goodbye_to_holders(self):
        self.store(1, {"vm-2": grant("vm-2", Amounts(2, 17, 1))})
        self.step(WANTED)
        self.store_up = False
        self.step(effects.StopSharing())
        self.assertFalse(self.finished)
        goodbye = Send("vm-2", messages.HolderStopped("vm-1", 1))
        self.assertEqual(self.core.farewell(), [goodbye])

    def test_share_objects_survive_the_store_and_bad_ones_are_refused(self):
        held = {"vm-1": grant("vm-1", LIMITS)}
        stored = ShareObject(3, 1, LIMITS, held)
        self.assertEqual(from_value(3, to_value(stored)), stored)
        negative = to_value(stored)
        negative["grants"]["vm-1"]["slots"] = -1
        for bad in ({}, {"grants": 1}, negative):
            with self.assertRaises(ValueError):
                from_value(1, bad)
