"""Closing of ports and connections without losing what has just arrived.

A request may wait in a socket that the process has not read yet. Closing such a
socket resets the connection, and its caller gets no answer.
"""

import select
from typing import Any

# Connections that may wait at a port of callers. Large, since all callers of a
# failed VM reconnect at the same time.
LISTEN_BACKLOG = 512


def accept_waiting(port: Any) -> None:
    """Accept the connections that wait at a port, before it is closed.

    Args:
        port: A listening port of Twisted.
    """
    port.numberAccepts = LISTEN_BACKLOG
    port.doRead()


def has_unread_bytes(transport: Any) -> bool:
    """Return whether bytes, or the end of a connection, wait to be read."""
    descriptor = transport.getHandle().fileno()
    if descriptor < 0:
        return False
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


def count_unsent(transport: Any) -> int:
    """Return how many bytes written to a transport its socket has not taken."""
    return int(
        len(transport.dataBuffer) - transport.offset + transport._tempDataLen
    )


def abort(transport: Any) -> None:
    """Reset a connection and free at once what was not sent on it."""
    transport.abortConnection()
    transport.dataBuffer = b""
    transport.offset = 0
    transport._tempDataBuffer = []
    transport._tempDataLen = 0
