"""This VM's view of one collection, with recent changes for peers.

A peer sends the revision of its view and gets the changes since then, or all
objects if the stored changes do not reach back that far.
"""

from collections.abc import Callable

import attrs

from oriolegate.following import store_era
from oriolegate.following.follower import CollectionSink
from oriolegate.models.stored import Change
from oriolegate.models.stored import ChangeBatch
from oriolegate.models.stored import ListPage
from oriolegate.models.stored import StoredObject

# Objects whose last change is stored for peers; a peer that lags further behind
# gets all objects.
MAX_CHANGES = 2_000
# Stands for the revision of a removal until the commit states that of the view:
# the object is absent there, whichever state of it a peer knows.
REMOVED_AT_COMMIT = 0


@attrs.frozen
class TaggedChange:
    """A change and the revision of the view that contains the change."""

    revision: int
    change: Change


def _is_older_by_era(known: StoredObject, item: StoredObject) -> bool:
    known_era = store_era.era_of(known.revision)
    return known_era < store_era.era_of(item.revision)


class ViewCache:
    """Stores all objects and recent changes of a collection for peers.

    Attributes:
        sink: Receives every object and change after the cache stored it.
        revision: The store's revision of the view, or 0 before the first list.
        oldest_revision: All changes after this revision are stored.
        objects: Object by name.
        changes: Last change of each recently changed object, by name, oldest
            first.
        uncommitted: Changes since the last commit.
        on_replaced: Called with an object before and after it was replaced.
    """

    def __init__(self, sink: CollectionSink) -> None:
        self.sink = sink
        self.revision = 0
        self.oldest_revision = 0
        self.objects: dict[str, StoredObject] = {}
        self.changes: dict[str, TaggedChange] = {}
        self.uncommitted: list[Change] = []
        self.on_replaced: Callable[[StoredObject, StoredObject], None] = (
            lambda before, after: None
        )

    def put(self, now_ms: float, item: StoredObject) -> None:
        """Add or update an object.

        An object that a new era holds unchanged is no change for the sink.
        """
        known = self.objects.get(item.name)
        if known is not None:
            self.on_replaced(known, item)
        self.objects[item.name] = item
        self.uncommitted.append(Change(item, removed=False))
        if known is None or not _is_older_by_era(known, item):
            self.sink.put(now_ms, item)
        elif known.content != item.content:
            self.sink.put_restored(now_ms, item)

    def put_restored(self, now_ms: float, item: StoredObject) -> None:
        """Add or update an object; `put` sees which ones were restored."""
        self.put(now_ms, item)

    def remove(self, now_ms: float, name: str, by_list: bool) -> None:
        """Remove an object.

        A peer may have read an entry from the store that this view lacks or
        has in an older state, so each removal is passed on.
        """
        self.objects.pop(name, None)
        self.uncommitted.append(
            Change(StoredObject(name, REMOVED_AT_COMMIT, None), removed=True)
        )
        self.sink.remove(now_ms, name, by_list)

    def on_absent(self, now_ms: float, name: str) -> None:
        """Pass on that a new era lacks an object."""
        self.sink.on_absent(now_ms, name)

    def commit(self, now_ms: float, revision: int) -> None:
        """End a complete list or batch of changes."""
        if self.revision == 0:
            # The first list contains no change that a peer could have missed.
            self.oldest_revision = revision
            self.uncommitted = []
        for change in self.uncommitted:
            # Inserted anew, so that the order remains that of the changes.
            self.changes.pop(change.item.name, None)
            if change.removed:
                item = attrs.evolve(change.item, revision=revision)
                change = attrs.evolve(change, item=item)
            self.changes[change.item.name] = TaggedChange(revision, change)
        self.uncommitted = []
        self.revision = revision
        while len(self.changes) > MAX_CHANGES:
            oldest = self.changes.pop(next(iter(self.changes)))
            self.oldest_revision = oldest.revision
        self.sink.commit(now_ms, revision)

    def has_change_after(self, revision: int) -> bool:
        """Return whether `since` would return any object."""
        if revision < self.oldest_revision:
            return True
        if not self.changes:
            return False
        return next(reversed(self.changes.values())).revision > revision

    def since(self, revision: int) -> ChangeBatch | ListPage:
        """Return the changes since a revision if stored, else all objects."""
        if revision < self.oldest_revision:
            return ListPage(tuple(self.objects.values()), False, self.revision)
        return ChangeBatch(
            tuple(
                tagged.change
                for tagged in self.changes.values()
                if tagged.revision > revision
            ),
            self.revision,
        )
