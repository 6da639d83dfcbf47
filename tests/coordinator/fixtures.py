"""Builds small topologies and coordinators for tests."""

from oriolegate.coordinator.coordinator import Coordinator
from oriolegate.models.topology import IndexVersion
from oriolegate.models.topology import Leaf
from oriolegate.models.topology import ServiceTopology
from oriolegate.timeline.events import EventBuffer
from oriolegate.upstreams.leaf_state import Grant
from oriolegate.upstreams.leaf_state import LeafPhase
from oriolegate.upstreams.leaf_table import LeafTable

SERVICE = "studio-desk"


def leaf_name(shard: int, replica: int) -> str:
    return f"leaf-{shard}-{replica}"


def topology(
    shards: int,
    replicas: int = 2,
    versions: tuple[int, ...] = (7,),
    generation: int = 1,
    slots: int = 4,
) -> ServiceTopology:
    leafs = {}
    shard_map = []
    for shard in range(shards):
        names = [leaf_name(shard, number) for number in range(replicas)]
        for number, name in enumerate(names):
            leafs[name] = Leaf(
                name=name,
                host="127.0.0.1",
                port=1_000 + 10 * shard + number,
                data_centre="nairobi-a" if number == 0 else "kisumu-a",
                upstream=f"studio-desk-{number}",
                slots=slots,
                connections=35,
            )
        shard_map.append(tuple(names))
    return ServiceTopology(
        service=SERVICE,
        generation=generation,
        leafs=leafs,
        versions={
            version: IndexVersion(version, tuple(shard_map))
            for version in versions
        },
        current=max(versions),
    )


def coordinator(
    service: ServiceTopology, grant: Grant | None = None, warm: bool = True
) -> Coordinator:
    events = EventBuffer("vm-1", 0.0)
    table = LeafTable("nairobi-a", events)
    table.set_topology(0.0, service)
    table.set_grant(0.0, SERVICE, grant or Grant(4, 8, 1))
    if warm:
        for state in table.leafs.values():
            state.incarnation = 1
            state.set_phase(LeafPhase.WARM)
    return Coordinator(table, events)
