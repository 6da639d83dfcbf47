"""Estimate the offsets between the wall clocks of processes from messages.

A message can't arrive before it was sent. So each message from one process to
another gives a lower bound of the difference of their clocks, and an answer
gives an upper bound; the estimate is the middle between the two
bounds.
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
    """A message, as the events of its sending and its receipt."""

    sent: TimelineEvent
    received: TimelineEvent


@attrs.frozen(order=True)
class ClockOffset:
    """Difference between the reference clock and a process's wall clock.

    Attributes:
        offset_ms: Added to the process's wall clock to get reference time.
        error_ms: Maximum error of the offset; infinite where messages bound
            it on one side only, or not at all.
    """

    offset_ms: float
    error_ms: float


@attrs.define
class _Bounds:
    """Bounds of the offset between two clocks."""

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
    receivers = [value for value in sent.detail if value in all_vms]
    return [
        vm for vm in vms if vm != sent.vm and (not receivers or vm in receivers)
    ]


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
        answers = [event for event in later if event.kind in FINAL_KINDS]
        answer_receipts = [
            event
            for event in by_vm[sent.vm]
            if event.kind in FINAL_KINDS
            and event.sequence > sent.sequence
            and answers
            and event.logical_time > answers[0].logical_time
        ]
        if answer_receipts:
            pairs.append(MessagePair(answers[0], answer_receipts[0]))
    return pairs


def message_pairs(events: Iterable[TimelineEvent]) -> list[MessagePair]:
    """Find the messages of forwarded requests and of their answers.

    Args:
        events: Events of all processes, each process's in its own order.

    Returns:
        Pairs in which the receipt has the later logical time.
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
        receiver_bounds = bounds.setdefault((receiver, sender), _Bounds())
        receiver_bounds.high_ms = min(receiver_bounds.high_ms, -gap_ms)
    return bounds


def _propagate_offsets(
    start: str,
    links: Mapping[str, Mapping[str, ClockOffset]],
    offsets: dict[str, ClockOffset],
    start_offset: ClockOffset,
) -> None:
    queue = [(start_offset.error_ms, start, start_offset)]
    while queue:
        _, vm, offset = heapq.heappop(queue)
        if vm in offsets:
            continue
        offsets[vm] = offset
        for neighbour, step in links.get(vm, {}).items():
            if neighbour not in offsets:
                reached = ClockOffset(
                    offset.offset_ms + step.offset_ms,
                    offset.error_ms + step.error_ms,
                )
                heapq.heappush(queue, (reached.error_ms, neighbour, reached))


def estimate_offsets(
    vms: Iterable[str], pairs: Iterable[MessagePair]
) -> dict[str, ClockOffset]:
    """Estimate the offset of each process's wall clock.

    The first VM is the reference. From the reference, offsets are added up
    along the paths with the smallest error. The offset of a VM without
    messages is 0.

    Args:
        vms: Names of all VMs.
        pairs: Messages between them.

    Returns:
        An offset for each VM.
    """
    links: dict[str, dict[str, ClockOffset]] = {}
    for (known, vm), bounds in _all_bounds(pairs).items():
        links.setdefault(known, {})[vm] = bounds.estimate()
    offsets: dict[str, ClockOffset] = {}
    for vm in vms:
        if vm not in offsets:
            start_offset = ClockOffset(0.0, math.inf if offsets else 0.0)
            _propagate_offsets(vm, links, offsets, start_offset)
    return offsets
