"""Settle claims by the content of their object and compose its next write."""

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
    """A claim to remove because its request never runs.

    Attributes:
        claim_id: Claim to remove; a claim of the key by another send stays.
        fence_version: Expected version of the newest write that contains
            the claim and may still take effect, or -1.
        drop_at_ms: When to give up; the claim then stays in the store.
    """

    claim_id: str
    fence_version: int
    drop_at_ms: float


@attrs.frozen
class Outcome:
    """The result code of a granted request that ran."""

    claim_id: str
    code: ResultCode


@attrs.frozen
class ComposedWrite:
    """The next write of an object.

    Attributes:
        content: Content to write.
        batch: Claims that the write adds, by key.
        refused: Claims refused because the object is full or has moved on
            to a later slot.
    """

    content: ObjectContent
    batch: dict[str, PendingClaim]
    refused: list[SettledClaim]


def settle_by_content(
    content: ObjectContent,
    pending: PendingClaim,
    releases: Mapping[str, Release],
    outcomes: Mapping[str, Outcome],
) -> SettledClaim | None:
    """Settle a claim by the content; None if the content can't settle it."""
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
    """Return whether the object contains, or may yet contain, a claim.

    A write that expects a version below the current one never takes effect.
    """
    record = content.records.get(key)
    if record is not None:
        return record.claim_id == release.claim_id
    return version <= release.fence_version


def _remaining_records(
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
) -> ComposedWrite:
    """Combine releases, outcomes and waiting claims in one write.

    Args:
        content: Current content of the object.
        waiting: Claims by key; those whose key is taken are omitted.
        releases: Claims to remove, by key.
        outcomes: Outcomes to record, by key.
        settings: Limits.
    """
    slot = max([content.slot, *(p.slot for p in waiting.values())])
    records: dict[str, ClaimRecord] = {}
    if slot == content.slot:
        records = _remaining_records(content, releases, outcomes)
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
    return ComposedWrite(ObjectContent(slot, records), batch, refused)
