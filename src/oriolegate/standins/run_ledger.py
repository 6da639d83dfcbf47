"""The far side's record of runs, kept for all leafs together.

A test compares it with the answers that callers got.
"""

import collections

import attrs

from oriolegate.standins.leaf_messages import Outcome
from oriolegate.standins.leaf_messages import Query

KEYS_KEPT = 200_000


@attrs.frozen
class RunRecord:
    """One run that began at a leaf, written down when it ended."""

    leaf: str
    query: str
    shard: int
    attempt: int
    index_version: int
    idempotency_key: str | None
    began_ms: float
    ended_ms: float
    outcome: Outcome


@attrs.define
class KeyRuns:
    """Runs of one idempotency key: the first run's version, its shards."""

    index_version: int
    shards: set[int] = attrs.field(factory=set)


class RunLedger:
    """Counts runs, and runs of a key that should not have been.

    A key's second run of a shard is a double, and so is each of its runs in
    another index version than the first: shards there hold other documents.

    Attributes:
        runs: Runs that began.
        keyed_runs: Of these, runs with an idempotency key.
        doubled_runs: Runs with a key that were doubles.
        doubled_keys: The keys of these, the newest few.
        records: The newest ended runs.
    """

    def __init__(self, capacity: int = 50_000) -> None:
        self.runs = 0
        self.keyed_runs = 0
        self.doubled_runs = 0
        self.doubled_keys: collections.deque[str] = collections.deque(
            maxlen=100
        )
        self.records: collections.deque[RunRecord] = collections.deque(
            maxlen=capacity
        )
        self.keys: collections.OrderedDict[str, KeyRuns] = (
            collections.OrderedDict()
        )

    def begin(self, query: Query) -> None:
        """Count one run that begins."""
        self.runs += 1
        key = query.idempotency_key
        if key is None:
            return
        self.keyed_runs += 1
        seen = self.keys.get(key)
        if seen is None:
            seen = self.keys[key] = KeyRuns(query.index_version)
            if len(self.keys) > KEYS_KEPT:
                self.keys.popitem(last=False)
        if seen.index_version != query.index_version or (
            query.shard in seen.shards
        ):
            self.doubled_runs += 1
            self.doubled_keys.append(key)
        seen.shards.add(query.shard)

    def end(
        self,
        leaf: str,
        query: Query,
        began_ms: float,
        ended_ms: float,
        outcome: Outcome,
    ) -> None:
        """Write down one run that ended."""
        self.records.append(
            RunRecord(
                leaf=leaf,
                query=query.query,
                shard=query.shard,
                attempt=query.attempt,
                index_version=query.index_version,
                idempotency_key=query.idempotency_key,
                began_ms=began_ms,
                ended_ms=ended_ms,
                outcome=outcome,
            )
        )

    def runs_of_shards(self) -> collections.Counter[tuple[str, int]]:
        """Count the kept runs of each (query, shard)."""
        return collections.Counter(
            (record.query, record.shard) for record in self.records
        )
