"""Compare the costs of three ways to record a latency.

Prints nanoseconds per value, the median of several runs.
"""

from collections.abc import Callable
import random
import statistics
import time

from hdrh.histogram import HdrHistogram

from oriolegate import metrics

VALUE_COUNT = 200_000
RUNS = 7
SEED = 7


def _record_directly(latencies_ms: list[float]) -> None:
    histogram = HdrHistogram(1, metrics.HIGHEST_US, metrics.SIGNIFICANT_DIGITS)
    for latency_ms in latencies_ms:
        histogram.record_value(int(latency_ms * metrics.US_PER_MS))


def _record_in_batches(latencies_ms: list[float]) -> None:
    histogram = HdrHistogram(1, metrics.HIGHEST_US, metrics.SIGNIFICANT_DIGITS)
    pending_ms: list[float] = []
    for latency_ms in latencies_ms:
        pending_ms.append(latency_ms)
        if len(pending_ms) >= metrics.FOLD_COUNT:
            for value_ms in pending_ms:
                histogram.record_value(int(value_ms * metrics.US_PER_MS))
            pending_ms.clear()


def _record_by_upper_half(latencies_ms: list[float]) -> None:
    recorder = metrics.LatencyRecorder()
    for latency_ms in latencies_ms:
        recorder.record(latency_ms)


def _elapsed_ns(action: Callable[[], object]) -> int:
    started_ns = time.perf_counter_ns()
    action()
    return time.perf_counter_ns() - started_ns


def _print_reading_costs(latencies_ms: list[float]) -> None:
    recorder = metrics.LatencyRecorder()
    for latency_ms in latencies_ms:
        recorder.record(latency_ms)
    fold_ns = []
    for _ in range(RUNS):
        recorder.unfolded_ms = latencies_ms[: metrics.FOLD_COUNT]
        fold_ns.append(_elapsed_ns(recorder.fold))
    enter_ns, read_ns, distinct = [], [], 0
    for _ in range(RUNS):
        for latency_ms in latencies_ms:
            recorder.record(latency_ms)
        distinct = len(recorder.counts)
        enter_ns.append(_elapsed_ns(recorder.flush_to_histogram))
        read_ns.append(_elapsed_ns(recorder.summary))
    print(f"one fold: {statistics.median(fold_ns) / 1e6:.3f} ms")
    entering_ms = statistics.median(enter_ns) / 1e6
    print(f"entering {distinct} counts: {entering_ms:.2f} ms")
    print(f"a summary after it: {statistics.median(read_ns) / 1e6:.2f} ms")


def main() -> None:
    """Print the costs of recording and of reading."""
    rng = random.Random(SEED)
    latencies_ms = [rng.lognormvariate(3.0, 0.8) for _ in range(VALUE_COUNT)]
    for name, record in (
        ("record_value for each value", _record_directly),
        ("record_value in batches", _record_in_batches),
        ("counts by upper half of the float", _record_by_upper_half),
    ):
        runs = [
            _elapsed_ns(lambda r=record: r(latencies_ms)) for _ in range(RUNS)
        ]
        print(f"{name}: {statistics.median(runs) / VALUE_COUNT:.0f} ns a value")
    _print_reading_costs(latencies_ms)


if __name__ == "__main__":
    main()
