"""Follows one collection of the store: lists it first, then watches it.

Decides the next store call and when it is due; the caller makes the calls.
A list replaces the view only once all its pages have arrived. Data older than
the view is never applied.

All revisions are tagged with the store's era. In a new era the store may lack
objects that it had; they stay in the view for a time, since whoever wrote them
writes them again.
"""

import enum
import random
from typing import Protocol

import attrs

from oriolegate.following import store_era
from oriolegate.models.site import Bounds
from oriolegate.models.stored import ChangeBatch
from oriolegate.models.stored import Collection
from oriolegate.models.stored import ListPage
from oriolegate.models.stored import StoredObject

# Pause after a watch with changes, so that one billed call returns several
# changes; a fifth of the shortest bound on applying a change, 4 s.
BETWEEN_WATCHES_MS = 800.0
# A call that takes longer than this is on a dead connection: even a slow store
# answers within 300 ms.
CALL_TIMEOUT_MS = 1_200.0
# Limits on the time for which the store may delay the answer to a watch.
MIN_WATCH_MS = 500.0
MAX_WATCH_MS = 6_000.0
# Time in which a view is read again once its connection is known to be dead,
# and passed on to the VMs that follow this one.
READ_AGAIN_MS = 800.0
# Duration of the first watch after a failed call: on a dead connection it takes
# hardly longer than the timeout of a call.
PROBE_WATCH_MS = 20
# How long objects that a new era lacks stay in the view. Leafs and the operator
# write theirs again within about two seconds, and a watch returns them up to
# 0.8 s later; VMs write theirs as soon as they miss them. A crash report stays
# for its lifetime, since the VM that wrote it may be gone.
ABSENT_GRACE_MS = {
    Collection.LEAFS: 3_000.0,
    Collection.CONFIGURATION: 3_000.0,
    Collection.EVACUATIONS: 3_000.0,
    Collection.MEMBERS: 6_000.0,
    Collection.CRASHES: 600_000.0,
}
# First and maximum backoff after a failed call: short after one lost answer,
# cheap during an outage, and well below the 5 s after which bounds apply again.
FIRST_RETRY_MS = 300.0
MAX_RETRY_MS = 1_600.0
# Failed calls in a row after which a list of several pages is begun again: its
# first pages are then about 11 s old, half as old as the store's history.
MAX_RESUMED_FAILURES = 5
# Age up to which a view may be passed on while watches fail though the store
# answers probes. Peers that were sent to the store by each failed call would
# all make the same calls.
MAX_FAILING_AGE_MS = 5_000.0
# Maximum backoff until the first list is complete; until then no request is
# served.
MAX_START_RETRY_MS = 300.0


@attrs.frozen
class ListQuery:
    """Request a page of the list after a delay.

    Attributes:
        delay_ms: Delay before the request.
        after: Name after which the page starts, or empty for the first page.
        may_lag: Whether a page that is seconds old is acceptable; such
            a page costs a tenth of a current page, and the watch from the
            page's revision returns later changes.
    """

    delay_ms: float
    after: str
    may_lag: bool


@attrs.frozen
class WatchQuery:
    """Watch for changes after a delay.

    Attributes:
        delay_ms: Delay before the request.
        revision: Revision after which changes are returned.
        wait_ms: How long the store may wait for a change.
    """

    delay_ms: float
    revision: int
    wait_ms: int


StoreQuery = ListQuery | WatchQuery


def longest_watch_ms(contact_ms: float) -> float:
    """Return the longest time in ms from one answer of a watch to the next.

    An open connection may go silent for good while new ones work, so a missing
    answer is all that shows it. Views must be correct again `contact_ms` after
    that.
    """
    watch_ms = contact_ms - CALL_TIMEOUT_MS - READ_AGAIN_MS
    return min(MAX_WATCH_MS, max(MIN_WATCH_MS, watch_ms))


class Mode(enum.Enum):
    """Kind of the call that a follower waits for."""

    LISTING = enum.auto()
    WATCHING = enum.auto()


class CollectionSink(Protocol):
    """Receives the objects of one collection."""

    def put(self, now_ms: float, item: StoredObject) -> None:
        """Add or update an object."""
        ...

    def put_restored(self, now_ms: float, item: StoredObject) -> None:
        """Update an object from a restored store, which may hold less."""
        ...

    def remove(self, now_ms: float, name: str, by_list: bool) -> None:
        """Remove an object.

        Args:
            now_ms: Current time.
            name: Name of the object.
            by_list: True if a new list lacks the object, False if a watch
                returned its removal.
        """
        ...

    def on_absent(self, now_ms: float, name: str) -> None:
        """Handle that a new era lacks an object, which stays for a time."""
        ...

    def commit(self, now_ms: float, revision: int) -> None:
        """End a complete list or batch of changes."""
        ...


class Follower:
    """State of following one collection.

    The methods that handle a result of a call return the next call.

    Attributes:
        collection: The collection that is followed.
        revisions: Revision of each known object, by name.
        revision: Revision from which the next watch continues.
        complete: Whether a complete list was ever applied.
        confirmed_ms: Time up to which the view is known to be that of the
            store; a peer's answer may be older than its arrival.
        failures: Number of failed calls since the last successful one.
        mode: Kind of the current call.
        listed: Objects of the pages received so far, by name.
        list_after: Name after which the next page of the list starts.
        list_revision: Revision of the list's first page, or None before it.
        list_may_lag: Whether the current list may be seconds old.
        era: Era of the view.
        absent: When to remove each object that the current era lacks, by name.
        lists_may_lag: Whether the first list may be seconds old.
        watch_ms: Longest time from one answer of a watch to the next.
    """

    def __init__(
        self,
        collection: Collection,
        sink: CollectionSink,
        rng: random.Random,
        *,
        contact_ms: float = Bounds().contact_ms,
        lists_may_lag: bool = True,
    ) -> None:
        self.collection = collection
        self.lists_may_lag = lists_may_lag
        self.watch_ms = longest_watch_ms(contact_ms)
        self.sink = sink
        self.rng = rng
        self.revisions: dict[str, int] = {}
        self.revision = 0
        self.complete = False
        self.confirmed_ms = float("-inf")
        self.failures = 0
        self.mode = Mode.LISTING
        self.listed: dict[str, StoredObject] = {}
        self.list_after = ""
        self.list_revision: int | None = None
        self.list_may_lag = True
        self.era = 0
        self.absent: dict[str, float] = {}

    def set_contact_ms(self, contact_ms: float) -> None:
        """Set after which time a view must be correct again."""
        self.watch_ms = longest_watch_ms(contact_ms)

    def _watch(self, delay_ms: float) -> StoreQuery:
        """Return a watch; a connection may die in the delay before it too."""
        wait_ms = max(MIN_WATCH_MS, self.watch_ms - delay_ms)
        return WatchQuery(delay_ms, self.revision, round(wait_ms))

    @property
    def max_age_ms(self) -> float:
        """The age that the view reaches at most while the store is read."""
        return BETWEEN_WATCHES_MS + self.watch_ms + CALL_TIMEOUT_MS

    def is_confirmed(self, now_ms: float) -> bool:
        """Return whether the view is complete and not too old."""
        max_age_ms = self.max_age_ms
        if self.failures:
            max_age_ms = min(max_age_ms, MAX_FAILING_AGE_MS)
        return self.complete and now_ms - self.confirmed_ms <= max_age_ms

    def start(self) -> StoreQuery:
        """Return the first call."""
        return self._restart_list(0.0)

    def resume(self) -> StoreQuery:
        """Return the call with which to continue after a pause."""
        if not self.complete:
            return self._restart_list(0.0)
        self.mode = Mode.WATCHING
        return WatchQuery(0.0, self.revision, PROBE_WATCH_MS)

    def _restart_list(
        self, delay_ms: float, *, may_lag: bool | None = None
    ) -> StoreQuery:
        self.mode = Mode.LISTING
        self.listed = {}
        self.list_after = ""
        self.list_revision = None
        self.list_may_lag = self.lists_may_lag if may_lag is None else may_lag
        return ListQuery(delay_ms, "", self.list_may_lag)

    def _succeeded(self, confirmed_ms: float) -> None:
        self.failures = 0
        self.confirmed_ms = max(self.confirmed_ms, confirmed_ms)

    def on_page(self, now_ms: float, page: ListPage) -> StoreQuery:
        """Handle a page of the list."""
        self._succeeded(now_ms)
        if self.list_revision is None:
            self.list_revision = page.revision
        for item in page.items:
            self.listed[item.name] = item
        if page.more_follow and page.items:
            self.list_after = page.items[-1].name
            return ListQuery(0.0, self.list_after, self.list_may_lag)
        if self.list_revision < self.revision:
            # The page came from a lagging replica: the view is newer.
            return self._restart_list(FIRST_RETRY_MS, may_lag=False)
        self.revision = self.list_revision
        self._apply_list(now_ms)
        self.complete = True
        self.mode = Mode.WATCHING
        return self._watch(BETWEEN_WATCHES_MS)

    def _apply_list(self, now_ms: float) -> None:
        for name in [
            name for name in self.revisions if name not in self.listed
        ]:
            if not self._is_of_earlier_era(name):
                del self.revisions[name]
                self.sink.remove(now_ms, name, by_list=True)
        for item in self.listed.values():
            self._put(now_ms, item)
        self.listed = {}
        self._record_absent(now_ms)
        self.sink.commit(now_ms, self.revision)

    def _is_of_earlier_era(self, name: str) -> bool:
        era = store_era.era_of(self.revision)
        return store_era.era_of(self.revisions[name]) < era

    def _record_absent(self, now_ms: float) -> None:
        """Record which objects the first view of an era lacks."""
        era = store_era.era_of(self.revision)
        if era == self.era:
            return
        self.era = era
        due_ms = now_ms + ABSENT_GRACE_MS[self.collection]
        for name in self.revisions:
            if self._is_of_earlier_era(name):
                self.absent.setdefault(name, due_ms)
                self.sink.on_absent(now_ms, name)

    def postpone_removals(self, now_ms: float) -> None:
        """Wait anew for absent objects: nobody can write them now."""
        due_ms = now_ms + ABSENT_GRACE_MS[self.collection]
        for name in self.absent:
            self.absent[name] = max(self.absent[name], due_ms)

    def remove_absent(self, now_ms: float) -> None:
        """Remove objects that have been absent for too long."""
        due = [name for name, due_ms in self.absent.items() if now_ms >= due_ms]
        for name in due:
            del self.absent[name]
            del self.revisions[name]
            self.sink.remove(now_ms, name, by_list=True)
        if due:
            self.sink.commit(now_ms, self.revision)

    def _put(self, now_ms: float, item: StoredObject) -> None:
        if item.revision > self.revisions.get(item.name, -1):
            self.revisions[item.name] = item.revision
            self.sink.put(now_ms, item)
            if not self._is_of_earlier_era(item.name):
                self.absent.pop(item.name, None)

    def on_changes(
        self,
        now_ms: float,
        batch: ChangeBatch,
        confirmed_ms: float | None = None,
    ) -> StoreQuery:
        """Apply the changes that a watch or a peer returned.

        Args:
            now_ms: Current time.
            batch: The changes.
            confirmed_ms: Time at which the changes were the newest ones, if
                not now.
        """
        self._succeeded(now_ms if confirmed_ms is None else confirmed_ms)
        self.revision = max(self.revision, batch.revision)
        for change in batch.changes:
            name = change.item.name
            if not change.removed:
                self._put(now_ms, change.item)
            elif change.item.revision >= self.revisions.get(name, 0):
                self.revisions.pop(name, None)
                self.absent.pop(name, None)
                self.sink.remove(now_ms, name, by_list=False)
        self._record_absent(now_ms)
        if batch.changes:
            self.sink.commit(now_ms, self.revision)
        return self._watch(BETWEEN_WATCHES_MS if batch.changes else 0.0)

    def on_complete_list(
        self, now_ms: float, page: ListPage, confirmed_ms: float
    ) -> None:
        """Apply a complete list from a peer, if it is newer than the view."""
        self._succeeded(confirmed_ms)
        if page.revision <= self.revision and self.complete:
            return
        self._apply_complete(now_ms, page)

    def adopt_unconfirmed(self, now_ms: float, page: ListPage) -> None:
        """Apply a list that the store did not confirm, unless one was applied.

        A VM that starts during an outage of the store has no view. The view of
        another VM may be seconds old, but is better than none.
        """
        if not self.complete:
            self._apply_complete(now_ms, page)

    def _apply_complete(self, now_ms: float, page: ListPage) -> None:
        self.listed = {item.name: item for item in page.items}
        self.list_revision = None
        self.revision = page.revision
        self.complete = True
        self._apply_list(now_ms)

    def confirm(self, confirmed_ms: float) -> None:
        """Record up to which time a peer confirmed the view as current."""
        self._succeeded(confirmed_ms)

    def on_history_missing(self, now_ms: float) -> StoreQuery:
        """List again, since the store lacks the changes since `revision`."""
        self._succeeded(now_ms)
        return self.list_again()

    def list_again(self) -> StoreQuery:
        """List now, such as when the store begins a new era."""
        return self._restart_list(0.0, may_lag=False)

    def on_malformed_answer(self) -> StoreQuery:
        """Restart the list after a malformed answer, with a backoff."""
        self.failures += 1
        return self._restart_list(self._backoff_ms())

    def on_failure(self, *, is_connection_dead: bool = False) -> StoreQuery:
        """Handle a call that was refused or not answered.

        Args:
            is_connection_dead: Whether the store answers on other connections,
                so that the call is made again at once.
        """
        self.failures += 1
        delay_ms = self._backoff_ms()
        if is_connection_dead and self.failures == 1:
            delay_ms = 0.0
        if self.mode is Mode.WATCHING:
            return WatchQuery(delay_ms, self.revision, PROBE_WATCH_MS)
        if self.failures > MAX_RESUMED_FAILURES:
            return self._restart_list(delay_ms)
        return ListQuery(delay_ms, self.list_after, self.list_may_lag)

    def _backoff_ms(self) -> float:
        max_backoff_ms = MAX_RETRY_MS if self.complete else MAX_START_RETRY_MS
        backoff_ms = min(
            max_backoff_ms, FIRST_RETRY_MS * 2.0 ** (self.failures - 1)
        )
        return backoff_ms * (0.75 + 0.5 * self.rng.random())
