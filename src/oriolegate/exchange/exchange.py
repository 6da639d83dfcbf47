"""State machine of one request, from its arrival to its answer.

Sends every part to a leaf and decides when to reply. Takes events with their
time and returns effects; does no I/O.
"""

from oriolegate.exchange import replying
from oriolegate.exchange import timing
from oriolegate.exchange.messages import AnswerGathered
from oriolegate.exchange.messages import CallerCall
from oriolegate.exchange.messages import Decision
from oriolegate.exchange.messages import Effect
from oriolegate.exchange.messages import LeafAnswer
from oriolegate.exchange.messages import Refuse
from oriolegate.exchange.messages import RelayAnswer
from oriolegate.exchange.messages import Reply
from oriolegate.exchange.messages import RequestHistory
from oriolegate.exchange.messages import SendOutcome
from oriolegate.exchange.part import Part
from oriolegate.exchange.part_sender import ExchangeContext
from oriolegate.exchange.part_sender import PartSender
from oriolegate.models.site import Route
from oriolegate.placement import slow_leafs

NO_HISTORY = RequestHistory()


class Exchange:
    """State of one request.

    Attributes:
        call: The caller's request.
        route: Route of the request.
        version: Configuration version that is used until the request ends.
        parts: One part for each service that has to answer.
        sender: Sends the parts to leafs.
        reply: The reply to the caller, or None before the caller gets it.
        answered_count: Number of parts with an answer.
        awaits_trial: Whether the request may crash leafs: only its first part
            is sent, to one leaf at a time, until a leaf has answered it.
    """

    def __init__(
        self,
        call: CallerCall,
        route: Route,
        services: tuple[str, ...],
        version: int,
        context: ExchangeContext,
        arrived_ms: float,
        *,
        history: RequestHistory = NO_HISTORY,
        is_trial: bool = False,
    ) -> None:
        """Create the state of a request.

        Args:
            call: The caller's request.
            route: Route of the request.
            services: Services that have to answer.
            version: Configuration version that is used.
            context: State that all exchanges share.
            arrived_ms: When the request arrived, here or at the VM that
                forwarded it.
            history: What other VMs did with the request.
            is_trial: Whether the request may crash leafs.
        """
        self.call = call
        self.route = route
        self.version = version
        self.budget = context.budget
        self.deadlines = timing.compute_deadlines(
            route, arrived_ms, call.time_left_ms
        )
        self.is_counted = history.is_counted
        # An arrival at another VM makes each one here an extra one.
        arrivals = int(history.has_arrived)
        self.parts = [Part(service, arrivals=arrivals) for service in services]
        self.sender = PartSender(
            route, self.deadlines, context, history.hold_until_ms
        )
        self.reply: Reply | None = None
        self.replied_at_ms = 0.0
        # Updated incrementally, so that handling an answer takes constant time
        # regardless of the number of parts.
        self.answered_count = 0
        self.awaits_trial = is_trial

    @property
    def is_finished(self) -> bool:
        """Whether the caller has its reply and no send is open."""
        return self.reply is not None and not self.sender.sends

    @property
    def timer_due_ms(self) -> float:
        """When `on_timer` is due next, or an earlier time."""
        return self.sender.timer_due_ms

    @property
    def send_count(self) -> int:
        """Number of sends to leafs so far."""
        return self.sender.send_count

    @property
    def decisions(self) -> list[Decision]:
        """Decisions so far, for the log."""
        return self.sender.decisions

    # Events

    def start(self, now_ms: float) -> list[Effect]:
        """Send all parts."""
        effects: list[Effect] = []
        if self.deadlines.limit_ms <= now_ms:
            self.reply = Refuse(replying.STATUS_GATEWAY_TIMEOUT, "no time left")
            return [self.reply]
        if not self.is_counted:
            for part in self.parts:
                self.budget.count_request(part.service, now_ms)
        first = self.parts[:1] if self.awaits_trial else self.parts
        self._place_all(now_ms, first, effects)
        self._reply_if_due(now_ms, effects)
        return effects

    def _place_all(
        self, now_ms: float, parts: list[Part], effects: list[Effect]
    ) -> None:
        """Send parts, unless the request is refused in any case."""
        chosen_leafs = [
            self.sender.choose_or_wait(now_ms, part) for part in parts
        ]
        # Leafs must not work for a request that is refused in any case.
        if self.sender.ended_count and self._is_coverage_unreachable():
            return
        for part, leaf in zip(parts, chosen_leafs, strict=True):
            if leaf is not None:
                self.sender.place_on(now_ms, part, leaf, effects)

    def _end_trial(self, now_ms: float, effects: list[Effect]) -> None:
        """Send the other parts after the first success, or end without one."""
        first, *others = self.parts
        if first.answer is not None:
            self.awaits_trial = False
            self._place_all(now_ms, others, effects)
        elif first.is_resolved:
            self.awaits_trial = False
            for part in others:
                self.sender.end(part)

    def on_answer(
        self, now_ms: float, number: int, answer: LeafAnswer
    ) -> list[Effect]:
        """Handle the response of a leaf that ran the request."""
        send = self.sender.close(number)
        if send is None:
            return []
        part = send.part
        latency_ms = now_ms - send.started_ms
        effects: list[Effect] = []
        if answer.is_success:
            route_latency = self.sender.route_latency
            send.leaf.record_success(
                now_ms, latency_ms, route_latency.typical_ms
            )
            work_ms = latency_ms - send.leaf.distance_ms - send.connect_ms
            self.sender.context.directory.record_answer(
                send.leaf,
                send.started_ms,
                is_late=work_ms
                > slow_leafs.LATE_FACTOR * route_latency.typical_ms,
            )
            route_latency.record(latency_ms, send.leaf.distance_ms)
            if part.answer is None:
                part.answer = answer
                self.answered_count += 1
                self._schedule_partial(now_ms)
        else:
            send.leaf.record_failure(now_ms)
            part.failure = answer
            part.is_unreachable = False
            detail = f"status {answer.status} after {latency_ms:.0f} ms"
            self.sender.record_decision(
                now_ms, "leaf failed", part.service, send.leaf_id, detail
            )
            if answer.status >= 500 or self.route.shards:
                self._retry(now_ms, part, effects)
            else:
                self.sender.end(part)
        self._reply_if_due(now_ms, effects)
        return effects

    def on_failure(
        self, now_ms: float, number: int, outcome: SendOutcome, detail: str
    ) -> list[Effect]:
        """Handle a send that got no answer."""
        send = self.sender.close(number)
        if send is None:
            return []
        part = send.part
        part.is_unreachable = outcome is SendOutcome.UNSENT
        if outcome is not SendOutcome.WRONG_LEAF:
            send.leaf.record_failure(now_ms)
        if outcome is not SendOutcome.MAY_HAVE_RUN:
            part.possible_runs -= 1
        if outcome is SendOutcome.UNSENT:
            self.sender.refund_unsent(part)
        self.sender.record_decision(
            now_ms, f"send {outcome.value}", part.service, send.leaf_id, detail
        )
        effects: list[Effect] = []
        if self.awaits_trial and outcome is SendOutcome.MAY_HAVE_RUN:
            # The leaf may have crashed; another one must not.
            self.sender.end(part)
        else:
            self._retry(now_ms, part, effects)
        self._reply_if_due(now_ms, effects)
        return effects

    def on_timer(self, now_ms: float) -> list[Effect]:
        """Perform all actions that are due."""
        effects: list[Effect] = []
        if self.reply is not None:
            if now_ms >= self.replied_at_ms + timing.LATE_ANSWER_GRACE_MS:
                self.sender.abandon_all(now_ms, effects)
            return effects
        stragglers = self._process_open_parts(now_ms, effects)
        self._reply_if_due(now_ms, effects)
        if self.reply is None:
            self.sender.hedge(now_ms, stragglers, effects)
            self.sender.reset_timer(now_ms, self.parts)
            self._schedule_partial(now_ms)
        return effects

    def _process_open_parts(
        self, now_ms: float, effects: list[Effect]
    ) -> list[Part]:
        """Place waiting parts, give up stalled parts, return parts to hedge."""
        stragglers = []
        for part in self.parts:
            if part.answer is not None:
                continue
            stalled_at_ms = self.sender.stalled_at_ms(part)
            if part.is_waiting:
                self.sender.place(now_ms, part, effects)
            elif stalled_at_ms is not None and now_ms >= stalled_at_ms:
                self.sender.give_up(now_ms, part)
            elif part.hedge_at_ms is not None and now_ms >= part.hedge_at_ms:
                if self.awaits_trial:
                    part.hedge_at_ms = None
                else:
                    stragglers.append(part)
        return stragglers

    def on_process_end(self, now_ms: float) -> list[Effect]:
        """Reply with the answers received so far, as the process ends."""
        effects: list[Effect] = []
        if self.reply is None:
            self.sender.record_decision(
                now_ms, "process ends", detail=self._unanswered_services()
            )
            self._finalize(now_ms, effects)
        return effects

    def on_cut_off(self, now_ms: float) -> list[Effect]:
        """End with what has arrived, as this VM reaches no leaf.

        A request that may not run twice waits if a leaf may have run it.
        """
        effects: list[Effect] = []
        may_retry = self.sender.repeatable or not self.used_attempts
        if self.reply is None and may_retry:
            self.sender.record_decision(
                now_ms, "cut off", detail=self._unanswered_services()
            )
            for part in self.parts:
                part.is_unreachable = part.answer is None
            self._finalize(now_ms, effects)
        return effects

    @property
    def used_attempts(self) -> int:
        """Number of leafs of one service that may have run the request."""
        return max(part.possible_runs for part in self.parts)

    @property
    def has_arrived(self) -> bool:
        """Whether a leaf may have received the request."""
        return any(part.arrivals for part in self.parts)

    @property
    def may_be_forwarded(self) -> bool:
        """Whether another VM may still run the request."""
        if self.used_attempts >= self.route.attempts:
            return False
        return self.sender.repeatable or not self.used_attempts

    def charge_forward(self, now_ms: float) -> bool:
        """Charge what another VM sends again to the retry budget.

        Returns:
            Whether the budget allows it.
        """
        return self.budget.take_each(
            (part.service for part in self.parts if part.arrivals), now_ms
        )

    def on_caller_disconnected(self, now_ms: float) -> list[Effect]:
        """Cancel all work after the caller has disconnected."""
        effects: list[Effect] = []
        if self.reply is None:
            self.sender.record_decision(now_ms, "caller gone")
            self.reply = Refuse(0, "caller gone")
            self.replied_at_ms = now_ms
        self.sender.abandon_all(now_ms, effects)
        return effects

    def _retry(self, now_ms: float, part: Part, effects: list[Effect]) -> None:
        if self.reply is None:
            self.sender.retry(now_ms, part, effects)

    # The reply

    def _may_reply_partially(self) -> bool:
        if not self.route.shards:
            return False
        return replying.has_enough_parts(
            self.route, self.answered_count, len(self.parts)
        )

    def _schedule_partial(self, now_ms: float) -> None:
        """Set the timer for a partial reply, if enough parts are answered.

        After the reply its time has passed, and the timer would fire without
        end until the last sends are abandoned.
        """
        if self.reply is not None or not self._may_reply_partially():
            return
        deadlines = self.deadlines
        is_on_time = now_ms < deadlines.target_ms
        self.sender.ensure_timer_by(
            deadlines.target_ms if is_on_time else deadlines.late_until_ms
        )

    def _reply_if_due(self, now_ms: float, effects: list[Effect]) -> None:
        if self.reply is not None:
            return
        if self.awaits_trial:
            self._end_trial(now_ms, effects)
        if self._is_resolved():
            self._finalize(now_ms, effects)
        elif now_ms >= self.deadlines.limit_ms or self._is_partial_due(now_ms):
            self.sender.record_decision(
                now_ms, "stopped waiting", detail=self._unanswered_services()
            )
            self._finalize(now_ms, effects)
        elif self.sender.ended_count and self._is_coverage_unreachable():
            self._finalize(now_ms, effects)

    def _is_resolved(self) -> bool:
        if self.answered_count + self.sender.ended_count < len(self.parts):
            return False
        return all(part.is_resolved for part in self.parts)

    def _is_partial_due(self, now_ms: float) -> bool:
        if not self._may_reply_partially():
            return False
        deadlines = self.deadlines
        overdue_ms = now_ms - deadlines.target_ms
        is_on_time = 0.0 <= overdue_ms < timing.TARGET_MARGIN_MS
        return is_on_time or now_ms >= deadlines.late_until_ms

    def _is_coverage_unreachable(self) -> bool:
        """Return whether too many parts ended without an answer."""
        if not self.route.shards:
            return False
        failed_count = sum(
            1 for part in self.parts if part.is_resolved and part.answer is None
        )
        answerable_count = len(self.parts) - failed_count
        return answerable_count < self.route.min_coverage * len(self.parts)

    def _unanswered_services(self) -> str:
        return ",".join(
            part.service for part in self.parts if part.answer is None
        )

    def _finalize(self, now_ms: float, effects: list[Effect]) -> None:
        self.reply = replying.final_reply(
            self.route, self.parts, self.deadlines.limit_ms, now_ms
        )
        self.replied_at_ms = now_ms
        effects.append(self.reply)
        is_success = isinstance(self.reply, AnswerGathered | RelayAnswer)
        if not is_success:
            self.sender.abandon_all(now_ms, effects)
        self.sender.timer_due_ms = now_ms + timing.LATE_ANSWER_GRACE_MS
