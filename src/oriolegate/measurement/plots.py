"""Plots measurements as SVG."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import Any
from xml.etree import ElementTree

import attrs

from oriolegate.measurement.scenario import TimelinePoint

WIDTH_PX = 760
LEFT_PX = 190
RIGHT_PX = 30
TOP_PX = 50
ROW_PX = 34
PANEL_PX = 150
LOWEST_MS = 1.0
HIGHEST_MS = 2_000.0
COLOURS = {"policy": "#1f6fb4", "baseline": "#c2571a"}
QUANTILES = (("p50_ms", 3.0), ("p99_ms", 5.0), ("p999_ms", 3.5))
GRID = "#dddddd"


@attrs.define
class Drawing:
    """One SVG document.

    Attributes:
        root: Root element.
    """

    root: ElementTree.Element

    @classmethod
    def of_height(cls, height_px: float) -> "Drawing":
        """Create a drawing with only a white background."""
        size = {"width": str(WIDTH_PX), "height": f"{height_px:g}"}
        root = ElementTree.Element(
            "svg",
            size | {"xmlns": "http://www.w3.org/2000/svg"},
        )
        root.set("font-family", "sans-serif")
        root.set("font-size", "12")
        drawing = cls(root)
        drawing.add("rect", **size, fill="white")
        return drawing

    def add(self, tag: str, text: str = "", **attributes: Any) -> None:
        """Add an element; `_` in an attribute's name becomes `-`."""
        named = {
            name.replace("_", "-"): f"{value:.2f}"
            if isinstance(value, float)
            else str(value)
            for name, value in attributes.items()
        }
        ElementTree.SubElement(self.root, tag, named).text = text or None

    def line(self, x1: float, y1: float, x2: float, y2: float) -> None:
        """Add a grid line."""
        self.add("line", x1=x1, y1=y1, x2=x2, y2=y2, stroke=GRID)

    def text(self, x: float, y: float, text: str, anchor: str) -> None:
        """Add a text."""
        self.add("text", text, x=x, y=y, text_anchor=anchor)

    def legend(self, y: float) -> None:
        """Add a legend of the colours of both sides."""
        for index, (side, colour) in enumerate(COLOURS.items()):
            x = LEFT_PX + index * 110.0
            self.add("rect", x=x, y=y - 9.0, width=10, height=10, fill=colour)
            self.text(x + 15, y, side, "start")

    def to_text(self) -> str:
        """Return the document as text."""
        ElementTree.indent(self.root)
        return ElementTree.tostring(self.root, encoding="unicode") + "\n"


def _log_x(value_ms: float) -> float:
    fraction = math.log(max(value_ms, LOWEST_MS) / LOWEST_MS) / math.log(
        HIGHEST_MS / LOWEST_MS
    )
    return LEFT_PX + min(fraction, 1.0) * (WIDTH_PX - LEFT_PX - RIGHT_PX)


def latency_plot(scenarios: Iterable[Mapping[str, Any]]) -> str:
    """Plot p50, p99 and p99.9 of each scenario for both sides.

    Args:
        scenarios: Rows of the measurements' JSON that have latencies.
    """
    rows = list(scenarios)
    bottom_px = TOP_PX + ROW_PX * len(rows)
    drawing = Drawing.of_height(bottom_px + 40.0)
    drawing.legend(20.0)
    drawing.text(
        WIDTH_PX - RIGHT_PX, 20, "dots: p50, p99 (large), p99.9", "end"
    )
    for tick_ms in (1, 3, 10, 30, 100, 300, 1_000):
        x = _log_x(tick_ms)
        drawing.line(x, TOP_PX - 10.0, x, bottom_px)
        drawing.text(x, bottom_px + 18, f"{tick_ms} ms", "middle")
    for index, row in enumerate(rows):
        y = TOP_PX + ROW_PX * (index + 0.5)
        drawing.text(LEFT_PX - 10, y + 4, row["name"], "end")
        for side, offset in (("policy", -6.0), ("baseline", 6.0)):
            _draw_quantiles(drawing, y + offset, row[side], COLOURS[side])
    return drawing.to_text()


def _draw_quantiles(
    drawing: Drawing, y: float, figures: Mapping[str, Any], colour: str
) -> None:
    first, last = figures["p50_ms"], figures["p999_ms"]
    drawing.add(
        "line", x1=_log_x(first), y1=y, x2=_log_x(last), y2=y, stroke=colour
    )
    for name, radius in QUANTILES:
        drawing.add(
            "circle", cx=_log_x(figures[name]), cy=y, r=radius, fill=colour
        )


@attrs.frozen
class Panel:
    """One panel of a timeline plot.

    Attributes:
        title: Name and unit of the plotted value.
        value: Returns the value of a point; points with None are omitted.
        highest: Top of the scale, which starts at 0.
    """

    title: str
    value: Callable[[TimelinePoint], float | None]
    highest: float


def timeline_plot(
    timelines: Mapping[str, list[TimelinePoint]],
    fault_from_ms: float,
    fault_to_ms: float,
    end_ms: float,
) -> str:
    """Plot coverage and p99 of both sides before, during and after a fault.

    Args:
        timelines: Points by side.
        fault_from_ms: Start of the fault, which is shaded.
        fault_to_ms: End of the fault.
        end_ms: End of the time axis.
    """
    slowest = max(
        point.p99_ms or 0.0 for points in timelines.values() for point in points
    )
    panels = (
        Panel("coverage", lambda point: point.coverage, 1.0),
        Panel("p99, ms", lambda point: point.p99_ms, slowest or 1.0),
    )
    drawing = Drawing.of_height(TOP_PX + len(panels) * (PANEL_PX + 40.0))
    drawing.legend(20.0)
    scale = (WIDTH_PX - LEFT_PX - RIGHT_PX) / end_ms
    for index, panel in enumerate(panels):
        top = TOP_PX + index * (PANEL_PX + 40.0)
        drawing.add(
            "rect",
            x=LEFT_PX + fault_from_ms * scale,
            y=top,
            width=(fault_to_ms - fault_from_ms) * scale,
            height=PANEL_PX,
            fill="#f1f1f1",
        )
        _draw_panel(drawing, panel, top, scale, end_ms)
        for side, points in timelines.items():
            _draw_points(drawing, panel, top, scale, points, COLOURS[side])
    return drawing.to_text()


def _draw_panel(
    drawing: Drawing, panel: Panel, top: float, scale: float, end_ms: float
) -> None:
    bottom = top + PANEL_PX
    drawing.text(LEFT_PX - 60, top + PANEL_PX / 2, panel.title, "end")
    for fraction in (0.0, 0.5, 1.0):
        y = bottom - fraction * PANEL_PX
        drawing.line(LEFT_PX, y, WIDTH_PX - RIGHT_PX, y)
        drawing.text(LEFT_PX - 8, y + 4, f"{fraction * panel.highest:g}", "end")
    for fraction in (0.0, 0.25, 0.5, 0.75, 1.0):
        at_ms = fraction * end_ms
        x = LEFT_PX + at_ms * scale
        drawing.text(x, bottom + 16, f"{at_ms / 1_000:g} s", "middle")


def _draw_points(
    drawing: Drawing,
    panel: Panel,
    top: float,
    scale: float,
    points: list[TimelinePoint],
    colour: str,
) -> None:
    path = []
    for point in points:
        value = panel.value(point)
        if value is not None:
            x = LEFT_PX + point.at_ms * scale
            y = top + PANEL_PX * (1 - min(1.0, value / panel.highest))
            path.append(f"{x:.1f},{y:.1f}")
    drawing.add(
        "polyline",
        points=" ".join(path),
        fill="none",
        stroke=colour,
        stroke_width=1.2,
    )
