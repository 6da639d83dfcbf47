"""Events that the membership core takes and effects that it returns."""

import attrs

from oriolegate.membership.messages import Member


@attrs.frozen
class Tick:
    """Time has passed.

    Attributes:
        wall_ms: Wall clock; a virtual machine's suspension may show in this
            clock only. None if not read.
    """

    wall_ms: int | None = None


@attrs.frozen
class ListedVm:
    """One row of the platform's lagging list of VMs."""

    vm: str
    host: str
    peer_port: int
    data_centre: str
    gone: bool = False


@attrs.frozen
class VmsListed:
    """The platform's list was read."""

    vms: tuple[ListedVm, ...]


@attrs.frozen
class LinkUp:
    """A link to a peer is ready."""

    vm: str


@attrs.frozen
class LinkDown:
    """The last link to a peer is gone."""

    vm: str


@attrs.frozen
class Received:
    """A message came from a proven peer."""

    vm: str
    message: object


@attrs.frozen
class DigestsSet:
    """Other parts' digests for the next heartbeats."""

    digests: tuple[tuple[str, int], ...]


@attrs.frozen
class Leave:
    """This process is about to stop."""


MembershipEvent = (
    Tick | VmsListed | LinkUp | LinkDown | Received | DigestsSet | Leave
)


@attrs.frozen
class ConnectTo:
    """Keep a link to this peer."""

    vm: str
    host: str
    port: int


@attrs.frozen
class DropLink:
    """The link to this peer is no longer needed."""

    vm: str


@attrs.frozen
class Send:
    """Send a message to a peer; it may be lost."""

    vm: str
    message: object


@attrs.frozen
class SetTimer:
    """Deliver a tick at this time."""

    at_ms: float


@attrs.frozen
class MemberChanged:
    """A member is new or known in another state."""

    member: Member


@attrs.frozen
class PeerDigests:
    """A peer's heartbeat carried these digests of other parts."""

    vm: str
    digests: tuple[tuple[str, int], ...]


@attrs.frozen
class Paused:
    """This process did not run for a while: rights must be confirmed."""

    gap_ms: float


@attrs.frozen
class Superseded:
    """Peers know a newer process of this VM's name; this one must stop."""

    incarnation: int


@attrs.frozen
class IncarnationEnded:
    """Processes of a VM up to this incarnation run no more."""

    vm: str
    incarnation: int


MembershipEffect = (
    ConnectTo
    | DropLink
    | Send
    | SetTimer
    | MemberChanged
    | PeerDigests
    | Paused
    | Superseded
    | IncarnationEnded
)
