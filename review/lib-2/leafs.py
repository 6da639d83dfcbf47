"""A stand-in for leafs that follows PROTOCOL.md, with slots and a queue."""

import asyncio
import collections
import hashlib
import random
import socket
import struct
import time

from stage import Stage
from stage import encode_response
from stage import read_head

POLL_S = 0.004
# Time after which idle connections are closed, as the answers state.
IDLE_S = 20


def is_check(first: str) -> bool:
    """Return whether a request line is that of a health check."""
    return first.split(" ")[1] == "/health"


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    opened = writer.get_extra_info("socket")
    if opened is not None and opened.fileno() >= 0:
        opened.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


class Job:
    """A request that waits for a slot or runs."""

    def __init__(self, attempt: str, due: float) -> None:
        self.attempt = attempt
        self.due = due


class Leaf:
    """One leaf.

    Attributes:
        slow: Factor of the work time; above 1 while the leaf is slow.
        extra_share: Share of its answers after which it sends a second copy,
            where the next response is expected.
        runs: Called with each request that begins to run.
    """

    def __init__(
        self,
        stage: Stage,
        leaf_id: str,
        service: str,
        zone: str,
        host: str,
        *,
        slots: int,
        queue: int,
        max_connections: int,
        work_ms: float,
        seed: int,
    ) -> None:
        self.stage = stage
        self.leaf_id = leaf_id
        self.service = service
        self.zone = zone
        self.host = host
        self.slots = slots
        self.queue_size = queue
        self.max_connections = max_connections
        self.work_ms = work_ms
        self.rng = random.Random(seed)
        self.slow = 1.0
        self.extra_share = 0.0
        self.cold_until = 0.0
        self.is_dark = False
        self.fillers: list[socket.socket] = []
        self.tasks: set[asyncio.Task] = set()
        self.runs: list[tuple[float, str, str]] = []
        self.arrivals: list[float] = []
        self.running = 0
        self.waiting: collections.deque[Job] = collections.deque()
        self.connections: set = set()
        self.extras = 0
        self.resets = 0
        self.spoiled = 0
        self.health_sheds = 0
        self.answers = 0
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.address = ("", 0)

    async def start(self) -> None:
        """Listen and register in the store."""
        self.listener = socket.socket()
        self.listener.setblocking(False)
        self.listener.bind((self.host, 0))
        self.address = self.listener.getsockname()
        self.accept()
        self.write_entry()

    def accept(self) -> None:
        """Begin to accept connections."""
        self.listener.listen(128)
        self.accepting = asyncio.ensure_future(self._accept())
        self.stage.tasks.append(self.accepting)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            opened, _ = await loop.sock_accept(self.listener)
            opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            reader, writer = await asyncio.open_connection(sock=opened)
            task = asyncio.ensure_future(self._serve(reader, writer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def go_dark(self) -> None:
        """Lose power: open connections and new ones get no answer."""
        self.is_dark = True
        self.accepting.cancel()
        for writer in self.connections:
            writer.transport.pause_reading()
        # Linux drops the opening packets while the queue of a port is full.
        self.listener.listen(0)
        loop = asyncio.get_running_loop()
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            self.fillers.append(filler)
            try:
                await asyncio.wait_for(
                    loop.sock_connect(filler, self.address), 0.02
                )
            except TimeoutError:
                pass

    async def come_back(self, leaf_id: str) -> None:
        """Start again as a new incarnation."""
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        for writer in list(self.connections):
            reset(writer)
        for task in list(self.tasks):
            task.cancel()
        await asyncio.sleep(0.01)
        self.connections.clear()
        self.waiting.clear()
        self.running = 0
        self.is_dark = False
        self.leaf_id = leaf_id
        self.born = int(time.time() * 1000)
        self.accept()
        self.write_entry()

    def write_entry(self) -> None:
        """Write the leaf's entry, as at each heartbeat."""
        self.sequence += 1
        self.stage.store.put(
            "servers",
            self.leaf_id,
            {
                "service": self.service,
                "address": f"{self.address[0]}:{self.address[1]}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "warmup_left_ms": self.cold_left_ms,
                "sequence": self.sequence,
                "born": self.born,
            },
        )

    @property
    def cold_left_ms(self) -> int:
        """How much longer the leaf is cold."""
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    @property
    def is_full(self) -> bool:
        """Whether a further request is rejected."""
        return self.running >= self.slots and len(self.waiting) >= self.queue_size

    async def _serve(self, reader, writer) -> None:
        limit = self.max_connections
        if self.waiting:
            # It accepts fewer while its queue is long.
            limit //= 2
        if len(self.connections) >= limit:
            self.resets += 1
            reset(writer)
            return
        self.connections.add(writer)
        copy = b""
        try:
            while True:
                first, headers = await asyncio.wait_for(
                    read_head(reader), IDLE_S + 1
                )
                body = await reader.readexactly(
                    int(headers.get("content-length", 0))
                )
                if copy:
                    # The late second copy of the answer before.
                    self.stage.record.add(
                        "extra", leaf=self.leaf_id, before=headers.get("attempt-id")
                    )
                    writer.write(copy)
                    copy = b""
                answer = await self._answer(first, headers, body, reader)
                if answer is None:
                    break
                while self.is_dark:
                    await asyncio.sleep(POLL_S)
                self.answers += 1
                writer.write(answer)
                await writer.drain()
                if is_check(first) and self._may_spoil(answer):
                    self.extras += 1
                    self.spoiled += 1
                    copy = answer
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def start_extras(self, share: float) -> None:
        """Send second copies of rejected checks, up to a share of all answers."""
        self.extra_share = share
        self.answers = 0
        self.spoiled = 0

    def _may_spoil(self, answer: bytes) -> bool:
        if not answer.startswith(b"HTTP/1.1 503"):
            return False
        return self.spoiled + 1 <= self.extra_share * self.answers

    def _shed(self, headers: dict[str, str]) -> bytes:
        fields = {"Not-Executed": "1"}
        if "attempt-id" in headers:
            fields["Attempt-Id"] = headers["attempt-id"]
        else:
            self.health_sheds += 1
            self.stage.record.add("shed-health-check", leaf=self.leaf_id)
        return encode_response(503, fields, b"")

    async def _answer(self, first, headers, body, reader) -> bytes | None:
        method, target, _ = first.split(" ")
        is_health = is_check(first)
        attempt = headers.get("attempt-id", "")
        expected = headers.get("target-instance")
        if not is_health and expected not in (None, self.leaf_id):
            fields = {"Instance-Id": self.leaf_id, "Attempt-Id": attempt}
            return encode_response(421, fields, b"")
        if not is_health:
            self.arrivals.append(time.monotonic())
        if self.is_full:
            return self._shed(headers)
        due = time.monotonic() + float(headers.get("deadline-ms", 5000)) / 1000
        job = Job(attempt, due)
        if not await self._take_slot(job, reader):
            return None
        if time.monotonic() >= due:
            self._free_slot()
            return self._shed(headers)
        try:
            if is_health:
                await asyncio.sleep(0.001)
                fields = {
                    "Instance-Id": self.leaf_id,
                    "Warmup-Ms": str(self.cold_left_ms),
                }
                return encode_response(200, fields, b"")
            self.runs.append((time.monotonic(), self.leaf_id, attempt))
            self.stage.record.add(
                "run", leaf=self.leaf_id, attempt=attempt, request=f"{method}:{target}"
            )
            work_s = self.work_ms * self.slow * self.rng.uniform(0.6, 1.4) / 1000
            end = time.monotonic() + work_s
            while (now := time.monotonic()) < min(end, due):
                if reader.at_eof() or reader.exception():
                    return None
                await asyncio.sleep(min(POLL_S, max(0.0, min(end, due) - now)))
            status = 200 if end <= due else 504
        finally:
            self._free_slot()
        text = hashlib.sha1(f"{attempt}/{self.leaf_id}".encode()).digest()[:16]
        fields = {
            "Attempt-Id": attempt,
            "Server-Seal": f"s.{self.leaf_id}.{attempt}",
            "Keep-Alive": f"timeout={IDLE_S}",
        }
        return encode_response(status, fields, text)

    async def _take_slot(self, job: Job, reader) -> bool:
        self.waiting.append(job)
        while True:
            if self.waiting[0] is job and self.running < self.slots:
                self.waiting.popleft()
                self.running += 1
                return True
            if reader.at_eof() or reader.exception():
                self.waiting.remove(job)
                return False
            await asyncio.sleep(POLL_S)

    def _free_slot(self) -> None:
        self.running -= 1


def route(name: str, service: str, kind: str, **changes: object) -> dict:
    """Return a route of host `desk.example`."""
    return {
        "name": name,
        "host": "desk.example",
        "path_prefix": f"/{name}/",
        "type": kind,
        "timeout_ms": 1500,
        "target_latency_ms": 300,
        "priority": 1,
        "attempts": 2,
        "service": service,
        "allowed_regions": [],
    } | changes


def configuration(version: int, routes: list[dict], services: dict[str, int]) -> dict:
    """Return a configuration; `services` holds the connection limits."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": limit,
                "warmup_s": 3.0,
                "warmup_per_s": 2.0,
            }
            for name, limit in services.items()
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 20000,
        },
    }
