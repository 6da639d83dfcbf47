"""A crowd of clients that hold what they send open, as a process of its own.

    python -m tests.crowds.crowd_clients HOST PORT KIND COUNT [ROUNDS]

Prints `settled` once no client makes progress any more, then keeps all
connections open until its standard input is closed. With several rounds, each
crowd is gone before the next one comes.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import itertools
import sys

# Longest body that the configuration of the tests allows.
BODY_BYTES = 262_144
SLICE_BYTES = 65_536
# Twisted keeps a body below 100,000 bytes in memory, a longer one in a file.
KEPT_IN_MEMORY_BYTES = 98_304
PIECE_BYTES = 4_096
# Most bytes of the costly part of a head; the limit is 16 KiB.
HEAD_BYTES = 15_000
HEAD_NAMES = 2_900
FORWARDED_BYTES = 4 * 1024 * 1024
# Clients that connect at the same time; more would fill the listen queue.
CONNECTING_AT_ONCE = 64
# A crowd has settled if no client has sent anything for so long.
QUIET_S = 2.0
SETTLE_LIMIT_S = 25.0
ROUND_PAUSE_S = 0.5

# Bytes that come one at a time, with a pause after each.
TRICKLE_BYTES = 100
TRICKLE_PAUSE_S = 0.3
MIXED_KINDS = (
    "whole",
    "large_chunks",
    "one_byte_chunks",
    "complete",
    "complete_to_shards",
    "many_headers",
    "short_trailers",
    "pipelined",
    "unknown_routes",
    "few_bytes",
)

attempt_numbers = itertools.count(1)
mixed_numbers = itertools.count()


def head(path: str, *lines: str, method: str = "POST") -> bytes:
    """Return the head of a request with an attempt id of its own."""
    fields = [
        f"{method} {path} HTTP/1.1",
        "Host: h.example",
        f"Attempt-Id: c{next(attempt_numbers)}",
        "Deadline-Ms: 20000",
        *lines,
    ]
    return "\r\n".join([*fields, "", ""]).encode()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


LENGTH = f"Content-Length: {BODY_BYTES}"
CHUNKED = "Transfer-Encoding: chunked"
BODY = b"a" * BODY_BYTES
ONE_BYTE_CHUNKS = _chunk(b"a") * (SLICE_BYTES // 8)
TRAILER = b"X-Trailer: " + b"t" * BODY_BYTES
SHORT_TRAILERS = b"a:b\r\n" * (PIECE_BYTES * 3)
MANY_HEADERS = [f"h{number}: {'v' * 20}" for number in range(480)]


def whole() -> Iterator[bytes]:
    """Send a body but for its last byte."""
    yield head("/one/a", LENGTH)
    yield BODY[:-1]


def pieces() -> Iterator[bytes]:
    """Send a body but for its last byte, piece by piece."""
    yield head("/one/a", LENGTH)
    for start in range(0, BODY_BYTES - PIECE_BYTES, PIECE_BYTES):
        yield BODY[start : start + PIECE_BYTES]


def large_chunks() -> Iterator[bytes]:
    """Send large chunks without the last one."""
    yield head("/one/a", CHUNKED)
    for _ in range(BODY_BYTES // SLICE_BYTES):
        yield _chunk(BODY[: SLICE_BYTES - 1])


def one_byte_chunks() -> Iterator[bytes]:
    """Send chunks of one byte, many of them, without the last one."""
    yield head("/one/a", CHUNKED)
    for _ in range(24):
        yield ONE_BYTE_CHUNKS


def complete() -> Iterator[bytes]:
    """Send a complete request with a long body."""
    yield head("/one/a", LENGTH) + BODY


def complete_to_shards() -> Iterator[bytes]:
    """Send a complete request with a long body to many shards."""
    yield head("/all/a", LENGTH) + BODY


def pipelined() -> Iterator[bytes]:
    """Send many requests at once, and read no answer."""
    for _ in range(10):
        yield b"".join(head("/one/a", method="GET") for _ in range(100))


def large_answers() -> Iterator[bytes]:
    """Ask for long answers, and read none."""
    yield b"".join(head("/large/a", method="GET") for _ in range(8))


def unknown_routes() -> Iterator[bytes]:
    """Send many requests at once that get their answer at once."""
    for _ in range(10):
        yield b"".join(head("/none/a", method="GET") for _ in range(200))


def long_trailer() -> Iterator[bytes]:
    """Send a short chunked body and a trailer of invalid length."""
    yield head("/one/a", CHUNKED) + _chunk(b"a") + b"0\r\n"
    yield TRAILER


def short_trailers() -> Iterator[bytes]:
    """Send many short trailers without their end."""
    yield head("/one/a", CHUNKED) + _chunk(b"a") + b"0\r\n"
    yield SHORT_TRAILERS


def many_headers() -> Iterator[bytes]:
    """Send many short headers without their end."""
    yield head("/one/a", *MANY_HEADERS)[:-2]


def _numbers(separator: str) -> str:
    return "".join(f"{n:x}{separator}" for n in range(HEAD_NAMES))


COOKIES = "Cookie: " + _numbers("=;")
SHORT_LINES = _numbers(":\r\n").split("\r\n")[:-1]


def cookies() -> Iterator[bytes]:
    """Send a head of many cookies, and a body but for its last byte."""
    yield head("/one/a", COOKIES, "Content-Length: 9") + BODY[:8]


def short_lines() -> Iterator[bytes]:
    """Send a head of many short lines, and a body but for its last byte."""
    yield head("/one/a", *SHORT_LINES, "Content-Length: 9") + BODY[:8]


def long_names() -> Iterator[bytes]:
    """Send complete requests with a header name of their own each."""
    for _ in range(12):
        name = f"{next(mixed_numbers):x}".rjust(HEAD_BYTES, "n")
        yield head("/one/a", f"{name}: 1", method="GET")


def slashes() -> Iterator[bytes]:
    """Send complete requests with long paths of slashes."""
    for _ in range(12):
        yield head("/one/a" + "/" * HEAD_BYTES, method="GET")


def few_bytes() -> Iterator[bytes]:
    """Send the beginning of a request line."""
    yield b"GET /one/a"


def nothing() -> Iterator[bytes]:
    """Send nothing."""
    return iter(())


def trickle() -> Iterator[bytes]:
    """Send most of a body, then a byte at a time without its end."""
    yield head("/one/a", LENGTH)
    yield BODY[: -2 * TRICKLE_BYTES]
    for _ in range(TRICKLE_BYTES):
        yield b"a"


def forwarded_complete() -> Iterator[bytes]:
    """Send complete bodies to the port of other VMs that are no requests."""
    yield head("/forwarded", f"Content-Length: {FORWARDED_BYTES}")
    for _ in range(FORWARDED_BYTES // SLICE_BYTES):
        yield BODY[:SLICE_BYTES]


def mixed() -> Iterator[bytes]:
    """Do what one of several other clients does, in turn."""
    return KINDS[MIXED_KINDS[next(mixed_numbers) % len(MIXED_KINDS)]]()


def forwarded() -> Iterator[bytes]:
    """Send a body to the port of other VMs, but for its last byte."""
    yield head("/forwarded", f"Content-Length: {FORWARDED_BYTES}")
    for _ in range(FORWARDED_BYTES // SLICE_BYTES - 1):
        yield BODY[:SLICE_BYTES]


def query() -> Iterator[bytes]:
    """Send a body to `serve`, but for its last byte."""
    yield head("/v1/query/r", f"Content-Length: {KEPT_IN_MEMORY_BYTES}")
    yield BODY[: KEPT_IN_MEMORY_BYTES - 1]


def query_chunks() -> Iterator[bytes]:
    """Send large chunks to `serve`, without the last one."""
    yield head("/v1/query/r", CHUNKED)
    yield _chunk(BODY[:SLICE_BYTES])


def query_one_byte_chunks() -> Iterator[bytes]:
    """Send chunks of one byte to `serve`, without the last one."""
    yield head("/v1/query/r", CHUNKED)
    for _ in range(24):
        yield ONE_BYTE_CHUNKS


def query_short_trailers() -> Iterator[bytes]:
    """Send many short trailers to `serve`, without their end."""
    yield head("/v1/query/r", CHUNKED) + _chunk(b"a") + b"0\r\n"
    yield SHORT_TRAILERS


KINDS: dict[str, Callable[[], Iterator[bytes]]] = {
    function.__name__: function
    for function in (
        whole,
        pieces,
        large_chunks,
        one_byte_chunks,
        complete,
        complete_to_shards,
        pipelined,
        large_answers,
        unknown_routes,
        long_trailer,
        short_trailers,
        many_headers,
        cookies,
        short_lines,
        long_names,
        slashes,
        few_bytes,
        nothing,
        forwarded,
        query,
        query_chunks,
        query_one_byte_chunks,
        query_short_trailers,
        trickle,
        forwarded_complete,
        mixed,
    )
}


class Crowd:
    """Clients of one round.

    Attributes:
        progress_s: When a client last sent something.
        active: Number of clients that have something left to send.
    """

    def __init__(self, address: tuple[str, int], kind: str, count: int) -> None:
        self.address = address
        self.kind = KINDS[kind]
        self.connecting = asyncio.Semaphore(CONNECTING_AT_ONCE)
        self.progress_s = 0.0
        self.active = count
        self.writers: list[asyncio.StreamWriter] = []
        self.tasks = [asyncio.create_task(self._send()) for _ in range(count)]

    def _record_progress(self) -> None:
        self.progress_s = asyncio.get_running_loop().time()

    async def _send(self) -> None:
        try:
            async with self.connecting:
                # Nobody reads, so that the stream's reader stops the socket.
                _, writer = await asyncio.open_connection(
                    *self.address, limit=1
                )
            self.writers.append(writer)
            for data in self.kind():
                for start in range(0, len(data), SLICE_BYTES):
                    writer.write(data[start : start + SLICE_BYTES])
                    await writer.drain()
                    if len(data) == 1:
                        await asyncio.sleep(TRICKLE_PAUSE_S)
                    else:
                        self._record_progress()
        except OSError:
            pass
        finally:
            self.active -= 1

    async def settle(self) -> None:
        """Wait until no client makes progress any more."""
        loop = asyncio.get_running_loop()
        self._record_progress()
        started_s = loop.time()
        while loop.time() < started_s + SETTLE_LIMIT_S:
            await asyncio.sleep(0.1)
            if loop.time() > self.progress_s + QUIET_S:
                return

    async def close(self) -> None:
        """Close all connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for writer in self.writers:
            with contextlib.suppress(OSError):
                writer.transport.abort()


async def main(
    host: str, port: int, kind: str, count: int, rounds: int
) -> None:
    """Play all rounds."""
    loop = asyncio.get_running_loop()
    for number in range(rounds):
        crowd = Crowd((host, port), kind, count)
        await crowd.settle()
        if number < rounds - 1:
            await crowd.close()
            await asyncio.sleep(ROUND_PAUSE_S)
    print("settled", flush=True)
    await loop.run_in_executor(None, sys.stdin.read)
    await crowd.close()


if __name__ == "__main__":
    asyncio.run(
        main(
            sys.argv[1],
            int(sys.argv[2]),
            sys.argv[3],
            int(sys.argv[4]),
            int((sys.argv[5:] or ["1"])[0]),
        )
    )
