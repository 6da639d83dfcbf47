"""Sends the parts of one request to leafs, with retries and hedges.

A hedge is a second send of a part while the first is still open. All sends
stay within the route's attempts and this VM's retry budget. `PartSender`
decides where and when a part is sent; `Exchange` decides when to reply.
"""

import math

import attrs

from oriolegate.exchange import planned_stop
from oriolegate.exchange import timing
from oriolegate.exchange.messages import AbandonSend
from oriolegate.exchange.messages import Decision
from oriolegate.exchange.messages import Effect
from oriolegate.exchange.messages import SendToLeaf
from oriolegate.exchange.part import Part
from oriolegate.exchange.part import Send
from oriolegate.exchange.planned_stop import PlannedStop
from oriolegate.exchange.timing import Deadlines
from oriolegate.models.site import Repeatability
from oriolegate.models.site import Route
from oriolegate.placement.leaf_directory import LeafCriteria
from oriolegate.placement.leaf_directory import LeafDirectory
from oriolegate.placement.leaf_directory import NoLeaf
from oriolegate.placement.leaf_record import LeafRecord
from oriolegate.placement.route_latency import RouteLatencies
from oriolegate.retries.retry_budget import RetryBudget

# Limit of hedges that a request sends at once: the larger of this minimum and
# this fraction of its parts. At any time 1 in 25 leafs is paused.
MIN_HEDGES = 2
MAX_HEDGED_FRACTION = 0.15
# Delay of the hedges beyond that limit.
HEDGE_DELAY_MS = 12.0
# Retry interval of a hedge without a free leaf or retry budget.
HEDGE_RETRY_MS = 40.0
# A leaf without an answer after this time counts as unresponsive, not paused: a
# pause takes up to 300 ms, and a leaf is fastest just after one.
UNRESPONSIVE_MS = 450.0
# `Part.wait_reason` of a part whose further attempts are held.
ATTEMPTS_HELD = "further attempts held"


@attrs.frozen
class ExchangeContext:
    """State that all exchanges of a VM share."""

    directory: LeafDirectory
    budget: RetryBudget
    latencies: RouteLatencies
    stop: PlannedStop


class PartSender:
    """Sends the parts of one request.

    Attributes:
        sends: Sends without an answer, by number.
        send_count: Number of sends so far.
        ended_count: Number of parts for which no further leaf is tried.
        timer_due_ms: When the exchange is re-evaluated; may be earlier than
            needed.
        decisions: Decisions so far, for the log.
        repeatable: Whether the request may run more than once.
        hold_until_ms: Until when one leaf of each service may run the request.
    """

    def __init__(
        self,
        route: Route,
        deadlines: Deadlines,
        context: ExchangeContext,
        hold_until_ms: float = float("-inf"),
    ) -> None:
        self.hold_until_ms = hold_until_ms
        self.route = route
        self.deadlines = deadlines
        self.context = context
        self.route_latency = context.latencies.for_route(
            route.name, route.target_ms
        )
        self.repeatable = route.repeatability is Repeatability.IDEMPOTENT
        self.sends: dict[int, Send] = {}
        self.send_count = 0
        self.ended_count = 0
        self.timer_due_ms = deadlines.limit_ms
        self.decisions: list[Decision] = []

    def record_decision(
        self,
        now_ms: float,
        kind: str,
        service: str = "",
        leaf: str = "",
        detail: str = "",
    ) -> None:
        """Record a decision for the log."""
        after_ms = round(now_ms - self.deadlines.arrived_ms, 1)
        self.decisions.append(Decision(after_ms, kind, service, leaf, detail))

    def ensure_timer_by(self, due_ms: float) -> None:
        """Set the timer to a time unless it is due earlier."""
        self.timer_due_ms = min(self.timer_due_ms, due_ms)

    # First sends and retries

    def choose_or_wait(self, now_ms: float, part: Part) -> LeafRecord | None:
        """Choose a leaf for a part; if none can take it, let it wait or end."""
        if part.possible_runs and now_ms < self.hold_until_ms:
            part.wait_reason = ATTEMPTS_HELD
            self.ensure_timer_by(self.hold_until_ms)
            return None
        if not self._can_begin(now_ms, part):
            part.wait_reason = planned_stop.REFUSAL_REASON
            self.record_decision(
                now_ms, "not sent", part.service, detail=part.wait_reason
            )
            self.end(part)
            return None
        chosen = self._choose(now_ms, part)
        if isinstance(chosen, NoLeaf):
            self._wait_or_end(now_ms, part, chosen)
            return None
        return chosen

    def _can_begin(self, now_ms: float, part: Part) -> bool:
        """Return whether a part that has not run yet may still be sent.

        The other parts of a request that has begun are sent until the exit, as
        it may be answered without them.
        """
        if part.possible_runs or (self.route.shards and self.send_count):
            return True
        return self.context.stop.can_take(now_ms, self.route)

    def place(self, now_ms: float, part: Part, effects: list[Effect]) -> None:
        """Send a part to a leaf; if none can take it, let it wait or end."""
        chosen = self.choose_or_wait(now_ms, part)
        if chosen is not None:
            self.place_on(now_ms, part, chosen, effects)

    def place_on(
        self,
        now_ms: float,
        part: Part,
        chosen: LeafRecord,
        effects: list[Effect],
    ) -> None:
        """Send a part to a leaf, if the retry budget allows it."""
        if not self._charge(now_ms, part, hedge=False):
            self.record_decision(now_ms, "no budget", part.service)
            self.end(part)
            return
        self._send(now_ms, part, chosen, effects, hedge=False)

    def retry(self, now_ms: float, part: Part, effects: list[Effect]) -> None:
        """Send a part to another leaf after a failure, if attempts are left."""
        if part.answer is not None or part.open_sends or part.stalled:
            return
        allowed_runs = self.route.attempts if self.repeatable else 1
        if part.possible_runs >= allowed_runs:
            self.end(part)
        else:
            self.place(now_ms, part, effects)

    def end(self, part: Part) -> None:
        """Stop trying further leafs for a part."""
        if not part.ended:
            part.ended = True
            self.ended_count += 1

    def _choose(self, now_ms: float, part: Part) -> LeafRecord | NoLeaf:
        return self.context.directory.choose(now_ms, self._criteria(part))

    def _criteria(self, part: Part) -> LeafCriteria:
        return LeafCriteria(
            part.service,
            part.tried,
            self.route.home_regions,
            self.route_latency.typical_ms,
        )

    def _wait_or_end(self, now_ms: float, part: Part, cause: NoLeaf) -> None:
        may_wait = cause in (NoLeaf.ALL_FULL, NoLeaf.UNSURE)
        part.wait_reason = cause.value
        if cause is NoLeaf.UNREACHABLE:
            part.is_unreachable = True
        if cause in (NoLeaf.ALL_QUIET, NoLeaf.NONE_LEFT):
            part.usable_at_ms = self.context.directory.earliest_use_ms(
                self._criteria(part)
            )
        if may_wait and now_ms < self.deadlines.queue_until_ms:
            self.ensure_timer_by(now_ms + timing.PLACEMENT_RETRY_MS)
            return
        self.record_decision(
            now_ms, "no leaf", part.service, detail=cause.value
        )
        self.end(part)

    def _charge(self, now_ms: float, part: Part, *, hedge: bool) -> bool:
        """Charge a send to the retry budget; the first arrival is free."""
        if part.arrivals == 0:
            return True
        if not self.context.budget.take(part.service, now_ms, hedge=hedge):
            return False
        part.charged += 1
        return True

    def _send(
        self,
        now_ms: float,
        part: Part,
        leaf: LeafRecord,
        effects: list[Effect],
        *,
        hedge: bool,
    ) -> None:
        self.send_count += 1
        is_first = not part.tried
        is_connected = self.context.directory.has_connection(leaf.entry.leaf_id)
        connect_ms = 0.0 if is_connected else leaf.connect_ms
        send = Send(self.send_count, part, leaf, now_ms, connect_ms)
        self.sends[send.number] = send
        part.open_sends[send.number] = send
        part.tried.add(leaf.entry.leaf_id)
        part.possible_runs += 1
        part.arrivals += 1
        part.wait_reason = ""
        part.usable_at_ms = None
        leaf.outstanding[id(send)] = now_ms
        leaf.record_send(now_ms)
        part.hedge_at_ms = None
        if self.repeatable and part.possible_runs < self.route.attempts:
            after_ms = self.route_latency.hedge_after_ms(leaf.distance_ms)
            part.hedge_at_ms = max(now_ms + after_ms, self.hold_until_ms)
            self.ensure_timer_by(part.hedge_at_ms)
        if not is_first:
            kind = "hedge" if hedge else "retry"
            expected_ms = leaf.expected_ms(
                now_ms, self.route_latency.typical_ms
            )
            detail = f"expected {expected_ms:.0f} ms"
            self.record_decision(
                now_ms, kind, part.service, send.leaf_id, detail
            )
        effects.append(
            SendToLeaf(
                send.number, leaf.entry, self.deadlines.limit_ms - now_ms
            )
        )

    # Hedges

    def hedge(
        self, now_ms: float, stragglers: list[Part], effects: list[Effect]
    ) -> None:
        """Send stragglers to a second leaf, a few at a time.

        Leafs pause independently of each other. If many parts are late at once,
        this VM or the whole route is slow, and hedges would not help.

        Args:
            now_ms: Current time.
            stragglers: Parts whose hedge is due.
            effects: Receives the sends.
        """
        part_count = len(self.route.shards) or 1
        limit = max(MIN_HEDGES, math.ceil(MAX_HEDGED_FRACTION * part_count))
        for part in stragglers[:limit]:
            self._hedge_part(now_ms, part, effects)
        for part in stragglers[limit:]:
            part.hedge_at_ms = now_ms + HEDGE_DELAY_MS

    def _hedge_part(
        self, now_ms: float, part: Part, effects: list[Effect]
    ) -> None:
        part.hedge_at_ms = None
        if part.answer is not None or len(part.open_sends) != 1:
            return
        (first,) = part.open_sends.values()
        is_unresponsive = now_ms - first.started_ms > UNRESPONSIVE_MS
        chosen = self._choose(now_ms, part)
        if isinstance(chosen, NoLeaf):
            self._postpone_hedge(now_ms, part, chosen.value)
        elif self._charge(now_ms, part, hedge=not is_unresponsive):
            self._send(now_ms, part, chosen, effects, hedge=True)
        else:
            self._postpone_hedge(now_ms, part, "no budget")

    def _postpone_hedge(self, now_ms: float, part: Part, reason: str) -> None:
        if part.hedge_blocker != reason:
            part.hedge_blocker = reason
            self.record_decision(
                now_ms, "no hedge yet", part.service, detail=reason
            )
        part.hedge_at_ms = now_ms + HEDGE_RETRY_MS

    # Giving up

    def stalled_at_ms(self, part: Part) -> float | None:
        """Return when a part is given up although a leaf may still answer.

        From then on, a repeatable request has a better chance if the caller
        retries it at another VM, with all its attempts. Any other request waits
        until its deadline.
        """
        if not self.repeatable or part.is_resolved or not part.open_sends:
            return None
        at_ms = part.newest_send_ms + self.deadlines.stall_after_ms
        return at_ms if at_ms <= self.deadlines.give_up_until_ms else None

    def give_up(self, now_ms: float, part: Part) -> None:
        """Stop waiting for the leafs that a part was sent to."""
        part.stalled = True
        part.hedge_at_ms = None
        leafs = ",".join(send.leaf_id for send in part.open_sends.values())
        self.record_decision(now_ms, "leafs hang", part.service, leafs)
        self.end(part)

    def close(self, number: int) -> Send | None:
        """Remove a send that ended and return it, or None if unknown."""
        send = self.sends.pop(number, None)
        if send is None:
            return None
        del send.part.open_sends[number]
        send.leaf.outstanding.pop(id(send), None)
        return send

    def refund_unsent(self, part: Part) -> None:
        """Refund the charge for a send that reached no leaf."""
        part.arrivals -= 1
        if part.charged > max(0, part.arrivals - 1):
            part.charged -= 1
            self.context.budget.refund(part.service)

    def abandon_all(self, now_ms: float, effects: list[Effect]) -> None:
        """Cancel all open sends."""
        for number, send in list(self.sends.items()):
            effects.append(AbandonSend(number))
            self.close(number)
            if now_ms - send.started_ms > UNRESPONSIVE_MS:
                send.leaf.record_failure(now_ms)

    def reset_timer(self, now_ms: float, parts: list[Part]) -> None:
        """Set the timer to the earliest time at which a part needs action."""
        self.timer_due_ms = self.deadlines.limit_ms
        for part in parts:
            if part.answer is not None:
                continue
            if part.hedge_at_ms is not None:
                self.ensure_timer_by(part.hedge_at_ms)
            stalled_at_ms = self.stalled_at_ms(part)
            if stalled_at_ms is not None:
                self.ensure_timer_by(stalled_at_ms)
            if part.is_waiting:
                self.ensure_timer_by(now_ms + timing.PLACEMENT_RETRY_MS)
