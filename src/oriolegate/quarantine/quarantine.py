"""Limits how many upstreams one request can crash, resends included.

A request not known to be harmless is first sent to one upstream only, as a
canary. All VMs choose the same upstream for the canary by rendezvous hashing,
so that concurrent sends through several VMs crash the same upstream. After a
loss, a single VM decides which VM may send the request once more, to another
upstream. After the second loss all VMs refuse the request.

After a successful canary the number of upstreams is not limited.
"""

from oriolegate.quarantine import messages
from oriolegate.quarantine.admission import Admission
from oriolegate.quarantine.admission import Admitted
from oriolegate.quarantine.admission import Broadcast
from oriolegate.quarantine.admission import CanaryFirst
from oriolegate.quarantine.admission import Cleared
from oriolegate.quarantine.admission import QuarantineEffect
from oriolegate.quarantine.admission import Recheck
from oriolegate.quarantine.admission import Refused
from oriolegate.quarantine.admission import Wait
from oriolegate.quarantine.evidence import Evidence
from oriolegate.quarantine.evidence import Suspect
from oriolegate.quarantine.fingerprint import rendezvous_order
from oriolegate.quarantine.probation import Probation
from oriolegate.quarantine.settings import CanaryMode
from oriolegate.quarantine.settings import QuarantineSettings
from oriolegate.result_codes import ResultCode

NO_EFFECTS: tuple[QuarantineEffect, ...] = ()

Effects = tuple[QuarantineEffect, ...]


class Quarantine:
    """The quarantine state and decisions of one process.

    Attributes:
        vm: This process's VM.
        settings: Limits and intervals.
        evidence: Harmless requests, suspects and lost upstreams.
        probation: Decides which VM may send a suspect.
        in_flight: Sub-requests in flight by leaf, counted by fingerprint.
        canary_until_ms: Time until which a canary is awaited, by
            fingerprint.
    """

    def __init__(self, vm: str, settings: QuarantineSettings) -> None:
        """Create a quarantine without evidence."""
        self.vm = vm
        self.settings = settings
        self.evidence = Evidence(settings)
        self.probation = Probation(vm, settings, self.evidence)
        self.in_flight: dict[str, dict[int, int]] = {}
        self.canary_until_ms: dict[int, float] = {}

    def on_members_changed(self, vms: tuple[str, ...]) -> None:
        """Divide suspects among these VMs; this VM is always included."""
        self.probation.vms = tuple(sorted({*vms, self.vm}))

    def admit(
        self, now_ms: float, fingerprint: int, upstreams: tuple[str, ...]
    ) -> tuple[Admission, Effects]:
        """Decide how a request may be sent now.

        Args:
            now_ms: Monotonic time.
            fingerprint: Fingerprint of the request.
            upstreams: Upstreams that hold a shard of the request in the
                published topology, whatever their health.

        Returns:
            The decision, and effects to carry out.
        """
        if self.evidence.is_harmless(now_ms, fingerprint):
            return Admitted(), NO_EFFECTS
        suspect = self.evidence.find_suspect(now_ms, fingerprint)
        if suspect is None and not self._needs_canary(now_ms):
            return Admitted(), NO_EFFECTS
        if suspect is not None and suspect.quarantined:
            retry_after_ms = suspect.until_ms - now_ms
            refused = Refused(ResultCode.QUARANTINED, retry_after_ms)
            return refused, NO_EFFECTS
        if now_ms < self.canary_until_ms.get(fingerprint, 0.0):
            return Wait(self.settings.recheck_ms), NO_EFFECTS
        ranked = rendezvous_order(fingerprint, upstreams)
        target = self._canary_upstream(now_ms, suspect, ranked)
        if suspect is None and target == ranked[0]:
            hedge = self._hedge_upstream(now_ms, ranked)
            canary = self._start_canary(now_ms, fingerprint, target, hedge)
            return canary, NO_EFFECTS
        if suspect is None:
            # The first upstream in rendezvous order was lost, perhaps because
            # another VM sent this request there.
            suspect = self.evidence.get_or_add_suspect(now_ms, fingerprint)
            suspect.upstreams.add(ranked[0])
        granted, effects = self.probation.request_permission(
            now_ms, fingerprint, suspect
        )
        if granted:
            return self._start_canary(now_ms, fingerprint, target), effects
        return Wait(self.settings.recheck_ms), effects

    def _needs_canary(self, now_ms: float) -> bool:
        match self.settings.canary:
            case CanaryMode.ALWAYS:
                return True
            case CanaryMode.WHEN_ALERT:
                return self.evidence.is_on_alert(now_ms)
            case CanaryMode.NEVER:
                return False

    def _canary_upstream(
        self, now_ms: float, suspect: Suspect | None, ranked: list[str]
    ) -> str:
        crashed = suspect.upstreams if suspect is not None else set()
        for upstream in ranked:
            lost = self.evidence.was_lost_recently(now_ms, upstream)
            if upstream not in crashed and not lost:
                return upstream
        return ranked[0]

    def _hedge_upstream(self, now_ms: float, ranked: list[str]) -> str | None:
        if len(ranked) == 1 or self.evidence.was_lost_recently(
            now_ms, ranked[1]
        ):
            return None
        return ranked[1]

    def _start_canary(
        self,
        now_ms: float,
        fingerprint: int,
        upstream: str,
        hedge_upstream: str | None = None,
    ) -> CanaryFirst:
        self.canary_until_ms[fingerprint] = now_ms + self.settings.probation_ms
        if len(self.canary_until_ms) > self.settings.suspect_entries:
            del self.canary_until_ms[next(iter(self.canary_until_ms))]
        return CanaryFirst(upstream, hedge_upstream)

    def on_sub_request_sent(
        self, now_ms: float, fingerprint: int, upstream: str, leaf: str
    ) -> None:
        """Record that a sub-request is sent.

        Args:
            now_ms: Not used; for the same signature as
                `on_sub_request_ended`.
            fingerprint: Fingerprint of the request.
            upstream: Not used.
            leaf: Leaf that the sub-request is sent to.
        """
        counts = self.in_flight.get(leaf)
        if counts is None:
            counts = self.in_flight[leaf] = {}
        counts[fingerprint] = counts.get(fingerprint, 0) + 1

    def on_sub_request_ended(
        self,
        now_ms: float,
        fingerprint: int,
        upstream: str,
        leaf: str,
        ran: bool = True,
    ) -> Effects:
        """Record that a sub-request ended without a lost connection.

        Args:
            now_ms: Monotonic time.
            fingerprint: Fingerprint of the request.
            upstream: Not used.
            leaf: Leaf that the sub-request was sent to.
            ran: Whether the leaf ran the sub-request to its end and
                responded, possibly with an error: it did not crash.
        """
        self.count_ended(fingerprint, leaf)
        if fingerprint in self.evidence.harmless_until_ms:
            return NO_EFFECTS
        return self._record_end(now_ms, fingerprint, ran)

    def count_ended(self, fingerprint: int, leaf: str) -> None:
        """Record the end of a sub-request of a request known to be harmless.

        A cheaper equivalent of `on_sub_request_ended` for harmless requests.
        """
        counts = self.in_flight.get(leaf)
        if counts is None:
            return
        count = counts.get(fingerprint, 0)
        if count > 1:
            counts[fingerprint] = count - 1
        elif count:
            del counts[fingerprint]

    def _record_end(
        self, now_ms: float, fingerprint: int, ran: bool
    ) -> Effects:
        self.canary_until_ms.pop(fingerprint, None)
        suspect = self.evidence.find_suspect(now_ms, fingerprint)
        if suspect is not None and suspect.quarantined:
            return NO_EFFECTS
        if not ran:
            if suspect is not None and suspect.probation_vm == self.vm:
                suspect.probation_vm = ""
            return (Recheck(fingerprint),)
        self.evidence.mark_harmless(now_ms, fingerprint)
        if suspect is None:
            return (Recheck(fingerprint),)
        del self.evidence.suspects[fingerprint]
        return (
            Broadcast(messages.Verdict(fingerprint, 0.0)),
            Cleared(fingerprint),
            Recheck(fingerprint),
        )

    def on_connection_lost(
        self, now_ms: float, upstream: str, leaf: str
    ) -> Effects:
        """Record a lost connection as evidence against requests in flight.

        Every request in flight at the leaf may have caused the loss. Requests
        not known to be harmless become suspects. If all requests are known to
        be harmless, each loses that status at its second lost upstream.
        """
        self.evidence.record_loss(now_ms, upstream)
        counts = self.in_flight.pop(leaf, {})
        not_harmless = [
            value
            for value in counts
            if value not in self.evidence.harmless_until_ms
        ]
        effects: Effects = NO_EFFECTS
        for fingerprint in not_harmless:
            self.canary_until_ms.pop(fingerprint, None)
            effects += self.probation.add_losses(
                now_ms, fingerprint, {upstream}
            )
            known = tuple(sorted(self.evidence.suspects[fingerprint].upstreams))
            report = messages.LossReport(fingerprint, known)
            effects += (Broadcast(report),)
        if not not_harmless:
            self.evidence.revoke_harmless(counts, upstream)
        return effects

    def on_connect_failed(self, now_ms: float, upstream: str) -> None:
        """Record that no connection to an upstream can be opened.

        Nothing was sent to the upstream, so no request becomes a suspect.
        """
        self.evidence.record_loss(now_ms, upstream)

    def may_retry(self, now_ms: float, fingerprint: int) -> bool:
        """Return whether a lost sub-request may be sent to another leaf.

        If the result is False, `admit` decides how to proceed with the
        request.
        """
        if self.evidence.is_harmless(now_ms, fingerprint):
            return True
        if self.evidence.find_suspect(now_ms, fingerprint) is not None:
            return False
        return not self._needs_canary(now_ms)

    def release(self, now_ms: float, fingerprint: int) -> Effects:
        """Clear a request on all VMs, on an operator's order."""
        effects = self._clear_suspect(now_ms, fingerprint)
        verdict = messages.Verdict(fingerprint, 0.0)
        return (Broadcast(verdict), *effects)

    def _clear_suspect(self, now_ms: float, fingerprint: int) -> Effects:
        self.evidence.suspects.pop(fingerprint, None)
        self.evidence.mark_harmless(now_ms, fingerprint)
        return (Cleared(fingerprint), Recheck(fingerprint))

    def on_peer_message(
        self, now_ms: float, vm: str, message: object
    ) -> Effects:
        """Handle one of `quarantine.messages` from another VM."""
        match message:
            case messages.LossReport(fingerprint, upstreams):
                self.evidence.harmless_until_ms.pop(fingerprint, None)
                for upstream in upstreams:
                    self.evidence.record_loss(now_ms, upstream)
                return self.probation.add_losses(
                    now_ms, fingerprint, set(upstreams)
                )
            case messages.ProbationRequest(fingerprint, upstreams):
                return self.probation.on_request(
                    now_ms, vm, fingerprint, set(upstreams)
                )
            case messages.ProbationGrant(fingerprint, remaining_ms):
                if self.evidence.is_harmless(now_ms, fingerprint):
                    # The permission was granted twice, and the first send has
                    # shown the request to be harmless.
                    return NO_EFFECTS
                suspect = self.evidence.get_or_add_suspect(now_ms, fingerprint)
                suspect.granted_until_ms = now_ms + remaining_ms
                return (Recheck(fingerprint),)
            case messages.Verdict(fingerprint, quarantined_ms):
                if not quarantined_ms:
                    return self._clear_suspect(now_ms, fingerprint)
                self.evidence.harmless_until_ms.pop(fingerprint, None)
                suspect = self.evidence.get_or_add_suspect(now_ms, fingerprint)
                suspect.quarantine(now_ms + quarantined_ms)
                return (Recheck(fingerprint),)
            case _:
                return NO_EFFECTS
