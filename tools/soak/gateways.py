"""Gateway processes that the soak starts, signals and starts again."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
from typing import Any

from tools.soak.proxy import Link

from oriolegate.clock import SystemClock

ROOT = pathlib.Path(__file__).resolve().parents[2]
GRACE_S = 2.0
RESTART_S = 0.3
# Time after a disturbance in which connections may still show it.
ECHO_MS = 1_500.0


def free_ports(host: str, count: int) -> list[int]:
    """Return ports that are free on a host."""
    sockets = [socket.socket() for _ in range(count)]
    for found in sockets:
        found.bind((host, 0))
    ports = [found.getsockname()[1] for found in sockets]
    for found in sockets:
        found.close()
    return ports


def host_of(number: int) -> str:
    """Return the loopback address of a gateway."""
    return f"127.0.0.{10 + number}"


class GatewayProcess:
    """One gateway, as a process of its own.

    Attributes:
        vm: Its name.
        host: Its loopback address.
        store_link: The proxy between it and the store.
        process: The process, or None while it is down.
        disturbed_ms: When it was last killed, paused or cut.
        starts: How often it was started.
    """

    def __init__(
        self,
        reactor: Any,
        number: int,
        data_centre: str,
        store: tuple[str, int],
        folder: pathlib.Path,
        seeds: list[str],
        inside: int,
    ) -> None:
        self.reactor = reactor
        self.clock = SystemClock()
        self.vm = f"vm-{number}"
        self.host = host_of(number)
        self.ports = [*free_ports(self.host, 2), inside]
        self.seeds = seeds
        self.store_link = Link(reactor, self.host, store)
        self.path = folder / f"{self.vm}.conf"
        self.log_path = folder / f"{self.vm}.log"
        self.path.write_text(self._settings(data_centre))
        self.process: subprocess.Popen[bytes] | None = None
        self.disturbed_ms = float("-inf")
        self.is_paused = False
        self.starts = 0
        self.closed = False

    def _settings(self, data_centre: str) -> str:
        front, ready, inside = self.ports
        store_host, store_port = self.store_link.address
        lines = [
            f"node_name={self.vm}",
            f"zone={data_centre}",
            "region=north",
            "zones.dca=north",
            "zones.dcb=north",
            "zones.dcc=south",
            f"ip={self.host}",
            "seeds=" + ",".join(f"{host}:1" for host in self.seeds),
            f"listen.front={self.host}:{front}",
            f"listen.ready={self.host}:{ready}",
            f"internal_ports={inside},{inside}",
            f"platform.address={store_host}:{store_port}",
            f"bounds.grace_s={GRACE_S}",
        ]
        return "\n".join(lines) + "\n"

    @property
    def front(self) -> tuple[str, int]:
        """Where callers connect."""
        return self.host, self.ports[0]

    @property
    def inside(self) -> tuple[str, int]:
        """Where other gateways and readers of metrics connect."""
        return self.host, self.ports[2]

    def start(self) -> None:
        """Start the process unless it runs or the soak is over."""
        if self.closed or (self.process and self.process.poll() is None):
            return
        self.starts += 1
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "oriolegate", "gateway"],
                env=os.environ
                | {
                    "PYTHONPATH": str(ROOT / "src"),
                    "ORIOLEGATE_BOOT": str(self.path),
                },
                stdout=log,
                stderr=log,
            )
        self.is_paused = False

    def watch(self) -> None:
        """Start it again some time after it has ended."""
        if self.closed:
            return
        if self.process is not None and self.process.poll() is not None:
            self.process = None
            self.reactor.callLater(RESTART_S, self.start)
        self.reactor.callLater(0.05, self.watch)

    def disturb(self) -> None:
        """Note that its connections may break now."""
        self.disturbed_ms = self.clock.now_ms()

    def was_disturbed_since(self, moment_ms: float) -> bool:
        """Return whether a request from then on may have suffered."""
        return self.is_paused or self.disturbed_ms > moment_ms - ECHO_MS

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is None or self.process.poll() is not None:
            return
        if number in (signal.SIGKILL, signal.SIGSTOP, signal.SIGCONT):
            self.disturb()
        if number is signal.SIGSTOP:
            self.is_paused = True
        if number is signal.SIGCONT:
            self.is_paused = False
        self.process.send_signal(number)

    def close(self) -> None:
        """End the process that this soak started, and its link."""
        self.closed = True
        self.store_link.close()
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
