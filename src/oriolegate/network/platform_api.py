"""Records of the platform's object API, and the interface of its clients."""

from collections.abc import Mapping
import enum
from typing import Any
from typing import Protocol

import attrs
from twisted.internet import defer


@attrs.frozen
class StoredObject:
    """Object of the platform's store, with its version when it was read."""

    name: str
    version: int
    value: Mapping[str, Any]


@attrs.frozen
class ObjectList:
    """Objects of one kind, with the revision of the kind when read."""

    revision: int
    items: tuple[StoredObject, ...]


class VmState(enum.Enum):
    """State of a VM in the platform's list, which may be out of date."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@attrs.frozen
class VmRecord:
    """Entry of the platform's list of VMs."""

    vm: str
    host: str
    peer_port: int
    data_centre: str
    state: VmState


class Platform(Protocol):
    """Client of the object API; failures are `PlatformError` with a code.

    A write that fails with PLATFORM_DOWN may have taken effect.
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
        """Write an object if it is at `expected_version`; 0 means absent.

        Returns:
            The new version.
        """
        ...

    def delete(
        self, kind: str, name: str, expected_version: int
    ) -> "defer.Deferred[None]":
        """Delete an object if it is at `expected_version`."""
        ...

    def watch(
        self, kind: str, after_revision: int, timeout_ms: int
    ) -> "defer.Deferred[ObjectList]":
        """Wait for a change of the kind or until the timeout.

        Args:
            kind: Kind of objects.
            after_revision: Revision after which changes are returned.
            timeout_ms: Time after which an empty list is returned.
        """
        ...

    def list_vms(self) -> "defer.Deferred[tuple[VmRecord, ...]]":
        """Read the platform's list of VMs."""
        ...
