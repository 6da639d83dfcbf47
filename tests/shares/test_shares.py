"""Tests of the shares of one process, with a simulated store."""

import random
import unittest

from oriolegate.membership.effects import Send
from oriolegate.shares import effects
from oriolegate.shares import messages
from oriolegate.shares.service_share import REQUEST_DRAIN_MS
from oriolegate.shares.service_share import ShareOwner
from oriolegate.shares.share_object import Amounts
from oriolegate.shares.share_object import from_value
from oriolegate.shares.share_object import Grant
from oriolegate.shares.share_object import NOTHING
from oriolegate.shares.share_object import ShareObject
from oriolegate.shares.share_object import to_value
from oriolegate.shares.shares import Shares
from oriolegate.timeline.events import EventBuffer

LIMITS = Amounts(4, 35, 1)
WANTED = effects.ServiceWanted("s", True, LIMITS, 1)


def grant(vm, amounts, incarnation=1):
    return Grant(incarnation, f"{vm}:1", amounts)


class SharesTest(unittest.TestCase):
    def setUp(self):
        self.now_ms = 0.0
        self.stored = None
        self.shares = Shares(ShareOwner("vm-1", 1, "vm-1:1"), random.Random(1))
        self.grants = []
        self.sent = []
        self.finished = False
        self.store_up = True

    def step(self, event):
        """Process an event and all that follow, with a simulated store."""
        queue = [event]
        while queue:
            for effect in self.shares.step(self.now_ms, queue.pop(0)):
                queue += self.carry_out(effect)

    def carry_out(self, effect):
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
        current_version = self.stored.version if self.stored else 0
        if not self.store_up:
            return effects.WriteUnknown("s", call.ticket)
        if call.expected_version != current_version:
            return effects.WriteRefused("s", call.ticket)
        self.store(current_version + 1, dict(call.share_object.grants))
        return effects.SharesWritten("s", call.ticket, current_version + 1)

    def store(self, version, grants, limits=LIMITS, generation=1):
        self.stored = ShareObject(version, generation, limits, grants)

    def advance(self, interval_ms):
        self.now_ms += interval_ms
        self.step(effects.Tick())

    def assert_granted_once_requests_have_ended(self):
        self.advance(REQUEST_DRAIN_MS - 1)
        self.assertEqual(self.grants, [])
        self.advance(1)
        self.assertEqual(self.grants, [LIMITS])

    def advance_to_next_refresh(self):
        self.now_ms += 200_000
        self.step(effects.Tick())

    def test_the_only_home_gets_the_whole_limits(self):
        self.step(WANTED)
        self.assertEqual(self.grants, [LIMITS])
        self.assertEqual(self.stored.grants["vm-1"].amounts, LIMITS)

    def test_changed_grants_are_recorded_for_the_timeline(self):
        buffer = EventBuffer("vm-1", 0.0)
        self.shares = Shares(self.shares.owner, random.Random(1), buffer)
        self.step(WANTED)
        details = [event.detail for event in buffer.events()]
        self.assertEqual(details, [("s", 4, 35, 1)])

    def test_a_joining_home_waits_until_others_have_lowered_their_grants(self):
        self.store(1, {"vm-2": grant("vm-2", LIMITS)})
        self.step(WANTED)
        self.assertEqual(self.grants, [])
        self.assertEqual(self.stored.grants["vm-1"].amounts, NOTHING)
        update = messages.SharesUpdated("s", 2)
        self.assertIn(Send("vm-2", update), self.sent)
        lowered = grant("vm-2", Amounts(2, 18, 0))
        self.store(3, {**self.stored.grants, "vm-2": lowered})
        update = messages.SharesUpdated("s", 3)
        self.step(effects.Received("vm-2", update))
        self.assertEqual(self.grants[-1].slots, 2)

    def test_a_home_above_its_fair_share_lowers_its_use_before_it_writes(self):
        self.step(WANTED)
        joining_grant = grant("vm-2", NOTHING)
        self.store(2, {**self.stored.grants, "vm-2": joining_grant})
        self.shares.step(0.0, effects.Received("vm-2", self.shares_updated(2)))
        share = self.shares.services["s"]
        read = effects.SharesRead("s", share.read_ticket, self.stored)
        out = self.shares.step(0.0, read)
        self.assertEqual(
            [type(effect) for effect in out], [effects.GrantChanged]
        )
        self.assertEqual(out[0].slots, 2)
        applied = effects.GrantApplied("s", out[0].amounts)
        out = self.shares.step(0.0, applied)
        self.assertEqual(
            [type(effect) for effect in out], [effects.WriteShares]
        )

    def step_without_store(self, *events):
        """Process events without a store; return the last one's effects."""
        out = []
        for event in events:
            self.now_ms += 10_000
            out = self.shares.step(self.now_ms, event)
        return out

    def step_without_grant_change(self, *events):
        """Process events, none of which may change the grant."""
        out = []
        for event in events:
            out = self.step_without_store(event)
            kinds = [type(effect) for effect in out]
            self.assertNotIn(effects.GrantChanged, kinds)
        return out

    def test_an_unanswered_write_keeps_limiting_use_to_its_lower_grant(self):
        stored_grants = {"vm-1": grant("vm-1", LIMITS)}
        both = {**stored_grants, "vm-2": grant("vm-2", NOTHING)}
        requested = ShareObject(2, 1, LIMITS, both)
        first = self.step_without_store(
            WANTED, effects.SharesRead("s", 1, requested)
        )
        self.assertEqual(first[0].slots, 2)
        self.assertEqual(first[1].ticket, 2)
        # vm-2 has ended, so vm-1 could use the full limits again. But the
        # unanswered write may still take effect, and other VMs may then raise
        # their shares.
        ended = effects.ProcessEnded("vm-2", 1)
        self.step_without_grant_change(effects.WriteUnknown("s", 2), ended)
        read = effects.SharesRead("s", 3, requested)
        write = self.step_without_grant_change(effects.Tick(), read)
        self.assertEqual(write[-1].expected_version, 2)
        raised = self.step_without_store(
            effects.SharesWritten("s", write[-1].ticket, 3)
        )
        self.assertEqual(raised[-1].amounts, LIMITS)

    def test_an_unchanged_object_is_written_to_void_an_unanswered_write(self):
        stored_grants = {"vm-1": grant("vm-1", LIMITS)}
        stored = ShareObject(2, 1, LIMITS, stored_grants)
        unwanted = effects.ServiceWanted("s", False, LIMITS, 1)
        self.step_without_store(
            WANTED, effects.SharesRead("s", 1, stored), unwanted
        )
        removal = self.step_without_store(effects.GrantApplied("s", NOTHING))[
            -1
        ]
        self.assertEqual(removal.share_object.grants, {})
        self.step_without_store(
            effects.WriteUnknown("s", removal.ticket), WANTED
        )
        read = effects.SharesRead("s", 3, stored)
        again = self.step_without_grant_change(effects.Tick(), read)
        self.assertEqual(again[-1].share_object, stored)
        final_effects = self.step_without_store(
            effects.SharesWritten("s", again[-1].ticket, 3)
        )
        self.assertEqual(final_effects[-1].amounts, LIMITS)

    def test_a_late_read_of_an_older_version_is_ignored(self):
        self.shares.step(0.0, WANTED)
        stored_grants = {"vm-1": grant("vm-1", LIMITS)}
        older = effects.SharesRead(
            "s", 1, ShareObject(4, 1, LIMITS, stored_grants)
        )
        self.shares.step(0.0, effects.ReadFailed("s", 1))
        self.shares.step(200_000.0, effects.Tick())
        stored_grants = {
            "vm-1": grant("vm-1", Amounts(2, 17, 1)),
            "vm-2": grant("vm-2", Amounts(2, 18, 0)),
        }
        newer = effects.SharesRead(
            "s", 2, ShareObject(5, 1, LIMITS, stored_grants)
        )
        self.shares.step(200_000.0, newer)
        share = self.shares.services["s"]
        before = share.announced
        self.assertEqual(before.slots, 2)
        out = self.shares.step(200_000.0, older)
        kinds = [type(effect) for effect in out]
        self.assertNotIn(effects.GrantChanged, kinds)
        self.assertEqual(share.known.version, 5)

    def shares_updated(self, version):
        return messages.SharesUpdated("s", version)

    def test_a_paused_process_has_no_grant_until_it_has_read_again(self):
        self.step(WANTED)
        self.store_up = False
        self.step(effects.ProcessPaused())
        self.assertEqual(self.grants[-1], NOTHING)
        self.advance_to_next_refresh()
        self.assertEqual(self.grants[-1], NOTHING)
        self.store_up = True
        self.advance_to_next_refresh()
        self.assertEqual(self.grants[-1], LIMITS)

    def test_a_read_started_before_the_pause_does_not_confirm_the_grant(self):
        self.shares.step(0.0, WANTED)
        ticket = self.shares.services["s"].read_ticket
        stored_grants = {"vm-1": grant("vm-1", LIMITS)}
        self.shares.step(0.0, effects.ProcessPaused())
        out = self.shares.step(
            0.0,
            effects.SharesRead(
                "s", ticket, ShareObject(5, 1, LIMITS, stored_grants)
            ),
        )
        self.assertEqual(out, [])

    def test_a_grant_removed_during_a_pause_is_not_used(self):
        self.step(WANTED)
        self.store(2, {"vm-2": grant("vm-2", LIMITS)})
        self.grants.clear()
        self.step(effects.ProcessPaused())
        self.assertEqual(self.grants, [NOTHING])

    def test_a_store_outage_does_not_change_the_grant(self):
        self.step(WANTED)
        self.store_up = False
        for _ in range(30):
            self.advance_to_next_refresh()
        self.assertEqual(self.grants, [LIMITS])

    def test_an_unreachable_vm_keeps_its_share_until_its_end_is_proven(self):
        self.store(1, {"vm-2": grant("vm-2", LIMITS)})
        self.step(WANTED)
        self.advance_to_next_refresh()
        self.assertEqual(self.grants, [])
        self.step(effects.ProcessEnded("vm-2", 1))
        self.assert_granted_once_requests_have_ended()
        self.assertNotIn("vm-2", self.stored.grants)

    def test_the_end_of_a_previous_process_keeps_the_grant_of_its_successor(
        self,
    ):
        self.store(1, {"vm-2": grant("vm-2", LIMITS, incarnation=2)})
        self.step(WANTED)
        self.step(effects.ProcessEnded("vm-2", 1))
        self.advance_to_next_refresh()
        self.assertIn("vm-2", self.stored.grants)

    def test_a_stop_message_frees_only_the_grant_of_its_sender(self):
        self.store(1, {"vm-2": grant("vm-2", LIMITS)})
        self.step(WANTED)
        stopped = messages.HolderStopped("vm-2", 1)
        self.step(effects.Received("vm-3", stopped))
        self.assertEqual(self.grants, [])
        self.step(effects.Received("vm-2", stopped))
        self.assertEqual(self.grants, [LIMITS])

    def test_a_process_restarted_at_its_address_replaces_the_previous_grant(
        self,
    ):
        self.store(1, {"vm-1": grant("vm-1", LIMITS, incarnation=0)})
        self.step(WANTED)
        self.assert_granted_once_requests_have_ended()
        self.assertEqual(self.stored.grants["vm-1"].incarnation, 1)

    def test_a_vm_at_a_new_address_waits_for_the_end_of_the_previous_process(
        self,
    ):
        previous = Grant(0, "elsewhere:1", LIMITS)
        self.store(1, {"vm-1": previous})
        self.step(WANTED)
        self.assertEqual(self.grants, [])
        self.advance_to_next_refresh()
        self.assertEqual(self.grants, [])
        self.step(effects.ProcessEnded("vm-1", 0))
        self.assert_granted_once_requests_have_ended()

    def test_lowered_limits_apply_and_those_of_an_older_topology_do_not(self):
        self.step(WANTED)
        lower = Amounts(2, 20, 1)
        self.step(effects.ServiceWanted("s", True, lower, 2))
        self.assertEqual(self.grants[-1], lower)
        older = effects.ServiceWanted("s", True, LIMITS, 1)
        self.step(older)
        self.assertEqual(self.grants[-1], lower)

    def test_a_stop_returns_every_share(self):
        self.step(WANTED)
        self.step(effects.StopSharing())
        self.assertEqual(self.grants[-1], NOTHING)
        self.assertTrue(self.finished)
        self.assertEqual(self.stored.grants, {})

    def test_a_stop_with_the_store_down_notifies_the_other_holders(self):
        self.store(1, {"vm-2": grant("vm-2", Amounts(2, 17, 1))})
        self.step(WANTED)
        self.store_up = False
        self.step(effects.StopSharing())
        self.assertFalse(self.finished)
        notification = Send("vm-2", messages.HolderStopped("vm-1", 1))
        self.assertEqual(self.shares.stop_messages(), [notification])

    def test_share_objects_are_stored_and_parsed_and_invalid_ones_refused(self):
        stored_grants = {"vm-1": grant("vm-1", LIMITS)}
        stored = ShareObject(3, 1, LIMITS, stored_grants)
        self.assertEqual(from_value(3, to_value(stored)), stored)
        negative = to_value(stored)
        negative["grants"]["vm-1"]["slots"] = -1
        for bad in ({}, {"grants": 1}, negative):
            with self.assertRaises(ValueError):
                from_value(1, bad)
