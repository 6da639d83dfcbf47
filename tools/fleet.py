"""A fleet of `serve` processes and an emulator on loopback addresses.

Only scripts in `tools` start processes; the program itself starts none.
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
    """Addresses of a fleet; fleets that run at once need different ones.

    Attributes:
        platform_host: IP address of the emulator.
        platform_port: Port of the emulator's platform and control API.
        first_leaf_port: Port of the first leaf; the others follow it.
        vm_network: First three octets of the VMs' loopback addresses.
    """

    platform_host: str = "127.0.0.1"
    platform_port: int = 7400
    first_leaf_port: int = 7500
    vm_network: str = "127.0.0"


def make_vms(layout: str, count: int, network: str = "127.0.0") -> list[Vm]:
    """Return VMs, assigned round-robin to the layout's data centres."""
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
    """Make one HTTP call; return the status and the decoded JSON."""
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
    """An emulator and the serving processes of VMs.

    Attributes:
        vms: All VMs, running or not.
        processes: Running processes by VM name.
        states: Listed states by VM name; `live` if missing.
    """

    def __init__(
        self,
        layout: str,
        count: int,
        log_folder: pathlib.Path,
        program: list[str] | None = None,
        addresses: FleetAddresses | None = None,
        vm_list: list[Vm] | None = None,
    ) -> None:
        self.layout = layout
        self.addresses = addresses or FleetAddresses()
        self.vms = vm_list or make_vms(layout, count, self.addresses.vm_network)
        self.log_folder = log_folder
        self.program = program or [sys.executable, "-m", "oriolegate"]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
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
        """Start the emulator, write the first rules and start all VMs."""
        self.start_emulator()
        value = {
            "version": 1,
            "text": rules_text,
            "asked_by": "fleet",
            "edit_id": "first",
            "base": 0,
        }
        self.call_platform("PUT", "/objects/rules/accepted", value)
        self.publish_vms()
        for vm in self.vms:
            self.start_vm(vm)
        for vm in self.vms:
            self.wait_ready(vm)

    def start_emulator(self) -> None:
        """Start the emulator and wait until it is ready."""
        self.emulator = self._spawn(
            "emulator",
            [
                "emulate",
                f"--layout={self.layout}",
                f"--host={self.addresses.platform_host}",
                f"--platform-port={self.addresses.platform_port}",
                f"--first-leaf-port={self.addresses.first_leaf_port}",
            ],
        )
        self._wait(
            lambda: self.call_platform("GET", "/vms")[0] == 200, "emulator"
        )

    def call_platform(
        self,
        method: str,
        path: str,
        body: Any = None,
        version: int = 0,
    ) -> tuple[int, Any]:
        """Call the platform or the emulator's control API.

        Args:
            method: HTTP method.
            path: URL path.
            body: Value that is sent as JSON.
            version: Version that a PUT expects; 0 if no object may exist.
        """
        connection = http.client.HTTPConnection(
            self.addresses.platform_host,
            self.addresses.platform_port,
            timeout=10.0,
        )
        data = None if body is None else json.dumps(body).encode()
        headers = {}
        if method == "PUT":
            headers = {"If-None-Match": "*"}
            if version:
                headers = {"If-Match": str(version)}
        try:
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            text = response.read()
        finally:
            connection.close()
        return response.status, json.loads(text) if text else None

    def publish_vms(self) -> None:
        """Write the list of VMs to the platform."""
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
        self.call_platform("POST", "/control", {"vms": rows})

    def start_vm(self, vm: Vm) -> None:
        """Start one VM's process."""
        self.processes[vm.name] = self._spawn(
            vm.name,
            [
                "serve",
                f"--vm={vm.name}",
                f"--data-centre={vm.data_centre}",
                f"--bind-host={vm.host}",
                f"--caller-port={CALLER_PORT}",
                f"--admin-port={ADMIN_PORT}",
                f"--peer-port={PEER_PORT}",
                f"--platform-urls=http://{self.addresses.platform_host}"
                f":{self.addresses.platform_port}",
                f"--seed-peers={self._seed_peers()}",
                "--balancer-notice-ms=1000",
                "--stop-limit-ms=20000",
            ],
        )

    def _seed_peers(self) -> str:
        return ",".join(
            f"{vm.name}/{vm.data_centre}/{vm.host}:{PEER_PORT}"
            for vm in self.vms[:3]
        )

    def call_admin(
        self, vm: Vm, path: str, method: str = "GET", body: Any = None
    ) -> tuple[int, Any]:
        """Call a VM's admin port."""
        return call(vm.host, ADMIN_PORT, method, path, body, 30.0)

    def is_ready(self, vm: Vm) -> bool:
        """Return whether the VM passes the balancer's check."""
        try:
            return self.call_admin(vm, "/readyz")[0] == 200
        except OSError:
            return False

    def wait_ready(self, vm: Vm) -> None:
        """Wait until a VM is ready."""
        self._wait(lambda: self.is_ready(vm), vm.name)

    def _wait(self, condition: Any, name: str) -> None:
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            try:
                if condition():
                    return
            except OSError:
                pass
            time.sleep(POLL_S)
        raise TimeoutError(f"{name} did not become ready")

    def stop_vm(self, vm: Vm) -> int:
        """Stop a VM gracefully with SIGTERM; return the exit status."""
        process = self.processes.pop(vm.name)
        process.send_signal(signal.SIGTERM)
        return process.wait(STOP_TIMEOUT_S)

    def kill_vm(self, vm: Vm) -> None:
        """Kill a VM's process."""
        process = self.processes.pop(vm.name)
        process.kill()
        process.wait()

    def close(self) -> None:
        """Kill every process that this fleet started."""
        started = list(self.processes.values())
        if self.emulator is not None:
            started.append(self.emulator)
        for process in started:
            process.kill()
        for process in started:
            process.wait()
