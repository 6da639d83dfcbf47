"""Define the phases and limits of accepting an edit of the rules."""

from typing import TypeAlias

import attrs

from oriolegate.rules.proposal import Proposal
from oriolegate.rules.stored_rules import StoredRules


@attrs.frozen
class AcceptanceLimits:
    """Bounds on the work for one edit.

    Attributes:
        answer_timeout_ms: Maximum delay of the first result for the operator.
        retry_delay_ms: Initial backoff after a failed store call; doubled
            after each retry.
        max_retry_delay_ms: Maximum backoff.
        max_proposals: Maximum attempts to merge and write the edit.
        max_history_versions: Number of history objects kept.
    """

    answer_timeout_ms: float = 8_000.0
    retry_delay_ms: float = 200.0
    max_retry_delay_ms: float = 30_000.0
    max_proposals: int = 16
    max_history_versions: int = 1_000


@attrs.frozen
class ReadingAccepted:
    """Reads the accepted version, to propose or to verify a write."""


@attrs.frozen
class ReadingBase:
    """Reads the version that the edit is based on."""

    current: StoredRules


@attrs.frozen
class WritingHistory:
    """Writes the accepted version to history before it is replaced."""

    current: StoredRules
    proposal: Proposal


@attrs.frozen
class WritingAccepted:
    """Replaces the accepted version by the proposal."""

    proposal: Proposal


@attrs.frozen
class ReadingOutcome:
    """Reads from history the version that the edit may have become."""

    current: StoredRules
    proposal: Proposal


@attrs.frozen
class Finished:
    """The final result was reported."""


Phase: TypeAlias = (
    ReadingAccepted
    | ReadingBase
    | WritingHistory
    | WritingAccepted
    | ReadingOutcome
    | Finished
)
