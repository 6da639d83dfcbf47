"""Members and topologies of the sizes that docs/CAPACITY.md assumes."""

from oriolegate.membership.messages import Member
from oriolegate.models.topology import IndexVersion
from oriolegate.models.topology import Leaf
from oriolegate.models.topology import ServiceTopology

DATA_CENTRES = 10
SERVICE_LEAFS = 30
LEAFS_PER_UPSTREAM = 3
REPLICAS = 3
INCARNATION = 1_764_000_000_000


def make_member(number: int) -> Member:
    """Return a member with a name and an address of realistic length."""
    return Member(
        f"vm-{number:04d}",
        f"10.{number % DATA_CENTRES}.{number // 250}.{number % 250}",
        8082,
        f"dc-{number % DATA_CENTRES}",
        INCARNATION + number,
    )


def make_topology(number: int) -> ServiceTopology:
    """Return a service of 30 leafs and 10 shards with 3 replicas each."""
    leafs = {}
    for index in range(SERVICE_LEAFS):
        name = f"service-{number}-leaf-{index}"
        leafs[name] = Leaf(
            name=name,
            host=f"10.{index % DATA_CENTRES}.{number // 200}.{number % 200}",
            port=7_500 + index,
            data_centre=f"dc-{index % DATA_CENTRES}",
            upstream=f"service-{number}-{index // LEAFS_PER_UPSTREAM}",
            slots=4,
            connections=35,
            cold_slots=1,
        )
    names = tuple(leafs)
    shards = tuple(
        names[start : start + REPLICAS]
        for start in range(0, SERVICE_LEAFS, REPLICAS)
    )
    version = {1: IndexVersion(1, shards)}
    return ServiceTopology(f"service-{number}", 1, leafs, version, 1)
