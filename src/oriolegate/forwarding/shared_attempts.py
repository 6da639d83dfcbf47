"""Attempts of one request, shared by the VMs that forward and run it.

Once an answer is lost, the VM that forwarded the request can't know how many
leafs have run it. Until a time that both VMs know, the other one therefore uses
a single attempt: an answer that is lost by then costs one attempt, one that is
lost later costs all.
"""

import attrs

# Fraction of the route's target for which the other VM uses a single attempt: a
# request that is sent again later would hardly be on time.
HOLD_TARGET_FRACTION = 0.25


@attrs.define
class SharedAttempts:
    """Attempts that are left at the VM which forwards a request.

    Attributes:
        limit: Number of leafs of one service that may run the request.
        used: Number of leafs that may have run it so far.
        hold_until_ms: Until when the VM asked last uses a single attempt.
    """

    limit: int
    used: int
    hold_until_ms: float = float("-inf")

    @property
    def is_exhausted(self) -> bool:
        """Whether no further leaf may run the request."""
        return self.used >= self.limit

    def hold(self, now_ms: float, target_ms: float) -> None:
        """Start the time in which the VM that is asked uses one attempt.

        Args:
            now_ms: Current time.
            target_ms: Target latency of the route.
        """
        self.hold_until_ms = now_ms + HOLD_TARGET_FRACTION * target_ms

    def record_lost(self, now_ms: float, *, is_held: bool) -> None:
        """Count the attempts of a VM whose answer is lost.

        Args:
            now_ms: Current time.
            is_held: Whether that VM observes the hold.
        """
        if is_held and now_ms < self.hold_until_ms:
            self.used += 1
        else:
            self.used = self.limit

    def record_used(self, count: int | None) -> None:
        """Count the attempts that a VM reports, or all if it doesn't."""
        self.used = self.limit if count is None else self.used + count
