"""The member table: merging news and comparing tables by hashes."""

from collections.abc import Iterable

import attrs

from oriolegate.membership.messages import Member
from oriolegate.membership.messages import MemberState
from oriolegate.membership.rendezvous import stable_hash

BUCKETS = 64
TOMBSTONE_MS = 600_000.0  # longer than news takes to reach every VM
MAX_MEMBERS = 16_384


def _age(member: Member) -> tuple[int, int, int]:
    return member.incarnation, member.refutation, member.state


def _member_hash(member: Member) -> int:
    numbers = (str(part) for part in _age(member))
    return stable_hash(member.vm, *numbers)


class MemberTable:
    """Members by name, with hashes of the table kept up to date.

    Dead members stay as tombstones for a while, so that old news doesn't
    bring them back; hashes leave them out.

    Attributes:
        members: By name, dead ones included.
        changed_ms: When each member's state changed here.
        suspects: Names of suspected members.
        hashes: One hash for each bucket of names.
    """

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.changed_ms: dict[str, float] = {}
        self.suspects: set[str] = set()
        self.hashes = [0] * BUCKETS

    def merge(self, now_ms: float, member: Member) -> bool:
        """Take over news of a member; return whether it was news."""
        known = self.members.get(member.vm)
        if known is not None and _age(known) >= _age(member):
            return False
        if known is None and (
            member.state is MemberState.DEAD or len(self.members) >= MAX_MEMBERS
        ):
            return False
        self._toggle(known)
        self._toggle(member)
        self.members[member.vm] = member
        self.changed_ms[member.vm] = now_ms
        self.suspects.discard(member.vm)
        if member.state is MemberState.SUSPECT:
            self.suspects.add(member.vm)
        return True

    def _toggle(self, member: Member | None) -> None:
        if member is not None and member.state is not MemberState.DEAD:
            self.hashes[bucket_of(member.vm)] ^= _member_hash(member)

    def forget_dead(self, now_ms: float, kept: set[str]) -> None:
        """Drop tombstones that have outlived their use.

        Args:
            now_ms: Time now.
            kept: VMs that may still run: nobody here reaches them, but
                nothing shows their end.
        """
        for vm, member in list(self.members.items()):
            if (
                member.state is MemberState.DEAD
                and vm not in kept
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
        """Return the members of some buckets, dead ones included."""
        wanted = set(buckets)
        return [
            member
            for vm, member in self.members.items()
            if bucket_of(vm) in wanted
        ]

    def placeable(self) -> list[Member]:
        """Return members that may get work; a suspicion alone moves none."""
        return [
            member
            for member in self.members.values()
            if member.state in (MemberState.LIVE, MemberState.SUSPECT)
        ]

    def marked(self, vm: str, state: MemberState) -> Member:
        """Return a member as it would be in another state."""
        return attrs.evolve(self.members[vm], state=state)


def bucket_of(vm: str) -> int:
    """Return the bucket of a name."""
    return stable_hash("bucket", vm) % BUCKETS
