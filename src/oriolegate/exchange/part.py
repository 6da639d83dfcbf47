"""One part of a request, which one service answers."""

import attrs

from oriolegate.exchange.messages import LeafAnswer
from oriolegate.placement.leaf_record import LeafRecord


@attrs.define(eq=False)
class Send:
    """One attempt to have one leaf run a part.

    Attributes:
        number: Number within the exchange.
        part: The part that was sent.
        leaf: The receiving leaf.
        started_ms: When the send started.
        connect_ms: Time that a new connection takes first, or 0.
    """

    number: int
    part: "Part"
    leaf: LeafRecord
    started_ms: float
    connect_ms: float = 0.0

    @property
    def leaf_id(self) -> str:
        """Id of the receiving leaf."""
        return self.leaf.entry.leaf_id


@attrs.define(eq=False)
class Part:
    """State of the part that one service answers.

    Attributes:
        service: Name of the service.
        tried: Ids of the leafs that the part was sent to.
        possible_runs: Number of sends that a leaf may have started to run,
            answered or not.
        arrivals: Number of sends that reached a leaf or may still reach it.
        charged: Number of sends charged to the retry budget: every arrival
            after the first.
        open_sends: Sends without an answer, by number.
        answer: The first successful answer, or None.
        failure: The last error response of a leaf, or None.
        ended: True if no further leaf is tried.
        stalled: True if the request no longer waits for the open sends.
        hedge_at_ms: When the hedge (a second send while the first is open) is
            due, or None.
        hedge_blocker: Why a due hedge could not be sent yet, or empty.
        wait_reason: Why no leaf could take the part, or empty.
        usable_at_ms: When a leaf may take the part, if that is known, or None.
        is_unreachable: Whether the last leaf tried could not be reached, or
            none can be, so that another VM may have more success.
    """

    service: str
    tried: set[str] = attrs.field(factory=set)
    possible_runs: int = 0
    arrivals: int = 0
    charged: int = 0
    open_sends: dict[int, Send] = attrs.field(factory=dict)
    answer: LeafAnswer | None = None
    failure: LeafAnswer | None = None
    ended: bool = False
    stalled: bool = False
    hedge_at_ms: float | None = None
    hedge_blocker: str = ""
    wait_reason: str = ""
    usable_at_ms: float | None = None
    is_unreachable: bool = False

    @property
    def is_waiting(self) -> bool:
        """Whether the part waits for a leaf that can take it."""
        return bool(self.wait_reason) and not self.open_sends and not self.ended

    @property
    def is_resolved(self) -> bool:
        """Whether the answer has arrived or is no longer expected."""
        if self.answer is not None:
            return True
        return self.ended and (self.stalled or not self.open_sends)

    @property
    def newest_send_ms(self) -> float:
        """When the newest open send started."""
        return max(send.started_ms for send in self.open_sends.values())
