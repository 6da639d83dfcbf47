"""Claims that wait for the VM that owns their class.

Ownership is a hint: one VM that writes a class meets no conflicts and puts
the claims of all VMs into one write. If the owner is slow, gone or another
one than this VM believes, the claim is written by the VM that asked, with
the same claim id; the object's version decides between the two writes.
"""

import attrs

from oriolegate.claims import buckets
from oriolegate.claims.settings import ClaimsSettings
from oriolegate.claims.settlement import PendingClaim

NEVER_MS = float("inf")


@attrs.define(eq=False)
class ClaimForwarder:
    """Owners of the classes, and claims that they were asked to write.

    Attributes:
        vm: This process's VM.
        settings: Limits and intervals.
        vms: The VMs between which the classes are divided.
        owners: Preferred writer by hash class, found when it is needed.
        claims: Claims that wait for an answer, by key.
        due_ms: No claim is due earlier.
    """

    vm: str
    settings: ClaimsSettings
    vms: tuple[str, ...] = ()
    owners: dict[int, str | None] = attrs.field(factory=dict)
    claims: dict[str, PendingClaim] = attrs.field(factory=dict)
    due_ms: float = NEVER_MS

    def set_vms(self, vms: tuple[str, ...]) -> None:
        """Divide the classes between these VMs."""
        self.vms = vms
        self.owners.clear()

    def owner(self, pending: PendingClaim) -> str | None:
        """Return the VM to ask, or None if this one writes the claim."""
        if not self.settings.forward:
            return None
        bucket = buckets.bucket_of(pending.key, self.settings)
        if bucket not in self.owners:
            self.owners[bucket] = buckets.owner_of(bucket, self.vms)
        owner = self.owners[bucket]
        return None if owner == self.vm else owner

    def add(self, pending: PendingClaim) -> None:
        """Remember a claim that the owner is asked for."""
        pending.forwarded = True
        self.claims[pending.key.text] = pending
        self.due_ms = min(self.due_ms, self._due_ms(pending))

    def take(self, key: str, claim_id: str) -> PendingClaim | None:
        """Remove and return the claim that an answer belongs to."""
        pending = self.claims.get(key)
        if pending is None or pending.claim_id != claim_id:
            return None
        return self.claims.pop(key)

    def take_due(self, now_ms: float) -> list[PendingClaim]:
        """Remove and return the claims that waited long enough."""
        if now_ms < self.due_ms:
            return []
        due = [p for p in self.claims.values() if now_ms >= self._due_ms(p)]
        for pending in due:
            del self.claims[pending.key.text]
        self.due_ms = min(
            map(self._due_ms, self.claims.values()), default=NEVER_MS
        )
        return due

    def _due_ms(self, pending: PendingClaim) -> float:
        claim_timeout_ms = self.settings.forward_timeout_ms
        return min(
            pending.arrived_at_ms + claim_timeout_ms, pending.give_up_at_ms
        )
