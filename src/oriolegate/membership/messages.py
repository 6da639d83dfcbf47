"""Messages by which VMs authenticate and exchange the member table."""

import enum

import attrs


class MemberState(enum.IntEnum):
    """State of a member.

    If updates agree in incarnation and refutation, the higher state applies.
    """

    LIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@attrs.frozen
class Member:
    """One VM's record in the member table.

    Attributes:
        vm: Name of the VM.
        host: IP address.
        peer_port: Port that peers connect to.
        data_centre: Data centre of the VM.
        incarnation: Higher for each later process with this VM name.
        refutation: Counter that the member increments to refute a suspicion
            or to change its state.
        state: Known state.
    """

    vm: str
    host: str
    peer_port: int
    data_centre: str
    incarnation: int
    refutation: int = 0
    state: MemberState = MemberState.LIVE


@attrs.frozen
class PeerHello:
    """Opens a link: the sender's identity and a nonce for the peer to sign."""

    vm: str
    incarnation: int
    nonce: bytes


@attrs.frozen
class PeerProof:
    """Signature of both hellos with the key that all VMs of a site share."""

    signature: bytes


@attrs.frozen
class Heartbeat:
    """Shows that the sender is alive and carries digests of its state.

    Attributes:
        table_hash: Hash of the sender's member table.
        digests: Names and values of other components' digests.
    """

    table_hash: int
    digests: tuple[tuple[str, int], ...]


@attrs.frozen
class BucketHashes:
    """Hashes of the member table's buckets, sent when table hashes differ."""

    hashes: tuple[int, ...]


@attrs.frozen
class MemberDelta:
    """Records of members that may be new to the receiver."""

    members: tuple[Member, ...]


PEER_MESSAGES: tuple[tuple[int, type], ...] = (
    (1, PeerHello),
    (2, PeerProof),
    (3, Heartbeat),
    (4, BucketHashes),
    (5, MemberDelta),
)
