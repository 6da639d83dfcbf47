"""Processor time, memory and message sizes of parts of the program."""

from collections.abc import Callable
from collections.abc import Sequence
import time
import tracemalloc
from typing import Any

from tools.capacity_fit import fit

from oriolegate.runtime.composition import peer_codec

MS_PER_S = 1_000.0
KIB = 1_024
LOGICAL_TIME = 1_000_000  # typical of a process that has run for some time


def allocated_kib(
    build: Callable[..., Any], *arguments: Any
) -> tuple[Any, float]:
    """Build an object; return it and the memory that it uses, in KiB."""
    tracemalloc.start()
    built = build(*arguments)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return built, size / KIB


def processor_ms(function: Callable[..., object], *arguments: Any) -> float:
    """Return the processor time of a call in this thread."""
    started_s = time.thread_time()
    function(*arguments)
    return (time.thread_time() - started_s) * MS_PER_S


def encoded_bytes(message: object) -> int:
    """Return the size of a peer message, without framing."""
    return len(peer_codec().encode(message, LOGICAL_TIME))


def print_lines(
    sizes: Sequence[float],
    rows: Sequence[tuple[float, ...]],
    names: Sequence[str],
) -> None:
    """Print the fitted line of each figure against the sizes."""
    for position, name in enumerate(names):
        line = fit(sizes, [row[position] for row in rows])
        print(f"  {name}: {line.intercept:.4g} + {line.slope:.4g} x size")
