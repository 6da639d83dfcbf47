"""Peer messages about claims; any message may be lost."""

import attrs

UNKNOWN_OUTCOME = -1


@attrs.frozen
class ForwardedClaim:
    """Requests that the owner of a bucket writes a claim of the sender.

    Attributes:
        key: The idempotency key.
        claim_id: Claim id of the sender; the owner stores it unchanged.
        remaining_ms: Time until the deadline of the sender's request.
    """

    key: str
    claim_id: str
    remaining_ms: float


@attrs.frozen
class ForwardedClaimResult:
    """The owner's response to a `ForwardedClaim`.

    Attributes:
        key: The idempotency key.
        claim_id: Claim id in the `ForwardedClaim`.
        code: OK if the claim is in the store, otherwise the reason of the
            refusal.
        outcome: Result code of the send that claimed the key, or
            UNKNOWN_OUTCOME.
    """

    key: str
    claim_id: str
    code: int
    outcome: int


PEER_MESSAGES: tuple[tuple[int, type], ...] = (
    (80, ForwardedClaim),
    (81, ForwardedClaimResult),
)
