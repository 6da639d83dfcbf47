"""Messages by which share holders tell each other to read the store."""

import attrs


@attrs.frozen
class SharesMoved:
    """The service's share object has reached this version."""

    service: str
    version: int


@attrs.frozen
class HolderStopped:
    """The sender will send nothing more to any upstream, ever."""

    vm: str
    incarnation: int


PEER_MESSAGES: tuple[tuple[int, type], ...] = (
    (40, SharesMoved),
    (41, HolderStopped),
)
