"""Keeps this VM's view of the store current, from a peer or from the store."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import attrs

from oriolegate import structured_log
from oriolegate.clock import Clock
from oriolegate.exceptions import MalformedEntryError
from oriolegate.following.follower import Follower
from oriolegate.following.follower import ListQuery
from oriolegate.following.follower import StoreQuery
from oriolegate.following.follower import WatchQuery
from oriolegate.models.stored import Collection
from oriolegate.network.http_caller import CancelCall
from oriolegate.network.http_reader import HttpResponse
from oriolegate.network.store_client import StoreClient
from oriolegate.platform import store_calls

log = structured_log.get_logger("store")

MS_PER_S = 1_000.0
# A call that takes longer is on a dead connection: a slow store answers
# within 300 ms.
CALL_LIMIT_MS = 1_200.0
# While there is no list yet, a call that takes longer than this is given up for
# a new one, and the next time twice as much: the store may be back by then.
FIRST_LIST_LIMIT_MS = 500.0


class StoreRunner:
    """Runs all followers against the store.

    Attributes:
        followers: What is followed.
        on_step: Called after each answer and failure.
        paused: True while a peer tells the news instead.
        parked: Calls that wait until a call of another collection, which
            tries whether the store answers again, has succeeded.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        client: StoreClient,
        followers: Mapping[Collection, Follower],
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.client = client
        self.followers = followers
        self.on_step: Callable[[], None] = lambda: None
        self.paused = False
        self.timers: dict[Collection, Any] = {}
        self.calls: dict[Collection, CancelCall] = {}
        self.parked: dict[Collection, tuple[Follower, StoreQuery]] = {}

    @property
    def is_confirmed(self) -> bool:
        """Whether all lists are in and no last call has failed."""
        return all(
            follower.complete and follower.failures == 0
            for follower in self.followers.values()
        )

    def start(self) -> None:
        """Begin to follow."""
        for follower in self.followers.values():
            self._schedule(follower, follower.start())

    def pause(self) -> None:
        """Ask nothing until `resume`."""
        self.paused = True
        for timer in self.timers.values():
            if timer.active():
                timer.cancel()
        for cancel in self.calls.values():
            cancel()
        self.timers.clear()
        self.calls.clear()
        self.parked.clear()

    def resume(self) -> None:
        """Ask again, from where the views are."""
        if not self.paused:
            return
        self.paused = False
        for follower in self.followers.values():
            self._schedule(follower, follower.resume())

    def _schedule(self, follower: Follower, ask: StoreQuery) -> None:
        if self.paused:
            return
        self.timers[follower.collection] = self.reactor.callLater(
            ask.delay_ms / MS_PER_S, self._ask, follower, ask
        )

    def _must_wait(self, follower: Follower) -> bool:
        """Return whether another collection tries the store already."""
        if follower.failures == 0:
            return False
        return any(
            other is not follower
            and other.failures > 0
            and other.collection not in self.parked
            for other in self.followers.values()
        )

    def _hand_on(self, follower: Follower, ask: StoreQuery) -> None:
        """Let another collection try next: only one of them may be cut."""
        first = next(iter(self.parked))
        other, other_ask = self.parked.pop(first)
        self.parked[follower.collection] = (
            follower,
            attrs.evolve(ask, delay_ms=0.0),
        )
        self._schedule(other, attrs.evolve(other_ask, delay_ms=ask.delay_ms))

    def _release(self) -> None:
        """Make the parked calls, now that the store answers."""
        parked = self.parked
        self.parked = {}
        for follower, ask in parked.values():
            self._call(follower, ask)

    def _ask(self, follower: Follower, ask: StoreQuery) -> None:
        if self._must_wait(follower):
            self.parked[follower.collection] = (follower, ask)
        else:
            self._call(follower, ask)

    def _call(self, follower: Follower, ask: StoreQuery) -> None:
        collection = follower.collection
        match ask:
            case ListQuery(_, after, may_lag):
                call = store_calls.list_call(collection, after, may_lag=may_lag)
                limit_ms = self._list_limit_ms(follower)
            case WatchQuery(_, revision, wait_ms):
                call = store_calls.watch_call(collection, revision, wait_ms)
                limit_ms = wait_ms + CALL_LIMIT_MS

        def done(outcome: HttpResponse | str) -> None:
            self.calls.pop(collection, None)
            following = self._take(follower, ask, outcome)
            if follower.failures and self.parked:
                self._hand_on(follower, following)
            else:
                self._schedule(follower, following)
                self._release()
            self.on_step()

        self.calls[collection] = self.client.call(call, limit_ms, done)

    def _list_limit_ms(self, follower: Follower) -> float:
        if follower.complete:
            return CALL_LIMIT_MS
        return min(CALL_LIMIT_MS, FIRST_LIST_LIMIT_MS * 2.0**follower.failures)

    def _take(
        self, follower: Follower, ask: StoreQuery, outcome: HttpResponse | str
    ) -> StoreQuery:
        now_ms = self.clock.now_ms()
        if isinstance(outcome, str):
            return self._failed(follower, outcome)
        if outcome.status == store_calls.STATUS_HISTORY_GONE:
            log.bind(collection=follower.collection.name).info(
                "history gone; listing anew"
            )
            return follower.history_gone(now_ms)
        if outcome.status != store_calls.STATUS_OK:
            return self._failed(follower, f"status {outcome.status}")
        failures = follower.failures
        try:
            following = self._read(follower, ask, outcome.body)
        except MalformedEntryError as fault:
            log.bind(
                collection=follower.collection.name, reason=fault.message
            ).warning("answer unreadable; listing anew")
            return follower.unreadable()
        if failures:
            log.bind(
                collection=follower.collection.name, failures=failures
            ).info("store regained")
        return following

    def _read(
        self, follower: Follower, ask: StoreQuery, body: bytes
    ) -> StoreQuery:
        now_ms = self.clock.now_ms()
        if isinstance(ask, ListQuery):
            return follower.page(now_ms, store_calls.decode_page(body))
        return follower.changes(now_ms, store_calls.decode_changes(body))

    def _failed(self, follower: Follower, reason: str) -> StoreQuery:
        following = follower.failed()
        age_ms = self.clock.now_ms() - follower.confirmed_ms
        is_first = follower.failures == 1
        log.bind(
            collection=follower.collection.name,
            reason=reason,
            failures=follower.failures,
            view_age_ms=round(min(age_ms, 1e9)),
            revision=follower.revision,
            next_ms=round(following.delay_ms),
        ).warning("store lost" if is_first else "store still lost")
        return following
