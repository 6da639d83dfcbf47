"""Messages by which VMs tell each other the states of leafs."""

import attrs

from oriolegate.upstreams.leaf_state import ReportedState


@attrs.frozen
class LeafNews:
    """What an answer of a leaf showed to the sender.

    Attributes:
        leaf: Name.
        state: Warm only after the leaf got its whole ramp from the sender.
        incarnation: The incarnation that showed it.
    """

    leaf: str
    state: ReportedState
    incarnation: int


@attrs.frozen
class LeafNewsList:
    """News of several leafs."""

    news: tuple[LeafNews, ...]


PEER_MESSAGES: tuple[tuple[int, type], ...] = ((100, LeafNewsList),)
