"""Accepts one edit of the rules; a state machine without I/O.

Order of writes: the version about to be replaced is first kept as
`history-N`, created once and never changed; then `accepted` is replaced by
a conditional update. So each version's text is in `accepted` or in its
history object at every moment, whatever is lost in between.

A lost answer to the second write is settled by reading `accepted` back for
this edit's own id, or the history object if others came after. Until then
the edit is not merged again, so it can't be accepted twice. Once an operator
was told `Unknown` nothing more is written, only read.
"""

import attrs

from oriolegate.rules import acceptance_messages as messages
from oriolegate.rules import acceptance_outcomes as outcomes
from oriolegate.rules.acceptance_phases import AcceptanceLimits
from oriolegate.rules.acceptance_phases import Finished
from oriolegate.rules.acceptance_phases import KeepingHistory
from oriolegate.rules.acceptance_phases import Phase
from oriolegate.rules.acceptance_phases import ReadingAccepted
from oriolegate.rules.acceptance_phases import ReadingBase
from oriolegate.rules.acceptance_phases import ReadingOutcome
from oriolegate.rules.acceptance_phases import WritingAccepted
from oriolegate.rules.model import Document
from oriolegate.rules.parser import LineCache
from oriolegate.rules.proposal import check_text
from oriolegate.rules.proposal import Proposal
from oriolegate.rules.proposal import propose
from oriolegate.rules.stored_rules import ACCEPTED
from oriolegate.rules.stored_rules import history_path
from oriolegate.rules.stored_rules import NO_RULES
from oriolegate.rules.stored_rules import ObjectPath
from oriolegate.rules.stored_rules import read_stored
from oriolegate.rules.stored_rules import StoredRules


class RulesAcceptor:
    """Accepts, merges or refuses one edit.

    Attributes:
        phase: What the machine is doing.
        unsettled: The proposal whose write may have taken effect, or None.
        reported_unknown: Whether the operator was told `Unknown`.
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
        self.unsettled: Proposal | None = None
        self.reported_unknown = False
        self.document = Document()
        self.base: StoredRules | None = None
        self.proposals = 0
        self.call_id = 0
        self.now_ms = 0.0
        self.answer_at_ms = 0.0
        self.retry_at_ms: float | None = None
        self.retry_delay_ms = self.limits.retry_delay_ms

    @property
    def finished(self) -> bool:
        """Whether the last report was made."""
        return isinstance(self.phase, Finished)

    def step(
        self, now_ms: float, event: messages.AcceptanceEvent
    ) -> list[messages.AcceptanceEffect]:
        """Take one event.

        Args:
            now_ms: Monotonic time.
            event: What happened; answers to older calls are ignored.

        Returns:
            What to do, in order.
        """
        self.now_ms = now_ms
        if self.finished:
            return []
        match event:
            case messages.EditStarted():
                return self._start()
            case messages.Woken():
                return self._wake()
            case _ if event.call_id != self.call_id:
                return []
            case messages.CallFailed():
                return self._retry_later()
            case messages.ObjectFound():
                return self._found(event)
            case messages.ObjectAbsent():
                return self._absent()
            case messages.WriteDone():
                return self._written()
            case messages.WriteRejected():
                return self._rejected()

    def _start(self) -> list[messages.AcceptanceEffect]:
        parsed = check_text(self.edit.text, self.cache)
        if parsed.is_error():
            return self._finish(messages.Invalid(parsed.error))
        self.document = parsed.ok
        self.answer_at_ms = self.now_ms + self.limits.answer_within_ms
        return [messages.WakeAt(self.answer_at_ms), *self._call()]

    def _wake(self) -> list[messages.AcceptanceEffect]:
        effects: list[messages.AcceptanceEffect] = []
        if self.now_ms >= self.answer_at_ms and not self.reported_unknown:
            if self.unsettled is None:
                return self._finish(messages.Unavailable(outcomes.NO_ANSWER))
            self.reported_unknown = True
            effects.append(messages.Report(messages.Unknown(outcomes.UNKNOWN)))
        if self.retry_at_ms is not None and self.now_ms >= self.retry_at_ms:
            effects += self._call()
        return effects

    def _enter(self, phase: Phase) -> list[messages.AcceptanceEffect]:
        self.phase = phase
        return self._call()

    def _call(self) -> list[messages.AcceptanceEffect]:
        """Make the call of the present phase."""
        self.call_id += 1
        self.retry_at_ms = None
        match self.phase:
            case ReadingAccepted():
                return [messages.ReadObject(self.call_id, ACCEPTED)]
            case ReadingBase():
                return [self._read_history(self.edit.base)]
            case ReadingOutcome(proposal=proposal):
                return [self._read_history(proposal.stored.version)]
            case KeepingHistory(present=present):
                path = history_path(present.version)
                return [self._write(path, present, 0)]
            case WritingAccepted(proposal=proposal):
                self.unsettled = proposal
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

    def _found(
        self, event: messages.ObjectFound
    ) -> list[messages.AcceptanceEffect]:
        stored = read_stored(event.value)
        if stored is None:
            return self._cannot_tell(outcomes.UNREADABLE)
        match self.phase:
            case ReadingAccepted():
                return self._found_accepted(
                    attrs.evolve(stored, version=event.version)
                )
            case ReadingBase(present=present):
                self.base = stored
                return self._propose(present, stored)
            case ReadingOutcome(present=present, proposal=proposal):
                return self._settle(proposal, stored, present)
            case _:
                return []

    def _cannot_tell(self, message: str) -> list[messages.AcceptanceEffect]:
        if self.unsettled is None:
            return self._finish(messages.Unavailable(message))
        return self._finish(messages.Unknown(message))

    def _absent(self) -> list[messages.AcceptanceEffect]:
        match self.phase:
            case ReadingAccepted():
                return self._found_accepted(NO_RULES)
            case ReadingBase(present=present):
                base = self.edit.base
                return self._finish(outcomes.base_not_kept(base, present))
            case _:
                return self._cannot_tell(outcomes.NOT_KEPT)

    def _found_accepted(
        self, present: StoredRules
    ) -> list[messages.AcceptanceEffect]:
        if self.unsettled is not None:
            return self._found_unsettled(present, self.unsettled)
        base = self.edit.base
        if base > present.version:
            return self._finish(outcomes.base_too_new(base, present))
        if base == present.version:
            return self._propose(present, present)
        if base == 0:
            return self._propose(present, NO_RULES)
        if self.base is not None:
            return self._propose(present, self.base)
        return self._enter(ReadingBase(present))

    def _found_unsettled(
        self, present: StoredRules, proposal: Proposal
    ) -> list[messages.AcceptanceEffect]:
        if present.version == proposal.stored.version:
            return self._settle(proposal, present, present)
        if present.version > proposal.stored.version:
            return self._enter(ReadingOutcome(present, proposal))
        self.proposals += 1
        if self.reported_unknown or self._tries_spent():
            return self._retry_later()
        # The first write may still be on its way. Sending it again is safe:
        # only one of the two can meet the expected version.
        return self._enter(WritingAccepted(proposal))

    def _settle(
        self, proposal: Proposal, outcome: StoredRules, present: StoredRules
    ) -> list[messages.AcceptanceEffect]:
        if outcome.edit_id == self.edit.edit_id:
            return self._succeed(proposal)
        self.unsettled = None
        if self.reported_unknown:
            return self._finish(messages.Unavailable(outcomes.OVERTAKEN))
        return self._found_accepted(present)

    def _tries_spent(self) -> bool:
        return self.proposals > self.limits.max_proposals

    def _propose(
        self, present: StoredRules, base: StoredRules
    ) -> list[messages.AcceptanceEffect]:
        self.proposals += 1
        if self._tries_spent():
            return self._finish(messages.Unavailable(outcomes.OVERTAKEN))
        proposed = propose(self.edit, self.document, present, base, self.cache)
        if proposed.is_error():
            return self._finish(proposed.error)
        proposal = proposed.ok
        if self.edit.dry_run:
            return self._finish(
                messages.DryRun(
                    present.version, proposal.changes, proposal.others
                )
            )
        if proposal.stored is present:
            return self._finish(messages.Accepted(present.version, ()))
        if present.version == 0:
            return self._enter(WritingAccepted(proposal))
        return self._enter(KeepingHistory(present, proposal))

    def _written(self) -> list[messages.AcceptanceEffect]:
        match self.phase:
            case KeepingHistory(proposal=proposal):
                return self._enter(WritingAccepted(proposal))
            case WritingAccepted(proposal=proposal):
                return self._succeed(proposal)
            case _:
                return []

    def _rejected(self) -> list[messages.AcceptanceEffect]:
        match self.phase:
            case KeepingHistory(proposal=proposal):
                return self._enter(WritingAccepted(proposal))
            case _:
                return self._enter(ReadingAccepted())

    def _succeed(self, proposal: Proposal) -> list[messages.AcceptanceEffect]:
        self.phase = Finished()
        return outcomes.success(proposal, self.limits)
