"""Merges the parts of a gathered answer."""

from collections.abc import Iterable
import heapq

RECORD_BYTES = 16


def records(part: bytes) -> list[bytes]:
    """Split a part into records; a shorter remainder is none."""
    end = len(part) - len(part) % RECORD_BYTES
    return [part[at : at + RECORD_BYTES] for at in range(0, end, RECORD_BYTES)]


def greatest(parts: Iterable[bytes], count: int) -> bytes:
    """Return the greatest records of all parts, greatest first.

    Equal records all count.
    """
    found: list[bytes] = []
    for part in parts:
        found += records(part)
    return b"".join(heapq.nlargest(count, found))
