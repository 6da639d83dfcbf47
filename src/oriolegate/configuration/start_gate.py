"""Decide when a starting process knows that its versions are current."""

from collections.abc import Iterable

from oriolegate.configuration.document_table import DocumentTable
from oriolegate.configuration.messages import DocumentVersion

# Peers whose versions this process must have, if the store does not respond.
PEERS_NEEDED = 2
# Time after which one peer is enough, if no other peer is reachable.
SINGLE_PEER_WAIT_MS = 5_000.0


class StartGate:
    """Opens once, when the store or enough peers confirm the versions.

    The store confirms by listing all kinds in full. A peer confirms if it
    knows its own versions to be current and this process has all of them.

    Attributes:
        opened: Whether the process may accept work.
        missing_kinds: Kinds that the store has not yet listed in full.
        peer_versions: Versions of peers that know them to be current, by VM.
        first_peer_ms: When the first such peer sent its versions.
    """

    def __init__(self, kinds: Iterable[str]) -> None:
        self.opened = False
        self.missing_kinds = set(kinds)
        self.peer_versions: dict[str, tuple[DocumentVersion, ...]] = {}
        self.first_peer_ms: float | None = None

    def record_store_list(self, kind: str) -> None:
        """Record that the store has listed a kind in full."""
        self.missing_kinds.discard(kind)

    def record_peer_versions(
        self, now_ms: float, vm: str, versions: tuple[DocumentVersion, ...]
    ) -> None:
        """Record the versions of a peer that knows them to be current."""
        if self.opened:
            return
        if self.first_peer_ms is None:
            self.first_peer_ms = now_ms
        self.peer_versions[vm] = versions

    def try_open(
        self, now_ms: float, table: DocumentTable, reachable_peers: int
    ) -> bool:
        """Open the gate if its conditions are met; return whether it opened.

        Args:
            now_ms: Current time.
            table: Documents of this process.
            reachable_peers: Number of other VMs that membership considers
                live.
        """
        if self.opened:
            return False
        agreed = sum(
            not table.missing_versions(versions)
            for versions in self.peer_versions.values()
        )
        waited_ms = now_ms - (
            self.first_peer_ms if self.first_peer_ms is not None else now_ms
        )
        single_peer = reachable_peers <= 1 and waited_ms >= SINGLE_PEER_WAIT_MS
        needed = 1 if single_peer else PEERS_NEEDED
        self.opened = not self.missing_kinds or agreed >= needed
        if self.opened:
            self.peer_versions.clear()
        return self.opened
