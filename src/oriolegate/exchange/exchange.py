"""One request, from its arrival to its answer.

Has every part sent to a leaf and decides when to answer. Takes events with
the time and returns effects; does no I/O.
"""

from oriolegate.exchange import replying
from oriolegate.exchange import timing
from oriolegate.exchange.messages import AnswerGathered
from oriolegate.exchange.messages import CallerCall
from oriolegate.exchange.messages import Decision
from oriolegate.exchange.messages import Effect
from oriolegate.exchange.messages import Fate
from oriolegate.exchange.messages import LeafAnswer
from oriolegate.exchange.messages import PassOn
from oriolegate.exchange.messages import Refuse
from oriolegate.exchange.messages import Reply
from oriolegate.exchange.part import Part
from oriolegate.exchange.part_sender import PartSender
from oriolegate.exchange.part_sender import Shared
from oriolegate.models.site import Route


class Exchange:
    """The state of one request.

    Attributes:
        call: What the caller sent.
        route: The route that it takes.
        version: The configuration version that it keeps to.
        parts: What is needed, one part for each service.
        sender: Its sends to leafs.
        reply: The answer, once given.
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
        self.budget = shared.budget
        self.moments = timing.moments(route, now_ms, call.time_left_ms)
        self.parts = [Part(service) for service in services]
        self.sender = PartSender(route, self.moments, shared)
        self.reply: Reply | None = None
        self.replied_at_ms = 0.0
        # Kept up to date so that an answer costs the same however many
        # parts there are.
        self.answered_count = 0

    @property
    def finished(self) -> bool:
        """Whether nothing is open any more."""
        return self.reply is not None and not self.sender.sends

    @property
    def alarm_ms(self) -> float:
        """When `alarm` is due next; it may come earlier than needed."""
        return self.sender.alarm_ms

    @property
    def send_count(self) -> int:
        """How many sends to leafs there were."""
        return self.sender.send_count

    @property
    def decisions(self) -> list[Decision]:
        """What was decided, for the log."""
        return self.sender.decisions

    # Events

    def start(self, now_ms: float) -> list[Effect]:
        """Send all parts."""
        effects: list[Effect] = []
        if self.moments.limit_ms <= now_ms:
            self.reply = Refuse(replying.STATUS_GATEWAY_TIMEOUT, "no time left")
            return [self.reply]
        for part in self.parts:
            self.budget.count_request(part.service, now_ms)
            self.sender.place(now_ms, part, effects)
        self._settle(now_ms, effects)
        return effects

    def answered(
        self, now_ms: float, number: int, answer: LeafAnswer
    ) -> list[Effect]:
        """Take the answer of a leaf that ran the request."""
        send = self.sender.close(number)
        if send is None:
            return []
        part = send.part
        latency_ms = now_ms - send.started_ms
        effects: list[Effect] = []
        if answer.is_success:
            pace = self.sender.pace
            send.leaf.answered(now_ms, latency_ms, pace.typical_ms)
            pace.record(latency_ms, send.leaf.distance_ms)
            if part.answer is None:
                part.answer = answer
                self.answered_count += 1
                self._expect_partial(now_ms)
        else:
            send.leaf.failed(now_ms)
            part.failure = answer
            detail = f"status {answer.status} after {latency_ms:.0f} ms"
            self.sender.note(
                now_ms, "leaf failed", part.service, send.leaf_id, detail
            )
            if answer.status >= 500 or self.route.shards:
                self._try_again(now_ms, part, effects)
            else:
                self.sender.end(part)
        self._settle(now_ms, effects)
        return effects

    def failed(
        self, now_ms: float, number: int, fate: Fate, detail: str
    ) -> list[Effect]:
        """Take that a send got no answer."""
        send = self.sender.close(number)
        if send is None:
            return []
        part = send.part
        if fate is not Fate.WRONG_LEAF:
            send.leaf.failed(now_ms)
        if fate is not Fate.MAY_HAVE_RUN:
            part.may_have_run -= 1
        if fate is Fate.UNSENT:
            self.sender.never_arrived(part)
        self.sender.note(
            now_ms, f"send {fate.value}", part.service, send.leaf_id, detail
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
                self.sender.abandon_all(now_ms, effects)
            return effects
        late = self._look_at_parts(now_ms, effects)
        self._settle(now_ms, effects)
        if self.reply is None:
            self.sender.hedge(now_ms, late, effects)
            self.sender.renew_alarm(now_ms, self.parts)
            self._expect_partial(now_ms)
        return effects

    def _look_at_parts(
        self, now_ms: float, effects: list[Effect]
    ) -> list[Part]:
        """Do what is due for each part; return those to send again."""
        late = []
        for part in self.parts:
            if part.answer is not None:
                continue
            stuck_at_ms = self.sender.stuck_at_ms(part)
            if part.is_waiting:
                self.sender.place(now_ms, part, effects)
            elif stuck_at_ms is not None and now_ms >= stuck_at_ms:
                self.sender.give_up(now_ms, part)
            elif part.hedge_at_ms is not None and now_ms >= part.hedge_at_ms:
                late.append(part)
        return late

    def give_up(self, now_ms: float) -> list[Effect]:
        """Answer with what is there: this process ends."""
        effects: list[Effect] = []
        if self.reply is None:
            self.sender.note(now_ms, "process ends", detail=self._open_text())
            self._answer(now_ms, effects)
        return effects

    def caller_gone(self, now_ms: float) -> list[Effect]:
        """Stop all work: nobody waits for the answer."""
        effects: list[Effect] = []
        if self.reply is None:
            self.sender.note(now_ms, "caller gone")
            self.reply = Refuse(0, "caller gone")
            self.replied_at_ms = now_ms
        self.sender.abandon_all(now_ms, effects)
        return effects

    def _try_again(
        self, now_ms: float, part: Part, effects: list[Effect]
    ) -> None:
        if self.reply is None:
            self.sender.try_again(now_ms, part, effects)

    # The answer

    def _may_answer_partly(self) -> bool:
        if not self.route.shards:
            return False
        return replying.may_gather(
            self.route, self.answered_count, len(self.parts)
        )

    def _expect_partial(self, now_ms: float) -> None:
        """Wake up when a partial answer is due, if one is permitted."""
        if not self._may_answer_partly():
            return
        moments = self.moments
        in_time = now_ms < moments.target_ms
        self.sender.alarm_by(
            moments.target_ms if in_time else moments.late_until_ms
        )

    def _settle(self, now_ms: float, effects: list[Effect]) -> None:
        """Answer if it is time to."""
        if self.reply is not None:
            return
        if self._is_resolved():
            self._answer(now_ms, effects)
        elif now_ms >= self.moments.limit_ms or self._partial_is_due(now_ms):
            self.sender.note(
                now_ms, "stopped waiting", detail=self._open_text()
            )
            self._answer(now_ms, effects)
        elif self.sender.ended_count and self._is_hopeless():
            self._answer(now_ms, effects)

    def _is_resolved(self) -> bool:
        if self.answered_count + self.sender.ended_count < len(self.parts):
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
            self.sender.abandon_all(now_ms, effects)
        self.sender.alarm_ms = now_ms + timing.LINGER_MS
