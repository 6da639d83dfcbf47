"""Tests of counters, latency quantiles and the Prometheus text."""

import math
import unittest

import hypothesis
from hypothesis import strategies as st

from oriolegate import metrics

LATENCIES_MS = st.lists(st.floats(0.02, 100_000.0), min_size=1, max_size=2_500)


class LatencyRecorderTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=40)
    @hypothesis.given(LATENCIES_MS)
    def test_quantiles_are_close_to_recorded_latencies(self, latencies_ms):
        recorder = metrics.LatencyRecorder()
        for latency_ms in latencies_ms:
            recorder.record(latency_ms)
        summary = recorder.summary()
        ordered = sorted(latencies_ms)
        self.assertEqual(summary.count, len(ordered))
        self.assertAlmostEqual(
            summary.total_ms, math.fsum(ordered), delta=0.001 * len(ordered)
        )
        for quantile, value_ms in summary.quantiles_ms.items():
            rank = math.floor(quantile * len(ordered) + 0.5)
            exact_ms = ordered[max(rank, 1) - 1]
            # One microsecond is the unit that the histogram counts in.
            self.assertLessEqual(
                abs(value_ms - exact_ms), 0.015 * exact_ms + 0.001
            )

    def test_values_outside_the_range_are_clamped_and_counted(self):
        recorder = metrics.LatencyRecorder()
        for latency_ms in (0.0, -1.0, 1e12, math.inf):
            recorder.record(latency_ms)
        self.assertEqual(recorder.summary().count, 4)

    def test_the_sizes_of_unfolded_values_and_counts_are_limited(self):
        recorder = metrics.LatencyRecorder()
        for number in range(30_000):
            recorder.record(1.0 + number / 1_000)
            self.assertLess(len(recorder.unfolded_ms), metrics.FOLD_COUNT)
        self.assertLess(len(recorder.counts), 128 * 6)

    def test_a_summary_without_values_is_zero(self):
        summary = metrics.LatencyRecorder().summary()
        self.assertEqual((summary.count, summary.max_ms), (0, 0.0))


class RegistryTest(unittest.TestCase):
    def test_the_same_labels_in_any_order_give_the_same_series(self):
        registry = metrics.MetricsRegistry()
        registry.counter("sent", service="a", leaf="x").add(2)
        registry.counter("sent", leaf="x", service="a").add()
        key = ("sent", (("leaf", "x"), ("service", "a")))
        self.assertEqual(registry.snapshot().counters[key], 3)

    def test_series_beyond_the_limit_are_counted_but_not_reported(self):
        registry = metrics.MetricsRegistry(max_series=3)
        for number in range(5):
            registry.counter("c", number=str(number)).add()
            registry.latency("l", number=str(number)).record(1.0)
        registry.gauge("g", lambda: 1.0)
        snapshot = registry.snapshot()
        series = (snapshot.counters, snapshot.gauges, snapshot.latencies)
        self.assertEqual(sum(map(len, series)), 3)
        self.assertEqual(registry.dropped.value, 9)

    def test_each_step_of_prepare_flushes_one_latency_series(self):
        registry = metrics.MetricsRegistry()
        recorders = [registry.latency("l", n=str(n)) for n in range(3)]
        for recorder in recorders:
            recorder.record(5.0)
        for left, _ in zip((2, 1, 0), registry.prepare(), strict=True):
            unflushed = [r for r in recorders if r.unfolded_ms]
            self.assertEqual(len(unflushed), left)
        counts = [
            summary.count for summary in registry.snapshot().latencies.values()
        ]
        self.assertEqual(counts, [1, 1, 1])

    def test_text_groups_series_under_their_type_line(self):
        registry = metrics.MetricsRegistry()
        registry.counter("sent_total", service='a"b\n').add(7)
        registry.gauge("in_flight", lambda: 4)
        for _ in range(3):
            registry.latency("query_ms", service="a").record(16.0)
        text = metrics.render_text(registry.snapshot())
        self.assertEqual(
            text,
            "# TYPE oriolegate_series_dropped_total counter\n"
            "oriolegate_series_dropped_total 0\n"
            "# TYPE sent_total counter\n"
            'sent_total{service="a\\"b\\n"} 7\n'
            "# TYPE in_flight gauge\n"
            "in_flight 4\n"
            "# TYPE query_ms summary\n"
            'query_ms{service="a",quantile="0.5"} 16.063\n'
            'query_ms{service="a",quantile="0.9"} 16.063\n'
            'query_ms{service="a",quantile="0.99"} 16.063\n'
            'query_ms{service="a",quantile="0.999"} 16.063\n'
            'query_ms_sum{service="a"} 48.000\n'
            'query_ms_count{service="a"} 3\n',
        )
