"""Runs the followers that keep this VM's view current from the store."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import attrs

from oriolegate import structured_log
from oriolegate.clock import Clock
from oriolegate.exceptions import MalformedEntryError
from oriolegate.following import store_era
from oriolegate.following.follower import CALL_TIMEOUT_MS
from oriolegate.following.follower import Follower
from oriolegate.following.follower import ListQuery
from oriolegate.following.follower import StoreQuery
from oriolegate.following.follower import WatchQuery
from oriolegate.following.store_era import StoreEra
from oriolegate.models.stored import Collection
from oriolegate.network.http_client import CancelCall
from oriolegate.network.http_reader import HttpResponse
from oriolegate.network.store_client import StoreClient
from oriolegate.platform import store_calls
from oriolegate.runtime import large_answers
from oriolegate.runtime.store_probe import StoreProbe

log = structured_log.get_logger("store")

MS_PER_S = 1_000.0
# Timeout of a list call while the collection has never been listed; doubles
# with each failure. Short, since the store may have recovered in the meantime.
FIRST_LIST_TIMEOUT_MS = 500.0
# How long a VM waits for each peer that it may follow before it reads the store
# itself: the backoff of the peer and the interval of the search for one.
WAIT_PER_PEER_MS = 600.0
MAX_WAIT_FOR_PEER_MS = 1_200.0
# The same after the store did not answer this VM. Its peers may return at the
# same time, and they recover within a probe, a backoff and a query each.
WAIT_AFTER_OUTAGE_MS = 2_000.0
# Failed probes in a row after which the store counts as cut off; one may be a
# lost answer.
FAILURES_IF_CUT_OFF = 2


class StoreRunner:
    """Runs all followers against the store.

    Attributes:
        followers: Follower of each collection.
        era: Era of the store.
        probe: Shows whether the store answers while it is read.
        on_call_ended: Called after each answer and each failed call.
        count_peers: Returns the number of peers that may be followed.
        paused: Whether a peer is followed instead of the store.
        waits_for_peer: Whether no call but probes is made: the store is read
            once it answers one, unless a peer answers before.
        timers: Timer of the next call, by collection.
        calls: Function that cancels the open call, by collection.
        parked: Calls that wait, while the store fails, until the call of
            another collection has succeeded.
        failures_while_answering: Failed calls during which the store answered
            a probe on another connection.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        client: StoreClient,
        followers: Mapping[Collection, Follower],
        era: StoreEra,
        probe: StoreProbe,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.client = client
        self.followers = followers
        self.era = era
        self.on_call_ended: Callable[[], None] = lambda: None
        self.probe = probe
        self.count_peers: Callable[[], int] = lambda: 0
        self.paused = False
        self.waits_for_peer = False
        self.wait_timer: Any = None
        probe.on_answered = self._on_probe_answered
        probe.on_failed = self._on_probe_failed
        self.timers: dict[Collection, Any] = {}
        self.calls: dict[Collection, CancelCall] = {}
        self.parked: dict[Collection, tuple[Follower, StoreQuery]] = {}
        self.failures_while_answering = 0

    @property
    def is_confirmed(self) -> bool:
        """Whether the views are complete and current, and stay so.

        While the store doesn't answer probes, changes don't reach this VM.
        """
        if self.probe.failures and not self.paused:
            return False
        now_ms = self.clock.now_ms()
        return all(
            follower.is_confirmed(now_ms)
            for follower in self.followers.values()
        )

    @property
    def is_current(self) -> bool:
        """Whether changes reach this VM, from a peer or from the store."""
        if self.paused:
            return True
        return self.probe.has_answered and not self.probe.failures

    @property
    def is_cut_off(self) -> bool:
        """Whether the store is needed and doesn't answer this VM."""
        return not self.paused and self.probe.failures >= FAILURES_IF_CUT_OFF

    def start(self) -> None:
        """Start following all collections."""
        self.probe.start()
        for follower in self.followers.values():
            self._schedule(follower, follower.start())

    def pause(self) -> None:
        """Cancel all calls and make none until `resume`."""
        self.paused = True
        self.probe.stop()
        self._stop_waiting()
        self._cancel_calls()

    def suspend(self) -> None:
        """Make no calls but probes until the store answers one.

        Another VM brings the changes meanwhile.
        """
        if self.is_cut_off and not self.waits_for_peer:
            self.waits_for_peer = True
            self._cancel_calls()

    def end_suspension(self) -> None:
        """Call the store again though it answers no probe."""
        if self.is_cut_off and self.waits_for_peer:
            self._on_wait_over()

    def _cancel_calls(self) -> None:
        for timer in self.timers.values():
            if timer.active():
                timer.cancel()
        for cancel in self.calls.values():
            cancel()
        self.timers.clear()
        self.calls.clear()
        self.parked.clear()

    def resume(self, *, at_once: bool = False) -> None:
        """Continue to follow from the current revisions.

        Args:
            at_once: Whether the store is read now. Otherwise a peer to follow
                is awaited for some time, and until the store answers a probe.
        """
        if not self.paused:
            return
        self.paused = False
        self.waits_for_peer = not at_once
        self.probe.start()
        if at_once:
            self._follow_all()

    def _stop_waiting(self) -> None:
        self.waits_for_peer = False
        if self.wait_timer is not None and self.wait_timer.active():
            self.wait_timer.cancel()
        self.wait_timer = None

    def _on_probe_answered(self, failures: int) -> None:
        if self.waits_for_peer and self.wait_timer is None:
            wait_ms = min(
                MAX_WAIT_FOR_PEER_MS, WAIT_PER_PEER_MS * self.count_peers()
            )
            if failures and wait_ms:
                wait_ms = WAIT_AFTER_OUTAGE_MS
            self.wait_timer = self.reactor.callLater(
                wait_ms / MS_PER_S, self._on_wait_over
            )
        self.on_call_ended()

    def _on_probe_failed(self) -> None:
        if self.wait_timer is not None:
            self.wait_timer.cancel()
            self.wait_timer = None
        self.on_call_ended()

    def _on_wait_over(self) -> None:
        self._stop_waiting()
        self._follow_all()

    def _follow_all(self) -> None:
        for follower in self.followers.values():
            self._schedule(follower, follower.resume())

    def _schedule(self, follower: Follower, request: StoreQuery) -> None:
        if self.paused:
            return
        self.timers[follower.collection] = self.reactor.callLater(
            request.delay_ms / MS_PER_S, self._call_or_park, follower, request
        )

    def _should_park(self, follower: Follower) -> bool:
        """Return whether another collection probes the failing store."""
        if follower.failures == 0:
            return False
        return any(
            other is not follower
            and other.failures > 0
            and other.collection not in self.parked
            for other in self.followers.values()
        )

    def _pass_probe_on(self, follower: Follower, request: StoreQuery) -> None:
        """Let another collection probe the store next.

        The store may be failing for the follower's collection only.
        """
        first_parked = next(iter(self.parked))
        next_follower, next_request = self.parked.pop(first_parked)
        self.parked[follower.collection] = (
            follower,
            attrs.evolve(request, delay_ms=0.0),
        )
        self._schedule(
            next_follower,
            attrs.evolve(next_request, delay_ms=request.delay_ms),
        )

    def _make_parked_calls(self) -> None:
        """Make the calls that were held back until the store answers."""
        parked = self.parked
        self.parked = {}
        for follower, request in parked.values():
            self._call(follower, request)

    def _call_or_park(self, follower: Follower, request: StoreQuery) -> None:
        # A call without a delay is made because the store answers.
        if request.delay_ms and self._should_park(follower):
            self.parked[follower.collection] = (follower, request)
        else:
            self._call(follower, request)

    def _call(self, follower: Follower, request: StoreQuery) -> None:
        collection = follower.collection
        if (
            isinstance(request, WatchQuery)
            and store_era.era_of(request.revision) < self.era.number
        ):
            request = follower.list_again()
        match request:
            case ListQuery(_, after, may_lag):
                call = store_calls.list_call(collection, after, may_lag=may_lag)
                timeout_ms = self._list_timeout_ms(follower)
            case WatchQuery(_, revision, wait_ms):
                call = store_calls.watch_call(collection, revision, wait_ms)
                timeout_ms = wait_ms + CALL_TIMEOUT_MS

        sent_at_ms = self.clock.now_ms()
        due_ms = sent_at_ms + timeout_ms

        def done(outcome: HttpResponse | str) -> None:
            self.calls.pop(collection, None)
            received_at_ms = self.clock.now_ms()
            next_request = self._handle_outcome(
                follower, request, outcome, sent_at_ms, due_ms
            )
            large_answers.log_if_large(
                log.bind(collection=collection.name),
                outcome,
                received_at_ms - sent_at_ms,
                self.clock.now_ms() - received_at_ms,
            )
            if next_request.delay_ms and follower.failures and self.parked:
                self._pass_probe_on(follower, next_request)
            else:
                self._schedule(follower, next_request)
                self._make_parked_calls()
            self.on_call_ended()

        self.calls[collection] = self.client.call(call, timeout_ms, done)

    def _list_timeout_ms(self, follower: Follower) -> float:
        if follower.complete:
            return CALL_TIMEOUT_MS
        return min(
            CALL_TIMEOUT_MS, FIRST_LIST_TIMEOUT_MS * 2.0**follower.failures
        )

    def _handle_outcome(
        self,
        follower: Follower,
        request: StoreQuery,
        outcome: HttpResponse | str,
        sent_at_ms: float,
        due_ms: float,
    ) -> StoreQuery:
        now_ms = self.clock.now_ms()
        if isinstance(outcome, str):
            return self._on_failure(
                follower, outcome, sent_at_ms, is_overdue=now_ms >= due_ms
            )
        if outcome.status == store_calls.STATUS_HISTORY_GONE:
            log.bind(collection=follower.collection.name).info(
                "store no longer has the changes; listing anew"
            )
            return follower.on_history_missing(now_ms)
        if outcome.status != store_calls.STATUS_OK:
            return self._on_failure(
                follower, f"status {outcome.status}", sent_at_ms
            )
        failures = follower.failures
        try:
            next_request = self._apply_answer(
                follower, request, outcome.body, sent_at_ms
            )
        except MalformedEntryError as error:
            log.bind(
                collection=follower.collection.name, reason=error.message
            ).warning("malformed answer from the store; listing anew")
            return follower.on_malformed_answer()
        if failures:
            log.bind(
                collection=follower.collection.name, failures=failures
            ).info("store answers again")
        return next_request

    def _apply_answer(
        self,
        follower: Follower,
        request: StoreQuery,
        body: bytes,
        sent_at_ms: float,
    ) -> StoreQuery:
        now_ms = self.clock.now_ms()
        if isinstance(request, ListQuery):
            return follower.on_page(
                now_ms, store_calls.decode_page(body, self.era.number)
            )
        batch = store_calls.decode_changes(body, self.era.number)
        confirmed_ms = now_ms
        if not batch.changes:
            # The store has answered when the wait was over, and a cut may have
            # held the answer since. After changes, the next watch comes soon.
            confirmed_ms = min(now_ms, sent_at_ms + request.wait_ms)
        return follower.on_changes(now_ms, batch, confirmed_ms)

    def _on_failure(
        self,
        follower: Follower,
        reason: str,
        sent_at_ms: float,
        *,
        is_overdue: bool = False,
    ) -> StoreQuery:
        answered_meanwhile = self.probe.answered_ms > sent_at_ms
        next_request = follower.on_failure(
            is_connection_dead=is_overdue
            and answered_meanwhile
            and not self.probe.failures
        )
        now_ms = self.clock.now_ms()
        age_ms = now_ms - follower.confirmed_ms
        self.failures_while_answering += answered_meanwhile
        is_first = follower.failures == 1
        log.bind(
            collection=follower.collection.name,
            reason=reason,
            failures=follower.failures,
            view_age_ms=round(min(age_ms, 1e9)),
            waited_ms=round(now_ms - sent_at_ms),
            probes_answered_meanwhile=answered_meanwhile,
            revision=store_era.plain(follower.revision),
            era=self.era.number,
            next_ms=round(next_request.delay_ms),
        ).warning(
            "store call failed; retrying"
            if is_first
            else "store call still failing; retrying"
        )
        return next_request
