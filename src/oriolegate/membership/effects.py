"""Input events and output effects of the membership state machine."""

import attrs

from oriolegate.membership.messages import Member


@attrs.frozen
class Tick:
    """Time has passed.

    Attributes:
        wall_ms: Wall clock, or None if not read. Only this clock may reveal
            that the virtual machine was suspended.
    """

    wall_ms: int | None = None


@attrs.frozen
class ListedVm:
    """One row of the platform's list of VMs, which may be out of date.

    Attributes:
        vm: Name of the VM.
        host: IP address.
        peer_port: Port that peers connect to.
        data_centre: Data centre of the VM.
        gone: Whether the platform reports that the VM has ended.
    """

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
    """The last link to a peer was closed."""

    vm: str


@attrs.frozen
class Received:
    """An authenticated peer sent a message."""

    vm: str
    message: object


@attrs.frozen
class DigestsSet:
    """Set the digests of other components that heartbeats carry from now on."""

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
    """Close the link to this peer, which is no longer needed."""

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
    """A member is new or its record has changed."""

    member: Member


@attrs.frozen
class PeerDigests:
    """A peer's heartbeat carried these digests of other components."""

    vm: str
    digests: tuple[tuple[str, int], ...]


@attrs.frozen
class ProcessPaused:
    """This process was paused: its leases and grants need confirmation."""

    gap_ms: float


@attrs.frozen
class Superseded:
    """A newer process uses this VM's name, so this process must stop."""

    incarnation: int


@attrs.frozen
class IncarnationEnded:
    """A VM's processes up to this incarnation have ended."""

    vm: str
    incarnation: int


MembershipEffect = (
    ConnectTo
    | DropLink
    | Send
    | SetTimer
    | MemberChanged
    | PeerDigests
    | ProcessPaused
    | Superseded
    | IncarnationEnded
)
