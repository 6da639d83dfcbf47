"""Decide when a started process knows current versions well enough."""

from collections.abc import Iterable

from oriolegate.configuration.document_table import DocumentTable
from oriolegate.configuration.messages import DocumentVersion

PEERS_NEEDED = 2
LONE_PEER_WAIT_MS = 5_000.0


class StartGate:
    """Opens once, on the store's word or on that of enough peers.

    Only peers whose own versions were confirmed count, and only once this
    process holds every version that they named.

    Attributes:
        opened: Whether the process may take work.
        missing_kinds: Kinds that the store has not yet listed in full.
    """

    def __init__(self, kinds: Iterable[str]) -> None:
        self.opened = False
        self.missing_kinds = set(kinds)
        self.peer_versions: dict[str, tuple[DocumentVersion, ...]] = {}
        self.first_peer_ms: float | None = None

    def record_store_list(self, kind: str) -> None:
        """Note that the store has listed a kind in full."""
        self.missing_kinds.discard(kind)

    def record_peer_versions(
        self, now_ms: float, vm: str, versions: tuple[DocumentVersion, ...]
    ) -> None:
        """Note the versions of a peer whose own were confirmed."""
        if self.opened:
            return
        if self.first_peer_ms is None:
            self.first_peer_ms = now_ms
        self.peer_versions[vm] = versions

    def try_open(
        self, now_ms: float, table: DocumentTable, reachable_peers: int
    ) -> bool:
        """Return whether the gate opens now.

        Args:
            now_ms: Time now.
            table: What this process holds.
            reachable_peers: Other VMs that membership holds live.
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
        lone_peer = reachable_peers <= 1 and waited_ms >= LONE_PEER_WAIT_MS
        needed = 1 if lone_peer else PEERS_NEEDED
        self.opened = not self.missing_kinds or agreed >= needed
        if self.opened:
            self.peer_versions.clear()
        return self.opened
