"""What a process knows of requests and of lost upstreams, bounded."""

from collections.abc import Iterable

import attrs

from oriolegate.quarantine.settings import QuarantineSettings


@attrs.define(eq=False)
class Suspect:
    """A request that may have crashed an upstream.

    Attributes:
        until_ms: When this is forgotten.
        upstreams: Upstreams lost while the request was in flight there.
        quarantined: Whether it is refused.
        tester: The VM that may send it, or an empty string.
        tester_until_ms: Until when.
        granted_until_ms: Until when this VM may send it once.
        asked_at_ms: When this VM last asked for leave.
    """

    until_ms: float
    upstreams: set[str] = attrs.field(factory=set)
    quarantined: bool = False
    tester: str = ""
    tester_until_ms: float = 0.0
    granted_until_ms: float = 0.0
    asked_at_ms: float = -1e18

    def quarantine(self, until_ms: float) -> None:
        """Refuse the request until then; a longer quarantine stays."""
        if self.quarantined:
            until_ms = max(until_ms, self.until_ms)
        self.quarantined = True
        self.tester = ""
        self.until_ms = until_ms


@attrs.define(eq=False)
class Evidence:
    """Requests by fingerprint, and losses by upstream.

    Attributes:
        settings: Limits and intervals.
        proven: Until when a request counts as harmless.
        suspects: Requests that may have crashed an upstream, oldest first.
        lost_at_ms: When an upstream was last lost.
        last_loss_ms: When any upstream was last lost.
        doubted: Upstreams lost with only harmless requests in flight.
    """

    settings: QuarantineSettings
    proven: dict[int, float] = attrs.field(factory=dict)
    suspects: dict[int, Suspect] = attrs.field(factory=dict)
    lost_at_ms: dict[str, float] = attrs.field(factory=dict)
    last_loss_ms: float = -1e18
    doubted: dict[int, str] = attrs.field(factory=dict)

    def is_proven(self, now_ms: float, fingerprint: int) -> bool:
        """Return whether a request was lately shown to be harmless."""
        until_ms = self.proven.get(fingerprint)
        if until_ms is None:
            return False
        if now_ms < until_ms:
            return True
        del self.proven[fingerprint]
        return False

    def prove(self, now_ms: float, fingerprint: int) -> None:
        """Remember a request as harmless."""
        self.proven[fingerprint] = now_ms + self.settings.proven_ms
        if len(self.proven) > self.settings.proven_entries:
            del self.proven[next(iter(self.proven))]

    def suspect(self, now_ms: float, fingerprint: int) -> Suspect | None:
        """Return what is held against a request, if anything.

        After its quarantine a request is a suspect again, with the upstreams
        that it crashed: one more loss puts it back.
        """
        found = self.suspects.get(fingerprint)
        if found is None or now_ms < found.until_ms:
            return found
        if not found.quarantined:
            del self.suspects[fingerprint]
            return None
        found.quarantined = False
        found.tester = ""
        found.until_ms = now_ms + self.settings.suspicion_ms
        return found

    def make_suspect(self, now_ms: float, fingerprint: int) -> Suspect:
        """Return the entry of a request, made if there is none."""
        found = self.suspect(now_ms, fingerprint)
        if found is None:
            found = Suspect(now_ms + self.settings.suspicion_ms)
            self.suspects[fingerprint] = found
            self._drop_oldest()
        return found

    def _drop_oldest(self) -> None:
        if len(self.suspects) <= self.settings.suspect_entries:
            return
        oldest = next(iter(self.suspects))
        for fingerprint, entry in self.suspects.items():
            if not entry.quarantined:
                oldest = fingerprint
                break
        del self.suspects[oldest]

    def lost(self, now_ms: float, upstream: str) -> None:
        """Remember that an upstream was lost."""
        self.last_loss_ms = now_ms
        self.lost_at_ms[upstream] = now_ms

    def doubt(self, fingerprints: Iterable[int], upstream: str) -> None:
        """Take back that requests are harmless at their second loss."""
        for fingerprint in fingerprints:
            if self.doubted.setdefault(fingerprint, upstream) != upstream:
                del self.doubted[fingerprint]
                self.proven.pop(fingerprint, None)
        while len(self.doubted) > self.settings.suspect_entries:
            del self.doubted[next(iter(self.doubted))]

    def lately_lost(self, now_ms: float, upstream: str) -> bool:
        """Return whether an upstream was lost within the alert time."""
        lost_at_ms = self.lost_at_ms.get(upstream)
        if lost_at_ms is None:
            return False
        if now_ms < lost_at_ms + self.settings.alert_ms:
            return True
        del self.lost_at_ms[upstream]
        return False

    def on_alert(self, now_ms: float) -> bool:
        """Return whether any upstream was lost within the alert time."""
        return now_ms < self.last_loss_ms + self.settings.alert_ms
