"""Counts the steps of a function, which don't depend on the machine."""

from collections.abc import Callable
import sys
from typing import Any


def count_lines(function: Callable[[], Any]) -> int:
    """Return how many lines of Python a function runs, with all it calls."""
    count = 0

    def trace(frame: Any, event: str, argument: Any) -> Any:
        nonlocal count
        if event == "line":
            count += 1
        return trace

    previous = sys.gettrace()
    sys.settrace(trace)
    try:
        function()
    finally:
        sys.settrace(previous)
    return count
