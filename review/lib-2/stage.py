"""Stand-ins for the store, leafs and clients, and the gateway processes.

Only the standard library is used. All addresses are loopback addresses. A
gateway is started with the command of deploy/system.toml, as a process of its
own, in the repository's root.
"""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROMISES = (408, 421, 429, 503)


def host_for(number: int) -> str:
    """Return a loopback address that other runs are unlikely to use."""
    high, low = divmod(os.getpid() % 62_500, 250)
    return f"127.{1 + high}.{1 + low}.{10 + number}"


def free_port(host: str) -> int:
    """Return a free port of a host."""
    with socket.socket() as opened:
        opened.bind((host, 0))
        return opened.getsockname()[1]


class Record:
    """Collects what was sent, answered and run; written at the end."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.started = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started

    def add(self, what: str, **fields: object) -> None:
        """Add one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{self.now():9.4f} {what} {text}")

    def close(self) -> None:
        """Write all lines to the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a first line and the headers, by name in lower case."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


def encode_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of an HTTP response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store:
    """The platform's store: objects by kind and name, lists and watches."""

    def __init__(self) -> None:
        self.kinds: dict[str, dict[str, dict]] = {}
        self.revision = 100
        self.history: list[tuple[int, str, dict]] = []
        self.changed = asyncio.Event()
        self.address = ("", 0)
        self.server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, host, 0)
        self.address = self.server.sockets[0].getsockname()

    async def open_door(self, host: str) -> "Door":
        """Serve one machine on a port of its own."""
        door = Door(self)
        server = await asyncio.start_server(door.serve, host, 0)
        door.address = server.sockets[0].getsockname()
        return door

    def _changed(self, kind: str, event: dict) -> None:
        self.history.append((self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: object) -> dict:
        """Create or replace an object."""
        known = self.kinds.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["meta"]["created"] if known else self.revision
        item = {
            "meta": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.kinds[kind][name] = item
        self._changed(kind, {"object": item, "deleted": False})
        return item

    def delete(self, kind: str, name: str) -> bool:
        """Remove an object; return whether it existed."""
        item = self.kinds.get(kind, {}).pop(name, None)
        if item is None:
            return False
        self.revision += 1
        meta = item["meta"] | {"revision": self.revision}
        self._changed(kind, {"object": item | {"meta": meta}, "deleted": True})
        return True

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                body = await reader.readexactly(
                    int(headers.get("content-length", 0))
                )
                method, target, _ = first.split(" ")
                status, document = await self._handle(method, target, body)
                writer.write(
                    encode_response(
                        status,
                        {"Content-Type": "application/json", "Store-Era": "1"},
                        json.dumps(document).encode(),
                    )
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _handle(self, method: str, target: str, body: bytes):
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        _, _, kind, *names = path.split("/")
        objects = self.kinds.setdefault(kind, {})
        name = urllib.parse.unquote(names[0]) if names else ""
        if method == "GET" and "watch" in fields:
            return await self._watch(
                kind, int(fields["watch"]), int(fields.get("wait_ms", 0))
            )
        if method == "GET" and name:
            item = objects.get(name)
            return (200, item) if item else (404, {})
        if method == "GET":
            after = fields.get("after", "")
            rest = sorted(key for key in objects if key > after)
            page = [objects[key] for key in rest[:500]]
            return 200, {
                "items": page,
                "has_more": len(rest) > 500,
                "as_of": self.revision,
            }
        if method == "POST":
            document = json.loads(body)
            name = document["meta"]["name"]
            if name in objects:
                return 409, objects[name]
            return 200, self.put(kind, name, document["spec"])
        if method == "PUT":
            document = json.loads(body)
            if name not in objects:
                return 404, {}
            return 200, self.put(kind, name, document["spec"])
        if method == "DELETE":
            return (200 if self.delete(kind, name) else 404), {}
        return 400, {}

    async def _watch(self, kind: str, revision: int, wait_ms: int):
        due = time.monotonic() + wait_ms / 1000
        while True:
            events = [
                event
                for at, of_kind, event in self.history
                if at > revision and of_kind == kind
            ]
            left = due - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass


class Door:
    """The store as one machine reaches it.

    Attributes:
        is_refusing: Whether the store turns the machine away with 503.
    """

    def __init__(self, store: Store) -> None:
        self.store = store
        self.is_refusing = False
        self.address = ("", 0)
        self.open: set[asyncio.StreamWriter] = set()

    def refuse(self) -> None:
        """Turn the machine away; a waiting watch is cut off."""
        self.is_refusing = True
        for writer in list(self.open):
            writer.close()

    async def serve(self, reader, writer) -> None:
        """Serve a connection."""
        self.open.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await reader.readexactly(
                    int(headers.get("content-length", 0))
                )
                method, target, _ = first.split(" ")
                status, document = 503, {}
                if not self.is_refusing:
                    status, document = await self.store._handle(
                        method, target, body
                    )
                writer.write(
                    encode_response(
                        status,
                        {"Content-Type": "application/json", "Store-Era": "1"},
                        json.dumps(document).encode(),
                    )
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()


class Gateway:
    """A gateway process with its settings file."""

    def __init__(
        self, stage: "Stage", number: int, zone: str, *, bootstrap: bool = True
    ) -> None:
        self.stage = stage
        self.name = f"edge-{zone}-{number}"
        self.zone = zone
        self.host = host_for(20 + number)
        self.front = (self.host, free_port(self.host))
        self.ready = (self.host, free_port(self.host))
        self.path = stage.folder / f"{self.name}.conf"
        self.log_path = stage.folder / f"{self.name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.is_in_rotation = True
        self.store_address = stage.store.address
        self.write_settings(bootstrap=bootstrap)

    def write_settings(self, *, bootstrap: bool, **more: object) -> None:
        """Write the settings file, as the platform does."""
        stage = self.stage
        fields: dict[str, object] = {
            "node_name": self.name,
            "role": "gateway",
            "machine_class": "edge",
            "serves": "edge,control_plane",
            "ip": self.host,
            "zone": self.zone,
            "region": stage.regions[self.zone],
            **{f"zones.{z}": r for z, r in stage.regions.items()},
            "listen.front": f"{self.front[0]}:{self.front[1]}",
            "listen.ready": f"{self.ready[0]}:{self.ready[1]}",
            "listen.control": f"{self.host}:1",
            "internal_ports": f"{stage.internal_port},{stage.internal_port + 1}",
            "seeds": ",".join(f"{host_for(20 + n)}:1" for n in stage.seeds),
            "bootstrap": "true" if bootstrap else "false",
            "limits.memory_mb": 300,
            "limits.max_fds": 4100,
            "limits.link_mbps": 1000.0,
            "heartbeat_ms": 1200,
            "bounds.seed_lag_s": 3,
            "bounds.reuse_after_s": 2,
            "bounds.contact_ms": 5000,
            "bounds.ack_ms": 6000,
            "bounds.drain_ms": 4000,
            "bounds.grace_s": 6,
            "bounds.loss_slack_ms": 200,
            "bounds.config_apply_ms": 4000,
            "bounds.downgrade_ms": 250,
            "bounds.retry_budget_ratio": 0.2,
            "bounds.budget_window_s": 10,
            "bounds.retry_budget_slack": 52,
            "bounds.warmup_factor": 1.5,
            "bounds.warmup_slack": 5,
            "bounds.evacuate_ms": 5000,
            "bounds.recover_s": 12,
            "platform.address": "{}:{}".format(*self.store_address[:2]),
            "platform.form": "objects",
            **more,
        }
        text = "".join(f"{name}={value}\n" for name, value in fields.items())
        temporary = self.path.with_suffix(".new")
        temporary.write_text(text)
        temporary.rename(self.path)

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["gateway"]["run"].split()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["ORIOLEGATE_BOOT"] = str(self.path)
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def is_ready(self) -> bool:
        """Ask the process as the platform's balancer does."""
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return " 200 " in first

    async def wait_ready(self, limit_s: float = 15) -> None:
        """Wait until the process counts as ready."""
        due = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > due:
                raise CannotRunError(f"{self.name} does not become ready")
            await asyncio.sleep(0.05)

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.is_running:
            assert self.process is not None
            self.process.send_signal(number)


class CannotRunError(Exception):
    """The case could not run."""


class Stage:
    """The store, the gateways and the folder of one run."""

    def __init__(self, folder: pathlib.Path, regions: dict[str, str]) -> None:
        self.case = folder
        self.record = Record(folder / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="oriolegate-review-"))
        self.regions = regions
        self.store = Store()
        self.gateways: list[Gateway] = []
        self.seeds: list[int] = []
        self.internal_port = free_port("127.0.0.1")
        self.tasks: list[asyncio.Task] = []

    async def start_gateways(self, zones: list[str]) -> None:
        """Start one gateway in each of the zones named."""
        self.seeds = list(range(len(zones)))[:3]
        self.gateways = [Gateway(self, n, z) for n, z in enumerate(zones)]
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()

    async def balance(self) -> None:
        """Ask each gateway every second, and take it out after two misses."""
        misses = dict.fromkeys((g.name for g in self.gateways), 0)
        while True:
            for gateway in self.gateways:
                is_ready = await gateway.is_ready()
                misses[gateway.name] = 0 if is_ready else misses[gateway.name] + 1
                gateway.is_in_rotation = misses[gateway.name] < 2
            await asyncio.sleep(1.0)

    def spawn(self, work) -> None:
        """Run a coroutine until the end of the run."""
        self.tasks.append(asyncio.ensure_future(work))

    async def close(self) -> None:
        """End all processes and tasks that this run started."""
        for task in self.tasks:
            task.cancel()
        for gateway in self.gateways:
            if gateway.is_running:
                assert gateway.process is not None
                gateway.process.kill()
                await gateway.process.wait()
        self.record.close()
        if os.environ.get("KEEP"):
            print("kept", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Connection:
    """One client connection to a gateway, for one request at a time."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.reader = None
        self.writer = None
        self.is_reusable = False

    async def call(self, data: bytes) -> tuple[int, dict[str, str], bytes]:
        """Send a request and read the response."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*self.address)
        self.is_reusable = False
        self.writer.write(data)
        first, headers = await read_head(self.reader)
        body = await self.reader.readexactly(int(headers.get("content-length", 0)))
        self.is_reusable = headers.get("connection", "").lower() != "close"
        return int(first.split(" ")[1]), headers, body

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()


def run(case: str, play, *, is_troubled: bool) -> None:
    """Run a case and exit with its status: 1 broken, 0 held, 2 not run.

    Args:
        case: Path of the script of the case.
        play: Plays it in a folder, with or without the disruption.
        is_troubled: Whether the disruption is played.
    """
    folder = pathlib.Path(case).resolve().parent

    async def main() -> int:
        try:
            return await asyncio.wait_for(play(folder, is_troubled), 115)
        except (CannotRunError, TimeoutError) as error:
            print(f"could not run: {error!r}")
            return 2

    try:
        status = asyncio.run(main())
    except Exception as error:  # noqa: BLE001
        print(f"could not run: {error!r}")
        status = 2
    sys.exit(status)
