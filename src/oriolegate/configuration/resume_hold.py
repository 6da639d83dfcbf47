"""Delay new work after a process pause until versions are confirmed.

The hold is short and times out: if all VMs were paused at once, or a clock
was set, no VM can confirm, and that must not cause work to be refused.
"""

from oriolegate.configuration.document_table import DocumentTable
from oriolegate.configuration.messages import DocumentVersion

HOLD_MS = 2_000.0


class ResumeHold:
    """A hold that a peer's versions, a read of the store or a timeout ends.

    Attributes:
        active: Whether new work has to wait.
        until_ms: When the hold times out.
        required_versions: Versions that end the hold once this process has
            them; None before a peer or the store has confirmed.
    """

    def __init__(self) -> None:
        self.active = False
        self.until_ms = 0.0
        self.required_versions: tuple[DocumentVersion, ...] | None = None

    def begin(self, now_ms: float) -> None:
        """Start a hold."""
        self.active = True
        self.until_ms = now_ms + HOLD_MS
        self.required_versions = None

    def record_peer_versions(
        self, versions: tuple[DocumentVersion, ...]
    ) -> None:
        """Record the versions of a peer that knows them to be current."""
        self.required_versions = versions

    def record_store_read(self) -> None:
        """Record that the store has listed the rules."""
        self.required_versions = ()

    def try_end(self, now_ms: float, table: DocumentTable) -> bool:
        """End the hold if its conditions are met; return whether it ended."""
        if not self.active:
            return False
        current = (
            self.required_versions is not None
            and not table.missing_versions(self.required_versions)
        )
        if current or now_ms >= self.until_ms:
            self.active = False
            return True
        return False
