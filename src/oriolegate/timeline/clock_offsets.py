"""Offsets between the wall clocks of processes, estimated from messages.

A message can't arrive before it was sent. Each message from one process to
another bounds the difference of their clocks on one side, and an answer
bounds it on the other; the middle of both bounds is the estimate.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import heapq
import math

import attrs

from oriolegate.timeline.events import EventKind
from oriolegate.timeline.events import TimelineEvent

FINAL_KINDS = frozenset({EventKind.ANSWERED, EventKind.REFUSED})


@attrs.frozen
class MessagePair:
    """A message: the event before it was sent, and the one it caused."""

    sent: TimelineEvent
    received: TimelineEvent


@attrs.frozen(order=True)
class ClockOffset:
    """What to add to a process's wall clock.

    Attributes:
        offset_ms: Added to a reading, gives the reference clock.
        error_ms: The estimate is at most this far off; infinite where
            messages bound it on one side only, or not at all.
    """

    offset_ms: float
    error_ms: float


@attrs.define
class _Bounds:
    """Bounds of one clock's offset against another's."""

    low_ms: float = -math.inf
    high_ms: float = math.inf

    def estimate(self) -> ClockOffset:
        if math.isinf(self.low_ms) or math.isinf(self.high_ms):
            nearest_ms = min(max(0.0, self.low_ms), self.high_ms)
            return ClockOffset(nearest_ms, math.inf)
        width_ms = abs(self.high_ms - self.low_ms)
        return ClockOffset((self.low_ms + self.high_ms) / 2, width_ms / 2)


def _possible_receivers(
    sent: TimelineEvent, vms: Iterable[str], all_vms: frozenset[str]
) -> list[str]:
    named = [item for item in sent.detail if item in all_vms]
    return [vm for vm in vms if vm != sent.vm and (not named or vm in named)]


def _forward_pairs(
    sent: TimelineEvent, by_vm: dict[str, list[TimelineEvent]]
) -> list[MessagePair]:
    pairs = []
    for vm in _possible_receivers(sent, by_vm, frozenset(by_vm)):
        later = [
            event
            for event in by_vm[vm]
            if event.logical_time > sent.logical_time
        ]
        if not later:
            continue
        pairs.append(MessagePair(sent, later[0]))
        final = [event for event in later if event.kind in FINAL_KINDS]
        back = [
            event
            for event in by_vm[sent.vm]
            if event.kind in FINAL_KINDS
            and event.sequence > sent.sequence
            and final
            and event.logical_time > final[0].logical_time
        ]
        if back:
            pairs.append(MessagePair(final[0], back[0]))
    return pairs


def message_pairs(events: Iterable[TimelineEvent]) -> list[MessagePair]:
    """Find forwarded requests and their answers.

    Args:
        events: Of all processes; each process's in its own order.

    Returns:
        Pairs whose logical times agree with the direction of the message.
    """
    by_request: dict[str, dict[str, list[TimelineEvent]]] = {}
    for event in events:
        if event.request_id:
            by_vm = by_request.setdefault(event.request_id, {})
            by_vm.setdefault(event.vm, []).append(event)
    pairs = []
    for by_vm in by_request.values():
        if len(by_vm) < 2:
            continue
        for vm_events in by_vm.values():
            for event in vm_events:
                if event.kind is EventKind.FORWARDED:
                    pairs += _forward_pairs(event, by_vm)
    return pairs


def _all_bounds(
    pairs: Iterable[MessagePair],
) -> dict[tuple[str, str], _Bounds]:
    bounds: dict[tuple[str, str], _Bounds] = {}
    for pair in pairs:
        sender, receiver = pair.sent.vm, pair.received.vm
        # sent + sender's offset <= received + receiver's offset
        gap_ms = pair.sent.wall_ms - pair.received.wall_ms
        sender_bounds = bounds.setdefault((sender, receiver), _Bounds())
        sender_bounds.low_ms = max(sender_bounds.low_ms, gap_ms)
        back = bounds.setdefault((receiver, sender), _Bounds())
        back.high_ms = min(back.high_ms, -gap_ms)
    return bounds


def _propagate_offsets(
    start: str,
    links: Mapping[str, Mapping[str, ClockOffset]],
    found: dict[str, ClockOffset],
    start_offset: ClockOffset,
) -> None:
    queue = [(start_offset.error_ms, start, start_offset)]
    while queue:
        _, vm, offset = heapq.heappop(queue)
        if vm in found:
            continue
        found[vm] = offset
        for neighbour, step in links.get(vm, {}).items():
            if neighbour not in found:
                reached = ClockOffset(
                    offset.offset_ms + step.offset_ms,
                    offset.error_ms + step.error_ms,
                )
                heapq.heappush(queue, (reached.error_ms, neighbour, reached))


def estimate_offsets(
    vms: Iterable[str], pairs: Iterable[MessagePair]
) -> dict[str, ClockOffset]:
    """Estimate what to add to each process's wall clock.

    The first VM is the reference. From it the estimate spreads along the
    pairs with the smallest error; a VM that no message joins keeps its clock.

    Args:
        vms: Names of all VMs.
        pairs: Messages between them.

    Returns:
        An offset for each VM.
    """
    links: dict[str, dict[str, ClockOffset]] = {}
    for (known, vm), bounds in _all_bounds(pairs).items():
        links.setdefault(known, {})[vm] = bounds.estimate()
    found: dict[str, ClockOffset] = {}
    for vm in vms:
        if vm not in found:
            unlinked = ClockOffset(0.0, math.inf if found else 0.0)
            _propagate_offsets(vm, links, found, unlinked)
    return found
