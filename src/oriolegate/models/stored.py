"""Objects, list pages and changes that the platform's store returns."""

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
    """One object of a collection.

    Attributes:
        name: Name within the collection.
        revision: The store's revision at the last change of the object, tagged
            with the era (`following.store_era`), like all revisions here.
        content: Content as written, undecoded.
    """

    name: str
    revision: int
    content: Any


@attrs.frozen
class Change:
    """A change of one object; `removed` is True for a removal."""

    item: StoredObject
    removed: bool


@attrs.frozen
class ListPage:
    """One page of a list, ordered by name.

    Attributes:
        items: Objects of the page.
        more_follow: Whether further pages follow.
        revision: The store's revision at which the page was read.
    """

    items: tuple[StoredObject, ...]
    more_follow: bool
    revision: int


@attrs.frozen
class ChangeBatch:
    """Ordered changes; the next watch continues from `revision`."""

    changes: tuple[Change, ...]
    revision: int
