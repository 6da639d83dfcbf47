"""The sub-requests of one request as spans, for drawing."""

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


START_KINDS = {
    EventKind.SUB_REQUEST_SENT: SpanKind.FIRST,
    EventKind.HEDGE_SENT: SpanKind.HEDGE,
    EventKind.RETRY_SENT: SpanKind.RETRY,
}
END_KINDS = {
    EventKind.SUB_ANSWER: SpanEnd.ANSWERED,
    EventKind.SUB_FAILED: SpanEnd.FAILED,
    EventKind.SUB_NOT_RUN: SpanEnd.NOT_RUN,
    EventKind.CANCEL_SENT: SpanEnd.CANCELLED,
}


@attrs.frozen
class Span:
    """One sub-request, from its sending to its end.

    Attributes:
        vm: VM that sent the sub-request.
        leaf: Leaf that the sub-request was sent to.
        shard: Shard number, as text.
        attempt: Attempt number, as text.
        kind: Whether this is the first attempt, a hedge or a retry.
        start_ms: When the sub-request was sent.
        end_ms: When the sub-request ended, or the end of the timeline.
        end: How the sub-request ended.
    """

    vm: str
    leaf: str
    shard: str
    attempt: str
    kind: SpanKind
    start_ms: float
    end_ms: float
    end: SpanEnd


def _find_open_span(
    spans: list[Span], vm: str, fields: Mapping[str, object]
) -> int | None:
    for index in range(len(spans) - 1, -1, -1):
        span = spans[index]
        if span.end is not SpanEnd.OPEN or span.vm != vm:
            continue
        # Events of a failed connection have a leaf, but no attempt.
        if all(
            str(fields.get(name, value)) == value
            for name, value in (
                ("shard", span.shard),
                ("attempt", span.attempt),
                ("leaf", span.leaf),
            )
        ):
            return index
    return None


def _new_span(
    placed: PlacedEvent, fields: Mapping[str, object], last_ms: float
) -> Span:
    return Span(
        vm=placed.event.vm,
        leaf=str(fields.get("leaf", "?")),
        shard=str(fields.get("shard", "")),
        attempt=str(fields.get("attempt", "")),
        kind=START_KINDS[placed.event.kind],
        start_ms=placed.time_ms,
        end_ms=last_ms,
        end=SpanEnd.OPEN,
    )


def find_spans(timeline: MergedTimeline) -> list[Span]:
    """Match the sending of each sub-request with its end.

    Args:
        timeline: Events of one request in causal order.

    Returns:
        Spans in the order of sending. Spans without an end are OPEN and last
        until the end of the timeline.
    """
    spans: list[Span] = []
    for placed in timeline.events:
        event = placed.event
        fields = detail_fields.named_detail(event)
        if event.kind in START_KINDS:
            last_ms = timeline.events[-1].time_ms
            spans.append(_new_span(placed, fields, last_ms))
        elif event.kind in END_KINDS:
            index = _find_open_span(spans, event.vm, fields)
            if index is not None:
                end = END_KINDS[event.kind]
                spans[index] = attrs.evolve(
                    spans[index], end_ms=placed.time_ms, end=end
                )
    return spans


def pack_rows(spans: Iterable[Span]) -> list[list[Span]]:
    """Arrange spans in as few rows as possible without overlaps."""
    rows: list[list[Span]] = []
    for span in sorted(spans, key=lambda span: span.start_ms):
        for row in rows:
            if row[-1].end_ms <= span.start_ms:
                row.append(span)
                break
        else:
            rows.append([span])
    return rows
