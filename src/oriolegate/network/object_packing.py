"""Compression of large objects that VMs pass on to each other."""

import base64
import binascii
from typing import Any
import zlib

import attrs
import orjson

from oriolegate.exceptions import PeerMessageError
from oriolegate.following import content_delta
from oriolegate.following.content_delta import ContentDelta
from oriolegate.models.stored import StoredObject

# The lowest level: higher ones take longer and hardly reduce the size further.
COMPRESSION_LEVEL = 1
DELTA_FIELD_TYPES = {
    "base_revision": int,
    "digest": str,
    "values": dict,
    "lists": dict,
    "removed": list,
}


def _pack(document: Any) -> str:
    compressed = zlib.compress(orjson.dumps(document), COMPRESSION_LEVEL)
    return base64.b64encode(compressed).decode()


@attrs.frozen
class PackedDelta:
    """A compressed change of an object.

    Attributes:
        base_revision: Revision of the object before.
        revision: Revision of the object after.
        text: The compressed change.
    """

    base_revision: int
    revision: int
    text: str


class ObjectPacker:
    """Compresses each revision of an object once, for all peers.

    Attributes:
        packed: Revision and compressed content, by name.
        deltas: Last change of each object, by name.
    """

    def __init__(self) -> None:
        self.packed: dict[str, tuple[int, str]] = {}
        self.deltas: dict[str, PackedDelta] = {}

    def pack(self, item: StoredObject) -> str:
        """Return the compressed content of an object."""
        known = self.packed.get(item.name)
        if known is not None and known[0] == item.revision:
            return known[1]
        text = _pack(item.content)
        self.packed[item.name] = (item.revision, text)
        return text

    def record_change(self, before: StoredObject, after: StoredObject) -> None:
        """Keep what changed in an object, for peers that have it as before."""
        self.deltas.pop(before.name, None)
        delta = content_delta.make(
            before.revision, before.content, after.content
        )
        if delta is not None:
            self.deltas[after.name] = PackedDelta(
                before.revision, after.revision, _pack(attrs.asdict(delta))
            )

    def find_delta(
        self, item: StoredObject, known_revision: int
    ) -> PackedDelta | None:
        """Return the last change of an object if a peer lacks only that.

        Args:
            item: The object.
            known_revision: Revision up to which the peer has the collection.
        """
        delta = self.deltas.get(item.name)
        if delta is None or delta.revision != item.revision:
            return None
        if delta.base_revision <= known_revision < delta.revision:
            return delta
        return None


def unpack(text: str) -> Any:
    """Return the content that `ObjectPacker.pack` compressed.

    Raises:
        PeerMessageError: If the text is no compressed content.
    """
    try:
        return orjson.loads(zlib.decompress(base64.b64decode(text)))
    except (binascii.Error, TypeError, ValueError, zlib.error) as error:
        raise PeerMessageError(f"not a packed object: {error}") from error


def unpack_delta(text: str) -> ContentDelta:
    """Return the change that `ObjectPacker.record_change` compressed.

    Raises:
        PeerMessageError: If the text is no compressed change.
    """
    document = unpack(text)
    try:
        delta = ContentDelta(**document)
    except TypeError as error:
        raise PeerMessageError(f"not a packed change: {error}") from error
    for field in attrs.fields(ContentDelta):
        value = getattr(delta, field.name)
        if not isinstance(value, DELTA_FIELD_TYPES[field.name]):
            raise PeerMessageError(f"invalid {field.name} of a packed change")
    return delta
