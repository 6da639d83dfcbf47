"""Decides which VM may send a suspect, and when it is quarantined.

For each suspect one VM, chosen by rendezvous hashing, lets one VM at a time
send it once. A VM that asks tells what it knows, so that the one that
decides knows at least as much. If the two disagree on who decides, each
counts the losses that it learns of and both end in quarantine.
"""

from oriolegate.quarantine import messages
from oriolegate.quarantine.admission import Quarantined
from oriolegate.quarantine.admission import QuarantineEffect
from oriolegate.quarantine.admission import Recheck
from oriolegate.quarantine.admission import Send
from oriolegate.quarantine.evidence import Evidence
from oriolegate.quarantine.evidence import Suspect
from oriolegate.quarantine.fingerprint import by_rank
from oriolegate.quarantine.settings import QuarantineSettings

LOSSES_BEFORE_QUARANTINE = 2
UNKNOWN_UPSTREAM = "?"

Effects = tuple[QuarantineEffect, ...]


class Probation:
    """Leave to send suspects, asked for and given.

    Attributes:
        vm: This process's VM.
        settings: Limits and intervals.
        evidence: What is known of requests and upstreams.
        vms: The VMs between which suspects are divided.
        quarantined_count: Requests put in quarantine by this process.
    """

    def __init__(
        self, vm: str, settings: QuarantineSettings, evidence: Evidence
    ) -> None:
        """Make one that knows of no other VM."""
        self.vm = vm
        self.settings = settings
        self.evidence = evidence
        self.vms: tuple[str, ...] = (vm,)
        self.quarantined_count = 0

    def broadcast(self, message: object) -> Effects:
        """Return the effects that send a message to every other VM."""
        return tuple(Send(vm, message) for vm in self.vms if vm != self.vm)

    def take_leave(
        self, now_ms: float, fingerprint: int, suspect: Suspect
    ) -> tuple[bool, Effects]:
        """Return whether this VM may send a suspect now, and effects."""
        if self._reports_due(now_ms):
            return False, ()
        if now_ms < suspect.granted_until_ms:
            suspect.granted_until_ms = 0.0
            return True, ()
        owner = by_rank(fingerprint, self.vms)[0]
        if owner == self.vm:
            effects = self._expire_tester(now_ms, fingerprint, suspect)
            if suspect.quarantined or suspect.tester:
                return False, effects
            self._set_tester(now_ms, suspect, self.vm)
            return True, effects
        if now_ms < suspect.asked_at_ms + self.settings.recheck_ms:
            return False, ()
        suspect.asked_at_ms = now_ms
        known = tuple(sorted(suspect.upstreams))
        ask = messages.ProbationAsk(fingerprint, known)
        return False, (Send(owner, ask),)

    def _reports_due(self, now_ms: float) -> bool:
        return now_ms < self.evidence.last_loss_ms + self.settings.report_ms

    def _set_tester(self, now_ms: float, suspect: Suspect, vm: str) -> None:
        # The tester's own time ends earlier, so that its loss report is
        # here before its silence is taken for a loss.
        suspect.tester = vm
        suspect.tester_until_ms = now_ms + 2 * self.settings.probation_ms

    def _expire_tester(
        self, now_ms: float, fingerprint: int, suspect: Suspect
    ) -> Effects:
        if not suspect.tester or now_ms < suspect.tester_until_ms:
            return ()
        # Nobody told how the send ended; it may have crashed the upstream.
        suspect.tester = ""
        return self.blame(now_ms, fingerprint, {UNKNOWN_UPSTREAM})

    def asked(
        self, now_ms: float, vm: str, fingerprint: int, upstreams: set[str]
    ) -> Effects:
        """Answer a VM that asks for leave to send a suspect.

        Args:
            now_ms: Monotonic time.
            vm: The VM that asks.
            fingerprint: The suspect.
            upstreams: Those that the VM knows to be lost with it.
        """
        if not upstreams and self.evidence.is_proven(now_ms, fingerprint):
            return (Send(vm, messages.Verdict(fingerprint, 0.0)),)
        self.evidence.proven.pop(fingerprint, None)
        suspect = self.evidence.make_suspect(now_ms, fingerprint)
        effects = self._expire_tester(now_ms, fingerprint, suspect)
        effects += self.blame(now_ms, fingerprint, upstreams)
        if suspect.quarantined:
            remaining_ms = suspect.until_ms - now_ms
            verdict = messages.Verdict(fingerprint, remaining_ms)
            return (*effects, Send(vm, verdict))
        if suspect.tester not in ("", vm) or self._reports_due(now_ms):
            return effects
        self._set_tester(now_ms, suspect, vm)
        grant = messages.ProbationGrant(fingerprint, self.settings.probation_ms)
        return (*effects, Send(vm, grant))

    def blame(
        self, now_ms: float, fingerprint: int, upstreams: set[str]
    ) -> Effects:
        """Count lost upstreams against a request."""
        suspect = self.evidence.make_suspect(now_ms, fingerprint)
        fresh = upstreams - suspect.upstreams
        if suspect.quarantined or not fresh:
            return ()
        suspect.upstreams |= fresh
        suspect.tester = ""
        suspect.until_ms = now_ms + self.settings.suspicion_ms
        if len(suspect.upstreams) < LOSSES_BEFORE_QUARANTINE:
            return (Recheck(fingerprint),)
        suspect.quarantine(now_ms + self.settings.quarantine_ms)
        self.quarantined_count += 1
        verdict = messages.Verdict(fingerprint, self.settings.quarantine_ms)
        return (
            *self.broadcast(verdict),
            Quarantined(fingerprint, tuple(sorted(suspect.upstreams))),
            Recheck(fingerprint),
        )
