"""Tell linked peers who has which version of the rules in force.

News goes out in batches; what was lost is found by a digest and sent again
in parts, so that a lasting difference costs a bounded rate.
"""

from collections.abc import Iterable

import attrs

from oriolegate.configuration.confirmation_table import ConfirmationTable
from oriolegate.configuration.messages import Confirmation
from oriolegate.configuration.messages import Confirmations
from oriolegate.membership.effects import Send

CHUNK_ITEMS = 64
CHUNK_INTERVAL_MS = 2_000.0


@attrs.define
class ChunkProgress:
    """Which part of all confirmations a peer gets next, and since when."""

    position: int = 0
    sent_ms: float = -CHUNK_INTERVAL_MS


class ConfirmationGossip:
    """Spreads the confirmations of one table.

    Attributes:
        table: Confirmations known here.
        news: Items not yet told, with the peer that told of each.
    """

    def __init__(
        self, vm: str, incarnation: int, table: ConfirmationTable
    ) -> None:
        """Make a spreader without news.

        Args:
            vm: Name of this VM.
            incarnation: Of this process.
            table: Where confirmations are kept.
        """
        self.vm = vm
        self.incarnation = incarnation
        self.table = table
        self.updates: dict[str, tuple[Confirmation, str]] = {}
        self.progress: dict[str, ChunkProgress] = {}

    def confirm(self, version: int) -> None:
        """Note that this process has a version in force."""
        self._merge(Confirmation(self.vm, self.incarnation, version), "")

    def on_confirmations(self, vm: str, message: Confirmations) -> None:
        """Take over what a peer knows."""
        for item in message.items:
            self._merge(item, vm)

    def _merge(self, item: Confirmation, source: str) -> None:
        if self.table.merge(item):
            self.updates[item.vm] = (item, source)

    def flush(self, peers: Iterable[str]) -> list[Send]:
        """Return the news for each peer, without what it told itself."""
        out: list[Send] = []
        for vm in peers if self.updates else ():
            items = tuple(
                item for item, source in self.updates.values() if source != vm
            )
            if items:
                out.append(Send(vm, Confirmations(items)))
        self.updates.clear()
        return out

    def on_digest(
        self, now_ms: float, vm: str, digest: int | None
    ) -> list[Send]:
        """Return the next part for a peer whose digest differs."""
        progress = self.progress.setdefault(vm, ChunkProgress())
        items = tuple(self.table.items.values())
        due = now_ms - progress.sent_ms >= CHUNK_INTERVAL_MS
        if digest == self.table.digest or not due or not items:
            return []
        start = progress.position % len(items)
        chunk = items[start : start + CHUNK_ITEMS]
        progress.position = start + len(chunk)
        progress.sent_ms = now_ms
        return [Send(vm, Confirmations(chunk))]

    def on_peer_lost(self, vm: str) -> None:
        """Drop the progress of a peer whose link is gone."""
        self.progress.pop(vm, None)
