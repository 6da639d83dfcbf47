"""Events that `DocumentGossip` handles and effects that it returns."""

import attrs

from oriolegate.configuration.messages import VersionedDocument
from oriolegate.membership.effects import Send


@attrs.frozen
class Tick:
    """Time has passed."""


@attrs.frozen
class StoreRead:
    """The store returned the result of a list or a watch of one kind.

    Attributes:
        kind: Kind of the documents.
        documents: All documents of the kind, or those that changed.
        complete: Whether `documents` has all documents of the kind.
    """

    kind: str
    documents: tuple[VersionedDocument, ...]
    complete: bool


@attrs.frozen
class DocumentWritten:
    """The store has just accepted a document that this process wrote."""

    document: VersionedDocument


@attrs.frozen
class PeerLinked:
    """A link to a peer is ready."""

    vm: str


@attrs.frozen
class PeerLost:
    """The last link to a peer was lost."""

    vm: str


@attrs.frozen
class PeerDigest:
    """A peer's heartbeat carried these digests."""

    vm: str
    digests: tuple[tuple[str, int], ...]


@attrs.frozen
class Received:
    """An authenticated peer sent a message."""

    vm: str
    message: object


@attrs.frozen
class PossibleMember:
    """One VM that may be serving.

    Attributes:
        vm: Name of the VM.
        data_centre: Data centre of the VM.
        incarnation: Incarnation of its newest known process, or 0.
        reachable: Whether membership considers the VM live.
    """

    vm: str
    data_centre: str
    incarnation: int
    reachable: bool


@attrs.frozen
class MembersUpdated:
    """All VMs that may be serving, including unreachable ones."""

    members: tuple[PossibleMember, ...]


@attrs.frozen
class ProcessPaused:
    """This process was paused; its versions need confirmation."""


GossipEvent = (
    Tick
    | StoreRead
    | DocumentWritten
    | PeerLinked
    | PeerLost
    | PeerDigest
    | Received
    | MembersUpdated
    | ProcessPaused
)


@attrs.frozen
class DocumentAccepted:
    """A newer version of a document is now in force in this process."""

    document: VersionedDocument


@attrs.frozen
class WatchStore:
    """Watch the documents of a kind in the store."""

    kind: str


@attrs.frozen
class UnwatchStore:
    """Stop watching a kind once the current watch ends."""

    kind: str


@attrs.frozen
class ReadStore:
    """List the documents of a kind in the store once."""

    kind: str


@attrs.frozen
class DigestsChanged:
    """Heartbeats have to carry these digests from now on."""

    digests: tuple[tuple[str, int], ...]


@attrs.frozen
class VersionsConfirmed:
    """This process may accept work: its versions are known to be current."""


@attrs.frozen
class VersionsUnconfirmed:
    """New work has to wait for `VersionsConfirmed` after a process pause."""


@attrs.frozen
class IsolationChanged:
    """The store and all peers became silent, or one of them responded again."""

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
class InForceStatus:
    """Which VMs are known to have a version of the rules in force.

    Attributes:
        version: Version of the rules.
        confirmed: Number of VMs that confirmed this version or a newer one.
        pending: Reachable VMs that have not confirmed it.
        unreachable: Unreachable VMs that have not confirmed it and may be
            serving.
    """

    version: int
    confirmed: int
    pending: tuple[str, ...]
    unreachable: tuple[str, ...]

    @property
    def everywhere(self) -> bool:
        """Whether every VM that may be serving has confirmed the version."""
        return not self.pending and not self.unreachable
