"""What the platform's object API holds, and the interface to it."""

from collections.abc import Mapping
import enum
from typing import Any
from typing import Protocol

import attrs
from twisted.internet import defer


@attrs.frozen
class StoredObject:
    """An object of the platform and the version it was read at."""

    name: str
    version: int
    value: Mapping[str, Any]


@attrs.frozen
class ObjectList:
    """Objects of one kind, and the kind's revision when they were read."""

    revision: int
    items: tuple[StoredObject, ...]


class VmState(enum.Enum):
    """What the platform's lagging list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@attrs.frozen
class VmRecord:
    """One row of the platform's list of VMs."""

    vm: str
    host: str
    peer_port: int
    data_centre: str
    state: VmState


class Platform(Protocol):
    """Calls of the object API; failures are `PlatformError` with a code.

    PLATFORM_DOWN on a write means that it may have taken effect.
    """

    def get(self, kind: str, name: str) -> "defer.Deferred[StoredObject]":
        """Read one object."""
        ...

    def list(self, kind: str) -> "defer.Deferred[ObjectList]":
        """Read all objects of a kind."""
        ...

    def put(
        self,
        kind: str,
        name: str,
        value: Mapping[str, Any],
        expected_version: int,
    ) -> "defer.Deferred[int]":
        """Write if the object is at `expected_version`; 0 means absent.

        Returns:
            The new version.
        """
        ...

    def delete(
        self, kind: str, name: str, expected_version: int
    ) -> "defer.Deferred[None]":
        """Delete if the object is at `expected_version`."""
        ...

    def watch(
        self, kind: str, after_revision: int, timeout_ms: int
    ) -> "defer.Deferred[ObjectList]":
        """Wait until something of the kind changes, or the time is over."""
        ...

    def list_vms(self) -> "defer.Deferred[tuple[VmRecord, ...]]":
        """Read the platform's list of VMs."""
        ...
