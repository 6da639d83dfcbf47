"""Input events and output effects of the shares state machine.

A ticket numbers the store calls of one service; the result of a call has the
ticket of the call.
"""

import attrs

from oriolegate.membership.effects import Send
from oriolegate.shares.share_object import Amounts
from oriolegate.shares.share_object import ShareObject


@attrs.frozen
class Tick:
    """Time has passed."""


@attrs.frozen
class ServiceWanted:
    """Whether this VM is a home of a service, and the service's limits.

    Attributes:
        service: Name of the service.
        wanted: Whether this VM is a home now.
        limits: Limits of each leaf according to the topology.
        generation: Generation of that topology.
    """

    service: str
    wanted: bool
    limits: Amounts
    generation: int


@attrs.frozen
class SharesRead:
    """A read succeeded; `share_object` is None if the store has no object."""

    service: str
    ticket: int
    share_object: ShareObject | None


@attrs.frozen
class ReadFailed:
    """The store did not answer a read."""

    service: str
    ticket: int


@attrs.frozen
class SharesWritten:
    """The store accepted a write."""

    service: str
    ticket: int
    version: int


@attrs.frozen
class WriteRefused:
    """The store refused a write because the object had changed."""

    service: str
    ticket: int


@attrs.frozen
class WriteUnknown:
    """A write got no answer and may still take effect, now or later."""

    service: str
    ticket: int


@attrs.frozen
class GrantApplied:
    """Current use no longer exceeds an announced grant.

    Attributes:
        service: Name of the service.
        amounts: Amounts of the `GrantChanged` that was applied.
    """

    service: str
    amounts: Amounts


@attrs.frozen
class ProcessPaused:
    """This process was paused; its shares need confirmation."""


@attrs.frozen
class ProcessEnded:
    """A VM's processes up to this incarnation have ended."""

    vm: str
    incarnation: int


@attrs.frozen
class StopSharing:
    """Return every share: this process is about to stop."""


@attrs.frozen
class Received:
    """An authenticated peer sent a message."""

    vm: str
    message: object


SharesEvent = (
    Tick
    | ServiceWanted
    | SharesRead
    | ReadFailed
    | SharesWritten
    | WriteRefused
    | WriteUnknown
    | GrantApplied
    | ProcessPaused
    | ProcessEnded
    | StopSharing
    | Received
)


@attrs.frozen
class GrantChanged:
    """Limit use to these amounts; send `GrantApplied` once use fits in them."""

    service: str
    slots: int
    connections: int
    cold: int

    @property
    def amounts(self) -> Amounts:
        """The grant as amounts."""
        return Amounts(self.slots, self.connections, self.cold)


@attrs.frozen
class ReadShares:
    """Read the share object of a service."""

    service: str
    ticket: int


@attrs.frozen
class WriteShares:
    """Write the share object if its version is still `expected_version`.

    The version 0 means that the store has no object yet.
    """

    service: str
    ticket: int
    share_object: ShareObject
    expected_version: int


@attrs.frozen
class SharesReturned:
    """After `StopSharing`: the store has no grant of this process."""


SharesEffect = GrantChanged | ReadShares | WriteShares | SharesReturned | Send
