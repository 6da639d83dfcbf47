"""Leafs that answer every sub-request immediately, on a separate thread.

Used only to measure the processor time of the client side, which excludes
this thread.
"""

import selectors
import socket
import threading
from typing import Any

import orjson

HOST = "127.0.0.1"
RECEIVE_BYTES = 65_536
RESULTS_PER_SHARD = 10
ECHOED_HEADERS = (b"x-query", b"x-shard", b"x-attempt", b"x-index-version")


def canned_body() -> bytes:
    """Return the JSON body of a small answer for one shard."""
    results = [
        {"id": f"document-{number}", "score": 1.0 / (number + 1)}
        for number in range(RESULTS_PER_SHARD)
    ]
    return orjson.dumps({"results": results})


class CannedLeafs:
    """Leafs on loopback that send the same results for each sub-request.

    Attributes:
        ports: Port of each leaf.
    """

    def __init__(self, count: int) -> None:
        self.selector = selectors.DefaultSelector()
        self.ports: list[int] = []
        body = canned_body()
        self.common_response = (
            b"X-Leaf-State: warm\r\nX-Incarnation: 1\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        )
        for _ in range(count):
            listener = socket.create_server((HOST, 0), backlog=128)
            listener.setblocking(False)
            self.ports.append(listener.getsockname()[1])
            self.selector.register(listener, selectors.EVENT_READ, None)
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the thread that answers sub-requests."""
        self.thread.start()

    def stop(self) -> None:
        """Stop the thread and close all sockets."""
        self.stopped.set()
        self.thread.join()
        for key in list(self.selector.get_map().values()):
            self.selector.unregister(key.fileobj)
            if isinstance(key.fileobj, socket.socket):
                key.fileobj.close()
        self.selector.close()

    def _run(self) -> None:
        while not self.stopped.is_set():
            for key, _ in self.selector.select(timeout=0.1):
                if key.data is None:
                    self._accept(key.fileobj)
                else:
                    self._answer(key.fileobj, key.data)

    def _accept(self, listener: Any) -> None:
        connection, _ = listener.accept()
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.selector.register(connection, selectors.EVENT_READ, bytearray())

    def _answer(self, connection: Any, buffer: bytearray) -> None:
        try:
            data = connection.recv(RECEIVE_BYTES)
        except ConnectionError:
            data = b""
        if not data:
            self.selector.unregister(connection)
            connection.close()
            return
        buffer += data
        # The measured requests have no body: each ends with its header.
        while (end := buffer.find(b"\r\n\r\n")) >= 0:
            head = bytes(buffer[:end])
            del buffer[: end + 4]
            connection.sendall(self._response(head))

    def _response(self, head: bytes) -> bytes:
        lines = head.split(b"\r\n")[1:]
        echoed = [
            line
            for line in lines
            if line.split(b":", 1)[0].lower() in ECHOED_HEADERS
        ]
        return b"HTTP/1.1 200 OK\r\n%b\r\n%b" % (
            b"\r\n".join(echoed),
            self.common_response,
        )
