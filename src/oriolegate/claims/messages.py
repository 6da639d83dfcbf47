"""Messages between VMs about claims; any of them may get lost."""

import attrs

UNKNOWN_OUTCOME = -1


@attrs.frozen
class ForwardedClaim:
    """Asks the owner of a class to write a claim of the sender.

    Attributes:
        key: The idempotency key.
        claim_id: The sender's claim id; the owner stores it unchanged.
        remaining_ms: Time left until the sender's request must not run.
    """

    key: str
    claim_id: str
    remaining_ms: float


@attrs.frozen
class ForwardedClaimResult:
    """The owner's answer to a `ForwardedClaim`.

    Attributes:
        key: The idempotency key.
        claim_id: As in the `ForwardedClaim`.
        code: OK if the claim is in the store, else why it is refused.
        outcome: Result code of the send that holds the key, or
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
