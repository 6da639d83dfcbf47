"""One request, from its arrival to its answer.

Sends every part to a leaf, sends stragglers and failed parts a second time
within the route's attempts and this VM's retry budget, and decides when to
answer. Takes events with the time and returns effects; does no I/O.
"""

import math

import attrs

from oriolegate.exchange import replying
from oriolegate.exchange import timing
from oriolegate.exchange.messages import AbandonSend
from oriolegate.exchange.messages import AnswerGathered
from oriolegate.exchange.messages import CallerCall
from oriolegate.exchange.messages import Decision
from oriolegate.exchange.messages import Effect
from oriolegate.exchange.messages import Fate
from oriolegate.exchange.messages import LeafAnswer
from oriolegate.exchange.messages import PassOn
from oriolegate.exchange.messages import Refuse
from oriolegate.exchange.messages import Reply
from oriolegate.exchange.messages import SendToLeaf
from oriolegate.exchange.part import Part
from oriolegate.exchange.part import Send
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


class Exchange:
    """The state of one request.

    Attributes:
        call: What the caller sent.
        route: The route that it takes.
        version: The configuration version that it keeps to.
        parts: What is needed, one part for each service.
        reply: The answer, once given.
        decisions: What was decided, for the log.
        finished: True once nothing is open any more.
        alarm_ms: When `alarm` is due next; it may come earlier than needed.
    """

    def __init__(
        self,
        call: CallerCall,
        route: Route,
        services: tuple[str, ...],
        version: int,
        shared: Shared,
        now_ms: float,
    ) -> None:
        self.call = call
        self.route = route
        self.version = version
        self.shared = shared
        self.moments = timing.moments(route, now_ms, call.time_left_ms)
        self.parts = [Part(service) for service in services]
        self.sends: dict[int, Send] = {}
        self.send_count = 0
        self.reply: Reply | None = None
        self.replied_at_ms = 0.0
        # Kept up to date so that an answer costs the same however many
        # parts there are.
        self.answered_count = 0
        self.ended_count = 0
        self.alarm_ms = self.moments.limit_ms
        self.decisions: list[Decision] = []
        self.finished = False
        self.pace = shared.pace.of(route.name, route.target_ms)
        self.repeatable = route.repeatability is Repeatability.IDEMPOTENT

    def _note(
        self, now_ms: float, kind: str, service: str, leaf: str, detail: str
    ) -> None:
        after_ms = round(now_ms - self.moments.arrived_ms, 1)
        self.decisions.append(Decision(after_ms, kind, service, leaf, detail))

    # Events

    def start(self, now_ms: float) -> list[Effect]:
        """Send all parts."""
        effects: list[Effect] = []
        if self.moments.limit_ms <= now_ms:
            self.reply = Refuse(replying.STATUS_GATEWAY_TIMEOUT, "no time left")
            self.finished = True
            return [self.reply]
        for part in self.parts:
            self.shared.budget.count_request(part.service, now_ms)
            self._place(now_ms, part, effects)
        self._settle(now_ms, effects)
        return effects

    def answered(
        self, now_ms: float, number: int, answer: LeafAnswer
    ) -> list[Effect]:
        """Take the answer of a leaf that ran the request."""
        send = self._close_send(number)
        if send is None:
            return []
        part = send.part
        latency_ms = now_ms - send.started_ms
        effects: list[Effect] = []
        if answer.is_success:
            distance_ms = send.leaf.distance_ms
            send.leaf.answered(now_ms, latency_ms, self.pace.typical_ms)
            self.pace.record(latency_ms, distance_ms)
            if part.answer is None:
                part.answer = answer
                self.answered_count += 1
                self._expect_partial(now_ms)
        else:
            send.leaf.failed(now_ms)
            part.failure = answer
            detail = f"status {answer.status} after {latency_ms:.0f} ms"
            self._note(now_ms, "leaf failed", part.service, _id(send), detail)
            if answer.status >= 500 or self.route.shards:
                self._try_again(now_ms, part, effects)
            else:
                self._end(part)
        self._settle(now_ms, effects)
        return effects

    def failed(
        self, now_ms: float, number: int, fate: Fate, detail: str
    ) -> list[Effect]:
        """Take that a send got no answer."""
        send = self._close_send(number)
        if send is None:
            return []
        part = send.part
        if fate is not Fate.WRONG_LEAF:
            send.leaf.failed(now_ms)
        if fate is not Fate.MAY_HAVE_RUN:
            part.may_have_run -= 1
        if fate is Fate.UNSENT:
            self._never_arrived(part)
        self._note(
            now_ms, f"send {fate.value}", part.service, _id(send), detail
        )
        effects: list[Effect] = []
        self._try_again(now_ms, part, effects)
        self._settle(now_ms, effects)
        return effects

    def alarm(self, now_ms: float) -> list[Effect]:
        """Do what is due by now."""
        effects: list[Effect] = []
        if self.reply is not None:
            if now_ms >= self.replied_at_ms + timing.LINGER_MS:
                self._abandon_all(now_ms, effects)
            return effects
        late = []
        for part in self.parts:
            if part.answer is not None:
                continue
            if part.is_waiting:
                self._place(now_ms, part, effects)
            elif self._is_stuck(now_ms, part):
                self._give_up_part(now_ms, part)
            elif part.hedge_at_ms is not None and now_ms >= part.hedge_at_ms:
                late.append(part)
        self._settle(now_ms, effects)
        if self.reply is None:
            self._hedge_some(now_ms, late, effects)
            self._renew_alarm(now_ms)
        return effects

    def give_up(self, now_ms: float) -> list[Effect]:
        """Answer with what is there: this process ends."""
        effects: list[Effect] = []
        if self.reply is None:
            self._note(now_ms, "process ends", "", "", self._open_text())
            self._answer(now_ms, effects)
        return effects

    def caller_gone(self, now_ms: float) -> list[Effect]:
        """Stop all work: nobody waits for the answer."""
        effects: list[Effect] = []
        if self.reply is None:
            self._note(now_ms, "caller gone", "", "", "")
            self.reply = Refuse(0, "caller gone")
            self.replied_at_ms = now_ms
        self._abandon_all(now_ms, effects)
        return effects

    def _stuck_at_ms(self, part: Part) -> float | None:
        """Return when a part is given up although leafs may still answer.

        A request that may run again is better off at another VM by then, with
        all its attempts. One that may not waits for its leaf to the end.
        """
        if not self.repeatable or part.resolved or not part.open:
            return None
        at_ms = part.newest_send_ms + self.moments.stuck_after_ms
        return at_ms if at_ms <= self.moments.early_until_ms else None

    def _is_stuck(self, now_ms: float, part: Part) -> bool:
        at_ms = self._stuck_at_ms(part)
        return at_ms is not None and now_ms >= at_ms

    def _give_up_part(self, now_ms: float, part: Part) -> None:
        part.stuck = True
        part.hedge_at_ms = None
        leafs = ",".join(_id(send) for send in part.open.values())
        self._note(now_ms, "leafs hang", part.service, leafs, "")
        self._end(part)

    def _alarm_by(self, moment_ms: float) -> None:
        self.alarm_ms = min(self.alarm_ms, moment_ms)

    def _expect_partial(self, now_ms: float) -> None:
        """Wake up when a partial answer is due, if one is permitted."""
        if not self._may_answer_partly():
            return
        moments = self.moments
        in_time = now_ms < moments.target_ms
        self._alarm_by(moments.target_ms if in_time else moments.late_until_ms)

    def _renew_alarm(self, now_ms: float) -> None:
        """Work out when the next alarm is due."""
        self.alarm_ms = self.moments.limit_ms
        self._expect_partial(now_ms)
        for part in self.parts:
            if part.answer is not None:
                continue
            if part.hedge_at_ms is not None:
                self._alarm_by(part.hedge_at_ms)
            stuck_at_ms = self._stuck_at_ms(part)
            if stuck_at_ms is not None:
                self._alarm_by(stuck_at_ms)
            if part.is_waiting:
                self._alarm_by(now_ms + timing.RETRY_PLACING_MS)

    # Sends

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

    def _place(self, now_ms: float, part: Part, effects: list[Effect]) -> None:
        """Send a part to a leaf; it waits or ends if none can take it."""
        chosen = self._choose(now_ms, part)
        if isinstance(chosen, NoLeaf):
            self._wait_or_end(now_ms, part, chosen)
            return
        if not self._charge(now_ms, part, hedge=False):
            self._note(now_ms, "no budget", part.service, "", "")
            self._end(part)
            return
        self._send(now_ms, part, chosen, effects, hedge=False)

    def _charge(self, now_ms: float, part: Part, *, hedge: bool) -> bool:
        """Take a send from the budget, unless it is the first to arrive."""
        if part.arrivals == 0:
            return True
        if not self.shared.budget.take(part.service, now_ms, hedge=hedge):
            return False
        part.charged += 1
        return True

    def _never_arrived(self, part: Part) -> None:
        """Give back what was charged for a send that reached no leaf."""
        part.arrivals -= 1
        if part.charged > max(0, part.arrivals - 1):
            part.charged -= 1
            self.shared.budget.give_back(part.service)

    def _wait_or_end(self, now_ms: float, part: Part, why: NoLeaf) -> None:
        may_wait = why in (NoLeaf.ALL_FULL, NoLeaf.UNSURE)
        if may_wait and now_ms < self.moments.queue_until_ms:
            part.waiting = why.value
            self._alarm_by(now_ms + timing.RETRY_PLACING_MS)
            return
        self._note(now_ms, "no leaf", part.service, "", why.value)
        part.waiting = why.value
        self._end(part)

    def _end(self, part: Part) -> None:
        """Try nothing more for a part."""
        if not part.ended:
            part.ended = True
            self.ended_count += 1

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
            self._alarm_by(part.hedge_at_ms)
        if not is_first:
            kind = "hedge" if hedge else "retry"
            expected_ms = leaf.expected_ms(now_ms, self.pace.typical_ms)
            detail = f"expected {expected_ms:.0f} ms"
            self._note(now_ms, kind, part.service, _id(send), detail)
        effects.append(
            SendToLeaf(send.number, leaf.entry, self.moments.limit_ms - now_ms)
        )

    def _hedge_some(
        self, now_ms: float, late: list[Part], effects: list[Effect]
    ) -> None:
        """Send stragglers again, a few at a time.

        Leafs pause each at its own time. If many parts are late at once, this
        VM or the route as a whole is slow, and second sends would not help.
        """
        most = max(LEAST_HEDGES, math.ceil(HEDGED_PART * len(self.parts)))
        for part in late[:most]:
            self._hedge(now_ms, part, effects)
        for part in late[most:]:
            part.hedge_at_ms = now_ms + HEDGE_PAUSE_MS

    def _hedge(self, now_ms: float, part: Part, effects: list[Effect]) -> None:
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
            self._note(now_ms, "no hedge yet", part.service, "", reason)
        part.hedge_at_ms = now_ms + HEDGE_AGAIN_MS

    def _try_again(
        self, now_ms: float, part: Part, effects: list[Effect]
    ) -> None:
        if part.answer is not None or self.reply is not None or part.open:
            return
        allowed = self.route.attempts if self.repeatable else 1
        if part.may_have_run >= allowed:
            self._end(part)
        else:
            self._place(now_ms, part, effects)

    def _close_send(self, number: int) -> Send | None:
        send = self.sends.pop(number, None)
        if send is None:
            return None
        del send.part.open[number]
        send.leaf.outstanding.pop(id(send), None)
        self._check_finished()
        return send

    def _check_finished(self) -> None:
        self.finished = self.reply is not None and not self.sends

    def _abandon_all(self, now_ms: float, effects: list[Effect]) -> None:
        for number, send in list(self.sends.items()):
            effects.append(AbandonSend(number))
            self._close_send(number)
            if now_ms - send.started_ms > HUNG_MS:
                send.leaf.failed(now_ms)
        self._check_finished()

    # The answer

    def _may_answer_partly(self) -> bool:
        if not self.route.shards:
            return False
        return replying.may_gather(
            self.route, self.answered_count, len(self.parts)
        )

    def _settle(self, now_ms: float, effects: list[Effect]) -> None:
        """Answer if it is time to."""
        if self.reply is not None:
            return
        if self._is_resolved():
            self._answer(now_ms, effects)
        elif now_ms >= self.moments.limit_ms or self._partial_is_due(now_ms):
            self._note(now_ms, "stopped waiting", "", "", self._open_text())
            self._answer(now_ms, effects)
        elif self.ended_count and self._is_hopeless():
            self._answer(now_ms, effects)

    def _is_resolved(self) -> bool:
        if self.answered_count + self.ended_count < len(self.parts):
            return False
        return all(part.resolved for part in self.parts)

    def _partial_is_due(self, now_ms: float) -> bool:
        if not self._may_answer_partly():
            return False
        moments = self.moments
        overdue_ms = now_ms - moments.target_ms
        in_time = 0.0 <= overdue_ms < timing.TARGET_MARGIN_MS
        return in_time or now_ms >= moments.late_until_ms

    def _is_hopeless(self) -> bool:
        """Return whether too many parts ended for a permitted answer."""
        if not self.route.shards:
            return False
        ended = sum(
            1 for part in self.parts if part.resolved and part.answer is None
        )
        possible = len(self.parts) - ended
        return possible < self.route.min_coverage * len(self.parts)

    def _open_text(self) -> str:
        return ",".join(
            part.service for part in self.parts if part.answer is None
        )

    def _answer(self, now_ms: float, effects: list[Effect]) -> None:
        self.reply = replying.final_reply(
            self.route, self.parts, self.moments.limit_ms, now_ms
        )
        self.replied_at_ms = now_ms
        effects.append(self.reply)
        is_success = isinstance(self.reply, AnswerGathered | PassOn)
        if not is_success:
            self._abandon_all(now_ms, effects)
        self.alarm_ms = now_ms + timing.LINGER_MS
        self._check_finished()


def _id(send: Send) -> str:
    return send.leaf.entry.leaf_id
