"""Decisions and effects that the quarantine returns to its caller."""

import attrs

from oriolegate.result_codes import ResultCode


@attrs.frozen
class Admitted:
    """The request may be sent to all its shards."""


@attrs.frozen
class CanaryFirst:
    """Send one sub-request, the canary; request admission again at its end.

    No other sub-request of the request may be sent before the canary ends.

    Attributes:
        upstream: Upstream to send the canary to.
        hedge_upstream: Upstream for the canary's hedge, or None for no hedge.
            Without a hedge, a straggler would delay the whole request.
    """

    upstream: str
    hedge_upstream: str | None = None


@attrs.frozen
class Wait:
    """Send nothing; request admission again on `Recheck` or after a delay."""

    recheck_ms: float


@attrs.frozen
class Refused:
    """The request is in quarantine: refuse it with this code."""

    code: ResultCode
    retry_after_ms: float


Admission = Admitted | CanaryFirst | Wait | Refused


@attrs.frozen
class Send:
    """Send one of `quarantine.messages` to a VM."""

    vm: str
    message: object


@attrs.frozen
class Broadcast:
    """Send one of `quarantine.messages` to all VMs."""

    message: object


@attrs.frozen
class Recheck:
    """Request admission again for waiting requests of this fingerprint."""

    fingerprint: int


@attrs.frozen
class Quarantined:
    """A request was put in quarantine; for the timeline and logs."""

    fingerprint: int
    upstreams: tuple[str, ...]


@attrs.frozen
class Cleared:
    """A suspect was shown to be harmless; for the timeline and logs."""

    fingerprint: int


QuarantineEffect = Send | Broadcast | Recheck | Quarantined | Cleared
