"""Stand-ins for the platform, leafs and clients, for the scripts of the review.

They follow the pages of the deployment: the store lists, watches and changes
objects; a leaf runs requests in its slots and answers 421 to a request for
another leaf; a client sends requests over HTTP/1.1. Only the standard library
is used.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import shlex
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGE_ITEMS = 500
# Requests that wait for a slot of a leaf; further ones are turned away.
QUEUE = 24
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone"}


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def note(self, text):
        """Write a line and print it."""
        self.line(text)
        print(f"{self.now():8.3f} {text}", flush=True)

    def close(self):
        self.file.close()


class HttpProtocol(asyncio.Protocol):
    """Server side of one HTTP/1.1 connection, one request at a time."""

    def __init__(self, handle, on_open=None, on_lost=None):
        self.handle = handle
        self.on_open = on_open
        self.on_lost = on_lost
        self.buffer = b""
        self.task = None
        self.closed = False

    def connection_made(self, transport):
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        if self.on_open:
            self.on_open(self)

    def data_received(self, data):
        self.buffer += data
        self._next()

    def _next(self):
        if self.task is not None or self.closed:
            return
        head, mark, rest = self.buffer.partition(b"\r\n\r\n")
        if not mark:
            return
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        if len(rest) < length:
            return
        self.buffer = rest[length:]
        method, target, _ = lines[0].split(" ", 2)
        self.task = asyncio.ensure_future(
            self._run(method, target, headers, rest[:length])
        )

    async def _run(self, method, target, headers, body):
        try:
            await self.handle(self, method, target, headers, body)
        finally:
            self.task = None
        self._next()

    def write(self, status, headers, body):
        if self.closed:
            return
        lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        self.transport.write(head + body)

    def reset(self):
        """Close the connection with a reset."""
        if not self.closed:
            self.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            self.transport.abort()

    def connection_lost(self, error):
        self.closed = True
        # A leaf drops the request of a connection that has closed.
        if self.task is not None:
            self.task.cancel()
        if self.on_lost:
            self.on_lost(self)


class Store:
    """The platform's store.

    The content of an object is kept as the bytes of its writer. A port serves
    one machine, so that a machine can be cut off from the store.
    """

    def __init__(self, record):
        self.record = record
        self.objects = {}  # kind -> name -> (revision, bytes of the spec)
        self.history = []  # (revision, kind, bytes of the event)
        self.revision = 10
        self.changed = asyncio.Event()
        self.ports = []

    def _object(self, name, revision, spec):
        meta = {
            "name": name,
            "revision": revision,
            "created": revision,
            "finalizers": [],
            "deleting": False,
        }
        head = json.dumps(meta).encode()
        return b'{"meta":%b,"spec":%b,"status":null}' % (head, spec)

    def put_bytes(self, kind, name, spec):
        known = self.objects.setdefault(kind, {}).get(name)
        if known is not None and known[1] == spec:
            return
        self.revision += 1
        self.objects[kind][name] = (self.revision, spec)
        stored = self._object(name, self.revision, spec)
        self._add_event(kind, b'{"deleted":false,"object":%b}' % stored)
        self.record.line(f"store: {kind}/{name} written, {len(spec)} bytes")

    def put(self, kind, name, spec):
        self.put_bytes(kind, name, json.dumps(spec).encode())

    def delete(self, kind, name):
        _, spec = self.objects[kind].pop(name)
        self.revision += 1
        stored = self._object(name, self.revision, spec)
        self._add_event(kind, b'{"deleted":true,"object":%b}' % stored)
        self.record.line(f"store: {kind}/{name} deleted")

    def _add_event(self, kind, event):
        self.history.append((self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    async def open_port(self, host, translate=None):
        port = StorePort(self, translate)
        await port.open(host)
        self.ports.append(port)
        return port


class StorePort:
    """Address of the store for one machine.

    Attributes:
        is_cut: While true, nothing passes, in neither direction.
        open_calls: Calls without an answer.
        translate: Maps the bytes of an answer, or None. Links between one
            machine and the leafs are made with it.
    """

    def __init__(self, store, translate=None):
        self.store = store
        self.translate = translate
        self.is_cut = False
        self.open_calls = 0
        self.watching = set()

    async def open(self, host):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: HttpProtocol(self._handle), host, 0
        )
        self.address = self.server.sockets[0].getsockname()[:2]

    async def _send(self, connection, status, body=b"{}"):
        await self._pass_cut()
        if self.translate is not None:
            body = self.translate(body)
        connection.write(status, {"Content-Type": "application/json"}, body)

    def cut_watches(self):
        """Reset the connections whose watch waits."""
        for connection in list(self.watching):
            connection.reset()

    async def _pass_cut(self):
        while self.is_cut:
            await asyncio.sleep(0.02)

    async def _handle(self, *call):
        self.open_calls += 1
        try:
            await self._serve(*call)
        finally:
            self.open_calls -= 1

    async def _serve(self, connection, method, target, headers, body):
        await self._pass_cut()
        await asyncio.sleep(0.004)
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        parts = path.split("/")
        kind = parts[2]
        name = urllib.parse.unquote(parts[3]) if len(parts) > 3 else None
        store = self.store
        known = store.objects.setdefault(kind, {})
        if method == "GET" and "watch" in fields:
            self.watching.add(connection)
            try:
                await self._watch(connection, kind, fields)
            finally:
                self.watching.discard(connection)
        elif method == "GET" and name is None:
            names = sorted(n for n in known if n > fields.get("after", ""))
            page = names[:PAGE_ITEMS]
            items = b",".join(store._object(n, *known[n]) for n in page)
            more = b"true" if len(names) > len(page) else b"false"
            await self._send(
                connection,
                200,
                b'{"items":[%b],"has_more":%b,"as_of":%d}'
                % (items, more, store.revision),
            )
        elif method == "POST":
            document = json.loads(body)
            name = document["meta"]["name"]
            if name in known:
                await self._send(connection, 409)
                return
            store.put(kind, name, document["spec"])
            await self._send(connection, 200)
        elif method == "PUT":
            store.put(kind, name, json.loads(body)["spec"])
            await self._send(connection, 200)
        elif method == "DELETE" and name in known:
            store.delete(kind, name)
            await self._send(connection, 200)
        elif method == "GET" and name in known:
            await self._send(
                connection, 200, store._object(name, *known[name])
            )
        else:
            await self._send(connection, 404)

    async def _watch(self, connection, kind, fields):
        store = self.store
        revision = int(fields["watch"])
        ends_at = time.monotonic() + int(fields.get("wait_ms", 0)) / 1000
        while True:
            events = [e for r, k, e in store.history if k == kind and r > revision]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                break
            try:
                await asyncio.wait_for(store.changed.wait(), left)
            except TimeoutError:
                pass
        await self._send(
            connection,
            200,
            b'{"events":[%b],"as_of":%d}' % (b",".join(events), store.revision),
        )


class Leaf:
    """A leaf: runs requests in its slots and registers itself in the store.

    Attributes:
        work_s: How long a run takes, or a function that returns it.
        runs: Start time, attempt id, method and path of each run.
        outcome: Called with each run; returns "answer", "lost" or "hang".
        quiet_s: If not None, requests are turned away with this Retry-After.
        turned_away: Time and attempt id of these requests.
        arrivals: Time and attempt id of all requests of clients.
    """

    def __init__(self, record, store, leaf_id, service, zone, slots=4):
        self.record = record
        self.store = store
        self.leaf_id = leaf_id
        self.service = service
        self.zone = zone
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.waiting = 0
        self.work_s = 0.02
        self.runs = []
        self.arrivals = []
        self.outcome = lambda attempt: "answer"
        self.quiet_s = None
        self.turned_away = []
        self.cold_until = 0.0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.connections = set()
        self.server = None

    async def start(self, host):
        await self.listen(host)
        self.write_entry()

    async def listen(self, host, port=0):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: HttpProtocol(
                self._handle, self.connections.add, self.connections.discard
            ),
            host,
            port,
        )
        self.address = self.server.sockets[0].getsockname()[:2]

    def cold_left_ms(self):
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    def write_entry(self):
        host, port = self.address
        self.store.put(
            "servers",
            self.leaf_id,
            {
                "service": self.service,
                "address": f"{host}:{port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slot_count,
                "state": self.state,
                "warmup_left_ms": self.cold_left_ms(),
                "sequence": 1,
                "born": self.born,
            },
        )

    def stop(self):
        """End the process of the leaf: connections are reset."""
        self.server.close()
        for connection in list(self.connections):
            connection.reset()
        self.record.line(f"leaf {self.leaf_id} has ended")

    @contextlib.asynccontextmanager
    async def _slot(self):
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            yield
        finally:
            self.slots.release()

    async def _handle(self, connection, method, target, headers, body):
        expected = headers.get("target-instance")
        attempt = headers.get("attempt-id", "")
        if target == "/health":
            async with self._slot():
                await asyncio.sleep(0.001)
            status = 200 if self.state == "ready" else 503
            fields = {
                "Instance-Id": self.leaf_id,
                "Warmup-Ms": self.cold_left_ms(),
            }
            connection.write(status, fields, b"")
            return
        if expected is not None and expected != self.leaf_id:
            connection.write(421, {"Instance-Id": self.leaf_id}, b"")
            return
        self.arrivals.append((time.monotonic(), attempt))
        if self.quiet_s is not None:
            self.turned_away.append((time.monotonic(), attempt))
            self.record.line(f"leaf {self.leaf_id} turns {attempt} away")
            fields = {
                "Not-Executed": "1",
                "Attempt-Id": attempt,
                "Retry-After": self.quiet_s,
            }
            connection.write(503, fields, b"")
            return
        if self.waiting >= QUEUE:
            connection.write(503, {"Not-Executed": "1", "Attempt-Id": attempt}, b"")
            return
        async with self._slot():
            self.runs.append((time.monotonic(), attempt, method, target))
            self.record.line(f"leaf {self.leaf_id} runs {attempt} {method}")
            outcome = self.outcome(attempt)
            if outcome == "hang":
                await asyncio.sleep(3600)
            work_s = self.work_s() if callable(self.work_s) else self.work_s
            await asyncio.sleep(work_s)
        if outcome == "lost":
            self.record.line(f"leaf {self.leaf_id} loses answer of {attempt}")
            connection.reset()
            return
        fields = {"Attempt-Id": attempt, "Server-Seal": f"seal.{self.leaf_id}"}
        connection.write(200, fields, f"{self.leaf_id:<16}".encode()[:16])


def run_command():
    """Return the command of the gateway in the deploy file."""
    with open(ROOT / "deploy" / "system.toml", "rb") as file:
        return shlex.split(tomllib.load(file)["roles"]["gateway"]["run"])


def machine_host(number):
    """Return a loopback address for a machine, apart from other runs."""
    high, low = divmod(os.getpid() % 62_500, 250)
    return f"127.{1 + high}.{1 + low}.{10 + number}"


def free_port(host):
    with socket.socket() as opened:
        opened.bind((host, 0))
        return opened.getsockname()[1]


class Machine:
    """A machine that runs a gateway process."""

    def __init__(self, record, folder, name, zone, host, inner_port, store_port):
        self.record = record
        self.folder = pathlib.Path(folder)
        self.name = name
        self.zone = zone
        self.host = host
        self.front = (host, free_port(host))
        self.ready = (host, free_port(host))
        self.inner_port = inner_port
        self.store_port = store_port
        self.process = None

    def write_settings(self, zones, seeds, bootstrap, bounds=None):
        bounds = {
            "seed_lag_s": 3,
            "reuse_after_s": 2,
            "contact_ms": 5000,
            "ack_ms": 6000,
            "catch_up_s": 4,
            "drain_ms": 4000,
            "grace_s": 6,
            "loss_slack_ms": 200,
            "config_apply_ms": 4000,
            "downgrade_ms": 250,
            "skew_max_ms": 15000,
            "retry_budget_ratio": 0.2,
            "budget_window_s": 10,
            "retry_budget_slack": 56,
            "warmup_factor": 1.5,
            "warmup_slack": 5,
            "evacuate_ms": 5000,
            "recover_s": 12,
        } | (bounds or {})
        store_host, store_port = self.store_port.address
        lines = [
            f"node_name={self.name}",
            "role=gateway",
            "machine_class=edge",
            "serves=edge,control_plane",
            f"ip={self.host}",
            f"zone={self.zone}",
            f"region={zones[self.zone]}",
            *(f"zones.{zone}={region}" for zone, region in zones.items()),
            f"listen.front={self.front[0]}:{self.front[1]}",
            f"listen.ready={self.ready[0]}:{self.ready[1]}",
            f"listen.control={self.host}:{free_port(self.host)}",
            f"internal_ports={self.inner_port},{self.inner_port + 15}",
            "seeds=" + ",".join(f"{host}:8224" for host in seeds),
            f"bootstrap={'true' if bootstrap else 'false'}",
            "counts_as_loss=false",
            "limits.cpu_share=0.537",
            "limits.cores=2",
            "limits.memory_mb=300",
            "limits.max_fds=4100",
            "limits.link_mbps=1000.0",
            "limits.disk_mb=0",
            "discovery=platform",
            "entry=vip",
            "heartbeat_ms=1200",
            *(f"bounds.{name}={value}" for name, value in bounds.items()),
            f"platform.address={store_host}:{store_port}",
            "platform.form=objects",
            "platform.writes_per_s=400",
            "platform.reads_per_s=2000",
            "platform.history_s=20",
            "platform.value_bytes=1048576",
        ]
        self.settings = self.folder / f"{self.name}.conf"
        self.settings.write_text("\n".join(lines) + "\n")

    def start(self):
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["ORIOLEGATE_BOOT"] = str(self.settings)
        log = open(self.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            run_command(), cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()
        self.record.line(f"machine {self.name}: process started")

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def is_ready(self):
        answer = await request(self.ready, "GET", "/ready", {}, 1.0)
        return answer.status == 200

    def log_text(self):
        path = self.folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""


class Answer:
    """What a client got: a status, or 0 and the reason for having none."""

    def __init__(self, status, headers=None, body=b"", reason=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.reason = reason


async def request(address, method, target, headers, timeout_s, body=b""):
    """Send one request on a new connection."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {target} HTTP/1.1"]
            fields = {"Host": "h.example"} | headers
            if body or method in ("POST", "PUT"):
                fields["Content-Length"] = len(body)
            lines += [f"{name}: {value}" for name, value in fields.items()]
            head = "\r\n".join([*lines, "", ""]).encode("latin-1")
            writer.write(head + body)
            raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            first, *rest = raw.strip().split("\r\n")
            got = {}
            for line in rest:
                name, _, value = line.partition(":")
                got[name.lower()] = value.strip()
            length = int(got.get("content-length", "0"))
            content = await reader.readexactly(length)
            return Answer(int(first.split()[1]), got, content)
    except TimeoutError:
        return Answer(0, reason="no answer in time")
    except (OSError, asyncio.IncompleteReadError) as error:
        return Answer(0, reason=f"connection ended: {error!r}")
    finally:
        if writer is not None:
            writer.close()


class Traffic:
    """Clients that send requests at a rate to the machines in turn.

    Attributes:
        sent: Attempt id -> (time sent, kind of request, machine).
        answers: Attempt id -> (time answered, Answer).
    """

    def __init__(self, record):
        self.record = record
        self.sent = {}
        self.answers = {}
        self.tasks = set()
        self.number = 0

    async def send(self, machine, kind, method, target, deadline_ms, body=b""):
        self.number += 1
        attempt = f"{os.getpid():x}-{self.number:05d}"
        self.sent[attempt] = (time.monotonic(), kind, machine.name)
        self.record.line(f"client sends {attempt} {kind} to {machine.name}")
        answer = await request(
            machine.front,
            method,
            target,
            {"Attempt-Id": attempt, "Deadline-Ms": deadline_ms},
            deadline_ms / 1000,
            body,
        )
        self.answers[attempt] = (time.monotonic(), answer)
        detail = answer.headers.get("server-seal", answer.reason)
        self.record.line(f"client gets {attempt} {answer.status} {detail}")
        return attempt, answer

    def spawn(self, *args):
        task = asyncio.ensure_future(self.send(*args))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self, machines, per_s, until, kind, method, target, deadline_ms, body=b""):
        """Send at a rate until a time of the steady clock."""
        at = time.monotonic()
        number = 0
        while at < until:
            machine = machines[number % len(machines)]
            self.spawn(machine, kind, method, target, deadline_ms, body)
            number += 1
            at += 1.0 / per_s
            await asyncio.sleep(max(0.0, at - time.monotonic()))

    async def finish(self):
        while self.tasks:
            await asyncio.wait(list(self.tasks))


def route(name, service=None, kind="idempotent", **fields):
    base = {
        "name": name,
        "host": "h.example",
        "path_prefix": f"/{name}/",
        "type": kind,
        "timeout_ms": 2500,
        "target_latency_ms": 283,
        "priority": 1,
        "attempts": 2,
        "allowed_regions": [],
    }
    if service is not None:
        base["service"] = service
    return base | fields


def configuration(version, routes, services, **fields):
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": 36,
                "protocol": "h1",
                "tls": False,
                "warmup_s": 3.0,
                "warmup_per_s": 0.0,
            }
            | fields
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


async def wait_ready(record, machines, timeout_s=20.0):
    """Wait until all machines are ready; return whether they are."""
    ends_at = time.monotonic() + timeout_s
    for machine in machines:
        while not await machine.is_ready():
            if time.monotonic() > ends_at:
                return False
            await asyncio.sleep(0.1)
    record.note(f"{len(machines)} machines ready")
    return True


def main(case_folder, play):
    """Run a case and exit with 1 if the rule broke, 0 if it held, else 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(case_folder) / "record.txt")
    machines = []
    code = 2
    with tempfile.TemporaryDirectory() as folder:
        try:
            code = asyncio.run(
                asyncio.wait_for(play(record, folder, machines, trouble), 115)
            )
        except Exception as error:  # noqa: BLE001
            record.note(f"the case could not run: {error!r}")
        finally:
            for machine in machines:
                machine.kill()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for machine in machines:
                    path = pathlib.Path(keep) / f"{machine.name}.log"
                    path.write_text(machine.log_text())
    record.note({0: "rule held", 1: "RULE BROKEN"}.get(code, "could not run"))
    record.close()
    raise SystemExit(code)
