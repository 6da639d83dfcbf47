"""Find and send what differs between two member tables."""

import attrs

from oriolegate.membership.effects import Send
from oriolegate.membership.member_table import BUCKETS
from oriolegate.membership.member_table import MemberTable
from oriolegate.membership.messages import BucketHashes
from oriolegate.membership.messages import MemberDelta
from oriolegate.membership.random_source import RandomSource

EXCHANGE_MS = 1_000.0
BUCKETS_PER_EXCHANGE = 16
JOINING_MEMBERS = 2  # a table no larger has no news to wait for


@attrs.define
class ExchangeProgress:
    """What is under way with one peer.

    Attributes:
        differs: Heartbeats in a row whose table hash differed.
        sent_ms: When bucket hashes were last sent.
    """

    differs: int = 0
    sent_ms: float = -EXCHANGE_MS


class TableExchange:
    """Compares one table with those of linked peers.

    Attributes:
        table: This VM's members.
        progress: By peer.
    """

    def __init__(self, table: MemberTable, generator: RandomSource) -> None:
        self.table = table
        self.generator = generator
        self.progress: dict[str, ExchangeProgress] = {}

    def compare(self, now_ms: float, vm: str, table_hash: int) -> list[Send]:
        """Return bucket hashes for a peer whose table keeps differing."""
        progress = self.progress.setdefault(vm, ExchangeProgress())
        if table_hash == self.table.table_hash():
            progress.differs = 0
            return []
        progress.differs += 1
        # News under way makes tables differ for a moment.
        joining = len(self.table.members) <= JOINING_MEMBERS
        if progress.differs < 2 and not joining:
            return []
        if now_ms - progress.sent_ms < EXCHANGE_MS:
            return []
        progress.sent_ms = now_ms
        return [Send(vm, BucketHashes(tuple(self.table.hashes)))]

    def answer(self, vm: str, message: BucketHashes) -> list[Send]:
        """Return the members of some of the buckets that differ."""
        if len(message.hashes) != BUCKETS:
            return []
        differing = [
            bucket
            for bucket, value in enumerate(message.hashes)
            if value != self.table.hashes[bucket]
        ]
        count = min(BUCKETS_PER_EXCHANGE, len(differing))
        chosen = self.generator.sample(differing, count)
        members = tuple(self.table.in_buckets(chosen))
        return [Send(vm, MemberDelta(members))] if members else []

    def forget(self, vm: str) -> None:
        """Drop the progress with a peer whose link is gone."""
        self.progress.pop(vm, None)
