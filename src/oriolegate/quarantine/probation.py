"""Decides which VM may send a suspect, and when it is quarantined.

A suspect is a request that may have crashed an upstream. For each suspect one
owner VM, chosen by rendezvous hashing, permits one VM at a time to send the
suspect once. A request for permission includes the losses known to the
requesting VM, so that the owner knows at least as much. If two VMs disagree on
the owner, each counts the losses reported to it, and both quarantine the
suspect.
"""

from oriolegate.quarantine import messages
from oriolegate.quarantine.admission import Broadcast
from oriolegate.quarantine.admission import Quarantined
from oriolegate.quarantine.admission import QuarantineEffect
from oriolegate.quarantine.admission import Recheck
from oriolegate.quarantine.admission import Send
from oriolegate.quarantine.evidence import Evidence
from oriolegate.quarantine.evidence import Suspect
from oriolegate.quarantine.fingerprint import rendezvous_first
from oriolegate.quarantine.settings import QuarantineSettings

LOSSES_BEFORE_QUARANTINE = 2
UNKNOWN_UPSTREAM = "?"  # for a loss inferred from a missing result

Effects = tuple[QuarantineEffect, ...]


class Probation:
    """Requests and grants permission to send suspects.

    Attributes:
        vm: This process's VM.
        settings: Limits and intervals.
        evidence: Harmless requests, suspects and lost upstreams.
        vms: The VMs among which the ownership of suspects is divided.
        quarantined_count: Requests put in quarantine by this process.
    """

    def __init__(
        self, vm: str, settings: QuarantineSettings, evidence: Evidence
    ) -> None:
        """Create the probation of a VM that knows no other VM."""
        self.vm = vm
        self.settings = settings
        self.evidence = evidence
        self.vms: tuple[str, ...] = (vm,)
        self.quarantined_count = 0

    def request_permission(
        self, now_ms: float, fingerprint: int, suspect: Suspect
    ) -> tuple[bool, Effects]:
        """Use a permission to send a suspect, or request one from its owner.

        Returns:
            Whether this VM may send the suspect now, and effects.
        """
        if self._awaits_loss_reports(now_ms):
            return False, ()
        if now_ms < suspect.granted_until_ms:
            suspect.granted_until_ms = 0.0
            return True, ()
        owner = rendezvous_first(fingerprint, self.vms)
        if owner == self.vm:
            effects = self._expire_probation(now_ms, fingerprint, suspect)
            if suspect.quarantined or suspect.probation_vm:
                return False, effects
            self._start_probation(now_ms, suspect, self.vm)
            return True, effects
        if now_ms < suspect.requested_at_ms + self.settings.recheck_ms:
            return False, ()
        suspect.requested_at_ms = now_ms
        known_losses = tuple(sorted(suspect.upstreams))
        request = messages.ProbationRequest(fingerprint, known_losses)
        return False, (Send(owner, request),)

    def _awaits_loss_reports(self, now_ms: float) -> bool:
        return now_ms < self.evidence.last_loss_ms + self.settings.report_ms

    def _start_probation(
        self, now_ms: float, suspect: Suspect, vm: str
    ) -> None:
        # Longer than the grant itself, so that a loss report arrives before
        # the missing result counts as a loss.
        suspect.probation_vm = vm
        suspect.probation_until_ms = now_ms + 2 * self.settings.probation_ms

    def _expire_probation(
        self, now_ms: float, fingerprint: int, suspect: Suspect
    ) -> Effects:
        if not suspect.probation_vm or now_ms < suspect.probation_until_ms:
            return ()
        # No result was reported; the send may have crashed the upstream.
        suspect.probation_vm = ""
        return self.add_losses(now_ms, fingerprint, {UNKNOWN_UPSTREAM})

    def on_request(
        self, now_ms: float, vm: str, fingerprint: int, upstreams: set[str]
    ) -> Effects:
        """Handle a VM's request for permission to send a suspect.

        Args:
            now_ms: Monotonic time.
            vm: The requesting VM.
            fingerprint: Fingerprint of the suspect.
            upstreams: Upstreams that, as the requesting VM knows, were lost
                while they may have run the suspect.
        """
        if not upstreams and self.evidence.is_harmless(now_ms, fingerprint):
            return (Send(vm, messages.Verdict(fingerprint, 0.0)),)
        self.evidence.harmless_until_ms.pop(fingerprint, None)
        suspect = self.evidence.get_or_add_suspect(now_ms, fingerprint)
        effects = self._expire_probation(now_ms, fingerprint, suspect)
        effects += self.add_losses(now_ms, fingerprint, upstreams)
        if suspect.quarantined:
            remaining_ms = suspect.until_ms - now_ms
            verdict = messages.Verdict(fingerprint, remaining_ms)
            return (*effects, Send(vm, verdict))
        if suspect.probation_vm not in ("", vm) or self._awaits_loss_reports(
            now_ms
        ):
            return effects
        self._start_probation(now_ms, suspect, vm)
        grant = messages.ProbationGrant(fingerprint, self.settings.probation_ms)
        return (*effects, Send(vm, grant))

    def add_losses(
        self, now_ms: float, fingerprint: int, upstreams: set[str]
    ) -> Effects:
        """Add lost upstreams to a suspect; quarantine it at the limit."""
        suspect = self.evidence.get_or_add_suspect(now_ms, fingerprint)
        new_losses = upstreams - suspect.upstreams
        if suspect.quarantined or not new_losses:
            return ()
        suspect.upstreams |= new_losses
        suspect.probation_vm = ""
        suspect.until_ms = now_ms + self.settings.suspicion_ms
        if len(suspect.upstreams) < LOSSES_BEFORE_QUARANTINE:
            return (Recheck(fingerprint),)
        suspect.quarantine(now_ms + self.settings.quarantine_ms)
        self.quarantined_count += 1
        verdict = messages.Verdict(fingerprint, self.settings.quarantine_ms)
        return (
            Broadcast(verdict),
            Quarantined(fingerprint, tuple(sorted(suspect.upstreams))),
            Recheck(fingerprint),
        )
