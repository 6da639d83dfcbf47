"""Follows a VM of the same data centre in place of the store."""

from collections.abc import Callable
from typing import Any

from oriolegate import structured_log
from oriolegate.clock import Clock
from oriolegate.exceptions import PeerMessageError
from oriolegate.following.follower import Follower
from oriolegate.following.source_choice import Peer
from oriolegate.following.source_choice import SourceChoice
from oriolegate.models.stored import ChangeBatch
from oriolegate.models.stored import Collection
from oriolegate.models.stored import ListPage
from oriolegate.network import view_wire
from oriolegate.network.http_caller import HttpCaller
from oriolegate.network.http_reader import HttpResponse
from oriolegate.runtime.store_runner import StoreRunner

log = structured_log.get_logger("feed")

MS_PER_S = 1_000.0
# How long a peer may hold a request without news, and how much longer its
# answer may take: a peer that stands still is left within 1.5 s.
WAIT_MS = 1_000
ANSWER_MS = 400.0
# Pause between two requests; the peer gathers changes already.
PAUSE_MS = 20.0
# How often a VM that follows the store itself looks for a peer.
LOOK_MS = 250.0
STATUS_OK = 200
# The peer lives, but the store does not confirm what it knows.
STATUS_UNCONFIRMED = 503


class PeerFeed:
    """Asks peers for news, and lets the store be asked while none tells it.

    Attributes:
        choice: Which peers may be asked.
        seeds: VMs to ask if the store gives no list at the start.
        peer: The peer that tells the news, or None.
        on_step: Called after each answer with news.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        choice: SourceChoice,
        followers: dict[Collection, Follower],
        store: StoreRunner,
        seeds: tuple[Peer, ...] = (),
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.choice = choice
        self.followers = followers
        self.store = store
        self.seeds = seeds
        self.seeds_asked = 0
        self.peer: Peer | None = None
        self.callers: dict[str, HttpCaller] = {}
        self.on_step: Callable[[], None] = lambda: None
        self.stopped = False

    def start(self) -> None:
        """Begin to look for peers."""
        self._later(LOOK_MS)

    def stop(self) -> None:
        """Ask nobody any more."""
        self.stopped = True
        for caller in self.callers.values():
            caller.pool.close()

    def confirm_soon(self) -> None:
        """Ask the store itself at once, whoever told the news so far."""
        self.peer = None
        self.store.pause()
        self.store.resume()

    def _later(self, delay_ms: float) -> None:
        if not self.stopped:
            self.reactor.callLater(delay_ms / MS_PER_S, self._step)

    def _step(self) -> None:
        if self.stopped:
            return
        if not all(f.complete for f in self.followers.values()):
            self._ask_seed()
            self._later(LOOK_MS)
            return
        peer = self.choice.choose(self.clock.now_ms())
        if peer is None:
            self.store.resume()
            self._later(LOOK_MS)
            return
        self._ask(peer)

    def _ask_seed(self) -> None:
        """Ask a VM for what it last heard, if the store gives no list."""
        if not self.seeds or not any(
            follower.failures for follower in self.followers.values()
        ):
            return
        seed = self.seeds[self.seeds_asked % len(self.seeds)]
        self.seeds_asked += 1
        revisions = dict.fromkeys(self.followers, 0)
        wanted = view_wire.NewsRequest(revisions, 0, unconfirmed=True)
        data = view_wire.request_bytes(seed.host, seed.port, wanted)

        def done(outcome: HttpResponse | str) -> None:
            self._adopt(seed, outcome)

        self._caller(seed).send(data, ANSWER_MS, done)

    def _adopt(self, seed: Peer, outcome: HttpResponse | str) -> None:
        try:
            news = self._news(outcome)
        except PeerMessageError as fault:
            log.bind(peer=seed.vm, reason=fault.message).info(
                "seed tells nothing"
            )
            return
        now_ms = self.clock.now_ms()
        for collection, follower in self.followers.items():
            found = news.get(collection)
            if isinstance(found, ListPage):
                follower.adopt_unconfirmed(now_ms, found)
        log.bind(peer=seed.vm).info("unconfirmed view adopted")

    def _ask(self, peer: Peer) -> None:
        revisions = {
            collection: follower.revision
            for collection, follower in self.followers.items()
        }
        # The first request tells at once whether the peer can be followed.
        wait_ms = WAIT_MS if peer == self.peer else 0
        wanted = view_wire.NewsRequest(revisions, wait_ms)
        data = view_wire.request_bytes(peer.host, peer.port, wanted)

        def done(outcome: HttpResponse | str) -> None:
            self._take(peer, outcome)

        self._caller(peer).send(data, wait_ms + ANSWER_MS, done)

    def _caller(self, peer: Peer) -> HttpCaller:
        caller = self.callers.get(peer.vm)
        if caller is None or caller.pool.address != (peer.host, peer.port):
            caller = HttpCaller(
                self.reactor, self.clock, (peer.host, peer.port)
            )
            self.callers[peer.vm] = caller
        return caller

    def _take(self, peer: Peer, outcome: HttpResponse | str) -> None:
        if self.stopped:
            return
        try:
            self._read(outcome)
        except PeerMessageError as fault:
            self._leave_alone(peer, outcome)
            log.bind(peer=peer.vm, reason=fault.message).info(
                "peer tells no news"
            )
            if peer == self.peer:
                self._leave(fault.message)
            self._later(0.0)
            return
        self.choice.answered(peer.vm)
        self._follow(peer)
        self.on_step()
        self._later(PAUSE_MS)

    def _leave_alone(self, peer: Peer, outcome: HttpResponse | str) -> None:
        now_ms = self.clock.now_ms()
        if (
            isinstance(outcome, HttpResponse)
            and outcome.status == STATUS_UNCONFIRMED
        ):
            self.choice.unconfirmed(now_ms, peer.vm)
        else:
            self.choice.failed(now_ms, peer.vm)

    def _news(self, outcome: HttpResponse | str) -> view_wire.News:
        if isinstance(outcome, str):
            raise PeerMessageError(outcome)
        if outcome.status != STATUS_OK:
            raise PeerMessageError(f"status {outcome.status}")
        return view_wire.decode_news(outcome.body)

    def _read(self, outcome: HttpResponse | str) -> None:
        news = self._news(outcome)
        now_ms = self.clock.now_ms()
        for collection, follower in self.followers.items():
            found = news.get(collection)
            if found is None:
                follower.confirm(now_ms)
            elif isinstance(found, ChangeBatch):
                follower.changes(now_ms, found)
            else:
                follower.whole(now_ms, found)

    def _follow(self, peer: Peer) -> None:
        if self.peer == peer:
            return
        self.peer = peer
        self.store.pause()
        log.bind(peer=peer.vm).info("following a peer")

    def _leave(self, reason: str) -> None:
        """Give a peer up; the next in rank is asked before the store."""
        log.bind(peer=self.peer and self.peer.vm, reason=reason).info(
            "peer left"
        )
        self.peer = None
