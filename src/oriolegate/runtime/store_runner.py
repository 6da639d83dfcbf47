"""Asks the store what the followers want to know."""

from typing import Any

from oriolegate import logging_setup
from oriolegate.clock import Clock
from oriolegate.exceptions import MalformedEntryError
from oriolegate.following.follower import Ask
from oriolegate.following.follower import AskChanges
from oriolegate.following.follower import AskPage
from oriolegate.following.follower import Follower
from oriolegate.network.http_reader import HttpResponse
from oriolegate.network.store_client import StoreClient
from oriolegate.platform import store_calls

log = logging_setup.get_logger("store")

MS_PER_S = 1_000.0
# A call that takes longer is on a dead connection: a slow store answers
# within 300 ms.
CALL_LIMIT_MS = 1_200.0


class StoreRunner:
    """Runs all followers.

    Attributes:
        followers: What is followed.
        unreachable: Collections whose last call failed.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        client: StoreClient,
        followers: list[Follower],
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.client = client
        self.followers = followers
        self.stopped = False

    def start(self) -> None:
        """Begin to follow."""
        for follower in self.followers:
            self._schedule(follower, follower.start())

    def stop(self) -> None:
        """Ask nothing more."""
        self.stopped = True

    def _schedule(self, follower: Follower, ask: Ask) -> None:
        if ask.delay_ms > 0.0:
            self.reactor.callLater(
                ask.delay_ms / MS_PER_S, self._ask, follower, ask
            )
        else:
            self._ask(follower, ask)

    def _ask(self, follower: Follower, ask: Ask) -> None:
        if self.stopped:
            return
        match ask:
            case AskPage(_, after):
                call = store_calls.list_call(follower.collection, after)
                limit_ms = CALL_LIMIT_MS
            case AskChanges(_, revision, wait_ms):
                call = store_calls.watch_call(
                    follower.collection, revision, wait_ms
                )
                limit_ms = wait_ms + CALL_LIMIT_MS

        def done(outcome: HttpResponse | str) -> None:
            if not self.stopped:
                self._schedule(follower, self._take(follower, ask, outcome))

        self.client.call(call, limit_ms, done)

    def _take(
        self, follower: Follower, ask: Ask, outcome: HttpResponse | str
    ) -> Ask:
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
            if isinstance(ask, AskPage):
                page = store_calls.decode_page(outcome.body)
                following = follower.page(now_ms, page)
            else:
                batch = store_calls.decode_changes(outcome.body)
                following = follower.changes(now_ms, batch)
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

    def _failed(self, follower: Follower, reason: str) -> Ask:
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
