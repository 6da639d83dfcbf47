"""Hold new work after a pause until versions are known to be current.

The hold is short and ends by itself: when all VMs were paused at once, or a
clock was set, nobody is there to confirm, and no work must be refused for it.
"""

from oriolegate.configuration.document_table import DocumentTable
from oriolegate.configuration.messages import DocumentVersion

HOLD_MS = 2_000.0


class ResumeHold:
    """Ends on a peer's versions, on the store's word, or by time.

    Attributes:
        active: Whether new work must wait.
    """

    def __init__(self) -> None:
        self.active = False
        self.until_ms = 0.0
        self.required_versions: tuple[DocumentVersion, ...] | None = None

    def begin(self, now_ms: float) -> None:
        """Hold from now."""
        self.active = True
        self.until_ms = now_ms + HOLD_MS
        self.required_versions = None

    def record_peer_versions(
        self, versions: tuple[DocumentVersion, ...]
    ) -> None:
        """Note the versions of a peer that is not held itself."""
        self.required_versions = versions

    def record_store_read(self) -> None:
        """Note that the store has listed the rules."""
        self.required_versions = ()

    def try_end(self, now_ms: float, table: DocumentTable) -> bool:
        """Return whether the hold ends now."""
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
