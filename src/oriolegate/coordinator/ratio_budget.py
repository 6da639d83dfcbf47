"""Budget that limits hedges or retries to a ratio of first attempts."""

import attrs

BURST_TOKENS = 10.0


@attrs.define
class RatioBudget:
    """A token bucket filled by sub-requests rather than by time.

    Each needed sub-request adds `ratio` tokens; an extra one takes a whole
    token. Apart from the burst, extra load therefore stays within the ratio.

    Attributes:
        ratio: Extra sub-requests allowed per needed one.
        tokens: Extra sub-requests allowed now; may be fractional.
    """

    ratio: float
    tokens: float = BURST_TOKENS

    def earn(self, needed: int) -> None:
        """Add the tokens for a number of needed sub-requests.

        At most the burst is stored, or the tokens of 1,000 needed sub-requests
        if these are more.
        """
        self.tokens = min(
            max(BURST_TOKENS, self.ratio * 1_000),
            self.tokens + self.ratio * needed,
        )

    def try_spend(self) -> bool:
        """Take one token; return False if less than one is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
