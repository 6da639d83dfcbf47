"""Sends the parts of one request to leafs, and again where that may help.

Keeps to the route's attempts and this VM's retry budget. Decides where and
when a part is sent; whether the request can be answered is decided elsewhere.
"""

import math

import attrs

from oriolegate.exchange import timing
from oriolegate.exchange.messages import AbandonSend
from oriolegate.exchange.messages import Decision
from oriolegate.exchange.messages import Effect
from oriolegate.exchange.messages import SendToLeaf
from oriolegate.exchange.part import Part
from oriolegate.exchange.part import Send
from oriolegate.exchange.timing import Moments
from oriolegate.models.site import Repeatability
from oriolegate.models.site import Route
from oriolegate.placement import leaf_directory
from oriolegate.placement.leaf_directory import LeafDirectory
from oriolegate.placement.leaf_directory import NoLeaf
from oriolegate.placement.leaf_record import LeafRecord
from oriolegate.placement.route_pace import PaceBook
from oriolegate.retries.retry_budget import RetryBudget

# Second sends that start at once: at least, and as a part of all parts. One in
# 25 leafs pauses at a time.
LEAST_HEDGES = 2
HEDGED_PART = 0.15
# How long the stragglers beyond them wait.
HEDGE_PAUSE_MS = 12.0
# How often a second send that found no budget or no leaf is tried again.
HEDGE_AGAIN_MS = 40.0
# A leaf that has not answered after this time has hung: leafs pause for up to
# 300 ms and are at their best just afterwards.
HUNG_MS = 450.0


@attrs.frozen
class Shared:
    """What all exchanges of a VM share."""

    directory: LeafDirectory
    budget: RetryBudget
    pace: PaceBook


class PartSender:
    """The sends of one request.

    Attributes:
        sends: Sends without an answer, by number.
        send_count: All sends so far.
        ended_count: Parts for which nothing more is tried.
        alarm_ms: When the exchange has to look again; it may come too early.
        decisions: What was decided, for the log.
        repeatable: Whether the request may run more than once.
    """

    def __init__(self, route: Route, moments: Moments, shared: Shared) -> None:
        self.route = route
        self.moments = moments
        self.shared = shared
        self.pace = shared.pace.of(route.name, route.target_ms)
        self.repeatable = route.repeatability is Repeatability.IDEMPOTENT
        self.sends: dict[int, Send] = {}
        self.send_count = 0
        self.ended_count = 0
        self.alarm_ms = moments.limit_ms
        self.decisions: list[Decision] = []

    def note(
        self,
        now_ms: float,
        kind: str,
        service: str = "",
        leaf: str = "",
        detail: str = "",
    ) -> None:
        """Keep a decision for the log."""
        after_ms = round(now_ms - self.moments.arrived_ms, 1)
        self.decisions.append(Decision(after_ms, kind, service, leaf, detail))

    def alarm_by(self, moment_ms: float) -> None:
        """Have the exchange look again at a moment, or earlier."""
        self.alarm_ms = min(self.alarm_ms, moment_ms)

    # First sends, and sends after a failure

    def place(self, now_ms: float, part: Part, effects: list[Effect]) -> None:
        """Send a part to a leaf; it waits or ends if none can take it."""
        chosen = self._choose(now_ms, part)
        if isinstance(chosen, NoLeaf):
            self._wait_or_end(now_ms, part, chosen)
            return
        if not self._charge(now_ms, part, hedge=False):
            self.note(now_ms, "no budget", part.service)
            self.end(part)
            return
        self._send(now_ms, part, chosen, effects, hedge=False)

    def try_again(
        self, now_ms: float, part: Part, effects: list[Effect]
    ) -> None:
        """Send a part whose leaf failed to another one, if it may be."""
        if part.answer is not None or part.open or part.stuck:
            return
        allowed = self.route.attempts if self.repeatable else 1
        if part.may_have_run >= allowed:
            self.end(part)
        else:
            self.place(now_ms, part, effects)

    def end(self, part: Part) -> None:
        """Try nothing more for a part."""
        if not part.ended:
            part.ended = True
            self.ended_count += 1

    def _choose(self, now_ms: float, part: Part) -> LeafRecord | NoLeaf:
        return self.shared.directory.choose(
            now_ms,
            leaf_directory.Ask(
                part.service,
                part.tried,
                self.route.home_regions,
                self.pace.typical_ms,
            ),
        )

    def _wait_or_end(self, now_ms: float, part: Part, why: NoLeaf) -> None:
        may_wait = why in (NoLeaf.ALL_FULL, NoLeaf.UNSURE)
        part.waiting = why.value
        if may_wait and now_ms < self.moments.queue_until_ms:
            self.alarm_by(now_ms + timing.RETRY_PLACING_MS)
            return
        self.note(now_ms, "no leaf", part.service, detail=why.value)
        self.end(part)

    def _charge(self, now_ms: float, part: Part, *, hedge: bool) -> bool:
        """Take a send from the budget, unless it is the first to arrive."""
        if part.arrivals == 0:
            return True
        if not self.shared.budget.take(part.service, now_ms, hedge=hedge):
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
        send = Send(self.send_count, part, leaf, now_ms)
        self.sends[send.number] = send
        part.open[send.number] = send
        part.tried.add(leaf.entry.leaf_id)
        part.may_have_run += 1
        part.arrivals += 1
        part.waiting = ""
        leaf.outstanding[id(send)] = now_ms
        part.hedge_at_ms = None
        if self.repeatable and part.may_have_run < self.route.attempts:
            after_ms = self.pace.hedge_after_ms(leaf.distance_ms)
            part.hedge_at_ms = now_ms + after_ms
            self.alarm_by(part.hedge_at_ms)
        if not is_first:
            kind = "hedge" if hedge else "retry"
            expected_ms = leaf.expected_ms(now_ms, self.pace.typical_ms)
            detail = f"expected {expected_ms:.0f} ms"
            self.note(now_ms, kind, part.service, send.leaf_id, detail)
        effects.append(
            SendToLeaf(send.number, leaf.entry, self.moments.limit_ms - now_ms)
        )

    # Second sends of stragglers

    def hedge(
        self, now_ms: float, late: list[Part], effects: list[Effect]
    ) -> None:
        """Send stragglers again, a few at a time.

        Leafs pause each at its own time. If many parts are late at once, this
        VM or the route as a whole is slow, and second sends would not help.

        Args:
            now_ms: The time.
            late: Parts whose second send is due.
            effects: Gets the sends.
        """
        part_count = len(self.route.shards) or 1
        most = max(LEAST_HEDGES, math.ceil(HEDGED_PART * part_count))
        for part in late[:most]:
            self._hedge_part(now_ms, part, effects)
        for part in late[most:]:
            part.hedge_at_ms = now_ms + HEDGE_PAUSE_MS

    def _hedge_part(
        self, now_ms: float, part: Part, effects: list[Effect]
    ) -> None:
        part.hedge_at_ms = None
        if part.answer is not None or len(part.open) != 1:
            return
        (first,) = part.open.values()
        has_hung = now_ms - first.started_ms > HUNG_MS
        chosen = self._choose(now_ms, part)
        if isinstance(chosen, NoLeaf):
            self._hedge_later(now_ms, part, chosen.value)
        elif self._charge(now_ms, part, hedge=not has_hung):
            self._send(now_ms, part, chosen, effects, hedge=True)
        else:
            self._hedge_later(now_ms, part, "no budget")

    def _hedge_later(self, now_ms: float, part: Part, reason: str) -> None:
        if part.unhedged != reason:
            part.unhedged = reason
            self.note(now_ms, "no hedge yet", part.service, detail=reason)
        part.hedge_at_ms = now_ms + HEDGE_AGAIN_MS

    # Giving up

    def stuck_at_ms(self, part: Part) -> float | None:
        """Return when a part is given up although leafs may still answer.

        A request that may run again is better off at another VM by then, with
        all its attempts. One that may not waits for its leaf to the end.
        """
        if not self.repeatable or part.resolved or not part.open:
            return None
        at_ms = part.newest_send_ms + self.moments.stuck_after_ms
        return at_ms if at_ms <= self.moments.early_until_ms else None

    def give_up(self, now_ms: float, part: Part) -> None:
        """Wait no longer for the leafs that have a part."""
        part.stuck = True
        part.hedge_at_ms = None
        leafs = ",".join(send.leaf_id for send in part.open.values())
        self.note(now_ms, "leafs hang", part.service, leafs)
        self.end(part)

    def close(self, number: int) -> Send | None:
        """Forget a send that ended; None if it was forgotten before."""
        send = self.sends.pop(number, None)
        if send is None:
            return None
        del send.part.open[number]
        send.leaf.outstanding.pop(id(send), None)
        return send

    def never_arrived(self, part: Part) -> None:
        """Give back what was charged for a send that reached no leaf."""
        part.arrivals -= 1
        if part.charged > max(0, part.arrivals - 1):
            part.charged -= 1
            self.shared.budget.give_back(part.service)

    def abandon_all(self, now_ms: float, effects: list[Effect]) -> None:
        """End all open sends."""
        for number, send in list(self.sends.items()):
            effects.append(AbandonSend(number))
            self.close(number)
            if now_ms - send.started_ms > HUNG_MS:
                send.leaf.failed(now_ms)

    def renew_alarm(self, now_ms: float, parts: list[Part]) -> None:
        """Work out anew when the exchange has to look again."""
        self.alarm_ms = self.moments.limit_ms
        for part in parts:
            if part.answer is not None:
                continue
            if part.hedge_at_ms is not None:
                self.alarm_by(part.hedge_at_ms)
            stuck_at_ms = self.stuck_at_ms(part)
            if stuck_at_ms is not None:
                self.alarm_by(stuck_at_ms)
            if part.is_waiting:
                self.alarm_by(now_ms + timing.RETRY_PLACING_MS)
