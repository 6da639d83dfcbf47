"""Reads and writes one store object of claims, one call at a time.

The version of the object acts as a fencing token: a claim is granted only
once a write that contains it succeeded against the version that was read, or
once a read returns it. Claims that arrive during a call share the next write.
This module never removes a granted claim on its own.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import attrs

from oriolegate.claims import settlement
from oriolegate.claims.composition import compose
from oriolegate.claims.composition import may_contain
from oriolegate.claims.composition import Outcome
from oriolegate.claims.composition import Release
from oriolegate.claims.composition import settle_by_content
from oriolegate.claims.effects import ReadClass
from oriolegate.claims.effects import WriteClass
from oriolegate.claims.object_content import ObjectContent
from oriolegate.claims.settings import ClaimsSettings
from oriolegate.claims.settlement import PendingClaim
from oriolegate.claims.settlement import SettledClaim

WriterEffect = SettledClaim | ReadClass | WriteClass

FAILURES_BEFORE_REFUSAL = 2  # consecutive failed calls
NEVER_MS = float("inf")


@attrs.define(eq=False)
class ObjectWriter:
    """One VM's view of one object of claims, and its queue of changes.

    Attributes:
        name: Name of the object.
        settings: Limits and intervals.
        next_operation: Returns a new number for a call of the store.
        content: Content of the object at `version`.
        version: The newest known version; -1 if it has to be read.
        as_of_ms: Start of the call that returned or wrote `content`.
        waiting: Claims for the next write, by key.
        batch: Claims in the write in flight, by key.
        written: Content of the write in flight, or None.
        operation: Number of the call in flight, or 0.
        operation_at_ms: When the call in flight started.
        releases: Claims to remove, by key.
        outcomes: Outcomes to record with the next write, by key.
        failures: Failed calls since the last success.
        resume_at_ms: Earliest start of the next call.
        give_up_at_ms: Earliest time at which a claim may time out.
    """

    name: str
    settings: ClaimsSettings
    next_operation: Callable[[], int]
    content: ObjectContent = attrs.field(factory=lambda: ObjectContent(-1, {}))
    version: int = -1
    as_of_ms: float = -NEVER_MS
    waiting: dict[str, PendingClaim] = attrs.field(factory=dict)
    batch: dict[str, PendingClaim] = attrs.field(factory=dict)
    written: ObjectContent | None = None
    operation: int = 0
    operation_at_ms: float = 0.0
    releases: dict[str, Release] = attrs.field(factory=dict)
    outcomes: dict[str, Outcome] = attrs.field(factory=dict)
    failures: int = 0
    resume_at_ms: float = -NEVER_MS
    give_up_at_ms: float = NEVER_MS

    def add(self, now_ms: float, pending: PendingClaim) -> list[WriterEffect]:
        """Queue a claim for the next write."""
        queued = self.queued_claim(pending)
        if queued is not None and queued.claim_id == pending.claim_id:
            return []
        if queued is not None:
            return [settlement.already_claimed(pending, None)]
        if self.is_refusing(now_ms):
            return [self._give_up(now_ms, pending)]
        self.waiting[pending.key.text] = pending
        self.give_up_at_ms = min(self.give_up_at_ms, pending.give_up_at_ms)
        return self.advance(now_ms)

    def queued_claim(self, pending: PendingClaim) -> PendingClaim | None:
        """Return the queued claim of the same key, if any."""
        key = pending.key.text
        return self.waiting.get(key) or self.batch.get(key)

    def is_refusing(self, now_ms: float) -> bool:
        """Return whether the store is down and the backoff has not ended."""
        return (
            self.failures >= FAILURES_BEFORE_REFUSAL
            and now_ms < self.resume_at_ms
        )

    def release(
        self, now_ms: float, key: str, claim_id: str, fence_version: int = -1
    ) -> None:
        """Queue the removal of a claim whose request never runs.

        Args:
            now_ms: Monotonic time.
            key: The idempotency key.
            claim_id: Claim to remove; a claim by another send stays.
            fence_version: Expected version of this VM's newest write that
                contains the claim and may still take effect, or -1.
        """
        if key not in self.content.records:
            # The claim may have been written since the last read.
            self.version = -1
        drop_at_ms = now_ms + self.settings.release_timeout_ms
        self.releases[key] = Release(claim_id, fence_version, drop_at_ms)

    def expire(self, now_ms: float) -> list[WriterEffect]:
        """Refuse expired claims and end a call that timed out."""
        effects: list[WriterEffect] = []
        if now_ms >= self.give_up_at_ms:
            effects += self._expire_claims(now_ms)
        for key, release in list(self.releases.items()):
            if now_ms >= release.drop_at_ms:
                del self.releases[key]
        if self.operation and now_ms >= self._operation_due_ms():
            effects += self.on_failure(now_ms)
        return effects

    def _expire_claims(self, now_ms: float) -> list[WriterEffect]:
        effects: list[WriterEffect] = []
        for claims in (self.waiting, self.batch):
            for pending in list(claims.values()):
                if now_ms >= pending.give_up_at_ms:
                    del claims[pending.key.text]
                    effects.append(self._give_up(now_ms, pending))
        remaining = [*self.waiting.values(), *self.batch.values()]
        self.give_up_at_ms = min(
            (pending.give_up_at_ms for pending in remaining), default=NEVER_MS
        )
        return effects

    def _give_up(self, now_ms: float, pending: PendingClaim) -> SettledClaim:
        # This VM never dispatches a refused request, so its claim may be
        # removed whether or not a write that contains the claim takes effect. A
        # claim of another VM stays: that VM may have read and granted it.
        written = pending.fence_version >= 0 or pending.forwarded
        if written and not pending.origin:
            key = pending.key.text
            self.release(now_ms, key, pending.claim_id, pending.fence_version)
        if now_ms >= pending.deadline_at_ms:
            return settlement.deadline_passed(pending)
        return settlement.store_down(pending)

    def _operation_due_ms(self) -> float:
        return self.operation_at_ms + self.settings.operation_timeout_ms

    def wake_at_ms(self) -> float:
        """Return when `expire` and `advance` have to be called next."""
        if self.operation:
            return min(self.give_up_at_ms, self._operation_due_ms())
        if self.waiting or self.releases:
            return min(self.give_up_at_ms, self.resume_at_ms)
        return NEVER_MS

    def is_idle(self) -> bool:
        """Return whether nothing is queued and no call is in flight."""
        return not (
            self.waiting or self.batch or self.operation or self.releases
        )

    def on_read_done(
        self, now_ms: float, version: int, value: Mapping[str, Any] | None
    ) -> list[WriterEffect]:
        """Handle the content that a read returned."""
        try:
            content = ObjectContent.decode(value)
        except (KeyError, TypeError, ValueError):
            return self.on_failure(now_ms)
        self._on_success(content, version)
        return self.advance(now_ms)

    def on_write_done(self, now_ms: float, version: int) -> list[WriterEffect]:
        """Grant the claims of a write that took effect."""
        if self.written is not None:
            self._on_success(self.written, version)
        batch, self.batch = self.batch, {}
        self.outcomes = {
            key: outcome
            for key, outcome in self.outcomes.items()
            if self._lacks_outcome(key)
        }
        return [*map(settlement.granted, batch.values()), *self.advance(now_ms)]

    def _lacks_outcome(self, key: str) -> bool:
        record = self.content.records.get(key)
        return record is not None and record.outcome is None

    def _on_success(self, content: ObjectContent, version: int) -> None:
        self.operation = 0
        self.written = None
        self.failures = 0
        self.content = content
        self.version = version
        self.as_of_ms = self.operation_at_ms

    def on_write_conflict(self, now_ms: float) -> list[WriterEffect]:
        """Read the object again after another VM wrote it first."""
        self.failures = 0
        self._requeue()
        return self.advance(now_ms)

    def on_failure(self, now_ms: float) -> list[WriterEffect]:
        """Back off after a failed call; a write may have taken effect.

        The claims of such a write wait until a read shows whether they are
        stored.
        """
        self._requeue()
        self.failures += 1
        delay_ms = self.settings.backoff_ms * 2.0 ** min(self.failures - 1, 10)
        delay_ms = min(delay_ms, self.settings.max_backoff_ms)
        self.resume_at_ms = now_ms + delay_ms
        if self.failures < FAILURES_BEFORE_REFUSAL:
            return []
        waiting, self.waiting = self.waiting, {}
        return [self._give_up(now_ms, p) for p in waiting.values()]

    def _requeue(self) -> None:
        self.operation = 0
        self.written = None
        self.version = -1
        self.waiting = {**self.batch, **self.waiting}
        self.batch = {}

    def advance(self, now_ms: float) -> list[WriterEffect]:
        """Settle claims from the content and start the next call if needed."""
        if self.operation or not (self.waiting or self.releases):
            return []
        if now_ms < self.resume_at_ms:
            return []
        if self.version < 0:
            return [self._start_read(now_ms)]
        effects = self._settle_from_content()
        self.releases = {
            key: release
            for key, release in self.releases.items()
            if may_contain(self.content, self.version, key, release)
        }
        effects += self._start_write(now_ms)
        if self.waiting and not self.operation:
            # Other sends have claimed the remaining keys, but may have released
            # them since the last read.
            effects.append(self._start_read(now_ms))
        return effects

    def _settle_from_content(self) -> list[WriterEffect]:
        """Settle the claims that the content decides."""
        effects: list[WriterEffect] = []
        for key, pending in list(self.waiting.items()):
            settled = settle_by_content(
                self.content, pending, self.releases, self.outcomes
            )
            if settled is None:
                continue
            if settled.refusal and self.as_of_ms < pending.arrived_at_ms:
                continue
            del self.waiting[key]
            effects.append(settled)
        return effects

    def _start_read(self, now_ms: float) -> ReadClass:
        self._start_call(now_ms)
        return ReadClass(self.operation, self.name)

    def _start_call(self, now_ms: float) -> None:
        self.operation = self.next_operation()
        self.operation_at_ms = now_ms

    def _start_write(self, now_ms: float) -> list[WriterEffect]:
        composed = compose(
            self.content,
            self.waiting,
            self.releases,
            self.outcomes,
            self.settings,
        )
        effects: list[WriterEffect] = [*composed.refused]
        for settled in composed.refused:
            del self.waiting[settled.pending.key.text]
        if not (composed.batch or self.releases):
            return effects
        self._start_call(now_ms)
        self.resume_at_ms = now_ms + self.settings.min_write_interval_ms
        self.written = composed.content
        self.batch = composed.batch
        for key, pending in composed.batch.items():
            pending.fence_version = self.version
            del self.waiting[key]
        value = composed.content.encode()
        effects.append(
            WriteClass(self.operation, self.name, value, self.version)
        )
        return effects
