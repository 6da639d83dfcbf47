"""Limits on the bytes of responses that are being received.

A faulty server may send bytes without end. Each response has a limit of its
own, and all responses that are being received share a buffer: if they exceed
it, the largest one is abandoned.
"""

from collections.abc import Callable
from collections.abc import Hashable

import attrs

# Larger than any list or configuration of the store.
DEFAULT_MAX_BODY_BYTES = 16 * 1024 * 1024


class ReceiveBuffer:
    """Bytes of incomplete responses, over all connections that share it.

    Attributes:
        limit_bytes: Most bytes that are buffered.
        total_bytes: Bytes buffered now.
        incomplete: Bytes buffered and function that abandons the response, by
            connection.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self.incomplete: dict[Hashable, tuple[int, Callable[[], None]]] = {}

    def update(
        self, connection: Hashable, size_bytes: int, abandon: Callable[[], None]
    ) -> None:
        """Set the size of an incomplete response; abandon the largest ones.

        Args:
            connection: Connection of the response.
            size_bytes: Bytes received so far.
            abandon: Abandons the response; must release it.
        """
        self.release(connection)
        self.incomplete[connection] = (size_bytes, abandon)
        self.total_bytes += size_bytes
        while self.total_bytes > self.limit_bytes:
            largest = max(
                self.incomplete, key=lambda key: self.incomplete[key][0]
            )
            _, abandon_largest = self.incomplete[largest]
            self.release(largest)
            abandon_largest()

    def release(self, connection: Hashable) -> None:
        """Forget a response that is complete or abandoned."""
        size_bytes, _ = self.incomplete.pop(connection, (0, None))
        self.total_bytes -= size_bytes


@attrs.frozen
class ReceiveLimits:
    """Limits on responses.

    Attributes:
        max_body_bytes: Longest body of one response.
        buffer: Shared by all incomplete responses, or None.
    """

    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    buffer: ReceiveBuffer | None = None


DEFAULT_LIMITS = ReceiveLimits()
