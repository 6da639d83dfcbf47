"""Events that the shares core takes and effects that it returns."""

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
        service: Name.
        wanted: Whether this VM is a home now.
        limits: Of each leaf, by the topology.
        generation: Of the topology that names the limits.
    """

    service: str
    wanted: bool
    limits: Amounts
    generation: int


@attrs.frozen
class SharesRead:
    """The store answered a read; `share_object` is None if absent."""

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
    """The store has accepted a write."""

    service: str
    ticket: int
    version: int


@attrs.frozen
class WriteRefused:
    """The store has refused a write: the object had changed."""

    service: str
    ticket: int


@attrs.frozen
class WriteUnknown:
    """A write was not answered: it may take effect, now or later."""

    service: str
    ticket: int


@attrs.frozen
class GrantApplied:
    """What is in use fits in the grant that was last announced.

    Attributes:
        service: Name.
        amounts: As in the `GrantChanged` that is answered.
    """

    service: str
    amounts: Amounts


@attrs.frozen
class ProcessPaused:
    """This process did not run for a while."""


@attrs.frozen
class ProcessEnded:
    """Processes of a VM up to this incarnation send nothing any more."""

    vm: str
    incarnation: int


@attrs.frozen
class StopSharing:
    """Give every share back: this process is about to stop."""


@attrs.frozen
class Received:
    """A message came from a proven peer."""

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
    """Use no more than this from now; answer with `GrantApplied`."""

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
    """Write the object if it is at `expected_version`; 0 means absent."""

    service: str
    ticket: int
    share_object: ShareObject
    expected_version: int


@attrs.frozen
class SharesReturned:
    """After `StopSharing`: the store holds no grant of this process."""


SharesEffect = GrantChanged | ReadShares | WriteShares | SharesReturned | Send
