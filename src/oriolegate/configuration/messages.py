"""Versioned documents and the peer messages that distribute them."""

import json

import attrs

from oriolegate.rules.model import AcceptedRules

RULES_KIND = "rules"
RULES_NAME = "accepted"
TOPOLOGY_KIND = "topology"


@attrs.frozen
class DocumentKey:
    """Identifies one document."""

    kind: str
    name: str


@attrs.frozen
class VersionedDocument:
    """One version of a document that the platform's store has accepted.

    Attributes:
        key: Kind and name, as in the store.
        version: The store object's version.
        payload: The value, encoded as JSON.
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
    """Versions that the sender has; the receiver may pull missing ones."""

    versions: tuple[DocumentVersion, ...]


@attrs.frozen
class Pull:
    """Requests the receiver's current versions of documents."""

    keys: tuple[DocumentKey, ...]


@attrs.frozen
class Push:
    """Documents that the receiver requested or is missing."""

    documents: tuple[VersionedDocument, ...]


@attrs.frozen
class VersionList:
    """The versions of all documents of the sender.

    Attributes:
        versions: Version of each document.
        confirmed: Whether the sender knows that its versions are current.
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
    """Confirmations that may be new to the receiver."""

    items: tuple[Confirmation, ...]


PEER_MESSAGES: tuple[tuple[int, type], ...] = (
    (20, Announcement),
    (21, Pull),
    (22, Push),
    (23, VersionList),
    (24, Confirmations),
)


def rules_document(rules: AcceptedRules) -> VersionedDocument:
    """Encode accepted rules as a document."""
    value = {"text": rules.text, "edit_id": rules.edit_id}
    return VersionedDocument(
        DocumentKey(RULES_KIND, RULES_NAME),
        rules.version,
        json.dumps(value).encode(),
    )


def accepted_rules(document: VersionedDocument) -> AcceptedRules:
    """Decode the accepted rules in a document.

    Raises:
        ValueError: If the payload was not written by `rules_document`.
    """
    value = json.loads(document.payload)
    if not isinstance(value, dict):
        raise ValueError("rules payload is not a JSON object")
    text, edit_id = value.get("text"), value.get("edit_id")
    if not isinstance(text, str) or not isinstance(edit_id, str):
        raise ValueError("rules payload: text and edit_id must be strings")
    return AcceptedRules(document.version, text, edit_id)
