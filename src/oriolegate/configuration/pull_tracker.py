"""Ask for announced documents, and ask the next peer when none comes."""

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
    """A document that was announced and has not come yet.

    Attributes:
        version: The newest announced.
        peers: Who announced it, the next to ask first.
        requested_ms: When a peer was last asked.
    """

    version: int
    peers: list[str]
    requested_ms: float


class PullTracker:
    """Documents that are awaited; at most one request for each at a time.

    Attributes:
        pending: By key.
    """

    def __init__(self) -> None:
        self.pending: dict[DocumentKey, PendingPull] = {}

    def on_announcement(
        self, now_ms: float, vm: str, missing: Iterable[DocumentVersion]
    ) -> list[Send]:
        """Ask a peer for what it announced, unless another was asked."""
        keys = []
        for item in missing:
            pull = self.pending.get(item.key)
            if pull is None or item.version > pull.version:
                self.pending[item.key] = PendingPull(item.version, [vm], now_ms)
                keys.append(item.key)
            elif vm not in pull.peers:
                pull.peers.append(vm)
        return [Send(vm, Pull(tuple(keys)))] if keys else []

    def on_document(self, document: VersionedDocument) -> None:
        """Stop awaiting a document that has come, by whatever way."""
        pull = self.pending.get(document.key)
        if pull is not None and pull.version <= document.version:
            del self.pending[document.key]

    def retry(self, now_ms: float, linked: Container[str]) -> list[Send]:
        """Ask the next linked peer for what has not come in time."""
        out = []
        for key, pull in list(self.pending.items()):
            if now_ms - pull.requested_ms < PULL_RETRY_MS:
                continue
            pull.requested_ms = now_ms
            pull.peers = [vm for vm in pull.peers if vm in linked]
            if not pull.peers:
                # A later digest or announcement names another source.
                del self.pending[key]
                continue
            vm = pull.peers.pop(0)
            pull.peers.append(vm)
            out.append(Send(vm, Pull((key,))))
        return out
