"""Accept one edit of the rules: a state machine without I/O.

Order of writes: the version to be replaced is first stored as `history-N`,
which is created once and never changed; then `accepted` is replaced by a
conditional update. So the text of each version is in `accepted` or in its
history object at all times, whichever call is lost.

If the answer to the second write is lost, the outcome is determined by
reading `accepted` and looking for this edit's id; if newer versions followed,
by reading the history object. Until then the edit is not merged again, so it
can't be accepted twice. Once `Unknown` was reported to the operator, objects
are only read, not written.
"""

import attrs

from oriolegate.rules import acceptance_messages as messages
from oriolegate.rules import acceptance_outcomes as outcomes
from oriolegate.rules.acceptance_phases import AcceptanceLimits
from oriolegate.rules.acceptance_phases import Finished
from oriolegate.rules.acceptance_phases import Phase
from oriolegate.rules.acceptance_phases import ReadingAccepted
from oriolegate.rules.acceptance_phases import ReadingBase
from oriolegate.rules.acceptance_phases import ReadingOutcome
from oriolegate.rules.acceptance_phases import WritingAccepted
from oriolegate.rules.acceptance_phases import WritingHistory
from oriolegate.rules.model import Document
from oriolegate.rules.parser import LineCache
from oriolegate.rules.proposal import check_text
from oriolegate.rules.proposal import Proposal
from oriolegate.rules.proposal import propose
from oriolegate.rules.stored_rules import ACCEPTED
from oriolegate.rules.stored_rules import history_path
from oriolegate.rules.stored_rules import NO_RULES
from oriolegate.rules.stored_rules import ObjectPath
from oriolegate.rules.stored_rules import parse_stored_rules
from oriolegate.rules.stored_rules import StoredRules


class RulesAcceptor:
    """Accepts, merges or refuses one edit.

    Attributes:
        phase: Current phase.
        unconfirmed: The proposal whose write may have taken effect, or None.
        reported_unknown: Whether `Unknown` was reported to the operator.
        document: The edit's text, parsed.
        base: The version that the edit is based on, once it was read from
            history.
        proposals: Number of attempts to merge or write the edit.
        call_id: Id of the latest store call; answers to older calls are
            ignored.
        answer_deadline_ms: Latest time at which a result is reported.
        retry_at_ms: Time at which the phase's call is repeated, or None.
    """

    def __init__(
        self,
        edit: messages.RulesEdit,
        limits: AcceptanceLimits | None = None,
        cache: LineCache | None = None,
    ) -> None:
        self.edit = edit
        self.cache = LineCache() if cache is None else cache
        self.limits = limits or AcceptanceLimits()
        self.phase: Phase = ReadingAccepted()
        self.unconfirmed: Proposal | None = None
        self.reported_unknown = False
        self.document = Document()
        self.base: StoredRules | None = None
        self.proposals = 0
        self.call_id = 0
        self.now_ms = 0.0
        self.answer_deadline_ms = 0.0
        self.retry_at_ms: float | None = None
        self.retry_delay_ms = self.limits.retry_delay_ms

    @property
    def finished(self) -> bool:
        """Whether the final result was reported."""
        return isinstance(self.phase, Finished)

    def step(
        self, now_ms: float, event: messages.AcceptanceEvent
    ) -> list[messages.AcceptanceEffect]:
        """Handle one event.

        Args:
            now_ms: Monotonic time.
            event: The event; answers to older calls are ignored.

        Returns:
            The effects to carry out, in order.
        """
        self.now_ms = now_ms
        if self.finished:
            return []
        match event:
            case messages.EditStarted():
                return self._on_edit_started()
            case messages.TimerFired():
                return self._on_timer_fired()
            case _ if event.call_id != self.call_id:
                return []
            case messages.CallFailed():
                return self._retry_later()
            case messages.ObjectFound():
                return self._on_object_found(event)
            case messages.ObjectAbsent():
                return self._on_object_absent()
            case messages.WriteDone():
                return self._on_write_done()
            case messages.WriteRejected():
                return self._on_write_rejected()

    def _on_edit_started(self) -> list[messages.AcceptanceEffect]:
        parsed = check_text(self.edit.text, self.cache)
        if parsed.is_error():
            return self._finish(messages.Invalid(parsed.error))
        self.document = parsed.ok
        self.answer_deadline_ms = self.now_ms + self.limits.answer_timeout_ms
        return [messages.WakeAt(self.answer_deadline_ms), *self._make_call()]

    def _on_timer_fired(self) -> list[messages.AcceptanceEffect]:
        effects: list[messages.AcceptanceEffect] = []
        if self.now_ms >= self.answer_deadline_ms and not self.reported_unknown:
            if self.unconfirmed is None:
                return self._finish(messages.Unavailable(outcomes.NO_ANSWER))
            self.reported_unknown = True
            effects.append(messages.Report(messages.Unknown(outcomes.UNKNOWN)))
        if self.retry_at_ms is not None and self.now_ms >= self.retry_at_ms:
            effects += self._make_call()
        return effects

    def _enter_phase(self, phase: Phase) -> list[messages.AcceptanceEffect]:
        self.phase = phase
        return self._make_call()

    def _make_call(self) -> list[messages.AcceptanceEffect]:
        """Start the current phase's store call; cancel a scheduled retry."""
        self.call_id += 1
        self.retry_at_ms = None
        match self.phase:
            case ReadingAccepted():
                return [messages.ReadObject(self.call_id, ACCEPTED)]
            case ReadingBase():
                return [self._read_history(self.edit.base)]
            case ReadingOutcome(proposal=proposal):
                return [self._read_history(proposal.stored.version)]
            case WritingHistory(current=current):
                path = history_path(current.version)
                return [self._write(path, current, 0)]
            case WritingAccepted(proposal=proposal):
                self.unconfirmed = proposal
                stored = proposal.stored
                return [self._write(ACCEPTED, stored, stored.version - 1)]
            case Finished():
                return []

    def _read_history(self, version: int) -> messages.ReadObject:
        return messages.ReadObject(self.call_id, history_path(version))

    def _write(
        self, path: ObjectPath, stored: StoredRules, expected_version: int
    ) -> messages.WriteObject:
        return messages.WriteObject(
            self.call_id, path, stored.to_value(), expected_version
        )

    def _retry_later(self) -> list[messages.AcceptanceEffect]:
        """Schedule the next store call; after a failed write, read first."""
        if isinstance(self.phase, WritingAccepted):
            self.phase = ReadingAccepted()
        self.retry_at_ms = self.now_ms + self.retry_delay_ms
        self.retry_delay_ms = min(
            2 * self.retry_delay_ms, self.limits.max_retry_delay_ms
        )
        return [messages.WakeAt(self.retry_at_ms)]

    def _finish(
        self, result: messages.AcceptanceResult
    ) -> list[messages.AcceptanceEffect]:
        self.phase = Finished()
        return [messages.Report(result)]

    def _on_object_found(
        self, event: messages.ObjectFound
    ) -> list[messages.AcceptanceEffect]:
        stored = parse_stored_rules(event.value)
        if stored is None:
            return self._finish_undetermined(outcomes.UNREADABLE)
        match self.phase:
            case ReadingAccepted():
                return self._on_accepted_read(
                    attrs.evolve(stored, version=event.version)
                )
            case ReadingBase(current=current):
                self.base = stored
                return self._propose(current, stored)
            case ReadingOutcome(current=current, proposal=proposal):
                return self._resolve_unconfirmed(proposal, stored, current)
            case _:
                return []

    def _finish_undetermined(
        self, message: str
    ) -> list[messages.AcceptanceEffect]:
        """End with `Unknown` if a write may have taken effect."""
        if self.unconfirmed is None:
            return self._finish(messages.Unavailable(message))
        return self._finish(messages.Unknown(message))

    def _on_object_absent(self) -> list[messages.AcceptanceEffect]:
        match self.phase:
            case ReadingAccepted():
                return self._on_accepted_read(NO_RULES)
            case ReadingBase(current=current):
                base = self.edit.base
                return self._finish(outcomes.base_not_kept(base, current))
            case _:
                return self._finish_undetermined(outcomes.OUTCOME_NOT_KEPT)

    def _on_accepted_read(
        self, current: StoredRules
    ) -> list[messages.AcceptanceEffect]:
        if self.unconfirmed is not None:
            return self._check_unconfirmed(current, self.unconfirmed)
        base = self.edit.base
        if base > current.version:
            return self._finish(outcomes.base_too_new(base, current))
        if base == current.version:
            return self._propose(current, current)
        if base == 0:
            return self._propose(current, NO_RULES)
        if self.base is not None:
            return self._propose(current, self.base)
        return self._enter_phase(ReadingBase(current))

    def _check_unconfirmed(
        self, current: StoredRules, proposal: Proposal
    ) -> list[messages.AcceptanceEffect]:
        """Compare the accepted version with the unconfirmed write's."""
        if current.version == proposal.stored.version:
            return self._resolve_unconfirmed(proposal, current, current)
        if current.version > proposal.stored.version:
            return self._enter_phase(ReadingOutcome(current, proposal))
        self.proposals += 1
        if self.reported_unknown or self._has_spent_proposals():
            return self._retry_later()
        # The first write may still arrive. Repeating the write is safe: only
        # one of the two writes can match the expected version.
        return self._enter_phase(WritingAccepted(proposal))

    def _resolve_unconfirmed(
        self, proposal: Proposal, outcome: StoredRules, current: StoredRules
    ) -> list[messages.AcceptanceEffect]:
        if outcome.edit_id == self.edit.edit_id:
            return self._finish_accepted(proposal)
        self.unconfirmed = None
        if self.reported_unknown:
            return self._finish(messages.Unavailable(outcomes.OVERTAKEN))
        return self._on_accepted_read(current)

    def _has_spent_proposals(self) -> bool:
        return self.proposals > self.limits.max_proposals

    def _propose(
        self, current: StoredRules, base: StoredRules
    ) -> list[messages.AcceptanceEffect]:
        self.proposals += 1
        if self._has_spent_proposals():
            return self._finish(messages.Unavailable(outcomes.OVERTAKEN))
        proposed = propose(self.edit, self.document, current, base, self.cache)
        if proposed.is_error():
            return self._finish(proposed.error)
        proposal = proposed.ok
        if self.edit.dry_run:
            return self._finish(
                messages.DryRun(
                    current.version, proposal.changes, proposal.others
                )
            )
        if proposal.stored is current:
            return self._finish(messages.Accepted(current.version, ()))
        if current.version == 0:
            return self._enter_phase(WritingAccepted(proposal))
        return self._enter_phase(WritingHistory(current, proposal))

    def _on_write_done(self) -> list[messages.AcceptanceEffect]:
        match self.phase:
            case WritingHistory(proposal=proposal):
                return self._enter_phase(WritingAccepted(proposal))
            case WritingAccepted(proposal=proposal):
                return self._finish_accepted(proposal)
            case _:
                return []

    def _on_write_rejected(self) -> list[messages.AcceptanceEffect]:
        match self.phase:
            case WritingHistory(proposal=proposal):
                return self._enter_phase(WritingAccepted(proposal))
            case _:
                return self._enter_phase(ReadingAccepted())

    def _finish_accepted(
        self, proposal: Proposal
    ) -> list[messages.AcceptanceEffect]:
        self.phase = Finished()
        return outcomes.success(proposal, self.limits)
