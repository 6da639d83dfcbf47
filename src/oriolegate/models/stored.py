"""What a metadata store with lists and watches returns."""

import enum
from typing import Any

import attrs


class Collection(enum.Enum):
    """The kinds of objects that a gateway follows."""

    LEAFS = enum.auto()
    CONFIGURATION = enum.auto()
    EVACUATIONS = enum.auto()
    MEMBERS = enum.auto()
    CRASHES = enum.auto()


@attrs.frozen
class StoredObject:
    """One object.

    Attributes:
        name: Its name within the collection.
        revision: The store's revision of its last change.
        content: What its writer put in, undecoded.
    """

    name: str
    revision: int
    content: Any


@attrs.frozen
class Change:
    """A change of one object; `removed` tells that it is gone."""

    item: StoredObject
    removed: bool


@attrs.frozen
class ListPage:
    """Part of a list, in the order of names.

    Attributes:
        items: The objects of this page.
        more_follow: Whether names after the last one exist.
        revision: The store's revision that the page holds for.
    """

    items: tuple[StoredObject, ...]
    more_follow: bool
    revision: int


@attrs.frozen
class ChangeBatch:
    """Changes in order; a watch continues from `revision`."""

    changes: tuple[Change, ...]
    revision: int
