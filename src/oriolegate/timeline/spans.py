"""Sub-requests of one request as spans of time, for drawing."""

from collections.abc import Iterable
from collections.abc import Mapping
import enum

import attrs

from oriolegate.timeline import detail_fields
from oriolegate.timeline.events import EventKind
from oriolegate.timeline.merge import MergedTimeline
from oriolegate.timeline.merge import PlacedEvent


class SpanKind(enum.Enum):
    """Why a sub-request was sent."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"


class SpanEnd(enum.Enum):
    """How a sub-request ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not run"
    CANCELLED = "cancelled"
    OPEN = "open"


OPENING = {
    EventKind.SUB_REQUEST_SENT: SpanKind.FIRST,
    EventKind.HEDGE_SENT: SpanKind.HEDGE,
    EventKind.RETRY_SENT: SpanKind.RETRY,
}
CLOSING = {
    EventKind.SUB_ANSWER: SpanEnd.ANSWERED,
    EventKind.SUB_FAILED: SpanEnd.FAILED,
    EventKind.SUB_NOT_RUN: SpanEnd.NOT_RUN,
    EventKind.CANCEL_SENT: SpanEnd.CANCELLED,
}


@attrs.frozen
class Span:
    """One sub-request from its sending to its end.

    Attributes:
        vm: Who sent it.
        leaf: Where to.
        shard: Shard number, as text.
        attempt: Attempt number, as text.
        kind: See `SpanKind`.
        start_ms: When it was sent.
        end_ms: When it ended, or the end of the time line.
        end: See `SpanEnd`.
    """

    vm: str
    leaf: str
    shard: str
    attempt: str
    kind: SpanKind
    start_ms: float
    end_ms: float
    end: SpanEnd


def _open_span(
    spans: list[Span], vm: str, named: Mapping[str, object]
) -> int | None:
    for place in range(len(spans) - 1, -1, -1):
        span = spans[place]
        if span.end is not SpanEnd.OPEN or span.vm != vm:
            continue
        # A failed connection is known by its leaf, not by the attempt.
        if all(
            str(named.get(name, value)) == value
            for name, value in (
                ("shard", span.shard),
                ("attempt", span.attempt),
                ("leaf", span.leaf),
            )
        ):
            return place
    return None


def _opened(
    placed: PlacedEvent, named: Mapping[str, object], last_ms: float
) -> Span:
    return Span(
        vm=placed.event.vm,
        leaf=str(named.get("leaf", "?")),
        shard=str(named.get("shard", "")),
        attempt=str(named.get("attempt", "")),
        kind=OPENING[placed.event.kind],
        start_ms=placed.time_ms,
        end_ms=last_ms,
        end=SpanEnd.OPEN,
    )


def find_spans(timeline: MergedTimeline) -> list[Span]:
    """Pair the sending of each sub-request with its end.

    Args:
        timeline: Events of one request in order, causes before effects.

    Returns:
        Spans in the order of their sending; those without an end reach the
        end of the time line and are OPEN.
    """
    spans: list[Span] = []
    for placed in timeline.events:
        event = placed.event
        named = detail_fields.named_detail(event)
        if event.kind in OPENING:
            last_ms = timeline.events[-1].time_ms
            spans.append(_opened(placed, named, last_ms))
        elif event.kind in CLOSING:
            place = _open_span(spans, event.vm, named)
            if place is not None:
                end = CLOSING[event.kind]
                spans[place] = attrs.evolve(
                    spans[place], end_ms=placed.time_ms, end=end
                )
    return spans


def pack_rows(spans: Iterable[Span]) -> list[list[Span]]:
    """Spread spans over the fewest rows in which none overlaps another."""
    rows: list[list[Span]] = []
    for span in sorted(spans, key=lambda item: item.start_ms):
        for row in rows:
            if row[-1].end_ms <= span.start_ms:
                row.append(span)
                break
        else:
            rows.append([span])
    return rows
