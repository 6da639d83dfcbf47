"""Versioned documents and the messages that spread them."""

import json

import attrs

from oriolegate.rules.model import AcceptedRules

RULES_KIND = "rules"
RULES_NAME = "accepted"
TOPOLOGY_KIND = "topology"


@attrs.frozen
class DocumentKey:
    """Names one document."""

    kind: str
    name: str


@attrs.frozen
class VersionedDocument:
    """One version of a document that the platform's store has accepted.

    Attributes:
        key: Kind and name, as in the store.
        version: The store object's version.
        payload: The value as JSON.
    """

    key: DocumentKey
    version: int
    payload: bytes


@attrs.frozen
class DocumentVersion:
    """A document's version without its payload."""

    key: DocumentKey
    version: int


@attrs.frozen
class Announcement:
    """The sender has these versions; who lacks one may pull it."""

    versions: tuple[DocumentVersion, ...]


@attrs.frozen
class Pull:
    """Asks the receiver for its present versions of documents."""

    keys: tuple[DocumentKey, ...]


@attrs.frozen
class Push:
    """Documents that the receiver asked for or lacks."""

    documents: tuple[VersionedDocument, ...]


@attrs.frozen
class VersionList:
    """All versions that the sender has.

    Attributes:
        versions: Of every document.
        confirmed: Whether the sender's versions were themselves confirmed.
    """

    versions: tuple[DocumentVersion, ...]
    confirmed: bool


@attrs.frozen
class Confirmation:
    """A process has this version of the rules in force."""

    vm: str
    incarnation: int
    version: int


@attrs.frozen
class Confirmations:
    """Confirmations that the receiver may not know."""

    items: tuple[Confirmation, ...]


PEER_MESSAGES: tuple[tuple[int, type], ...] = (
    (20, Announcement),
    (21, Pull),
    (22, Push),
    (23, VersionList),
    (24, Confirmations),
)


def rules_document(rules: AcceptedRules) -> VersionedDocument:
    """Return accepted rules as a document."""
    value = {"text": rules.text, "edit_id": rules.edit_id}
    return VersionedDocument(
        DocumentKey(RULES_KIND, RULES_NAME),
        rules.version,
        json.dumps(value).encode(),
    )


def accepted_rules(document: VersionedDocument) -> AcceptedRules:
    """Return the accepted rules that a document holds.

    Raises:
        ValueError: If the payload isn't what `rules_document` writes.
    """
    value = json.loads(document.payload)
    if not isinstance(value, dict):
        raise ValueError("rules payload is not an object")
    text, edit_id = value.get("text"), value.get("edit_id")
    if not isinstance(text, str) or not isinstance(edit_id, str):
        raise ValueError("rules payload lacks its text or edit id")
    return AcceptedRules(document.version, text, edit_id)
