"""Find and send the differences between two member tables."""

import attrs

from oriolegate.membership.effects import Send
from oriolegate.membership.member_table import BUCKET_COUNT
from oriolegate.membership.member_table import MemberTable
from oriolegate.membership.messages import BucketHashes
from oriolegate.membership.messages import MemberDelta
from oriolegate.membership.random_source import RandomSource

MIN_EXCHANGE_INTERVAL_MS = 1_000.0
MAX_BUCKETS_PER_EXCHANGE = 16
# A table with at most this many members is assumed to be that of a joining VM.
MAX_JOINING_MEMBERS = 2


@attrs.define
class ExchangeProgress:
    """State of the exchange with one peer.

    Attributes:
        differing_heartbeats: Successive heartbeats with a different table
            hash.
        sent_ms: When bucket hashes were last sent.
    """

    differing_heartbeats: int = 0
    sent_ms: float = -MIN_EXCHANGE_INTERVAL_MS


class TableExchange:
    """Compares one table with those of linked peers.

    Attributes:
        table: This VM's member table.
        progress: State of the exchange, by peer.
    """

    def __init__(self, table: MemberTable, rng: RandomSource) -> None:
        self.table = table
        self.rng = rng
        self.progress: dict[str, ExchangeProgress] = {}

    def on_table_hash(
        self, now_ms: float, vm: str, table_hash: int
    ) -> list[Send]:
        """Return bucket hashes for a peer whose table differs repeatedly."""
        progress = self.progress.setdefault(vm, ExchangeProgress())
        if table_hash == self.table.table_hash():
            progress.differing_heartbeats = 0
            return []
        progress.differing_heartbeats += 1
        # Updates in transit make tables differ for a short time.
        joining = len(self.table.members) <= MAX_JOINING_MEMBERS
        if progress.differing_heartbeats < 2 and not joining:
            return []
        if now_ms - progress.sent_ms < MIN_EXCHANGE_INTERVAL_MS:
            return []
        progress.sent_ms = now_ms
        return [Send(vm, BucketHashes(tuple(self.table.hashes)))]

    def differing_members(self, vm: str, message: BucketHashes) -> list[Send]:
        """Return a message with the members of some differing buckets."""
        if len(message.hashes) != BUCKET_COUNT:
            return []
        differing = [
            bucket
            for bucket, value in enumerate(message.hashes)
            if value != self.table.hashes[bucket]
        ]
        count = min(MAX_BUCKETS_PER_EXCHANGE, len(differing))
        chosen = self.rng.sample(differing, count)
        members = tuple(self.table.in_buckets(chosen))
        return [Send(vm, MemberDelta(members))] if members else []

    def on_link_down(self, vm: str) -> None:
        """Drop the progress of a peer whose last link was closed."""
        self.progress.pop(vm, None)
