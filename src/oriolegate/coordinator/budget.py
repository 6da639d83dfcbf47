"""Budgets that bound extra sub-requests to a share of the needed ones."""

import attrs

BURST = 10.0


@attrs.define
class RatioBudget:
    """A token bucket filled by sub-requests rather than by time.

    Each needed sub-request adds `ratio` tokens; an extra one takes a whole
    token. So extra load never passes the ratio, apart from the burst.

    Attributes:
        ratio: Extra sub-requests allowed per needed one.
        tokens: Extra sub-requests allowed now.
    """

    ratio: float
    tokens: float = BURST

    def earn(self, needed: int) -> None:
        """Add tokens for needed sub-requests that are sent."""
        self.tokens = min(
            max(BURST, self.ratio * 1_000), self.tokens + self.ratio * needed
        )

    def spend(self) -> bool:
        """Take one token; return False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
