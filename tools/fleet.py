"""A fleet of `serve` processes and one emulator, on loopback addresses.

Only scripts under `tools` start processes; the program itself starts none.
"""

import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any

import attrs

ROOT = pathlib.Path(__file__).resolve().parent.parent
KEY = "key-of-the-fleet-on-loopback-0123456789"
PLATFORM = ("127.0.0.1", 7400)
FIRST_LEAF_PORT = 7500
CALLER_PORT = 8080
ADMIN_PORT = 8081
PEER_PORT = 8082
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 40.0
POLL_S = 0.05

DATA_CENTRES = {
    "anga-pamoja": ("nairobi-a", "mombasa-a", "kisumu-a"),
    "consortium": ("scl-a", "anf-a", "ccp-a"),
}


@attrs.frozen
class Vm:
    """One VM of the fleet: its name, address and data centre."""

    name: str
    host: str
    data_centre: str


@attrs.frozen
class FleetAddresses:
    """Where a fleet listens; two at a time need different ones.

    Attributes:
        platform_port: Of the emulator's platform and control.
        first_leaf_port: Of the first leaf; the next ones count up.
        vm_network: First three numbers of the VMs' loopback addresses.
    """

    platform_port: int = PLATFORM[1]
    first_leaf_port: int = FIRST_LEAF_PORT
    vm_network: str = "127.0.0"


def vms(layout: str, count: int, network: str = "127.0.0") -> list[Vm]:
    """Return VMs in turn over the layout's data centres."""
    names = DATA_CENTRES[layout]
    return [
        Vm(
            f"vm-{number + 1}",
            f"{network}.{number % 3 + 1}{number // 3 + 1}",
            names[number % 3],
        )
        for number in range(count)
    ]


def call(
    host: str,
    port: int,
    method: str,
    path: str,
    body: Any = None,
    timeout_s: float = 5.0,
) -> tuple[int, Any]:
    """Make one HTTP call; returns status and decoded JSON."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    data = None if body is None else json.dumps(body).encode()
    headers = {"Authorization": f"Bearer {KEY}"}
    try:
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        text = response.read()
    finally:
        connection.close()
    return response.status, json.loads(text) if text else None


class Fleet:
    """An emulator and a number of serving processes.

    Attributes:
        vms: The VMs, running or not.
        running: Processes by VM name.
    """

    def __init__(
        self,
        layout: str,
        count: int,
        log_folder: pathlib.Path,
        program: list[str] | None = None,
        addresses: FleetAddresses | None = None,
    ) -> None:
        self.layout = layout
        self.addresses = addresses or FleetAddresses()
        self.vms = vms(layout, count, self.addresses.vm_network)
        self.log_folder = log_folder
        self.program = program or [sys.executable, "-m", "oriolegate"]
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.emulator: subprocess.Popen[bytes] | None = None
        self.states: dict[str, str] = {}
        log_folder.mkdir(parents=True, exist_ok=True)

    def _spawn(
        self, name: str, arguments: list[str]
    ) -> "subprocess.Popen[bytes]":
        environment = {
            **os.environ,
            "PYTHONPATH": str(ROOT / "src"),
            "ORIOLEGATE_PEER_KEY": KEY,
            "ORIOLEGATE_ADMIN_KEY": KEY,
        }
        with open(self.log_folder / f"{name}.log", "ab") as log:
            return subprocess.Popen(
                [*self.program, *arguments],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def start(self, rules_text: str) -> None:
        """Start the emulator, put the first rules, start all VMs."""
        self.start_emulator()
        value = {
            "version": 1,
            "text": rules_text,
            "asked_by": "fleet",
            "edit_id": "first",
            "base": 0,
        }
        self.platform("PUT", "/objects/rules/accepted", value)
        self.list_vms()
        for vm in self.vms:
            self.start_vm(vm)
        for vm in self.vms:
            self.wait_ready(vm)

    def start_emulator(self) -> None:
        """Start the emulator and wait for it."""
        self.emulator = self._spawn(
            "emulator",
            [
                "emulate",
                f"--layout={self.layout}",
                f"--platform-port={self.addresses.platform_port}",
                f"--first-leaf-port={self.addresses.first_leaf_port}",
            ],
        )
        self._wait(lambda: self.platform("GET", "/vms")[0] == 200, "emulator")

    def platform(
        self, method: str, path: str, body: Any = None
    ) -> tuple[int, Any]:
        """Call the platform or the emulator's control."""
        connection = http.client.HTTPConnection(
            PLATFORM[0], self.addresses.platform_port, timeout=10.0
        )
        data = None if body is None else json.dumps(body).encode()
        headers = {"If-None-Match": "*"} if method == "PUT" else {}
        try:
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            text = response.read()
        finally:
            connection.close()
        return response.status, json.loads(text) if text else None

    def list_vms(self) -> None:
        """Write the platform's list of VMs."""
        rows = [
            {
                "vm": vm.name,
                "host": vm.host,
                "peer_port": PEER_PORT,
                "data_centre": vm.data_centre,
                "state": self.states.get(vm.name, "live"),
            }
            for vm in self.vms
        ]
        self.platform("POST", "/control", {"vms": rows})

    def start_vm(self, vm: Vm) -> None:
        """Start one VM's process."""
        self.running[vm.name] = self._spawn(
            vm.name,
            [
                "serve",
                f"--vm={vm.name}",
                f"--data-centre={vm.data_centre}",
                f"--bind-host={vm.host}",
                f"--caller-port={CALLER_PORT}",
                f"--admin-port={ADMIN_PORT}",
                f"--peer-port={PEER_PORT}",
                f"--platform-urls=http://{PLATFORM[0]}"
                f":{self.addresses.platform_port}",
                "--balancer-notice-ms=1000",
                "--stop-limit-ms=20000",
            ],
        )

    def admin(
        self, vm: Vm, path: str, method: str = "GET", body: Any = None
    ) -> tuple[int, Any]:
        """Call a VM's admin port."""
        return call(vm.host, ADMIN_PORT, method, path, body, 30.0)

    def is_ready(self, vm: Vm) -> bool:
        """Return what the balancer's check says."""
        try:
            return self.admin(vm, "/readyz")[0] == 200
        except OSError:
            return False

    def wait_ready(self, vm: Vm) -> None:
        """Wait until a VM is ready."""
        self._wait(lambda: self.is_ready(vm), vm.name)

    def _wait(self, condition: Any, what: str) -> None:
        limit_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < limit_s:
            try:
                if condition():
                    return
            except OSError:
                pass
            time.sleep(POLL_S)
        raise TimeoutError(f"{what} did not become ready")

    def stop_vm(self, vm: Vm) -> int:
        """Stop a VM as planned; returns the exit status."""
        process = self.running.pop(vm.name)
        process.send_signal(signal.SIGTERM)
        return process.wait(STOP_TIMEOUT_S)

    def kill_vm(self, vm: Vm) -> None:
        """End a VM's process at once."""
        process = self.running.pop(vm.name)
        process.kill()
        process.wait()

    def close(self) -> None:
        """End every process that this fleet started."""
        processes = list(self.running.values())
        if self.emulator is not None:
            processes.append(self.emulator)
        for process in processes:
            process.kill()
        for process in processes:
            process.wait()
