"""Settings of the quarantine."""

import enum

import attrs


class CanaryMode(enum.Enum):
    """When a request not known to be harmless needs a canary first.

    A canary is a single sub-request sent before all others of its request.
    ALWAYS limits the upstreams that one request can crash to two.
    WHEN_ALERT sets this limit only after a recent loss of an upstream;
    otherwise the first send of a request may crash every upstream that
    receives it.
    NEVER sends canaries only for requests that are already suspects.
    """

    NEVER = "never"
    WHEN_ALERT = "when-alert"
    ALWAYS = "always"


@attrs.frozen
class QuarantineSettings:
    """Limits and intervals of the quarantine.

    Attributes:
        canary: See `CanaryMode`.
        harmless_ms: Time for which a request counts as harmless after a
            success.
        alert_ms: Time for which the tier is on alert after losing an upstream.
        suspicion_ms: Time for which a request stays suspect without new
            evidence.
        quarantine_ms: Time for which a request with two losses is refused.
        probation_ms: Time limit for one send of a suspect, and for a canary.
        report_ms: Time after a loss in which no suspect is sent, so that other
            VMs' reports of the loss arrive first.
        recheck_ms: Delay before admission of a waiting request is requested
            again.
        harmless_entries: Limit of requests recorded as harmless.
        suspect_entries: Limit of requests recorded as suspect or
            quarantined.
    """

    canary: CanaryMode = CanaryMode.ALWAYS
    harmless_ms: float = 600_000.0
    alert_ms: float = 60_000.0
    suspicion_ms: float = 600_000.0
    quarantine_ms: float = 1_800_000.0
    probation_ms: float = 2_000.0
    report_ms: float = 100.0
    recheck_ms: float = 25.0
    harmless_entries: int = 50_000
    suspect_entries: int = 10_000
