"""Record of the runs at all leafs.

Tests compare the ledger with the answers that callers got.
"""

import collections

import attrs

from oriolegate.standins.leaf_messages import Outcome
from oriolegate.standins.leaf_messages import Query

MAX_KEYS = 200_000


@attrs.frozen
class RunRecord:
    """One run at a leaf, recorded when it ends."""

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
    """Index version of a key's first run, and the shards of all its runs."""

    index_version: int
    shards: set[int] = attrs.field(factory=set)


class RunLedger:
    """Counts runs, and the duplicate runs of idempotency keys.

    A key's second run of a shard is a duplicate. So is each run in another
    index version than the key's first run, since the shards of that version
    hold other documents.

    Attributes:
        runs: Runs that began.
        keyed_runs: Runs that began with an idempotency key.
        doubled_runs: Duplicate runs.
        doubled_keys: Keys of the newest duplicate runs.
        records: The newest ended runs.
        keys: Runs of each key, oldest key first, at most `MAX_KEYS`.
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
        """Count a run that begins."""
        self.runs += 1
        key = query.idempotency_key
        if key is None:
            return
        self.keyed_runs += 1
        key_runs = self.keys.get(key)
        if key_runs is None:
            key_runs = self.keys[key] = KeyRuns(query.index_version)
            if len(self.keys) > MAX_KEYS:
                self.keys.popitem(last=False)
        if key_runs.index_version != query.index_version or (
            query.shard in key_runs.shards
        ):
            self.doubled_runs += 1
            self.doubled_keys.append(key)
        key_runs.shards.add(query.shard)

    def end(
        self,
        leaf: str,
        query: Query,
        began_ms: float,
        ended_ms: float,
        outcome: Outcome,
    ) -> None:
        """Record a run that ended."""
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

    def count_runs_by_shard(self) -> collections.Counter[tuple[str, int]]:
        """Count the recorded runs of each (query, shard)."""
        return collections.Counter(
            (record.query, record.shard) for record in self.records
        )
