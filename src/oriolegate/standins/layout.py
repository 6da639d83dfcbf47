"""Layouts of upstreams: services, leafs, data centres and latencies.

A layout is read from a TOML file, taken from `named_layouts`, or made by
`measurement_layout`.
"""

from collections.abc import Mapping
import pathlib
import tomllib
from typing import Any

import attrs

from oriolegate.exceptions import SettingsError
from oriolegate.standins.leaf_messages import ServiceTime


@attrs.frozen(kw_only=True)
class ServiceLayout:
    """Leafs of one service.

    Attributes:
        name: Name of the service.
        instances: Number of upstream VMs.
        leafs_per_instance: Number of leafs on each upstream VM.
        slots: Queries that a leaf runs concurrently.
        connections: Connections that a leaf accepts.
        connection_ms: Setup time before a new connection is read.
        cold_slots: Concurrent queries that a cold leaf can handle.
        shards: Number of shards of the first index version.
        replicas: Number of leafs that hold each shard.
        median_ms: Median time of a run.
        straggler_ratio: Fraction of runs that are stragglers, 0 to 1.
        straggler_factor: Multiplies the time of a straggler.
    """

    name: str
    instances: int
    leafs_per_instance: int = 1
    slots: int
    connections: int
    connection_ms: float
    cold_slots: int = 1
    shards: int
    replicas: int = 3
    median_ms: float = 4.0
    straggler_ratio: float = 0.005
    straggler_factor: float = 20.0

    def service_time(self) -> ServiceTime:
        """Return the distribution of run times."""
        return ServiceTime(
            median_ms=self.median_ms,
            straggler_ratio=self.straggler_ratio,
            straggler_factor=self.straggler_factor,
        )


@attrs.frozen(kw_only=True)
class Layout:
    """Everything that a `Site` is built from.

    Attributes:
        name: Name of the user or the purpose.
        regions: Region of each data centre.
        between_data_centres_ms: One-way latency inside a region.
        between_regions_ms: One-way latency between regions.
        hosts: Data centre of each VM, by the IP address that the VM connects
            from; other hosts count as in the leaf's own data centre.
        services: The services.
    """

    name: str
    regions: Mapping[str, str]
    between_data_centres_ms: float = 0.0
    between_regions_ms: float = 0.0
    hosts: Mapping[str, str] = attrs.field(factory=dict)
    services: tuple[ServiceLayout, ...]

    def __attrs_post_init__(self) -> None:
        """Check that each replica can be in another data centre."""
        for service in self.services:
            max_replicas = min(service.instances, len(self.regions))
            if not 1 <= service.replicas <= max_replicas:
                raise SettingsError(
                    f"service {service.name} must have 1 to {max_replicas} "
                    "replicas"
                )

    def latency_ms(self, here: str, there: str) -> float:
        """Return the one-way latency between two data centres."""
        if here == there:
            return 0.0
        if self.regions[here] == self.regions[there]:
            return self.between_data_centres_ms
        return self.between_regions_ms

    def latency_from_host_ms(self, host: str, data_centre: str) -> float:
        """Return the one-way latency from a VM's address to a data centre."""
        return self.latency_ms(self.hosts.get(host, data_centre), data_centre)

    def max_latency_ms(self) -> float:
        """Return the longest one-way latency between VMs and leafs."""
        vm_data_centres = set(self.hosts.values())
        pairs = [(a, b) for a in vm_data_centres for b in self.regions]
        return max((self.latency_ms(a, b) for a, b in pairs), default=0.0)


def read_layout(text: str) -> Layout:
    """Parse a layout from TOML text.

    Raises:
        SettingsError: The text is not a valid layout.
    """
    try:
        table: dict[str, Any] = tomllib.loads(text)
        rows = table.pop("services")
        services = tuple(ServiceLayout(**row) for row in rows)
        return Layout(services=services, **table)
    except (tomllib.TOMLDecodeError, TypeError, KeyError) as error:
        raise SettingsError(
            f"the layout is invalid, correct it: {error}"
        ) from error


def read_layout_file(path: str) -> Layout:
    """Read a layout from a TOML file.

    Raises:
        SettingsError: The file can't be read, or is not a valid layout.
    """
    try:
        text = pathlib.Path(path).read_text()
    except OSError as error:
        raise SettingsError(
            f"name a known layout or a layout file: {error}"
        ) from error
    return read_layout(text)


def measurement_layout(
    shards: int, replicas: int = 2, services: int = 1, **sizes: Any
) -> Layout:
    """Make a layout with as many leafs as shards in each data centre.

    Args:
        shards: Shards of each service.
        replicas: Number of data centres; each has a replica of each shard.
        services: Number of services.
        **sizes: Further fields of `ServiceLayout`.
    """
    defaults: dict[str, Any] = {
        "slots": 4,
        "connections": 64,
        "connection_ms": 0.0,
    }
    rows = [
        ServiceLayout(
            name=f"service-{number}",
            instances=shards * replicas,
            shards=shards,
            replicas=replicas,
            **{**defaults, **sizes},
        )
        for number in range(services)
    ]
    names = [f"dc-{number}" for number in range(replicas)]
    return Layout(
        name=f"measurement-{shards}",
        regions=dict.fromkeys(names, "region"),
        services=tuple(rows),
    )
