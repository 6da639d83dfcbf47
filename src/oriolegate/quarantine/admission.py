"""What the quarantine answers, and what it asks its surroundings to do."""

import attrs

from oriolegate.result_codes import ResultCode


@attrs.frozen
class Free:
    """The request may go to every shard."""


@attrs.frozen
class CanaryFirst:
    """Send one sub-request, to this upstream, and ask again when it ends.

    Nothing else of the request may be sent before.

    Attributes:
        upstream: Where to send it.
        hedge_upstream: Where a hedge of it may be sent, or None. A canary
            at a straggler would else hold up the whole request.
    """

    upstream: str
    hedge_upstream: str | None = None


@attrs.frozen
class Wait:
    """Ask again on `Recheck`, or after this time; send nothing before."""

    recheck_ms: float


@attrs.frozen
class Refused:
    """The request is not sent to any upstream now."""

    code: ResultCode
    retry_after_ms: float


Admission = Free | CanaryFirst | Wait | Refused


@attrs.frozen
class Send:
    """Send one of `quarantine.messages` to a VM."""

    vm: str
    message: object


@attrs.frozen
class Recheck:
    """Ask again for requests of this fingerprint that wait."""

    fingerprint: int


@attrs.frozen
class Quarantined:
    """A fingerprint was put in quarantine; for the time line and logs."""

    fingerprint: int
    upstreams: tuple[str, ...]


@attrs.frozen
class Cleared:
    """A suspect was shown to be harmless; for the time line and logs."""

    fingerprint: int


QuarantineEffect = Send | Recheck | Quarantined | Cleared
