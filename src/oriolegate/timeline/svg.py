"""Draw the timeline of one request by VM and leaf, as SVG."""

from collections.abc import Sequence
import math
from xml.etree import ElementTree

import attrs

from oriolegate.timeline import detail_fields
from oriolegate.timeline import spans
from oriolegate.timeline.events import EventKind
from oriolegate.timeline.merge import MergedTimeline
from oriolegate.timeline.merge import PlacedEvent
from oriolegate.timeline.spans import Span
from oriolegate.timeline.spans import SpanEnd
from oriolegate.timeline.spans import SpanKind

NAMESPACE = "http://www.w3.org/2000/svg"
LABEL_WIDTH_PX = 190
PLOT_WIDTH_PX = 760
MARGIN_PX = 16
TITLE_HEIGHT_PX = 54
LANE_HEIGHT_PX = 18
BAR_HEIGHT_PX = 10
MAX_LEAF_ROWS = 400
TICK_COUNT = 8
MIN_BAR_WIDTH_PX = 1.5

TEXT_COLOUR = "#24292f"
GRID_COLOUR = "#d7dce1"
KIND_COLOURS = {
    SpanKind.FIRST: "#2f6fb3",
    SpanKind.HEDGE: "#d97b1f",
    SpanKind.RETRY: "#7a4fb5",
}
END_COLOURS = {
    SpanEnd.FAILED: "#c62f2f",
    SpanEnd.NOT_RUN: "#8a8f96",
}
SPAN_EVENTS = frozenset(spans.START_KINDS) | frozenset(spans.END_KINDS)


@attrs.frozen
class _Scale:
    """Maps times to horizontal positions in pixels."""

    start_ms: float
    span_ms: float

    def x(self, time_ms: float) -> float:
        fraction = (time_ms - self.start_ms) / self.span_ms
        return MARGIN_PX + LABEL_WIDTH_PX + fraction * PLOT_WIDTH_PX


def _add(
    parent: ElementTree.Element, tag: str, **attributes: object
) -> ElementTree.Element:
    texts = {
        name.replace("_", "-"): (
            f"{value:.1f}" if isinstance(value, float) else str(value)
        )
        for name, value in attributes.items()
    }
    return ElementTree.SubElement(parent, tag, texts)


def _add_text(
    parent: ElementTree.Element,
    x: float,
    y: float,
    text: str,
    **more_attributes: object,
) -> None:
    element = _add(
        parent, "text", x=x, y=y, fill=TEXT_COLOUR, **more_attributes
    )
    # XML can't represent control characters.
    element.text = "".join(char if char.isprintable() else "?" for char in text)


def _add_title(parent: ElementTree.Element, text: str) -> None:
    title = ElementTree.SubElement(parent, "title")
    title.text = "".join(char if char.isprintable() else "?" for char in text)


def _tick_step_ms(span_ms: float) -> float:
    raw_ms = span_ms / TICK_COUNT
    power = 10.0 ** math.floor(math.log10(raw_ms))
    for factor in (1.0, 2.0, 5.0):
        if raw_ms <= factor * power:
            return factor * power
    return 10.0 * power


def _draw_axis(root: ElementTree.Element, scale: _Scale, bottom: float) -> None:
    step_ms = _tick_step_ms(scale.span_ms)
    for number in range(int(scale.span_ms / step_ms) + 1):
        offset_ms = number * step_ms
        x = scale.x(scale.start_ms + offset_ms)
        _add(
            root,
            "line",
            x1=x,
            x2=x,
            y1=TITLE_HEIGHT_PX,
            y2=bottom,
            stroke=GRID_COLOUR,
        )
        _add_text(
            root,
            x,
            TITLE_HEIGHT_PX - 5.0,
            f"{offset_ms:g}",
            text_anchor="middle",
        )
    x = float(MARGIN_PX + LABEL_WIDTH_PX - 8)
    _add_text(root, x, TITLE_HEIGHT_PX - 5.0, "ms", text_anchor="end")


def _draw_span_end(
    root: ElementTree.Element,
    span: Span,
    end_x: float,
    top: float,
) -> None:
    if span.end in END_COLOURS:
        _add(
            root,
            "rect",
            x=end_x - 3.0,
            y=top - 2.0,
            width=3,
            height=BAR_HEIGHT_PX + 4,
            fill=END_COLOURS[span.end],
        )
    if span.end is SpanEnd.CANCELLED:
        cross = f"M{end_x - 4:.1f} {top:.1f}l8 10m0 -10l-8 10"
        _add(root, "path", d=cross, stroke=TEXT_COLOUR, fill="none")


def _draw_span(
    root: ElementTree.Element, scale: _Scale, span: Span, top: float
) -> None:
    start, end = scale.x(span.start_ms), scale.x(span.end_ms)
    width = max(MIN_BAR_WIDTH_PX, end - start)
    faded = span.end in (SpanEnd.CANCELLED, SpanEnd.OPEN)
    bar = _add(
        root,
        "rect",
        x=start,
        y=top,
        width=width,
        height=BAR_HEIGHT_PX,
        rx=2,
        fill=KIND_COLOURS[span.kind],
        fill_opacity="0.35" if faded else "1",
    )
    _add_title(
        bar,
        f"shard {span.shard}, attempt {span.attempt} ({span.kind.value}) at"
        f" {span.leaf}: {span.end.value}"
        f" after {span.end_ms - span.start_ms:.1f} ms",
    )
    _draw_span_end(root, span, start + width, top)


def _draw_mark(
    root: ElementTree.Element, scale: _Scale, placed: PlacedEvent, top: float
) -> None:
    event = placed.event
    mark = _add(
        root,
        "circle",
        cx=scale.x(placed.time_ms),
        cy=top + BAR_HEIGHT_PX / 2,
        r=4,
        fill=END_COLOURS[SpanEnd.FAILED]
        if event.kind is EventKind.REFUSED
        else TEXT_COLOUR,
    )
    fields = detail_fields.named_detail(event)
    details = " ".join(f"{name}={value}" for name, value in fields.items())
    offset_ms = placed.time_ms - scale.start_ms
    name = event.kind.name.lower().replace("_", " ")
    _add_title(mark, f"{name} at +{offset_ms:.1f} ms {details}".rstrip())


def _draw_vm_lane(
    root: ElementTree.Element,
    scale: _Scale,
    placed_events: Sequence[PlacedEvent],
    top: float,
) -> None:
    vm = placed_events[0].event.vm
    _add_text(root, MARGIN_PX, top + BAR_HEIGHT_PX, vm, font_weight="bold")
    start = scale.x(placed_events[0].time_ms)
    end = scale.x(placed_events[-1].time_ms)
    _add(
        root,
        "rect",
        x=start,
        y=top + 3.0,
        width=max(MIN_BAR_WIDTH_PX, end - start),
        height=BAR_HEIGHT_PX - 6,
        fill="#9aa4af",
    )
    for placed in placed_events:
        if placed.event.kind not in SPAN_EVENTS:
            _draw_mark(root, scale, placed, top)


def _draw_legend(root: ElementTree.Element) -> None:
    x = float(MARGIN_PX + LABEL_WIDTH_PX + PLOT_WIDTH_PX - 330)
    entries = [
        *((kind.value, colour) for kind, colour in KIND_COLOURS.items()),
        *((end.value, colour) for end, colour in END_COLOURS.items()),
    ]
    for name, colour in entries:
        _add(root, "rect", x=x, y=14, width=10, height=10, fill=colour)
        _add_text(root, x + 14, 23.0, name)
        x += 66


@attrs.frozen
class _Lanes:
    """The events for one VM's lane, and the rows of spans of its leafs."""

    placed_events: tuple[PlacedEvent, ...]
    leaf_rows: list[list[Span]]


def _group_by_vm(timeline: MergedTimeline) -> list[_Lanes]:
    by_vm: dict[str, list[PlacedEvent]] = {}
    for placed in timeline.events:
        by_vm.setdefault(placed.event.vm, []).append(placed)
    all_spans = spans.find_spans(timeline)
    lanes = []
    for vm, placed_events in by_vm.items():
        by_leaf: dict[str, list[Span]] = {}
        for span in all_spans:
            if span.vm == vm:
                by_leaf.setdefault(span.leaf, []).append(span)
        rows = [
            row
            for leaf_spans in by_leaf.values()
            for row in spans.pack_rows(leaf_spans)
        ]
        lanes.append(_Lanes(tuple(placed_events), rows))
    return lanes


def _draw_lanes(
    root: ElementTree.Element, scale: _Scale, lanes: Sequence[_Lanes]
) -> float:
    top = TITLE_HEIGHT_PX + 6.0
    rows_left = MAX_LEAF_ROWS
    for lane in lanes:
        _draw_vm_lane(root, scale, lane.placed_events, top)
        top += LANE_HEIGHT_PX
        drawn = lane.leaf_rows[:rows_left]
        rows_left -= len(drawn)
        for row in drawn:
            _add_text(
                root, MARGIN_PX + 12, top + BAR_HEIGHT_PX - 1, row[0].leaf
            )
            for span in row:
                _draw_span(root, scale, span, top)
            top += LANE_HEIGHT_PX
        hidden = len(lane.leaf_rows) - len(drawn)
        if hidden:
            note = f"{hidden} more rows are not drawn"
            _add_text(root, MARGIN_PX + 12, top + BAR_HEIGHT_PX - 1, note)
            top += LANE_HEIGHT_PX
    return top


def _draw_request(
    root: ElementTree.Element, timeline: MergedTimeline
) -> tuple[str, float]:
    first, last = timeline.events[0], timeline.events[-1]
    # Events within one millisecond still need an axis of some length.
    span_ms = max(1.0, last.time_ms - first.time_ms)
    scale = _Scale(first.time_ms, span_ms)
    axis = _add(root, "g")
    bottom = _draw_lanes(root, scale, _group_by_vm(timeline))
    _draw_axis(axis, scale, bottom)
    _draw_legend(root)
    title = f"request {first.event.request_id or '-'}, {span_ms:.1f} ms"
    return title, bottom


def render_svg(timeline: MergedTimeline) -> str:
    """Draw the events of one request.

    Args:
        timeline: Events of the request in causal order.

    Returns:
        An SVG document: for each VM, a lane with the VM's events, and
        below the lane rows for each leaf with the sub-requests sent to it.
    """
    root = ElementTree.Element(
        "svg",
        {"xmlns": NAMESPACE, "font-family": "sans-serif", "font-size": "11"},
    )
    _add(root, "rect", width="100%", height="100%", fill="white")
    title, bottom = "no events", float(TITLE_HEIGHT_PX)
    if timeline.events:
        title, bottom = _draw_request(root, timeline)
    _add_text(root, MARGIN_PX, 24.0, title, font_size=14, font_weight="bold")
    width = 2 * MARGIN_PX + LABEL_WIDTH_PX + PLOT_WIDTH_PX
    height = math.ceil(bottom) + MARGIN_PX
    root.set("width", str(width))
    root.set("height", str(height))
    root.set("viewBox", f"0 0 {width} {height}")
    ElementTree.indent(root)
    return ElementTree.tostring(root, encoding="unicode") + "\n"
