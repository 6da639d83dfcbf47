"""Reads the settings file that the platform places on each VM."""

from collections.abc import Mapping
import math
import pathlib

from oriolegate.exceptions import SettingsError
from oriolegate.models.machine import MachineLimits
from oriolegate.models.site import Bounds
from oriolegate.models.site import NodeSettings

# Environment variable with the path of the settings file.
PATH_VARIABLE = "ORIOLEGATE_BOOT"

MS_PER_S = 1_000.0


def parse_lines(text: str) -> dict[str, str]:
    """Parse lines of the form `a.b=value`; ignore other lines."""
    fields = {}
    for line in text.splitlines():
        name, equals, value = line.partition("=")
        if equals:
            fields[name.strip()] = value.strip()
    return fields


def _required(fields: Mapping[str, str], name: str) -> str:
    value = fields.get(name, "")
    if not value:
        raise SettingsError(f"the settings file lacks `{name}`; add it")
    return value


def _address(fields: Mapping[str, str], name: str) -> tuple[str, int]:
    host, _, port = _required(fields, name).rpartition(":")
    if not host or not port.isdecimal():
        raise SettingsError(f"`{name}` must be IP:PORT")
    return host, int(port)


def _number(fields: Mapping[str, str], name: str, default: float) -> float:
    text = fields.get(name, "")
    if not text:
        return default
    try:
        return float(text)
    except ValueError:
        raise SettingsError(f"`{name}` must be a number") from None


def _ports(fields: Mapping[str, str]) -> tuple[int, int]:
    parts = fields.get("internal_ports", "").split(",")
    if len(parts) != 2 or not all(part.isdecimal() for part in parts):
        raise SettingsError("`internal_ports` must be two ports: FIRST,LAST")
    return int(parts[0]), int(parts[1])


def _seeds(fields: Mapping[str, str]) -> tuple[str, ...]:
    # The ports in this field belong to an interface that is not used here;
    # the internal ports, which are the same on all VMs, are used instead.
    hosts = (
        seed.rpartition(":")[0] for seed in fields.get("seeds", "").split(",")
    )
    return tuple(host for host in hosts if host)


def _bounds(fields: Mapping[str, str]) -> Bounds:
    default = Bounds()

    def bound(name: str, fallback: float) -> float:
        return _number(fields, f"bounds.{name}", fallback)

    return Bounds(
        grace_ms=bound("grace_s", default.grace_ms / MS_PER_S) * MS_PER_S,
        retry_ratio=bound("retry_budget_ratio", default.retry_ratio),
        retry_window_ms=bound(
            "budget_window_s", default.retry_window_ms / MS_PER_S
        )
        * MS_PER_S,
        retry_slack=bound("retry_budget_slack", default.retry_slack),
        cold_factor=bound("warmup_factor", default.cold_factor),
        cold_slack=bound("warmup_slack", default.cold_slack),
        contact_ms=bound("contact_ms", default.contact_ms),
        drain_ms=bound("drain_ms", default.drain_ms),
        config_apply_ms=bound("config_apply_ms", default.config_apply_ms),
        evacuate_ms=bound("evacuate_ms", default.evacuate_ms),
    )


def _limits(fields: Mapping[str, str]) -> MachineLimits:
    default = MachineLimits()
    memory_mb = _number(fields, "limits.memory_mb", default.memory_mb)
    descriptors = _number(fields, "limits.max_fds", default.descriptors)
    for name, value in (("memory_mb", memory_mb), ("max_fds", descriptors)):
        if not 1.0 <= value < math.inf:
            raise SettingsError(f"`limits.{name}` must be a number from 1 on")
    return MachineLimits(memory_mb, int(descriptors))


def decode(text: str) -> NodeSettings:
    """Decode the text of a settings file.

    Raises:
        SettingsError: A field is missing or invalid.
    """
    fields = parse_lines(text)
    prefix = "zones."
    return NodeSettings(
        vm=_required(fields, "node_name"),
        data_centre=_required(fields, "zone"),
        regions={
            name.removeprefix(prefix): region
            for name, region in fields.items()
            if name.startswith(prefix)
        },
        host=_required(fields, "ip"),
        caller_address=_address(fields, "listen.front"),
        ready_address=_address(fields, "listen.ready"),
        internal_ports=_ports(fields),
        store_address=_address(fields, "platform.address"),
        seeds=_seeds(fields),
        first_start=fields.get("bootstrap") == "true",
        bounds=_bounds(fields),
        link_mbps=_number(fields, "limits.link_mbps", 0.0),
        limits=_limits(fields),
    )


def read(path: str) -> NodeSettings:
    """Read and decode the settings file at a path.

    Raises:
        SettingsError: The file can't be read, or a field is missing or invalid.
    """
    try:
        text = pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"the settings file can't be read: {error}; "
            f"set {PATH_VARIABLE} to its path"
        ) from error
    return decode(text)
