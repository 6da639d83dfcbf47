"""Request announced documents, and retry at another peer on a timeout."""

from collections.abc import Container
from collections.abc import Iterable

import attrs

from oriolegate.configuration.messages import DocumentKey
from oriolegate.configuration.messages import DocumentVersion
from oriolegate.configuration.messages import Pull
from oriolegate.configuration.messages import VersionedDocument
from oriolegate.membership.effects import Send

PULL_RETRY_MS = 1_000.0


@attrs.define
class PendingPull:
    """An announced document that was not received yet.

    Attributes:
        version: The newest announced version.
        peers: Peers that announced the document, in the order to try.
        requested_ms: When the document was last requested.
    """

    version: int
    peers: list[str]
    requested_ms: float


class PullTracker:
    """Tracks requests for announced documents, one per document at a time.

    Attributes:
        pending: Announced documents not yet received, by key.
    """

    def __init__(self) -> None:
        self.pending: dict[DocumentKey, PendingPull] = {}

    def on_announcement(
        self, now_ms: float, vm: str, missing: Iterable[DocumentVersion]
    ) -> list[Send]:
        """Request announced documents that were not requested already."""
        keys = []
        for announced in missing:
            pull = self.pending.get(announced.key)
            if pull is None or announced.version > pull.version:
                self.pending[announced.key] = PendingPull(
                    announced.version, [vm], now_ms
                )
                keys.append(announced.key)
            elif vm not in pull.peers:
                pull.peers.append(vm)
        return [Send(vm, Pull(tuple(keys)))] if keys else []

    def on_document(self, document: VersionedDocument) -> None:
        """Stop waiting for a document received from any source."""
        pull = self.pending.get(document.key)
        if pull is not None and pull.version <= document.version:
            del self.pending[document.key]

    def retry(self, now_ms: float, linked: Container[str]) -> list[Send]:
        """Request overdue documents from the next linked peer."""
        out = []
        for key, pull in list(self.pending.items()):
            if now_ms - pull.requested_ms < PULL_RETRY_MS:
                continue
            pull.requested_ms = now_ms
            pull.peers = [vm for vm in pull.peers if vm in linked]
            if not pull.peers:
                # A later digest or announcement provides another source.
                del self.pending[key]
                continue
            vm = pull.peers.pop(0)
            pull.peers.append(vm)
            out.append(Send(vm, Pull((key,))))
        return out
