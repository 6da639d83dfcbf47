"""The coordinator: turns callers' requests into answers.

It decides which version a query is pinned to, when its sub-requests are sent
and sent again, and when it is answered. It never mixes index versions in one
answer, never sends a request that is not idempotent again after it may have
run, and never does I/O.
"""

import heapq

from oriolegate.coordinator import admission
from oriolegate.coordinator import canary
from oriolegate.coordinator import dispatch
from oriolegate.coordinator import hedging
from oriolegate.coordinator import outcome
from oriolegate.coordinator import replies
from oriolegate.coordinator.messages import AnswerAll
from oriolegate.coordinator.messages import CallerGone
from oriolegate.coordinator.messages import CanaryChosen
from oriolegate.coordinator.messages import CapacityChanged
from oriolegate.coordinator.messages import Deliver
from oriolegate.coordinator.messages import Effect
from oriolegate.coordinator.messages import Event
from oriolegate.coordinator.messages import HeldReleased
from oriolegate.coordinator.messages import QueryArrived
from oriolegate.coordinator.messages import RequestAborted
from oriolegate.coordinator.messages import SetTimer
from oriolegate.coordinator.messages import SubAnswered
from oriolegate.coordinator.messages import SubFailed
from oriolegate.coordinator.messages import SubLost
from oriolegate.coordinator.messages import SubNotRun
from oriolegate.coordinator.messages import SubUnsent
from oriolegate.coordinator.messages import TimerFired
from oriolegate.coordinator.query import any_answered
from oriolegate.coordinator.query import new_query
from oriolegate.coordinator.query import QueryState
from oriolegate.coordinator.query import ShardState
from oriolegate.coordinator.query import wanted_shards
from oriolegate.coordinator.state import CoordinatorState
from oriolegate.coordinator.state import WakeKind
from oriolegate.models.answer import Answer
from oriolegate.models.answer import Refusal
from oriolegate.models.policy import CoverageMode
from oriolegate.models.topology import ServiceTopology
from oriolegate.result_codes import ResultCode
from oriolegate.timeline.events import EventBuffer
from oriolegate.timeline.events import EventKind
from oriolegate.upstreams.leaf_table import LeafTable


class Coordinator:
    """The state machine of all queries of one process.

    Attributes:
        state: Queries, budgets and wake-ups.
    """

    def __init__(self, leafs: LeafTable, events: EventBuffer) -> None:
        self.state = CoordinatorState(leafs, events)

    def step(self, now_ms: float, event: Event) -> list[Effect]:
        """Take one event and return the effects to carry out, in order."""
        match event:
            case SubAnswered():
                query = replies.answered(self.state, now_ms, event)
                if query is not None:
                    self._finish(now_ms, query)
            case QueryArrived():
                self._arrived(now_ms, event)
            case TimerFired():
                self.state.timer_at_ms = None
                self._wake(now_ms)
            case SubNotRun():
                self._not_run(now_ms, event)
            case SubFailed():
                self._check(now_ms, replies.failed(self.state, now_ms, event))
            case SubLost():
                self._check(now_ms, replies.lost(self.state, now_ms, event))
            case SubUnsent():
                self._check(now_ms, replies.unsent(self.state, now_ms, event))
            case CallerGone():
                self._caller_gone(now_ms, event)
            case CapacityChanged():
                self._drain_all(now_ms)
            case AnswerAll():
                for query in list(self.state.queries.values()):
                    self._finish(now_ms, query)
            case CanaryChosen() | HeldReleased() | RequestAborted():
                self._admitted(now_ms, event)
        self._set_timer()
        effects = self.state.effects
        self.state.effects = []
        return effects

    def _arrived(self, now_ms: float, event: QueryArrived) -> None:
        state = self.state
        state.counters.queries += 1
        request = event.request
        service = state.service(event.budget_name, event.policy)
        query = new_query(state.next_query, now_ms, event)
        state.next_query += 1
        topology = state.leafs.topologies.get(event.service)
        refusal = admission.check(now_ms, query, service, topology, state.leafs)
        if refusal is not None:
            self._refuse(now_ms, refusal)
            return
        assert topology is not None
        state.queries[query.number] = query
        state.numbers[request.request_id] = query.number
        state.wake_at(
            query.hard_deadline_ms, WakeKind.HARD_DEADLINE, query.number
        )
        if event.policy.coverage_mode is CoverageMode.TAIL_FIRST:
            state.wake_at(
                query.soft_deadline_ms, WakeKind.SOFT_DEADLINE, query.number
            )
        version = event.index_version
        if version is None or version not in topology.versions:
            version = topology.current
        self._pin(now_ms, query, topology, version)

    def _pin(
        self,
        now_ms: float,
        query: QueryState,
        topology: ServiceTopology,
        version: int,
    ) -> None:
        """Pin a version and send the first attempt of each shard."""
        state = self.state
        query.index_version = version
        for number in wanted_shards(query, topology, version):
            replicas = topology.versions[version].shards[number]
            shard = ShardState(
                number, replicas, replicas, attempts=query.first_attempt
            )
            query.shards[number] = shard
        query.open_shards = len(query.shards)
        service = state.services[query.arrived.budget_name]
        service.hedges.earn(query.open_shards)
        service.retries.earn(query.open_shards)
        state.counters.needed += query.open_shards
        state.events.record(
            now_ms,
            EventKind.SNAPSHOT_PINNED,
            query.request_id,
            query.arrived.service,
            version,
            query.open_shards,
        )
        if query.held:
            canary.ask(state, now_ms, query)
        else:
            for shard in query.shards.values():
                dispatch.start_shard(state, now_ms, query, shard)
            hedging.plan_hedges(state, now_ms, query)
        self._check(now_ms, query)

    def _admitted(
        self,
        now_ms: float,
        event: CanaryChosen | HeldReleased | RequestAborted,
    ) -> None:
        """Take what the quarantine answered for a held query."""
        query = self.state.queries.get(event.query)
        # A query that ended, or that was pinned anew, dropped its admission.
        if query is None or not query.held:
            return
        match event:
            case CanaryChosen():
                canary.send(self.state, now_ms, query, event)
                self._check(now_ms, query)
            case HeldReleased():
                canary.release(self.state, now_ms, query)
                self._check(now_ms, query)
            case RequestAborted(_, code, retry_after_ms):
                result = outcome.refusal(
                    query,
                    code,
                    "the request may crash upstreams and is in quarantine",
                    retry_after_ms,
                )
                self._forget(now_ms, query)
                self._refuse(now_ms, result)

    def _not_run(self, now_ms: float, event: SubNotRun) -> None:
        query, stale = replies.not_run(self.state, now_ms, event)
        if query is None:
            return
        if stale and not self._repin(now_ms, query):
            replies.retry_stale(self.state, now_ms, query, event.sub.shard)
        self._check(now_ms, query)

    def _repin(self, now_ms: float, query: QueryState) -> bool:
        """Pin the whole query again, once, if a newer version is known."""
        topology = self.state.leafs.topologies[query.arrived.service]
        if query.repinned or topology.current <= query.index_version:
            return False
        if query.held:
            canary.drop(self.state, query)
        self._drop_attempts(now_ms, query)
        query.repinned = True
        self.state.counters.repinned += 1
        self.state.events.record(
            now_ms,
            EventKind.REPINNED,
            query.request_id,
            query.index_version,
            topology.current,
        )
        query.first_attempt = max(
            shard.attempts for shard in query.shards.values()
        )
        query.may_have_run = outcome.run_state_of(query).value != "not_run"
        query.shards = {}
        self._pin(now_ms, query, topology, topology.current)
        return True

    def _drop_attempts(self, now_ms: float, query: QueryState) -> None:
        for shard in query.shards.values():
            shard.may_have_run = shard.may_have_run or bool(shard.in_flight)
            dispatch.stop_waiting(self.state, query, shard)
            dispatch.cancel_others(self.state, now_ms, query, shard)

    def _check(self, now_ms: float, query: QueryState | None) -> None:
        """Finish a query that has no open shard."""
        if query is None or query.open_shards > 0:
            return
        if query.number in self.state.queries:
            self._finish(now_ms, query)

    def _finish(self, now_ms: float, query: QueryState) -> None:
        state = self.state
        result = outcome.outcome_of(query)
        self._forget(now_ms, query)
        if isinstance(result, Refusal):
            self._refuse(now_ms, result)
            return
        self._deliver_answer(now_ms, result)
        state.counters.answered += 1

    def _deliver_answer(self, now_ms: float, answer: Answer) -> None:
        self.state.effects.append(Deliver(answer))
        self.state.events.record(
            now_ms,
            EventKind.ANSWERED,
            answer.request_id,
            answer.index_version,
            answer.coverage.shards_answered,
            answer.coverage.shards_total,
        )

    def _refuse(self, now_ms: float, refusal: Refusal) -> None:
        self.state.counters.refused += 1
        self.state.effects.append(Deliver(refusal))
        self.state.events.record(
            now_ms,
            EventKind.REFUSED,
            refusal.request_id,
            int(refusal.code),
            refusal.run_state.value,
        )

    def _forget(self, now_ms: float, query: QueryState) -> None:
        del self.state.queries[query.number]
        self.state.numbers.pop(query.request_id, None)
        if query.held:
            canary.drop(self.state, query)
        self._drop_attempts(now_ms, query)

    def _caller_gone(self, now_ms: float, event: CallerGone) -> None:
        number = self.state.numbers.get(event.request_id)
        if number is None:
            return
        query = self.state.queries[number]
        self.state.events.record(
            now_ms, EventKind.CALLER_GONE, event.request_id
        )
        # A request that is not idempotent runs on: its outcome is recorded
        # with its claim, and cancelling it would leave that unknown.
        if query.arrived.request.idempotent:
            refusal = outcome.refusal(
                query, ResultCode.CALLER_GONE, "the caller is gone"
            )
            self._forget(now_ms, query)
            self._refuse(now_ms, refusal)

    def _wake(self, now_ms: float) -> None:
        wakeups = self.state.wakeups
        while wakeups and wakeups[0][0] <= now_ms:
            _, _, kind, key = heapq.heappop(wakeups)
            if kind is WakeKind.LEAF_RESTED:
                leaf = self.state.leafs.leafs.get(str(key))
                if leaf is not None:
                    dispatch.drain_queue(self.state, now_ms, leaf)
                continue
            query = self.state.queries.get(int(key))
            if query is not None:
                self._wake_query(now_ms, query, kind)

    def _wake_query(
        self, now_ms: float, query: QueryState, kind: WakeKind
    ) -> None:
        if kind is WakeKind.ADMISSION:
            canary.ask_again(self.state, now_ms, query)
            return
        if kind is WakeKind.HEDGE:
            hedging.hedge(self.state, now_ms, query)
            return
        if kind is WakeKind.SOFT_DEADLINE and not any_answered(query):
            query.soft_passed = True
            return
        for shard in query.shards.values():
            if not shard.done and shard.attempts == query.first_attempt:
                shard.missing = ResultCode.UPSTREAM_BUSY
        self._finish(now_ms, query)

    def _drain_all(self, now_ms: float) -> None:
        for name in list(self.state.waiters):
            leaf = self.state.leafs.leafs.get(name)
            if leaf is not None:
                dispatch.drain_queue(self.state, now_ms, leaf)

    def _set_timer(self) -> None:
        state = self.state
        if not state.wakeups:
            return
        at_ms = state.wakeups[0][0]
        if state.timer_at_ms is None or at_ms < state.timer_at_ms:
            state.timer_at_ms = at_ms
            state.effects.append(SetTimer(at_ms))
