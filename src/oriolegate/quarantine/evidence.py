"""Bounded records of harmless requests, suspects and lost upstreams.

A request that succeeded recently is harmless; one that was in flight at a lost
upstream and may have crashed that upstream is a suspect.
"""

from collections.abc import Iterable

import attrs

from oriolegate.quarantine.settings import QuarantineSettings


@attrs.define(eq=False)
class Suspect:
    """A request that may have crashed an upstream.

    Attributes:
        until_ms: End of the quarantine if `quarantined`, else of the suspicion.
        upstreams: Upstreams lost while they may have run the request.
        quarantined: Whether the request is refused.
        probation_vm: The VM permitted to send the request, or an empty string.
        probation_until_ms: Time until which the result of `probation_vm` is
            awaited.
        granted_until_ms: Time until which this VM may send the request once.
        requested_at_ms: Time of this VM's last request for permission.
    """

    until_ms: float
    upstreams: set[str] = attrs.field(factory=set)
    quarantined: bool = False
    probation_vm: str = ""
    probation_until_ms: float = 0.0
    granted_until_ms: float = 0.0
    requested_at_ms: float = -1e18

    def quarantine(self, until_ms: float) -> None:
        """Refuse the request until a time; never shorten a quarantine."""
        if self.quarantined:
            until_ms = max(until_ms, self.until_ms)
        self.quarantined = True
        self.probation_vm = ""
        self.until_ms = until_ms


@attrs.define(eq=False)
class Evidence:
    """Requests by fingerprint, and losses by upstream.

    Attributes:
        settings: Limits and intervals.
        harmless_until_ms: Time until which a request counts as harmless.
        suspects: Requests that may have crashed an upstream, oldest first.
        lost_at_ms: Time of the last loss of each upstream.
        last_loss_ms: Time of the last loss of any upstream.
        harmless_loss_upstreams: Lost upstreams by fingerprint: the upstream
            was lost while only harmless requests, including the one with
            this fingerprint, were in flight.
    """

    settings: QuarantineSettings
    harmless_until_ms: dict[int, float] = attrs.field(factory=dict)
    suspects: dict[int, Suspect] = attrs.field(factory=dict)
    lost_at_ms: dict[str, float] = attrs.field(factory=dict)
    last_loss_ms: float = -1e18
    harmless_loss_upstreams: dict[int, str] = attrs.field(factory=dict)

    def is_harmless(self, now_ms: float, fingerprint: int) -> bool:
        """Return whether a request succeeded recently."""
        until_ms = self.harmless_until_ms.get(fingerprint)
        if until_ms is None:
            return False
        if now_ms < until_ms:
            return True
        del self.harmless_until_ms[fingerprint]
        return False

    def mark_harmless(self, now_ms: float, fingerprint: int) -> None:
        """Record that a request succeeded, and so is harmless."""
        self.harmless_until_ms[fingerprint] = now_ms + self.settings.harmless_ms
        if len(self.harmless_until_ms) > self.settings.harmless_entries:
            del self.harmless_until_ms[next(iter(self.harmless_until_ms))]

    def find_suspect(self, now_ms: float, fingerprint: int) -> Suspect | None:
        """Return the entry of a suspect, or None.

        After its quarantine a request is a suspect again and keeps its lost
        upstreams: one more loss returns the request to quarantine.
        """
        suspect = self.suspects.get(fingerprint)
        if suspect is None or now_ms < suspect.until_ms:
            return suspect
        if not suspect.quarantined:
            del self.suspects[fingerprint]
            return None
        suspect.quarantined = False
        suspect.probation_vm = ""
        suspect.until_ms = now_ms + self.settings.suspicion_ms
        return suspect

    def get_or_add_suspect(self, now_ms: float, fingerprint: int) -> Suspect:
        """Return the entry of a suspect, added if there is none."""
        suspect = self.find_suspect(now_ms, fingerprint)
        if suspect is None:
            suspect = Suspect(now_ms + self.settings.suspicion_ms)
            self.suspects[fingerprint] = suspect
            self._drop_oldest()
        return suspect

    def _drop_oldest(self) -> None:
        if len(self.suspects) <= self.settings.suspect_entries:
            return
        oldest = next(iter(self.suspects))
        for fingerprint, entry in self.suspects.items():
            if not entry.quarantined:
                oldest = fingerprint
                break
        del self.suspects[oldest]

    def record_loss(self, now_ms: float, upstream: str) -> None:
        """Record that an upstream was lost."""
        self.last_loss_ms = now_ms
        self.lost_at_ms[upstream] = now_ms

    def revoke_harmless(
        self, fingerprints: Iterable[int], upstream: str
    ) -> None:
        """Stop treating requests as harmless at their second lost upstream."""
        for fingerprint in fingerprints:
            if (
                self.harmless_loss_upstreams.setdefault(fingerprint, upstream)
                != upstream
            ):
                del self.harmless_loss_upstreams[fingerprint]
                self.harmless_until_ms.pop(fingerprint, None)
        while len(self.harmless_loss_upstreams) > self.settings.suspect_entries:
            del self.harmless_loss_upstreams[
                next(iter(self.harmless_loss_upstreams))
            ]

    def was_lost_recently(self, now_ms: float, upstream: str) -> bool:
        """Return whether an upstream was lost within the alert time."""
        lost_at_ms = self.lost_at_ms.get(upstream)
        if lost_at_ms is None:
            return False
        if now_ms < lost_at_ms + self.settings.alert_ms:
            return True
        del self.lost_at_ms[upstream]
        return False

    def is_on_alert(self, now_ms: float) -> bool:
        """Return whether any upstream was lost within the alert time."""
        return now_ms < self.last_loss_ms + self.settings.alert_ms
