"""The far side's record of what arrived and ran, by caller's request.

Leafs see a request's body, and the load generator writes the request id
there; so the record needs nothing that the product says of itself.
"""

import collections

from oriolegate.standins.leaf_messages import Outcome
from oriolegate.standins.leaf_messages import Query
from oriolegate.standins.run_ledger import RunLedger


class FarSide(RunLedger):
    """A run ledger that also keeps each request's runs.

    Attributes:
        began: Shards that began to run, by request id.
        ran: (index version, shard) that ran to the end, by request id.
        sub_requests: Sub-requests that arrived.
        needed: Of these, first ones of a shard of a request.
        last_arrival_ms: When the last sub-request arrived, by leaf.
    """

    def __init__(self) -> None:
        super().__init__()
        self.began: dict[str, set[int]] = collections.defaultdict(set)
        self.ran: dict[str, set[tuple[int, int]]] = collections.defaultdict(set)
        self.seen: dict[str, set[int]] = collections.defaultdict(set)
        self.sub_requests = 0
        self.needed = 0
        self.last_arrival_ms: dict[str, float] = {}

    def arrived(self, now_ms: float, leaf: str, query: Query) -> None:
        """Count one sub-request that reaches a leaf."""
        self.last_arrival_ms[leaf] = now_ms
        self.sub_requests += 1
        seen = self.seen[query.body.decode()]
        if query.shard not in seen:
            seen.add(query.shard)
            self.needed += 1

    def begin(self, query: Query) -> None:
        """Count one run that begins."""
        super().begin(query)
        self.began[query.body.decode()].add(query.shard)

    def end(
        self,
        leaf: str,
        query: Query,
        began_ms: float,
        ended_ms: float,
        outcome: Outcome,
    ) -> None:
        """Write down one run that ended."""
        super().end(leaf, query, began_ms, ended_ms, outcome)
        if outcome is Outcome.RAN:
            done = (query.index_version, query.shard)
            self.ran[query.body.decode()].add(done)
