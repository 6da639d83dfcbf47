"""The share object of a service, stored on the platform."""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

import attrs


@attrs.frozen
class Amounts:
    """Slots, connections and cold slots of each leaf of a service.

    Attributes:
        slots: Concurrent requests on a leaf.
        connections: Connections to a leaf.
        cold: Concurrent requests on a leaf while it is cold (cold slots).
    """

    slots: int = 0
    connections: int = 0
    cold: int = 0

    def values(self) -> tuple[int, int, int]:
        """Return slots, connections and cold slots."""
        return self.slots, self.connections, self.cold

    def minimum(self, other: "Amounts") -> "Amounts":
        """Return the lower value of each amount."""
        return Amounts(*map(min, self.values(), other.values()))

    def maximum(self, other: "Amounts") -> "Amounts":
        """Return the higher value of each amount."""
        return Amounts(*map(max, self.values(), other.values()))

    def fits_in(self, other: "Amounts") -> bool:
        """Return whether no amount exceeds the other's."""
        return self.minimum(other) == self


NOTHING = Amounts()


def total(amounts: Iterable[Amounts]) -> Amounts:
    """Return the sum of each amount."""
    rows = [amount.values() for amount in amounts]
    return Amounts(*map(sum, zip(*rows, strict=True))) if rows else NOTHING


def remaining(limits: Amounts, used: Amounts) -> Amounts:
    """Return the unused part of the limits, at least 0."""
    pairs = zip(limits.values(), used.values(), strict=True)
    return Amounts(*(max(0, limit - use) for limit, use in pairs))


@attrs.frozen
class Grant:
    """The share of one process.

    Attributes:
        incarnation: Incarnation of the only process that may use the grant.
        address: HOST:PORT that the process has bound exclusively.
        amounts: Part of the limits of each leaf that the process may use.
    """

    incarnation: int
    address: str
    amounts: Amounts


@attrs.frozen
class ShareObject:
    """One version of a service's share object.

    Attributes:
        version: Version in the store; 0 if the object does not exist yet.
        generation: Generation of the topology that set the limits.
        limits: Limits of each leaf for all VMs together.
        grants: Grants by VM.
    """

    version: int
    generation: int
    limits: Amounts
    grants: Mapping[str, Grant]


def _to_dict(amounts: Amounts) -> dict[str, int]:
    slots, connections, cold = amounts.values()
    return {"slots": slots, "connections": connections, "cold": cold}


def to_value(share_object: ShareObject) -> dict[str, Any]:
    """Return the value to store for an object."""
    return {
        "generation": share_object.generation,
        "limits": _to_dict(share_object.limits),
        "grants": {
            vm: {
                "incarnation": grant.incarnation,
                "address": grant.address,
                **_to_dict(grant.amounts),
            }
            for vm, grant in share_object.grants.items()
        },
    }


def _amounts(value: Mapping[str, Any]) -> Amounts:
    names = ("slots", "connections", "cold")
    numbers = [value[name] for name in names]
    if any(type(number) is not int or number < 0 for number in numbers):
        raise ValueError("share amounts must be non-negative integers")
    return Amounts(*numbers)


def _grant(value: Mapping[str, Any]) -> Grant:
    incarnation, address = value["incarnation"], value["address"]
    if type(incarnation) is not int or not isinstance(address, str):
        raise ValueError(
            "a grant needs an integer incarnation and an address as text"
        )
    return Grant(incarnation, address, _amounts(value))


def from_value(version: int, value: Mapping[str, Any]) -> ShareObject:
    """Parse a stored value.

    Raises:
        ValueError: If the value is not a share object.
    """
    try:
        grants = {vm: _grant(grant) for vm, grant in value["grants"].items()}
        return ShareObject(
            version, int(value["generation"]), _amounts(value["limits"]), grants
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(
            "the share object lacks a field or has one of a wrong type"
        ) from error
