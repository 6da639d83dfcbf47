"""Messages between VMs about suspects; any message may be lost."""

import attrs


@attrs.frozen
class LossReport:
    """Reports an upstream lost while a request was in flight at it.

    Attributes:
        fingerprint: Fingerprint of the request.
        upstreams: All upstreams known to be lost while they may have run the
            request.
    """

    fingerprint: int
    upstreams: tuple[str, ...]


@attrs.frozen
class ProbationRequest:
    """Requests the owner VM's permission to send a suspect once.

    Attributes:
        fingerprint: Fingerprint of the request.
        upstreams: All upstreams that, as the sender knows, were lost while
            they may have run the request.
    """

    fingerprint: int
    upstreams: tuple[str, ...]


@attrs.frozen
class ProbationGrant:
    """Permits one VM to send a suspect once, within a time limit.

    Attributes:
        fingerprint: Fingerprint of the request.
        remaining_ms: Time left to send the request.
    """

    fingerprint: int
    remaining_ms: float


@attrs.frozen
class Verdict:
    """Announces that a request is quarantined or cleared.

    Attributes:
        fingerprint: Fingerprint of the request.
        quarantined_ms: Time left in quarantine; 0 if it is cleared.
    """

    fingerprint: int
    quarantined_ms: float


PEER_MESSAGES: tuple[tuple[int, type], ...] = (
    (60, LossReport),
    (61, ProbationRequest),
    (62, ProbationGrant),
    (63, Verdict),
)
