"""Tests of merging events of processes with different clocks."""

import math
import unittest

import hypothesis
from hypothesis import strategies as st

from oriolegate.timeline import clock_offsets
from oriolegate.timeline import merge
from oriolegate.timeline.events import EventBuffer
from oriolegate.timeline.events import EventKind


class Process:
    """A process that records events with a wall clock off by `skew_ms`."""

    def __init__(self, vm, skew_ms=0):
        self.buffer = EventBuffer(vm, 1_000_000 + skew_ms)

    def record(self, now_ms, kind, request_id="r", *detail):
        self.buffer.record(now_ms, kind, request_id, *detail)
        return self.buffer.logical_time

    def events(self):
        return list(self.buffer.events())


def forwarded_request(skew_ms, delay_ms=2, start_ms=100, request_id="r"):
    front, home = Process("entry-1"), Process("entry-2", skew_ms)
    front.record(start_ms, EventKind.REQUEST_ARRIVED, request_id)
    stamp = front.record(start_ms, EventKind.FORWARDED, request_id, "entry-2")
    home.buffer.observe(stamp)
    home.record(start_ms + delay_ms, EventKind.REQUEST_ARRIVED, request_id)
    stamp = home.record(start_ms + 50, EventKind.ANSWERED, request_id)
    front.buffer.observe(stamp)
    front.record(start_ms + 50 + delay_ms, EventKind.ANSWERED, request_id)
    return front, home


def order(timeline):
    return [(placed.event.vm, placed.event.kind) for placed in timeline.events]


EXPECTED_ORDER = [
    ("entry-1", EventKind.REQUEST_ARRIVED),
    ("entry-1", EventKind.FORWARDED),
    ("entry-2", EventKind.REQUEST_ARRIVED),
    ("entry-2", EventKind.ANSWERED),
    ("entry-1", EventKind.ANSWERED),
]


class MergeTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True)
    @hypothesis.given(st.integers(-(10**9), 10**9), st.integers(0, 40))
    def test_a_forwarded_request_is_ordered_whatever_the_skew(
        self, skew_ms, delay_ms
    ):
        front, home = forwarded_request(skew_ms, delay_ms)
        timeline = merge.merge(home.events() + front.events())
        self.assertEqual(order(timeline), EXPECTED_ORDER)
        offset = timeline.offsets["entry-2"]
        self.assertLessEqual(abs(offset.offset_ms + skew_ms), offset.error_ms)
        self.assertLessEqual(offset.error_ms, delay_ms + 1)

    def test_one_way_messages_bound_one_side_only(self):
        front, home = forwarded_request(-500)
        first_three = front.events()[:2] + home.events()[:1]
        timeline = merge.merge(first_three)
        self.assertEqual(order(timeline), EXPECTED_ORDER[:3])
        self.assertEqual(timeline.offsets["entry-2"].error_ms, math.inf)

    def test_offsets_add_up_between_vms_without_direct_messages(self):
        front, home = forwarded_request(-7_000)
        third = Process("entry-3", 90_000)
        stamp = home.record(400, EventKind.FORWARDED, "q", "entry-3")
        third.buffer.observe(stamp)
        third.record(401, EventKind.REQUEST_ARRIVED, "q")
        stamp = third.record(420, EventKind.ANSWERED, "q")
        home.buffer.observe(stamp)
        home.record(421, EventKind.ANSWERED, "q")
        events = front.events() + home.events() + third.events()
        offsets = merge.merge(events).offsets
        difference_ms = (
            offsets["entry-3"].offset_ms - offsets["entry-1"].offset_ms
        )
        self.assertAlmostEqual(difference_ms, -90_000, delta=4)

    def test_a_clock_that_steps_back_does_not_reorder_its_process(self):
        process = Process("entry-1")
        process.record(100, EventKind.REQUEST_ARRIVED)
        process.record(40, EventKind.ANSWERED)
        timeline = merge.merge(process.events())
        self.assertEqual(
            [placed.event.kind for placed in timeline.events],
            [EventKind.REQUEST_ARRIVED, EventKind.ANSWERED],
        )

    def test_duplicate_events_are_removed(self):
        front, _ = forwarded_request(0)
        timeline = merge.merge(front.events() + front.events())
        self.assertEqual(len(timeline.events), 3)

    def test_oldest_events_are_dropped_and_counted(self):
        front, home = forwarded_request(0)
        timeline = merge.merge(front.events() + home.events(), max_events=2)
        self.assertEqual(timeline.dropped, 3)
        self.assertEqual(order(timeline), EXPECTED_ORDER[3:])

    def test_request_and_window_select_events(self):
        front, home = forwarded_request(0)
        front.record(500, EventKind.RULES_ACCEPTED, "")
        timeline = merge.merge(front.events() + home.events())
        self.assertEqual(
            order(merge.select_request(timeline, "r")), EXPECTED_ORDER
        )
        self.assertEqual(len(merge.select_newest(timeline, 100).events), 1)
        self.assertEqual(len(merge.select_newest(timeline, 10_000).events), 6)

    def test_merging_no_events_gives_an_empty_timeline(self):
        timeline = merge.merge([])
        self.assertEqual(timeline.events, ())
        self.assertEqual(merge.select_newest(timeline, 1).events, ())


@st.composite
def sessions(draw):
    """Random messages between skewed processes, with their causal pairs."""
    skews = draw(st.lists(st.integers(-5_000, 5_000), min_size=2, max_size=4))
    processes = [
        Process(f"entry-{number}", skew) for number, skew in enumerate(skews)
    ]
    pairs = []
    now_ms = 0
    indexes = st.integers(0, len(processes) - 1)
    for number in range(draw(st.integers(1, 12))):
        sender, receiver = draw(indexes), draw(indexes)
        now_ms += draw(st.integers(0, 20))
        delay_ms = draw(st.integers(0, 30))
        if sender == receiver:
            processes[sender].record(now_ms, EventKind.LEAF_STATE, "")
            continue
        request_id = f"r-{number}"
        target = processes[receiver]
        stamp = processes[sender].record(
            now_ms, EventKind.FORWARDED, request_id, target.buffer.vm
        )
        sent = (processes[sender].buffer.vm, EventKind.FORWARDED, request_id)
        target.buffer.observe(stamp)
        now_ms += delay_ms
        target.record(now_ms, EventKind.REQUEST_ARRIVED, request_id)
        received = (target.buffer.vm, EventKind.REQUEST_ARRIVED, request_id)
        pairs.append((sent, received))
    return processes, pairs


class MergePropertyTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True)
    @hypothesis.given(sessions())
    def test_causes_come_before_effects(self, session):
        processes, pairs = session
        events = [event for process in processes for event in process.events()]
        timeline = merge.merge(events)
        self.assertEqual(len(timeline.events), len(events))
        places = {
            (item.event.vm, item.event.kind, item.event.request_id): place
            for place, item in enumerate(timeline.events)
        }
        for sent, received in pairs:
            self.assertLess(places[sent], places[received])
        for process in processes:
            own = [
                item.event.sequence
                for item in timeline.events
                if item.event.vm == process.buffer.vm
            ]
            self.assertEqual(own, sorted(own))


class MessagePairTest(unittest.TestCase):
    def test_an_earlier_event_of_the_receiver_is_not_a_receipt(self):
        front, home = Process("entry-1"), Process("entry-2")
        home.record(1, EventKind.QUARANTINE, "r")
        front.buffer.observe(9)
        front.record(5, EventKind.FORWARDED, "r", "entry-2")
        self.assertEqual(
            clock_offsets.message_pairs(front.events() + home.events()), []
        )
