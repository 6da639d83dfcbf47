"""Decides which non-idempotent requests may run.

A request may run once its idempotency key has been claimed in the platform's
store by a conditional update. Claims do not expire, so a process that was
paused between grant and dispatch needs no new check.

Invariants: a key is never granted twice; a refused request is never granted;
a granted claim is removed only if its request is known to have never run.
"""

from oriolegate.claims import buckets
from oriolegate.claims import events
from oriolegate.claims import messages
from oriolegate.claims import settlement
from oriolegate.claims.claim_forwarder import ClaimForwarder
from oriolegate.claims.composition import Outcome
from oriolegate.claims.effects import ClaimGranted
from oriolegate.claims.effects import ClaimRefused
from oriolegate.claims.effects import ClaimsEffect
from oriolegate.claims.effects import ReadClass
from oriolegate.claims.effects import SendToPeer
from oriolegate.claims.effects import SetTimer
from oriolegate.claims.effects import WriteClass
from oriolegate.claims.granted_claims import ClaimCounts
from oriolegate.claims.granted_claims import GrantedClaims
from oriolegate.claims.keys import IdempotencyKey
from oriolegate.claims.keys import parse_key
from oriolegate.claims.keys import read_key
from oriolegate.claims.object_writer import ObjectWriter
from oriolegate.claims.object_writer import WriterEffect
from oriolegate.claims.settings import ClaimsSettings
from oriolegate.claims.settlement import PendingClaim
from oriolegate.claims.settlement import SettledClaim
from oriolegate.claims.writer_table import WriterTable
from oriolegate.result_codes import RunState

NEVER_MS = float("inf")


class ClaimManager:
    """The claims of one process.

    Attributes:
        vm: Name of this VM.
        settings: Limits and intervals.
        counts: Totals for metrics.
        writers: Writers of the store objects.
        forwarder: Claims forwarded to the owners of their buckets.
        granted: Claims granted by this process.
    """

    def __init__(
        self, vm: str, incarnation: str, settings: ClaimsSettings
    ) -> None:
        """Create a manager without claims.

        Args:
            vm: Name of this VM.
            incarnation: Identifies this process among all that ran on the VM.
            settings: Limits and intervals.
        """
        self.vm = vm
        self.settings = settings
        self.claim_id_prefix = f"{vm}/{incarnation}/"
        self.counts = ClaimCounts()
        self.writers = WriterTable(settings)
        self.forwarder = ClaimForwarder(vm, settings)
        self.granted = GrantedClaims(settings.granted_capacity)
        self.claim_counter = 0
        self.timer_at_ms = NEVER_MS

    def step(
        self, now_ms: float, event: events.ClaimsEvent
    ) -> list[ClaimsEffect]:
        """Handle one event.

        Args:
            now_ms: Monotonic time.
            event: Event to handle.

        Returns:
            Effects to carry out, in order.
        """
        if isinstance(event, events.TimerFired):
            self.timer_at_ms = NEVER_MS
        effects = self._expire(now_ms)
        effects += self._handle(now_ms, event)
        for writer in self.writers.busy_writers():
            effects += self._apply_writer_effects(
                writer, writer.advance(now_ms)
            )
        return effects + self._set_timer()

    def _handle(
        self, now_ms: float, event: events.ClaimsEvent
    ) -> list[ClaimsEffect]:
        match event:
            case events.ClaimRequested():
                return self._on_claim_requested(now_ms, event)
            case events.OutcomeKnown():
                self._on_outcome_known(now_ms, event)
            case events.OwnersChanged(vms):
                self.forwarder.set_vms(vms)
            case events.PeerMessageReceived(vm, message):
                return self._on_peer_message(now_ms, vm, message)
            case events.ProcessPaused():
                self.writers.forget_versions()
            case events.TimerFired():
                pass
            case _:
                return self._on_operation_ended(now_ms, event)
        return []

    def _on_operation_ended(
        self,
        now_ms: float,
        event: events.ReadDone
        | events.ReadFailed
        | events.WriteDone
        | events.WriteConflict
        | events.WriteFailed,
    ) -> list[ClaimsEffect]:
        writer = self.writers.pop_operation(event.operation)
        if writer is None:
            return []  # the call timed out; a later read settles its claims
        effects: list[WriterEffect]
        match event:
            case events.ReadDone(_, version, value):
                effects = writer.on_read_done(now_ms, version, value)
            case events.WriteDone(_, version):
                effects = writer.on_write_done(now_ms, version)
            case events.WriteConflict():
                self.counts.conflicts += 1
                effects = writer.on_write_conflict(now_ms)
            case _:
                self.counts.failures += 1
                effects = writer.on_failure(now_ms)
        return self._apply_writer_effects(writer, effects)

    def _on_claim_requested(
        self, now_ms: float, event: events.ClaimRequested
    ) -> list[ClaimsEffect]:
        parsed = parse_key(event.key, event.wall_ms, self.settings)
        if parsed.is_error():
            self.counts.refused += 1
            rejection = parsed.error
            return [
                ClaimRefused(
                    event.request_id,
                    rejection.code,
                    rejection.run_state,
                    rejection.message,
                )
            ]
        self.claim_counter += 1
        claim_id = f"{self.claim_id_prefix}{self.claim_counter}"
        pending = self._new_pending_claim(
            now_ms, parsed.ok, claim_id, event.deadline_at_ms
        )
        pending.request_id = event.request_id
        return self._start_claim(now_ms, pending)

    def _start_claim(
        self, now_ms: float, pending: PendingClaim
    ) -> list[ClaimsEffect]:
        known = self.granted.by_key.get(pending.key.text)
        if known is not None:
            return self._settle(
                settlement.already_claimed(pending, known.outcome)
            )
        if pending.key.text in self.forwarder.claims:
            return self._settle(settlement.already_claimed(pending, None))
        if now_ms >= pending.deadline_at_ms:
            return self._settle(settlement.deadline_passed(pending))
        writer = self.writers.writer(now_ms, pending)
        owner = self.forwarder.owner(pending)
        if owner is None or writer.queued_claim(pending):
            return self._apply_writer_effects(
                writer, writer.add(now_ms, pending)
            )
        self.forwarder.add(pending)
        self.counts.forwarded += 1
        remaining_ms = pending.deadline_at_ms - now_ms
        message = messages.ForwardedClaim(
            pending.key.text, pending.claim_id, remaining_ms
        )
        return [SendToPeer(owner, message)]

    def _new_pending_claim(
        self,
        now_ms: float,
        key: IdempotencyKey,
        claim_id: str,
        deadline_at_ms: float,
    ) -> PendingClaim:
        return PendingClaim(
            key=key,
            slot=buckets.slot_of(key, self.settings),
            claim_id=claim_id,
            arrived_at_ms=now_ms,
            deadline_at_ms=deadline_at_ms,
            give_up_at_ms=min(
                deadline_at_ms, now_ms + self.settings.claim_timeout_ms
            ),
        )

    def _on_outcome_known(
        self, now_ms: float, event: events.OutcomeKnown
    ) -> None:
        known = self.granted.by_key.get(event.key)
        if known is None or known.pending.request_id != event.request_id:
            return
        writer = self.writers.writer(now_ms, known.pending)
        claim_id = known.pending.claim_id
        match event.run_state:
            case RunState.NOT_RUN:
                del self.granted.by_key[event.key]
                writer.release(now_ms, event.key, claim_id)
            case RunState.RAN:
                known.outcome = event.code
                writer.outcomes[event.key] = Outcome(claim_id, event.code)
            case RunState.MAY_HAVE_RUN:
                pass

    def _on_peer_message(
        self, now_ms: float, vm: str, message: object
    ) -> list[ClaimsEffect]:
        match message:
            case messages.ForwardedClaim(text, claim_id, remaining_ms):
                key = read_key(text)
                if key is None:
                    return []
                pending = self._new_pending_claim(
                    now_ms, key, claim_id, now_ms + remaining_ms
                )
                pending.origin = vm
                writer = self.writers.writer(now_ms, pending)
                return self._apply_writer_effects(
                    writer, writer.add(now_ms, pending)
                )
            case messages.ForwardedClaimResult():
                return self._on_forwarded_result(now_ms, message)
            case _:
                return []

    def _on_forwarded_result(
        self, now_ms: float, result: messages.ForwardedClaimResult
    ) -> list[ClaimsEffect]:
        pending = self.forwarder.take(result.key, result.claim_id)
        if pending is None:
            return []  # already settled, or this VM writes the claim itself
        settled = settlement.from_result(pending, result)
        if settled.refusal and settled.refusal.run_state is RunState.NOT_RUN:
            writer = self.writers.writer(now_ms, pending)
            writer.release(now_ms, result.key, result.claim_id)
        return self._settle(settled)

    def _expire(self, now_ms: float) -> list[ClaimsEffect]:
        effects: list[ClaimsEffect] = []
        for pending in self.forwarder.take_due(now_ms):
            writer = self.writers.writer(now_ms, pending)
            effects += self._apply_writer_effects(
                writer, writer.add(now_ms, pending)
            )
        for writer in self.writers.busy_writers():
            effects += self._apply_writer_effects(writer, writer.expire(now_ms))
        return effects

    def _apply_writer_effects(
        self, writer: ObjectWriter, effects: list[WriterEffect]
    ) -> list[ClaimsEffect]:
        applied: list[ClaimsEffect] = []
        for effect in effects:
            match effect:
                case SettledClaim():
                    applied += self._settle(effect)
                case ReadClass(operation):
                    self.counts.reads += 1
                    self.writers.by_operation[operation] = writer
                    applied.append(effect)
                case WriteClass(operation):
                    self.counts.writes += 1
                    self.writers.by_operation[operation] = writer
                    applied.append(effect)
        return applied

    def _settle(self, settled: SettledClaim) -> list[ClaimsEffect]:
        pending = settled.pending
        if pending.origin:
            return [SendToPeer(pending.origin, settlement.to_result(settled))]
        refusal = settled.refusal
        if refusal is None:
            self.counts.granted += 1
            self.granted.add(pending)
            return [ClaimGranted(pending.request_id)]
        self.counts.refused += 1
        return [
            ClaimRefused(
                pending.request_id,
                refusal.code,
                refusal.run_state,
                refusal.message,
                settled.retry_after_ms,
                settled.outcome,
            )
        ]

    def _set_timer(self) -> list[ClaimsEffect]:
        at_ms = min(self.writers.wake_at_ms(), self.forwarder.due_ms)
        if at_ms >= self.timer_at_ms:
            return []
        self.timer_at_ms = at_ms
        return [SetTimer(at_ms)]
