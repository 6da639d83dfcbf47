"""The state machine of all queries of a process, from arrival to answer.

The coordinator pins each query to an index version, decides when sub-requests
are sent, retried and hedged, and when the query is answered. It never mixes
index versions in one answer, never resends a non-idempotent request that may
have run, and does no I/O.
"""

import heapq

from oriolegate.coordinator import admission_control
from oriolegate.coordinator import canary
from oriolegate.coordinator import dispatch
from oriolegate.coordinator import hedging
from oriolegate.coordinator import query_outcome
from oriolegate.coordinator import sub_request_events
from oriolegate.coordinator.coordinator_state import CoordinatorState
from oriolegate.coordinator.coordinator_state import WakeKind
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
from oriolegate.coordinator.query_state import has_any_results
from oriolegate.coordinator.query_state import new_query
from oriolegate.coordinator.query_state import QueryState
from oriolegate.coordinator.query_state import ShardState
from oriolegate.coordinator.query_state import target_shards
from oriolegate.models.answer import Answer
from oriolegate.models.answer import Refusal
from oriolegate.models.policy import CoverageMode
from oriolegate.models.topology import ServiceTopology
from oriolegate.result_codes import ResultCode
from oriolegate.timeline.events import EventBuffer
from oriolegate.timeline.events import EventKind
from oriolegate.upstreams.leaf_table import LeafTable


class Coordinator:
    """Handles events and returns effects for all queries of a process.

    Attributes:
        state: Queries, budgets and wake-ups.
    """

    def __init__(self, leafs: LeafTable, events: EventBuffer) -> None:
        self.state = CoordinatorState(leafs, events)

    def step(self, now_ms: float, event: Event) -> list[Effect]:
        """Handle one event; return the effects to carry out, in order."""
        match event:
            case SubAnswered():
                query = sub_request_events.on_answered(
                    self.state, now_ms, event
                )
                if query is not None:
                    self._finish(now_ms, query)
            case QueryArrived():
                self._on_query_arrived(now_ms, event)
            case TimerFired():
                self.state.timer_at_ms = None
                self._run_due_wakeups(now_ms)
            case SubNotRun():
                self._on_not_run(now_ms, event)
            case SubFailed():
                self._finish_if_complete(
                    now_ms,
                    sub_request_events.on_failed(self.state, now_ms, event),
                )
            case SubLost():
                self._finish_if_complete(
                    now_ms,
                    sub_request_events.on_lost(self.state, now_ms, event),
                )
            case SubUnsent():
                self._finish_if_complete(
                    now_ms,
                    sub_request_events.on_unsent(self.state, now_ms, event),
                )
            case CallerGone():
                self._on_caller_gone(now_ms, event)
            case CapacityChanged():
                self._drain_queues(now_ms)
            case AnswerAll():
                for query in list(self.state.queries.values()):
                    self._finish(now_ms, query)
            case CanaryChosen() | HeldReleased() | RequestAborted():
                self._on_admission(now_ms, event)
        self._set_timer()
        effects = self.state.effects
        self.state.effects = []
        return effects

    def _on_query_arrived(self, now_ms: float, event: QueryArrived) -> None:
        state = self.state
        state.counters.queries += 1
        request = event.request
        service = state.service(event.budget_name, event.policy)
        query = new_query(state.next_query, now_ms, event)
        state.next_query += 1
        topology = state.leafs.topologies.get(event.service)
        refusal = admission_control.check_arrival(
            now_ms, query, service, topology, state.leafs
        )
        if refusal is not None:
            self._deliver_refusal(now_ms, refusal)
            return
        assert topology is not None
        state.queries[query.number] = query
        state.query_numbers[request.request_id] = query.number
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
        """Pin the query to an index version and start its shards."""
        state = self.state
        query.index_version = version
        for number in target_shards(query, topology, version):
            replicas = topology.versions[version].shards[number]
            shard = ShardState(
                number, replicas, replicas, attempts=query.first_attempt_of_pin
            )
            query.shards[number] = shard
        query.open_shards = len(query.shards)
        service = state.services[query.arrival.budget_name]
        service.hedges.earn(query.open_shards)
        service.retries.earn(query.open_shards)
        state.counters.needed += query.open_shards
        state.events.record(
            now_ms,
            EventKind.SNAPSHOT_PINNED,
            query.request_id,
            query.arrival.service,
            version,
            query.open_shards,
        )
        if query.held:
            canary.request_admission(state, now_ms, query)
        else:
            for shard in query.shards.values():
                dispatch.send_or_queue(state, now_ms, query, shard)
            hedging.schedule_hedges(state, now_ms, query)
        self._finish_if_complete(now_ms, query)

    def _on_admission(
        self,
        now_ms: float,
        event: CanaryChosen | HeldReleased | RequestAborted,
    ) -> None:
        """Handle a decision of the quarantine on a held query."""
        query = self.state.queries.get(event.query)
        # The decision may be late: a query that ended or was pinned again has
        # withdrawn its request for admission.
        if query is None or not query.held:
            return
        match event:
            case CanaryChosen():
                canary.send_canary(self.state, now_ms, query, event)
                self._finish_if_complete(now_ms, query)
            case HeldReleased():
                canary.release_query(self.state, now_ms, query)
                self._finish_if_complete(now_ms, query)
            case RequestAborted(_, code, retry_after_ms):
                result = query_outcome.build_refusal(
                    query,
                    code,
                    "the request may crash upstreams and is in quarantine",
                    retry_after_ms,
                )
                self._remove_query(now_ms, query)
                self._deliver_refusal(now_ms, result)

    def _on_not_run(self, now_ms: float, event: SubNotRun) -> None:
        query, stale = sub_request_events.on_not_run(self.state, now_ms, event)
        if query is None:
            return
        if stale and not self._repin(now_ms, query):
            sub_request_events.retry_stale(
                self.state, now_ms, query, event.sub.shard
            )
        self._finish_if_complete(now_ms, query)

    def _repin(self, now_ms: float, query: QueryState) -> bool:
        """Restart a query on a newer index version, at most once.

        Returns:
            True if the query was restarted.
        """
        topology = self.state.leafs.topologies[query.arrival.service]
        if query.repinned or topology.current <= query.index_version:
            return False
        if query.held:
            canary.drop_admission(self.state, query)
        self._abandon_attempts(now_ms, query)
        query.repinned = True
        self.state.counters.repinned += 1
        self.state.events.record(
            now_ms,
            EventKind.REPINNED,
            query.request_id,
            query.index_version,
            topology.current,
        )
        query.first_attempt_of_pin = max(
            shard.attempts for shard in query.shards.values()
        )
        query.may_have_run = (
            query_outcome.run_state_of(query).value != "not_run"
        )
        query.shards = {}
        self._pin(now_ms, query, topology, topology.current)
        return True

    def _abandon_attempts(self, now_ms: float, query: QueryState) -> None:
        for shard in query.shards.values():
            shard.may_have_run = shard.may_have_run or bool(shard.in_flight)
            dispatch.stop_waiting(self.state, query, shard)
            dispatch.cancel_in_flight(self.state, now_ms, query, shard)

    def _finish_if_complete(
        self, now_ms: float, query: QueryState | None
    ) -> None:
        """Finish a query if it has no open shard."""
        if query is None or query.open_shards > 0:
            return
        if query.number in self.state.queries:
            self._finish(now_ms, query)

    def _finish(self, now_ms: float, query: QueryState) -> None:
        state = self.state
        result = query_outcome.build_outcome(query)
        self._remove_query(now_ms, query)
        if isinstance(result, Refusal):
            self._deliver_refusal(now_ms, result)
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

    def _deliver_refusal(self, now_ms: float, refusal: Refusal) -> None:
        self.state.counters.refused += 1
        self.state.effects.append(Deliver(refusal))
        self.state.events.record(
            now_ms,
            EventKind.REFUSED,
            refusal.request_id,
            int(refusal.code),
            refusal.run_state.value,
        )

    def _remove_query(self, now_ms: float, query: QueryState) -> None:
        del self.state.queries[query.number]
        self.state.query_numbers.pop(query.request_id, None)
        if query.held:
            canary.drop_admission(self.state, query)
        self._abandon_attempts(now_ms, query)

    def _on_caller_gone(self, now_ms: float, event: CallerGone) -> None:
        number = self.state.query_numbers.get(event.request_id)
        if number is None:
            return
        query = self.state.queries[number]
        self.state.events.record(
            now_ms, EventKind.CALLER_GONE, event.request_id
        )
        # A non-idempotent request continues: its outcome is recorded with the
        # claim of its key, and a cancelled request would have an unknown
        # outcome.
        if query.arrival.request.idempotent:
            refusal = query_outcome.build_refusal(
                query, ResultCode.CALLER_GONE, "the caller is gone"
            )
            self._remove_query(now_ms, query)
            self._deliver_refusal(now_ms, refusal)

    def _run_due_wakeups(self, now_ms: float) -> None:
        wakeups = self.state.wakeups
        while wakeups and wakeups[0][0] <= now_ms:
            _, _, kind, key = heapq.heappop(wakeups)
            if kind is WakeKind.LEAF_PAUSE_OVER:
                leaf = self.state.leafs.leafs.get(str(key))
                if leaf is not None:
                    dispatch.drain_queue(self.state, now_ms, leaf)
                continue
            query = self.state.queries.get(int(key))
            if query is not None:
                self._on_query_wakeup(now_ms, query, kind)

    def _on_query_wakeup(
        self, now_ms: float, query: QueryState, kind: WakeKind
    ) -> None:
        if kind is WakeKind.CANARY_RECHECK:
            canary.on_recheck_due(self.state, now_ms, query)
            return
        if kind is WakeKind.HEDGE:
            hedging.send_hedges(self.state, now_ms, query)
            return
        if kind is WakeKind.SOFT_DEADLINE and not has_any_results(query):
            query.soft_deadline_passed = True
            return
        for shard in query.shards.values():
            if not shard.done and shard.attempts == query.first_attempt_of_pin:
                shard.missing_reason = ResultCode.UPSTREAM_BUSY
        self._finish(now_ms, query)

    def _drain_queues(self, now_ms: float) -> None:
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
