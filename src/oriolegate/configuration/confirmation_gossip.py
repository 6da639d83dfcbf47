"""Gossip about which VM has which version of the rules in force.

Updates are sent in batches. Lost updates are detected by comparing digests
and repaired in chunks, so that a persistent difference costs a bounded rate.
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
    """Progress of resending all confirmations to one peer.

    Attributes:
        position: Index of the next confirmation, modulo the number of
            confirmations.
        sent_ms: When the last chunk was sent.
    """

    position: int = 0
    sent_ms: float = -CHUNK_INTERVAL_MS


class ConfirmationGossip:
    """Exchanges the confirmations of one table with linked peers.

    Attributes:
        table: Confirmations known to this process.
        updates: Confirmations not yet sent, by VM, each with the peer that
            it was received from; an empty string for this process.
        progress: Progress of resending, by peer.
    """

    def __init__(
        self, vm: str, incarnation: int, table: ConfirmationTable
    ) -> None:
        """Create an instance without updates.

        Args:
            vm: Name of this VM.
            incarnation: Incarnation of this process.
            table: Table that confirmations are merged into.
        """
        self.vm = vm
        self.incarnation = incarnation
        self.table = table
        self.updates: dict[str, tuple[Confirmation, str]] = {}
        self.progress: dict[str, ChunkProgress] = {}

    def confirm(self, version: int) -> None:
        """Record that this process has a version of the rules in force."""
        self._merge(Confirmation(self.vm, self.incarnation, version), "")

    def on_confirmations(self, vm: str, message: Confirmations) -> None:
        """Merge the confirmations that a peer sent."""
        for confirmation in message.items:
            self._merge(confirmation, vm)

    def _merge(self, confirmation: Confirmation, source: str) -> None:
        if self.table.merge(confirmation):
            self.updates[confirmation.vm] = (confirmation, source)

    def flush(self, peers: Iterable[str]) -> list[Send]:
        """Return the updates for each peer, except those received from it."""
        out: list[Send] = []
        for vm in peers if self.updates else ():
            items = tuple(
                confirmation
                for confirmation, source in self.updates.values()
                if source != vm
            )
            if items:
                out.append(Send(vm, Confirmations(items)))
        self.updates.clear()
        return out

    def on_digest(
        self, now_ms: float, vm: str, digest: int | None
    ) -> list[Send]:
        """Return the next chunk if it is due and the peer's digest differs."""
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
        """Drop the progress of a peer whose last link was lost."""
        self.progress.pop(vm, None)
