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
