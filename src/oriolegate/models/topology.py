"""Leafs, index versions and shard maps of a service."""

from collections.abc import Mapping

import attrs


@attrs.frozen
class Leaf:
    """One leaf server and the limits that hold over all VMs together.

    Attributes:
        name: Unique over all services.
        host: IP number.
        port: TCP port.
        data_centre: Where the leaf runs.
        upstream: The upstream VM (instance) that holds the leaf.
        slots: Requests that run at once.
        connections: Connections that the leaf accepts.
        cold_slots: Requests at once that the leaf bears while cold.
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
    """One snapshot of the index and where its shards are.

    Attributes:
        version: Rises with each published index.
        shards: Names of the leafs that hold each shard, by shard number.
    """

    version: int
    shards: tuple[tuple[str, ...], ...]


@attrs.frozen
class ServiceTopology:
    """What the platform publishes of one service.

    Attributes:
        service: Name.
        generation: Rises with each change of this object.
        leafs: Leafs by name.
        versions: Index versions that are still served, by number.
        current: The version that new queries pin.
    """

    service: str
    generation: int
    leafs: Mapping[str, Leaf]
    versions: Mapping[int, IndexVersion]
    current: int
