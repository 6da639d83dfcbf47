"""Messages between share holders."""

import attrs


@attrs.frozen
class SharesUpdated:
    """The service's share object is at this version: read it again."""

    service: str
    version: int


@attrs.frozen
class HolderStopped:
    """The sending process has stopped sending requests to upstreams."""

    vm: str
    incarnation: int


PEER_MESSAGES: tuple[tuple[int, type], ...] = (
    (40, SharesUpdated),
    (41, HolderStopped),
)
