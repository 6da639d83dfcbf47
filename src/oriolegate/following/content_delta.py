"""Differences between two states of a large object.

VMs send each other what changed in an object instead of the whole. Objects are
JSON; a list whose elements moved, came or went is described by the ranges that
stay. A digest shows whether both VMs hold the same content afterwards.
"""

from collections.abc import Mapping
import hashlib
from typing import Any

import attrs
import orjson

from oriolegate.models.stored import Change
from oriolegate.models.stored import ChangeBatch
from oriolegate.models.stored import StoredObject

DIGEST_BYTES = 8


class DeltaMismatchError(Exception):
    """The base of a delta is not the content that this VM has."""


@attrs.frozen
class ContentDelta:
    """What changed between two states of an object.

    Attributes:
        base_revision: Revision of the object before.
        digest: Digest of the content after.
        values: New values by key.
        lists: For each changed list by key, its pieces: a range `[start, end]`
            of the list before, or a list that contains a list of new elements.
        removed: Keys that are gone.
    """

    base_revision: int
    digest: str
    values: dict[str, Any]
    lists: dict[str, list[list[Any]]]
    removed: list[str]


def digest_of(content: Any) -> str:
    """Return a digest that is equal for equal content."""
    data = orjson.dumps(content, option=orjson.OPT_SORT_KEYS)
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def _encode_element(element: Any) -> bytes:
    return orjson.dumps(element, option=orjson.OPT_SORT_KEYS)


def _list_pieces(before: list[Any], after: list[Any]) -> list[list[Any]]:
    positions = {
        _encode_element(element): index for index, element in enumerate(before)
    }
    pieces: list[list[Any]] = []
    # The last piece: a range if `end` is a position, else new elements.
    end: int | None = None
    for element in after:
        position = positions.get(_encode_element(element))
        if position is None:
            if end is not None or not pieces:
                pieces.append([[]])
            end = None
            pieces[-1][0].append(element)
        elif position == end:
            end = position + 1
            pieces[-1][1] = end
        else:
            end = position + 1
            pieces.append([position, end])
    return pieces


def _apply_pieces(before: list[Any], pieces: list[list[Any]]) -> list[Any]:
    after: list[Any] = []
    for piece in pieces:
        match piece:
            case [list() as elements]:
                after += elements
            case [int() as start, int() as end]:
                after += before[start:end]
            case _:
                raise DeltaMismatchError
    return after


def make(base_revision: int, before: Any, after: Any) -> ContentDelta | None:
    """Return what changed, or None if the content is no JSON object."""
    if not isinstance(before, dict) or not isinstance(after, dict):
        return None
    values = {}
    lists = {}
    for key, value in after.items():
        known = before.get(key)
        if isinstance(known, list) and isinstance(value, list):
            if known != value:
                lists[key] = _list_pieces(known, value)
        elif key not in before or known != value:
            values[key] = value
    removed = [key for key in before if key not in after]
    digest = digest_of(after)
    return ContentDelta(base_revision, digest, values, lists, removed)


def apply(before: Any, delta: ContentDelta) -> Any:
    """Return the content after a change.

    Raises:
        DeltaMismatchError: If the result is not what the sender has.
    """
    if not isinstance(before, dict):
        raise DeltaMismatchError
    after = {
        key: value for key, value in before.items() if key not in delta.removed
    }
    after |= delta.values
    for key, pieces in delta.lists.items():
        known = before.get(key)
        if not isinstance(known, list) or not isinstance(pieces, list):
            raise DeltaMismatchError
        after[key] = _apply_pieces(known, pieces)
    if digest_of(after) != delta.digest:
        raise DeltaMismatchError
    return after


def resolve(
    batch: ChangeBatch, objects: Mapping[str, StoredObject]
) -> ChangeBatch:
    """Return a batch with whole objects instead of their changes.

    Args:
        batch: Changes whose content may be a `ContentDelta`.
        objects: The objects as this VM has them, by name.

    Raises:
        DeltaMismatchError: If a change doesn't fit the object.
    """
    return attrs.evolve(
        batch,
        changes=tuple(
            _resolve_change(change, objects) for change in batch.changes
        ),
    )


def _resolve_change(
    change: Change, objects: Mapping[str, StoredObject]
) -> Change:
    item = change.item
    delta = item.content
    if not isinstance(delta, ContentDelta):
        return change
    known = objects.get(item.name)
    if known is None or known.revision != delta.base_revision:
        raise DeltaMismatchError
    content = apply(known.content, delta)
    return attrs.evolve(change, item=attrs.evolve(item, content=content))
