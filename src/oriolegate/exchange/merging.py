"""Merges the parts of a scatter-gather answer."""

from collections.abc import Iterable
import heapq

# Size of one record in a leaf's answer.
RECORD_BYTES = 16


def split_records(part: bytes) -> list[bytes]:
    """Split a part into records, ignoring an incomplete last record."""
    end = len(part) - len(part) % RECORD_BYTES
    return [part[at : at + RECORD_BYTES] for at in range(0, end, RECORD_BYTES)]


def greatest_records(parts: Iterable[bytes], count: int) -> bytes:
    """Return the `count` greatest records of all parts, greatest first.

    Duplicate records are kept.
    """
    records: list[bytes] = []
    for part in parts:
        records += split_records(part)
    return b"".join(heapq.nlargest(count, records))
