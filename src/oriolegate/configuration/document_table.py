"""The newest version of each document that this process has accepted."""

from collections.abc import Iterable
from collections.abc import Iterator

from oriolegate.configuration.messages import DocumentKey
from oriolegate.configuration.messages import DocumentVersion
from oriolegate.configuration.messages import VersionedDocument
from oriolegate.membership.rendezvous import stable_hash

MAX_DOCUMENTS = 4_096
MAX_PUSH_BYTES = 256 * 1024


def _hash(document: VersionedDocument) -> int:
    key = document.key
    return stable_hash(key.kind, key.name, str(document.version))


class DocumentTable:
    """Documents by key; a document's version only rises.

    Attributes:
        documents: By key.
        digest: Hash of all keys and versions.
    """

    def __init__(self) -> None:
        self.documents: dict[DocumentKey, VersionedDocument] = {}
        self.digest = 0

    def version_of(self, key: DocumentKey) -> int:
        """Return the version held, 0 for none."""
        document = self.documents.get(key)
        return document.version if document is not None else 0

    def accept(self, document: VersionedDocument) -> bool:
        """Take over a document; return whether it was newer."""
        known = self.documents.get(document.key)
        if known is None:
            if len(self.documents) >= MAX_DOCUMENTS or document.version < 1:
                return False
        elif known.version >= document.version:
            return False
        else:
            self.digest ^= _hash(known)
        self.digest ^= _hash(document)
        self.documents[document.key] = document
        return True

    def versions(self) -> tuple[DocumentVersion, ...]:
        """Return all keys with their versions."""
        return tuple(
            DocumentVersion(document.key, document.version)
            for document in self.documents.values()
        )

    def newer_than(
        self, versions: Iterable[DocumentVersion]
    ) -> list[VersionedDocument]:
        """Return documents that a peer with these versions lacks."""
        theirs = {item.key: item.version for item in versions}
        return [
            document
            for key, document in self.documents.items()
            if document.version > theirs.get(key, 0)
        ]

    def missing_versions(
        self, versions: Iterable[DocumentVersion]
    ) -> list[DocumentVersion]:
        """Return those of a peer's versions that this process lacks."""
        return [
            item
            for item in versions
            if item.version > self.version_of(item.key)
        ]

    def batches(
        self, documents: Iterable[VersionedDocument]
    ) -> Iterator[tuple[VersionedDocument, ...]]:
        """Split documents so that no message grows large."""
        batch: list[VersionedDocument] = []
        batch_bytes = 0
        for document in documents:
            if batch and batch_bytes + len(document.payload) > MAX_PUSH_BYTES:
                yield tuple(batch)
                batch, batch_bytes = [], 0
            batch.append(document)
            batch_bytes += len(document.payload)
        if batch:
            yield tuple(batch)
