"""Recent claims granted by this process, and its totals."""

import attrs

from oriolegate.claims.settlement import PendingClaim
from oriolegate.result_codes import ResultCode


@attrs.define(eq=False)
class GrantedClaim:
    """A claim granted by this process, and its outcome if known."""

    pending: PendingClaim
    outcome: ResultCode | None = None


@attrs.define
class ClaimCounts:
    """Totals since the process started."""

    granted: int = 0
    refused: int = 0
    forwarded: int = 0
    reads: int = 0
    writes: int = 0
    conflicts: int = 0
    failures: int = 0


@attrs.define(eq=False)
class GrantedClaims:
    """A bounded cache of granted claims; older ones are only in the store.

    Attributes:
        capacity: Maximum number of claims.
        by_key: Claims by idempotency key, oldest first.
    """

    capacity: int
    by_key: dict[str, GrantedClaim] = attrs.field(factory=dict)

    def add(self, pending: PendingClaim) -> None:
        """Add a claim, and drop the oldest one if the cache is full."""
        self.by_key[pending.key.text] = GrantedClaim(pending)
        if len(self.by_key) > self.capacity:
            del self.by_key[next(iter(self.by_key))]
