"""Parses topology objects of the platform.

The format is described in docs/interfaces/platform.md.
"""

from collections.abc import Mapping
from typing import Any

from oriolegate.exceptions import PlatformError
from oriolegate.models.topology import IndexVersion
from oriolegate.models.topology import Leaf
from oriolegate.models.topology import ServiceTopology
from oriolegate.result_codes import ResultCode

KIND = "topology"


def read_topology(
    service: str, generation: int, value: Mapping[str, Any]
) -> ServiceTopology:
    """Parse one topology object.

    Args:
        service: Name of the service and of the object.
        generation: Version of the object.
        value: Decoded JSON value of the object.

    Raises:
        PlatformError: If the value does not have the documented format.
    """
    try:
        leafs = {
            name: Leaf(
                name=name,
                host=row["host"],
                port=int(row["port"]),
                data_centre=row["data_centre"],
                upstream=row["upstream"],
                slots=int(row["slots"]),
                connections=int(row["connections"]),
                cold_slots=int(row.get("cold_slots", 1)),
            )
            for name, row in value["leafs"].items()
        }
        versions = {
            int(number): IndexVersion(
                int(number), tuple(tuple(names) for names in row["shards"])
            )
            for number, row in value["versions"].items()
        }
        current = int(value["current"])
        if current not in versions:
            raise KeyError(f"current version {current}")
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise PlatformError(
            f"the topology of {service} can't be read, publish it again: "
            f"{error!r}",
            ResultCode.PLATFORM_BAD_ANSWER,
        ) from error
    return ServiceTopology(service, generation, leafs, versions, current)
