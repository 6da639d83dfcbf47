"""The member table: merge updates and compare tables by hashes."""

from collections.abc import Iterable

import attrs

from oriolegate.membership.messages import Member
from oriolegate.membership.messages import MemberState
from oriolegate.membership.rendezvous import stable_hash

BUCKET_COUNT = 64
TOMBSTONE_MS = 600_000.0  # longer than an update takes to reach every VM
MAX_MEMBERS = 16_384


def _precedence(member: Member) -> tuple[int, int, int]:
    return member.incarnation, member.refutation, member.state


def _member_hash(member: Member) -> int:
    numbers = (str(number) for number in _precedence(member))
    return stable_hash(member.vm, *numbers)


class MemberTable:
    """Members by VM name, with hashes of their records.

    Dead members stay as tombstones for `TOMBSTONE_MS`, so that old updates
    don't revive them. The hashes omit dead members.

    Attributes:
        members: Members by VM name, including dead ones.
        changed_ms: When this VM last changed each member's record.
        suspects: Names of suspected members.
        hashes: For each bucket of VM names, the XOR of the hashes of its live,
            suspected and leaving members.
    """

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.changed_ms: dict[str, float] = {}
        self.suspects: set[str] = set()
        self.hashes = [0] * BUCKET_COUNT

    def merge(self, now_ms: float, member: Member) -> bool:
        """Apply an update of a member; return whether the table changed."""
        known = self.members.get(member.vm)
        if known is not None and _precedence(known) >= _precedence(member):
            return False
        if known is None and (
            member.state is MemberState.DEAD or len(self.members) >= MAX_MEMBERS
        ):
            return False
        self._toggle_hash(known)
        self._toggle_hash(member)
        self.members[member.vm] = member
        self.changed_ms[member.vm] = now_ms
        self.suspects.discard(member.vm)
        if member.state is MemberState.SUSPECT:
            self.suspects.add(member.vm)
        return True

    def _toggle_hash(self, member: Member | None) -> None:
        if member is not None and member.state is not MemberState.DEAD:
            self.hashes[bucket_of(member.vm)] ^= _member_hash(member)

    def remove_expired_tombstones(
        self, now_ms: float, retained: set[str]
    ) -> None:
        """Remove expired tombstones.

        Args:
            now_ms: Current time.
            retained: Unreachable VMs that may still be running; their
                tombstones stay.
        """
        for vm, member in list(self.members.items()):
            if (
                member.state is MemberState.DEAD
                and vm not in retained
                and now_ms - self.changed_ms[vm] > TOMBSTONE_MS
            ):
                del self.members[vm]
                del self.changed_ms[vm]

    def table_hash(self) -> int:
        """Return the hash of the whole table."""
        combined = 0
        for position, value in enumerate(self.hashes):
            combined ^= (value * (2 * position + 1)) & (2**64 - 1)
        return combined

    def in_buckets(self, buckets: Iterable[int]) -> list[Member]:
        """Return the members of some buckets, including dead ones."""
        wanted = set(buckets)
        return [
            member
            for vm, member in self.members.items()
            if bucket_of(vm) in wanted
        ]

    def placeable(self) -> list[Member]:
        """Return the members that may get work, including suspected ones."""
        return [
            member
            for member in self.members.values()
            if member.state in (MemberState.LIVE, MemberState.SUSPECT)
        ]

    def with_state(self, vm: str, state: MemberState) -> Member:
        """Return a copy of a member in another state."""
        return attrs.evolve(self.members[vm], state=state)


def bucket_of(vm: str) -> int:
    """Return the bucket of a VM name."""
    return stable_hash("bucket", vm) % BUCKET_COUNT
