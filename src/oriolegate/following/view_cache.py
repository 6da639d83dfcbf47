"""What this VM knows of one collection, in a form that peers can follow.

A peer names the revision that it has; it gets the changes since, or all
objects if the changes no longer reach back so far.
"""

import collections

import attrs

from oriolegate.following.follower import CollectionSink
from oriolegate.models.stored import Change
from oriolegate.models.stored import ChangeBatch
from oriolegate.models.stored import ListPage
from oriolegate.models.stored import StoredObject

# Changes kept for peers; a peer that lags further gets all objects.
MAX_CHANGES = 2_000


@attrs.frozen
class TaggedChange:
    """A change and the revision that the view had once it was taken."""

    revision: int
    change: Change


class ViewCache:
    """A sink that keeps what it passes on.

    Attributes:
        revision: The store's revision that the view holds for, or 0.
        oldest: Changes after this revision are all kept.
        objects: Object by name.
    """

    def __init__(self, sink: CollectionSink) -> None:
        self.sink = sink
        self.revision = 0
        self.oldest = 0
        self.objects: dict[str, StoredObject] = {}
        self.changes: collections.deque[TaggedChange] = collections.deque()
        self.unsettled: list[Change] = []

    def put(self, now_ms: float, item: StoredObject) -> None:
        """Take an object that is new or changed."""
        self.objects[item.name] = item
        self.unsettled.append(Change(item, removed=False))
        self.sink.put(now_ms, item)

    def remove(self, now_ms: float, name: str, listed: bool) -> None:
        """Take that an object is gone."""
        item = self.objects.pop(name, None)
        if item is not None:
            self.unsettled.append(Change(item, removed=True))
        self.sink.remove(now_ms, name, listed)

    def settled(self, now_ms: float, revision: int) -> None:
        """Take that a whole list or batch of changes was put in."""
        if self.revision == 0:
            # The first list is no change that a peer could have missed.
            self.oldest = revision
            self.unsettled = []
        for change in self.unsettled:
            self.changes.append(TaggedChange(revision, change))
        self.unsettled = []
        self.revision = revision
        while len(self.changes) > MAX_CHANGES:
            self.oldest = self.changes.popleft().revision
        self.sink.settled(now_ms, revision)

    def since(self, revision: int) -> ChangeBatch | ListPage:
        """Return what a peer at this revision needs."""
        if revision < self.oldest:
            return ListPage(tuple(self.objects.values()), False, self.revision)
        return ChangeBatch(
            tuple(
                tagged.change
                for tagged in self.changes
                if tagged.revision > revision
            ),
            self.revision,
        )
