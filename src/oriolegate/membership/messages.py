"""Messages by which VMs prove who they are and share the member table."""

import enum

import attrs


class MemberState(enum.IntEnum):
    """What is known of a member; of equal readings the higher one holds."""

    LIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@attrs.frozen
class Member:
    """One VM as the member table holds it.

    Attributes:
        vm: Name.
        host: IP number.
        peer_port: Port that peers connect to.
        data_centre: Where the VM runs.
        incarnation: Rises with each process started under this name.
        refutation: Raised by the member itself to deny a suspicion.
        state: What is known of it.
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
    """Opens a link: who is there, and the nonce that the other must sign."""

    vm: str
    incarnation: int
    nonce: bytes


@attrs.frozen
class PeerProof:
    """Signs both hellos with the key that all VMs of a site share."""

    signature: bytes


@attrs.frozen
class Heartbeat:
    """Says that the sender lives and what it knows, as digests.

    Attributes:
        table_hash: Hash of the sender's member table.
        digests: Names and values of other parts' digests.
    """

    table_hash: int
    digests: tuple[tuple[str, int], ...]


@attrs.frozen
class BucketHashes:
    """Hashes of the parts of the member table, after a hash differed."""

    hashes: tuple[int, ...]


@attrs.frozen
class MemberDelta:
    """Members that the receiver may not know in this state."""

    members: tuple[Member, ...]


PEER_MESSAGES: tuple[tuple[int, type], ...] = (
    (1, PeerHello),
    (2, PeerProof),
    (3, Heartbeat),
    (4, BucketHashes),
    (5, MemberDelta),
)
