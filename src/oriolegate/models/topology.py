"""Leafs, index versions and shard maps of a service."""

from collections.abc import Mapping

import attrs


@attrs.frozen
class Leaf:
    """One leaf and its limits over all VMs together.

    Attributes:
        name: Name, unique over all services.
        host: IP address.
        port: TCP port.
        data_centre: Data centre in which the leaf runs.
        upstream: The upstream (VM instance) that runs the leaf.
        slots: Requests that the leaf runs concurrently.
        connections: Connections that the leaf accepts.
        cold_slots: Concurrent requests that the leaf supports while cold.
    """

    name: str
    host: str
    port: int
    data_centre: str
    upstream: str
    slots: int
    connections: int
    cold_slots: int = 1


@attrs.frozen
class IndexVersion:
    """One snapshot of the index and the location of its shards.

    Attributes:
        version: Number that increases with each published index.
        shards: Names of the leafs that hold each shard, by shard number.
    """

    version: int
    shards: tuple[tuple[str, ...], ...]


@attrs.frozen
class ServiceTopology:
    """Topology of one service, as published by the platform.

    Attributes:
        service: Name of the service.
        generation: Number that increases with each change of this object.
        leafs: Leaf by name.
        versions: Index versions that are still served, by version number.
        current: Version that new queries pin.
    """

    service: str
    generation: int
    leafs: Mapping[str, Leaf]
    versions: Mapping[int, IndexVersion]
    current: int
