"""Gateway processes that the soak starts, signals and restarts."""

from collections.abc import Sequence
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
# Values of each of the two bytes of an address that name a process.
ADDRESS_BLOCKS = 250
RESTART_DELAY_S = 0.3
# Connections may still be affected for this long after a disturbance.
DISTURBANCE_EFFECT_MS = 1_500.0


def free_ports(host: str, count: int) -> list[int]:
    """Return distinct free ports of a host."""
    sockets = [socket.socket() for _ in range(count)]
    for opened in sockets:
        opened.bind((host, 0))
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports


def host_for(number: int) -> str:
    """Return the loopback address of a gateway.

    Processes beside this one use others: they must not get the port of a
    gateway that was killed.
    """
    high, low = divmod(os.getpid() % ADDRESS_BLOCKS**2, ADDRESS_BLOCKS)
    return f"127.{1 + high}.{1 + low}.{10 + number}"


class GatewayProcess:
    """A gateway process with its settings and its link to the store.

    Attributes:
        vm: VM name.
        host: Loopback address.
        store_link: Proxy between the gateway and the store.
        source: Folder of the package to run, such as an earlier version.
        more_settings: Further lines of the settings file.
        grace_s: Time between SIGTERM and SIGKILL.
        process: Child process, or None while the gateway is down.
        disturbed_ms: Time of the last SIGKILL, SIGSTOP or SIGCONT.
        starts_ms: When the process was started.
    """

    def __init__(
        self,
        reactor: Any,
        number: int,
        data_centre: str,
        store: tuple[str, int],
        folder: pathlib.Path,
        seeds: list[str],
        internal_port: int,
        source: pathlib.Path = ROOT / "src",
        more_settings: Sequence[str] = (),
        grace_s: float = GRACE_S,
    ) -> None:
        self.more_settings = more_settings
        self.grace_s = grace_s
        self.reactor = reactor
        self.source = source
        self.clock = SystemClock()
        self.vm = f"vm-{number}"
        self.host = host_for(number)
        self.ports = [*free_ports(self.host, 2), internal_port]
        self.seeds = seeds
        self.store_link = Link(reactor, self.host, store)
        self.settings_path = folder / f"{self.vm}.conf"
        self.log_path = folder / f"{self.vm}.log"
        self.settings_path.write_text(self._settings(data_centre))
        self.process: subprocess.Popen[bytes] | None = None
        self.disturbed_ms = float("-inf")
        self.is_paused = False
        self.starts_ms: list[float] = []
        self.closed = False

    def _settings(self, data_centre: str) -> str:
        caller_port, ready_port, internal_port = self.ports
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
            f"listen.front={self.host}:{caller_port}",
            f"listen.ready={self.host}:{ready_port}",
            f"internal_ports={internal_port},{internal_port}",
            f"platform.address={store_host}:{store_port}",
            f"bounds.grace_s={self.grace_s}",
            *self.more_settings,
        ]
        return "\n".join(lines) + "\n"

    @property
    def caller_address(self) -> tuple[str, int]:
        """Address for callers."""
        return self.host, self.ports[0]

    @property
    def internal_address(self) -> tuple[str, int]:
        """Address for other gateways and for readers of metrics."""
        return self.host, self.ports[2]

    def start(self) -> None:
        """Start the process, unless it is running or the soak is over."""
        if self.closed or (self.process and self.process.poll() is None):
            return
        self.starts_ms.append(self.clock.now_ms())
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "tools.soak.bound_gateway", self.host],
                env=os.environ
                | {
                    "PYTHONPATH": f"{self.source}{os.pathsep}{ROOT}",
                    "ORIOLEGATE_BOOT": str(self.settings_path),
                },
                stdout=log,
                stderr=log,
            )
        self.is_paused = False

    def restart_when_ended(self) -> None:
        """Poll the process; restart an ended process after a delay."""
        if self.closed:
            return
        if self.process is not None and self.process.poll() is not None:
            self.process = None
            self.reactor.callLater(RESTART_DELAY_S, self.start)
        self.reactor.callLater(0.05, self.restart_when_ended)

    def record_disturbance(self) -> None:
        """Record that connections of this process may break now."""
        self.disturbed_ms = self.clock.now_ms()

    def was_disturbed_since(self, since_ms: float) -> bool:
        """Return whether a request sent at `since_ms` may be affected."""
        return (
            self.is_paused
            or self.disturbed_ms > since_ms - DISTURBANCE_EFFECT_MS
        )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is None or self.process.poll() is not None:
            return
        if number in (signal.SIGKILL, signal.SIGSTOP, signal.SIGCONT):
            self.record_disturbance()
        if number is signal.SIGSTOP:
            self.is_paused = True
        if number is signal.SIGCONT:
            self.is_paused = False
        self.process.send_signal(number)

    def set_clock(self, offset_s: float) -> None:
        """Let the time of day of the process differ from the machine's."""
        path = self.settings_path.with_name(self.settings_path.name + ".clock")
        path.write_text(str(offset_s))
        self.signal(signal.SIGUSR1)

    def close(self) -> None:
        """Kill the process and close its link."""
        self.closed = True
        self.store_link.close()
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
