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
    """Documents by key; the version of a document never decreases.

    Attributes:
        documents: Newest known version of each document, by key.
        digest: XOR of the hashes of all keys and versions.
    """

    def __init__(self) -> None:
        self.documents: dict[DocumentKey, VersionedDocument] = {}
        self.digest = 0

    def version_of(self, key: DocumentKey) -> int:
        """Return the stored version of a document, or 0 if there is none."""
        document = self.documents.get(key)
        return document.version if document is not None else 0

    def accept(self, document: VersionedDocument) -> bool:
        """Store a document; return whether it is newer than the stored one.

        A new key is ignored if `MAX_DOCUMENTS` are stored.
        """
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
        """Return the documents that a peer with these versions is missing."""
        peer_versions = {listed.key: listed.version for listed in versions}
        return [
            document
            for key, document in self.documents.items()
            if document.version > peer_versions.get(key, 0)
        ]

    def missing_versions(
        self, versions: Iterable[DocumentVersion]
    ) -> list[DocumentVersion]:
        """Return the versions that are newer than those of this process."""
        return [
            listed
            for listed in versions
            if listed.version > self.version_of(listed.key)
        ]

    def batches(
        self, documents: Iterable[VersionedDocument]
    ) -> Iterator[tuple[VersionedDocument, ...]]:
        """Split documents into batches that fit into one message.

        Only a batch of a single larger document exceeds `MAX_PUSH_BYTES`.
        """
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
