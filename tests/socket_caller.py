"""A caller on a socket of its own, beside a server on the same reactor."""

import re
import socket

from twisted.internet import reactor
from twisted.internet import task

READ_TIMEOUT_S = 10.0
READ_INTERVAL_S = 0.01


class Caller:
    """A caller that never blocks the server under test.

    Its connection is open, and its data is sent, before the server accepts it.
    """

    def __init__(self, address, data=b""):
        self.socket = socket.create_connection(address, READ_TIMEOUT_S)
        self.socket.setblocking(False)
        self.received = b""
        self.send(data)

    def send(self, data):
        self.socket.sendall(data)

    def response(self):
        """Return status and body of the response, or None if incomplete."""
        head, _, body = self.received.partition(b"\r\n\r\n")
        length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
        if length is None or len(body) < int(length[1]):
            return None
        return int(head.split()[1]), body

    async def read_response(self):
        """Return status and body, or None if the connection ends first."""
        try:
            for _ in range(int(READ_TIMEOUT_S / READ_INTERVAL_S)):
                try:
                    data = self.socket.recv(65_536)
                except BlockingIOError:
                    await task.deferLater(reactor, READ_INTERVAL_S)
                    continue
                self.received += data
                if not data or self.response():
                    break
        except ConnectionError:
            pass
        finally:
            self.socket.close()
        return self.response()

    async def read_status(self):
        """Return the status of the response, or None without one."""
        response = await self.read_response()
        return response[0] if response else None
