"""Stand-ins for a script: store, leafs and clients of a small deployment.

They follow the users' pages and use the standard library alone.
"""

import asyncio
import bisect
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2


def now() -> float:
    """Return the steady clock in seconds."""
    return time.monotonic()


def free_port(host: str) -> int:
    """Return a free port of a host."""
    with socket.socket() as opened:
        opened.bind((host, 0))
        return opened.getsockname()[1]


def reset(writer) -> None:
    """Reset a connection."""
    opened = writer.get_extra_info("socket")
    if opened is not None and opened.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Record:
    """Lines of record.txt: what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.started = now()

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        self.file.write(f"{now() - self.started:9.3f} {text}\n")
        self.file.flush()


# ---------------------------------------------------------------- HTTP


async def read_head(reader):
    """Read a head; return its first line and headers, or None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data[:-4].split(b"\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(b":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_message(reader, *, is_response=False):
    """Read one HTTP message with a length; return first line, headers, body."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    body = b""
    if headers.get(b"transfer-encoding", b"").lower() == b"chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                break
    elif b"content-length" in headers:
        body = await reader.readexactly(int(headers[b"content-length"]))
    elif is_response:
        body = await reader.read()
    return first, headers, body


# ---------------------------------------------------------------- store


class Store:
    """The platform's store: objects by kind and name, with watches."""

    def __init__(self) -> None:
        self.revision = 10
        self.kinds: dict[str, dict[str, dict]] = {}
        self.revisions: list[int] = []
        self.log: list[tuple[str, dict, bool]] = []
        self.changed = asyncio.Event()
        self.server = None
        self.address = ("", 0)

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, host, 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    def _wake(self) -> None:
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def put(self, kind: str, name: str, spec) -> dict:
        """Create or replace an object."""
        objects = self.kinds.setdefault(kind, {})
        known = objects.get(name)
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        item = {
            "meta": {
                "name": name,
                "revision": self.revision,
                "created": known["meta"]["created"] if known else self.revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": {},
        }
        objects[name] = item
        self.revisions.append(self.revision)
        self.log.append((kind, item, False))
        self._wake()
        return item

    def delete(self, kind: str, name: str) -> bool:
        """Remove an object."""
        item = self.kinds.get(kind, {}).pop(name, None)
        if item is None:
            return False
        self.revision += 1
        item = {**item, "meta": {**item["meta"], "revision": self.revision}}
        self.revisions.append(self.revision)
        self.log.append((kind, item, True))
        self._wake()
        return True

    async def _serve(self, reader, writer) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                first, _, body = message
                method, target, _ = first.decode("latin-1").split(" ")
                status, document = await self._call(method, target, body)
                data = json.dumps(document).encode()
                await asyncio.sleep(0.004)
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (status, len(data), data)
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass  # The play is over.
        finally:
            writer.close()

    async def _call(self, method, target, body):
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        parts = [urllib.parse.unquote(p) for p in path.split("/")[2:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and name is not None:
            item = objects.get(name)
            return (200, item) if item else (404, {"error": "none"})
        if method == "GET" and "watch" in fields:
            return await self._watch(
                kind, int(fields["watch"]), int(fields.get("wait_ms", 0))
            )
        if method == "GET":
            after = fields.get("after", "")
            names = sorted(n for n in objects if n > after)
            items = [objects[n] for n in names[:500]]
            return 200, {
                "items": items,
                "has_more": len(names) > 500,
                "as_of": self.revision,
            }
        if method == "DELETE":
            return (200, {}) if self.delete(kind, name) else (404, {})
        document = json.loads(body)
        if method == "POST":
            name = document["meta"]["name"]
            if name in objects:
                return 409, objects[name]
            return 201, self.put(kind, name, document["spec"])
        if name not in objects:
            return 404, {}
        return 200, self.put(kind, name, document["spec"])

    async def _watch(self, kind, revision, wait_ms):
        if revision > self.revision:
            return 410, {}
        due = now() + min(wait_ms, 30_000) / 1000
        while True:
            begin = bisect.bisect_right(self.revisions, revision)
            events = [
                {"object": item, "deleted": deleted}
                for of, item, deleted in self.log[begin:]
                if of == kind
            ]
            left = due - now()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass


# ---------------------------------------------------------------- leafs


class Leaf:
    """One leaf: runs requests in its slots, and registers in the store.

    `trouble` is None, or a coroutine function that gets the leaf, the writer
    and the request's headers and sends what the leaf in trouble sends.
    """

    def __init__(self, record, leaf_id, service, zone, slots, work_s, queue=12):
        self.record = record
        self.leaf_id = leaf_id
        self.service = service
        self.zone = zone
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.queue = queue
        self.waiting = 0
        self.work_s = work_s
        self.spread = 0.3
        self.trouble = None
        self.runs: list[tuple[float, str, str, bytes, bytes]] = []
        self.connections = 0
        self.max_connections = 25
        self.server = None
        self.address = ("", 0)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.answered: dict[str, bytes] = {}
        self.writers = set()

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(
            self._serve, host, 0, backlog=256
        )
        self.address = self.server.sockets[0].getsockname()[:2]

    def entry(self) -> dict:
        """Return what the leaf writes to the store."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "1.0",
            "slots": self.slot_count,
            "state": "ready",
            "warmup_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        self.writers.add(writer)
        try:
            if self.connections > self.max_connections:
                reset(writer)
                return
            while (message := await read_message(reader)) is not None:
                if not await self._answer(writer, *message):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass  # The play is over.
        finally:
            self.connections -= 1
            self.writers.discard(writer)
            writer.close()

    async def _reply(self, writer, status, headers, body=b"") -> None:
        lines = b"".join(b"%s: %s\r\n" % pair for pair in headers)
        writer.write(
            b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s"
            % (status, lines, len(body), body)
        )
        await writer.drain()

    async def _answer(self, writer, first, headers, body) -> bool:
        method, target, _ = first.split(b" ")
        if target == b"/health":
            await self._reply(
                writer, 200, [(b"Instance-Id", self.leaf_id.encode())]
            )
            return True
        attempt = headers.get(b"attempt-id", b"")
        echo = [(b"Attempt-Id", attempt)]
        if headers.get(b"target-instance") not in (
            None,
            self.leaf_id.encode(),
        ):
            await self._reply(writer, 421, echo)
            return True
        if self.trouble is not None:
            self.runs.append((now(), attempt.decode(), "trouble", target, body))
            await self.trouble(self, writer, headers)
            return False
        if self.slots.locked() and self.waiting >= self.queue:
            await self._reply(writer, 503, [*echo, (b"Not-Executed", b"1")])
            return True
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.runs.append((now(), attempt.decode(), "run", target, body))
            factor = random.uniform(1.0 - self.spread, 1.0 + self.spread)
            await asyncio.sleep(self.work_s * factor)
        answer = self.make_body()
        seal = f"{self.service}.{self.leaf_id}.{attempt.decode()}".encode()
        self.answered[attempt.decode()] = answer
        await self._reply(
            writer, 200, [*echo, (b"Server-Seal", seal)], answer
        )
        return True

    def make_body(self) -> bytes:
        """Return the records of one answer."""
        return random.randbytes(16 * 12)


# ---------------------------------------------------------------- gateways


class Gateway:
    """One process of the project, run by the command of the deploy file."""

    def __init__(self, record, folder, name, host, zone, zones, store, ports,
                 seeds, memory_mb=300, more=()):
        self.record = record
        self.name = name
        self.host = host
        self.zone = zone
        front, ready, control, internal = ports
        self.front = (host, front)
        self.ready = (host, ready)
        self.internal = (host, internal)
        self.settings = folder / f"{name}.conf"
        self.log_path = folder / f"{name}.log"
        self.lines = {
            "node_name": name,
            "role": "gateway",
            "machine_class": "edge",
            "serves": "edge,control_plane",
            "ip": host,
            "zone": zone,
            "region": zones[zone],
            **{f"zones.{z}": region for z, region in zones.items()},
            "listen.front": f"{host}:{front}",
            "listen.ready": f"{host}:{ready}",
            "listen.control": f"{host}:{control}",
            "internal_ports": f"{internal},{internal + 15}",
            "seeds": ",".join(f"{seed}:{control}" for seed in seeds),
            "bootstrap": "true",
            "limits.cpu_share": "0.537",
            "limits.cores": "2",
            "limits.memory_mb": str(memory_mb),
            "limits.max_fds": "4100",
            "limits.link_mbps": "1000.0",
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": "1200",
            "bounds.contact_ms": "5000",
            "bounds.drain_ms": "4000",
            "bounds.grace_s": "6",
            "bounds.config_apply_ms": "4000",
            "bounds.evacuate_ms": "5000",
            "bounds.retry_budget_ratio": "0.2",
            "bounds.budget_window_s": "10",
            "bounds.retry_budget_slack": "52",
            "bounds.warmup_factor": "1.5",
            "bounds.warmup_slack": "5",
            "platform.address": f"{store[0]}:{store[1]}",
            "platform.form": "objects",
            **dict(more),
        }
        self.process = None
        self.peak_kb = 0

    def write_settings(self, **changes) -> None:
        """Write the settings file."""
        self.lines.update(changes)
        text = "".join(f"{k}={v}\n" for k, v in self.lines.items())
        self.settings.write_text(text)

    async def start(self) -> None:
        """Start the process."""
        self.write_settings()
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "-m", "oriolegate", "gateway",
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "ORIOLEGATE_BOOT": str(self.settings),
                },
                stdout=log, stderr=log,
            )
        self.lines["bootstrap"] = "false"

    def signal(self, number) -> None:
        """Send a signal."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def memory_kb(self) -> int:
        """Return the resident memory of the process."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except (OSError, AttributeError):
            return 0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
        return 0

    async def wait_ready(self, limit_s: float = 20.0) -> bool:
        """Wait until the process reports that it is ready."""
        due = now() + limit_s
        while now() < due:
            try:
                answer = await asyncio.wait_for(
                    http(self.ready, b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"),
                    1.0,
                )
                if answer is not None and answer[0] == 200:
                    return True
            except (OSError, TimeoutError, ValueError):
                pass
            await asyncio.sleep(0.1)
        return False


async def http(address, data, *, on_sent=None):
    """Send bytes on a new connection; return status, headers, body or None."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(data)
        await writer.drain()
        if on_sent is not None:
            on_sent()
        message = await read_message(reader, is_response=True)
    except (ConnectionError, asyncio.IncompleteReadError):
        return None
    finally:
        writer.close()
    if message is None:
        return None
    first, headers, body = message
    return int(first.split(b" ")[1]), headers, body


class Balancer:
    """The platform's entry: checks each machine once a second."""

    def __init__(self, gateways) -> None:
        self.gateways = gateways
        self.misses = {gateway.name: 0 for gateway in gateways}

    async def run(self) -> None:
        """Check all machines each second."""
        while True:
            due = now() + 1.0
            await asyncio.gather(*(self._check(g) for g in self.gateways))
            await asyncio.sleep(max(0.0, due - now()))

    async def _check(self, gateway) -> None:
        data = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"
        try:
            answer = await asyncio.wait_for(http(gateway.ready, data), 0.9)
        except (OSError, TimeoutError, ValueError):
            answer = None
        if answer is not None and answer[0] == 200:
            self.misses[gateway.name] = 0
        else:
            self.misses[gateway.name] += 1

    def choose(self, zone):
        """Return the machine that a new connection of a zone is sent to."""
        for of_zone in (
            [g for g in self.gateways if g.zone == zone],
            [g for g in self.gateways if g.zone != zone],
        ):
            in_rotation = [g for g in of_zone if self.misses[g.name] < 2]
            if not in_rotation:
                continue
            if 2 * len(in_rotation) < len(of_zone):
                in_rotation = of_zone
            return random.choice(in_rotation)
        return random.choice(self.gateways)


class Site:
    """A small deployment with its stand-ins."""

    def __init__(self, folder, zones, gateways_per_zone, memory_mb=300):
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.zones = zones
        self.base = f"127.{random.randint(11, 250)}.{random.randint(1, 250)}"
        self.leafs: list[Leaf] = []
        self.gateways: list[Gateway] = []
        self.gateways_per_zone = gateways_per_zone
        self.memory_mb = memory_mb
        self.ids = (f"{random.getrandbits(64):016x}" for _ in itertools.count())
        self.beats = None
        self.version = 0

    async def start(self, services, routes, *, more=()):
        """Start the store, the leafs and the gateways, and wait for them."""
        await self.store.start("127.0.0.1")
        for name, (count, slots, work_s, _) in services.items():
            zones = list(self.zones)
            for index in range(count):
                leaf = Leaf(
                    self.record, f"i-{name}-{index}-{random.getrandbits(32):08x}",
                    name, zones[index % len(zones)], slots, work_s,
                )
                leaf.max_connections = services[name][3]
                await leaf.start("127.0.0.1")
                self.leafs.append(leaf)
                self.store.put("servers", leaf.leaf_id, leaf.entry())
        self.services = services
        self.configure(routes)
        self.beats = asyncio.create_task(self._beat())
        hosts = []
        count = 0
        for zone in self.zones:
            for _ in range(self.gateways_per_zone):
                count += 1
                hosts.append((f"{self.base}.{10 + count}", zone))
        ports = [free_port(hosts[0][0]) for _ in range(3)]
        internal = random.randint(20_000, 28_000)
        for index, (host, zone) in enumerate(hosts):
            gateway = Gateway(
                self.record, self.folder, f"edge-{index + 1}", host, zone,
                self.zones, self.store.address, (*ports, internal),
                [h for h, _ in hosts[:3]], self.memory_mb, more,
            )
            self.gateways.append(gateway)
        await asyncio.gather(*(g.start() for g in self.gateways))
        ready = await asyncio.gather(*(g.wait_ready() for g in self.gateways))
        self.record.write(f"gateways ready: {ready}")
        return all(ready)

    def configure(self, routes, **limits):
        """Write a configuration; the store's answer is its acknowledgement."""
        self.version += random.randint(1, 4)
        self.store.put("config", "main", {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": name, "health_path": "/health",
                 "max_connections": values[3], "protocol": "h1", "tls": False,
                 "warmup_s": 3.0, "warmup_per_s": 0.0}
                for name, values in self.services.items()
            ],
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 262144,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000, **limits,
            },
        })
        self.record.write(f"configuration {self.version} acknowledged")

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for leaf in self.leafs:
                self.store.put("servers", leaf.leaf_id, leaf.entry())

    def request(self, method, host, path, deadline_ms, body=b"", headers=()):
        """Return a new attempt id and the bytes of a request."""
        attempt = next(self.ids)
        lines = [
            f"{method} {path} HTTP/1.1", f"Host: {host}",
            f"Attempt-Id: {attempt}", f"Deadline-Ms: {deadline_ms}",
            *headers,
        ]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        return attempt, "\r\n".join([*lines, "", ""]).encode() + body

    async def watch_memory(self, ends):
        """Do as the platform does: kill a process over its memory, start it.

        Args:
            ends: Receives the name of each process that was killed.
        """
        while True:
            await asyncio.sleep(0.02)
            for gateway in self.gateways:
                held_kb = gateway.memory_kb()
                gateway.peak_kb = max(gateway.peak_kb, held_kb)
                if held_kb <= self.memory_mb * 1024:
                    continue
                ends.append(gateway.name)
                self.record.write(
                    f"{gateway.name} holds {held_kb // 1024} MB of "
                    f"{self.memory_mb} MB; killed by the platform"
                )
                gateway.process.kill()
                await gateway.process.wait()
                await asyncio.sleep(0.5)
                await gateway.start()

    async def close(self):
        """End all processes that were started."""
        if self.beats is not None:
            self.beats.cancel()
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.returncode is None:
                gateway.process.kill()
                await gateway.process.wait()


def route(name, host, prefix, kind, timeout_ms, target_ms, attempts=2, **more):
    """Return one route of a configuration."""
    return {
        "name": name, "host": host, "path_prefix": prefix, "type": kind,
        "timeout_ms": timeout_ms, "target_latency_ms": target_ms,
        "priority": 1, "attempts": attempts, "allowed_regions": [], **more,
    }


def main(play) -> None:
    """Run a play with a limit of time; exit with its result."""
    folder = pathlib.Path(sys.argv[1]).resolve()
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        code = asyncio.run(asyncio.wait_for(play(folder, has_trouble), 112))
    except Exception as error:  # The case could not run.
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.exit(code)
