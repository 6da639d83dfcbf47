"""Processor time, memory and message sizes of pieces of the program."""

from collections.abc import Callable
from collections.abc import Sequence
import time
import tracemalloc
from typing import Any

from tools.capacity_fit import fit

from oriolegate.runtime.composition import peer_codec

MS_PER_S = 1_000.0
KIB = 1_024
LOGICAL_TIME = 1_000_000  # of a process that has run for a while


def allocated_kib(
    build: Callable[..., Any], *arguments: Any
) -> tuple[Any, float]:
    """Build something; return it with the memory that it holds."""
    tracemalloc.start()
    built = build(*arguments)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return built, size / KIB


def processor_ms(work: Callable[..., object], *arguments: Any) -> float:
    """Return the processor time that a call takes in this thread."""
    started_s = time.thread_time()
    work(*arguments)
    return (time.thread_time() - started_s) * MS_PER_S


def encoded_bytes(message: object) -> int:
    """Return the size of a peer message, without framing."""
    return len(peer_codec().encode(message, LOGICAL_TIME))


def print_lines(
    sizes: Sequence[float],
    rows: Sequence[tuple[float, ...]],
    names: Sequence[str],
) -> None:
    """Print the line of each figure against the sizes."""
    for position, name in enumerate(names):
        line = fit(sizes, [row[position] for row in rows])
        print(f"  {name}: {line.intercept:.4g} + {line.slope:.4g} x size")
