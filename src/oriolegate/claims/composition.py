"""What an object of claims decides, and what its next write holds."""

from collections.abc import Mapping

import attrs

from oriolegate.claims import settlement
from oriolegate.claims.object_content import ClaimRecord
from oriolegate.claims.object_content import ObjectContent
from oriolegate.claims.settings import ClaimsSettings
from oriolegate.claims.settlement import PendingClaim
from oriolegate.claims.settlement import SettledClaim
from oriolegate.result_codes import ResultCode


@attrs.frozen
class Release:
    """A claim to be taken out because its request never runs.

    Attributes:
        claim_id: The claim; another send's claim of the key stays.
        fence_version: Expected version of the newest write that holds the
            claim and may take effect yet, or -1.
        drop_at_ms: When the attempt ends; the claim then stays.
    """

    claim_id: str
    fence_version: int
    drop_at_ms: float


@attrs.frozen
class Outcome:
    """What came of a granted claim."""

    claim_id: str
    code: ResultCode


@attrs.frozen
class Composition:
    """The next write.

    Attributes:
        content: What the object is to hold.
        batch: Claims in it that were not in the store before, by key.
        refused: Claims for which there is no room.
    """

    content: ObjectContent
    batch: dict[str, PendingClaim]
    refused: list[SettledClaim]


def decide(
    content: ObjectContent,
    pending: PendingClaim,
    releases: Mapping[str, Release],
    outcomes: Mapping[str, Outcome],
) -> SettledClaim | None:
    """Return how a claim ends by what the object holds, if it settlement."""
    if content.slot > pending.slot:
        return settlement.key_too_old(pending)
    if content.slot < pending.slot:
        return None
    key = pending.key.text
    record = content.records.get(key)
    if record is None:
        return None
    if record.claim_id == pending.claim_id:
        return settlement.granted(pending)
    release = releases.get(key)
    if release is not None and release.claim_id == record.claim_id:
        return None
    outcome = outcomes.get(key)
    if outcome is not None and outcome.claim_id == record.claim_id:
        return settlement.already_claimed(pending, outcome.code)
    return settlement.already_claimed(pending, record.outcome)


def may_contain(
    content: ObjectContent, version: int, key: str, release: Release
) -> bool:
    """Return whether the object holds, or may yet hold, a claim to release.

    A write that expects a version below the present one never takes effect.
    """
    record = content.records.get(key)
    if record is not None:
        return record.claim_id == release.claim_id
    return version <= release.fence_version


def _kept_records(
    content: ObjectContent,
    releases: Mapping[str, Release],
    outcomes: Mapping[str, Outcome],
) -> dict[str, ClaimRecord]:
    records = dict(content.records)
    for key, release in releases.items():
        record = records.get(key)
        if record is not None and record.claim_id == release.claim_id:
            del records[key]
    for key, outcome in outcomes.items():
        record = records.get(key)
        if record is not None and record.claim_id == outcome.claim_id:
            records[key] = ClaimRecord(outcome.claim_id, outcome.code)
    return records


def compose(
    content: ObjectContent,
    waiting: Mapping[str, PendingClaim],
    releases: Mapping[str, Release],
    outcomes: Mapping[str, Outcome],
    settings: ClaimsSettings,
) -> Composition:
    """Put releases, outcomes and waiting claims into one write.

    Args:
        content: What the object holds now.
        waiting: Claims by key; one whose key is taken is left out.
        releases: Claims to take out, by key.
        outcomes: Outcomes to record, by key.
        settings: Limits.
    """
    slot = max([content.slot, *(p.slot for p in waiting.values())])
    records: dict[str, ClaimRecord] = {}
    if slot == content.slot:
        records = _kept_records(content, releases, outcomes)
    batch: dict[str, PendingClaim] = {}
    refused: list[SettledClaim] = []
    for key, pending in waiting.items():
        if batch and not settings.group_commit:
            break
        if pending.slot < slot:
            refused.append(settlement.key_too_old(pending))
        elif key in records:
            continue
        elif len(records) >= settings.max_claims_per_object:
            refused.append(settlement.object_full(pending))
        else:
            batch[key] = pending
            records[key] = ClaimRecord(pending.claim_id)
    return Composition(ObjectContent(slot, records), batch, refused)
