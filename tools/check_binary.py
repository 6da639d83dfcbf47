"""Check that dist/oriolegate is one file and one process that leaves no files.

Run as `python tools/check_binary.py`. The file is started as on a VM: without
the project's environment, and with an empty folder to unpack to.
"""

from collections.abc import Mapping
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
BINARY = ROOT / "dist" / "oriolegate"
TIMEOUT_S = 30.0
ACCEPT_TIMEOUT_S = 20.0
LISTEN_BACKLOG = 16
KEY = "key-of-the-binary-check"
# Index in /proc/PID/stat, from the field after the command's closing bracket.
CHILD_MINOR_FAULTS_INDEX = 8
IMPORT_ALL = """
import importlib, importlib.util, pkgutil, sys, zipimport
path = sys.argv[1]
sys.path.insert(0, path)
spec = zipimport.zipimporter(path).find_spec("__main__")
start = importlib.util.module_from_spec(spec)
start.__name__ = "binary_main"
exec(spec.loader.get_code("__main__"), start.__dict__)
finder = start.ArchiveExtensionFinder()
sys.meta_path.insert(0, finder)
names = list(finder.paths)
import oriolegate
for found in pkgutil.walk_packages(oriolegate.__path__, "oriolegate."):
    if not found.name.endswith("__main__"):
        names.append(found.name)
names += ["twisted.internet.epollreactor", "twisted.web.server"]
for name in names:
    importlib.import_module(name)
outside = [
    name for name in names
    if not sys.modules[name].__spec__.origin.startswith(path)
]
assert not outside, outside
print(len(finder.paths), len(names))
"""


class CheckError(Exception):
    """The binary failed a check."""


def _require(condition: bool, message: str) -> None:
    if not condition:
        raise CheckError(message)


def _environment(unpack_folder: str) -> dict[str, str]:
    folder = pathlib.Path(sys.base_prefix) / "bin"
    return {
        "PATH": os.pathsep.join([str(folder), os.defpath]),
        "ORIOLEGATE_UNPACK_DIR": unpack_folder,
    }


def _minor_faults_of_children(pid: int) -> int:
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    return int(stat.rpartition(")")[2].split()[CHILD_MINOR_FAULTS_INDEX])


def _check_no_child(pid: int, command: str) -> None:
    children = pathlib.Path(f"/proc/{pid}/task/{pid}/children").read_text()
    _require(not children.split(), f"{command} has children: {children}")
    # The kernel adds a reaped child's page faults to this field of its parent.
    faults = _minor_faults_of_children(pid)
    _require(faults == 0, f"{command} had children that have ended")


def _status_field(pid: int, name: str) -> str:
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{name}:"):
            return line.partition(":")[2].strip()
    raise CheckError(f"/proc/{pid}/status has no field {name}")


def check_one_file() -> None:
    """Check that the output folder contains only the binary."""
    names = [path.name for path in BINARY.parent.iterdir()]
    _require(names == [BINARY.name], f"dist holds {names}")
    print(f"one file of {BINARY.stat().st_size} bytes")


def check_version(unpack_folder: str) -> None:
    """Check the version command, and that it starts no child process."""
    process = subprocess.Popen(
        [BINARY, "version"],
        env=_environment(unpack_folder),
        stdout=subprocess.PIPE,
        text=True,
    )
    output, _ = process.stdout.read(), process.stdout.close()
    # The counters of the ended process are read before it is reaped.
    os.waitid(os.P_PID, process.pid, os.WEXITED | os.WNOWAIT)
    faults = _minor_faults_of_children(process.pid)
    status = process.wait(TIMEOUT_S)
    _require(status == 0, f"version ended with status {status}")
    _require(output.startswith("oriolegate "), f"version printed {output!r}")
    _require(faults == 0, "version started another process")
    print(f"version: {output.strip()}, no child")


def check_imports(unpack_folder: str) -> None:
    """Check that each module can be imported from the binary."""
    interpreter = f"python{sys.version_info.major}.{sys.version_info.minor}"
    completed = subprocess.run(
        [interpreter, "-I", "-S", "-c", IMPORT_ALL, BINARY],
        env=_environment(unpack_folder),
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    _require(completed.returncode == 0, f"imports failed:\n{completed.stderr}")
    extensions, modules = completed.stdout.split()
    print(f"imports: {modules} modules, {extensions} of them extensions")


def _free_ports(count: int) -> list[int]:
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports


def _long_running_command(
    silent_url: str,
) -> tuple[list[str], Mapping[str, str]]:
    help_page = subprocess.run(
        [BINARY, "--help"],
        env=_environment(""),
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=True,
    ).stdout
    if "\n  serve " not in help_page:
        return ["timeline", f"--admin={silent_url}"], {}
    caller, admin, peer = _free_ports(3)
    return ["serve"], {
        "ORIOLEGATE_VM": "check-1",
        "ORIOLEGATE_DATA_CENTRE": "check",
        "ORIOLEGATE_PLATFORM_URLS": silent_url,
        "ORIOLEGATE_PEER_KEY": KEY,
        "ORIOLEGATE_ADMIN_KEY": KEY,
        "ORIOLEGATE_CALLER_PORT": str(caller),
        "ORIOLEGATE_ADMIN_PORT": str(admin),
        "ORIOLEGATE_PEER_PORT": str(peer),
    }


def check_running(unpack_folder: str) -> None:
    """Check a running process that waits for a server to answer."""
    with socket.create_server(
        ("127.0.0.1", 0), backlog=LISTEN_BACKLOG
    ) as silent_server:
        silent_server.settimeout(ACCEPT_TIMEOUT_S)
        url = f"http://127.0.0.1:{silent_server.getsockname()[1]}"
        arguments, extra = _long_running_command(url)
        process = subprocess.Popen(
            [BINARY, *arguments], env=_environment(unpack_folder) | extra
        )
        try:
            connection, _ = silent_server.accept()
            with connection:
                _check_running_process(process.pid, arguments[0])
        finally:
            process.send_signal(signal.SIGKILL)
            process.wait()


def _check_running_process(pid: int, command: str) -> None:
    _check_no_child(pid, command)
    threads = _status_field(pid, "Threads")
    _require(threads == "1", f"{command} has {threads} threads")
    memory = _status_field(pid, "VmRSS")
    print(f"{command}: one process, one thread, no child, {memory} resident")


def main() -> int:
    """Run all checks.

    Returns:
        1 if a check failed, else 0.
    """
    if not BINARY.exists():
        print("dist/oriolegate is missing; run `make binary` first.")
        return 1
    try:
        with tempfile.TemporaryDirectory() as unpack_folder:
            check_one_file()
            check_version(unpack_folder)
            check_imports(unpack_folder)
            check_running(unpack_folder)
            leftover = os.listdir(unpack_folder)
            _require(not leftover, f"files were left behind: {leftover}")
    except (CheckError, OSError, subprocess.SubprocessError) as error:
        print(f"check failed: {error}")
        return 1
    print("nothing left behind where it unpacks")
    return 0


if __name__ == "__main__":
    sys.exit(main())
