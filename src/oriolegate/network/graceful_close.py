"""Closing of ports and connections without losing what has just arrived.

A request may wait in a socket that the process has not read yet. Closing such a
socket resets the connection, and its caller gets no answer.
"""

import select
from typing import Any

from twisted.internet import error
from twisted.python import failure

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


def close_port(port: Any) -> None:
    """Accept the connections that wait at a port, and close it at once.

    `stopListening` closes it in a later turn of the event loop, and would reset
    the connections that arrive until then.

    Args:
        port: A listening port of Twisted.
    """
    accept_waiting(port)
    port.stopReading()
    port.connectionLost(failure.Failure(error.ConnectionDone()))


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
