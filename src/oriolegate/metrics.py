"""Counters, gauges and latency quantiles of one process.

Latencies are read from HdrHistogram. Recording into one costs microseconds
in Python, so values are kept in a short list, folded into counts by the
upper half of their 32-bit float, and entered into the histogram when read.
docs/design/14-metrics.md has the figures.
"""

import array
import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import math
import struct
import sys

import attrs
from hdrh.histogram import HdrHistogram

FOLD_COUNT = 1_000
US_PER_MS = 1_000.0
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)
MAX_SERIES = 2_000
OVERFLOW_NAME = "oriolegate_series_dropped_total"
# Halves of a 32-bit float as an array of 16-bit numbers holds them.
UPPER_HALF = 1 if sys.byteorder == "little" else 0

Labels = tuple[tuple[str, str], ...]
SeriesKey = tuple[str, Labels]


@attrs.define
class Counter:
    """A number that only rises."""

    value: int = 0

    def add(self, count: int = 1) -> None:
        """Raise the number."""
        self.value += count


@attrs.frozen
class LatencySummary:
    """Quantiles of the latencies recorded so far.

    Attributes:
        count: How many were recorded.
        total_ms: Their sum.
        max_ms: The longest, as exactly as the histogram keeps it.
        quantiles_ms: Latency by quantile, 0 to 1.
    """

    count: int
    total_ms: float
    max_ms: float
    quantiles_ms: Mapping[float, float]


def _middle_us(upper_half: int) -> float:
    # The middle of all floats that share this upper half, within the range.
    middle = struct.unpack("<f", struct.pack("<HH", 0x8000, upper_half))[0]
    if not math.isfinite(middle):
        return HIGHEST_US
    return float(min(max(middle * US_PER_MS, 1.0), HIGHEST_US))


class LatencyRecorder:
    """Records latencies cheaply and reports their quantiles.

    A reported quantile is within 1 per cent of a recorded latency.
    """

    def __init__(self) -> None:
        self.fresh_ms: list[float] = []
        self.counts: collections.Counter[int] = collections.Counter()
        self.histogram = HdrHistogram(1, HIGHEST_US, SIGNIFICANT_DIGITS)
        self.total_ms = 0.0

    def record(self, latency_ms: float) -> None:
        """Record one latency, in milliseconds."""
        self.fresh_ms.append(latency_ms)
        if len(self.fresh_ms) >= FOLD_COUNT:
            self.fold()

    def fold(self) -> None:
        """Move the fresh values into the counts."""
        halves = array.array("H")
        halves.frombytes(array.array("f", self.fresh_ms).tobytes())
        self.counts.update(halves[UPPER_HALF::2])
        self.total_ms += sum(self.fresh_ms)
        self.fresh_ms.clear()

    def enter_counts(self) -> None:
        """Enter everything recorded so far into the histogram."""
        self.fold()
        for upper_half, count in self.counts.items():
            self.histogram.record_value(round(_middle_us(upper_half)), count)
        self.counts.clear()

    def summary(self) -> LatencySummary:
        """Return the quantiles of everything recorded so far."""
        self.enter_counts()
        # An empty histogram has no value for any percentile.
        percentiles = [quantile * 100.0 for quantile in QUANTILES]
        values_us = self.histogram.get_percentile_to_value_dict(percentiles)
        return LatencySummary(
            count=self.histogram.get_total_count(),
            total_ms=self.total_ms,
            max_ms=self.histogram.get_max_value() / US_PER_MS,
            quantiles_ms={
                quantile: values_us.get(percentile, 0) / US_PER_MS
                for quantile, percentile in zip(
                    QUANTILES, percentiles, strict=True
                )
            },
        )


@attrs.frozen
class MetricsSnapshot:
    """All series of a process at one moment, by name and labels."""

    counters: Mapping[SeriesKey, int]
    gauges: Mapping[SeriesKey, float]
    latencies: Mapping[SeriesKey, LatencySummary]


def _series_key(name: str, labels: Mapping[str, str]) -> SeriesKey:
    return name, tuple(sorted(labels.items()))


class MetricsRegistry:
    """Makes and holds the series of one process.

    The number of series is bounded: beyond it a series is still usable by
    the part that asked for it, but is not reported, and is counted.
    """

    def __init__(self, max_series: int = MAX_SERIES) -> None:
        self.max_series = max_series
        self.counters: dict[SeriesKey, Counter] = {}
        self.gauges: dict[SeriesKey, Callable[[], float]] = {}
        self.latencies: dict[SeriesKey, LatencyRecorder] = {}
        self.dropped = Counter()
        self.counters[_series_key(OVERFLOW_NAME, {})] = self.dropped

    def _has_room(self) -> bool:
        series = len(self.counters) + len(self.gauges) + len(self.latencies)
        if series < self.max_series:
            return True
        self.dropped.add()
        return False

    def counter(self, name: str, **labels: str) -> Counter:
        """Return the counter of this name and labels; keep it for reuse."""
        key = _series_key(name, labels)
        found = self.counters.get(key)
        if found is None:
            found = Counter()
            if self._has_room():
                self.counters[key] = found
        return found

    def gauge(
        self, name: str, read: Callable[[], float], **labels: str
    ) -> None:
        """Report what `read` returns whenever a snapshot is taken."""
        key = _series_key(name, labels)
        if key in self.gauges or self._has_room():
            self.gauges[key] = read

    def latency(self, name: str, **labels: str) -> LatencyRecorder:
        """Return the recorder of this name and labels; keep it for reuse."""
        key = _series_key(name, labels)
        found = self.latencies.get(key)
        if found is None:
            found = LatencyRecorder()
            if self._has_room():
                self.latencies[key] = found
        return found

    def prepare(self) -> Iterator[None]:
        """Do the costly part of a snapshot, one latency at each step.

        A loop that takes one step a turn, as `task.cooperate` does, is never
        held for all of them together.
        """
        for recorder in list(self.latencies.values()):
            recorder.enter_counts()
            yield

    def snapshot(self) -> MetricsSnapshot:
        """Return the present values of all series."""
        return MetricsSnapshot(
            {key: item.value for key, item in self.counters.items()},
            {key: float(read()) for key, read in self.gauges.items()},
            {key: item.summary() for key, item in self.latencies.items()},
        )


def _escape(value: str) -> str:
    escaped = value.replace("\\", "\\\\").replace('"', '\\"')
    return escaped.replace("\n", "\\n")


def _series_text(name: str, labels: Labels) -> str:
    if not labels:
        return name
    pairs = ",".join(f'{label}="{_escape(value)}"' for label, value in labels)
    return f"{name}{{{pairs}}}"


def _latency_lines(
    name: str, labels: Labels, summary: LatencySummary
) -> list[str]:
    lines = []
    for quantile, value_ms in summary.quantiles_ms.items():
        with_quantile = (*labels, ("quantile", f"{quantile:g}"))
        lines.append(f"{_series_text(name, with_quantile)} {value_ms:g}")
    total = _series_text(f"{name}_sum", labels)
    count = _series_text(f"{name}_count", labels)
    lines.append(f"{total} {summary.total_ms:.3f}")
    lines.append(f"{count} {summary.count}")
    return lines


def render_text(snapshot: MetricsSnapshot) -> str:
    """Render a snapshot in the Prometheus text format.

    Args:
        snapshot: All series.

    Returns:
        Lines grouped by name, each group under its `# TYPE` line.
    """
    groups: dict[tuple[str, str], list[str]] = {}
    for (name, labels), value in sorted(snapshot.counters.items()):
        line = f"{_series_text(name, labels)} {value}"
        groups.setdefault((name, "counter"), []).append(line)
    for (name, labels), reading in sorted(snapshot.gauges.items()):
        line = f"{_series_text(name, labels)} {reading:.10g}"
        groups.setdefault((name, "gauge"), []).append(line)
    for (name, labels), summary in sorted(
        snapshot.latencies.items(), key=lambda item: item[0]
    ):
        lines = _latency_lines(name, labels, summary)
        groups.setdefault((name, "summary"), []).extend(lines)
    text = []
    for (name, kind), lines in groups.items():
        text += [f"# TYPE {name} {kind}", *lines]
    return "\n".join(text) + "\n"
