"""One part of a request: what is needed of one service."""

import attrs

from oriolegate.exchange.messages import LeafAnswer
from oriolegate.placement.leaf_record import LeafRecord


@attrs.define(eq=False)
class Send:
    """One send of a part to a leaf.

    Attributes:
        number: Its number within the exchange.
        part: The part that it is for.
        leaf: Where it went.
        started_ms: When.
    """

    number: int
    part: "Part"
    leaf: LeafRecord
    started_ms: float

    @property
    def leaf_id(self) -> str:
        """Id of the leaf that it went to."""
        return self.leaf.entry.leaf_id


@attrs.define(eq=False)
class Part:
    """What is needed of one service.

    Attributes:
        service: Its name.
        tried: Leafs that got it.
        may_have_run: Sends that a leaf may have begun, answered or not.
        arrivals: Sends that have reached a leaf, or still may.
        charged: Sends taken from the retry budget: all arrivals but one.
        open: Sends without an answer.
        answer: The answer that counts, or None.
        failure: The last answer of a leaf that failed, or None.
        ended: True if nothing more will be tried.
        stuck: True if the leafs that still may answer are given up.
        hedge_at_ms: When a second send starts, or None.
        unhedged: Why a second send that was due is still to come.
        waiting: Why no leaf could take it, or an empty text.
    """

    service: str
    tried: set[str] = attrs.field(factory=set)
    may_have_run: int = 0
    arrivals: int = 0
    charged: int = 0
    open: dict[int, Send] = attrs.field(factory=dict)
    answer: LeafAnswer | None = None
    failure: LeafAnswer | None = None
    ended: bool = False
    stuck: bool = False
    hedge_at_ms: float | None = None
    unhedged: str = ""
    waiting: str = ""

    @property
    def is_waiting(self) -> bool:
        """Whether it waits for a leaf that can take it."""
        return bool(self.waiting) and not self.open and not self.ended

    @property
    def resolved(self) -> bool:
        """Whether its answer is in, or none will come."""
        if self.answer is not None:
            return True
        return self.ended and (self.stuck or not self.open)

    @property
    def newest_send_ms(self) -> float:
        """When the last of its open sends started."""
        return max(send.started_ms for send in self.open.values())
