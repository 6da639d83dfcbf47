"""Counters, gauges and latency quantiles of one process.

Latency quantiles come from an HdrHistogram. Recording a value in it costs
microseconds in Python, so values are first collected in a short list, then
folded into counts by the upper half of their 32-bit float, and recorded in the
histogram only when a summary is requested. docs/design/14-metrics.md has the
figures.
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

# Number of latencies collected before they are folded into counts.
FOLD_COUNT = 1_000
US_PER_MS = 1_000.0
# Upper end of the histogram's range; longer latencies count as this value.
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)
MAX_SERIES = 2_000
DROPPED_SERIES_NAME = "oriolegate_series_dropped_total"
# Index of the upper half in a 32-bit float split into two 16-bit numbers.
UPPER_HALF_INDEX = 1 if sys.byteorder == "little" else 0

Labels = tuple[tuple[str, str], ...]
SeriesKey = tuple[str, Labels]


@attrs.define
class Counter:
    """Number that only increases."""

    value: int = 0

    def add(self, count: int = 1) -> None:
        """Increase the number."""
        self.value += count


@attrs.frozen
class LatencySummary:
    """Quantiles of the latencies recorded so far.

    Attributes:
        count: Number of latencies recorded.
        total_ms: Sum of the latencies.
        max_ms: Longest latency, to the precision of the histogram.
        quantiles_ms: Latency by quantile, 0 to 1.
    """

    count: int
    total_ms: float
    max_ms: float
    quantiles_ms: Mapping[float, float]


def _midpoint_us(upper_half: int) -> float:
    # The middle of all floats with this upper half, clamped to the
    # histogram's range.
    midpoint = struct.unpack("<f", struct.pack("<HH", 0x8000, upper_half))[0]
    if not math.isfinite(midpoint):
        return HIGHEST_US
    return float(min(max(midpoint * US_PER_MS, 1.0), HIGHEST_US))


class LatencyRecorder:
    """Records latencies cheaply and reports their quantiles.

    A reported quantile is within 1 per cent of a recorded latency.

    Attributes:
        unfolded_ms: Latencies not yet folded into `counts`.
        counts: Number of latencies not yet in the histogram, by the upper half
            of their 32-bit float.
        histogram: Latencies in microseconds.
        total_ms: Sum of the folded latencies.
    """

    def __init__(self) -> None:
        self.unfolded_ms: list[float] = []
        self.counts: collections.Counter[int] = collections.Counter()
        self.histogram = HdrHistogram(1, HIGHEST_US, SIGNIFICANT_DIGITS)
        self.total_ms = 0.0

    def record(self, latency_ms: float) -> None:
        """Record one latency, in milliseconds."""
        self.unfolded_ms.append(latency_ms)
        if len(self.unfolded_ms) >= FOLD_COUNT:
            self.fold()

    def fold(self) -> None:
        """Move the unfolded latencies into the counts."""
        halves = array.array("H")
        halves.frombytes(array.array("f", self.unfolded_ms).tobytes())
        self.counts.update(halves[UPPER_HALF_INDEX::2])
        self.total_ms += sum(self.unfolded_ms)
        self.unfolded_ms.clear()

    def flush_to_histogram(self) -> None:
        """Move everything recorded so far into the histogram."""
        self.fold()
        for upper_half, count in self.counts.items():
            self.histogram.record_value(round(_midpoint_us(upper_half)), count)
        self.counts.clear()

    def summary(self) -> LatencySummary:
        """Return the quantiles of everything recorded so far."""
        self.flush_to_histogram()
        # An empty histogram reports no percentiles.
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
    """All series of a process at one time, by name and labels."""

    counters: Mapping[SeriesKey, int]
    gauges: Mapping[SeriesKey, float]
    latencies: Mapping[SeriesKey, LatencySummary]


def _series_key(name: str, labels: Mapping[str, str]) -> SeriesKey:
    return name, tuple(sorted(labels.items()))


class MetricsRegistry:
    """Creates and stores the series of one process.

    The number of series is limited. A series beyond the limit works for the
    code that requested it, but is not reported; it is counted as dropped.
    """

    def __init__(self, max_series: int = MAX_SERIES) -> None:
        self.max_series = max_series
        self.counters: dict[SeriesKey, Counter] = {}
        self.gauges: dict[SeriesKey, Callable[[], float]] = {}
        self.latencies: dict[SeriesKey, LatencyRecorder] = {}
        self.dropped = Counter()
        self.counters[_series_key(DROPPED_SERIES_NAME, {})] = self.dropped

    def _reserve_series(self) -> bool:
        # Returns whether a series can be added; if not, counts it as dropped.
        series = len(self.counters) + len(self.gauges) + len(self.latencies)
        if series < self.max_series:
            return True
        self.dropped.add()
        return False

    def counter(self, name: str, **labels: str) -> Counter:
        """Return the counter with this name and labels, created if missing.

        Callers should store the counter instead of looking it up for each
        event.
        """
        key = _series_key(name, labels)
        counter = self.counters.get(key)
        if counter is None:
            counter = Counter()
            if self._reserve_series():
                self.counters[key] = counter
        return counter

    def gauge(
        self, name: str, read: Callable[[], float], **labels: str
    ) -> None:
        """Register a gauge; `read` returns its value for each snapshot."""
        key = _series_key(name, labels)
        if key in self.gauges or self._reserve_series():
            self.gauges[key] = read

    def latency(self, name: str, **labels: str) -> LatencyRecorder:
        """Return the recorder with this name and labels, created if missing.

        Callers should store the recorder instead of looking it up for each
        event.
        """
        key = _series_key(name, labels)
        recorder = self.latencies.get(key)
        if recorder is None:
            recorder = LatencyRecorder()
            if self._reserve_series():
                self.latencies[key] = recorder
        return recorder

    def prepare(self) -> Iterator[None]:
        """Do the expensive part of a snapshot, one latency series per step.

        Run it with `task.cooperate`, which returns to the reactor between
        steps, so that the reactor is not blocked for all series at once.
        """
        for recorder in list(self.latencies.values()):
            recorder.flush_to_histogram()
            yield

    def snapshot(self) -> MetricsSnapshot:
        """Return the current values of all series."""
        return MetricsSnapshot(
            {key: counter.value for key, counter in self.counters.items()},
            {key: float(read()) for key, read in self.gauges.items()},
            {
                key: recorder.summary()
                for key, recorder in self.latencies.items()
            },
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
