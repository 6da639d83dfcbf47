"""Settings of the quarantine core."""

import enum

import attrs


class CanaryMode(enum.Enum):
    """When a request not known to be harmless goes to one leaf first.

    ALWAYS bounds the upstreams that one request crashes to two.
    WHEN_ALERT does so only while an upstream was lost lately; in calm times
    the first send of a request may crash every upstream that it touches.
    NEVER relies on the evidence of crashes alone, at any time.
    """

    NEVER = "never"
    WHEN_ALERT = "when-alert"
    ALWAYS = "always"


@attrs.frozen
class QuarantineSettings:
    """Limits and intervals of the quarantine.

    Attributes:
        canary: See `CanaryMode`.
        proven_ms: How long one success shows a request to be harmless.
        alert_ms: How long after a loss the tier is on alert.
        suspicion_ms: How long a request stays suspect without new evidence.
        quarantine_ms: How long it is refused after its second loss.
        probation_ms: Time for one send of a suspect.
        report_ms: After a loss no suspect is sent for this time, so that
            the reports of other VMs are here first.
        recheck_ms: When to ask again about a request that must wait.
        proven_entries: Requests remembered as harmless.
        suspect_entries: Requests remembered as suspect or quarantined.
    """

    canary: CanaryMode = CanaryMode.ALWAYS
    proven_ms: float = 600_000.0
    alert_ms: float = 60_000.0
    suspicion_ms: float = 600_000.0
    quarantine_ms: float = 1_800_000.0
    probation_ms: float = 2_000.0
    report_ms: float = 100.0
    recheck_ms: float = 25.0
    proven_entries: int = 50_000
    suspect_entries: int = 10_000
