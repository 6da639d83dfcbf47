"""Events that the document spreader takes and effects that it returns."""

import attrs

from oriolegate.configuration.messages import VersionedDocument
from oriolegate.membership.effects import Send


@attrs.frozen
class Tick:
    """Time has passed."""


@attrs.frozen
class StoreRead:
    """The store answered a list or a watch of one kind.

    Attributes:
        kind: Which kind.
        documents: All of it, or what changed.
        complete: Whether nothing of the kind is missing.
    """

    kind: str
    documents: tuple[VersionedDocument, ...]
    complete: bool


@attrs.frozen
class DocumentWritten:
    """This process has just had a document accepted by the store."""

    document: VersionedDocument


@attrs.frozen
class PeerLinked:
    """A link to a peer is ready."""

    vm: str


@attrs.frozen
class PeerLost:
    """The last link to a peer is gone."""

    vm: str


@attrs.frozen
class PeerDigest:
    """A peer's heartbeat carried these digests."""

    vm: str
    digests: tuple[tuple[str, int], ...]


@attrs.frozen
class Received:
    """A message came from a proven peer."""

    vm: str
    message: object


@attrs.frozen
class CensusEntry:
    """One VM that may be serving.

    Attributes:
        vm: Name.
        data_centre: Where it runs.
        incarnation: Of its newest known process; 0 if none is known.
        reachable: Whether membership holds it live.
    """

    vm: str
    data_centre: str
    incarnation: int
    reachable: bool


@attrs.frozen
class CensusTaken:
    """All VMs that may be serving, unreachable ones included."""

    entries: tuple[CensusEntry, ...]


@attrs.frozen
class Resumed:
    """This process did not run for a while."""


GossipEvent = (
    Tick
    | StoreRead
    | DocumentWritten
    | PeerLinked
    | PeerLost
    | PeerDigest
    | Received
    | CensusTaken
    | Resumed
)


@attrs.frozen
class DocumentAccepted:
    """A newer version of a document is in force in this process from now."""

    document: VersionedDocument


@attrs.frozen
class WatchStore:
    """Keep a watch on a kind."""

    kind: str


@attrs.frozen
class UnwatchStore:
    """Let the watch on a kind run out."""

    kind: str


@attrs.frozen
class ReadStore:
    """List a kind once."""

    kind: str


@attrs.frozen
class DigestsChanged:
    """Heartbeats carry these digests from now."""

    digests: tuple[tuple[str, int], ...]


@attrs.frozen
class VersionsConfirmed:
    """This process may take work: its versions are not merely old ones."""


@attrs.frozen
class VersionsUnconfirmed:
    """New work must wait for `VersionsConfirmed`: this process was paused."""


@attrs.frozen
class IsolationChanged:
    """Whether neither the store nor any peer has been heard for a while."""

    isolated: bool


GossipEffect = (
    DocumentAccepted
    | Send
    | WatchStore
    | UnwatchStore
    | ReadStore
    | DigestsChanged
    | VersionsConfirmed
    | VersionsUnconfirmed
    | IsolationChanged
)


@attrs.frozen
class InForce:
    """An honest answer to who has a version of the rules in force.

    Attributes:
        version: The version asked about.
        confirmed: How many VMs have it, or a newer one.
        pending: Reachable VMs that have not confirmed.
        unreachable: VMs that may be serving but can't be asked.
    """

    version: int
    confirmed: int
    pending: tuple[str, ...]
    unreachable: tuple[str, ...]

    @property
    def everywhere(self) -> bool:
        """Whether every VM that may be serving has confirmed."""
        return not self.pending and not self.unreachable
