"""Settings of `oriolegate serve`."""

from collections.abc import Mapping
import ipaddress
import resource
from typing import Any

import attrs

from oriolegate.models.machine import MachineLimits
from oriolegate.quarantine.settings import CanaryMode
from oriolegate.settings import keys
from oriolegate.settings import kinds
from oriolegate.settings.logs import LOG_SETTINGS
from oriolegate.settings.logs import LogFormat
from oriolegate.settings.table import read_settings
from oriolegate.settings.table import ReadResult
from oriolegate.settings.table import Setting

PORT = kinds.WholeNumber(1, 65_535)
PORT_FIELDS = ("caller_port", "admin_port", "peer_port")
MAX_DESCRIPTORS = 1_048_576
# The largest whole number that a JSON number (a double) holds exactly.
MAX_INCARNATION = 2**53 - 1


@attrs.frozen(kw_only=True)
class ServeSettings:
    """Validated settings of one serving process.

    Attributes:
        vm: Name of this VM; unique among the VMs that run at one time.
        incarnation: Number that increases each time a VM of this name starts;
            None for the wall clock at start, in milliseconds.
        data_centre: Data centre of this VM.
        site: Name of the deployment, for status pages and logs.
        bind_host: IP address on which all ports listen.
        advertise_host: IP address at which peers reach this VM.
        caller_port: HTTP port for callers.
        admin_port: HTTP port for health, status, metrics, events and rules.
        peer_port: Port for connections from other processes.
        peer_key: Key shared by all processes of a site.
        admin_key: Key that operators authenticate with.
        seed_peers: VMs to contact until the platform's list has been read.
        platform_urls: Base URLs of the platform's object API.
        log_format: See `LogFormat`.
        verbose: Log verbosity, 0 to 2.
        timeline_capacity: Maximum number of events kept for the timeline.
        max_body_bytes: Largest body of a caller's request.
        balancer_notice_ms: How long a stopping process still accepts
            requests, so that the load balancer can see that it is not ready.
        stop_limit_ms: Longest duration of a planned stop.
        watchers_per_data_centre: Number of VMs per data centre that watch the
            platform's store.
        max_concurrent_queries: Maximum number of queries that run concurrently
            in this process.
        memory_mb: Memory of the machine for this process, in MB.
        max_descriptors: Number of file descriptors; None for the process's
            own limit.
        canary: See `CanaryMode`.
    """

    vm: str
    incarnation: int | None
    data_centre: str
    site: str
    bind_host: str
    advertise_host: str
    caller_port: int
    admin_port: int
    peer_port: int
    peer_key: str = attrs.field(repr=False)
    admin_key: str = attrs.field(repr=False)
    seed_peers: tuple[kinds.PeerAddress, ...] | None
    platform_urls: tuple[str, ...]
    log_format: LogFormat
    verbose: int
    timeline_capacity: int
    max_body_bytes: int
    balancer_notice_ms: int
    stop_limit_ms: int
    watchers_per_data_centre: int
    max_concurrent_queries: int
    memory_mb: int
    max_descriptors: int | None
    canary: CanaryMode

    @property
    def machine_limits(self) -> MachineLimits:
        """What the process may use of its machine."""
        allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if allowed == resource.RLIM_INFINITY:
            allowed = MAX_DESCRIPTORS
        descriptors = min(self.max_descriptors or allowed, allowed)
        return MachineLimits(float(self.memory_mb), descriptors)


IDENTITY_SETTINGS = (
    Setting(
        name="vm",
        kind=kinds.Name(),
        summary="name of this VM",
        required=True,
    ),
    Setting(
        name="incarnation",
        kind=kinds.WholeNumber(1, MAX_INCARNATION),
        summary="increases with each start of this VM; if unset, wall clock",
    ),
    Setting(
        name="data-centre",
        kind=kinds.Name(),
        summary="data centre of this VM",
        required=True,
    ),
    Setting(
        name="site",
        kind=kinds.Name(),
        summary="name of the deployment",
        default="default",
    ),
)

ADDRESS_SETTINGS = (
    Setting(
        name="bind-host",
        kind=kinds.IpAddress(),
        summary="IP address to listen on",
        default="127.0.0.1",
    ),
    Setting(
        name="advertise-host",
        kind=kinds.IpAddress(),
        summary="IP address for peers; if unset, the bind host",
    ),
    Setting(
        name="caller-port",
        kind=PORT,
        summary="TCP port for callers",
        default="8080",
    ),
    Setting(
        name="admin-port",
        kind=PORT,
        summary="TCP port for operators and the load balancer's health checks",
        default="8081",
    ),
    Setting(
        name="peer-port",
        kind=PORT,
        summary="TCP port for the other VMs",
        default="8082",
    ),
    Setting(
        name="seed-peers",
        kind=kinds.PeerList(),
        summary="VMs to contact while the platform's list is unavailable",
    ),
    Setting(
        name="platform-urls",
        kind=kinds.UrlList(),
        summary="base URLs of the platform's object API",
        required=True,
    ),
)

LIMIT_SETTINGS = (
    Setting(
        name="timeline-capacity",
        kind=kinds.WholeNumber(100, 1_000_000),
        summary="events kept in memory for the timeline",
        default="20000",
    ),
    Setting(
        name="max-body-bytes",
        kind=kinds.WholeNumber(1, 64 * 1024 * 1024),
        summary="largest request body of a caller",
        default="1048576",
    ),
    Setting(
        name="max-concurrent-queries",
        kind=kinds.WholeNumber(1, 100_000),
        summary="queries that run concurrently in this process",
        default="512",
    ),
    Setting(
        name="memory-mb",
        kind=kinds.WholeNumber(32, 1_048_576),
        summary="memory that this process may use, in MB",
        default="512",
    ),
    Setting(
        name="max-descriptors",
        kind=kinds.WholeNumber(64, MAX_DESCRIPTORS),
        summary="file descriptors that this process may use; if unset, its "
        "own limit",
    ),
    Setting(
        name="watchers-per-data-centre",
        kind=kinds.WholeNumber(1, 16),
        summary="VMs of a data centre that watch the platform's store",
        default="2",
    ),
    Setting(
        name="canary",
        kind=kinds.Choice(CanaryMode),
        summary="when a request not seen before is tried on one leaf first",
        default=CanaryMode.ALWAYS.value,
    ),
)

STOP_SETTINGS = (
    Setting(
        name="balancer-notice-ms",
        kind=kinds.WholeNumber(0, 600_000),
        summary="how long a stopping process still accepts requests",
        default="5000",
    ),
    Setting(
        name="stop-limit-ms",
        kind=kinds.WholeNumber(1, 3_600_000),
        summary="longest duration of a planned stop",
        default="30000",
    ),
)

SERVE_SETTINGS: tuple[Setting, ...] = (
    *IDENTITY_SETTINGS,
    *ADDRESS_SETTINGS,
    *keys.key_settings("peer-key", "key shared by the VMs of a site"),
    *keys.key_settings("admin-key", "key that operators authenticate with"),
    *LIMIT_SETTINGS,
    *STOP_SETTINGS,
    *LOG_SETTINGS,
)


def _check_addresses(read_result: ReadResult) -> None:
    values = read_result.values
    if read_result.has(*PORT_FIELDS):
        ports = [values[field] for field in PORT_FIELDS]
        if len(set(ports)) < len(ports):
            read_result.add_error(
                "--caller-port, --admin-port, --peer-port",
                f"got {', '.join(map(str, ports))}",
                "three different ports",
            )
    if not read_result.has("bind_host"):
        return
    if values.get("advertise_host") is not None:
        return
    if ipaddress.ip_address(values["bind_host"]).is_unspecified:
        read_result.add_error(
            "--advertise-host (ORIOLEGATE_ADVERTISE_HOST)",
            "is not set, and the bind host is not a single address",
            "the IP address at which peers reach this VM",
        )
        return
    values["advertise_host"] = values["bind_host"]


def _check_stop(read_result: ReadResult) -> None:
    if not read_result.has("balancer_notice_ms", "stop_limit_ms"):
        return
    notice_ms = read_result.values["balancer_notice_ms"]
    limit_ms = read_result.values["stop_limit_ms"]
    if limit_ms <= notice_ms:
        read_result.add_error(
            "--stop-limit-ms (ORIOLEGATE_STOP_LIMIT_MS)",
            f"got {limit_ms}, and --balancer-notice-ms is {notice_ms}",
            "more than --balancer-notice-ms",
        )


def load_serve_settings(
    flags: Mapping[str, Any],
    environ: Mapping[str, str],
    read_file: keys.ReadFile = keys.read_text_file,
) -> ServeSettings:
    """Read and validate the settings of a serving process.

    Args:
        flags: Flag values by field, such as `vars(arguments)`; None where a
            flag is not given.
        environ: Environment variables.
        read_file: Returns the content of the file at a path.

    Raises:
        SettingsError: Lists every invalid setting.
    """
    read_result = read_settings(SERVE_SETTINGS, flags, environ)
    keys.resolve_key(read_result, "peer-key", read_file, required=True)
    keys.resolve_key(read_result, "admin-key", read_file, required=True)
    _check_addresses(read_result)
    _check_stop(read_result)
    read_result.raise_errors()
    return ServeSettings(**read_result.values)
