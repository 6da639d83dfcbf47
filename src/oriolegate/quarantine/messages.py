"""Messages between VMs about suspects; any of them may get lost."""

import attrs


@attrs.frozen
class LossReport:
    """Tells that an upstream was lost while a request was in flight there.

    Attributes:
        fingerprint: The request.
        upstreams: Every upstream that is known to be lost with it.
    """

    fingerprint: int
    upstreams: tuple[str, ...]


@attrs.frozen
class ProbationAsk:
    """Asks the VM that decides on a suspect for leave to send it once.

    Attributes:
        fingerprint: The request.
        upstreams: Every upstream that the sender knows to be lost with it.
    """

    fingerprint: int
    upstreams: tuple[str, ...]


@attrs.frozen
class ProbationGrant:
    """Lets one VM send a suspect once, within a time.

    Attributes:
        fingerprint: The request.
        remaining_ms: Time left to send it.
    """

    fingerprint: int
    remaining_ms: float


@attrs.frozen
class Verdict:
    """Tells what is decided on a request.

    Attributes:
        fingerprint: The request.
        quarantined_ms: Time left in quarantine; 0 if it is cleared.
    """

    fingerprint: int
    quarantined_ms: float


PEER_MESSAGES: tuple[tuple[int, type], ...] = (
    (60, LossReport),
    (61, ProbationAsk),
    (62, ProbationGrant),
    (63, Verdict),
)
