"""Budget that limits hedges or retries to a ratio of first attempts."""

import attrs

BURST_TOKENS = 10.0


@attrs.define
class RatioBudget:
    """A token bucket filled by sub-requests rather than by time.

    Each needed sub-request (the first attempt for a shard) adds `ratio`
    tokens; each extra sub-request (a hedge or retry) takes a whole token.
    Apart from the burst, extra load therefore stays within the ratio.

    Attributes:
        ratio: Extra sub-requests allowed per needed one.
        tokens: Extra sub-requests allowed now; may be fractional.
    """

    ratio: float
    tokens: float = BURST_TOKENS

    def earn(self, needed: int) -> None:
        """Add the tokens for a number of needed sub-requests.

        The budget stores at most `BURST_TOKENS`, or the tokens that 1,000
        needed sub-requests add if that is more.
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
