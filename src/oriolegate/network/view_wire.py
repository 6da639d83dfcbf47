"""Wire format of the view of the store that VMs share with each other.

One request covers all collections: `GET /view?LEAFS=12&...&wait_ms=900`. JSON
over the process's existing HTTP client and server is used instead of CBOR over
websockets, since memory is paid for on every machine.

Once the store states eras, revisions are tagged with them, and the path is
`/updates`: VMs of versions that know no eras reject it, and are rejected at
`/view`, so that the two read the store instead of each other.
"""

from collections.abc import Mapping
from typing import Any
import urllib.parse

import attrs
import orjson

from oriolegate.exceptions import PeerMessageError
from oriolegate.models.stored import Change
from oriolegate.models.stored import ChangeBatch
from oriolegate.models.stored import Collection
from oriolegate.models.stored import ListPage
from oriolegate.models.stored import StoredObject
from oriolegate.network import object_packing
from oriolegate.network.object_packing import ObjectPacker
from oriolegate.placement.slow_leafs import LeafSample

PATH = b"/view"
PATH_WITH_ERAS = b"/updates"
# Reports samples of leafs: one field with a sample after the other, each its
# leaf, the age of its request in ms, and whether the answer was late.
SAMPLES_PATH = b"/samples"
SAMPLES_FIELD = "samples"
WAIT_FIELD = "wait_ms"
# Requests the view even if the store can't confirm it now.
UNCONFIRMED_FIELD = "unconfirmed"
# States that the peer accepts compressed objects.
PACKED_FIELD = "packed"
# States for how many ms each leaf still counts as slow.
SLOW_FIELD = "slow"
# Requests how old the peer's views are; versions without it reject the field.
AGES_FIELD = "ages"
# States that the peer accepts changes of large objects instead of the whole.
DELTAS_FIELD = "deltas"
# A configuration may have a megabyte, of which a few per cent remain.
PACKED_COLLECTIONS = frozenset({Collection.CONFIGURATION})
# Position of the compressed content, after name, revision and plain content.
PACKED_INDEX = 3
# Number of fields of an object that is sent as a change: name, revision, two
# empty ones, and the compressed change.
DELTA_FIELD_COUNT = 5


@attrs.frozen
class UpdatesRequest:
    """A request of one VM to another for updates of its view.

    Attributes:
        revisions: Revision that the requesting VM has of each collection.
        wait_ms: How long the response may wait for updates.
        unconfirmed: Whether a view that the store can't confirm is accepted.
        has_eras: Whether revisions are tagged with the store's era.
        accepts_packed: Whether objects may be compressed.
        wants_ages: Whether the response states the age of each view.
        accepts_deltas: Whether large objects may be sent as changes.
    """

    revisions: Mapping[Collection, int]
    wait_ms: int
    unconfirmed: bool = False
    has_eras: bool = False
    accepts_packed: bool = False
    wants_ages: bool = False
    accepts_deltas: bool = False


Updates = Mapping[Collection, ChangeBatch | ListPage]


@attrs.frozen
class UpdatesResponse:
    """A response to a request for updates.

    Attributes:
        updates: Updates by collection.
        ages_ms: How long ago the store confirmed each view; empty if the peer
            doesn't state it.
        slow_for_ms: For how long each slow leaf still counts as slow.
    """

    updates: Updates
    ages_ms: Mapping[Collection, float]
    slow_for_ms: Mapping[str, float] = attrs.field(factory=dict)


def encode_request(host: str, port: int, request: UpdatesRequest) -> bytes:
    """Encode a request for updates as HTTP.

    Args:
        host: Address of the receiving VM.
        port: Internal port of the receiving VM.
        request: The request.
    """
    fields: dict[str, int] = {
        collection.name: revision
        for collection, revision in request.revisions.items()
    }
    fields[WAIT_FIELD] = request.wait_ms
    if request.unconfirmed:
        fields[UNCONFIRMED_FIELD] = 1
    if request.accepts_packed:
        fields[PACKED_FIELD] = 1
    if request.wants_ages:
        fields[AGES_FIELD] = 1
    if request.accepts_deltas:
        fields[DELTAS_FIELD] = 1
    query = urllib.parse.urlencode(fields)
    path = PATH_WITH_ERAS if request.has_eras else PATH
    return (
        f"GET {path.decode()}?{query} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
    ).encode()


def decode_request(target: bytes) -> UpdatesRequest:
    """Decode the path and query of a request for updates.

    Raises:
        PeerMessageError: If a field is missing, unknown or not a number.
    """
    path, _, encoded = target.partition(b"?")
    query = encoded.decode("latin-1")
    try:
        fields = {
            name: int(value) for name, value in urllib.parse.parse_qsl(query)
        }
        wait_ms = fields.pop(WAIT_FIELD)
        unconfirmed = bool(fields.pop(UNCONFIRMED_FIELD, 0))
        accepts_packed = bool(fields.pop(PACKED_FIELD, 0))
        wants_ages = bool(fields.pop(AGES_FIELD, 0))
        accepts_deltas = bool(fields.pop(DELTAS_FIELD, 0))
        revisions = {Collection[n]: v for n, v in fields.items()}
    except (KeyError, ValueError) as error:
        raise PeerMessageError(f"not a request for updates: {error}") from error
    has_eras = path == PATH_WITH_ERAS
    return UpdatesRequest(
        revisions,
        wait_ms,
        unconfirmed,
        has_eras,
        accepts_packed,
        wants_ages,
        accepts_deltas,
    )


def is_updates_request(target: bytes) -> bool:
    """Return whether a path and query request updates."""
    return target.partition(b"?")[0] in (PATH, PATH_WITH_ERAS)


def _encode_object(
    item: StoredObject,
    packer: ObjectPacker | None,
    known_revision: int | None = None,
) -> list[Any]:
    if packer is None or item.content is None:
        return [item.name, item.revision, item.content]
    if known_revision is not None:
        delta = packer.find_delta(item, known_revision)
        if delta is not None:
            return [item.name, item.revision, None, None, delta.text]
    return [item.name, item.revision, None, packer.pack(item)]


def _decode_object(fields: list[Any]) -> StoredObject:
    if len(fields) <= PACKED_INDEX:
        return StoredObject(*fields)
    if len(fields) == DELTA_FIELD_COUNT:
        name, revision, _, _, text = fields
        return StoredObject(name, revision, object_packing.unpack_delta(text))
    name, revision, _, packed = fields
    return StoredObject(name, revision, object_packing.unpack(packed))


def encode_updates(
    updates: Updates,
    large_packer: ObjectPacker | None = None,
    ages_ms: Mapping[Collection, float] | None = None,
    known_revisions: Mapping[Collection, int] | None = None,
    slow_for_ms: Mapping[str, float] | None = None,
) -> bytes:
    """Encode updates as the body of a response.

    Args:
        updates: Updates by collection.
        large_packer: Compresses large objects, or None to send them plain.
        ages_ms: Age of each view, or None to leave the ages out.
        known_revisions: Revisions that the peer has, so that changes of large
            objects suffice; None to send them whole.
        slow_for_ms: For how long each slow leaf still counts as slow.
    """
    document: dict[str, Any] = {}
    if ages_ms is not None:
        document[AGES_FIELD] = {
            collection.name: round(age_ms)
            for collection, age_ms in ages_ms.items()
        }
    if slow_for_ms:
        document[SLOW_FIELD] = {
            leaf_id: round(left_ms) for leaf_id, left_ms in slow_for_ms.items()
        }
    for collection, update in updates.items():
        packer = large_packer if collection in PACKED_COLLECTIONS else None
        known_revision = (known_revisions or {}).get(collection)
        match update:
            case ListPage(items, _, revision):
                all_items = [_encode_object(item, packer) for item in items]
                document[collection.name] = {
                    "revision": revision,
                    "all": all_items,
                }
            case ChangeBatch(changes, revision):
                document[collection.name] = {
                    "revision": revision,
                    "changes": [
                        [
                            change.removed,
                            *_encode_object(
                                change.item, packer, known_revision
                            ),
                        ]
                        for change in changes
                    ],
                }
    return orjson.dumps(document)


def decode_updates(body: bytes) -> UpdatesResponse:
    """Decode a body made by `encode_updates`.

    Raises:
        PeerMessageError: If the body has another format.
    """
    try:
        document = orjson.loads(body)
        ages_ms = {
            Collection[name]: float(age_ms)
            for name, age_ms in document.pop(AGES_FIELD, {}).items()
        }
        slow_for_ms = {
            leaf_id: float(left_ms)
            for leaf_id, left_ms in document.pop(SLOW_FIELD, {}).items()
        }
        updates = {
            Collection[name]: _decode_view(view)
            for name, view in document.items()
        }
        return UpdatesResponse(updates, ages_ms, slow_for_ms)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise PeerMessageError(
            f"not a response with updates: {error}"
        ) from error


def _decode_view(view: Mapping[str, Any]) -> ChangeBatch | ListPage:
    revision = int(view["revision"])
    if "all" in view:
        items = tuple(_decode_object(fields) for fields in view["all"])
        return ListPage(items, False, revision)
    return ChangeBatch(
        tuple(
            Change(_decode_object(fields), bool(removed))
            for removed, *fields in view["changes"]
        ),
        revision,
    )


def encode_samples(
    host: str, port: int, samples: list[LeafSample], now_ms: float
) -> bytes:
    """Encode samples of leafs as an HTTP request.

    Args:
        host: Address of the receiving VM.
        port: Internal port of the receiving VM.
        samples: The samples.
        now_ms: Current time, which is left out for that of the receiver.
    """
    text = ";".join(
        f"{sample.leaf_id},{now_ms - sample.started_ms:.0f},{sample.is_late:d}"
        for sample in samples
    )
    query = urllib.parse.urlencode({SAMPLES_FIELD: text})
    return (
        f"GET {SAMPLES_PATH.decode()}?{query} HTTP/1.1\r\n"
        f"Host: {host}:{port}\r\n\r\n"
    ).encode()


def decode_samples(target: bytes, now_ms: float) -> list[LeafSample]:
    """Decode the path and query of a request made by `encode_samples`.

    Args:
        target: Path and query.
        now_ms: Current time of this VM.

    Raises:
        PeerMessageError: If the query has another format.
    """
    _, _, encoded = target.partition(b"?")
    fields = dict(urllib.parse.parse_qsl(encoded.decode("latin-1")))
    samples = []
    try:
        for text in fields[SAMPLES_FIELD].split(";"):
            leaf_id, age_ms, is_late = text.rsplit(",", 2)
            started_ms = now_ms - max(0, int(age_ms))
            samples.append(LeafSample(leaf_id, started_ms, is_late == "1"))
    except (KeyError, ValueError) as error:
        raise PeerMessageError(f"not samples of leafs: {error}") from error
    return samples


def is_samples_request(target: bytes) -> bool:
    """Return whether a path and query report samples."""
    return target.partition(b"?")[0] == SAMPLES_PATH
