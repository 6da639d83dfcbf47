"""Follows one collection of the store: a list first, then watches.

Decides what to ask next and when; the caller of this module does the asking.
A list replaces what is known only as a whole; nothing older than what was
taken already is ever taken.
"""

import enum
import random
from typing import Protocol

import attrs

from oriolegate.models.stored import ChangeBatch
from oriolegate.models.stored import Collection
from oriolegate.models.stored import ListPage
from oriolegate.models.stored import StoredObject

# Gathers changes into one priced call; a fifth of the shortest bound, 4 s.
BETWEEN_WATCHES_MS = 800.0
# How long the store may hold a watch without a change. A connection may fall
# silent unnoticed until then: with the call's limit, what was missed must be
# known before a bound of 4 s, counted from 5 s after the silence, is over.
# Removed leafs are used for 2 s more. Members have no such bound; reports of
# crashes come only while a request crashes leafs.
WATCH_MS = {
    Collection.LEAFS: 4_000,
    Collection.CONFIGURATION: 6_000,
    Collection.EVACUATIONS: 6_000,
    Collection.MEMBERS: 25_000,
    Collection.CRASHES: 10_000,
}
# How long the first watch after a failed call lasts: on a connection that is
# silent it costs no more than the limit of a call.
TRIAL_WATCH_MS = 20
# First and longest pause after a failed call: prompt after a lost answer,
# cheap during an outage, and well under the 5 s after which bounds hold.
FIRST_RETRY_MS = 300.0
LONGEST_RETRY_MS = 1_600.0
# The longest pause while there is no list yet: nothing is served without one.
LONGEST_START_RETRY_MS = 300.0


@attrs.frozen
class AskPage:
    """Ask for a page of the list after this pause.

    Attributes:
        delay_ms: The pause.
        after: The name that the page follows, or an empty text.
        may_lag: Whether a page that is seconds old will do; it costs a tenth,
            and the watch from its revision brings what it lacks.
    """

    delay_ms: float
    after: str
    may_lag: bool


@attrs.frozen
class AskChanges:
    """Watch from this revision after this pause."""

    delay_ms: float
    revision: int
    wait_ms: int


Ask = AskPage | AskChanges


class Mode(enum.Enum):
    """What a follower waits for."""

    LISTING = enum.auto()
    WATCHING = enum.auto()


class CollectionSink(Protocol):
    """Takes what is learned of one collection."""

    def put(self, now_ms: float, item: StoredObject) -> None:
        """Take an object that is new or changed."""
        ...

    def remove(self, now_ms: float, name: str, listed: bool) -> None:
        """Take that an object is gone; `listed` if a list lacked it."""
        ...

    def settled(self, now_ms: float, revision: int) -> None:
        """Take that a whole list or batch of changes was put in."""
        ...


class Follower:
    """The state of following one collection.

    Attributes:
        collection: What is followed.
        revisions: Revision by name of all objects known.
        revision: From where the next watch continues.
        complete: Whether a whole list was ever taken.
        confirmed_ms: When the store last answered with success.
        failures: Failed calls since then.
    """

    def __init__(
        self,
        collection: Collection,
        sink: CollectionSink,
        chance: random.Random,
    ) -> None:
        self.collection = collection
        self.watch_ms = WATCH_MS[collection]
        self.sink = sink
        self.chance = chance
        self.revisions: dict[str, int] = {}
        self.revision = 0
        self.complete = False
        self.confirmed_ms = float("-inf")
        self.failures = 0
        self.mode = Mode.LISTING
        self.listed: dict[str, StoredObject] = {}
        self.list_revision: int | None = None
        self.list_may_lag = True

    def start(self) -> Ask:
        """Return the first call."""
        return self._list_anew(0.0)

    def resume(self) -> Ask:
        """Return the call to go on with after a time without calls."""
        if not self.complete:
            return self._list_anew(0.0)
        self.mode = Mode.WATCHING
        return AskChanges(0.0, self.revision, TRIAL_WATCH_MS)

    def _list_anew(self, delay_ms: float, *, may_lag: bool = True) -> Ask:
        self.mode = Mode.LISTING
        self.listed = {}
        self.list_revision = None
        self.list_may_lag = may_lag
        return AskPage(delay_ms, "", may_lag)

    def _succeeded(self, now_ms: float) -> None:
        self.failures = 0
        self.confirmed_ms = now_ms

    def page(self, now_ms: float, page: ListPage) -> Ask:
        """Take a page of the list and return the next call."""
        self._succeeded(now_ms)
        if self.list_revision is None:
            self.list_revision = page.revision
        for item in page.items:
            self.listed[item.name] = item
        if page.more_follow and page.items:
            return AskPage(0.0, page.items[-1].name, self.list_may_lag)
        if self.list_revision < self.revision:
            # A copy that lags: what is known already is newer.
            return self._list_anew(FIRST_RETRY_MS, may_lag=False)
        self.revision = self.list_revision
        self._take_list(now_ms)
        self.complete = True
        self.mode = Mode.WATCHING
        return AskChanges(BETWEEN_WATCHES_MS, self.revision, self.watch_ms)

    def _take_list(self, now_ms: float) -> None:
        for name in [
            name for name in self.revisions if name not in self.listed
        ]:
            del self.revisions[name]
            self.sink.remove(now_ms, name, listed=True)
        for item in self.listed.values():
            self._put(now_ms, item)
        self.listed = {}
        self.sink.settled(now_ms, self.revision)

    def _put(self, now_ms: float, item: StoredObject) -> None:
        if item.revision > self.revisions.get(item.name, -1):
            self.revisions[item.name] = item.revision
            self.sink.put(now_ms, item)

    def changes(self, now_ms: float, batch: ChangeBatch) -> Ask:
        """Take the changes of a watch and return the next call."""
        self._succeeded(now_ms)
        for change in batch.changes:
            name = change.item.name
            if not change.removed:
                self._put(now_ms, change.item)
            elif change.item.revision >= self.revisions.get(name, 0):
                self.revisions.pop(name, None)
                self.sink.remove(now_ms, name, listed=False)
        self.revision = max(self.revision, batch.revision)
        if batch.changes:
            self.sink.settled(now_ms, self.revision)
        delay_ms = BETWEEN_WATCHES_MS if batch.changes else 0.0
        return AskChanges(delay_ms, self.revision, self.watch_ms)

    def whole(self, now_ms: float, page: ListPage) -> None:
        """Take a list that a peer holds as a whole, if it is news."""
        self._succeeded(now_ms)
        if page.revision <= self.revision and self.complete:
            return
        self._put_whole(now_ms, page)

    def adopt(self, now_ms: float, page: ListPage) -> None:
        """Take a list that nobody could confirm, while there is none.

        A VM that starts during an outage of the store knows nothing; what
        another VM last heard is seconds old and better than that.
        """
        if not self.complete:
            self._put_whole(now_ms, page)

    def _put_whole(self, now_ms: float, page: ListPage) -> None:
        self.listed = {item.name: item for item in page.items}
        self.list_revision = None
        self.revision = page.revision
        self.complete = True
        self._take_list(now_ms)

    def confirm(self, now_ms: float) -> None:
        """Take that nothing has changed."""
        self._succeeded(now_ms)

    def history_gone(self, now_ms: float) -> Ask:
        """Take that the store no longer has changes from our revision."""
        self._succeeded(now_ms)
        return self._list_anew(0.0, may_lag=False)

    def unreadable(self) -> Ask:
        """Take that an answer made no sense: list anew, after a pause."""
        self.failures += 1
        return self._list_anew(self._pause_ms())

    def failed(self) -> Ask:
        """Take that a call was refused or not answered."""
        self.failures += 1
        if self.mode is Mode.WATCHING:
            return AskChanges(self._pause_ms(), self.revision, TRIAL_WATCH_MS)
        return self._list_anew(self._pause_ms())

    def _pause_ms(self) -> float:
        most_ms = LONGEST_RETRY_MS if self.complete else LONGEST_START_RETRY_MS
        longest_ms = min(most_ms, FIRST_RETRY_MS * 2.0 ** (self.failures - 1))
        return longest_ms * (0.75 + 0.5 * self.chance.random())
