"""Merge the events of several processes into one order.

Each process's events keep their order, and the receipt of a message comes
after its sending. Other events are ordered by the corrected wall clock, which
is only as exact as the estimate of the clock's offset.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from oriolegate.timeline import clock_offsets
from oriolegate.timeline.clock_offsets import ClockOffset
from oriolegate.timeline.clock_offsets import MessagePair
from oriolegate.timeline.events import TimelineEvent

MAX_EVENTS = 200_000
EventKey = tuple[str, int]


@attrs.frozen
class PlacedEvent:
    """An event and its time on the reference clock.

    Attributes:
        time_ms: Time by the wall clock of the reference process.
        event: Event as its process recorded it.
    """

    time_ms: float
    event: TimelineEvent


@attrs.frozen
class MergedTimeline:
    """The events of several processes in one order.

    Attributes:
        events: Events in causal order.
        offsets: Offset added to each process's clock, by VM.
        dropped: Number of events omitted because there were too many.
    """

    events: tuple[PlacedEvent, ...]
    offsets: Mapping[str, ClockOffset]
    dropped: int


def _key(event: TimelineEvent) -> EventKey:
    return event.vm, event.sequence


def _order_causally(
    events: Iterable[TimelineEvent], max_events: int
) -> tuple[list[TimelineEvent], int]:
    by_key = {_key(event): event for event in events}
    # Logical time increases within each process and from the sending to the
    # receipt of each message, so this sort order is causal.
    ordered = sorted(
        by_key.values(),
        key=lambda event: (event.logical_time, event.vm, event.sequence),
    )
    dropped = max(0, len(ordered) - max_events)
    return ordered[dropped:], dropped


def _vms_by_event_count(events: Iterable[TimelineEvent]) -> list[str]:
    counts: dict[str, int] = {}
    for event in events:
        counts[event.vm] = counts.get(event.vm, 0) + 1
    return sorted(counts, key=lambda vm: (-counts[vm], vm))


def _place_on_reference_clock(
    ordered: Sequence[TimelineEvent],
    offsets: Mapping[str, ClockOffset],
    pairs: Iterable[MessagePair],
) -> list[PlacedEvent]:
    senders: dict[EventKey, list[EventKey]] = {}
    for pair in pairs:
        senders.setdefault(_key(pair.received), []).append(_key(pair.sent))
    times_ms: dict[EventKey, float] = {}
    last_ms: dict[str, float] = {}
    placed = []
    for event in ordered:
        time_ms = event.wall_ms + offsets[event.vm].offset_ms
        time_ms = max(time_ms, last_ms.get(event.vm, time_ms))
        for sender in senders.get(_key(event), ()):
            time_ms = max(time_ms, times_ms[sender])
        times_ms[_key(event)] = time_ms
        last_ms[event.vm] = time_ms
        placed.append(PlacedEvent(time_ms, event))
    return placed


def _merge_order(placed: PlacedEvent) -> tuple[float, int, str, int]:
    event = placed.event
    return placed.time_ms, event.logical_time, event.vm, event.sequence


def merge(
    events: Iterable[TimelineEvent], max_events: int = MAX_EVENTS
) -> MergedTimeline:
    """Merge the events of several processes.

    Args:
        events: Events in any order; duplicates are removed.
        max_events: Maximum number of events; those with the lowest logical
            time are dropped.

    Returns:
        The merged timeline.
    """
    ordered, dropped = _order_causally(events, max_events)
    pairs = clock_offsets.message_pairs(ordered)
    offsets = clock_offsets.estimate_offsets(
        _vms_by_event_count(ordered), pairs
    )
    placed = sorted(
        _place_on_reference_clock(ordered, offsets, pairs), key=_merge_order
    )
    return MergedTimeline(tuple(placed), offsets, dropped)


def select_request(timeline: MergedTimeline, request_id: str) -> MergedTimeline:
    """Return the timeline of one request."""
    selected = tuple(
        placed
        for placed in timeline.events
        if placed.event.request_id == request_id
    )
    return attrs.evolve(timeline, events=selected)


def select_newest(timeline: MergedTimeline, window_ms: float) -> MergedTimeline:
    """Return the timeline of the last `window_ms` before the newest event."""
    if not timeline.events:
        return timeline
    start_ms = timeline.events[-1].time_ms - window_ms
    selected = tuple(
        placed for placed in timeline.events if placed.time_ms >= start_ms
    )
    return attrs.evolve(timeline, events=selected)
