"""Forwards claims to the VM that owns their bucket.

Ownership is a hint: a single writer of a bucket has no write conflicts and
combines the claims of all VMs in one write. If the owner is slow, was
removed or is another VM than assumed, the forwarding VM writes the claim
itself, with the same claim id; the object's version decides between the two
writes.
"""

import attrs

from oriolegate.claims import buckets
from oriolegate.claims.settings import ClaimsSettings
from oriolegate.claims.settlement import PendingClaim

NEVER_MS = float("inf")


@attrs.define(eq=False)
class ClaimForwarder:
    """The owners of the buckets, and claims forwarded to them.

    Attributes:
        vm: Name of this VM.
        settings: Limits and intervals.
        vms: VMs among which the buckets are divided.
        owners: Cache of the owners, by bucket.
        claims: Forwarded claims without a result, by key.
        due_ms: Earliest time at which a forwarded claim may time out.
    """

    vm: str
    settings: ClaimsSettings
    vms: tuple[str, ...] = ()
    owners: dict[int, str | None] = attrs.field(factory=dict)
    claims: dict[str, PendingClaim] = attrs.field(factory=dict)
    due_ms: float = NEVER_MS

    def set_vms(self, vms: tuple[str, ...]) -> None:
        """Divide the buckets among these VMs."""
        self.vms = vms
        self.owners.clear()

    def owner(self, pending: PendingClaim) -> str | None:
        """Return the VM to forward a claim to; None if this VM writes it."""
        if not self.settings.forward:
            return None
        bucket = buckets.bucket_of(pending.key, self.settings)
        if bucket not in self.owners:
            self.owners[bucket] = buckets.owner_of(bucket, self.vms)
        owner = self.owners[bucket]
        return None if owner == self.vm else owner

    def add(self, pending: PendingClaim) -> None:
        """Record a claim that is forwarded to the owner of its bucket."""
        pending.forwarded = True
        self.claims[pending.key.text] = pending
        self.due_ms = min(self.due_ms, self._due_ms(pending))

    def take(self, key: str, claim_id: str) -> PendingClaim | None:
        """Remove and return the claim that a result belongs to."""
        pending = self.claims.get(key)
        if pending is None or pending.claim_id != claim_id:
            return None
        return self.claims.pop(key)

    def take_due(self, now_ms: float) -> list[PendingClaim]:
        """Remove and return the claims whose forwarding timed out."""
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
        timeout_ms = self.settings.forward_timeout_ms
        return min(pending.arrived_at_ms + timeout_ms, pending.give_up_at_ms)
