"""Phases and limits of accepting an edit of the rules."""

from typing import TypeAlias

import attrs

from oriolegate.rules.proposal import Proposal
from oriolegate.rules.stored_rules import StoredRules


@attrs.frozen
class AcceptanceLimits:
    """Bounds on the work for one edit.

    Attributes:
        answer_within_ms: When the operator is told something at the latest.
        retry_delay_ms: First wait after a call without an answer; doubles.
        max_retry_delay_ms: The longest such wait.
        max_proposals: Merges tried before giving up.
        kept_versions: History objects kept.
    """

    answer_within_ms: float = 8_000.0
    retry_delay_ms: float = 200.0
    max_retry_delay_ms: float = 30_000.0
    max_proposals: int = 16
    kept_versions: int = 1_000


@attrs.frozen
class ReadingAccepted:
    """Reads the accepted version, to propose or to settle."""


@attrs.frozen
class ReadingBase:
    """Reads the version that the edit is based on."""

    present: StoredRules


@attrs.frozen
class KeepingHistory:
    """Keeps the version that is about to be replaced."""

    present: StoredRules
    proposal: Proposal


@attrs.frozen
class WritingAccepted:
    """Replaces the accepted version."""

    proposal: Proposal


@attrs.frozen
class ReadingOutcome:
    """Reads the replaced version that the edit may have made."""

    present: StoredRules
    proposal: Proposal


@attrs.frozen
class Finished:
    """Nothing is left to do."""


Phase: TypeAlias = (
    ReadingAccepted
    | ReadingBase
    | KeepingHistory
    | WritingAccepted
    | ReadingOutcome
    | Finished
)
