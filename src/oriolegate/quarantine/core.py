"""Bounds how many upstreams one request crashes, resends included.

A request not known to be harmless is sent to one upstream only: its canary.
Every VM chooses the same upstream for it by rendezvous hashing, so that
sends at the same time through several VMs crash the same one. After a loss,
one VM decides for all who may send the request once more, to another
upstream. After the second loss it is refused everywhere.

What a request is sent to after its canary succeeded is not bounded here.
"""

from oriolegate.quarantine import messages
from oriolegate.quarantine.admission import Admission
from oriolegate.quarantine.admission import Broadcast
from oriolegate.quarantine.admission import CanaryFirst
from oriolegate.quarantine.admission import Cleared
from oriolegate.quarantine.admission import Free
from oriolegate.quarantine.admission import QuarantineEffect
from oriolegate.quarantine.admission import Recheck
from oriolegate.quarantine.admission import Refused
from oriolegate.quarantine.admission import Wait
from oriolegate.quarantine.evidence import Evidence
from oriolegate.quarantine.evidence import Suspect
from oriolegate.quarantine.fingerprint import by_rank
from oriolegate.quarantine.probation import Probation
from oriolegate.quarantine.settings import CanaryMode
from oriolegate.quarantine.settings import QuarantineSettings
from oriolegate.result_codes import ResultCode

NO_EFFECTS: tuple[QuarantineEffect, ...] = ()

Effects = tuple[QuarantineEffect, ...]


class Quarantine:
    """The quarantine as one process sees it.

    Attributes:
        vm: This process's VM.
        settings: Limits and intervals.
        evidence: What is known of requests and upstreams.
        probation: Leave to send suspects.
        in_flight: Sub-requests in flight by leaf, counted by fingerprint.
        canaries: Until when a canary of a request is awaited.
    """

    def __init__(self, vm: str, settings: QuarantineSettings) -> None:
        """Make a quarantine that knows of nothing."""
        self.vm = vm
        self.settings = settings
        self.evidence = Evidence(settings)
        self.probation = Probation(vm, settings, self.evidence)
        self.in_flight: dict[str, dict[int, int]] = {}
        self.canaries: dict[int, float] = {}

    def members_changed(self, vms: tuple[str, ...]) -> None:
        """Divide suspects between these VMs; this one is always among them."""
        self.probation.vms = tuple(sorted({*vms, self.vm}))

    def admit(
        self, now_ms: float, fingerprint: int, upstreams: tuple[str, ...]
    ) -> tuple[Admission, Effects]:
        """Decide how a request may be sent now.

        Args:
            now_ms: Monotonic time.
            fingerprint: The request.
            upstreams: Those that hold a shard of the request by the
                published topology, whatever their health.

        Returns:
            The admission, and effects to carry out.
        """
        if self.evidence.is_proven(now_ms, fingerprint):
            return Free(), NO_EFFECTS
        suspect = self.evidence.suspect(now_ms, fingerprint)
        if suspect is None and not self._canary_wanted(now_ms):
            return Free(), NO_EFFECTS
        if suspect is not None and suspect.quarantined:
            retry_after_ms = suspect.until_ms - now_ms
            refused = Refused(ResultCode.QUARANTINED, retry_after_ms)
            return refused, NO_EFFECTS
        if now_ms < self.canaries.get(fingerprint, 0.0):
            return Wait(self.settings.recheck_ms), NO_EFFECTS
        ranked = by_rank(fingerprint, upstreams)
        target = self._target(now_ms, suspect, ranked)
        if suspect is None and target == ranked[0]:
            hedge = self._hedge_target(now_ms, ranked)
            canary = self._send_canary(now_ms, fingerprint, target, hedge)
            return canary, NO_EFFECTS
        if suspect is None:
            # Another VM's send of it may be what crashed the first choice.
            suspect = self.evidence.make_suspect(now_ms, fingerprint)
            suspect.upstreams.add(ranked[0])
        granted, effects = self.probation.take_leave(
            now_ms, fingerprint, suspect
        )
        if granted:
            return self._send_canary(now_ms, fingerprint, target), effects
        return Wait(self.settings.recheck_ms), effects

    def _canary_wanted(self, now_ms: float) -> bool:
        match self.settings.canary:
            case CanaryMode.ALWAYS:
                return True
            case CanaryMode.WHEN_ALERT:
                return self.evidence.on_alert(now_ms)
            case CanaryMode.NEVER:
                return False

    def _target(
        self, now_ms: float, suspect: Suspect | None, ranked: list[str]
    ) -> str:
        crashed = suspect.upstreams if suspect is not None else set()
        for upstream in ranked:
            lost = self.evidence.lately_lost(now_ms, upstream)
            if upstream not in crashed and not lost:
                return upstream
        return ranked[0]

    def _hedge_target(self, now_ms: float, ranked: list[str]) -> str | None:
        if len(ranked) == 1 or self.evidence.lately_lost(now_ms, ranked[1]):
            return None
        return ranked[1]

    def _send_canary(
        self,
        now_ms: float,
        fingerprint: int,
        upstream: str,
        hedge_upstream: str | None = None,
    ) -> CanaryFirst:
        self.canaries[fingerprint] = now_ms + self.settings.probation_ms
        if len(self.canaries) > self.settings.suspect_entries:
            del self.canaries[next(iter(self.canaries))]
        return CanaryFirst(upstream, hedge_upstream)

    def started(
        self, now_ms: float, fingerprint: int, upstream: str, leaf: str
    ) -> None:
        """Note that a sub-request is sent."""
        counts = self.in_flight.get(leaf)
        if counts is None:
            counts = self.in_flight[leaf] = {}
        counts[fingerprint] = counts.get(fingerprint, 0) + 1

    def finished(
        self,
        now_ms: float,
        fingerprint: int,
        upstream: str,
        leaf: str,
        ran: bool = True,
    ) -> Effects:
        """Note that a sub-request ended without a lost connection.

        Args:
            now_ms: Monotonic time.
            fingerprint: The request.
            upstream: Where it was sent.
            leaf: Where it was sent.
            ran: Whether the leaf answered after it ran the sub-request,
                be it with an error: it did not crash.
        """
        self.count_ended(fingerprint, leaf)
        if fingerprint in self.evidence.proven:
            return NO_EFFECTS
        return self._ended(now_ms, fingerprint, ran)

    def count_ended(self, fingerprint: int, leaf: str) -> None:
        """Do what `finished` does for a request known to be harmless."""
        counts = self.in_flight.get(leaf)
        if counts is None:
            return
        count = counts.get(fingerprint, 0)
        if count > 1:
            counts[fingerprint] = count - 1
        elif count:
            del counts[fingerprint]

    def _ended(self, now_ms: float, fingerprint: int, ran: bool) -> Effects:
        self.canaries.pop(fingerprint, None)
        suspect = self.evidence.suspect(now_ms, fingerprint)
        if suspect is not None and suspect.quarantined:
            return NO_EFFECTS
        if not ran:
            if suspect is not None and suspect.tester == self.vm:
                suspect.tester = ""
            return (Recheck(fingerprint),)
        self.evidence.prove(now_ms, fingerprint)
        if suspect is None:
            return (Recheck(fingerprint),)
        del self.evidence.suspects[fingerprint]
        return (
            Broadcast(messages.Verdict(fingerprint, 0.0)),
            Cleared(fingerprint),
            Recheck(fingerprint),
        )

    def connection_lost(
        self, now_ms: float, upstream: str, leaf: str
    ) -> Effects:
        """Take the loss of a connection as evidence.

        Every request in flight at the leaf may have caused it. Those not
        known to be harmless are suspects; the others only if there are none
        and it is the second upstream that was lost with them.
        """
        self.evidence.lost(now_ms, upstream)
        counts = self.in_flight.pop(leaf, {})
        unproven = [f for f in counts if f not in self.evidence.proven]
        effects: Effects = NO_EFFECTS
        for fingerprint in unproven:
            self.canaries.pop(fingerprint, None)
            effects += self.probation.blame(now_ms, fingerprint, {upstream})
            known = tuple(sorted(self.evidence.suspects[fingerprint].upstreams))
            report = messages.LossReport(fingerprint, known)
            effects += (Broadcast(report),)
        if not unproven:
            self.evidence.doubt(counts, upstream)
        return effects

    def connect_failed(self, now_ms: float, upstream: str) -> None:
        """Note that an upstream can't be reached.

        Nothing was sent there, so no request is suspected for it.
        """
        self.evidence.lost(now_ms, upstream)

    def may_retry(self, now_ms: float, fingerprint: int) -> bool:
        """Return whether a lost sub-request may be sent to another leaf.

        If not, `admit` says how the request may go on.
        """
        if self.evidence.is_proven(now_ms, fingerprint):
            return True
        if self.evidence.suspect(now_ms, fingerprint) is not None:
            return False
        return not self._canary_wanted(now_ms)

    def release(self, now_ms: float, fingerprint: int) -> Effects:
        """Clear a request everywhere because an operator says so."""
        effects = self._clear(now_ms, fingerprint)
        verdict = messages.Verdict(fingerprint, 0.0)
        return (Broadcast(verdict), *effects)

    def _clear(self, now_ms: float, fingerprint: int) -> Effects:
        self.evidence.suspects.pop(fingerprint, None)
        self.evidence.prove(now_ms, fingerprint)
        return (Cleared(fingerprint), Recheck(fingerprint))

    def peer_message(self, now_ms: float, vm: str, message: object) -> Effects:
        """Take one of `quarantine.messages` from another VM."""
        match message:
            case messages.LossReport(fingerprint, upstreams):
                self.evidence.proven.pop(fingerprint, None)
                for upstream in upstreams:
                    self.evidence.lost(now_ms, upstream)
                return self.probation.blame(now_ms, fingerprint, set(upstreams))
            case messages.ProbationAsk(fingerprint, upstreams):
                return self.probation.asked(
                    now_ms, vm, fingerprint, set(upstreams)
                )
            case messages.ProbationGrant(fingerprint, remaining_ms):
                if self.evidence.is_proven(now_ms, fingerprint):
                    # Leave asked for twice; the first send cleared it.
                    return NO_EFFECTS
                suspect = self.evidence.make_suspect(now_ms, fingerprint)
                suspect.granted_until_ms = now_ms + remaining_ms
                return (Recheck(fingerprint),)
            case messages.Verdict(fingerprint, quarantined_ms):
                if not quarantined_ms:
                    return self._clear(now_ms, fingerprint)
                self.evidence.proven.pop(fingerprint, None)
                suspect = self.evidence.make_suspect(now_ms, fingerprint)
                suspect.quarantine(now_ms + quarantined_ms)
                return (Recheck(fingerprint),)
            case _:
                return NO_EFFECTS
