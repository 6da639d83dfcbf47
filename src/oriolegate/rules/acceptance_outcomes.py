"""Build the results and final effects of accepting an edit."""

from oriolegate.rules import acceptance_messages as messages
from oriolegate.rules.acceptance_phases import AcceptanceLimits
from oriolegate.rules.proposal import Proposal
from oriolegate.rules.stored_rules import history_path
from oriolegate.rules.stored_rules import StoredRules

NO_ANSWER = (
    "the platform's store gave no answer; the edit was not accepted, "
    "apply it again later"
)
UNKNOWN = (
    "the platform's store has not confirmed whether the edit was accepted; "
    "see 'oriolegate show', or apply it again: an edit that is in force "
    "already changes nothing"
)
OVERTAKEN = "other edits came first and this one was not accepted; apply again"
UNREADABLE = (
    "the store has rules that this release can't read; update the program"
)
OUTCOME_NOT_KEPT = (
    "the version that would show whether the edit was accepted is not kept "
    "any more"
)

# The store's version of a history object, which is never rewritten.
_HISTORY_OBJECT_VERSION = 1


def base_not_kept(base: int, current: StoredRules) -> messages.Refused:
    """Refuse an edit whose base version was deleted from history."""
    return messages.Refused(
        current.version,
        f"base version {base} is not kept any more; make the edit on "
        f"version {current.version}",
    )


def base_too_new(base: int, current: StoredRules) -> messages.Refused:
    """Refuse an edit based on a version that does not exist yet."""
    return messages.Refused(
        current.version,
        f"base version {base} is newer than the accepted one; make the "
        f"edit on version {current.version}",
    )


def success(
    proposal: Proposal, limits: AcceptanceLimits
) -> list[messages.AcceptanceEffect]:
    """Return the effects that follow once a proposal was accepted."""
    stored = proposal.stored
    effects: list[messages.AcceptanceEffect] = [
        messages.DistributeRules(stored.to_accepted_rules())
    ]
    outdated = stored.version - 1 - limits.max_history_versions
    if outdated > 0:
        path = history_path(outdated)
        effects.append(messages.DeleteObject(path, _HISTORY_OBJECT_VERSION))
    effects.append(messages.Report(_success_result(proposal)))
    return effects


def _success_result(proposal: Proposal) -> messages.AcceptanceResult:
    version = proposal.stored.version
    if proposal.others:
        return messages.Merged(version, proposal.changes, proposal.others)
    return messages.Accepted(version, proposal.changes)
