"""Peer messages in which VMs exchange the states of leafs."""

import attrs

from oriolegate.upstreams.leaf_state import ReportedState


@attrs.frozen
class LeafUpdate:
    """State of a leaf as observed by the sending VM.

    Attributes:
        leaf: Name of the leaf.
        state: Warm only once the sender has completed the leaf's warming.
        incarnation: Incarnation in which the leaf was observed.
    """

    leaf: str
    state: ReportedState
    incarnation: int


@attrs.frozen
class LeafUpdates:
    """Updates of several leafs."""

    updates: tuple[LeafUpdate, ...]


PEER_MESSAGES: tuple[tuple[int, type], ...] = ((100, LeafUpdates),)
