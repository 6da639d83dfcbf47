"""What the emulated leafs received and ran, by caller request.

The load generator uses the request id as the body, which leafs receive. So
the record is independent of what the product reports about itself.
"""

import collections

from oriolegate.standins.leaf_messages import Outcome
from oriolegate.standins.leaf_messages import Query
from oriolegate.standins.run_ledger import RunLedger


class RequestLedger(RunLedger):
    """A run ledger that also records the runs of each caller request.

    Attributes:
        begun_shards: Shards of which a run began, by request id.
        completed_runs: (index version, shard) of completed runs, by request id.
        received_shards: Shards of which a sub-request arrived, by request id.
        sub_requests: Number of sub-requests that arrived.
        first_sub_requests: Number of sub-requests that were the first of
            their request for a shard.
        last_arrival_ms: Time of the last sub-request's arrival, by leaf.
    """

    def __init__(self) -> None:
        super().__init__()
        self.begun_shards: dict[str, set[int]] = collections.defaultdict(set)
        self.completed_runs: dict[str, set[tuple[int, int]]] = (
            collections.defaultdict(set)
        )
        self.received_shards: dict[str, set[int]] = collections.defaultdict(set)
        self.sub_requests = 0
        self.first_sub_requests = 0
        self.last_arrival_ms: dict[str, float] = {}

    def record_arrival(self, now_ms: float, leaf: str, query: Query) -> None:
        """Record a sub-request that arrives at a leaf."""
        self.last_arrival_ms[leaf] = now_ms
        self.sub_requests += 1
        shards = self.received_shards[query.body.decode()]
        if query.shard not in shards:
            shards.add(query.shard)
            self.first_sub_requests += 1

    def begin(self, query: Query) -> None:
        """Count a run that begins."""
        super().begin(query)
        self.begun_shards[query.body.decode()].add(query.shard)

    def end(
        self,
        leaf: str,
        query: Query,
        began_ms: float,
        ended_ms: float,
        outcome: Outcome,
    ) -> None:
        """Record a run that ended."""
        super().end(leaf, query, began_ms, ended_ms, outcome)
        if outcome is Outcome.RAN:
            completed = (query.index_version, query.shard)
            self.completed_runs[query.body.decode()].add(completed)
