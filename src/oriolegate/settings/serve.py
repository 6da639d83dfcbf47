"""Settings of `oriolegate serve`."""

from collections.abc import Mapping
import ipaddress
from typing import Any

import attrs

from oriolegate.quarantine.settings import CanaryMode
from oriolegate.settings import keys
from oriolegate.settings import kinds
from oriolegate.settings.logs import LOG_SETTINGS
from oriolegate.settings.logs import LogFormat
from oriolegate.settings.table import read_settings
from oriolegate.settings.table import Reading
from oriolegate.settings.table import Setting

PORT = kinds.WholeNumber(1, 65_535)
PORT_FIELDS = ("caller_port", "admin_port", "peer_port")
# A JSON number holds whole numbers exactly up to here.
MAX_INCARNATION = 2**53 - 1


@attrs.frozen(kw_only=True)
class ServeSettings:
    """Checked settings of one serving process.

    Attributes:
        vm: Name of this VM; unique over all VMs at one time.
        incarnation: Rises each time a VM of this name starts; None takes
            the wall clock at start, in milliseconds.
        data_centre: Where this VM runs.
        site: Name of the deployment, for status pages and logs.
        bind_host: IP number on which all ports listen.
        advertise_host: IP number at which peers reach this VM.
        caller_port: Callers' HTTP.
        admin_port: Health, status, metrics, events and rules.
        peer_port: Links between processes.
        peer_key: Shared by all processes of a site.
        admin_key: What operators present.
        seed_peers: VMs to look for before the platform's list was read.
        platform_urls: Base URLs of the platform's object API.
        log_format: See `LogFormat`.
        verbose: 0 to 2.
        timeline_capacity: Events kept in memory.
        max_body_bytes: The largest body of a caller's request.
        balancer_notice_ms: How long a stopping process goes on accepting,
            until the balancer has seen that it is not ready.
        stop_limit_ms: The longest that a planned stop takes.
        watchers_per_data_centre: VMs of a data centre that watch the store.
        max_concurrent_queries: Queries that run at once in this process.
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
    canary: CanaryMode


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
        summary="rises with each start of this VM; unset takes the wall clock",
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
        kind=kinds.IpNumber(),
        summary="IP number to listen on",
        default="127.0.0.1",
    ),
    Setting(
        name="advertise-host",
        kind=kinds.IpNumber(),
        summary="IP number for peers; unset takes the bind host",
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
        summary="TCP port for operators and the balancer's checks",
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
        summary="some VMs to look for while the platform's list is down",
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
        summary="events kept in memory for the time line",
        default="20000",
    ),
    Setting(
        name="max-body-bytes",
        kind=kinds.WholeNumber(1, 64 * 1024 * 1024),
        summary="largest body of a caller's request",
        default="1048576",
    ),
    Setting(
        name="max-concurrent-queries",
        kind=kinds.WholeNumber(1, 100_000),
        summary="queries that run at once in this process",
        default="512",
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
        summary="when a request not seen before goes to one leaf first",
        default=CanaryMode.ALWAYS.value,
    ),
)

STOP_SETTINGS = (
    Setting(
        name="balancer-notice-ms",
        kind=kinds.WholeNumber(0, 600_000),
        summary="time for which a stopping process goes on accepting",
        default="5000",
    ),
    Setting(
        name="stop-limit-ms",
        kind=kinds.WholeNumber(1, 3_600_000),
        summary="longest planned stop",
        default="30000",
    ),
)

SERVE_SETTINGS: tuple[Setting, ...] = (
    *IDENTITY_SETTINGS,
    *ADDRESS_SETTINGS,
    *keys.key_settings("peer-key", "key shared by the VMs of a site"),
    *keys.key_settings("admin-key", "key that operators present"),
    *LIMIT_SETTINGS,
    *STOP_SETTINGS,
    *LOG_SETTINGS,
)


def _check_addresses(reading: Reading) -> None:
    values = reading.values
    if reading.has(*PORT_FIELDS):
        ports = [values[field] for field in PORT_FIELDS]
        if len(set(ports)) < len(ports):
            reading.add_fault(
                "--caller-port, --admin-port, --peer-port",
                f"got {', '.join(map(str, ports))}",
                "three different ports",
            )
    if not reading.has("bind_host"):
        return
    if values.get("advertise_host") is not None:
        return
    if ipaddress.ip_address(values["bind_host"]).is_unspecified:
        reading.add_fault(
            "--advertise-host (ORIOLEGATE_ADVERTISE_HOST)",
            "is not set while the bind host names no single address",
            "the IP number at which peers reach this VM",
        )
        return
    values["advertise_host"] = values["bind_host"]


def _check_stop(reading: Reading) -> None:
    if not reading.has("balancer_notice_ms", "stop_limit_ms"):
        return
    notice_ms = reading.values["balancer_notice_ms"]
    limit_ms = reading.values["stop_limit_ms"]
    if limit_ms <= notice_ms:
        reading.add_fault(
            "--stop-limit-ms (ORIOLEGATE_STOP_LIMIT_MS)",
            f"got {limit_ms}, and --balancer-notice-ms is {notice_ms}",
            "more than --balancer-notice-ms",
        )


def load_serve_settings(
    flags: Mapping[str, Any],
    environ: Mapping[str, str],
    read_file: keys.ReadFile = keys.read_text_file,
) -> ServeSettings:
    """Read and check the settings of a serving process.

    Args:
        flags: Flags by field, such as `vars(arguments)`; None if not given.
        environ: The environment variables.
        read_file: Returns the text of a path.

    Returns:
        The settings.

    Raises:
        SettingsError: With every fault that was found.
    """
    reading = read_settings(SERVE_SETTINGS, flags, environ)
    keys.resolve_key(reading, "peer-key", read_file, required=True)
    keys.resolve_key(reading, "admin-key", read_file, required=True)
    _check_addresses(reading)
    _check_stop(reading)
    reading.raise_faults()
    return ServeSettings(**reading.values)
