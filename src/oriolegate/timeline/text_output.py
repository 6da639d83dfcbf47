"""Render a merged timeline as text for a terminal or as JSON data."""

from collections.abc import Mapping
import math
from typing import Any

from oriolegate.timeline import detail_fields
from oriolegate.timeline import events_json
from oriolegate.timeline.clock_offsets import ClockOffset
from oriolegate.timeline.merge import MergedTimeline
from oriolegate.timeline.merge import PlacedEvent

HEADINGS = ("ms", "vm", "event", "request", "detail")


def _detail_text(placed: PlacedEvent) -> str:
    named = detail_fields.named_detail(placed.event)
    return " ".join(f"{name}={value}" for name, value in named.items())


def printable(text: str) -> str:
    """Escape characters that could form terminal control sequences."""
    return "".join(
        char if char.isprintable() else f"\\x{ord(char):02x}" for char in text
    )


def _row(placed: PlacedEvent, start_ms: float) -> tuple[str, ...]:
    event = placed.event
    cells = (
        f"+{placed.time_ms - start_ms:.1f}",
        event.vm,
        event.kind.name.lower(),
        event.request_id or "-",
        _detail_text(placed),
    )
    return tuple(printable(cell) for cell in cells)


def align(rows: list[tuple[str, ...]]) -> str:
    """Return rows of cells as lines with aligned columns."""
    widths = [
        max(len(cell) for cell in column) for column in zip(*rows, strict=True)
    ]
    lines = []
    for row in rows:
        cells = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        lines.append("  ".join(cells).rstrip() + "\n")
    return "".join(lines)


def _offset_line(vm: str, offset: ClockOffset) -> str:
    if math.isinf(offset.error_ms):
        return f"# clock of {vm}: {offset.offset_ms:+.1f} ms, error unknown\n"
    return (
        f"# clock of {vm}: {offset.offset_ms:+.1f} ms,"
        f" error up to {offset.error_ms:.1f} ms\n"
    )


def _notes(timeline: MergedTimeline) -> str:
    shown = {placed.event.vm for placed in timeline.events}
    notes = [
        _offset_line(vm, offset)
        for vm, offset in sorted(timeline.offsets.items())
        if vm in shown and offset != ClockOffset(0.0, 0.0)
    ]
    if timeline.dropped:
        notes.append(f"# {timeline.dropped} older events were omitted\n")
    return "".join(notes)


def render_text(timeline: MergedTimeline) -> str:
    """Render a timeline as a table; lines that start with # are notes."""
    if not timeline.events:
        return "# no events\n" + _notes(timeline)
    start_ms = timeline.events[0].time_ms
    rows = [_row(placed, start_ms) for placed in timeline.events]
    return align([HEADINGS, *rows]) + _notes(timeline)


def _plain_offset(offset: ClockOffset) -> Mapping[str, float | None]:
    error_ms = None if math.isinf(offset.error_ms) else offset.error_ms
    return {"offset_ms": offset.offset_ms, "error_ms": error_ms}


def to_plain(timeline: MergedTimeline) -> dict[str, Any]:
    """Return a timeline as JSON-compatible data."""
    return {
        "events": [
            {
                "time_ms": placed.time_ms,
                **events_json.to_plain(placed.event),
                "fields": detail_fields.named_detail(placed.event),
            }
            for placed in timeline.events
        ],
        "clocks": {
            vm: _plain_offset(offset) for vm, offset in timeline.offsets.items()
        },
        "dropped": timeline.dropped,
    }
