"""Model of a leaf without I/O: limits, states and faults.

Events are methods that take `now_ms` and return effects for the server to
carry out. The model decides which queries run or are refused and how long
they take, and counts them. It has no sockets or timers.

A cold leaf that gets more than `cold_slots` concurrent queries crashes: it
loses all connections, its incarnation is incremented, it is cold again, and
`cold_over_limit` is incremented. A leaf that turned cold in place gave no
warning, so two kinds of queries are exempt from that limit while it is cold:
those in flight when it turned cold, and those sent before their sender can
know. A sender knows `cold_notice_ms` after the first cold-marked answer to
itself was written, or twice that time after one to any other sender.
"""

import collections
from collections.abc import Iterable
import random

from oriolegate.standins.leaf_counts import LeafCounts
from oriolegate.standins.leaf_messages import CloseConnections
from oriolegate.standins.leaf_messages import Effect
from oriolegate.standins.leaf_messages import LeafFaults
from oriolegate.standins.leaf_messages import LeafSettings
from oriolegate.standins.leaf_messages import LeafState
from oriolegate.standins.leaf_messages import Outcome
from oriolegate.standins.leaf_messages import Query
from oriolegate.standins.leaf_messages import Respond
from oriolegate.standins.leaf_messages import RunUntil
from oriolegate.standins.run_ledger import RunLedger

NEVER_MS = float("inf")


class LeafModel:
    """One leaf.

    Attributes:
        settings: Limits and timing.
        ledger: Record of runs, shared by all leafs.
        rng: Random source of service times.
        faults: Injected faults.
        counts: Counts of queries, connections and crashes.
        incarnation: Incremented by each restart.
        cold: Whether the leaf is cold.
        draining_since_ms: When the leaf started to drain, or None.
        versions: Shards that the leaf serves, by index version.
        connections: Numbers of the open connections.
        running: Running queries, with the time when each began.
        waiting: Queries that wait for a slot, oldest first.
        exempt: Queries in flight that don't count towards `cold_slots`.
        cold_since_ms: When the leaf last turned cold.
        cold_completions: Runs completed since then.
        cold_in_place: Whether the leaf last turned cold without a restart.
        cold_answered_ms: When each sender was first sent a cold-marked answer
            since the last `turn_cold`.
        down_until_ms: End of the restart; connections are rejected before.
    """

    def __init__(
        self, settings: LeafSettings, ledger: RunLedger, rng: random.Random
    ) -> None:
        self.settings = settings
        self.ledger = ledger
        self.rng = rng
        self.faults = LeafFaults()
        self.counts = LeafCounts()
        self.incarnation = 1
        self.cold = False
        self.draining_since_ms: float | None = None
        self.versions: dict[int, frozenset[int]] = {}
        self.connections: set[int] = set()
        self.running: dict[Query, float] = {}
        self.waiting: collections.deque[Query] = collections.deque()
        self.exempt: set[Query] = set()
        self.cold_since_ms = 0.0
        self.cold_completions = 0
        self.cold_in_place = False
        self.cold_answered_ms: dict[str, float] = {}
        self.down_until_ms = 0.0

    def state(self) -> LeafState:
        """Return the state that answers report."""
        if self.draining_since_ms is not None:
            return LeafState.DRAINING
        return LeafState.COLD if self.cold else LeafState.WARM

    def in_flight(self) -> int:
        """Return the number of running and waiting queries."""
        return len(self.running) + len(self.waiting)

    def on_connection_opened(
        self, now_ms: float, connection: int
    ) -> list[Effect]:
        """Accept or reject a new connection."""
        if self.faults.down or now_ms < self.down_until_ms:
            return [CloseConnections((connection,))]
        if len(self.connections) >= self.settings.connections:
            self.counts.connections_over_limit += 1
            return [CloseConnections((connection,))]
        self.connections.add(connection)
        self.counts.connections_peak = max(
            self.counts.connections_peak, len(self.connections)
        )
        return []

    def on_connection_lost(
        self, now_ms: float, connection: int
    ) -> list[Effect]:
        """Remove a connection and its waiting queries."""
        self.connections.discard(connection)
        for query in [q for q in self.waiting if q.connection == connection]:
            self.waiting.remove(query)
            self.exempt.discard(query)
        return []

    def on_query_arrived(self, now_ms: float, query: Query) -> list[Effect]:
        """Run, queue or refuse a query."""
        self.counts.queries += 1
        self.warm_if_due(now_ms)
        if self.draining_since_ms is not None:
            self.counts.after_drain_ms.append(now_ms - self.draining_since_ms)
        reason = self._reason_not_to_run(now_ms, query)
        if reason:
            return [self._refuse(now_ms, query, reason)]
        if self.cold and not self._admit_cold(query):
            if self.faults.refuse_cold:
                return [self._refuse(now_ms, query, "cold")]
            self.counts.cold_over_limit += 1
            return self.restart(now_ms)
        if self.draining_since_ms is not None:
            self.counts.accepted_after_drain += 1
        self.counts.in_flight_peak = max(
            self.counts.in_flight_peak, self.in_flight() + 1
        )
        self.waiting.append(query)
        return self._start_waiting_queries(now_ms)

    def on_cancel_arrived(
        self, now_ms: float, query_id: str, shard: int, attempt: int
    ) -> list[Effect]:
        """End the queries with this id, shard and attempt."""
        key = (query_id, shard, attempt)
        effects: list[Effect] = []
        for query in [q for q in self.waiting if _query_key(q) == key]:
            self.waiting.remove(query)
            self.exempt.discard(query)
            self.counts.cancelled += 1
            effects.append(self._refuse(now_ms, query, "cancelled"))
        for query in [q for q in self.running if _query_key(q) == key]:
            self.counts.cancelled += 1
            self._end_run(now_ms, query, Outcome.CANCELLED)
            effects.append(self._answer(now_ms, query, 500))
        return effects + self._start_waiting_queries(now_ms)

    def on_run_done(self, now_ms: float, query: Query) -> list[Effect]:
        """End a run that is due; do nothing if the run has ended before."""
        if query not in self.running:
            return []
        self.warm_if_due(now_ms)
        self._end_run(now_ms, query, Outcome.RAN)
        effects: list[Effect] = [self._answer(now_ms, query, 200)]
        if self.cold:
            self.cold_completions += 1
            if self.cold_completions >= self.settings.warm_completions:
                self._become_warm()
        return effects + self._start_waiting_queries(now_ms)

    def serve(self, index_version: int, shards: Iterable[int]) -> None:
        """Start to serve these shards of an index version."""
        self.versions[index_version] = frozenset(shards)

    def retire(self, index_version: int) -> None:
        """Stop serving an index version; its runs continue."""
        self.versions.pop(index_version, None)

    def drain(self, now_ms: float) -> None:
        """Start to drain; do nothing if the leaf is draining."""
        if self.draining_since_ms is None:
            self.draining_since_ms = now_ms

    def end_drain(self) -> None:
        """Stop draining."""
        self.draining_since_ms = None

    def turn_cold(self, now_ms: float) -> None:
        """Turn cold in place: without a restart or a warning."""
        self._become_cold(now_ms)
        self.exempt.update(self.running, self.waiting)
        self.cold_in_place = True
        self.cold_answered_ms = {}

    def restart(self, now_ms: float) -> list[Effect]:
        """Crash or restart: lose all connections and start cold."""
        for query in list(self.running):
            self._end_run(now_ms, query, Outcome.CRASHED)
        lost = tuple(self.connections)
        self.connections.clear()
        self.waiting.clear()
        self.exempt.clear()
        self.incarnation += 1
        self._become_cold(now_ms)
        self.cold_in_place = False
        self.down_until_ms = now_ms + self.settings.restart_ms
        return [CloseConnections(lost)]

    def warm_if_due(self, now_ms: float) -> None:
        """Turn warm if the leaf has been cold for `warm_ms`."""
        if self.cold and (now_ms - self.cold_since_ms >= self.settings.warm_ms):
            self._become_warm()

    def _reason_not_to_run(self, now_ms: float, query: Query) -> str:
        if self.draining_since_ms is not None:
            since_ms = now_ms - self.draining_since_ms
            if since_ms > self.settings.drain_accept_ms:
                return "draining"
        shards = self.versions.get(query.index_version)
        if shards is None:
            return "no-version"
        if query.shard not in shards:
            return "no-shard"
        if now_ms >= query.expires_ms:
            return "expired"
        full = len(self.running) >= self.settings.slots
        waiting_full = len(self.waiting) >= self.settings.waiting_limit
        return "shed" if self.faults.shed or (full and waiting_full) else ""

    def _admit_cold(self, query: Query) -> bool:
        """Return whether the cold leaf accepts a query; mark an exempt one."""
        if self.cold_in_place and query.sent_ms <= self._cold_known_ms(query):
            self.counts.cold_unwarned += 1
            self.exempt.add(query)
            return True
        counted = self.in_flight() - len(self.exempt)
        return counted < self.settings.cold_slots

    def _cold_known_ms(self, query: Query) -> float:
        """Return when the sender of a query can know that the leaf is cold."""
        notice_ms = self.settings.cold_notice_ms
        if not self.cold_answered_ms:
            return NEVER_MS
        by_others_ms = min(self.cold_answered_ms.values()) + 2.0 * notice_ms
        answered_ms = self.cold_answered_ms.get(query.sender, NEVER_MS)
        return min(answered_ms + notice_ms, by_others_ms)

    def _start_waiting_queries(self, now_ms: float) -> list[Effect]:
        effects: list[Effect] = []
        while self.waiting and len(self.running) < self.settings.slots:
            query = self.waiting.popleft()
            if now_ms >= query.expires_ms:
                self.exempt.discard(query)
                effects.append(self._refuse(now_ms, query, "expired"))
                continue
            self.running[query] = now_ms
            self.ledger.begin(query)
            if self._has_crash_marker(query):
                self.counts.crashes += 1
                return effects + self.restart(now_ms)
            due_ms = now_ms + self._service_ms()
            effects.append(RunUntil(query, due_ms))
        return effects

    def _has_crash_marker(self, query: Query) -> bool:
        marker = self.faults.crash_marker.encode()
        return bool(marker) and marker in query.body

    def _service_ms(self) -> float:
        times = self.settings.service_time
        service_ms = times.median_ms * self.rng.lognormvariate(0.0, times.sigma)
        straggler_ratio = self.faults.straggler_ratio
        if straggler_ratio is None:
            straggler_ratio = times.straggler_ratio
        if self.rng.random() < straggler_ratio:
            service_ms *= times.straggler_factor
        if self.cold:
            service_ms *= self.settings.cold_factor
        return service_ms * self.faults.slow_factor

    def _end_run(self, now_ms: float, query: Query, outcome: Outcome) -> None:
        began_ms = self.running.pop(query)
        self.exempt.discard(query)
        self.ledger.end(self.settings.name, query, began_ms, now_ms, outcome)

    def _refuse(self, now_ms: float, query: Query, reason: str) -> Respond:
        self.counts.not_run[reason] += 1
        return self._answer(now_ms, query, 503, reason)

    def _answer(
        self, now_ms: float, query: Query, status: int, not_run: str = ""
    ) -> Respond:
        state = self.state()
        if state is LeafState.COLD:
            self.cold_answered_ms.setdefault(query.sender, now_ms)
        return Respond(query, status, not_run, state, self.incarnation)

    def _become_cold(self, now_ms: float) -> None:
        self.cold = True
        self.cold_since_ms = now_ms
        self.cold_completions = 0

    def _become_warm(self) -> None:
        self.cold = False
        self.exempt.clear()


def _query_key(query: Query) -> tuple[str, int, int]:
    return (query.query, query.shard, query.attempt)
