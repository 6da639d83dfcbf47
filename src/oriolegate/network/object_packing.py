"""Compression of large objects that VMs pass on to each other."""

import base64
import binascii
from typing import Any
import zlib

import orjson

from oriolegate.exceptions import PeerMessageError
from oriolegate.models.stored import StoredObject

# The lowest level: higher ones take longer and hardly reduce the size further.
COMPRESSION_LEVEL = 1


class ObjectPacker:
    """Compresses each revision of an object once, for all peers.

    Attributes:
        packed: Revision and compressed content, by name.
    """

    def __init__(self) -> None:
        self.packed: dict[str, tuple[int, str]] = {}

    def pack(self, item: StoredObject) -> str:
        """Return the compressed content of an object."""
        known = self.packed.get(item.name)
        if known is not None and known[0] == item.revision:
            return known[1]
        compressed = zlib.compress(
            orjson.dumps(item.content), COMPRESSION_LEVEL
        )
        text = base64.b64encode(compressed).decode()
        self.packed[item.name] = (item.revision, text)
        return text


def unpack(text: str) -> Any:
    """Return the content that `ObjectPacker.pack` compressed.

    Raises:
        PeerMessageError: If the text is no compressed content.
    """
    try:
        return orjson.loads(zlib.decompress(base64.b64decode(text)))
    except (binascii.Error, TypeError, ValueError, zlib.error) as error:
        raise PeerMessageError(f"not a packed object: {error}") from error
